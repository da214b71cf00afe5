//! Quarantines poison requests: requests that crash the backend servers they run on are no longer
//! sent to any server. The box that sees it stops at once, and all other boxes as soon as the
//! leader knows.
//!
//! A caller that retries may reach any box, so crashes have to be counted over the whole fleet.
//! Boxes report to the leader which servers crashed under which requests. The leader finds the
//! poison requests ([`super::ends`]), has the group replicate the list and announces it to all
//! boxes. A box that cannot reach a leader acts on what it has seen itself.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::ends::{CRASHES_TO_QUARANTINE, CrashReport, CrashTracker};
use crate::ids::{BackendId, Fingerprint};
use crate::state::quarantine::{QuarantineChange, QuarantinedRequests};
use crate::units::{Millis, UnixMillis};

/// How long a request is quarantined. Software that crashes under a request is seldom fixed sooner,
/// and each new try costs three servers. Once it is fixed, operators can lift the quarantine.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(24 * 3_600);

/// Maximum number of quarantined requests. Once it is reached, further poison requests are not
/// quarantined.
const MAX_QUARANTINED: usize = 1_024;

/// Maximum number of crashes in one report to the leader. The others follow in later reports.
const MAX_REPORTED_CRASHES: usize = 16;

/// A request that a server answered within this time is not a poison request. When a new release
/// crashes under a request that the former release answered, the request gets through for this much
/// longer.
const ANSWERED_TIME: Duration = Duration::from_secs(10);

/// Number of slots for answered requests: enough for [`ANSWERED_TIME`] at 100 requests per second.
const ANSWERED_SLOTS: usize = 1_024;

/// How long servers that are shown as leaving are remembered. Within this time the leader must have
/// read the platform's list to tell a server that left from one that crashed.
const LEAVING_MEMORY: Duration = Duration::from_secs(60);

/// Minimum time between two evaluations. An evaluation visits all crashes, and when a data centre
/// fails, hundreds of boxes report hundreds of crashes at once. A fifth of the usual heartbeat
/// interval of a box.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(80);

/// Maximum number of answered requests that a box keeps until it has reported them.
const MAX_CLEARED: usize = 64;

/// A quarantined request as announced to a box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantinedRequest {
    /// The request.
    pub request: Fingerprint,
    /// For how much longer it is quarantined.
    #[serde(rename = "left")]
    pub remaining: Millis,
}

/// What a box reports to the leader.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineReport {
    /// Crashes under the box's requests that the leader does not know yet.
    #[serde(rename = "ends")]
    pub crashes: Vec<CrashReport>,
    /// Requests that were quarantined or suspected and that a server has answered.
    pub cleared: Vec<Fingerprint>,
    /// Version of the last update that the box has received; 0 if none.
    #[serde(rename = "has")]
    pub known_version: u64,
}

/// The quarantine as the leader announces it to a box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineUpdate {
    /// Version of this update; never 0.
    #[serde(rename = "mark")]
    pub version: u64,
    /// All quarantined requests.
    #[serde(rename = "held")]
    pub requests: Vec<QuarantinedRequest>,
}

/// The difference between two states of the quarantine, for logging.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct QuarantineDelta {
    /// Requests that are now quarantined.
    pub added: Vec<Fingerprint>,
    /// Requests that are no longer quarantined.
    pub lifted: Vec<Fingerprint>,
}

impl QuarantineDelta {
    fn between(before: &BTreeSet<Fingerprint>, after: &BTreeSet<Fingerprint>) -> Self {
        let added = after.difference(before).copied().collect();
        Self { added, lifted: before.difference(after).copied().collect() }
    }
}

/// Requests that a server answered recently. Each request maps to a fixed slot, so other requests
/// can only displace it, not mark it as answered.
#[derive(Debug)]
struct RecentAnswers {
    slots: Vec<Option<(Fingerprint, Instant)>>,
}

impl Default for RecentAnswers {
    fn default() -> Self {
        Self { slots: vec![None; ANSWERED_SLOTS] }
    }
}

impl RecentAnswers {
    fn slot(request: &Fingerprint) -> usize {
        usize::from(u16::from_be_bytes([request.0[0], request.0[1]])) % ANSWERED_SLOTS
    }

    fn record(&mut self, request: Fingerprint, now: Instant) {
        self.slots[Self::slot(&request)] = Some((request, now));
    }

    fn contains(&self, request: &Fingerprint, now: Instant) -> bool {
        let entry = self.slots[Self::slot(request)];
        entry.is_some_and(|(it, at)| it == *request && at + ANSWERED_TIME > now)
    }
}

/// The quarantine at a box.
#[derive(Debug, Default)]
pub struct BoxQuarantine {
    /// Requests that the leader has announced, and until when each is quarantined.
    announced: BTreeMap<Fingerprint, Instant>,
    version: u64,
    /// Servers that crashed under this box's requests.
    crashes: CrashTracker,
    /// Poison requests by these crashes, as long as the leader does not know of the crashes.
    local: BTreeSet<Fingerprint>,
    answered: RecentAnswers,
    cleared: BTreeSet<Fingerprint>,
}

impl BoxQuarantine {
    /// For how much longer a request is quarantined; `None` if it is not.
    pub fn remaining(&self, request: &Fingerprint, now: Instant) -> Option<Duration> {
        let announced =
            self.announced.get(request).map(|until| until.saturating_duration_since(now));
        let local = self.local.contains(request).then_some(QUARANTINE_TIME);
        announced.max(local).filter(|remaining| !remaining.is_zero())
    }

    /// Whether no request is quarantined.
    pub fn is_empty(&self) -> bool {
        self.announced.is_empty() && self.local.is_empty()
    }

    /// Number of quarantined requests.
    pub fn len(&self) -> usize {
        self.announced.len()
            + self.local.iter().filter(|it| !self.announced.contains_key(it)).count()
    }

    /// Records a crash. Returns what changes, and whether there is something new to report to the
    /// leader.
    pub fn record_crash(&mut self, report: CrashReport, now: Instant) -> (QuarantineDelta, bool) {
        let before = self.all_requests();
        let is_new = self.crashes.record(report, now);
        self.update_local();
        (QuarantineDelta::between(&before, &self.all_requests()), is_new)
    }

    /// Records that a server answered a request, successfully or not, and hence did not crash under
    /// it. Returns whether there is something new to report to the leader.
    pub fn record_success(&mut self, request: Fingerprint, now: Instant) -> bool {
        self.answered.record(request, now);
        let suspected = !self.crashes.is_empty() && self.crashes.clear_request(&request);
        if suspected || self.announced.contains_key(&request) {
            return self.clear(request);
        }
        false
    }

    fn clear(&mut self, request: Fingerprint) -> bool {
        self.announced.remove(&request);
        self.local.remove(&request);
        self.cleared.len() < MAX_CLEARED && self.cleared.insert(request)
    }

    /// Builds the report to the leader.
    pub fn report(&self, now: Instant) -> QuarantineReport {
        let crashes = self.crashes.unreported(now, MAX_REPORTED_CRASHES);
        QuarantineReport {
            crashes,
            cleared: self.cleared.iter().copied().collect(),
            known_version: self.version,
        }
    }

    /// Applies the leader's reply to `report`: the leader knows its content now, and may have sent
    /// an update. `resend` says that the leader has lost what was reported earlier, so that
    /// everything is reported again. Returns what changes, and whether something should be reported
    /// at once.
    pub fn apply_reply(
        &mut self,
        report: &QuarantineReport,
        update: Option<QuarantineUpdate>,
        resend: bool,
        now: Instant,
    ) -> (QuarantineDelta, bool) {
        self.crashes.mark_reported(&report.crashes);
        if resend {
            self.crashes.mark_all_unreported();
        }
        self.cleared.retain(|request| !report.cleared.contains(request));
        let before = self.all_requests();
        if let Some(update) = update {
            self.apply_update(update, now);
        }
        self.update_local();
        let delta = QuarantineDelta::between(&before, &self.all_requests());
        (delta, !self.cleared.is_empty())
    }

    fn apply_update(&mut self, update: QuarantineUpdate, now: Instant) {
        self.version = update.version;
        let until = |it: QuarantinedRequest| (it.request, now + it.remaining.duration());
        let announced: BTreeMap<_, _> = update.requests.into_iter().map(until).collect();
        // A request whose quarantine was lifted starts afresh. If its crashes were reported again,
        // the next leader would quarantine it again.
        for request in self.announced.keys().filter(|request| !announced.contains_key(request)) {
            self.crashes.clear_request(request);
        }
        self.announced = announced;
        let cleared: Vec<_> = self
            .announced
            .keys()
            .filter(|request| self.answered.contains(request, now))
            .copied()
            .collect();
        for request in cleared {
            self.crashes.clear_request(&request);
            self.clear(request);
        }
    }

    /// Recomputes the poison requests known only to this box. Crashes that the leader knows of are
    /// left to the leader, which sees more than this box.
    fn update_local(&mut self) {
        let poison = self.crashes.poison_requests();
        self.local =
            poison.into_iter().filter(|request| self.crashes.has_unreported(request)).collect();
    }

    fn all_requests(&self) -> BTreeSet<Fingerprint> {
        self.announced.keys().chain(&self.local).copied().collect()
    }
}

/// The quarantine at the leader.
#[derive(Debug, Default)]
pub struct FleetQuarantine {
    crashes: CrashTracker,
    quarantined: QuarantinedRequests,
    /// Poison requests by the crashes that this leader knows of.
    poison: BTreeSet<Fingerprint>,
    /// Whether there were changes since the last evaluation, and when that was.
    is_dirty: bool,
    evaluated_at: Option<Instant>,
    /// Servers that were shown as leaving, and when.
    leaving: BTreeMap<BackendId, Instant>,
    /// The quarantine as replicated by the group; `None` until it is known.
    replicated: Option<Arc<QuarantinedRequests>>,
    /// What was quarantined at the last evaluation.
    last_evaluated: BTreeSet<Fingerprint>,
    /// The version of the last update for boxes, and the requests in it.
    announced: Option<(u64, BTreeSet<Fingerprint>)>,
}

impl FleetQuarantine {
    /// Whether this leader knows the replicated quarantine.
    pub fn is_known(&self) -> bool {
        self.replicated.is_some()
    }

    /// Applies the replicated quarantine. Requests that it no longer contains were lifted by an
    /// operator or a former leader.
    pub fn apply_replicated(&mut self, replicated: Arc<QuarantinedRequests>) {
        if self.replicated.as_ref().is_some_and(|known| Arc::ptr_eq(known, &replicated)) {
            return;
        }
        let former = self.replicated.replace(replicated.clone()).unwrap_or_default();
        for (request, until) in
            replicated.iter().filter(|(request, _)| !former.contains_key(request))
        {
            self.quarantined.entry(*request).or_insert(*until);
        }
        for request in former.keys().filter(|request| !replicated.contains_key(request)) {
            self.lift(request);
        }
    }

    /// Applies the report of a box.
    pub fn apply_report(&mut self, report: QuarantineReport, now: Instant) {
        for crash in report.crashes {
            if !self.leaving.contains_key(&crash.server) {
                self.is_dirty |= self.crashes.record(crash, now);
            }
        }
        for request in &report.cleared {
            self.is_dirty = true;
            self.lift(request);
        }
    }

    /// Records which servers the platform shows as leaving. No request is blamed for the end of
    /// such a server.
    pub fn record_leaving<'a>(
        &mut self,
        leaving: impl Iterator<Item = &'a BackendId>,
        now: Instant,
    ) {
        self.leaving.retain(|_, at| *at + LEAVING_MEMORY > now);
        for server in leaving {
            if self.leaving.insert(server.clone(), now).is_some() {
                continue;
            }
            for request in self.crashes.remove_server(server) {
                self.is_dirty = true;
                if self.poison.contains(&request)
                    && self.crashes.crash_count(&request) < CRASHES_TO_QUARANTINE
                {
                    self.poison.remove(&request);
                    self.quarantined.remove(&request);
                }
            }
        }
    }

    fn lift(&mut self, request: &Fingerprint) {
        self.crashes.clear_request(request);
        self.poison.remove(request);
        self.quarantined.remove(request);
    }

    /// Re-evaluates the crashes if there are new ones. Returns what changed since the last call.
    pub fn evaluate(&mut self, now: Instant, unix: UnixMillis) -> QuarantineDelta {
        self.quarantined.retain(|_, until| *until > unix);
        let is_due = self.evaluated_at.is_none_or(|at| at + EVALUATION_INTERVAL <= now);
        if self.is_dirty && is_due {
            (self.is_dirty, self.evaluated_at) = (false, Some(now));
            self.evaluate_crashes(unix);
        }
        let quarantined: BTreeSet<_> = self.quarantined.keys().copied().collect();
        let delta = QuarantineDelta::between(&self.last_evaluated, &quarantined);
        self.last_evaluated = quarantined;
        delta
    }

    fn evaluate_crashes(&mut self, unix: UnixMillis) {
        let poison = self.crashes.poison_requests();
        for request in self.poison.difference(&poison) {
            // The crashes are now explained by another request. If they were only forgotten, for
            // instance because there were a great many others, the request stays quarantined.
            if self.crashes.crash_count(request) >= CRASHES_TO_QUARANTINE {
                self.quarantined.remove(request);
            }
        }
        let until = UnixMillis(unix.0 + QUARANTINE_TIME.as_millis() as u64);
        for request in poison.difference(&self.poison) {
            if self.quarantined.len() < MAX_QUARANTINED {
                self.quarantined.insert(*request, until);
            }
        }
        self.poison = poison;
    }

    /// Number of servers that crashed under a request, as far as this leader knows.
    pub fn crash_count(&self, request: &Fingerprint) -> usize {
        self.crashes.crash_count(request)
    }

    /// The change that the group has to replicate, if its state differs.
    pub fn pending_change(&self) -> Option<QuarantineChange> {
        let replicated = self.replicated.as_ref()?;
        let added =
            self.quarantined.iter().filter(|(request, _)| !replicated.contains_key(request));
        let held = added.map(|(request, until)| (*request, *until)).collect();
        let lifted = replicated.keys().filter(|request| !self.quarantined.contains_key(request));
        let change = QuarantineChange { held, lifted: lifted.copied().collect() };
        (!change.is_empty()).then_some(change)
    }

    /// The update for a box that has version `known_version`, if it needs one. `None` also until
    /// this leader knows the replicated quarantine, so that the box keeps what it was told before.
    /// `new_version` is the version to use if the quarantine has changed since the last update.
    pub fn update_for(
        &mut self,
        known_version: u64,
        new_version: u64,
        unix: UnixMillis,
    ) -> Option<QuarantineUpdate> {
        self.replicated.as_ref()?;
        let same = |(_, requests): &(u64, BTreeSet<Fingerprint>)| {
            self.quarantined.keys().eq(requests.iter())
        };
        if !self.announced.as_ref().is_some_and(same) {
            self.announced = Some((new_version.max(1), self.quarantined.keys().copied().collect()));
        }
        let version = self.announced.as_ref().map_or(1, |(version, _)| *version);
        let entry = |(request, until): (&Fingerprint, &UnixMillis)| QuarantinedRequest {
            request: *request,
            remaining: Millis(until.0.saturating_sub(unix.0)),
        };
        (version != known_version).then(|| QuarantineUpdate {
            version,
            requests: self.quarantined.iter().map(entry).collect(),
        })
    }
}
