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
const CROWD_PROMPTS: f64 = 2.0;

/// Milliseconds until a place is left, before anything was learned of a service: a request of about a
/// second, and some twenty places.
const PLACE_TIME: f64 = 50.0;

/// Milliseconds added at random, so that boxes with the same old reports do not all go one way.
const SPREAD_TIME: f64 = 8.0;

/// Milliseconds that a server set aside for its failures adds: it is taken when no other is left.
const FAULT_TIME: f64 = 60_000.0;

/// Milliseconds that a server adds whose memory has no room for the request: a longer wait than any caller bears,
/// and less than one that is set aside adds.
const FULL_TIME: f64 = 10_000.0;

/// Servers of a service up to which all are compared. Above it a request compares a few: what it costs
/// a box to choose does not grow with the servers, and boxes with the same old reports do not all go
/// to the same one.
const ALL_COMPARED: usize = 32;

/// Servers drawn at random where there are more. With 300 boxes, 200 engines of 12 places at 0.6 of what
/// they hold and loads up to 0.4 s old, 2.3 in 100 requests find no place with two, 3.1 with three and
/// 14.8 with eight, as all boxes meet at the few that were idle last (`tests/placing.rs`).
const DRAWN: usize = 2;

/// Servers that follow a shared part's place in their order, of which one is its home: enough to spread
/// parts evenly, few enough to be compared for each request.
const NEIGHBOURS: usize = 8;

/// Seconds in which a word of a server loses most of its weight, at least: requests that stay for less
/// may still stand in a queue.
const FADE_TIME: f64 = 1.0;

/// How many times the usual requests a server may have and still count as one with room. What an engine
/// lacks may be its reading and not its places. Callers of a region that asked for 1.15 of its reading waited
/// 761 ms on the mean where near ones were taken until their places were gone, 259 ms with this, and 153 ms with
/// two drawn of all (`tests/distance.rs`). With 1.1 up to 0.14 of the requests leave a region that is as full as the others,
/// against 0.03, as drawn servers differ by chance.
const CROWDED: f64 = 1.25;

/// One backend server that may be chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Requests there, running and waiting, as far as can be told.
    pub requests: f64,
    /// Requests it runs at the same time.
    pub slots: u32,
    /// Seconds that one of them stays there, 0 where nothing is known.
    pub stay: f64,
    /// Prompt tokens it has to read before this request's.
    pub unread: u64,
    /// Prompt tokens of this request it has to read itself.
    pub uncached: u64,
    /// How far it is.
    pub distance: Distance,
    /// Whether its memory holds no room for this request, where another's does.
    pub full: bool,
    /// Whether it is set aside for its failures.
    pub ejected: bool,
}

impl Candidate {
    /// Whether the request finds a place there, as far as can be told.
    fn has_place(&self) -> bool {
        self.requests + 1.0 <= f64::from(self.slots) && !self.ejected
    }

    fn has_room(&self, usual: f64) -> bool {
        has_room(self.requests, self.slots, usual) && !self.ejected
    }
}

/// Whether a request finds a place at a server with `requests`, and the server is not much fuller than those
/// with `usual` requests.
pub fn has_room(requests: f64, slots: u32, usual: f64) -> bool {
    requests + 1.0 <= f64::from(slots).min(CROWDED * (usual + 1.0))
}

/// Whether farther servers are compared beside these: where none of them has a place, or all are much fuller
/// than servers `usually` are, near and far. With some of each reach compared at once 0.41 of the requests
/// leave their data centre at 0.6 of all places, against 0.16, and wait as long (`tests/distance.rs`).
pub fn looks_further(candidates: &[Candidate], usual: Option<f64>) -> bool {
    !usual.is_some_and(|usual| candidates.iter().any(|it| it.has_room(usual)))
}

/// Milliseconds until the request begins there, as far as can be told.
pub fn expected_wait(model: &EngineModel, candidate: &Candidate) -> f64 {
    let slots = f64::from(candidate.slots.max(1));
    let mean = model.mean_prefill_time() * 1_000.0;
    let read = model.prefill_time((candidate.unread + candidate.uncached) as f64) * 1_000.0;
    let crowd = (candidate.requests / slots).min(1.0) * CROWD_PROMPTS * mean;
    // One that waits for a place waits for the prompts before it, and for places to be left.
    let known = mean.max(candidate.stay * 1_000.0 / slots);
    let place = if known > 0.0 { known } else { PLACE_TIME };
    let wait = (candidate.requests + 1.0 - slots).max(0.0) * place;
    let full = if candidate.full { FULL_TIME } else { 0.0 };
    let fault = if candidate.ejected { FAULT_TIME } else { 0.0 };
    read + crowd + wait + candidate.distance.time + full + fault
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
pub(super) fn fresh_part(age: f64, stay: Option<f64>) -> f64 {
    (-age / stay.unwrap_or(FADE_TIME).max(FADE_TIME)).exp()
}

/// How many requests of other boxes are at each server now, where `regions` are the servers' regions: a
/// region that is full says nothing of another. As [`others_now`].
pub fn others_by_region(
    words: &[Option<LoadEstimate>],
    regions: &[usize],
    stay: Option<f64>,
) -> Vec<f64> {
    let mut others = vec![0.0; words.len()];
    let mut left: Vec<_> = (0..words.len()).collect();
    while let Some(first) = left.first() {
        let region = regions[*first];
        let (inside, outside): (Vec<_>, _) = left.iter().partition(|at| regions[**at] == region);
        let told: Vec<_> = inside.iter().map(|at| words[*at]).collect();
        for (at, requests) in inside.into_iter().zip(others_now(&told, stay)) {
            others[at] = requests;
        }
        left = outside;
    }
    others
}

/// How many requests of other boxes are at each server now. Requests stay for about `stay` seconds, so
/// an old word says less and less of its server, and what the new ones say of all of them counts more.
/// One that has told nothing yet has just come, and is taken to be idle.
pub fn others_now(words: &[Option<LoadEstimate>], stay: Option<f64>) -> Vec<f64> {
    let weight = |word: &LoadEstimate| fresh_part(word.age, stay);
    let known = || words.iter().flatten();
    let sum: f64 = known().map(|word| weight(word) * word.requests).sum();
    let weights: f64 = known().map(weight).sum();
    let mean = if weights > f64::MIN_POSITIVE { sum / weights } else { 0.0 };
    let now = |word: &LoadEstimate| mean + weight(word) * (word.requests - mean);
    words.iter().map(|word| word.as_ref().map_or(0.0, now)).collect()
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
    count <= ALL_COMPARED
}

/// The servers among which the home of a shared part is, where the part stands before the server at
/// `part` in the order of `count` servers.
pub fn neighbours(count: usize, part: usize) -> Vec<usize> {
    match compares_all(count) {
        true => (0..count).collect(),
        false => (part..part + NEIGHBOURS).map(|place| place % count).collect(),
    }
}

/// The servers to compare, drawn from `count` of which something is known; `random` gives numbers from 0
/// to 1.
pub fn drawn(count: usize, mut random: impl FnMut() -> f64) -> Vec<usize> {
    if count <= DRAWN {
        return (0..count).collect();
    }
    let mut drawn = Vec::with_capacity(DRAWN);
    while drawn.len() < DRAWN {
        let place = ((random() * count as f64) as usize).min(count - 1);
        if !drawn.contains(&place) {
            drawn.push(place);
        }
    }
    drawn
}

/// The place of the candidate chosen, in one region; `random` gives numbers from 0 to 1. What bytes weigh
/// counts only while that leads to a server with a place: nobody waits so that bytes stay near.
pub fn choose(
    model: &EngineModel,
    candidates: &[Candidate],
    random: impl FnMut() -> f64,
) -> Option<usize> {
    let costs = Costs::new(model, candidates, random);
    let near = least(costs.weighed())?;
    match candidates[near].has_place() {
        true => Some(near),
        false => least(costs.waits()),
    }
}

/// The place of the candidate chosen, over several regions, where servers have `usual` requests. One that
/// is much fuller is passed over while another is not: the way to another region is a small part of what
/// a queue takes.
pub fn choose_over_regions(
    model: &EngineModel,
    candidates: &[Candidate],
    usual: f64,
    random: impl FnMut() -> f64,
) -> Option<usize> {
    let costs = Costs::new(model, candidates, random);
    let near = least(costs.weighed())?;
    if candidates[near].has_room(usual) {
        return Some(near);
    }
    let passed = |it: &Candidate| if it.has_room(usual) { 0.0 } else { FAULT_TIME };
    least(costs.waits().zip(candidates).map(|(wait, it)| wait + passed(it)))
}

/// What candidates cost, in milliseconds.
struct Costs<'a> {
    candidates: &'a [Candidate],
    waits: Vec<f64>,
}

impl<'a> Costs<'a> {
    fn new(
        model: &EngineModel,
        candidates: &'a [Candidate],
        mut random: impl FnMut() -> f64,
    ) -> Self {
        let wait = |it: &Candidate| expected_wait(model, it) + random() * SPREAD_TIME;
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
fn least(numbers: impl Iterator<Item = f64>) -> Option<usize> {
    numbers.enumerate().min_by(|a, b| a.1.total_cmp(&b.1)).map(|(place, _)| place)
}

/// Which of `weights` a number from 0 to 1 falls on; `None` when all are 0.
pub fn split(weights: &[u32], random: f64) -> Option<usize> {
    let total: u64 = weights.iter().map(|weight| u64::from(*weight)).sum();
    let mut place = (random * total as f64) as u64;
    for (index, weight) in weights.iter().enumerate() {
        let weight = u64::from(*weight);
        if place < weight {
            return Some(index);
        }
        place -= weight;
    }
    weights.iter().rposition(|weight| *weight > 0)
}
