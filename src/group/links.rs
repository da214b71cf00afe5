//! Carries the group's messages to the other replicas: a bounded queue for each, emptied in batches.
//!
//! Messages may be lost or come out of order; the core expects both.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Semaphore, mpsc};

use super::directory::Directory;
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

/// The links to all other replicas, each opened by the first message to it.
pub struct Links {
    peers: Peers,
    directory: Arc<Directory>,
    queues: BTreeMap<BoxId, mpsc::Sender<Envelope>>,
}

impl Links {
    /// Links to the replicas of a directory.
    pub fn new(peers: Peers, directory: Arc<Directory>) -> Self {
        Self { peers, directory, queues: BTreeMap::new() }
    }

    /// Queues a message; one for an unknown box or a full queue is dropped.
    pub fn send(&mut self, envelope: Envelope) {
        if !self.queues.contains_key(&envelope.to) {
            let Some(addr) = self.directory.find(&envelope.to) else {
                tracing::debug!(event = "replica_unknown", to = %envelope.to);
                return;
            };
            let (sender, receiver) = mpsc::channel(QUEUE_LENGTH);
            tokio::spawn(carry(self.peers.clone(), addr, receiver));
            self.queues.insert(envelope.to.clone(), sender);
        }
        if let Some(queue) = self.queues.get(&envelope.to) {
            let _ = queue.try_send(envelope);
        }
    }

    /// Closes the links to boxes that are not members.
    pub fn keep(&mut self, is_member: impl Fn(&BoxId) -> bool) {
        self.queues.retain(|box_id, _| is_member(box_id));
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
