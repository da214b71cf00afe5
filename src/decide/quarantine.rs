//! Requests that end the servers they run on are kept from all servers: at once by the box that saw it, and by
//! every box as soon as the leader knows.
//!
//! Each attempt of a caller is a new request at any box, so the count is the fleet's. Boxes tell the leader
//! which servers ended under which requests; the leader judges ([`super::ends`]), has the group note it and
//! tells all boxes. A box that no leader answers goes by what it has seen itself.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::ends::{CRASHES_TO_QUARANTINE, CrashReport, CrashTracker};
use crate::ids::{BackendId, Fingerprint};
use crate::state::quarantine::{QuarantineBook, QuarantineChange};
use crate::units::{Millis, UnixMillis};

/// How long a request is kept from servers: software that ends under it is seldom mended sooner, and each
/// try costs three servers. Operators lift it when it is.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(24 * 3_600);

/// Requests that are held at most; those held for the shortest time yet are the last to go.
const MAX_QUARANTINED: usize = 1_024;

/// Ends that one word to the leader tells at most; the others follow.
const MAX_REPORTED_CRASHES: usize = 16;

/// A request that a server answered no longer ago than this ends none. Where a new release does what the former
/// one did not, this is how much longer it is let through.
const ANSWERED_TIME: Duration = Duration::from_secs(10);

/// Requests remembered as answered: all of [`ANSWERED_TIME`] at 100 a second.
const ANSWERED_SLOTS: usize = 1_024;

/// Time in which the leader has to have read the platform's list to tell a server that left from one that
/// ended.
const LEAVING_MEMORY: Duration = Duration::from_secs(60);

/// Time between two judgements: one goes through all ends, and with a data centre hundreds of boxes tell of
/// hundreds at once. A fifth of a box's usual time between two words.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(80);

/// Requests that one box tells as answered at most, until it has told them.
const MAX_CLEARED: usize = 64;

/// A request that is held, on its way to a box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantinedRequest {
    /// The request.
    pub request: Fingerprint,
    /// For how much longer.
    #[serde(rename = "left")]
    pub remaining: Millis,
}

/// What a box tells the leader.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineReport {
    /// Servers that ended under its requests, as far as that is news.
    #[serde(rename = "ends")]
    pub crashes: Vec<CrashReport>,
    /// Requests that are held or suspected and that a server has answered.
    pub cleared: Vec<Fingerprint>,
    /// Which word of the leader it has; 0 for none.
    #[serde(rename = "has")]
    pub known_version: u64,
}

/// What the leader tells a box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineUpdate {
    /// Which word this is; not 0.
    #[serde(rename = "mark")]
    pub version: u64,
    /// All requests that are held.
    #[serde(rename = "held")]
    pub requests: Vec<QuarantinedRequest>,
}

/// What a word changes for somebody who logs it.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct QuarantineDelta {
    /// Requests that are held from now on.
    pub added: Vec<Fingerprint>,
    /// Requests that are let through again.
    pub lifted: Vec<Fingerprint>,
}

impl QuarantineDelta {
    fn between(before: &BTreeSet<Fingerprint>, after: &BTreeSet<Fingerprint>) -> Self {
        let added = after.difference(before).copied().collect();
        Self { added, lifted: before.difference(after).copied().collect() }
    }
}

/// The requests that a server answered lately. Each has one place, so whoever sends many others can only have it
/// forgotten.
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
        let held = self.slots[Self::slot(request)];
        held.is_some_and(|(it, at)| it == *request && at + ANSWERED_TIME > now)
    }
}

/// A box's side.
#[derive(Debug, Default)]
pub struct BoxQuarantine {
    /// What the leader told, and until when each is held.
    announced: BTreeMap<Fingerprint, Instant>,
    version: u64,
    /// Servers that ended under this box's requests.
    crashes: CrashTracker,
    /// What ends its servers by those ends, and the leader has not heard of.
    local: BTreeSet<Fingerprint>,
    answered: RecentAnswers,
    cleared: BTreeSet<Fingerprint>,
}

impl BoxQuarantine {
    /// For how much longer a request is kept from servers; `None` where it is not.
    pub fn remaining(&self, request: &Fingerprint, now: Instant) -> Option<Duration> {
        let announced =
            self.announced.get(request).map(|until| until.saturating_duration_since(now));
        let local = self.local.contains(request).then_some(QUARANTINE_TIME);
        announced.max(local).filter(|remaining| !remaining.is_zero())
    }

    /// Whether no request is kept from servers.
    pub fn is_empty(&self) -> bool {
        self.announced.is_empty() && self.local.is_empty()
    }

    /// Requests that are kept from servers.
    pub fn len(&self) -> usize {
        self.announced.len()
            + self.local.iter().filter(|it| !self.announced.contains_key(it)).count()
    }

    /// Takes that a server ended; the changes, and whether that is news for the leader.
    pub fn record_crash(&mut self, report: CrashReport, now: Instant) -> (QuarantineDelta, bool) {
        let before = self.all_requests();
        let is_new = self.crashes.record(report, now);
        self.update_local();
        (QuarantineDelta::between(&before, &self.all_requests()), is_new)
    }

    /// Takes that a server answered a request, well or not: it did not end under it. Whether that is news for
    /// the leader.
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

    /// What the leader is to be told.
    pub fn report(&self, now: Instant) -> QuarantineReport {
        let crashes = self.crashes.unreported(now, MAX_REPORTED_CRASHES);
        QuarantineReport {
            crashes,
            cleared: self.cleared.iter().copied().collect(),
            known_version: self.version,
        }
    }

    /// Takes the answer to a word: the leader has heard it, and may have told something. One that `lacks` what
    /// it was told before is told all again. The changes, and whether something is left to tell at once.
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
        // What was lifted starts anew: told again, its ends would have the next leader hold it.
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

    /// The leader sees more than this box: what it has heard, it judges.
    fn update_local(&mut self) {
        let poison = self.crashes.poison_requests();
        self.local =
            poison.into_iter().filter(|request| self.crashes.has_unreported(request)).collect();
    }

    fn all_requests(&self) -> BTreeSet<Fingerprint> {
        self.announced.keys().chain(&self.local).copied().collect()
    }
}

/// The leader's side.
#[derive(Debug, Default)]
pub struct FleetQuarantine {
    crashes: CrashTracker,
    quarantined: QuarantineBook,
    /// What is held by the ends that this leader knows.
    poison: BTreeSet<Fingerprint>,
    /// Whether something came since the last judgement, and when that was.
    is_dirty: bool,
    evaluated_at: Option<Instant>,
    /// Servers that were shown as leaving.
    leaving: BTreeMap<BackendId, Instant>,
    /// What the group has noted; `None` before that is known.
    replicated: Option<Arc<QuarantineBook>>,
    /// What was held at the last judgement.
    reported: BTreeSet<Fingerprint>,
    /// What boxes were told last, and which word that was.
    announced: Option<(u64, BTreeSet<Fingerprint>)>,
}

impl FleetQuarantine {
    /// Whether this leader knows what the group has noted.
    pub fn is_known(&self) -> bool {
        self.replicated.is_some()
    }

    /// Takes what the group has noted. What it no longer holds was lifted, by an operator or a former leader.
    pub fn apply_replicated(&mut self, replicated: Arc<QuarantineBook>) {
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

    /// Takes a box's word.
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

    /// Takes which servers the platform shows as leaving: their ends are no request's doing.
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

    /// Judges anew what has come; the changes since the last judgement.
    pub fn evaluate(&mut self, now: Instant, unix: UnixMillis) -> QuarantineDelta {
        self.quarantined.retain(|_, until| *until > unix);
        let is_due = self.evaluated_at.is_none_or(|at| at + EVALUATION_INTERVAL <= now);
        if self.is_dirty && is_due {
            (self.is_dirty, self.evaluated_at) = (false, Some(now));
            self.evaluate_crashes(unix);
        }
        let held: BTreeSet<_> = self.quarantined.keys().copied().collect();
        let delta = QuarantineDelta::between(&self.reported, &held);
        self.reported = held;
        delta
    }

    fn evaluate_crashes(&mut self, unix: UnixMillis) {
        let poison = self.crashes.poison_requests();
        for request in self.poison.difference(&poison) {
            // Its ends are another one's. Where they were only forgotten, as after a great many others, it
            // stays held.
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

    /// Servers that ended under a request, as far as this leader knows.
    pub fn crash_count(&self, request: &Fingerprint) -> usize {
        self.crashes.crash_count(request)
    }

    /// What the group is to note, where it holds something else.
    pub fn pending_change(&self) -> Option<QuarantineChange> {
        let replicated = self.replicated.as_ref()?;
        let added =
            self.quarantined.iter().filter(|(request, _)| !replicated.contains_key(request));
        let held = added.map(|(request, until)| (*request, *until)).collect();
        let lifted = replicated.keys().filter(|request| !self.quarantined.contains_key(request));
        let change = QuarantineChange { held, lifted: lifted.copied().collect() };
        (!change.is_empty()).then_some(change)
    }

    /// The word for a box that has the one marked `has`; none before this leader knows what the group has
    /// noted, so that a box keeps what it was told before. `mark` is for a new word.
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
