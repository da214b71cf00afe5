//! Records which backend servers crashed under which requests, and finds what crashes them: a poison
//! request, or a segment that the prompts of different requests have in common.
//!
//! When a server crashes, every request that ran on it is a suspect, and so are the shared segments of the
//! prompts whose answers it had not begun. Usually only one of them is to blame. So not every crash counts
//! against every suspect:
//!
//! - A crash is attributed to the suspect with the strongest evidence, and counts against no other.
//! - Servers of one data centre that crash at the same moment are treated as an outage, which
//!   counts only against suspects that ran on most of them.
//! - Crashes of a server that was leaving are removed, and a request that any server has answered
//!   is cleared.
//! - Sound requests share segments with poison ones, so a segment is not cleared by a single answer.
//!   Prompts with it whose answers went on ("survivals") are weighed against its crashes.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ids::{BackendId, DataCentre, SegmentKey, Suspect};
use crate::units::Millis;

/// Number of servers that have to crash under a suspect before it is quarantined. One or two
/// crashes also happen to what runs beside a poison request, and each further one costs everything
/// that runs on the server.
pub const CRASHES_TO_QUARANTINE: usize = 3;

/// How long a crash counts. A caller that sends a poison request less often crashes only a few
/// servers a day.
pub const CRASH_EXPIRY: Duration = Duration::from_secs(24 * 3_600);

/// Maximum number of crashes remembered; the oldest are dropped first. A burst of poison requests
/// crashed 64 servers before it was stopped.
const MAX_CRASHES: usize = 256;

/// Maximum number of suspects remembered for one crash: more than a server runs at the same time.
const MAX_SUSPECTS_PER_CRASH: usize = 256;

/// Reports on the same crash lie within this time of each other: a heartbeat may be under way for longer than a second
/// while the leader changes, and its crashes then seem to be that much later. A server that restarts under its id
/// and crashes again within it counts once.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(3);

/// Servers that fail in the same outage crash within this time of each other, as seen by boxes.
const OUTAGE_WINDOW: Duration = Duration::from_millis(100);

/// Number of servers of one data centre that have to crash at the same moment to be treated as an
/// outage rather than the effect of one request.
const MIN_OUTAGE_SERVERS: usize = 3;

/// Weight of a crash against a segment, where a survival weighs 1 in its favour.
const CRASH_WEIGHT: i64 = 6;

/// Weight from which a suspect is quarantined: three crashes with at most two survivals.
const MIN_WEIGHT: i64 = 16;

/// Survivals that are assumed of each suspect, so that a few crashes do not outweigh many with some survivals.
const PRIOR_SURVIVALS: i64 = 5;

/// The most survivals of before that count when suspects are compared: enough to blame a segment that has never been
/// answered rather than one that was sound and has up to twice as many crashes.
const MAX_EARLIER_SURVIVALS: i64 = 5;

/// Servers that crash at the same moment are no outage to a segment that is this many times rarer than another one of
/// their prompts, if it was on all of them.
const RARITY: i64 = 8;

/// Survivals within this time before a crash count as well. When servers crash that have nothing in common but an
/// outage, there are none between the crashes.
pub const SURVIVAL_WINDOW: Duration = Duration::from_secs(5);

/// Maximum number of segments whose survivals are counted, and of entries for each.
const MAX_COUNTED_SEGMENTS: usize = 1_024;
const MAX_SURVIVAL_ENTRIES: usize = 64;

/// Survivals within this time of each other are counted in one entry.
const SURVIVAL_RESOLUTION: Duration = Duration::from_millis(500);

/// A crash as reported by a box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The server.
    pub server: BackendId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The requests that ran on it, and the shared segments of the prompts it had not begun to answer: those with which
    /// prompts begin come first.
    pub suspects: Vec<Suspect>,
    /// Time since the crash.
    pub age: Millis,
}

#[derive(Debug, Clone)]
struct Crash {
    server: BackendId,
    data_centre: DataCentre,
    at: Instant,
    suspects: BTreeSet<Suspect>,
    /// Whether the crash has been reported with all its suspects.
    is_reported: bool,
}

impl Crash {
    fn is_same(&self, server: &BackendId, at: Instant) -> bool {
        let distance = at.max(self.at) - at.min(self.at);
        self.server == *server && distance < SAME_CRASH_WINDOW
    }
}

/// A crash, and the suspects that it counts against.
struct SuspectedCrash<'a> {
    crash: &'a Crash,
    suspects: BTreeSet<&'a Suspect>,
}

/// What speaks against a suspect, and for it.
#[derive(Debug, Clone, Copy)]
struct Evidence {
    crashes: i64,
    survivals: i64,
    /// Survivals of before, which don't clear it.
    earlier: i64,
}

/// What is known of a segment besides its crashes and its survivals since.
#[derive(Debug, Clone, Copy, Default)]
struct SegmentHistory {
    /// Its place among the segments of a report of a crash: a larger one for what is deeper in the prompts.
    depth: Option<usize>,
    /// Survivals before those that count as evidence.
    earlier: u32,
}

impl Evidence {
    fn weight(&self) -> i64 {
        CRASH_WEIGHT * self.crashes - self.survivals
    }

    /// The share of crashes, in millionths. A segment of many prompts has the crashes of all poison among them, but
    /// also their survivals, so its share is lower than that of the poison.
    fn share(&self) -> i64 {
        let earlier = self.earlier.min(MAX_EARLIER_SURVIVALS);
        1_000_000 * self.crashes / (self.crashes + self.survivals + PRIOR_SURVIVALS + earlier)
    }
}

/// Survivals of a segment, in the order of time.
#[derive(Debug, Clone, Default)]
struct Survivals(Vec<(Instant, u32)>);

impl Survivals {
    fn record(&mut self, count: u32, now: Instant) {
        match self.0.last_mut() {
            Some((at, sum)) if now < *at + SURVIVAL_RESOLUTION => *sum = sum.saturating_add(count),
            _ => self.0.push((now, count)),
        }
        if self.0.len() > MAX_SURVIVAL_ENTRIES {
            // Counted as later than they were, they can only speak for the segment.
            let (_, oldest) = self.0.remove(0);
            self.0[0].1 = self.0[0].1.saturating_add(oldest);
        }
    }

    fn last(&self) -> Option<Instant> {
        self.0.last().map(|(at, _)| *at)
    }

    fn count_since(&self, since: Option<Instant>) -> i64 {
        let counted = self.0.iter().rev().take_while(|(at, _)| since.is_none_or(|it| *at >= it));
        counted.map(|(_, count)| i64::from(*count)).sum()
    }
}

/// The crashes that currently count.
#[derive(Debug, Default)]
pub struct CrashTracker {
    crashes: Vec<Crash>,
    /// The segments that are suspects of any crash.
    segments: BTreeMap<SegmentKey, SegmentHistory>,
    /// Of these, the segments that have survivals.
    survivals: BTreeMap<SegmentKey, Survivals>,
}

impl CrashTracker {
    /// Records a crash. Returns whether any of it is new.
    pub fn record(&mut self, report: CrashReport, now: Instant) -> bool {
        let at = now.checked_sub(report.age.duration()).unwrap_or(now);
        self.crashes.retain(|crash| crash.at + CRASH_EXPIRY > now);
        let known = self.crashes.iter().position(|crash| crash.is_same(&report.server, at));
        let index = known.unwrap_or_else(|| {
            if self.crashes.len() >= MAX_CRASHES {
                self.drop_oldest();
            }
            let (server, data_centre) = (report.server, report.data_centre);
            let suspects = BTreeSet::new();
            self.crashes.push(Crash { server, data_centre, at, suspects, is_reported: false });
            self.crashes.len() - 1
        });
        let crash = &mut self.crashes[index];
        let before = crash.suspects.len();
        let free = MAX_SUSPECTS_PER_CRASH.saturating_sub(before);
        let segments = report.suspects.iter().take(free).filter_map(Suspect::segment);
        let depths: Vec<_> = segments.cloned().enumerate().collect();
        crash.suspects.extend(report.suspects.into_iter().take(free));
        let is_new = known.is_none() || crash.suspects.len() > before;
        crash.is_reported &= !is_new;
        if is_new {
            self.index_segments();
            self.record_depths(depths);
        }
        is_new
    }

    /// Brings the segments up to date with the crashes.
    fn index_segments(&mut self) {
        let suspects = self.crashes.iter().flat_map(|crash| &crash.suspects);
        let known = std::mem::take(&mut self.segments);
        let history = |segment: &SegmentKey| known.get(segment).copied().unwrap_or_default();
        let segments = suspects.filter_map(Suspect::segment);
        self.segments = segments.map(|it| (it.clone(), history(it))).collect();
        self.survivals.retain(|segment, _| self.segments.contains_key(segment));
    }

    /// Records the places of segments in a report. Where other prompts' segments stand before it, that of a segment is
    /// larger, so the smallest counts.
    fn record_depths(&mut self, depths: Vec<(usize, SegmentKey)>) {
        for (depth, segment) in depths {
            if let Some(history) = self.segments.get_mut(&segment) {
                history.depth = Some(history.depth.map_or(depth, |known| known.min(depth)));
            }
        }
    }

    fn drop_oldest(&mut self) {
        let oldest = (0..self.crashes.len()).min_by_key(|index| self.crashes[*index].at);
        if let Some(oldest) = oldest {
            self.crashes.swap_remove(oldest);
        }
    }

    /// Records prompts with a segment whose answers went on after they had begun. Only segments that are suspects of a
    /// crash are counted.
    pub fn record_survivals(&mut self, segment: &SegmentKey, count: u32, now: Instant) {
        if count == 0 || !self.segments.contains_key(segment) {
            return;
        }
        if self.survivals.len() >= MAX_COUNTED_SEGMENTS && !self.survivals.contains_key(segment) {
            let last = |(_, survivals): &(&SegmentKey, &Survivals)| survivals.last();
            let stalest =
                self.survivals.iter().min_by_key(last).map(|(segment, _)| segment.clone());
            stalest.map(|segment| self.survivals.remove(&segment));
        }
        self.survivals.entry(segment.clone()).or_default().record(count, now);
    }

    /// Records survivals of before. They don't speak against a verdict, but for other suspects as the more likely ones.
    pub fn record_earlier(&mut self, segment: &SegmentKey, count: u32) {
        if let Some(history) = self.segments.get_mut(segment) {
            history.earlier = history.earlier.saturating_add(count);
        }
    }

    /// Whether any survivals of before have been recorded.
    pub fn has_earlier(&self, segment: &SegmentKey) -> bool {
        self.history(segment).earlier > 0
    }

    /// Whether any survivals of the segment have been recorded.
    pub fn has_survivals(&self, segment: &SegmentKey) -> bool {
        self.survivals.contains_key(segment)
    }

    /// Clears a suspect of all crashes but the latest `kept`.
    pub fn forget(&mut self, suspect: &Suspect, kept: usize) {
        let mut crashes: Vec<_> =
            self.crashes.iter_mut().filter(|it| it.suspects.contains(suspect)).collect();
        crashes.sort_by_key(|crash| crash.at);
        let forgotten = crashes.len().saturating_sub(kept);
        for crash in crashes.into_iter().take(forgotten) {
            crash.suspects.remove(suspect);
        }
        self.index_segments();
    }

    /// Clears a suspect of all crashes. Returns whether it was a suspect of any.
    pub fn clear(&mut self, suspect: &Suspect) -> bool {
        let removed =
            self.crashes.iter_mut().fold(false, |any, crash| crash.suspects.remove(suspect) | any);
        if removed && suspect.segment().is_some() {
            self.index_segments();
        }
        removed
    }

    /// Removes the crashes of a server that was leaving. Returns their suspects.
    pub fn remove_server(&mut self, server: &BackendId) -> BTreeSet<Suspect> {
        let (removed, rest) = std::mem::take(&mut self.crashes)
            .into_iter()
            .partition::<Vec<_>, _>(|crash| crash.server == *server);
        self.crashes = rest;
        if !removed.is_empty() {
            self.index_segments();
        }
        removed.into_iter().flat_map(|crash| crash.suspects).collect()
    }

    /// Whether no crash is known.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Number of servers that crashed under a suspect, including crashes attributed to another one.
    pub fn crash_count(&self, suspect: &Suspect) -> usize {
        self.crashes.iter().filter(|crash| crash.suspects.contains(suspect)).count()
    }

    /// The segments under which at least `min_crashes` servers crashed, those with the most crashes first.
    pub fn suspected_segments(&self, min_crashes: usize, limit: usize) -> Vec<SegmentKey> {
        let mut counts: Vec<_> =
            count_suspects(self.crashes.iter().flat_map(|crash| &crash.suspects))
                .into_iter()
                .filter(|(_, count)| *count >= min_crashes)
                .filter_map(|(suspect, count)| Some((count, suspect.segment()?.clone())))
                .collect();
        counts.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
        counts.into_iter().take(limit).map(|(_, segment)| segment).collect()
    }

    /// Whether any crash has not been reported yet.
    pub fn has_any_unreported(&self) -> bool {
        self.crashes.iter().any(|crash| !crash.is_reported)
    }

    /// Whether a crash under the suspect has not been reported yet.
    pub fn has_unreported(&self, suspect: &Suspect) -> bool {
        self.crashes.iter().any(|crash| !crash.is_reported && crash.suspects.contains(suspect))
    }

    /// Returns the crashes that have not been reported yet, at most `limit`.
    pub fn unreported(&self, now: Instant, limit: usize) -> Vec<CrashReport> {
        let unreported = self.crashes.iter().filter(|crash| !crash.is_reported).take(limit);
        unreported
            .map(|crash| CrashReport {
                server: crash.server.clone(),
                data_centre: crash.data_centre.clone(),
                suspects: self.by_depth(&crash.suspects),
                age: now.saturating_duration_since(crash.at).into(),
            })
            .collect()
    }

    fn by_depth(&self, suspects: &BTreeSet<Suspect>) -> Vec<Suspect> {
        let mut ordered: Vec<_> = suspects.iter().cloned().collect();
        ordered.sort_by_key(|suspect| suspect.segment().map(|it| self.history(it).depth));
        ordered
    }

    fn history(&self, segment: &SegmentKey) -> SegmentHistory {
        self.segments.get(segment).copied().unwrap_or_default()
    }

    /// Marks the crashes in `report` as reported.
    pub fn mark_reported(&mut self, report: &[CrashReport]) {
        for crash in &mut self.crashes {
            let same = report.iter().find(|it| it.server == crash.server);
            crash.is_reported |= same.is_some_and(|it| it.suspects.len() >= crash.suspects.len());
        }
    }

    /// Marks all crashes as not reported, for a receiver that knows none of them.
    pub fn mark_all_unreported(&mut self) {
        self.crashes.iter_mut().for_each(|crash| crash.is_reported = false);
    }

    /// Returns what is to blame for the crashes. Repeatedly picks the suspect with the strongest evidence by the
    /// crashes that are not attributed yet, as long as there is enough.
    pub fn poison(&self) -> BTreeSet<Suspect> {
        let mut unexplained = self.suspects();
        let mut poison = BTreeSet::new();
        while let Some(worst) = self.worst(&unexplained) {
            // Also the crashes of an outage that do not count against it.
            unexplained.retain(|it| !it.crash.suspects.contains(worst));
            poison.insert(worst.clone());
        }
        poison
    }

    /// The suspect with the strongest evidence, if it is enough. If it is equal, a single request rather than a segment
    /// of many; then the segment that is deeper in the prompts, as fewer others have it; then the suspect whose last crash
    /// is the most recent, as poison goes on crashing servers.
    fn worst<'a>(&self, unexplained: &[SuspectedCrash<'a>]) -> Option<&'a Suspect> {
        let counts = count_suspects(unexplained.iter().flat_map(|it| it.suspects.iter().copied()));
        let frequent = counts.into_iter().filter(|(_, count)| *count >= CRASHES_TO_QUARANTINE);
        let weighed = frequent.filter_map(|(suspect, _)| {
            let crashes = unexplained.iter().filter(|it| it.suspects.contains(suspect));
            let evidence = self.evidence(suspect, crashes.map(|it| it.crash).collect())?;
            let all = self.crashes.iter().filter(|it| it.suspects.contains(suspect));
            let last_crash = all.map(|it| it.at).max();
            let depth = suspect.segment().and_then(|segment| self.history(segment).depth);
            Some((evidence.share(), suspect.request().is_some(), depth, last_crash, suspect))
        });
        weighed.max().map(|(.., worst)| worst)
    }

    /// The crashes of a suspect and its survivals, since that crash from which on the evidence is the strongest: a
    /// segment may have been sound before. `None` if it is too weak.
    fn evidence(&self, suspect: &Suspect, mut crashes: Vec<&Crash>) -> Option<Evidence> {
        crashes.sort_by_key(|crash| crash.at);
        let (crashes, survivals, earlier) = match suspect {
            Suspect::Request(_) => (crashes.iter().map(|crash| crash.at).collect(), None, 0),
            Suspect::Segment(segment) => {
                let earlier = self.history(segment).earlier;
                (self.separate(segment, &crashes), self.survivals.get(segment), earlier)
            }
        };
        let starts = crashes.len().checked_sub(CRASHES_TO_QUARANTINE)?;
        let since = |start: usize| {
            let window_start = crashes[start].checked_sub(SURVIVAL_WINDOW);
            Evidence {
                crashes: (crashes.len() - start) as i64,
                survivals: survivals.map_or(0, |survivals| survivals.count_since(window_start)),
                earlier: i64::from(earlier),
            }
        };
        let strongest = (0..=starts).map(since).max_by_key(Evidence::weight);
        strongest.filter(|evidence| evidence.weight() >= MIN_WEIGHT)
    }

    /// Returns the crashes, each with the suspects that it counts against.
    fn suspects(&self) -> Vec<SuspectedCrash<'_>> {
        let mut ordered: Vec<&Crash> = self.crashes.iter().collect();
        ordered.sort_by(|a, b| (&a.data_centre, a.at).cmp(&(&b.data_centre, b.at)));
        let by_data_centre = ordered.chunk_by(|a, b| a.data_centre == b.data_centre);
        by_data_centre.flat_map(moments).flat_map(suspects_in_group).collect()
    }

    /// Returns the times of those of the crashes, which are in the order of time, that count against a segment. Servers
    /// that crash at the same moment under requests that have nothing to do with each other count as one: what they have
    /// in common may be an outage, and prompts with the segment were waiting on each of them.
    fn separate(&self, segment: &SegmentKey, crashes: &[&Crash]) -> Vec<Instant> {
        let counted = moments(crashes).flat_map(|group| {
            // A request that was sent on from one server to the next crashed both.
            let unrelated = group.windows(2).filter(|pair| !have_common_request(pair[0], pair[1]));
            let is_outage = 1 + unrelated.count() >= MIN_OUTAGE_SERVERS;
            if is_outage && !self.explains(segment, group) { &group[..1] } else { group }
        });
        counted.map(|crash| crash.at).collect()
    }

    /// Whether servers that crashed at the same moment crashed under the segment rather than in an outage: each had it,
    /// and it is rare among the prompts that are answered. A rare segment is not by chance on all of them.
    fn explains(&self, segment: &SegmentKey, group: &[&Crash]) -> bool {
        let began = group[0].at;
        let is_then =
            |crash: &&Crash| crash.at < began + OUTAGE_WINDOW && began < crash.at + OUTAGE_WINDOW;
        if self.crashes.iter().filter(is_then).count() > group.len() {
            return false;
        }
        let since = began.checked_sub(SURVIVAL_WINDOW);
        let answered = |it: &SegmentKey| {
            let recent = self.survivals.get(it).map_or(0, |survivals| survivals.count_since(since));
            recent + i64::from(self.history(it).earlier)
        };
        let others = group.iter().flat_map(|crash| &crash.suspects).filter_map(Suspect::segment);
        let most = others.map(answered).max().unwrap_or_default();
        answered(segment).saturating_mul(RARITY) < most
    }
}

/// Splits crashes, which are in the order of time, into groups that happened at the same moment. Each lasts from its first
/// crash, so that crashes that go on without a pause are not one group for ever.
fn moments<'a, 'b>(mut rest: &'b [&'a Crash]) -> impl Iterator<Item = &'b [&'a Crash]> {
    std::iter::from_fn(move || {
        let first = rest.first()?;
        let end = rest.partition_point(|crash| crash.at - first.at < OUTAGE_WINDOW);
        let (group, later) = rest.split_at(end);
        rest = later;
        Some(group)
    })
}

fn have_common_request(a: &Crash, b: &Crash) -> bool {
    a.suspects.intersection(&b.suspects).any(|suspect| suspect.request().is_some())
}

/// Counts how often each suspect occurs.
fn count_suspects<'a>(suspects: impl Iterator<Item = &'a Suspect>) -> HashMap<&'a Suspect, usize> {
    let mut counts = HashMap::new();
    for suspect in suspects {
        *counts.entry(suspect).or_default() += 1;
    }
    counts
}

/// Returns a group of crashes that happened at the same moment in one data centre, each with the suspects that it
/// counts against.
fn suspects_in_group<'a>(crashes: &[&'a Crash]) -> Vec<SuspectedCrash<'a>> {
    let counts = count_suspects(crashes.iter().flat_map(|crash| &crash.suspects));
    let is_outage = crashes.len() >= MIN_OUTAGE_SERVERS;
    let counts_against = |suspect: &&Suspect| !is_outage || 2 * counts[*suspect] > crashes.len();
    let suspected = crashes.iter().map(|crash| SuspectedCrash {
        crash,
        suspects: crash.suspects.iter().filter(counts_against).collect(),
    });
    suspected.collect()
}
