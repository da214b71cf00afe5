//! Which backend server gets a request: the one that is expected to begin it first, distance counted.
//!
//! Over several regions some servers are drawn of the nearest data centres, and some of the next ones only
//! where those have no room. So a region under a burst spills over request by request, as far as its own
//! servers fill up, and stops as they empty: there is no state that could swing.
//!
//! Pure: what is known and a random number in, a choice out.

use super::distance::Distance;
use super::engine::EngineModel;

/// What a full set of running requests adds, in mean prompts. Engines give each token more slowly the
/// more of them run, and most of them came with a prompt that is being read, so a nearly empty one is
/// worth a small detour.
const FULL_LOAD_PROMPTS: f64 = 2.0;

/// Milliseconds until a place is left, before anything was learned of a service: a request of about a
/// second, and some twenty places.
const DEFAULT_SLOT_WAIT_MS: f64 = 50.0;

/// Milliseconds added at random, so that boxes with the same old reports do not all go one way.
const JITTER_MS: f64 = 8.0;

/// Milliseconds that a server set aside for its failures adds: it is taken when no other is left.
const EJECTED_PENALTY_MS: f64 = 60_000.0;

/// Milliseconds that a server adds whose memory has no room for the request: a longer wait than any caller bears,
/// and less than one that is set aside adds.
const MEMORY_FULL_PENALTY_MS: f64 = 10_000.0;

/// Servers of a service up to which all are compared. Above it a request compares a few: what it costs
/// a box to choose does not grow with the servers, and boxes with the same old reports do not all go
/// to the same one.
const MAX_COMPARE_ALL: usize = 32;

/// Servers drawn at random where there are more. With 300 boxes, 200 engines of 12 places at 0.6 of what
/// they hold and loads up to 0.4 s old, 2.3 in 100 requests find no place with two, 3.1 with three and
/// 14.8 with eight, as all boxes meet at the few that were idle last (`tests/placing.rs`).
const SAMPLE_SIZE: usize = 2;

/// Servers that follow a shared part's place in their order, of which one is its home: enough to spread
/// parts evenly, few enough to be compared for each request.
const AFFINITY_GROUP_SIZE: usize = 8;

/// Seconds in which a word of a server loses most of its weight, at least: requests that stay for less
/// may still stand in a queue.
const MIN_DECAY_SECONDS: f64 = 1.0;

/// How many times the usual requests a server may have and still count as one with room. What an engine
/// lacks may be its reading and not its places. Callers of a region that asked for 1.15 of its reading waited
/// 761 ms on the mean where near ones were taken until their places were gone, 259 ms with this, and 153 ms with
/// two drawn of all (`tests/distance.rs`). With 1.1 up to 0.14 of the requests leave a region that is as full as the others,
/// against 0.03, as drawn servers differ by chance.
const CROWDED_FACTOR: f64 = 1.25;

/// One backend server that may be chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BackendCandidate {
    /// Requests there, running and waiting, as far as can be told.
    pub requests: f64,
    /// Requests it runs at the same time.
    pub slots: u32,
    /// Seconds that one of them stays there, 0 where nothing is known.
    pub residence_time: f64,
    /// Prompt tokens it has to read before this request's.
    pub queued_prompt_tokens: u64,
    /// Prompt tokens of this request it has to read itself.
    pub uncached_prompt_tokens: u64,
    /// How far it is.
    pub distance: Distance,
    /// Whether its memory holds no room for this request, where another's does.
    pub memory_full: bool,
    /// Whether it is set aside for its failures.
    pub ejected: bool,
}

impl BackendCandidate {
    /// Whether the request finds a place there, as far as can be told.
    fn has_free_slot(&self) -> bool {
        self.requests + 1.0 <= f64::from(self.slots) && !self.ejected
    }

    fn has_room(&self, typical: f64) -> bool {
        has_room(self.requests, self.slots, typical) && !self.ejected
    }
}

/// Whether a request finds a place at a server with `requests`, and the server is not much fuller than those
/// with `usual` requests.
pub fn has_room(requests: f64, slots: u32, typical: f64) -> bool {
    requests + 1.0 <= f64::from(slots).min(CROWDED_FACTOR * (typical + 1.0))
}

/// Whether farther servers are compared beside these: where none of them has a place, or all are much fuller
/// than servers `usually` are, near and far. With some of each reach compared at once 0.41 of the requests
/// leave their data centre at 0.6 of all places, against 0.16, and wait as long (`tests/distance.rs`).
pub fn should_search_farther(candidates: &[BackendCandidate], typical: Option<f64>) -> bool {
    !typical.is_some_and(|typical| candidates.iter().any(|it| it.has_room(typical)))
}

/// Milliseconds until the request begins there, as far as can be told.
pub fn expected_wait(model: &EngineModel, candidate: &BackendCandidate) -> f64 {
    let slots = f64::from(candidate.slots.max(1));
    let mean = model.mean_prefill_time() * 1_000.0;
    let read = model
        .prefill_time((candidate.queued_prompt_tokens + candidate.uncached_prompt_tokens) as f64)
        * 1_000.0;
    let crowd = (candidate.requests / slots).min(1.0) * FULL_LOAD_PROMPTS * mean;
    // One that waits for a place waits for the prompts before it, and for places to be left.
    let known = mean.max(candidate.residence_time * 1_000.0 / slots);
    let slot_wait = if known > 0.0 { known } else { DEFAULT_SLOT_WAIT_MS };
    let wait = (candidate.requests + 1.0 - slots).max(0.0) * slot_wait;
    let full = if candidate.memory_full { MEMORY_FULL_PENALTY_MS } else { 0.0 };
    let ejected = if candidate.ejected { EJECTED_PENALTY_MS } else { 0.0 };
    read + crowd + wait + candidate.distance.time + full + ejected
}

/// A server's last word of its load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadEstimate {
    /// Requests there, without this box's.
    pub requests: f64,
    /// Seconds since that was true.
    pub age: f64,
}

/// The weight of a word of a server's load after `age` seconds, where a request stays for about `stay`.
pub(super) fn freshness(age: f64, residence_time: Option<f64>) -> f64 {
    (-age / residence_time.unwrap_or(MIN_DECAY_SECONDS).max(MIN_DECAY_SECONDS)).exp()
}

/// How many requests of other boxes are at each server now, where `regions` are the servers' regions: a
/// region that is full says nothing of another. As [`estimate_other_requests`].
pub fn estimate_other_requests_by_region(
    reports: &[Option<LoadEstimate>],
    regions: &[usize],
    residence_time: Option<f64>,
) -> Vec<f64> {
    let mut others = vec![0.0; reports.len()];
    let mut left: Vec<_> = (0..reports.len()).collect();
    while let Some(first) = left.first() {
        let region = regions[*first];
        let (inside, outside): (Vec<_>, _) = left.iter().partition(|at| regions[**at] == region);
        let in_region: Vec<_> = inside.iter().map(|at| reports[*at]).collect();
        for (at, requests) in
            inside.into_iter().zip(estimate_other_requests(&in_region, residence_time))
        {
            others[at] = requests;
        }
        left = outside;
    }
    others
}

/// How many requests of other boxes are at each server now. Requests stay for about `stay` seconds, so
/// an old word says less and less of its server, and what the new ones say of all of them counts more.
/// One that has told nothing yet has just come, and is taken to be idle.
pub fn estimate_other_requests(
    reports: &[Option<LoadEstimate>],
    residence_time: Option<f64>,
) -> Vec<f64> {
    let weight = |report: &LoadEstimate| freshness(report.age, residence_time);
    let known = || reports.iter().flatten();
    let sum: f64 = known().map(|report| weight(report) * report.requests).sum();
    let weights: f64 = known().map(weight).sum();
    let mean = if weights > f64::MIN_POSITIVE { sum / weights } else { 0.0 };
    let now = |report: &LoadEstimate| mean + weight(report) * (report.requests - mean);
    reports.iter().map(|report| report.as_ref().map_or(0.0, now)).collect()
}

/// How much a server is the home of a shared part: at the one of the largest affinity all boxes expect
/// the part. Both numbers are hashes.
pub fn affinity(part: u64, server: u64) -> u64 {
    let mixed = (part ^ server.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^ (mixed >> 31)
}

/// Whether all servers of a service are compared, where there are so many.
pub fn compares_all(count: usize) -> bool {
    count <= MAX_COMPARE_ALL
}

/// The servers among which the home of a shared part is, where the part stands before the server at
/// `part` in the order of `count` servers.
pub fn affinity_group(count: usize, part: usize) -> Vec<usize> {
    match compares_all(count) {
        true => (0..count).collect(),
        false => (part..part + AFFINITY_GROUP_SIZE).map(|index| index % count).collect(),
    }
}

/// The servers to compare, drawn from `count` of which something is known; `random` gives numbers from 0
/// to 1.
pub fn sample_indices(count: usize, mut random: impl FnMut() -> f64) -> Vec<usize> {
    if count <= SAMPLE_SIZE {
        return (0..count).collect();
    }
    let mut sampled = Vec::with_capacity(SAMPLE_SIZE);
    while sampled.len() < SAMPLE_SIZE {
        let index = ((random() * count as f64) as usize).min(count - 1);
        if !sampled.contains(&index) {
            sampled.push(index);
        }
    }
    sampled
}

/// The place of the candidate chosen, in one region; `random` gives numbers from 0 to 1. What bytes weigh
/// counts only while that leads to a server with a place: nobody waits so that bytes stay near.
pub fn choose(
    model: &EngineModel,
    candidates: &[BackendCandidate],
    random: impl FnMut() -> f64,
) -> Option<usize> {
    let costs = Costs::new(model, candidates, random);
    let cheapest = index_of_min(costs.weighed())?;
    match candidates[cheapest].has_free_slot() {
        true => Some(cheapest),
        false => index_of_min(costs.waits()),
    }
}

/// The place of the candidate chosen, over several regions, where servers have `usual` requests. One that
/// is much fuller is passed over while another is not: the way to another region is a small part of what
/// a queue takes.
pub fn choose_over_regions(
    model: &EngineModel,
    candidates: &[BackendCandidate],
    typical: f64,
    random: impl FnMut() -> f64,
) -> Option<usize> {
    let costs = Costs::new(model, candidates, random);
    let cheapest = index_of_min(costs.weighed())?;
    if candidates[cheapest].has_room(typical) {
        return Some(cheapest);
    }
    let penalty =
        |it: &BackendCandidate| if it.has_room(typical) { 0.0 } else { EJECTED_PENALTY_MS };
    index_of_min(costs.waits().zip(candidates).map(|(wait, it)| wait + penalty(it)))
}

/// What candidates cost, in milliseconds.
struct Costs<'a> {
    candidates: &'a [BackendCandidate],
    waits: Vec<f64>,
}

impl<'a> Costs<'a> {
    fn new(
        model: &EngineModel,
        candidates: &'a [BackendCandidate],
        mut random: impl FnMut() -> f64,
    ) -> Self {
        let wait = |it: &BackendCandidate| expected_wait(model, it) + random() * JITTER_MS;
        Self { candidates, waits: candidates.iter().map(wait).collect() }
    }

    fn waits(&self) -> impl Iterator<Item = f64> {
        self.waits.iter().copied()
    }

    fn weighed(&self) -> impl Iterator<Item = f64> {
        self.waits().zip(self.candidates).map(|(wait, it)| wait + it.distance.weight)
    }
}

/// The place of the least number.
fn index_of_min(numbers: impl Iterator<Item = f64>) -> Option<usize> {
    numbers.enumerate().min_by(|a, b| a.1.total_cmp(&b.1)).map(|(index, _)| index)
}

/// Which of `weights` a number from 0 to 1 falls on; `None` when all are 0.
pub fn choose_weighted(weights: &[u32], random: f64) -> Option<usize> {
    let total: u64 = weights.iter().map(|weight| u64::from(*weight)).sum();
    let mut position = (random * total as f64) as u64;
    for (index, weight) in weights.iter().enumerate() {
        let weight = u64::from(*weight);
        if position < weight {
            return Some(index);
        }
        position -= weight;
    }
    weights.iter().rposition(|weight| *weight > 0)
}
