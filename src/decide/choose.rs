//! Chooses the backend server for a request: the one that is expected to start it first, including
//! the network distance.
//!
//! With several regions, servers of the nearest data centres are sampled first, and those of the
//! next ones only if none of the former has room. Under a burst, a region therefore spills over
//! request by request as its own servers fill up, and stops as they empty. There is no state that
//! could oscillate.
//!
//! All functions are pure: they take the known state and random numbers, and return a choice.

use super::distance::Distance;
use super::engine::EngineModel;

/// Delay that a fully occupied server adds, in mean prompts. Engines generate each token more
/// slowly the more requests they run, and most of these came with a prompt that still has to be
/// read. So a nearly idle server is worth a small detour.
const FULL_LOAD_PROMPTS: f64 = 2.0;

/// Milliseconds until a slot becomes free, while nothing is known about a service: requests of
/// about a second on some twenty slots.
const DEFAULT_SLOT_WAIT_MS: f64 = 50.0;

/// Maximum random delay in milliseconds, so that boxes with the same outdated reports do not all
/// choose the same server.
const JITTER_MS: f64 = 8.0;

/// Milliseconds that an ejected server adds. It is chosen only if no other server is left.
const EJECTED_PENALTY_MS: f64 = 60_000.0;

/// Milliseconds that a server adds whose memory has no room for the request: longer than any caller
/// waits, and less than the penalty of an ejected server.
const MEMORY_FULL_PENALTY_MS: f64 = 10_000.0;

/// Number of servers up to which all servers of a service are compared. Above it only a few are
/// compared per request. The cost of a choice then does not grow with the number of servers, and
/// boxes with the same outdated reports do not all choose the same one.
const MAX_COMPARE_ALL: usize = 32;

/// Number of servers sampled at random above [`MAX_COMPARE_ALL`]. In a simulation with 300 boxes
/// and 200 engines of 12 slots, at 0.6 of their capacity and with load reports up to 0.4 s old, 2.3
/// in 100 requests find no free slot with two samples, 3.1 with three and 14.8 with eight, because
/// all boxes choose the few that were last idle (`tests/placing.rs`).
const SAMPLE_SIZE: usize = 2;

/// Number of consecutive servers that may be the home of a shared prefix: enough to spread prefixes
/// evenly, few enough to compare for each request.
const AFFINITY_GROUP_SIZE: usize = 8;

/// Minimum time constant in seconds with which a load report loses its weight. Requests that stay
/// for a shorter time may still wait in a queue.
const MIN_DECAY_SECONDS: f64 = 1.0;

/// Factor over the typical number of requests above which a server counts as crowded. An engine may
/// be limited by its prompt reading rather than by its slots. In a simulation of a region with 1.15
/// times the load that its engines can read, callers waited 761 ms on average if near servers were
/// used until their slots were full, 259 ms with this factor, and 153 ms with two servers sampled
/// from all regions (`tests/distance.rs`). With a factor of 1.1, up to 0.14 of the requests leave a
/// region that is as full as the others, against 0.03, as the load of sampled servers differs by
/// chance.
const CROWDED_FACTOR: f64 = 1.25;

/// A backend server that may be chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BackendCandidate {
    /// Estimated number of requests at the server, running and waiting.
    pub requests: f64,
    /// Number of requests it runs at the same time.
    pub slots: u32,
    /// Estimated mean time in seconds that a request stays at a server, averaged over the compared
    /// servers for which it is known; 0 if it is known for none.
    pub residence_time: f64,
    /// Prompt tokens that it has to read before those of this request.
    pub queued_prompt_tokens: u64,
    /// Prompt tokens of this request that are not in its cache.
    pub uncached_prompt_tokens: u64,
    /// Network distance from this box to the server: the round-trip time, and the cost of the
    /// transferred bytes as an equivalent wait, both in milliseconds.
    pub distance: Distance,
    /// Whether its memory has no room for this request while another server has.
    pub memory_full: bool,
    /// Whether it is ejected because of failures.
    pub ejected: bool,
}

impl BackendCandidate {
    /// Whether there is probably a free slot for the request.
    fn has_free_slot(&self) -> bool {
        self.requests + 1.0 <= f64::from(self.slots) && !self.ejected
    }

    fn has_room(&self, typical: f64) -> bool {
        has_room(self.requests, self.slots, typical) && !self.ejected
    }
}

/// Whether there is a free slot for a request at a server with `requests`, and the server is not
/// much fuller than servers with the `typical` number of requests.
pub fn has_room(requests: f64, slots: u32, typical: f64) -> bool {
    requests + 1.0 <= f64::from(slots).min(CROWDED_FACTOR * (typical + 1.0))
}

/// Whether farther servers have to be considered as well: none of the candidates has a free slot,
/// or all of them are much fuller than servers typically are, near and far. If servers of all
/// distances were always compared, 0.41 of the requests would leave their data centre at 0.6 of all
/// slots, against 0.16, with the same waiting time (`tests/distance.rs`).
pub fn should_search_farther(candidates: &[BackendCandidate], typical: Option<f64>) -> bool {
    !typical.is_some_and(|typical| candidates.iter().any(|it| it.has_room(typical)))
}

/// Estimated milliseconds until the server starts the request, plus the penalties of the server.
pub fn expected_wait(model: &EngineModel, candidate: &BackendCandidate) -> f64 {
    let slots = f64::from(candidate.slots.max(1));
    let mean = model.mean_prefill_time() * 1_000.0;
    let read = model
        .prefill_time((candidate.queued_prompt_tokens + candidate.uncached_prompt_tokens) as f64)
        * 1_000.0;
    let crowd = (candidate.requests / slots).min(1.0) * FULL_LOAD_PROMPTS * mean;
    // A request without a free slot waits for the prompts before it, and for a slot to become free.
    let known = mean.max(candidate.residence_time * 1_000.0 / slots);
    let slot_wait = if known > 0.0 { known } else { DEFAULT_SLOT_WAIT_MS };
    let wait = (candidate.requests + 1.0 - slots).max(0.0) * slot_wait;
    let full = if candidate.memory_full { MEMORY_FULL_PENALTY_MS } else { 0.0 };
    let ejected = if candidate.ejected { EJECTED_PENALTY_MS } else { 0.0 };
    read + crowd + wait + candidate.distance.rtt_ms + full + ejected
}

/// The last load report of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadEstimate {
    /// Requests at the server, excluding those of this box.
    pub requests: f64,
    /// Age of the report in seconds.
    pub age: f64,
}

/// Weight of a load report after `age` seconds, for requests that stay for `residence_time`
/// seconds.
pub(super) fn freshness(age: f64, residence_time: Option<f64>) -> f64 {
    (-age / residence_time.unwrap_or(MIN_DECAY_SECONDS).max(MIN_DECAY_SECONDS)).exp()
}

/// Estimates the requests of other boxes at each server as [`estimate_other_requests`] does,
/// separately for each of the servers' `regions`, as a full region says nothing about another one.
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

/// Estimates how many requests of other boxes are at each server now. As requests stay for
/// `residence_time` seconds, an older report says less about its server, and its estimate moves
/// towards the weighted mean of all reports. A server without a report has just started and is
/// assumed to be idle.
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

/// Rendezvous weight of a server for a shared prefix: all boxes expect the prefix at the server
/// with the largest one. Both arguments are hashes.
pub fn affinity(part: u64, server: u64) -> u64 {
    let mixed = (part ^ server.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^ (mixed >> 31)
}

/// Whether all of `count` servers are compared.
pub fn compares_all(count: usize) -> bool {
    count <= MAX_COMPARE_ALL
}

/// Returns the indices of the servers that may be the home of a shared prefix, where `part` is the
/// index of the first server that follows the prefix in the order of `count` servers.
pub fn affinity_group(count: usize, part: usize) -> Vec<usize> {
    match compares_all(count) {
        true => (0..count).collect(),
        false => (part..part + AFFINITY_GROUP_SIZE).map(|index| index % count).collect(),
    }
}

/// Returns the indices of the servers to compare, sampled from `count`. `random` returns numbers
/// from 0 to 1.
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

/// Returns the index of the chosen candidate within one region. `random` gives random numbers between 0
/// and 1. The cost of transferred bytes counts only while it leads to a server with a free slot: no
/// request waits in order to keep bytes local.
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

/// Returns the index of the chosen candidate over several regions, where servers have the `typical`
/// number of requests. A much fuller server is passed over if another one is not: the latency to
/// another region is small compared to waiting in a queue.
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

/// The costs of the candidates in milliseconds.
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
        self.waits().zip(self.candidates).map(|(wait, it)| wait + it.distance.byte_cost_ms)
    }
}

/// Returns the index of the smallest number.
fn index_of_min(numbers: impl Iterator<Item = f64>) -> Option<usize> {
    numbers.enumerate().min_by(|a, b| a.1.total_cmp(&b.1)).map(|(index, _)| index)
}

/// Returns the index that `random`, a number from 0 to 1, selects in proportion to `weights`;
/// `None` if all weights are 0.
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
