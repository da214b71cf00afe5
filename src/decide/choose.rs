//! Which backend server gets a request: the one that is expected to begin it first.
//!
//! Pure: what is known and a random number in, a choice out.

use super::engine::EngineModel;

/// What a full set of running requests adds, in mean prompts. Engines give each token more slowly the
/// more of them run, and most of them came with a prompt that is being read, so a nearly empty one is
/// worth a small detour.
const CROWD_PROMPTS: f64 = 2.0;

/// Milliseconds to another data centre and back.
const CROSS_TIME: f64 = 3.0;

/// Milliseconds added at random, so that boxes with the same old reports do not all go one way.
const SPREAD_TIME: f64 = 8.0;

/// Milliseconds that a server set aside for its failures adds: it is taken when no other is left.
const FAULT_TIME: f64 = 60_000.0;

/// One backend server that may be chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Requests there, running and waiting.
    pub requests: u32,
    /// Requests it runs at the same time.
    pub slots: u32,
    /// Prompt tokens it has to read before this request's.
    pub unread: u64,
    /// Prompt tokens of this request it has to read itself.
    pub uncached: u64,
    /// Whether it is in the box's data centre.
    pub near: bool,
    /// Whether it is set aside for its failures.
    pub ejected: bool,
}

/// Milliseconds until the request begins there, as far as can be told.
pub fn expected_wait(model: &EngineModel, candidate: &Candidate) -> f64 {
    let slots = f64::from(candidate.slots.max(1));
    let requests = f64::from(candidate.requests);
    let mean = model.mean_time() * 1_000.0;
    let read = model.read_time((candidate.unread + candidate.uncached) as f64) * 1_000.0;
    let crowd = (requests / slots).min(1.0) * CROWD_PROMPTS * mean;
    // One that waits for a place waits for the prompts before it.
    let wait = (requests + 1.0 - slots).max(0.0) * mean;
    let cross = if candidate.near { 0.0 } else { CROSS_TIME };
    let fault = if candidate.ejected { FAULT_TIME } else { 0.0 };
    read + crowd + wait + cross + fault
}

/// The place of the candidate chosen; `random` gives numbers from 0 to 1.
pub fn choose(
    model: &EngineModel,
    candidates: &[Candidate],
    mut random: impl FnMut() -> f64,
) -> Option<usize> {
    let costs = candidates.iter().map(|it| expected_wait(model, it) + random() * SPREAD_TIME);
    costs.enumerate().min_by(|a, b| a.1.total_cmp(&b.1)).map(|(place, _)| place)
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
