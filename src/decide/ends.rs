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
//! - Segments that the crashed prompts had together, and that nothing tells apart, are held in combination only: prompts
//!   with some of them go on, and show which one is sound.
//!
//! [`blame`] has these decisions.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ids::{BackendId, DataCentre, Fingerprint, SegmentKey, Suspect};
use crate::units::Millis;

mod blame;

pub use blame::Evidence;

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

/// Maximum number of requests and segments of prompts remembered for one crash: more than a server runs at the same
/// time.
const MAX_SUSPECTS_PER_CRASH: usize = 512;

/// Reports on the same crash lie within this time of each other: a heartbeat may be under way for longer than a second
/// while the leader changes, and its crashes then seem to be that much later. A server that restarts under its id
/// and crashes again within it counts once.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(3);

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
    /// What ran on it.
    pub prompts: Vec<CrashedPrompt>,
    /// Time since the crash.
    pub age: Millis,
}

/// What is suspected of a request that ran on a server when it crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedPrompt {
    /// The request; `None` once it has been cleared.
    pub request: Option<Fingerprint>,
    /// The shared segments of its prompt, in their order; none if its answer had gone on.
    pub segments: Vec<SegmentKey>,
}

impl CrashedPrompt {
    /// Number of suspects.
    pub fn len(&self) -> usize {
        usize::from(self.request.is_some()) + self.segments.len()
    }

    /// Whether nothing is suspected.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// As much of it as `room` suspects allow: the segments with which the prompt begins. `None` if there is nothing.
    pub fn fit(mut self, room: usize) -> Option<Self> {
        self.segments.truncate(room.saturating_sub(usize::from(self.request.is_some())));
        (!self.is_empty() && self.len() <= room).then_some(self)
    }

    fn suspects(&self) -> impl Iterator<Item = Suspect> {
        let segments = self.segments.iter().cloned().map(Suspect::Segment);
        self.request.map(Suspect::Request).into_iter().chain(segments)
    }

    fn remove(&mut self, suspect: &Suspect) {
        match suspect {
            Suspect::Request(request) => self.request = self.request.filter(|it| it != request),
            Suspect::Segment(_) | Suspect::Combination(_) => {
                self.segments.retain(|it| !suspect.involves(it));
            }
        }
    }
}

#[derive(Debug, Clone)]
struct Crash {
    server: BackendId,
    data_centre: DataCentre,
    at: Instant,
    prompts: Vec<CrashedPrompt>,
    /// All requests and segments of the prompts.
    suspects: BTreeSet<Suspect>,
    /// Whether the crash has been reported with all its suspects.
    is_reported: bool,
}

impl Crash {
    /// Adds prompts that are not known yet, as far as there is room. Returns whether there were any.
    fn add(&mut self, prompts: Vec<CrashedPrompt>) -> bool {
        let before = self.prompts.len();
        for prompt in prompts {
            let room = MAX_SUSPECTS_PER_CRASH.saturating_sub(self.len());
            if !self.prompts.contains(&prompt)
                && let Some(prompt) = prompt.fit(room)
            {
                self.suspects.extend(prompt.suspects());
                self.prompts.push(prompt);
            }
        }
        self.prompts.len() > before
    }

    /// Clears a suspect. Returns whether it was one.
    fn remove(&mut self, suspect: &Suspect) -> bool {
        let removed = self.suspects.remove(suspect);
        if removed {
            self.prompts.iter_mut().for_each(|prompt| prompt.remove(suspect));
            self.prompts.retain(|prompt| !prompt.is_empty());
        }
        removed
    }

    fn len(&self) -> usize {
        self.prompts.iter().map(CrashedPrompt::len).sum()
    }

    /// Whether the server crashed under a suspect. Under a combination it did if one prompt had all of it.
    fn is_under(&self, suspect: &Suspect) -> bool {
        match suspect {
            Suspect::Request(_) | Suspect::Segment(_) => self.suspects.contains(suspect),
            Suspect::Combination(set) => self.prompts.iter().any(|it| set.is_within(&it.segments)),
        }
    }

    fn is_same(&self, server: &BackendId, at: Instant) -> bool {
        let distance = at.max(self.at) - at.min(self.at);
        self.server == *server && distance < SAME_CRASH_WINDOW
    }
}

/// What is known of a segment besides its crashes and its survivals since.
#[derive(Debug, Clone, Copy, Default)]
struct SegmentHistory {
    /// Its place among the segments of a report of a crash: a larger one for what is deeper in the prompts.
    depth: Option<usize>,
    /// Survivals before those that count as evidence.
    earlier: u32,
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
            let (prompts, suspects) = (Vec::new(), BTreeSet::new());
            let crash = Crash { server, data_centre, at, prompts, suspects, is_reported: false };
            self.crashes.push(crash);
            self.crashes.len() - 1
        });
        let crash = &mut self.crashes[index];
        let is_new = crash.add(report.prompts) || known.is_none();
        crash.is_reported &= !is_new;
        if is_new {
            self.index_segments();
            self.record_depths(index);
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

    /// Records the places of a crash's segments in their prompts. Where prompts differ, the smallest counts.
    fn record_depths(&mut self, index: usize) {
        for prompt in &self.crashes[index].prompts {
            for (depth, segment) in prompt.segments.iter().enumerate() {
                if let Some(history) = self.segments.get_mut(segment) {
                    history.depth = Some(history.depth.map_or(depth, |known| known.min(depth)));
                }
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

    /// Clears a suspect, or each segment of a combination, of all crashes but the latest `kept`.
    pub fn forget(&mut self, suspect: &Suspect, kept: usize) {
        for part in suspect.parts() {
            let mut crashes: Vec<_> =
                self.crashes.iter_mut().filter(|it| it.suspects.contains(&part)).collect();
            crashes.sort_by_key(|crash| crash.at);
            let forgotten = crashes.len().saturating_sub(kept);
            for crash in crashes.into_iter().take(forgotten) {
                crash.remove(&part);
            }
        }
        self.index_segments();
    }

    /// Clears a suspect, or each segment of a combination, of all crashes. Returns whether it was a suspect of any.
    pub fn clear(&mut self, suspect: &Suspect) -> bool {
        let mut is_removed = false;
        for part in suspect.parts() {
            for crash in &mut self.crashes {
                is_removed |= crash.remove(&part);
            }
        }
        if is_removed && suspect.request().is_none() {
            self.index_segments();
        }
        is_removed
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

    /// Number of crashes.
    pub fn len(&self) -> usize {
        self.crashes.len()
    }

    /// Number of servers that crashed under a suspect, including crashes attributed to another one.
    pub fn crash_count(&self, suspect: &Suspect) -> usize {
        self.crashes.iter().filter(|crash| crash.is_under(suspect)).count()
    }

    /// The segments under which at least `min_crashes` servers crashed, those with the most crashes first.
    pub fn suspected_segments(&self, min_crashes: usize, limit: usize) -> Vec<SegmentKey> {
        let mut counts: Vec<_> =
            blame::count_suspects(self.crashes.iter().flat_map(|crash| &crash.suspects))
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
        self.crashes.iter().any(|crash| !crash.is_reported && crash.is_under(suspect))
    }

    /// Returns the crashes that have not been reported yet, at most `limit`.
    pub fn unreported(&self, now: Instant, limit: usize) -> Vec<CrashReport> {
        let unreported = self.crashes.iter().filter(|crash| !crash.is_reported).take(limit);
        unreported
            .map(|crash| CrashReport {
                server: crash.server.clone(),
                data_centre: crash.data_centre.clone(),
                prompts: crash.prompts.clone(),
                age: now.saturating_duration_since(crash.at).into(),
            })
            .collect()
    }

    fn history(&self, segment: &SegmentKey) -> SegmentHistory {
        self.segments.get(segment).copied().unwrap_or_default()
    }

    /// Marks the crashes in `report` as reported.
    pub fn mark_reported(&mut self, report: &[CrashReport]) {
        for crash in &mut self.crashes {
            let same = report.iter().find(|it| it.server == crash.server);
            let reported =
                |it: &CrashReport| it.prompts.iter().map(CrashedPrompt::len).sum::<usize>();
            crash.is_reported |= same.is_some_and(|it| reported(it) >= crash.len());
        }
    }

    /// Marks all crashes as not reported, for a receiver that knows none of them.
    pub fn mark_all_unreported(&mut self) {
        self.crashes.iter_mut().for_each(|crash| crash.is_reported = false);
    }
}
