//! Heartbeats from a relay to the leader: one call reports the teams' demand and usage, and returns their grants and
//! what has changed in the list of backend servers.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;
use serde::{Deserialize, Serialize};

use super::models::ModelsUpdate;
use crate::clock;
use crate::decide::allowance::{Grant, TeamDemand};
use crate::decide::capacity::OfferedLoad;
use crate::decide::engine::Sample;
use crate::decide::intervals::{crash_reply_wait, retry_delay};
use crate::decide::loads::LoadSample;
use crate::decide::origins::{MAX_REPORTED, OriginReport};
use crate::decide::quarantine::{QuarantineReport, QuarantineUpdate};
use crate::decide::releases::{ReleaseUpdate, TrialReport};
use crate::decide::report_delta::DeltaSender;
use crate::group::access::{Access, NoGroup};
use crate::ids::{
    BoxId, DataCentre, Incarnation, Revision, ServiceName, TeamName, Version, Window,
};
use crate::relay::list::{ContentHash, IncarnationReport, ListIndex};
use crate::relay::part_loads::PartLoads;
use crate::relay::usage::Counts;
use crate::relay::{Relay, quarantine};
use crate::state::notes::Models;
use crate::units::Millis;

/// Time between two heartbeats while a rollout is about to change phase.
const ROLLOUT_INTERVAL: Duration = Duration::from_millis(200);

/// Minimum time between two heartbeats, also for those that are requested at once.
const MIN_INTERVAL: Duration = Duration::from_millis(60);

/// Time between two looks for new crashes while a heartbeat has no reply.
const CRASH_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Timeout for a heartbeat, including the search for the leader.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The heartbeat of a relay.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct BoxHeartbeat {
    /// The box that sends it.
    pub box_id: BoxId,
    /// The box's data centre. The box gets mostly servers near it.
    pub data_centre: Option<DataCentre>,
    /// The incarnation of the box's process. The leader adds up the usage counts of different incarnations.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// The hash of the index that the box has of its parts of the list of backend servers.
    #[serde(rename = "list")]
    pub index_hash: Option<ContentHash>,
    /// The revision of the box's configuration.
    pub revision: Revision,
    /// The version of the box's published document.
    pub document: Version,
    /// Whether this is a full report, not only the changes since an earlier one.
    #[serde(rename = "whole")]
    pub is_full: bool,
    /// The number of requests that began to run, by window and team. It has the windows whose counts have changed and
    /// whose report is not known to be final.
    pub usage: Counts,
    /// The load that callers offer to each service.
    pub offered: BTreeMap<ServiceName, OfferedLoad>,
    /// The engine models that this box has learned, if they have changed.
    pub engines: Option<Models>,
    /// Measurements of engines for which the box has too few for a fit of its own.
    pub samples: BTreeMap<ServiceName, Vec<Sample>>,
    /// The hash of the pooled engine models that the box received last.
    #[serde(rename = "models")]
    pub models_hash: Option<ContentHash>,
    /// What the teams used and were refused on this box.
    pub demand: BTreeMap<TeamName, TeamDemand>,
    /// The services of which the box knows that several releases may have begun streams.
    pub shared: BTreeSet<ServiceName>,
    /// Streams of such services that began at the box, and that the leader does not know yet.
    pub streams: Vec<OriginReport>,
    /// Results of the releases on trial.
    pub trials: BTreeMap<ServiceName, TrialReport>,
    /// Loads that backend servers reported to the box since its last heartbeat.
    pub loads: Vec<LoadSample>,
    /// Incarnations of backend servers that are newer than those in the leader's list.
    #[serde(rename = "lives")]
    pub incarnations: Vec<IncarnationReport>,
    /// Servers that crashed while they ran requests of the box, and the version of the box's quarantined requests.
    pub quarantine: QuarantineReport,
    /// The sequence number of this report in the incarnation.
    #[serde(rename = "turn")]
    pub seq: u64,
    /// The last report that the leader acknowledged, which the changes refer to.
    #[serde(rename = "after")]
    pub base_seq: u64,
    /// The number of relays that share the limits, by the last reply of a leader.
    pub relays: Option<u32>,
}

/// The leader's reply to a heartbeat.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The index of the relay's parts of the list of backend servers, if it differs from the relay's.
    pub list: Option<Arc<ListIndex>>,
    /// The version of the newest published document.
    pub document: Version,
    /// The time in milliseconds since the leader last confirmed that its document and configuration are the newest;
    /// `None` for a relay with another revision of the configuration.
    pub age: Option<u64>,
    /// What the teams may use on this box.
    #[serde(rename = "allowed")]
    pub grants: BTreeMap<TeamName, Grant>,
    /// The engine models pooled over all boxes, if they differ from the box's.
    pub engines: Option<ModelsUpdate>,
    /// Whether the leader needs a full report, as it missed an earlier one of this incarnation of the box.
    #[serde(rename = "lacks")]
    pub needs_full: bool,
    /// The releases that get the services' requests; `None` while the leader does not know them.
    pub releases: Option<BTreeMap<ServiceName, ReleaseUpdate>>,
    /// Loads that backend servers reported to other boxes.
    pub loads: Vec<PartLoads>,
    /// The quarantined requests, which no server gets any more, if they differ from the box's.
    pub quarantine: Option<QuarantineUpdate>,
    /// The last window whose usage report is final.
    pub settled: Window,
    /// The number of relays that share the limits.
    pub relays: u32,
    /// Time until the box's next heartbeat.
    pub interval: Millis,
    /// The leader's data centre, in reply to a full report.
    pub data_centre: Option<DataCentre>,
}

/// What each side has received from the other, from which the changes to send are worked out.
#[derive(Default)]
struct DeltaState {
    sender: DeltaSender,
    /// The hash of the engine models that the leader sent last.
    models_hash: Option<ContentHash>,
}

/// Sends heartbeats until the task is dropped.
pub(crate) async fn run(
    relay: Arc<Relay>,
    access: Access,
    box_id: BoxId,
    incarnation: Incarnation,
) {
    let (mut was_lost, mut failures) = (false, 0);
    let mut delta_state = DeltaState::default();
    loop {
        let is_answered =
            send_heartbeat(&relay, &access, &mut delta_state, &box_id, incarnation).await;
        if is_answered == was_lost {
            let version = relay.servers.version();
            tracing::info!(event = "leader_heard", heard = is_answered, list_term = %version.term);
        }
        was_lost = !is_answered;
        let has_list = relay.servers.index_hash().is_some();
        failures = if is_answered && has_list { 0 } else { failures + 1 };
        let (report_often, has_shared) = {
            let releases = relay.releases();
            (releases.should_report_often(), releases.shared_services().next().is_some())
        };
        // Streams are reported sooner while callers that come back need the report.
        let divisor = if has_shared { 2 } else { 1 };
        let pause = match (failures > 0, report_often) {
            (true, _) => retry_delay(relay.relay_count(), failures - 1),
            (false, true) => ROLLOUT_INTERVAL,
            (false, false) => relay.heartbeat_interval() / divisor,
        };
        let jitter = rand::rng().random_range(0.85..1.15);
        let requested = async {
            tokio::time::sleep(MIN_INTERVAL).await;
            relay.heartbeat_requested.notified().await;
        };
        let _ = tokio::time::timeout(pause.mul_f64(jitter), requested).await;
    }
}

/// Waits until a server has crashed since a heartbeat that has been without a reply for some time. The heartbeat's
/// repeats would not report it.
async fn crash_while_silent(relay: &Relay) {
    tokio::time::sleep(crash_reply_wait(0)).await;
    while !relay.quarantine().has_unreported_crashes() {
        tokio::time::sleep(CRASH_CHECK_INTERVAL).await;
    }
}

/// Sends one heartbeat and applies the reply. Returns whether a reply came.
async fn send_heartbeat(
    relay: &Relay,
    access: &Access,
    delta_state: &mut DeltaState,
    box_id: &BoxId,
    incarnation: Incarnation,
) -> bool {
    let sent_at = clock::now();
    let mut report = relay.allowances().heartbeat_report(sent_at);
    let seq = report.seq;
    let delta = delta_state.sender.delta(seq, relay.usage().counts(), relay.engines().learned());
    let shared: BTreeSet<_> = relay.releases().shared_services().cloned().collect();
    let streams = match shared.is_empty() {
        true => Vec::new(),
        false => relay.origins().unreported(|service| shared.contains(service), Instant::now()),
    };
    let heartbeat = BoxHeartbeat {
        box_id: box_id.clone(),
        data_centre: Some(relay.context.topology.own().clone()),
        incarnation,
        index_hash: relay.servers.index_hash(),
        revision: relay.context.board.revision(),
        document: relay.context.board.document().version,
        is_full: delta.is_full,
        usage: delta.usage.clone(),
        offered: relay.offered().rates(Instant::now()),
        engines: delta.engines.clone(),
        samples: relay.engines().take_samples(),
        models_hash: delta_state.models_hash,
        demand: std::mem::take(&mut report.teams),
        shared,
        streams,
        trials: relay.releases().build_reports(Instant::now()),
        loads: relay.loads().drain(Instant::now()),
        incarnations: relay.servers.unreported_incarnations(),
        quarantine: relay.quarantine().report(Instant::now()),
        seq,
        base_seq: delta.base_seq,
        relays: relay.known_relay_count(),
    };
    let reply = tokio::select! {
        reply = access.beat(&heartbeat, REPLY_TIMEOUT) => reply,
        () = crash_while_silent(relay), if heartbeat.quarantine.crashes.is_empty() => Err(NoGroup),
    };
    match reply {
        Ok(reply) => {
            relay.set_heartbeat_interval(reply.interval.duration());
            // Before the grants, which let requests through. After a stop of all replicas, the leader can tell its
            // age about 0.3 s before the other replicas can confirm theirs.
            let age = reply.age.map(Duration::from_millis);
            relay.context.board.record_answer(reply.document, access.leader(), sent_at, age);
            relay.allowances().apply_grants(&report, &reply.grants, clock::now());
            relay.releases().apply_updates(reply.releases);
            relay.origins().mark_reported(&heartbeat.streams);
            if reply.needs_full {
                relay.origins().forget_reports();
            } else if heartbeat.streams.len() == MAX_REPORTED {
                relay.heartbeat_requested.notify_one();
            }
            if let Some(update) = reply.engines {
                delta_state.models_hash = Some(update.hash);
                relay.engines().apply_pooled(update.models);
            }
            relay.servers.apply_part_loads(&reply.loads);
            quarantine::apply_answer(
                relay,
                &heartbeat.quarantine,
                reply.quarantine,
                reply.needs_full,
            );
            relay.usage().forget(reply.settled);
            delta_state.sender.handle_answer(delta, reply.needs_full, reply.settled);
            if reply.needs_full {
                relay.heartbeat_requested.notify_one();
            }
            relay.set_relay_count(reply.relays);
            relay.leader_replied.notify_waiters();
            if let Some(index) = reply.list {
                relay.apply_index(Arc::unwrap_or_clone(index));
            }
            true
        }
        Err(error) => {
            tracing::debug!(event = "beat_unanswered", %error);
            false
        }
    }
}
