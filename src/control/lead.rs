//! What the leader knows besides the log: what boxes told, the teams' levels, the list of backend servers.
//! It answers boxes' words from it, and [`super::duties`] acts by it towards the platform.
//!
//! All of it is soft state of one term. A new leader learns it again from the boxes' beats, and acts
//! on the platform only after the former one can no longer do so.

use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet};
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::heartbeat::{BoxHeartbeat, HeartbeatReply};
use super::models::ModelsBroadcast;
use super::rollouts::Rollouts;
use super::spend::{Spender, Weights};
use crate::decide::allowance::{Grant, LEASE_DURATION, TeamDemand};
use crate::decide::capacity::OfferedLoad;
use crate::decide::engine::{EngineLearner, EngineModel, Sample};
use crate::decide::intervals::heartbeat_interval;
use crate::decide::limit_leases::{LimitLeases, ReportOrigin};
use crate::decide::lives;
use crate::decide::loads::{self, LoadPool};
use crate::decide::presence::{ABSENCE_TIMEOUT, RelayPresence};
use crate::decide::quarantine::{FleetQuarantine, QuarantineReport, QuarantineUpdate};
use crate::decide::report_delta::{DeltaReceiver, ReportDelta};
use crate::decide::throttle::{LimitLease, LimitReport};
use crate::decide::token_bucket::{self, ReserveNote, TokenBucket, Tolerance};
use crate::group::driver::Unanswered;
use crate::ids::{
    BackendId, BoxId, Incarnation, Release, ServiceName, TeamName, Term, Version, Window,
};
use crate::node::Node;
use crate::platform::client::Order;
use crate::relay::list::{ContentHash, IncarnationReport, PackedParts, PartId, Server};
use crate::relay::list_registry::ListRegistry;
use crate::relay::listing::UnreadableEntry;
use crate::relay::part_loads::{self, PartLoads};
use crate::relay::table::RouteTable;
use crate::settings::CloudSettings;
use crate::state::notes::{LowTeams, Models, Spells};
use crate::sync::lock;
use crate::units::UnixMillis;

/// How long a relay without a list waits for the first one in a call: less than it waits for the answer.
const LIST_WAIT: Duration = Duration::from_millis(250);

/// Time between two lines about a team that is refused.
const SAY_TIME: Duration = Duration::from_millis(500);

/// Time after which a relay's counts are forgotten.
const FORGET_TIME: Duration = Duration::from_secs(40);

/// Time between two looks at which relays are gone: a walk over all of them for each word would cost the
/// leader relays times relays.
const SWEEP_TIME: Duration = Duration::from_millis(100);

/// Services that no document names of which the group is had to keep a release in one term at most: entries of
/// other writers may name any.
const UNNAMED_LIMIT: usize = 64;

/// Entries of the list that cannot be read said in one term at most: whoever writes them may write many.
const UNREAD_LIMIT: usize = 256;

/// What one life of a relay has told.
struct BoxState {
    heard: Instant,
    /// The published document that it had.
    document: Version,
    offered: BTreeMap<ServiceName, OfferedLoad>,
    told: DeltaReceiver,
}

/// What a team was refused of late.
#[derive(Default)]
struct Missed {
    sum: f64,
    said: Option<Instant>,
}

impl Missed {
    /// One line for a team that is refused, at most one in [`SAY_TIME`].
    fn note(&mut self, team: &TeamName, refused: f64, level: &TokenBucket) {
        self.sum += refused;
        let due = self.said.is_none_or(|said| said.elapsed() > SAY_TIME);
        if self.sum > 0.0 && due {
            tracing::info!(
                event = "team_refused", %team, units = self.sum as u64, left = level.available() as i64,
                whole = level.available_and_leased() as i64,
            );
            *self = Self { sum: 0.0, said: Some(Instant::now()) };
        }
    }
}

/// The soft state of one term.
pub(crate) struct LeaderState {
    term: Term,
    pub(super) since: Instant,
    /// Whether nobody can have carried out a duty before: nothing was published yet.
    first: bool,
    words: BTreeMap<(BoxId, Incarnation), BoxState>,
    pub(super) presence: RelayPresence,
    swept: Instant,
    pub(super) levels: BTreeMap<TeamName, TokenBucket>,
    /// The table whose teams have levels.
    levelled: Option<Version>,
    missed: BTreeMap<TeamName, Missed>,
    /// The teams whose levels may be low, as the group has noted; `None` until that is known.
    pub(super) low: Option<LowTeams>,
    /// Those that are to be noted.
    pub(super) lacking: LowTeams,
    pub(super) table: Option<Arc<RouteTable>>,
    pub(super) list: ListRegistry,
    /// Services that are listed and were not published when their release was noted.
    unnamed: BTreeSet<ServiceName>,
    /// The entries that cannot be read and were said.
    unread: BTreeSet<UnreadableEntry>,
    /// What backend servers told the relays of their loads.
    pub(super) loads: LoadPool,
    pub(super) settled: Window,
    pub(super) spender: Spender,
    /// What is known of engines, and what of it the group has kept.
    pub(super) engines: Models,
    /// What the leader learns itself, from the samples of boxes without a fit of their own.
    learners: BTreeMap<ServiceName, EngineLearner>,
    spread: ModelsBroadcast,
    pub(super) kept: Models,
    /// What the group has kept of dry spells; `None` until that is known.
    pub(super) spells: Option<Spells>,
    /// When the group was asked to keep any of it last.
    pub(super) engines_noted: Option<Instant>,
    pub(super) rollouts: Rollouts,
    pub(super) quarantine: FleetQuarantine,
    limit_leases: LimitLeases,
}

impl LeaderState {
    fn new(term: Term, first: bool, weights: Weights) -> Self {
        Self {
            term,
            since: Instant::now(),
            first,
            words: BTreeMap::new(),
            presence: RelayPresence::new(Instant::now()),
            swept: Instant::now(),
            levels: BTreeMap::new(),
            levelled: None,
            missed: BTreeMap::new(),
            low: None,
            lacking: LowTeams::new(),
            table: None,
            list: ListRegistry::default(),
            unnamed: BTreeSet::new(),
            unread: BTreeSet::new(),
            loads: LoadPool::default(),
            settled: Window(0),
            spender: Spender::new(first, weights),
            engines: Models::new(),
            learners: BTreeMap::new(),
            spread: ModelsBroadcast::default(),
            kept: Models::new(),
            spells: None,
            engines_noted: None,
            rollouts: Rollouts::default(),
            quarantine: FleetQuarantine::default(),
            limit_leases: LimitLeases::default(),
        }
    }

    /// Whether duties may be carried out: something is published, and no former holder can still act.
    fn may_act(&self, lease: Duration) -> bool {
        self.table.is_some() && (self.first || self.since.elapsed() > lease)
    }

    /// Whether this leader can tell a relay which servers there are and which releases get requests. It tells
    /// both or neither: a box that knew the servers only would send to any release.
    fn is_informed(&self) -> bool {
        !self.list.is_empty() && self.rollouts.is_known()
    }

    /// Takes a relay's word and answers it.
    fn handle_heartbeat(&mut self, beat: BoxHeartbeat, tolerance: Tolerance) -> HeartbeatReply {
        let now = Instant::now();
        self.sweep(now);
        let box_id = beat.box_id.clone();
        let own = beat.data_centre.clone();
        let key = (box_id.clone(), beat.life);
        self.learn_relays(&box_id, beat.life, beat.relays);
        let allowed = self.grant(&beat.box_id, beat.life, beat.turn, &beat.demand, tolerance);
        let since = self.since.elapsed().as_secs_f64();
        let releases = self.rollouts.hear(since, &key, &beat.trials);
        let before = self.presence.record(&beat.box_id, now);
        self.loads.record_samples(beat.loads, now);
        self.record_samples(beat.samples);
        self.record_incarnations(beat.lives, now);
        let quarantine = self.record_ends(beat.quarantine, now);
        let (whole, turn, after) = (beat.whole, beat.turn, beat.after);
        let news = ReportDelta {
            is_full: whole,
            seq: turn,
            base_seq: after,
            usage: beat.usage,
            engines: beat.engines,
        };
        let mut told = self.words.remove(&key).map(|word| word.told).unwrap_or_default();
        let lacks = told.apply(news, self.settled);
        let word = BoxState { heard: now, document: beat.document, offered: beat.offered, told };
        self.words.insert(key, word);
        let relays = self.presence.estimated_relays(now);
        let index = self.is_informed().then(|| self.list.index_for_location(&box_id, own.as_ref()));
        let parts = index.as_ref().map(|index| self.list.listed_parts(index)).unwrap_or_default();
        let loads = self.draw_loads(&parts, now, before);
        let list = index.filter(|index| beat.list != Some(index.hash));
        let engines = self.spread.news(&self.engines, beat.models);
        HeartbeatReply {
            list,
            document: Version(0),
            age: None,
            allowed,
            engines,
            lacks,
            releases,
            loads,
            quarantine,
            settled: self.settled,
            relays,
            interval: heartbeat_interval(relays).into(),
            data_centre: None,
        }
    }

    /// Takes a box's word of servers that ended; the word of held requests that is news to it.
    fn record_ends(&mut self, word: QuarantineReport, now: Instant) -> Option<QuarantineUpdate> {
        let (has, unix) = (word.known_version, UnixMillis::now());
        self.quarantine.apply_report(word, now);
        let changes = self.quarantine.evaluate(now, unix);
        for request in &changes.added {
            let ends = self.quarantine.crash_count(request);
            tracing::warn!(event = "request_judged", %request, ends, held = true);
        }
        for request in &changes.lifted {
            tracing::warn!(event = "request_judged", %request, held = false);
        }
        self.quarantine.update_for(has, rand::random(), unix)
    }

    /// Leases a box shares of the limits that servers named to it.
    pub(super) fn lease_limits(
        &mut self,
        origin: ReportOrigin<'_>,
        reports: &[LimitReport],
        now: Instant,
    ) -> Vec<LimitLease> {
        let is_taking_over = !self.first && self.since.elapsed() < LEASE_DURATION;
        self.limit_leases.handle_reports(origin, reports, is_taking_over, now)
    }

    /// Some loads of the servers of a box's parts, fewer where it was answered just before.
    fn draw_loads(
        &self,
        parts: &[(ContentHash, Vec<&BackendId>)],
        now: Instant,
        before: Option<Instant>,
    ) -> Vec<PartLoads> {
        let listed: Vec<_> = parts.iter().flat_map(|(_, servers)| servers).copied().collect();
        let mut drawn = self.loads.sample(&listed, now, rand::random());
        drawn.truncate(loads::due_samples(before.map(|before| now - before)));
        part_loads::to_part_loads(&drawn, parts)
    }

    /// The entries of the last reading of the list that cannot be read, each said once in a term.
    pub(super) fn first_unread(&mut self) -> Vec<UnreadableEntry> {
        let mut first = Vec::new();
        for unread in self.list.unreadable() {
            if self.unread.len() < UNREAD_LIMIT && self.unread.insert(unread.clone()) {
                first.push(unread.clone());
            }
        }
        first
    }

    /// Learns from a relay's samples; of services that no document names nothing is kept.
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

    /// Takes a relay's words of lives. All relays hear of them with the next reading of the list.
    fn record_incarnations(&mut self, lives: Vec<IncarnationReport>, now: Instant) {
        for told in lives {
            if self.list.apply_incarnation(&told, now) == lives::IncarnationUpdate::Restarted {
                tracing::info!(event = "backend_server_restarted", backend_server = %told.server);
                self.loads.restart(told.server, now);
            }
        }
    }

    /// Forgets the relays that are gone, at most once in [`SWEEP_TIME`].
    fn sweep(&mut self, now: Instant) {
        if now - self.swept < SWEEP_TIME {
            return;
        }
        self.swept = now;
        self.presence.remove_absent(now);
        self.words.retain(|_, word| word.heard + FORGET_TIME > now);
    }

    /// Takes how many relays a former leader told a box of, with its first message of any kind: what the
    /// others may still have on lease stands against what comes in. Later ones tell what this leader has said
    /// itself.
    pub(super) fn learn_relays(&mut self, box_id: &BoxId, life: Incarnation, relays: Option<u32>) {
        if !self.words.contains_key(&(box_id.clone(), life)) {
            self.presence.record_told(box_id, relays);
        }
    }

    /// What a box may use of its teams' limits, by its demand in report `turn`.
    pub(super) fn grant(
        &mut self,
        box_id: &BoxId,
        life: Incarnation,
        turn: u64,
        teams: &BTreeMap<TeamName, TeamDemand>,
        tolerance: Tolerance,
    ) -> BTreeMap<TeamName, Grant> {
        let now = self.since.elapsed().as_secs_f64();
        let Some(table) = self.table.clone() else {
            return BTreeMap::new();
        };
        self.follow_teams(&table, now);
        let unheard = self.presence.unheard_relays();
        let mut allowed = BTreeMap::new();
        for (name, demand) in teams {
            let Some(limit) = table.teams.get(name).and_then(|team| team.limit()) else {
                continue;
            };
            let limit = limit.with_tolerance(tolerance);
            let level = self.levels.entry(name.clone()).or_insert_with(|| TokenBucket::new(now));
            let report = token_bucket::TeamReport { incarnation: life, seq: turn, demand: *demand };
            let missed = self.missed.entry(name.clone()).or_default();
            missed.note(name, demand.refused, level);
            let noted = match &self.low {
                None => ReserveNote::Unknown,
                Some(low) if low.contains(name) => ReserveNote::Low,
                Some(_) => ReserveNote::Intact,
            };
            if let Some(grant) = level.handle_report(now, limit, noted, unheard, box_id, report) {
                allowed.insert(name.clone(), grant);
            }
            if level.needs_low_note() {
                self.lacking.insert(name.clone());
            }
        }
        allowed
    }

    /// Whether something waits for the group to note it.
    pub(super) fn has_notes(&mut self) -> bool {
        self.low.is_none()
            || !self.lacking.is_empty()
            || self.quarantine.pending_change().is_some()
            || self.presence.next_stored(Instant::now()).is_some()
    }

    /// Keeps a level for each team of the table, from the first word that this leader hears on: one
    /// that nobody speaks of fills up.
    fn follow_teams(&mut self, table: &RouteTable, now: f64) {
        if self.levelled == Some(table.version) {
            return;
        }
        self.levelled = Some(table.version);
        self.levels.retain(|name, _| table.teams.contains_key(name));
        self.missed.retain(|name, _| table.teams.contains_key(name));
        for name in table.teams.keys() {
            self.levels.entry(name.clone()).or_insert_with(|| TokenBucket::new(now));
        }
    }

    /// Takes what the relays that are present say of the services' demand.
    fn record_demand(&mut self) {
        let mut sums: BTreeMap<ServiceName, OfferedLoad> = BTreeMap::new();
        let present = self.words.values().filter(|word| word.heard.elapsed() < ABSENCE_TIMEOUT);
        for (service, offered) in present.flat_map(|word| &word.offered) {
            let sum = sums.entry(service.clone()).or_default();
            *sum = *sum + *offered;
        }
        let age =
            heartbeat_interval(self.presence.estimated_relays(Instant::now())).as_secs_f64() / 2.0;
        self.spender.note(self.since.elapsed().as_secs_f64(), age, &sums);
        self.pool_engines();
    }

    /// Takes what the relays have learned of engines together. What the group has kept stands until
    /// they have seen more than a few requests.
    fn pool_engines(&mut self) {
        let now = Instant::now();
        let present = || self.words.values().filter(move |word| word.heard + ABSENCE_TIMEOUT > now);
        let words = || present().map(|word| &word.told.engines);
        let own: Models =
            self.learners.iter().map(|(name, it)| (name.clone(), it.model())).collect();
        let named = words().chain([&own]).flat_map(|models| models.keys().cloned());
        for service in named.collect::<BTreeSet<_>>() {
            let told = words().filter_map(|models| models.get(&service));
            let model = EngineModel::pool_with(told, own.get(&service));
            if model.is_learned() {
                self.engines.insert(service, model);
            }
        }
    }

    /// The orders for engines that are due.
    pub(super) fn orders(&mut self) -> Vec<Order> {
        let now = self.since.elapsed().as_secs_f64();
        let Some(table) = &self.table else {
            return Vec::new();
        };
        // Before the first list nothing is known of engines, and none being listed says nothing.
        if self.list.is_empty() {
            return Vec::new();
        }
        // The servers of a release that is being tried are the platform's to start and to stop.
        let listed = self.list.servers();
        let servers: Cow<'_, [Server]> = match self.rollouts.is_idle() {
            true => listed.into(),
            false => {
                let stands = |it: &&Server| !self.rollouts.is_tried(&it.service, &it.release);
                listed.iter().filter(stands).cloned().collect()
            }
        };
        self.spender.orders(now, table, &self.engines, &servers)
    }

    /// Whether the group keeps releases of a service: of those that are published, and of some that are not
    /// yet, so that they serve from their publication on.
    fn is_kept(&mut self, service: &ServiceName) -> bool {
        let published =
            self.table.as_ref().is_some_and(|table| table.services.contains_key(service));
        if published || self.unnamed.contains(service) {
            return true;
        }
        self.unnamed.len() < UNNAMED_LIMIT && self.unnamed.insert(service.clone())
    }

    /// The releases that run of the services of which the group knows none, if there are any: of each the
    /// one with the most servers.
    pub(super) fn unknown_releases(&mut self) -> Option<BTreeMap<ServiceName, Release>> {
        let mut counts: BTreeMap<&ServiceName, BTreeMap<&Release, usize>> = BTreeMap::new();
        for server in self.list.servers() {
            if self.rollouts.in_force(&server.service).is_none()
                && !self.rollouts.is_tried(&server.service, &server.release)
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
        running.retain(|service, _| self.is_kept(service));
        (!running.is_empty()).then_some(running)
    }

    /// The counts of a window over all boxes and lives.
    pub(super) fn counts(&self, window: Window) -> BTreeMap<TeamName, u64> {
        let mut sum = BTreeMap::new();
        for teams in self.words.values().filter_map(|word| word.told.usage.get(&window)) {
            for (name, count) in teams {
                *sum.entry(name.clone()).or_insert(0) += count;
            }
        }
        sum
    }
}

/// Answers a relay's beat, if this process leads. One from a relay without a list waits for the first list
/// of this term: a relay that has just started asks once, and hears as soon as there is something to
/// hear.
pub(crate) async fn handle_heartbeat(
    node: Arc<Node>,
    beat: BoxHeartbeat,
) -> Result<HeartbeatReply, Unanswered> {
    let term = node.leading_term().await.ok_or(Unanswered::NotLeader(None))?;
    if beat.list.is_none() {
        wait_listed(&node, term).await;
    }
    // The age first: the document is at least as new.
    let age = node.board.age().filter(|_| node.board.revision() == beat.revision);
    let age = age.map(|age| age.as_millis() as u64);
    let document = node.board.document().version;
    let data_centre = beat.whole.then(|| node.settings.node.data_centre.clone());
    let noted = node.board.quarantine();
    let (reply, is_lacking) = node.with_lead(term, |lead| {
        if lead.quarantine.is_known() {
            lead.quarantine.apply_replicated(noted);
        }
        let reply = HeartbeatReply {
            document,
            age,
            data_centre,
            ..lead.handle_heartbeat(beat, tolerance(&node))
        };
        (reply, lead.has_notes())
    });
    if is_lacking {
        node.lacking.notify_one();
    }
    Ok(reply)
}

/// Waits until the leader of `term` has learned something more of servers and releases, at most
/// [`LIST_WAIT`].
async fn wait_listed(node: &Node, term: Term) {
    let mut listed = pin!(node.listed.notified());
    listed.as_mut().enable();
    if !node.with_lead(term, |lead| lead.is_informed()) {
        let _ = tokio::time::timeout(LIST_WAIT, listed).await;
    }
}

/// Gives the contents of parts of the list of backend servers, if this process leads.
pub(crate) async fn give_parts(
    node: Arc<Node>,
    wanted: Vec<PartId>,
) -> Result<PackedParts, Unanswered> {
    let term = node.leading_term().await.ok_or(Unanswered::NotLeader(None))?;
    Ok(node.with_lead(term, |lead| lead.list.packed_parts(&wanted, Instant::now())))
}

pub(super) fn tolerance(node: &Node) -> Tolerance {
    let quota = node.settings.quota;
    Tolerance {
        window: quota.window.duration().as_secs_f64(),
        overshoot: quota.overshoot,
        slack: quota.slack,
    }
}

impl Node {
    /// The term in which this process may carry out duties.
    pub(super) async fn acting_term(&self, settings: &CloudSettings) -> Option<Term> {
        let term = self.leading_term().await?;
        follow_table(self, term);
        let may_act = self.with_lead(term, |lead| {
            lead.record_demand();
            lead.may_act(settings.lease.duration())
        });
        may_act.then_some(term)
    }

    /// How many boxes that were heard lately had an older document than the newest, where this process leads.
    pub(crate) fn boxes_behind(&self) -> Option<usize> {
        let newest = self.board.document().version;
        let held = lock(&self.lead);
        let lead = held.as_ref().filter(|lead| self.board.leading() == Some(lead.term))?;
        let present = lead.words.values().filter(|word| word.heard.elapsed() < ABSENCE_TIMEOUT);
        Some(present.filter(|word| word.document < newest).count())
    }

    /// Runs `f` with the soft state of the term this process leads in.
    pub(super) fn with_lead<R>(&self, term: Term, f: impl FnOnce(&mut LeaderState) -> R) -> R {
        let first = self.board.document().version.0 == 0;
        let weights = self.settings.cloud.as_ref().map(|cloud| Weights {
            late: cloud.late_weight.duration().as_secs_f64(),
            surge: cloud.surge,
        });
        let weights = weights.unwrap_or_default();
        let mut held = lock(&self.lead);
        if held.as_ref().is_none_or(|lead| lead.term != term) {
            tracing::info!(event = "leading", term = %term);
            *held = None;
        }
        let new = || {
            let list = ListRegistry::new(self.settings.regions.clone());
            LeaderState { list, ..LeaderState::new(term, first, weights) }
        };
        f(held.get_or_insert_with(new))
    }
}

/// Keeps the teams' limits at those of the published document.
pub(super) fn follow_table(node: &Node, term: Term) {
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
