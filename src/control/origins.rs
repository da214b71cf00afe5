//! Asks the leader which release began a stream, for a caller that comes back to a box that does not know it; and has the
//! leader pass on what it knows to the other replicas, so that the next leader answers when a box and the leader are lost
//! at once.
//!
//! A leader of a former release does not know the call; the stream is then unknown. Nor does a replica of one, which is told
//! nothing.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;

use super::lead::LeaderState;
use crate::decide::origin_shares::{OriginReceipt, SharedOrigins};
use crate::decide::origins::{OriginAnswer, OriginReport, OriginRequest};
use crate::group::access::Access;
use crate::group::driver::Unanswered;
use crate::ids::{BoxId, Term};
use crate::node::Node;
use crate::peer::method;
use crate::peer::packed::Packed;
use crate::relay::Relay;
use crate::sync::lock;

/// Timeout for one call to the leader.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause before the leader is asked again.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Timeout for one call to another replica, and the time until one that did not answer is called again.
const SHARE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time between two checks for replicas that are new or have restarted.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// How often the leader is asked at least.
const MIN_ATTEMPTS: u32 = 3;

/// For how long the leader is asked at least, counted from when this box was last in touch with the group: an election,
/// and the time until the new leader has read the stored state. Callers wait for an event for no less.
const LEADER_GAP: Duration = Duration::from_millis(2_000);

/// Answers the questions of a relay's requests until the task is dropped.
pub(crate) async fn run(relay: Arc<Relay>, access: Access) {
    let Some(mut questions) = relay.take_origin_questions() else {
        return;
    };
    while let Some((request, port)) = questions.recv().await {
        let access = access.clone();
        let gap = relay.context.board.age().unwrap_or(LEADER_GAP);
        let until = Instant::now() + LEADER_GAP.saturating_sub(gap);
        tokio::spawn(async move {
            let _ = port.send(ask(&access, &request, until).await);
        });
    }
}

/// Asks the leader until `until`, and [`MIN_ATTEMPTS`] times.
async fn ask(access: &Access, request: &OriginRequest, until: Instant) -> OriginAnswer {
    let mut attempts = 0;
    while attempts < MIN_ATTEMPTS || Instant::now() < until {
        if let Ok(answer) = access.stream_origin(request, REPLY_TIMEOUT).await {
            return answer;
        }
        attempts += 1;
        tokio::time::sleep(RETRY_DELAY).await;
    }
    OriginAnswer::Unknown
}

/// Answers a box's question, if this process leads and has read what the group stores.
pub(crate) async fn answer(
    node: Arc<Node>,
    request: OriginRequest,
) -> Result<OriginAnswer, Unanswered> {
    let term = node.leading_term().await.ok_or(Unanswered::NotLeader(None))?;
    let found = node.with_lead(term, |lead| lead.find_origin(request.key, &request.service));
    found.ok_or(Unanswered::NotLeader(None))
}

/// Passes the origins of streams that boxes report on to the other replicas, while this process leads. One that does not
/// answer delays no other.
pub(crate) async fn share(node: Arc<Node>) {
    let mut sends = JoinSet::new();
    let mut busy = BTreeSet::new();
    let mut checks = tokio::time::interval(CHECK_INTERVAL);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let mut is_check = false;
        tokio::select! {
            () = node.origins_reported.notified() => {}
            _ = checks.tick() => is_check = !lock(&node.origins).is_empty(),
            Some(sent) = sends.join_next() => {
                if let Ok(box_id) = sent {
                    busy.remove(&box_id);
                }
            }
        }
        let Some(term) = node.board.leading() else {
            continue;
        };
        for (box_id, addr) in other_replicas(&node, term) {
            if busy.contains(&box_id) {
                continue;
            }
            let streams = node.with_lead(term, |lead| lead.next_origins(&box_id));
            if is_check || !streams.is_empty() {
                busy.insert(box_id.clone());
                sends.spawn(share_with(node.clone(), term, box_id, addr, streams));
            }
        }
    }
}

/// The other replicas; the origins that wait for former ones are dropped.
fn other_replicas(node: &Node, term: Term) -> Vec<(BoxId, SocketAddr)> {
    let own = &node.settings.node.box_id;
    let mut replicas = node.access.directory().members();
    replicas.retain(|(box_id, _)| box_id != own);
    let is_replica = |known: &BoxId| replicas.iter().any(|(box_id, _)| box_id == known);
    node.with_lead(term, |lead| lead.origin_shares.retain(is_replica));
    replicas
}

/// Sends a replica origins. Returns its name, after a pause if it did not answer.
async fn share_with(
    node: Arc<Node>,
    term: Term,
    box_id: BoxId,
    addr: SocketAddr,
    streams: Vec<OriginReport>,
) -> BoxId {
    let began = Instant::now();
    let count = streams.len();
    let shared = Packed(SharedOrigins { streams });
    let sent = node.peers.call(addr, method::SHARED_ORIGINS, &shared, SHARE_TIMEOUT).await;
    match sent {
        Ok(Packed(receipt)) if node.board.leading() == Some(term) => {
            let acknowledge =
                |lead: &mut LeaderState| lead.acknowledge_origins(&box_id, receipt, count);
            if node.with_lead(term, acknowledge) {
                tracing::info!(event = "origins_passed_on", replica = %box_id);
            }
        }
        Ok(Packed(OriginReceipt { .. })) => {}
        Err(error) => {
            tracing::debug!(event = "origins_not_shared", replica = %box_id, count, %error);
            tokio::time::sleep_until((began + SHARE_TIMEOUT).into()).await;
        }
    }
    box_id
}

impl LeaderState {
    /// The next origins for a replica.
    fn next_origins(&mut self, replica: &BoxId) -> Vec<OriginReport> {
        let origins = self.origins.clone();
        self.origin_shares.next(replica, || lock(&origins).reports(Instant::now()))
    }

    fn acknowledge_origins(
        &mut self,
        replica: &BoxId,
        receipt: OriginReceipt,
        count: usize,
    ) -> bool {
        let origins = self.origins.clone();
        let all = || lock(&origins).reports(Instant::now());
        self.origin_shares.acknowledge(replica, receipt, count, all)
    }
}

/// Records the origins that a leader passes on.
pub(crate) fn apply_shared(node: &Node, shared: SharedOrigins) -> OriginReceipt {
    let now = Instant::now();
    let mut origins = lock(&node.origins);
    for report in shared.streams {
        origins.record(report.key, report.origin, now + report.left.duration(), now);
    }
    OriginReceipt { process: node.life }
}
