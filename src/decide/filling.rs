//! Decides which engines have enough KV cache memory left for a request.
//!
//! An engine whose requests need more memory than it has preempts some of them, or crashes with all of them.
//! Each relay knows the tokens of its own requests at an engine and, from the engine's last load report, the
//! number of other requests there, which it assumes to be as long as its own. An engine without enough
//! memory is skipped while another one has enough. If none has, the request is sent all the same: the
//! estimate is an upper bound, and engines report themselves when they are full.

use crate::units::Tokens;

/// The fraction of an engine's memory that all relays together may fill. They leave the rest as a margin,
/// because load reports are some hundred milliseconds old: in that time, as many requests may have arrived
/// as have ended, and a relay does not know of those that other relays sent.
const FILL_FRACTION: f64 = 0.9;

/// What occupies an engine's memory, as known to one relay.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct EngineUsage {
    /// Requests of this relay at the engine.
    pub own_requests: u32,
    /// Their tokens: those of the prompts plus the output limits.
    pub own_tokens: u64,
    /// Requests of other relays at the engine.
    pub other_requests: f64,
}

/// Whether each engine, with a capacity of `memory` tokens, has room for a request of `asked` tokens.
pub fn have_room(memory: Tokens, engines: &[EngineUsage], requested: u64) -> Vec<bool> {
    let own: u32 = engines.iter().map(|it| it.own_requests).sum();
    let tokens: u64 = engines.iter().map(|it| it.own_tokens).sum();
    let mean = (tokens + requested) as f64 / (f64::from(own) + 1.0);
    let limit = memory.0 as f64 * FILL_FRACTION;
    let filled = |it: &EngineUsage| (it.own_tokens + requested) as f64 + it.other_requests * mean;
    engines.iter().map(|it| filled(it) <= limit).collect()
}
