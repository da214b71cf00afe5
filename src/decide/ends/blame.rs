//! Which suspects are to blame for the crashes that a tracker knows.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use super::{CRASHES_TO_QUARANTINE, Crash, CrashTracker, SURVIVAL_WINDOW};
use crate::ids::{SegmentKey, SegmentSet, Suspect};

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

/// Number of crashes under one combination of segments that hold it: a single crash may have another cause.
const MIN_COMBINATION_CRASHES: usize = 2;

/// A crash, and the suspects that it counts against.
struct SuspectedCrash<'a> {
    crash: &'a Crash,
    suspects: BTreeSet<&'a Suspect>,
}

/// What speaks against a suspect, and for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evidence {
    /// Crashes that count against it.
    pub crashes: i64,
    /// Prompts with it that survived since.
    pub survivals: i64,
    /// Survivals of before, which don't clear it.
    pub earlier: i64,
}

impl Evidence {
    fn weight(&self) -> i64 {
        CRASH_WEIGHT * self.crashes - self.survivals
    }

    /// The share of crashes, in millionths. A segment of many prompts has the crashes of all poison among them, but
    /// also their survivals, so its share is lower than that of the poison.
    fn share(&self) -> i64 {
        1_000_000 * self.crashes / (self.crashes + PRIOR_SURVIVALS + self.counted_survivals())
    }

    /// Survivals as they count when suspects are compared.
    fn counted_survivals(&self) -> i64 {
        self.survivals + self.earlier.min(MAX_EARLIER_SURVIVALS)
    }
}

impl CrashTracker {
    /// Returns what is to blame for the crashes. Repeatedly picks the suspect with the strongest evidence by the
    /// crashes that are not attributed yet, as long as there is enough.
    pub fn poison(&self) -> BTreeSet<Suspect> {
        let mut unexplained = self.suspects();
        let mut poison = BTreeSet::new();
        while let Some(worst) = self.worst(&unexplained) {
            match worst.segment() {
                Some(segment) => poison.extend(self.combinations(segment, &unexplained)),
                None => poison.extend([worst.clone()]),
            }
            // Also the crashes of an outage that do not count against it.
            unexplained.retain(|it| !it.crash.suspects.contains(worst));
        }
        poison
    }

    /// The segments that are held for the crashes of a segment: the segment itself, or what its prompts had together with
    /// it as long as nothing tells that apart. No prompt with less than that has crashed a server twice.
    fn combinations(
        &self,
        segment: &SegmentKey,
        unexplained: &[SuspectedCrash<'_>],
    ) -> BTreeSet<Suspect> {
        let suspect = Suspect::Segment(segment.clone());
        let crashes: Vec<_> = unexplained
            .iter()
            .filter(|it| it.suspects.contains(&suspect))
            .map(|it| it.crash)
            .collect();
        let companions = self.companions(segment, &crashes, unexplained);
        let mut counts: HashMap<BTreeSet<u64>, usize> = HashMap::new();
        for crash in crashes {
            let prompts = crash.prompts.iter().filter(|it| it.segments.contains(segment));
            let had_together: BTreeSet<BTreeSet<u64>> = prompts
                .map(|it| {
                    let counted = it.segments.iter().map(|it| it.id);
                    counted.filter(|id| *id == segment.id || companions.contains(id)).collect()
                })
                .collect();
            had_together.into_iter().for_each(|ids| *counts.entry(ids).or_default() += 1);
        }
        counts.retain(|_, count| *count >= MIN_COMBINATION_CRASHES);
        let is_least = |ids: &&BTreeSet<u64>| {
            counts.keys().all(|other| other == *ids || !other.is_subset(ids))
        };
        let sets = counts.keys().filter(is_least).cloned();
        let held: BTreeSet<_> = sets
            .map(|ids| {
                let set = SegmentSet::new(segment.service.clone(), ids);
                set.map_or_else(|| suspect.clone(), Suspect::Combination)
            })
            .collect();
        if held.is_empty() { BTreeSet::from([suspect]) } else { held }
    }

    /// The segments that were in prompts with a segment at all its crashes but one at the most, and that may be the
    /// cause as well: they have enough crashes, and no more survivals than it.
    fn companions(
        &self,
        segment: &SegmentKey,
        crashes: &[&Crash],
        unexplained: &[SuspectedCrash<'_>],
    ) -> BTreeSet<u64> {
        let suspect = Suspect::Segment(segment.clone());
        let Some(own) = self.unexplained_evidence(&suspect, unexplained) else {
            return BTreeSet::new();
        };
        let together = crashes.iter().map(|crash| {
            let prompts = crash.prompts.iter().filter(|it| it.segments.contains(segment));
            prompts.flat_map(|it| &it.segments).collect::<BTreeSet<_>>()
        });
        let mut counts: HashMap<&SegmentKey, usize> = HashMap::new();
        together.flatten().for_each(|it| *counts.entry(it).or_default() += 1);
        let is_alike = |other: &SegmentKey| {
            let evidence = self.unexplained_evidence(&Suspect::Segment(other.clone()), unexplained);
            evidence.is_some_and(|it| it.counted_survivals() <= own.counted_survivals())
        };
        counts
            .into_iter()
            .filter(|(other, count)| *other != segment && count + 1 >= crashes.len())
            .filter(|(other, _)| is_alike(other))
            .map(|(other, _)| other.id)
            .collect()
    }

    /// The evidence against a suspect by the crashes that are not attributed yet; `None` if it is too weak.
    fn unexplained_evidence(
        &self,
        suspect: &Suspect,
        unexplained: &[SuspectedCrash<'_>],
    ) -> Option<Evidence> {
        let crashes = unexplained.iter().filter(|it| it.suspects.contains(suspect));
        self.evidence(suspect, crashes.map(|it| it.crash).collect())
    }

    /// Whether a suspect that is not to blame here cannot have been to blame elsewhere: survivals clear it of all its
    /// crashes, or others of `poison` explain them.
    pub fn refutes(&self, suspect: &Suspect, poison: &BTreeSet<Suspect>) -> bool {
        if self.known_evidence(suspect).weight() < MIN_WEIGHT {
            return true;
        }
        let parts = suspect.parts();
        let others: Vec<_> = poison
            .iter()
            .filter(|it| it.parts().iter().all(|part| !parts.contains(part)))
            .collect();
        let is_unexplained =
            |crash: &&Crash| crash.is_under(suspect) && !others.iter().any(|it| crash.is_under(it));
        self.crashes.iter().filter(is_unexplained).count() < CRASHES_TO_QUARANTINE
    }

    /// What is known of a suspect, whether or not it is to blame.
    pub fn known_evidence(&self, suspect: &Suspect) -> Evidence {
        let segment = suspect.segment();
        let survivals = segment.and_then(|it| self.survivals.get(it));
        Evidence {
            crashes: self.crash_count(suspect) as i64,
            survivals: survivals.map_or(0, |it| it.count_since(None)),
            earlier: segment.map_or(0, |it| i64::from(self.history(it).earlier)),
        }
    }

    /// The suspect with the strongest evidence, if it is enough. If it is equal, a single request rather than a segment
    /// of many; then the segment that is deeper in the prompts, as fewer others have it; then the suspect whose last crash
    /// is the most recent, as poison goes on crashing servers.
    fn worst<'a>(&self, unexplained: &[SuspectedCrash<'a>]) -> Option<&'a Suspect> {
        let counts = count_suspects(unexplained.iter().flat_map(|it| it.suspects.iter().copied()));
        let frequent = counts.into_iter().filter(|(_, count)| *count >= CRASHES_TO_QUARANTINE);
        let weighed = frequent.filter_map(|(suspect, _)| {
            let evidence = self.unexplained_evidence(suspect, unexplained)?;
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
            Suspect::Request(_) | Suspect::Combination(_) => {
                (crashes.iter().map(|crash| crash.at).collect(), None, 0)
            }
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
    /// and it is rare among the prompts that are answered. A rare segment is not by chance on all of them. If none of their
    /// segments was ever answered, an outage would have ended idle servers rather than these.
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
        most == 0 || answered(segment).saturating_mul(RARITY) < most
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
pub(super) fn count_suspects<'a>(
    suspects: impl Iterator<Item = &'a Suspect>,
) -> HashMap<&'a Suspect, usize> {
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
