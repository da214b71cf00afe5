//! Quarantines what crashes the backend servers it runs on: poison requests, and segments that the prompts of
//! different requests have in common. Requests with them are no longer sent to any server. The box that sees it
//! stops at once, and all other boxes as soon as the leader knows.
//!
//! Callers may send to any box, so crashes have to be counted over the whole fleet. Boxes report to
//! the leader which servers crashed, and under what. The leader finds what is to blame
//! ([`super::ends`]), has the group replicate the list and announces it to all boxes. A box that
//! cannot reach a leader acts on what it has seen itself.
//!
//! Whether a segment is sound shows in the prompts with it that were answered. Each box counts them for
//! itself, and reports the counts of those segments only under which servers have crashed.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::ends::{CRASHES_TO_QUARANTINE, CrashReport, CrashTracker, Evidence, SURVIVAL_WINDOW};
use crate::ids::{BackendId, Fingerprint, SegmentKey, Suspect};
use crate::state::quarantine::{QuarantineChange, QuarantinedSuspects};
use crate::units::{Millis, UnixMillis};

/// How long a request is quarantined. Software that crashes under a request is seldom fixed sooner,
/// and each new try costs three servers. Once it is fixed, operators can lift the quarantine.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(24 * 3_600);

/// How long a segment is quarantined first; twice as long each further time, up to [`QUARANTINE_TIME`]. A wrong
/// verdict costs every request with the segment. The first crash after this time quarantines it again.
pub const FIRST_SEGMENT_TIME: Duration = Duration::from_secs(600);

/// Maximum number of quarantined suspects. Once it is reached, no further ones are quarantined.
const MAX_QUARANTINED: usize = 1_024;

/// Maximum number of crashes in one report to the leader. The others follow in later reports.
const MAX_REPORTED_CRASHES: usize = 16;

/// A request that a server answered within this time is not a poison request. When a new release
/// crashes under a request that the former release answered, the request gets through for this much
/// longer.
const ANSWERED_TIME: Duration = Duration::from_secs(10);

/// Number of slots for answered requests: enough for [`ANSWERED_TIME`] at 100 requests per second.
const ANSWERED_SLOTS: usize = 1_024;

/// Maximum number of segments whose answers a box counts.
const MAX_COUNTED_SEGMENTS: usize = 1_024;

/// A segment with so many answers stays counted when it has none for some seconds, as long as there is room.
const MIN_REMEMBERED_SURVIVALS: u32 = 8;

/// Maximum number of segments whose answers boxes report: the segments under which the most servers crashed.
const MAX_WATCHED_SEGMENTS: usize = 64;

/// Number of crashes from which all boxes report the answers for a segment, so that the counts are
/// there when it may be quarantined.
const CRASHES_TO_WATCH: usize = 2;

/// How long servers that are shown as leaving are remembered. Within this time the leader must have
/// read the platform's list to tell a server that left from one that crashed.
const LEAVING_MEMORY: Duration = Duration::from_secs(60);

/// Minimum time between two evaluations of many crashes. An evaluation visits all crashes, and when a data centre
/// fails, hundreds of boxes report hundreds of crashes at once. A fifth of the usual heartbeat
/// interval of a box.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(80);

/// Maximum number of crashes that are evaluated with each report. A box leaves to the leader what it has reported, and
/// would let a request through that the leader has not evaluated yet.
const MAX_CRASHES_AT_ONCE: usize = 32;

/// Maximum number of answered requests that a box keeps until it has reported them.
const MAX_CLEARED: usize = 64;

/// A quarantined suspect as announced to a box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantinedSuspect {
    /// The suspect.
    pub suspect: Suspect,
    /// For how much longer it is quarantined.
    #[serde(rename = "left")]
    pub remaining: Millis,
}

/// Prompts with a segment whose answers went on after they had begun.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentSurvivals {
    /// The segment.
    pub segment: SegmentKey,
    /// Their number since the last report; in the first one, those of the last few seconds.
    pub count: u32,
    /// In the first report, those before.
    pub earlier: u32,
}

/// What a box reports to the leader.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineReport {
    /// Crashes under the box's requests that the leader does not know yet.
    #[serde(rename = "ends")]
    pub crashes: Vec<CrashReport>,
    /// Requests that were quarantined or suspected and that a server has answered.
    pub cleared: Vec<Fingerprint>,
    /// Survivals of segments under which servers crashed.
    pub survivals: Vec<SegmentSurvivals>,
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
    /// Everything that is quarantined.
    #[serde(rename = "held")]
    pub suspects: Vec<QuarantinedSuspect>,
    /// Segments whose survivals boxes report.
    pub watched: Vec<SegmentKey>,
}

/// The difference between two states of the quarantine, for logging.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct QuarantineDelta {
    /// What is now quarantined.
    pub added: Vec<Suspect>,
    /// What is no longer quarantined.
    pub lifted: Vec<Suspect>,
}

impl QuarantineDelta {
    fn between(before: &BTreeSet<Suspect>, after: &BTreeSet<Suspect>) -> Self {
        let added = after.difference(before).cloned().collect();
        Self { added, lifted: before.difference(after).cloned().collect() }
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

/// Survivals of one segment: within about [`SURVIVAL_WINDOW`], and before.
#[derive(Debug, Clone, Copy)]
struct RecentCount {
    window_start: Instant,
    current: u32,
    previous: u32,
    earlier: u32,
}

impl RecentCount {
    fn new(now: Instant) -> Self {
        Self { window_start: now, current: 0, previous: 0, earlier: 0 }
    }

    fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.window_start);
        if elapsed >= SURVIVAL_WINDOW {
            let is_next = elapsed < 2 * SURVIVAL_WINDOW;
            let passed = if is_next { 0 } else { self.current };
            self.earlier = self.earlier.saturating_add(self.previous).saturating_add(passed);
            self.previous = if is_next { self.current } else { 0 };
            (self.current, self.window_start) = (0, now);
        }
    }

    fn recent(&self) -> u32 {
        self.current.saturating_add(self.previous)
    }

    fn total(&self) -> u32 {
        self.recent().saturating_add(self.earlier)
    }
}

/// Survivals of the segments of this box's prompts.
#[derive(Debug, Default)]
struct RecentSurvivals(HashMap<SegmentKey, RecentCount>);

impl RecentSurvivals {
    fn record(&mut self, segment: &SegmentKey, now: Instant) {
        if let Some(count) = self.0.get_mut(segment) {
            count.advance(now);
            count.current = count.current.saturating_add(1);
            return;
        }
        if self.0.len() >= MAX_COUNTED_SEGMENTS {
            self.make_room(now);
        }
        if self.0.len() < MAX_COUNTED_SEGMENTS {
            self.0.insert(segment.clone(), RecentCount { current: 1, ..RecentCount::new(now) });
        }
    }

    /// Drops segments: those of few prompts rather than those of many, and then those that had none lately.
    fn make_room(&mut self, now: Instant) {
        let is_recent = |count: &RecentCount| count.window_start + 2 * SURVIVAL_WINDOW > now;
        self.0.retain(|_, count| is_recent(count) || count.total() >= MIN_REMEMBERED_SURVIVALS);
        if self.0.len() >= MAX_COUNTED_SEGMENTS {
            self.0.retain(|_, count| count.total() > 1);
        }
        if self.0.len() >= MAX_COUNTED_SEGMENTS {
            self.0.retain(|_, count| is_recent(count));
        }
    }

    fn get(&self, segment: &SegmentKey, now: Instant) -> RecentCount {
        let mut count = self.0.get(segment).copied().unwrap_or(RecentCount::new(now));
        count.advance(now);
        count
    }

    fn count(&self, segment: &SegmentKey, now: Instant) -> u32 {
        self.get(segment, now).recent()
    }

    /// All that is known of a segment, as to be reported.
    fn all(&self, segment: &SegmentKey, now: Instant) -> UnreportedSurvivals {
        let count = self.get(segment, now);
        UnreportedSurvivals { count: count.recent(), earlier: count.earlier }
    }
}

/// Survivals of a segment that have not been reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct UnreportedSurvivals {
    count: u32,
    earlier: u32,
}

impl UnreportedSurvivals {
    fn is_empty(self) -> bool {
        self.count == 0 && self.earlier == 0
    }
}

/// The quarantine at a box.
#[derive(Debug, Default)]
pub struct BoxQuarantine {
    /// What the leader has announced, and until when each is quarantined.
    announced: BTreeMap<Suspect, Instant>,
    version: u64,
    /// Servers that crashed under this box's requests.
    crashes: CrashTracker,
    /// What is to blame for these crashes, as long as the leader does not know of them.
    local: BTreeSet<Suspect>,
    answered: RecentAnswers,
    cleared: BTreeSet<Fingerprint>,
    survivals: RecentSurvivals,
    /// Segments under which several servers crashed, by the leader's word.
    suspected: BTreeSet<SegmentKey>,
    /// Segments whose survivals are reported, and their number that has not been.
    watched: BTreeMap<SegmentKey, UnreportedSurvivals>,
}

impl BoxQuarantine {
    /// For how much longer a suspect is quarantined; `None` if it is not.
    pub fn remaining(&self, suspect: &Suspect, now: Instant) -> Option<Duration> {
        let announced =
            self.announced.get(suspect).map(|until| until.saturating_duration_since(now));
        let local = self.local.contains(suspect).then_some(QUARANTINE_TIME);
        announced.max(local).filter(|remaining| !remaining.is_zero())
    }

    /// For how much longer a prompt with these shared segments is refused: for the sake of one of them, or of a
    /// combination that it has whole. `None` if it is not.
    pub fn prompt_remaining(&self, segments: &[SegmentKey], now: Instant) -> Option<Duration> {
        let single = segments.iter().cloned().map(Suspect::Segment);
        let is_within = |it: &&Suspect| it.combination().is_some_and(|it| it.is_within(segments));
        let combinations = self.combinations().filter(is_within).cloned();
        single.chain(combinations).filter_map(|suspect| self.remaining(&suspect, now)).max()
    }

    /// The quarantined combinations, which are behind all other suspects in order.
    fn combinations(&self) -> impl Iterator<Item = &Suspect> {
        let is_combination = |it: &&Suspect| it.combination().is_some();
        let announced = self.announced.keys().rev().take_while(is_combination);
        announced.chain(self.local.iter().rev().take_while(is_combination))
    }

    /// Whether several servers crashed under a segment, and this box has seen none go on with it lately. A call with it
    /// that broke off is not sent to another server.
    pub fn is_suspected(&self, segment: &SegmentKey, now: Instant) -> bool {
        self.suspected.contains(segment) && self.survivals.count(segment, now) == 0
    }

    /// Whether nothing is quarantined.
    pub fn is_empty(&self) -> bool {
        self.announced.is_empty() && self.local.is_empty()
    }

    /// Whether any request is quarantined, rather than segments only.
    pub fn has_requests(&self) -> bool {
        self.announced.keys().chain(&self.local).any(|it| it.request().is_some())
    }

    /// Number of quarantined suspects.
    pub fn len(&self) -> usize {
        self.announced.len()
            + self.local.iter().filter(|it| !self.announced.contains_key(it)).count()
    }

    /// Records a crash. Returns what changes, and whether there is something new to report to the
    /// leader.
    pub fn record_crash(&mut self, report: CrashReport, now: Instant) -> (QuarantineDelta, bool) {
        let before = self.all_suspects();
        let segments: BTreeSet<_> =
            report.prompts.iter().flat_map(|prompt| &prompt.segments).cloned().collect();
        let is_new = self.crashes.record(report, now);
        for segment in segments {
            let known = self.survivals.all(&segment, now);
            if !self.crashes.has_survivals(&segment) {
                self.crashes.record_survivals(&segment, known.count, now);
            }
            if !self.crashes.has_earlier(&segment) {
                self.crashes.record_earlier(&segment, known.earlier);
            }
            if !known.is_empty() {
                self.watch(segment, now);
            }
        }
        self.update_local();
        (QuarantineDelta::between(&before, &self.all_suspects()), is_new)
    }

    /// Records that a server answered a request, successfully or not, and hence did not crash under
    /// it. Returns whether there is something new to report to the leader.
    pub fn record_success(&mut self, request: Fingerprint, now: Instant) -> bool {
        self.answered.record(request, now);
        let suspect = Suspect::Request(request);
        let suspected = !self.crashes.is_empty() && self.crashes.clear(&suspect);
        if suspected || self.announced.contains_key(&suspect) {
            return self.clear(request);
        }
        false
    }

    /// Records that the answer to a prompt with the segment went on after it had begun.
    pub fn record_survival(&mut self, segment: &SegmentKey, now: Instant) {
        self.survivals.record(segment, now);
        if let Some(unreported) = self.watched.get_mut(segment) {
            unreported.count = unreported.count.saturating_add(1);
        }
        self.crashes.record_survivals(segment, 1, now);
    }

    /// Has the survivals of a segment reported from now on, and those of the last time at once. If there are too many
    /// segments, those with the most survivals are.
    fn watch(&mut self, segment: SegmentKey, now: Instant) {
        if self.watched.contains_key(&segment) {
            return;
        }
        let known = self.survivals.all(&segment, now);
        if self.watched.len() >= MAX_WATCHED_SEGMENTS {
            let fewest = self.watched.iter().min_by_key(|(_, it)| it.count);
            let Some(fewest) = fewest.filter(|(_, it)| it.count < known.count) else {
                return;
            };
            let fewest = fewest.0.clone();
            self.watched.remove(&fewest);
        }
        self.watched.insert(segment, known);
    }

    fn clear(&mut self, request: Fingerprint) -> bool {
        let suspect = Suspect::Request(request);
        self.announced.remove(&suspect);
        self.local.remove(&suspect);
        self.cleared.len() < MAX_CLEARED && self.cleared.insert(request)
    }

    /// Whether the leader does not know of some crash.
    pub fn has_unreported_crashes(&self) -> bool {
        self.crashes.has_any_unreported()
    }

    /// Builds the report to the leader.
    pub fn report(&self, now: Instant) -> QuarantineReport {
        let crashes = self.crashes.unreported(now, MAX_REPORTED_CRASHES);
        let unreported = self.watched.iter().filter(|(_, it)| !it.is_empty());
        QuarantineReport {
            crashes,
            cleared: self.cleared.iter().copied().collect(),
            survivals: unreported
                .map(|(segment, it)| SegmentSurvivals {
                    segment: segment.clone(),
                    count: it.count,
                    earlier: it.earlier,
                })
                .collect(),
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
        for SegmentSurvivals { segment, count, earlier } in &report.survivals {
            if let Some(unreported) = self.watched.get_mut(segment) {
                unreported.count = unreported.count.saturating_sub(*count);
                unreported.earlier = unreported.earlier.saturating_sub(*earlier);
            }
        }
        if resend {
            self.crashes.mark_all_unreported();
            let known = |segment: &SegmentKey| self.survivals.all(segment, now);
            self.watched.iter_mut().for_each(|(segment, it)| *it = known(segment));
        }
        self.cleared.retain(|request| !report.cleared.contains(request));
        let before = self.all_suspects();
        if let Some(update) = update {
            self.apply_update(update, now);
        }
        self.update_local();
        let delta = QuarantineDelta::between(&before, &self.all_suspects());
        let is_sound = |suspect: &Suspect| {
            suspect.parts().iter().filter_map(Suspect::segment).any(|it| self.has_news(it))
        };
        let is_urgent = !self.cleared.is_empty() || delta.added.iter().any(is_sound);
        (delta, is_urgent)
    }

    fn has_news(&self, segment: &SegmentKey) -> bool {
        self.watched.get(segment).is_some_and(|it| !it.is_empty())
    }

    fn apply_update(&mut self, update: QuarantineUpdate, now: Instant) {
        self.version = update.version;
        let until = |it: QuarantinedSuspect| (it.suspect, now + it.remaining.duration());
        let announced: BTreeMap<_, _> = update.suspects.into_iter().map(until).collect();
        // What was lifted starts afresh. If its crashes were reported again, the next leader would
        // quarantine it again. A part of a combination that is still held was not lifted.
        let held: BTreeSet<_> = announced.keys().flat_map(Suspect::parts).collect();
        let former = self.announced.keys().flat_map(Suspect::parts);
        for suspect in former.filter(|suspect| !held.contains(suspect)) {
            self.crashes.clear(&suspect);
        }
        self.announced = announced;
        self.watched.retain(|segment, it| !it.is_empty() || update.watched.contains(segment));
        self.suspected = update.watched.iter().cloned().collect();
        for segment in update.watched {
            self.watch(segment, now);
        }
        let requests = self.announced.keys().filter_map(Suspect::request);
        let cleared: Vec<_> =
            requests.filter(|request| self.answered.contains(request, now)).copied().collect();
        for request in cleared {
            self.crashes.clear(&Suspect::Request(request));
            self.clear(request);
        }
    }

    /// Recomputes what is to blame for crashes known only to this box. Crashes that the leader knows
    /// of are left to the leader, which sees more than this box.
    fn update_local(&mut self) {
        if !self.crashes.has_any_unreported() {
            self.local.clear();
            return;
        }
        let poison = self.crashes.poison();
        self.local =
            poison.into_iter().filter(|suspect| self.crashes.has_unreported(suspect)).collect();
    }

    fn all_suspects(&self) -> BTreeSet<Suspect> {
        self.announced.keys().chain(&self.local).cloned().collect()
    }
}

/// The quarantine at the leader.
#[derive(Debug, Default)]
pub struct FleetQuarantine {
    crashes: CrashTracker,
    quarantined: QuarantinedSuspects,
    /// Of these, what a former leader quarantined.
    inherited: BTreeSet<Suspect>,
    /// What is to blame for the crashes that this leader knows of.
    poison: BTreeSet<Suspect>,
    /// Whether there were changes since the last evaluation, and when that was.
    is_dirty: bool,
    evaluated_at: Option<Instant>,
    /// Servers that were shown as leaving, and when.
    leaving: BTreeMap<BackendId, Instant>,
    /// The quarantine as replicated by the group; `None` until it is known.
    replicated: Option<Arc<QuarantinedSuspects>>,
    /// What was quarantined at the last evaluation.
    last_evaluated: BTreeSet<Suspect>,
    /// How often this leader has quarantined each segment.
    terms: BTreeMap<Suspect, u32>,
    /// Segments whose survivals boxes report.
    watched: Vec<SegmentKey>,
    /// The version of the last update for boxes, and its content.
    announced: Option<(u64, BTreeSet<Suspect>, Vec<SegmentKey>)>,
}

impl FleetQuarantine {
    /// Whether this leader knows the replicated quarantine.
    pub fn is_known(&self) -> bool {
        self.replicated.is_some()
    }

    /// Applies the replicated quarantine. What it no longer contains although it is quarantined here was lifted by an
    /// operator. What this leader lifted itself keeps its evidence: a part of it may still be to blame.
    pub fn apply_replicated(&mut self, replicated: Arc<QuarantinedSuspects>) {
        if self.replicated.as_ref().is_some_and(|known| Arc::ptr_eq(known, &replicated)) {
            return;
        }
        let former = self.replicated.replace(replicated.clone()).unwrap_or_default();
        for (suspect, until) in
            replicated.iter().filter(|(suspect, _)| !former.contains_key(suspect))
        {
            if !self.quarantined.contains_key(suspect) {
                self.quarantined.insert(suspect.clone(), *until);
                self.inherited.insert(suspect.clone());
            }
        }
        for suspect in former.keys().filter(|suspect| !replicated.contains_key(suspect)) {
            if self.quarantined.contains_key(suspect) {
                self.lift(suspect);
            }
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
            self.lift(&Suspect::Request(*request));
        }
        for SegmentSurvivals { segment, count, earlier } in &report.survivals {
            // Without further crashes, survivals change nothing but a verdict that was wrong.
            self.is_dirty |= self.poison.iter().any(|suspect| suspect.involves(segment));
            self.crashes.record_survivals(segment, *count, now);
            self.crashes.record_earlier(segment, *earlier);
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
            let removed = self.crashes.remove_server(server);
            self.is_dirty |= !removed.is_empty();
            let is_touched = |it: &&Suspect| it.parts().iter().any(|part| removed.contains(part));
            let touched: Vec<_> = self.poison.iter().filter(is_touched).cloned().collect();
            for suspect in touched {
                if self.crashes.crash_count(&suspect) < CRASHES_TO_QUARANTINE {
                    self.poison.remove(&suspect);
                    self.quarantined.remove(&suspect);
                }
            }
        }
    }

    fn lift(&mut self, suspect: &Suspect) {
        self.crashes.clear(suspect);
        self.poison.remove(suspect);
        self.quarantined.remove(suspect);
    }

    /// Re-evaluates the crashes if there are new ones. Returns what changed since the last call.
    pub fn evaluate(&mut self, now: Instant, unix: UnixMillis) -> QuarantineDelta {
        self.release_expired(unix);
        let is_due = self.crashes.len() <= MAX_CRASHES_AT_ONCE
            || self.evaluated_at.is_none_or(|at| at + EVALUATION_INTERVAL <= now);
        if self.is_dirty && is_due {
            (self.is_dirty, self.evaluated_at) = (false, Some(now));
            self.evaluate_crashes(unix);
        }
        let quarantined: BTreeSet<_> = self.quarantined.keys().cloned().collect();
        let delta = QuarantineDelta::between(&self.last_evaluated, &quarantined);
        self.last_evaluated = quarantined;
        delta
    }

    fn release_expired(&mut self, unix: UnixMillis) {
        let expired = self.quarantined.iter().filter(|(_, until)| **until <= unix);
        let expired: Vec<_> = expired.map(|(suspect, _)| suspect.clone()).collect();
        for suspect in expired {
            self.quarantined.remove(&suspect);
            self.poison.remove(&suspect);
            self.crashes.forget(&suspect, CRASHES_TO_QUARANTINE - 1);
        }
    }

    /// Until when a suspect that is to blame now is quarantined.
    fn quarantine_end(&mut self, suspect: &Suspect, unix: UnixMillis) -> UnixMillis {
        let time = match suspect {
            Suspect::Request(_) => QUARANTINE_TIME,
            Suspect::Segment(_) | Suspect::Combination(_) => {
                if self.terms.len() >= MAX_QUARANTINED {
                    self.terms.clear();
                }
                let terms = self.terms.entry(suspect.clone()).or_default();
                *terms = terms.saturating_add(1);
                FIRST_SEGMENT_TIME.saturating_mul(1 << (*terms - 1).min(16)).min(QUARANTINE_TIME)
            }
        };
        UnixMillis(unix.0 + time.as_millis() as u64)
    }

    fn evaluate_crashes(&mut self, unix: UnixMillis) {
        let poison = self.crashes.poison();
        let (crashes, former, inherited) = (&self.crashes, &self.poison, &self.inherited);
        self.quarantined.retain(|suspect, _| {
            // The crashes are now explained by another suspect, or answers speak for this one. If they
            // were only forgotten, for instance because there were a great many others, it stays
            // quarantined. So does what a former leader judged by crashes that boxes have forgotten since, also in
            // part: what is left of them may look like an outage.
            let is_known = crashes.crash_count(suspect) >= CRASHES_TO_QUARANTINE;
            let is_own = former.contains(suspect) && !inherited.contains(suspect);
            let is_refuted = || is_own || crashes.refutes(suspect, &poison);
            poison.contains(suspect) || !is_known || !is_refuted()
        });
        let added: Vec<_> = poison.difference(former).cloned().collect();
        self.inherited.retain(|suspect| self.quarantined.contains_key(suspect));
        for suspect in &added {
            if self.quarantined.len() < MAX_QUARANTINED {
                let until = self.quarantine_end(suspect, unix);
                self.quarantined.insert(suspect.clone(), until);
            }
        }
        self.poison = poison;
        self.watched = self.crashes.suspected_segments(CRASHES_TO_WATCH, MAX_WATCHED_SEGMENTS);
    }

    /// Number of servers that crashed under a suspect, as far as this leader knows.
    pub fn crash_count(&self, suspect: &Suspect) -> usize {
        self.crashes.crash_count(suspect)
    }

    /// What is known of a suspect, or of each segment of a combination.
    pub fn evidence(&self, suspect: &Suspect) -> Vec<(Suspect, Evidence)> {
        let known = |part: Suspect| (part.clone(), self.crashes.known_evidence(&part));
        suspect.parts().into_iter().map(known).collect()
    }

    /// The change that the group has to replicate, if its state differs.
    pub fn pending_change(&self) -> Option<QuarantineChange> {
        let replicated = self.replicated.as_ref()?;
        let added =
            self.quarantined.iter().filter(|(suspect, _)| !replicated.contains_key(suspect));
        let held = added.map(|(suspect, until)| (suspect.clone(), *until)).collect();
        let lifted = replicated.keys().filter(|suspect| !self.quarantined.contains_key(suspect));
        let change = QuarantineChange { held, lifted: lifted.cloned().collect() };
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
        let is_same = |(_, suspects, watched): &(u64, BTreeSet<Suspect>, Vec<SegmentKey>)| {
            self.quarantined.keys().eq(suspects.iter()) && self.watched == *watched
        };
        if !self.announced.as_ref().is_some_and(is_same) {
            let suspects = self.quarantined.keys().cloned().collect();
            self.announced = Some((new_version.max(1), suspects, self.watched.clone()));
        }
        let version = self.announced.as_ref().map_or(1, |(version, ..)| *version);
        let entry = |(suspect, until): (&Suspect, &UnixMillis)| QuarantinedSuspect {
            suspect: suspect.clone(),
            remaining: Millis(until.0.saturating_sub(unix.0)),
        };
        (version != known_version).then(|| QuarantineUpdate {
            version,
            suspects: self.quarantined.iter().map(entry).collect(),
            watched: self.watched.clone(),
        })
    }
}
