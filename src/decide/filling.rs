//! Which engines have memory left for a request.
//!
//! Answers a load of long requests: an engine whose requests need more memory than it has stops some of
//! them, or falls over with all that it runs. Each box knows the tokens of its own requests there and,
//! from the engine's last word, how many others there are; those are taken to be as long as its own.
//! An engine without room is passed over while another one has some. Where none has, the request goes
//! on all the same: the estimate is from above, and engines say themselves when they are full.

use crate::units::Tokens;

/// The part of an engine's memory that boxes fill together: words of its load are some hundred ms old,
/// and as many requests come meanwhile as have left.
const FILLED_PART: f64 = 0.9;

/// What one engine keeps, as far as a box knows.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Filling {
    /// Requests of this box there.
    pub own: u32,
    /// Their tokens: those of the prompts, and the most that come out.
    pub tokens: u64,
    /// Requests of others there.
    pub others: f64,
}

/// Which engines with so much memory have room for a request of `asked` tokens.
pub fn have_room(memory: Tokens, engines: &[Filling], asked: u64) -> Vec<bool> {
    let own: u32 = engines.iter().map(|it| it.own).sum();
    let tokens: u64 = engines.iter().map(|it| it.tokens).sum();
    let mean = (tokens + asked) as f64 / (f64::from(own) + 1.0);
    let limit = memory.0 as f64 * FILLED_PART;
    let filled = |it: &Filling| (it.tokens + asked) as f64 + it.others * mean;
    engines.iter().map(|it| filled(it) <= limit).collect()
}
