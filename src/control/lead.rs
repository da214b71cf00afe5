//! The leader's state outside the replicated log: the latest heartbeat data of each box, the teams' token buckets
//! and the list of backend servers. Replies to heartbeats are built from it, and [`super::duties`] uses it for
//! its calls to the platform.
//!
//! This is soft state of one term and is never persisted. A new leader rebuilds it from heartbeats, and calls the
//! platform only once the former leader's lease has ended.

use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet};
use std::pin::pin;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::heartbeat::{BoxHeartbeat, HeartbeatReply};
use super::models::ModelsBroadcast;
use super::rollouts::{LeaderRollouts, SoleWord};
use super::serving::ServingTracker;
use super::spend::{Autoscaler, CostWeights};
use crate::decide::allowance::{Grant, LEASE_DURATION, TeamDemand};
use crate::decide::capacity::OfferedLoad;
use crate::decide::ends::Evidence;
use crate::decide::engine::{EngineLearner, EngineModel, Sample};
use crate::decide::intervals::heartbeat_interval;
use crate::decide::limit_leases::{LimitLeases, ReportOrigin};
use crate::decide::lives;
use crate::decide::loads::{self, LoadPool};
use crate::decide::origin_shares::OriginShares;
use crate::decide::origins::{MAX_LEADER_ORIGINS, OriginReport, StreamOrigins};
use crate::decide::presence::{ABSENCE_TIMEOUT, RelayPresence};
use crate::decide::proxy_directory::ProxyDirectory;
use crate::decide::quarantine::{FleetQuarantine, QuarantineReport, QuarantineUpdate};
use crate::decide::report_delta::{DeltaReceiver, ReportDelta};
use crate::decide::throttle::{LimitLease, LimitReport};
use crate::decide::token_bucket::{self, ReserveNote, TokenBucket, Tolerance};
use crate::group::driver::Unanswered;
use crate::ids::{
    BackendId, BoxId, Incarnation, Release, ServiceName, Suspect, TeamName, Term, Version, Window,
};
use crate::node::Node;
use crate::platform::client::Order;
use crate::relay::list::{ContentHash, IncarnationReport, PackedParts, PartId, Server};
use crate::relay::list_registry::ListRegistry;
use crate::relay::listing::UnreadableEntry;
use crate::relay::part_loads::{self, PartLoads};
use crate::relay::table::RouteTable;
use crate::settings::CloudSettings;
use crate::state::notes::{LowTeams, Models, OutageHistories};
use crate::sync::lock;
use crate::units::UnixMillis;

/// How long the heartbeat of a relay that has no list is held until the first list is known. It has to be shorter
/// than the relay's timeout for the call.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(250);

/// Minimum time between two log lines about refused requests of one team.
const REFUSAL_LOG_INTERVAL: Duration = Duration::from_millis(500);

/// How long the reports of a relay are kept after its last heartbeat.
const REPORT_RETENTION: Duration = Duration::from_secs(40);

/// Minimum time between two removals of absent relays. Each scans all relays, so that one per heartbeat would make
/// the leader's cost quadratic in the number of relays.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of services missing from the published document whose releases the group is asked to store in one
/// term. The list has entries of other writers, which may name any number of services.
const MAX_UNPUBLISHED_SERVICES: usize = 64;

/// Maximum number of unreadable list entries logged in one term, since others write the list and may add any number.
const MAX_LOGGED_UNREADABLE: usize = 256;

/// The latest reports of one incarnation of a relay.
struct RelayState {
    received_at: Instant,
    /// The version of the published document that the relay had.
    document: Version,
    offered: BTreeMap<ServiceName, OfferedLoad>,
    /// The usage counts and engine models merged from its delta reports.
    deltas: DeltaReceiver,
    /// The services of which it knows that several releases may have begun streams.
    shared: BTreeSet<ServiceName>,
}

/// Sums up what a team was refused and limits how often that is logged.
#[derive(Default)]
struct RefusalLog {
    refused: f64,
    logged_at: Option<Instant>,
}

impl RefusalLog {
    /// Adds `refused`, and logs the sum unless the last log line is younger than [`REFUSAL_LOG_INTERVAL`].
    fn record(&mut self, team: &TeamName, refused: f64, bucket: &TokenBucket) {
        self.refused += refused;
        let due = self.logged_at.is_none_or(|logged_at| logged_at.elapsed() > REFUSAL_LOG_INTERVAL);
        if self.refused > 0.0 && due {
            tracing::info!(
                event = "team_refused", %team, units = self.refused as u64, left = bucket.available() as i64,
                whole = bucket.available_and_leased() as i64,
            );
            *self = Self { refused: 0.0, logged_at: Some(Instant::now()) };
        }
    }
}

/// The leader's soft state of one term.
pub(crate) struct LeaderState {
    term: Term,
    pub(super) started_at: Instant,
    /// Whether no leader can have called the platform before this one, as nothing was published when the term began.
    pub(super) is_first: bool,
    relay_states: BTreeMap<(BoxId, Incarnation), RelayState>,
    pub(super) presence: RelayPresence,
    swept_at: Instant,
    pub(super) buckets: BTreeMap<TeamName, TokenBucket>,
    /// The version of the route table whose teams have token buckets.
    buckets_version: Option<Version>,
    refusal_logs: BTreeMap<TeamName, RefusalLog>,
    /// The teams whose token buckets may be below their reserve, by the replicated notes; `None` until these were read.
    pub(super) low_teams: Option<LowTeams>,
    /// The teams to be marked as low with the next note.
    pub(super) teams_to_note: LowTeams,
    pub(super) table: Option<Arc<RouteTable>>,
    pub(super) list: ListRegistry,
    /// Listed services that were not in the published document when storing their release was allowed; see
    /// [`MAX_UNPUBLISHED_SERVICES`].
    unpublished: BTreeSet<ServiceName>,
    /// The unreadable list entries that were logged already.
    logged_unreadable: BTreeSet<UnreadableEntry>,
    /// Loads that the backend servers reported to the relays.
    pub(super) loads: LoadPool,
    /// The last window whose usage report is final.
    pub(super) settled: Window,
    pub(super) spender: Autoscaler,
    /// The engine models pooled over all relays.
    pub(super) models: Models,
    /// Models fitted by the leader, from the samples of boxes that have too few for a fit of their own.
    learners: BTreeMap<ServiceName, EngineLearner>,
    models_broadcast: ModelsBroadcast,
    /// The engine models stored by the group.
    pub(super) stored_models: Models,
    /// The histories of spot capacity outages stored by the group; `None` until the notes were read.
    pub(super) stored_outages: Option<OutageHistories>,
    /// When the group was last asked to store engine models or outage histories.
    pub(super) models_stored_at: Option<Instant>,
    pub(super) rollouts: LeaderRollouts,
    pub(super) quarantine: FleetQuarantine,
    limit_leases: LimitLeases,
    /// The boxes that send requests for others.
    pub(super) proxies: ProxyDirectory,
    /// The streams that boxes began, of services with several releases. The process keeps them when it leads no more.
    pub(super) origins: Arc<Mutex<StreamOrigins>>,
    /// Those that the other replicas have not been told of.
    pub(super) origin_shares: OriginShares,
    pub(super) serving: ServingTracker,
}

impl LeaderState {
    fn new(term: Term, is_first: bool, uptime: Duration, weights: CostWeights) -> Self {
        Self {
            term,
            started_at: Instant::now(),
            is_first,
            relay_states: BTreeMap::new(),
            presence: RelayPresence::after_uptime(Instant::now(), uptime),
            swept_at: Instant::now(),
            buckets: BTreeMap::new(),
            buckets_version: None,
            refusal_logs: BTreeMap::new(),
            low_teams: None,
            teams_to_note: LowTeams::new(),
            table: None,
            list: ListRegistry::default(),
            unpublished: BTreeSet::new(),
            logged_unreadable: BTreeSet::new(),
            loads: LoadPool::default(),
            settled: Window(0),
            spender: Autoscaler::new(is_first, weights),
            models: Models::new(),
            learners: BTreeMap::new(),
            models_broadcast: ModelsBroadcast::default(),
            stored_models: Models::new(),
            stored_outages: None,
            models_stored_at: None,
            rollouts: LeaderRollouts::default(),
            quarantine: FleetQuarantine::default(),
            limit_leases: LimitLeases::default(),
            proxies: ProxyDirectory::default(),
            origins: new_origins(),
            origin_shares: OriginShares::default(),
            serving: ServingTracker::default(),
        }
    }

    /// Whether this leader may call the platform: a route table is known, and the lease of any former leader has ended.
    fn may_act(&self, lease: Duration) -> bool {
        self.table.is_some() && (self.is_first || self.started_at.elapsed() > lease)
    }

    /// Whether this leader knows both the servers and the releases in force. Relays get both or neither: with
    /// the servers alone, a box would send requests to any release.
    fn is_informed(&self) -> bool {
        !self.list.is_empty() && self.rollouts.is_known()
    }

    /// Applies the report of a relay and builds the reply.
    fn handle_heartbeat(
        &mut self,
        heartbeat: BoxHeartbeat,
        tolerance: Tolerance,
    ) -> HeartbeatReply {
        let now = Instant::now();
        self.sweep(now);
        let box_id = heartbeat.box_id.clone();
        let data_centre = heartbeat.data_centre.clone();
        let key = (box_id.clone(), heartbeat.incarnation);
        self.record_relay_count(&box_id, heartbeat.incarnation, heartbeat.relays);
        let grants = self.grant(
            &heartbeat.box_id,
            heartbeat.incarnation,
            heartbeat.seq,
            &heartbeat.demand,
            tolerance,
        );
        let elapsed = self.started_at.elapsed().as_secs_f64();
        self.record_origins(heartbeat.streams, now);
        let serving = &self.serving;
        let word = |service: &ServiceName| serving.word(service);
        let releases = self.rollouts.record_reports(elapsed, &key, &heartbeat.trials, word);
        let mut shared = heartbeat.shared;
        shared.retain(|service| serving.word(service) != SoleWord::Given);
        let last_heard = self.presence.record(&heartbeat.box_id, now);
        self.loads.record_samples(heartbeat.loads, now);
        self.record_samples(heartbeat.samples);
        self.record_incarnations(heartbeat.incarnations, now);
        let quarantine = self.apply_quarantine_report(heartbeat.quarantine, now);
        let delta = ReportDelta {
            is_full: heartbeat.is_full,
            seq: heartbeat.seq,
            base_seq: heartbeat.base_seq,
            usage: heartbeat.usage,
            engines: heartbeat.engines,
        };
        let mut deltas =
            self.relay_states.remove(&key).map(|state| state.deltas).unwrap_or_default();
        let needs_full = deltas.apply(delta, self.settled);
        let state = RelayState {
            received_at: now,
            document: heartbeat.document,
            offered: heartbeat.offered,
            deltas,
            shared,
        };
        self.relay_states.insert(key, state);
        let relays = self.presence.estimated_relays(now);
        let index =
            self.is_informed().then(|| self.list.index_for_location(&box_id, data_centre.as_ref()));
        let parts = index.as_ref().map(|index| self.list.listed_parts(index)).unwrap_or_default();
        let loads = self.sample_loads(&parts, now, last_heard);
        let is_held = heartbeat.index_hash.is_some() && self.holds_list(now);
        let list = index.filter(|index| !is_held && heartbeat.index_hash != Some(index.hash));
        let engines = self.models_broadcast.update_for(&self.models, heartbeat.models_hash);
        HeartbeatReply {
            list,
            document: Version(0),
            age: None,
            grants,
            engines,
            needs_full,
            releases,
            loads,
            quarantine,
            settled: self.settled,
            relays,
            interval: heartbeat_interval(relays).into(),
            data_centre: None,
        }
    }

    fn record_origins(&mut self, streams: Vec<OriginReport>, now: Instant) {
        let mut origins = lock(&self.origins);
        for report in streams {
            let until = now + report.left.duration();
            if origins.record(report.key, report.origin.clone(), until, now) {
                self.origin_shares.record(&report);
            }
        }
    }

    /// Applies a box's report of server crashes, and returns the quarantined requests if the box has an older version.
    fn apply_quarantine_report(
        &mut self,
        report: QuarantineReport,
        now: Instant,
    ) -> Option<QuarantineUpdate> {
        let (known_version, unix) = (report.known_version, UnixMillis::now());
        self.quarantine.apply_report(report, now);
        let changes = self.quarantine.evaluate(now, unix);
        for (suspect, held) in changes
            .added
            .iter()
            .map(|it| (it, true))
            .chain(changes.lifted.iter().map(|it| (it, false)))
        {
            let ends = held.then(|| self.quarantine.crash_count(suspect));
            let (request, segment) = suspect.names();
            tracing::warn!(event = "request_judged", request, segment, ends, held);
            if held {
                self.log_evidence(suspect);
            }
        }
        self.quarantine.update_for(known_version, rand::random(), unix)
    }

    /// Writes what is known of each segment that is held, so that a wrong verdict can be told from a right one.
    fn log_evidence(&self, suspect: &Suspect) {
        for (part, evidence) in self.quarantine.evidence(suspect) {
            let Some(segment) = part.segment() else {
                continue;
            };
            let Evidence { crashes, survivals, earlier } = evidence;
            tracing::info!(
                event = "segment_evidence", %segment, held_as = %suspect, ends = crashes, survivals, earlier,
            );
        }
    }

    /// Leases a box its shares of the request limits that backend servers set.
    pub(super) fn lease_limits(
        &mut self,
        origin: ReportOrigin<'_>,
        reports: &[LimitReport],
        now: Instant,
    ) -> Vec<LimitLease> {
        let is_taking_over = !self.is_first && self.started_at.elapsed() < LEASE_DURATION;
        self.limit_leases.handle_reports(origin, reports, is_taking_over, now)
    }

    /// A random sample of the loads of the servers in a box's parts, smaller if `last_heard` is recent.
    fn sample_loads(
        &self,
        parts: &[(ContentHash, Vec<&BackendId>)],
        now: Instant,
        last_heard: Option<Instant>,
    ) -> Vec<PartLoads> {
        let listed: Vec<_> = parts.iter().flat_map(|(_, servers)| servers).copied().collect();
        let mut sampled = self.loads.sample(&listed, now, rand::random());
        sampled.truncate(loads::due_samples(last_heard.map(|last_heard| now - last_heard)));
        part_loads::to_part_loads(&sampled, parts)
    }

    /// The unreadable entries of the last listing that were not returned before in this term, up to
    /// [`MAX_LOGGED_UNREADABLE`].
    pub(super) fn new_unreadable_entries(&mut self) -> Vec<UnreadableEntry> {
        let mut added = Vec::new();
        for entry in self.list.unreadable() {
            if self.logged_unreadable.len() < MAX_LOGGED_UNREADABLE
                && self.logged_unreadable.insert(entry.clone())
            {
                added.push(entry.clone());
            }
        }
        added
    }

    /// Feeds a relay's samples to the learners, ignoring services that the published document lacks.
    fn record_samples(&mut self, samples: BTreeMap<ServiceName, Vec<Sample>>) {
        let Some(table) = &self.table else {
            return;
        };
        for (service, samples) in samples {
            if table.services.contains_key(&service) {
                let learner = self.learners.entry(service).or_default();
                samples.into_iter().for_each(|sample| learner.record(sample));
            }
        }
    }

    /// Applies a relay's reports of server incarnations. The next listing passes them on to all relays.
    fn record_incarnations(&mut self, reports: Vec<IncarnationReport>, now: Instant) {
        for report in reports {
            if self.list.apply_incarnation(&report, now) == lives::IncarnationUpdate::Restarted {
                tracing::info!(event = "backend_server_restarted", backend_server = %report.server);
                self.loads.restart(report.server, now);
            }
        }
    }

    /// Removes absent relays, at most once per [`SWEEP_INTERVAL`].
    fn sweep(&mut self, now: Instant) {
        if now - self.swept_at < SWEEP_INTERVAL {
            return;
        }
        self.swept_at = now;
        self.presence.remove_absent(now);
        self.relay_states.retain(|_, state| state.received_at + REPORT_RETENTION > now);
    }

    /// Records the number of relays that the former leader told a box. This leader assumes that so many relays
    /// still hold leases until it has heard from them. Only the first message of a box counts, of any kind:
    /// later ones repeat what this leader said itself.
    pub(super) fn record_relay_count(
        &mut self,
        box_id: &BoxId,
        incarnation: Incarnation,
        relays: Option<u32>,
    ) {
        if !self.relay_states.contains_key(&(box_id.clone(), incarnation)) {
            self.presence.record_told(box_id, relays);
        }
    }

    /// Grants a box tokens of its teams' limits by its demand, where `seq` is the sequence number of its report.
    pub(super) fn grant(
        &mut self,
        box_id: &BoxId,
        incarnation: Incarnation,
        seq: u64,
        teams: &BTreeMap<TeamName, TeamDemand>,
        tolerance: Tolerance,
    ) -> BTreeMap<TeamName, Grant> {
        let now = self.started_at.elapsed().as_secs_f64();
        let Some(table) = self.table.clone() else {
            return BTreeMap::new();
        };
        self.sync_buckets(&table, now, tolerance);
        let unheard = self.presence.unheard_relays();
        let mut grants = BTreeMap::new();
        for (name, demand) in teams {
            let Some(limit) = table.teams.get(name).and_then(|team| team.limit()) else {
                continue;
            };
            let limit = limit.with_tolerance(tolerance);
            let bucket = self.buckets.entry(name.clone()).or_insert_with(|| TokenBucket::new(now));
            let report = token_bucket::TeamReport { incarnation, seq, demand: *demand };
            let refusal_log = self.refusal_logs.entry(name.clone()).or_default();
            refusal_log.record(name, demand.refused, bucket);
            let noted = match &self.low_teams {
                None => ReserveNote::Unknown,
                Some(low) if low.contains(name) => ReserveNote::Low,
                Some(_) => ReserveNote::Intact,
            };
            if let Some(grant) = bucket.handle_report(now, limit, noted, unheard, box_id, report) {
                grants.insert(name.clone(), grant);
            }
            if bucket.needs_low_note() {
                self.teams_to_note.insert(name.clone());
            }
        }
        grants
    }

    /// Whether notes wait to be read from the group or proposed to it.
    pub(super) fn has_pending_notes(&mut self) -> bool {
        self.low_teams.is_none()
            || !self.teams_to_note.is_empty()
            || self.quarantine.pending_change().is_some()
            || self.presence.next_stored(Instant::now()).is_some()
    }

    /// Keeps a token bucket for each team of the route table. They start with the first report that this leader gets,
    /// since the bucket of a team without demand has to fill up too.
    fn sync_buckets(&mut self, table: &RouteTable, now: f64, tolerance: Tolerance) {
        if self.buckets_version == Some(table.version) {
            return;
        }
        // Before the first leader nothing was published, so nothing can have been used. A team that comes with a later
        // table may have been there before.
        let is_unused = self.is_first && self.buckets_version.is_none();
        self.buckets_version = Some(table.version);
        self.buckets.retain(|name, _| table.teams.contains_key(name));
        self.refusal_logs.retain(|name, _| table.teams.contains_key(name));
        for (name, team) in &table.teams {
            let limit = team.limit().filter(|_| is_unused);
            let bucket = self.buckets.entry(name.clone());
            bucket.or_insert_with(|| match limit {
                Some(limit) => TokenBucket::full(now, limit.with_tolerance(tolerance)),
                None => TokenBucket::new(now),
            });
        }
    }

    /// Passes the summed load that the present relays reported on to the autoscaler, and pools their engine models.
    fn record_demand(&mut self) {
        let mut sums: BTreeMap<ServiceName, OfferedLoad> = BTreeMap::new();
        let present = self
            .relay_states
            .values()
            .filter(|state| state.received_at.elapsed() < ABSENCE_TIMEOUT);
        for (service, offered) in present.flat_map(|state| &state.offered) {
            let sum = sums.entry(service.clone()).or_default();
            *sum = *sum + *offered;
        }
        let age =
            heartbeat_interval(self.presence.estimated_relays(Instant::now())).as_secs_f64() / 2.0;
        self.spender.record_load(self.started_at.elapsed().as_secs_f64(), age, &sums);
        self.pool_models();
    }

    /// Pools the engine models of the present relays and the leader. The models stored by the group remain in use
    /// until the relays have seen more than a few requests.
    fn pool_models(&mut self) {
        let now = Instant::now();
        let present = || {
            self.relay_states
                .values()
                .filter(move |state| state.received_at + ABSENCE_TIMEOUT > now)
        };
        let reported = || present().map(|state| &state.deltas.engines);
        let own: Models =
            self.learners.iter().map(|(name, learner)| (name.clone(), learner.model())).collect();
        let services = reported().chain([&own]).flat_map(|models| models.keys().cloned());
        for service in services.collect::<BTreeSet<_>>() {
            let models = reported().filter_map(|models| models.get(&service));
            let model = EngineModel::pool_with(models, own.get(&service));
            if model.is_learned() {
                self.models.insert(service, model);
            }
        }
    }

    /// The orders for engines to place with the platform now.
    pub(super) fn orders(&mut self) -> Vec<Order> {
        let now = self.started_at.elapsed().as_secs_f64();
        let Some(table) = &self.table else {
            return Vec::new();
        };
        // An empty list means that no listing has arrived yet, not that no engine runs.
        if self.list.is_empty() {
            return Vec::new();
        }
        // The platform itself starts and stops the servers of a release on trial.
        let listed = self.list.servers();
        let servers: Cow<'_, [Server]> = match self.rollouts.is_idle() {
            true => listed.into(),
            false => {
                let is_counted =
                    |server: &&Server| !self.rollouts.is_on_trial(&server.service, &server.release);
                listed.iter().filter(is_counted).cloned().collect()
            }
        };
        self.spender.due_orders(now, table, &self.models, &servers)
    }

    /// For each incarnation of a relay, the services of which it knows that several releases may have begun streams,
    /// and when it was heard last.
    pub(super) fn relay_states(
        &self,
    ) -> impl Iterator<Item = (&BTreeSet<ServiceName>, Instant)> + '_ {
        self.relay_states.values().map(|state| (&state.shared, state.received_at))
    }

    /// Whether the group may store releases of a service: of each published one, and of up to
    /// [`MAX_UNPUBLISHED_SERVICES`] others, so that these serve as soon as they are published.
    fn may_store_releases(&mut self, service: &ServiceName) -> bool {
        let published =
            self.table.as_ref().is_some_and(|table| table.services.contains_key(service));
        if published || self.unpublished.contains(service) {
            return true;
        }
        self.unpublished.len() < MAX_UNPUBLISHED_SERVICES
            && self.unpublished.insert(service.clone())
    }

    /// For each listed service without a release in force, the release with the most servers, to be stored by the
    /// group; `None` if there is no such service.
    pub(super) fn releases_to_store(&mut self) -> Option<BTreeMap<ServiceName, Release>> {
        let mut counts: BTreeMap<&ServiceName, BTreeMap<&Release, usize>> = BTreeMap::new();
        for server in self.list.servers() {
            if self.rollouts.in_force(&server.service).is_none()
                && !self.rollouts.is_on_trial(&server.service, &server.release)
            {
                *counts.entry(&server.service).or_default().entry(&server.release).or_default() +=
                    1;
            }
        }
        let most = counts.into_iter().filter_map(|(service, releases)| {
            let (release, _) = releases.into_iter().max_by_key(|(_, count)| *count)?;
            Some((service.clone(), release.clone()))
        });
        let mut running: BTreeMap<_, _> = most.collect();
        running.retain(|service, _| self.may_store_releases(service));
        (!running.is_empty()).then_some(running)
    }

    /// The teams' usage counts of a window, summed over all incarnations of all boxes.
    pub(super) fn usage_counts(&self, window: Window) -> BTreeMap<TeamName, u64> {
        let mut sum = BTreeMap::new();
        for teams in self.relay_states.values().filter_map(|state| state.deltas.usage.get(&window))
        {
            for (name, count) in teams {
                *sum.entry(name.clone()).or_insert(0) += count;
            }
        }
        sum
    }
}

/// The origins of streams that a replica remembers, as the leader or for the next one.
pub(crate) fn new_origins() -> Arc<Mutex<StreamOrigins>> {
    Arc::new(Mutex::new(StreamOrigins::new(MAX_LEADER_ORIGINS)))
}

/// Answers a relay's heartbeat, if this process leads. The heartbeat of a relay without a list waits up to
/// [`FIRST_LIST_TIMEOUT`] for the first list of this term, so that a relay that has just started gets it without
/// polling.
pub(crate) async fn handle_heartbeat(
    node: Arc<Node>,
    heartbeat: BoxHeartbeat,
) -> Result<HeartbeatReply, Unanswered> {
    let term = node.leading_term().await.ok_or(Unanswered::NotLeader(None))?;
    if heartbeat.index_hash.is_none() {
        wait_for_list(&node, term).await;
    }
    // Read before the document, so that the document is at least as new as the age says.
    let age = node.board.age().filter(|_| node.board.revision() == heartbeat.revision);
    let age = age.map(|age| age.as_millis() as u64);
    let document = node.board.document().version;
    let data_centre = heartbeat.is_full.then(|| node.settings.node.data_centre.clone());
    let noted = node.board.quarantine();
    let has_streams = !heartbeat.streams.is_empty();
    let (reply, has_notes) = node.with_lead(term, |lead| {
        if lead.quarantine.is_known() {
            lead.quarantine.apply_replicated(noted);
        }
        let reply = HeartbeatReply {
            document,
            age,
            data_centre,
            ..lead.handle_heartbeat(heartbeat, tolerance(&node))
        };
        (reply, lead.has_pending_notes())
    });
    if has_notes {
        node.lacking.notify_one();
    }
    if has_streams {
        node.origins_reported.notify_one();
    }
    Ok(reply)
}

/// Returns at once if the leader of `term` knows the servers and releases; otherwise waits for the next change to
/// them, at most [`FIRST_LIST_TIMEOUT`].
async fn wait_for_list(node: &Node, term: Term) {
    let mut listed = pin!(node.listed.notified());
    listed.as_mut().enable();
    if !node.with_lead(term, |lead| lead.is_informed()) {
        let _ = tokio::time::timeout(FIRST_LIST_TIMEOUT, listed).await;
    }
}

/// Returns the contents of parts of the list of backend servers, if this process leads.
pub(crate) async fn packed_parts(
    node: Arc<Node>,
    wanted: Vec<PartId>,
) -> Result<PackedParts, Unanswered> {
    let term = node.leading_term().await.ok_or(Unanswered::NotLeader(None))?;
    Ok(node.with_lead(term, |lead| lead.list.packed_parts(&wanted, Instant::now())))
}

/// The tolerance for the teams' limits from the settings.
pub(super) fn tolerance(node: &Node) -> Tolerance {
    let quota = node.settings.quota;
    Tolerance {
        window: quota.window.duration().as_secs_f64(),
        overshoot: quota.overshoot,
        slack: quota.slack,
    }
}

impl Node {
    /// The term in which this process leads and may call the platform, if any.
    pub(super) async fn acting_term(&self, settings: &CloudSettings) -> Option<Term> {
        let term = self.leading_term().await?;
        load_route_table(self, term);
        let may_act = self.with_lead(term, |lead| {
            lead.record_demand();
            lead.may_act(settings.lease.duration())
        });
        may_act.then_some(term)
    }

    /// The number of present boxes whose document is older than the newest; `None` where this process does not lead.
    pub(crate) fn boxes_behind(&self) -> Option<usize> {
        let newest = self.board.document().version;
        let held = lock(&self.lead);
        let lead = held.as_ref().filter(|lead| self.board.leading() == Some(lead.term))?;
        let present = lead
            .relay_states
            .values()
            .filter(|state| state.received_at.elapsed() < ABSENCE_TIMEOUT);
        Some(present.filter(|state| state.document < newest).count())
    }

    /// Runs `f` with the soft state of `term`, which starts empty if the state held is of another term.
    pub(super) fn with_lead<R>(&self, term: Term, f: impl FnOnce(&mut LeaderState) -> R) -> R {
        let is_first = self.board.document().version.0 == 0;
        let weights = self.settings.cloud.as_ref().map(|cloud| CostWeights {
            late_cost: cloud.late_weight.duration().as_secs_f64(),
            surge_factor: cloud.surge,
        });
        let weights = weights.unwrap_or_default();
        let mut held = lock(&self.lead);
        if held.as_ref().is_none_or(|lead| lead.term != term) {
            tracing::info!(event = "leading", term = %term);
            *held = None;
        }
        let new = || {
            let list = ListRegistry::new(self.settings.regions.clone());
            let origins = self.origins.clone();
            LeaderState {
                list,
                origins,
                ..LeaderState::new(term, is_first, self.uptime(), weights)
            }
        };
        f(held.get_or_insert_with(new))
    }
}

/// Reads the route table from the published document where the leader's one is older, so that it uses the current
/// limits. An invalid document is logged and leaves the table as it was.
pub(super) fn load_route_table(node: &Node, term: Term) {
    let document = node.board.document();
    let held = node.with_lead(term, |lead| lead.table.as_ref().map(|table| table.version));
    if document.version.0 == 0 || held == Some(document.version) {
        return;
    }
    match node.dialect.read_table(&document.text) {
        Ok(table) => node.with_lead(term, |lead| lead.table = Some(Arc::new(table))),
        Err(reason) => {
            tracing::error!(event = "document_invalid", version = %document.version, reason)
        }
    }
}
