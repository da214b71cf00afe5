//! A relay's word to the leader, and what comes back: one call carries the demand and use of the
//! teams, and brings their allowances and what is new of the list of backend servers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;
use serde::{Deserialize, Serialize};

use super::models::ModelsUpdate;
use crate::clock;
use crate::decide::allowance::{Grant, TeamDemand};
use crate::decide::capacity::OfferedLoad;
use crate::decide::engine::Sample;
use crate::decide::intervals::retry_delay;
use crate::decide::loads::LoadSample;
use crate::decide::quarantine::{QuarantineReport, QuarantineUpdate};
use crate::decide::releases::{ReleaseUpdate, TrialReport};
use crate::decide::report_delta::DeltaSender;
use crate::group::access::Access;
use crate::ids::{
    BoxId, DataCentre, Incarnation, Revision, ServiceName, TeamName, Version, Window,
};
use crate::relay::list::{ContentHash, IncarnationReport, ListIndex};
use crate::relay::part_loads::PartLoads;
use crate::relay::usage::Counts;
use crate::relay::{Relay, quarantine};
use crate::state::notes::Models;
use crate::units::Millis;

/// Time between two beats while a roll-out is about to change.
const SOON_TIME: Duration = Duration::from_millis(200);

/// Least time between two beats, also when something is to be told at once.
const HURRY_TIME: Duration = Duration::from_millis(60);

/// How long the leader may take, with the search for it.
const ANSWER_TIME: Duration = Duration::from_millis(1_200);

/// What a relay tells the leader.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct BoxHeartbeat {
    /// The box.
    pub box_id: BoxId,
    /// Its data centre: it is to know mostly the servers near it.
    pub data_centre: Option<DataCentre>,
    /// The life of its process: counts of different lives add up.
    pub life: Incarnation,
    /// The print of the index it has of its parts of the list of backend servers.
    pub list: Option<ContentHash>,
    /// The configuration it has.
    pub revision: Revision,
    /// The published document it has.
    pub document: Version,
    /// Whether this is all that the box has to tell, not only what is news since its last word.
    pub whole: bool,
    /// Requests that began to run, in the windows whose reports are not known to be fixed: those windows
    /// whose counts are news.
    pub usage: Counts,
    /// Prompt tokens a second that callers bring for each service.
    pub offered: BTreeMap<ServiceName, OfferedLoad>,
    /// What this box has learned of engines, if it is news.
    pub engines: Option<Models>,
    /// What requests showed of engines of which the box knows too little for a fit of its own.
    pub samples: BTreeMap<ServiceName, Vec<Sample>>,
    /// The print of what it was told of engines last.
    pub models: Option<ContentHash>,
    /// What the teams that come to this box used and were refused.
    pub demand: BTreeMap<TeamName, TeamDemand>,
    /// What it saw of the releases that are being tried.
    pub trials: BTreeMap<ServiceName, TrialReport>,
    /// Loads that backend servers told it since its last word.
    pub loads: Vec<LoadSample>,
    /// Lives of backend servers that the leader's list did not show.
    pub lives: Vec<IncarnationReport>,
    /// Servers that ended under its requests, and what that is news to.
    pub quarantine: QuarantineReport,
    /// Which of the words of this life this is.
    pub turn: u64,
    /// The last of them that was answered.
    pub after: u64,
    /// Relays that share the limits, as a leader said last.
    pub relays: Option<u32>,
}

/// What the leader answers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// Which parts of the list of backend servers the relay is to have, if that is news to it.
    pub list: Option<Arc<ListIndex>>,
    /// The newest published document.
    pub document: Version,
    /// How long ago the leader was last sure to have the newest document and configuration, in
    /// milliseconds; nothing is said to a relay with another configuration.
    pub age: Option<u64>,
    /// What the teams may use on this box.
    pub allowed: BTreeMap<TeamName, Grant>,
    /// What all boxes have learned of engines, if it is news to the box.
    pub engines: Option<ModelsUpdate>,
    /// Whether the leader lacks what earlier words of this life of the box told.
    pub lacks: bool,
    /// Which releases get the services' requests; nothing while the leader is not sure.
    pub releases: Option<BTreeMap<ServiceName, ReleaseUpdate>>,
    /// Loads that backend servers told other boxes.
    pub loads: Vec<PartLoads>,
    /// Which requests no server gets any more, if that is news to the box.
    pub quarantine: Option<QuarantineUpdate>,
    /// The last window whose report is fixed.
    pub settled: Window,
    /// Relays that share the limits.
    pub relays: u32,
    /// Time until the box's next heartbeat.
    pub interval: Millis,
    /// The leader's data centre, to a word that tells all.
    pub data_centre: Option<DataCentre>,
}

/// What the two sides have of each other.
#[derive(Default)]
struct Told {
    telling: DeltaSender,
    /// The print of what the leader told of engines last.
    models: Option<ContentHash>,
}

/// Beats until the task is dropped.
pub(crate) async fn run(relay: Arc<Relay>, access: Access, box_id: BoxId, life: Incarnation) {
    let (mut lost, mut failed) = (false, 0);
    let mut told = Told::default();
    loop {
        let heard = beat(&relay, &access, &mut told, &box_id, life).await;
        if heard == lost {
            let version = relay.servers.version();
            tracing::info!(event = "leader_heard", heard, list_term = %version.term);
        }
        lost = !heard;
        let listed = relay.servers.index_hash().is_some();
        failed = if heard && listed { 0 } else { failed + 1 };
        let pause = match (failed > 0, relay.releases().should_report_often()) {
            (true, _) => retry_delay(relay.relay_count(), failed - 1),
            (false, true) => SOON_TIME,
            (false, false) => relay.heartbeat_interval(),
        };
        let jitter = rand::rng().random_range(0.85..1.15);
        let hurried = async {
            tokio::time::sleep(HURRY_TIME).await;
            relay.heartbeat_requested.notified().await;
        };
        let _ = tokio::time::timeout(pause.mul_f64(jitter), hurried).await;
    }
}

/// One beat; whether it was answered.
async fn beat(
    relay: &Relay,
    access: &Access,
    told: &mut Told,
    box_id: &BoxId,
    life: Incarnation,
) -> bool {
    let asked = clock::now();
    let mut report = relay.allowances().heartbeat_report(asked);
    let turn = report.seq;
    let news = told.telling.delta(turn, relay.usage().counts(), relay.engines().learned());
    let beat = BoxHeartbeat {
        box_id: box_id.clone(),
        data_centre: Some(relay.context.topology.own().clone()),
        life,
        list: relay.servers.index_hash(),
        revision: relay.context.board.revision(),
        document: relay.context.board.document().version,
        whole: news.is_full,
        usage: news.usage.clone(),
        offered: relay.offered().rates(Instant::now()),
        engines: news.engines.clone(),
        samples: relay.engines().take_samples(),
        models: told.models,
        demand: std::mem::take(&mut report.teams),
        trials: relay.releases().build_reports(Instant::now()),
        loads: relay.loads().drain(Instant::now()),
        lives: relay.servers.unreported_incarnations(),
        quarantine: relay.quarantine().report(Instant::now()),
        turn,
        after: news.base_seq,
        relays: relay.known_relay_count(),
    };
    match access.beat(&beat, ANSWER_TIME).await {
        Ok(reply) => {
            relay.set_heartbeat_interval(reply.interval.duration());
            relay.allowances().apply_grants(&report, &reply.allowed, clock::now());
            relay.releases().apply_updates(reply.releases);
            if let Some(word) = reply.engines {
                told.models = Some(word.print);
                relay.engines().apply_pooled(word.models);
            }
            relay.servers.apply_part_loads(&reply.loads);
            // After a stop of everything the leader knows this about 0.3 s before the other replicas can be sure.
            let age = reply.age.map(Duration::from_millis);
            relay.context.board.record_answer(reply.document, access.leader(), asked, age);
            quarantine::apply_answer(relay, &beat.quarantine, reply.quarantine, reply.lacks);
            relay.usage().forget(reply.settled);
            told.telling.handle_answer(news, reply.lacks, reply.settled);
            if reply.lacks {
                relay.heartbeat_requested.notify_one();
            }
            relay.set_relay_count(reply.relays);
            relay.leader_replied.notify_waiters();
            if let Some(news) = reply.list {
                relay.apply_index(Arc::unwrap_or_clone(news));
            }
            true
        }
        Err(error) => {
            tracing::debug!(event = "beat_unanswered", %error);
            false
        }
    }
}
