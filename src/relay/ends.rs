//! Detects backend servers that have ended, and reports the requests that ran on them.
//!
//! An exchange that breaks off does not prove that its server has ended: the connection may have
//! been reset. The server has ended if nothing listens at its address any more, if another server
//! has the address, or if it is in another incarnation. So each broken exchange is followed by a
//! few probes of the server.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use super::Relay;
use super::call::Call;
use super::known::KnownServer;
use super::quarantine;
use super::reach;
use crate::backend::SendFault;
use crate::decide::ends::{CrashReport, CrashedPrompt};
use crate::ids::{BackendId, SegmentKey};
use crate::sync::lock;

/// Delays before each probe of a server after a broken exchange. A server that ends stays
/// unreachable for longer than the first delay. One that passes all probes has not ended.
const PROBE_DELAYS: [Duration; 4] = [
    Duration::from_millis(20),
    Duration::from_millis(100),
    Duration::from_millis(400),
    Duration::from_millis(1_000),
];

/// How many servers are probed at the same time. If more end at once, a request is not the cause.
const MAX_WATCHED_SERVERS: usize = 64;

/// How many requests and segments of prompts are recorded for one server. A single box has fewer in flight there.
const MAX_SUSPECTS_PER_SERVER: usize = 256;

/// How far an answer was when its exchange broke off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AnswerProgress {
    /// It had not begun, or had only just.
    NotBegun,
    /// It had gone on after it had begun.
    WentOn,
}

/// A server with broken exchanges, until the probes have a result.
struct BrokenServer {
    known: Arc<KnownServer>,
    /// What ran on it.
    prompts: Vec<CrashedPrompt>,
    /// When the first exchange broke off.
    at: Instant,
    /// Whether the probes have started.
    probing: bool,
}

impl BrokenServer {
    fn add(&mut self, prompt: CrashedPrompt) {
        if !self.prompts.contains(&prompt) {
            let known: usize = self.prompts.iter().map(CrashedPrompt::len).sum();
            self.prompts.extend(prompt.fit(MAX_SUSPECTS_PER_SERVER.saturating_sub(known)));
        }
    }

    fn to_report(&self) -> CrashReport {
        let server = &self.known.server;
        CrashReport {
            server: server.id.clone(),
            data_centre: server.data_centre.clone(),
            prompts: self.prompts.clone(),
            age: self.at.elapsed().into(),
        }
    }
}

/// Collects broken exchanges until it is known whether their servers have ended.
#[derive(Default)]
pub struct EndDetector {
    broken: Mutex<BTreeMap<BackendId, BrokenServer>>,
    broke: Notify,
}

impl EndDetector {
    /// Records an exchange that broke off after the server may have run the request. A server that crashes under a
    /// segment of a prompt does so when it begins to answer, so the segments are no suspects of an answer that went on.
    pub(super) fn record_break(
        &self,
        known: &Arc<KnownServer>,
        call: &Call,
        progress: AnswerProgress,
    ) {
        let mut broken = lock(&self.broken);
        let id = &known.server.id;
        if broken.len() >= MAX_WATCHED_SERVERS && !broken.contains_key(id) {
            tracing::debug!(event = "break_not_followed", backend_server = %id);
            return;
        }
        let held = broken.entry(id.clone()).or_insert_with(|| BrokenServer {
            known: known.clone(),
            prompts: Vec::new(),
            at: Instant::now(),
            probing: false,
        });
        let segments = match progress {
            AnswerProgress::NotBegun => call.segment_keys(&known.server.service).collect(),
            AnswerProgress::WentOn => Vec::new(),
        };
        held.add(CrashedPrompt { request: Some(call.fingerprint()), segments });
        drop(broken);
        self.broke.notify_one();
    }

    /// The servers whose probes have not started. Waits until there is one.
    async fn next_unprobed(&self) -> Vec<Arc<KnownServer>> {
        loop {
            let found: Vec<_> = {
                let mut broken = lock(&self.broken);
                let new = broken.values_mut().filter(|it| !it.probing);
                new.map(|it| {
                    it.probing = true;
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

    /// Removes and returns what broke off at a server.
    fn take(&self, id: &BackendId) -> Option<BrokenServer> {
        lock(&self.broken).remove(id)
    }
}

/// Probes the servers with broken exchanges until the task is dropped.
pub async fn run(relay: Arc<Relay>) {
    loop {
        for known in relay.ends.next_unprobed().await {
            tokio::spawn(probe(relay.clone(), known));
        }
    }
}

async fn probe(relay: Arc<Relay>, known: Arc<KnownServer>) {
    let broke_at = Instant::now();
    for pause in PROBE_DELAYS {
        tokio::time::sleep(pause).await;
        let is_refused = || async {
            let probed = relay.context.pool.probe(known.server.addr).await;
            matches!(probed, Err(SendFault::Refused(_)))
        };
        if known.state.is_over()
            || (is_refused().await && reach::has_ended(&relay, &known, broke_at).await)
        {
            record_end(&relay, &known);
            return;
        }
    }
    relay.ends.take(&known.server.id);
}

/// Records that a server has ended. The requests whose exchanges broke off there were running when
/// it ended.
pub(super) fn record_end(relay: &Relay, known: &KnownServer) {
    let Some(broken) = relay.ends.take(&known.server.id) else {
        return;
    };
    let leaving = !broken.known.is_open();
    relay.context.metrics.count_end(leaving);
    let requests: BTreeSet<_> =
        broken.prompts.iter().filter_map(|it| it.request).map(|it| it.to_string()).collect();
    let requests: Vec<_> = requests.into_iter().collect();
    let segments: BTreeSet<_> = broken.prompts.iter().flat_map(|it| &it.segments).collect();
    let segments: Vec<_> = segments.into_iter().map(SegmentKey::to_string).collect();
    if !leaving {
        quarantine::record_end(relay, broken.to_report());
    }
    tracing::warn!(
        event = "backend_server_ended", backend_server = %known.server.id,
        data_centre = %known.server.data_centre, leaving, requests = requests.join(","),
        segments = (!segments.is_empty()).then(|| segments.join(",")),
    );
}
