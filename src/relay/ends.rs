//! Which backend servers have ended, and which requests ran on them.
//!
//! An exchange that breaks off proves nothing about its server: a link may have been reset. The server has
//! ended if nobody listens at its address any more, another server has the address, or it is in another life.
//! So each break is followed by a few looks at the server.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use super::Relay;
use super::known::Known;
use super::quarantine;
use crate::backend::SendFault;
use crate::decide::ends::CrashReport;
use crate::ids::{BackendId, Fingerprint};
use crate::sync::lock;

/// Pauses before the looks at a server on which something broke. One that ends stays away for longer than
/// the first, and one that is there after all of them has not ended.
const LOOKS: [Duration; 4] = [
    Duration::from_millis(20),
    Duration::from_millis(100),
    Duration::from_millis(400),
    Duration::from_millis(1_000),
];

/// Servers that are looked at together: whatever ends beyond that at once is no request's doing.
const BROKEN_LIMIT: usize = 64;

/// Requests remembered for one of them: more than run at a time from one box.
const REQUESTS_LIMIT: usize = 64;

/// What broke off at one server.
struct Broken {
    known: Arc<Known>,
    requests: BTreeSet<Fingerprint>,
    /// When the first of it did.
    at: Instant,
    /// Whether the looks at it have begun.
    watched: bool,
}

impl Broken {
    fn told(&self) -> CrashReport {
        let server = &self.known.server;
        CrashReport {
            server: server.id.clone(),
            data_centre: server.data_centre.clone(),
            requests: self.requests.iter().copied().collect(),
            age: self.at.elapsed().into(),
        }
    }
}

/// The exchanges that broke off, until it is known whether their servers have ended.
#[derive(Default)]
pub struct EndWatch {
    broken: Mutex<BTreeMap<BackendId, Broken>>,
    broke: Notify,
}

impl EndWatch {
    /// Notes that an exchange broke off behind which the request may have run.
    pub fn record_break(&self, known: &Arc<Known>, request: Fingerprint) {
        let mut broken = lock(&self.broken);
        let id = &known.server.id;
        if broken.len() >= BROKEN_LIMIT && !broken.contains_key(id) {
            tracing::debug!(event = "break_not_followed", backend_server = %id);
            return;
        }
        let held = broken.entry(id.clone()).or_insert_with(|| Broken {
            known: known.clone(),
            requests: BTreeSet::new(),
            at: Instant::now(),
            watched: false,
        });
        if held.requests.len() < REQUESTS_LIMIT {
            held.requests.insert(request);
        }
        drop(broken);
        self.broke.notify_one();
    }

    /// The servers at which the looks are to begin; waits until there is one.
    async fn unwatched(&self) -> Vec<Arc<Known>> {
        loop {
            let found: Vec<_> = {
                let mut broken = lock(&self.broken);
                let new = broken.values_mut().filter(|it| !it.watched);
                new.map(|it| {
                    it.watched = true;
                    it.known.clone()
                })
                .collect()
            };
            if !found.is_empty() {
                return found;
            }
            self.broke.notified().await;
        }
    }

    /// Takes what broke off at a server.
    fn take(&self, id: &BackendId) -> Option<Broken> {
        lock(&self.broken).remove(id)
    }
}

/// Looks at the servers on which something broke, until the task is dropped.
pub async fn run(relay: Arc<Relay>) {
    loop {
        for known in relay.ends.unwatched().await {
            tokio::spawn(look(relay.clone(), known));
        }
    }
}

async fn look(relay: Arc<Relay>, known: Arc<Known>) {
    for pause in LOOKS {
        tokio::time::sleep(pause).await;
        let has_ended = known.state.is_over()
            || matches!(
                relay.context.pool.probe(known.server.addr).await,
                Err(SendFault::Refused(_))
            );
        if has_ended {
            record_end(&relay, &known);
            return;
        }
    }
    relay.ends.take(&known.server.id);
}

/// Notes that a server has ended; what broke off there ran on it when it did.
pub(super) fn record_end(relay: &Relay, known: &Known) {
    let Some(broken) = relay.ends.take(&known.server.id) else {
        return;
    };
    let leaving = !broken.known.is_open();
    relay.context.metrics.count_end(leaving);
    let requests: Vec<_> = broken.requests.iter().map(Fingerprint::to_string).collect();
    if !leaving {
        quarantine::record_end(relay, broken.told());
    }
    tracing::warn!(
        event = "backend_server_ended", backend_server = %known.server.id,
        data_centre = %known.server.data_centre, leaving, requests = requests.join(","),
    );
}
