//! Carries the group's messages to the other replicas: a bounded queue for each, emptied in batches.
//!
//! Messages may be lost or come out of order; the core expects both.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Semaphore, mpsc};

use super::message::Envelope;
use crate::ids::BoxId;
use crate::peer::{Peers, method};

/// Messages that wait for one replica at most; more are dropped.
const QUEUE_LENGTH: usize = 4_096;

/// Messages in one call at most.
const BATCH_LENGTH: usize = 256;

/// Calls to one replica at the same time.
const CALLS: usize = 4;

/// How long a call may take before its messages count as lost.
const CALL_TIME: Duration = Duration::from_millis(1_000);

/// The links to all other replicas.
pub struct Links {
    queues: BTreeMap<BoxId, mpsc::Sender<Envelope>>,
}

impl Links {
    /// Opens a link to each address.
    pub fn open(peers: &Peers, addrs: &BTreeMap<BoxId, SocketAddr>, own: &BoxId) -> Self {
        let mut queues = BTreeMap::new();
        for (box_id, addr) in addrs.iter().filter(|(box_id, _)| *box_id != own) {
            let (sender, receiver) = mpsc::channel(QUEUE_LENGTH);
            tokio::spawn(carry(peers.clone(), *addr, receiver));
            queues.insert(box_id.clone(), sender);
        }
        Self { queues }
    }

    /// Queues a message; one for an unknown box or a full queue is dropped.
    pub fn send(&self, envelope: Envelope) {
        if let Some(queue) = self.queues.get(&envelope.to) {
            let _ = queue.try_send(envelope);
        }
    }
}

async fn carry(peers: Peers, addr: SocketAddr, mut queue: mpsc::Receiver<Envelope>) {
    let calls = Arc::new(Semaphore::new(CALLS));
    let mut batch = Vec::new();
    while queue.recv_many(&mut batch, BATCH_LENGTH).await > 0 {
        let Ok(permit) = calls.clone().acquire_owned().await else {
            return;
        };
        let sent = std::mem::take(&mut batch);
        let peers = peers.clone();
        tokio::spawn(async move {
            let result = peers.call::<_, ()>(addr, method::STEP, &sent, CALL_TIME).await;
            if let Err(error) = result {
                tracing::debug!(event = "group_messages_lost", count = sent.len(), %error);
            }
            drop(permit);
        });
    }
}
