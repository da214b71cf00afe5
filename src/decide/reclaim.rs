//! What becomes of a stream whose engine is leaving: the way that recomputes the fewest tokens and
//! fits the notice.

use std::time::Duration;

use crate::units::Tokens;

/// Time kept free before the box goes.
const MARGIN: Duration = Duration::from_millis(300);

/// What is known of the stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamFacts {
    /// Time until the box goes.
    pub notice: Duration,
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Tokens delivered.
    pub delivered: Tokens,
    /// Tokens that remain at most.
    pub remaining: Tokens,
    /// Mean time between this stream's tokens.
    pub between: Duration,
    /// Time an export of the KV cache takes.
    pub export: Duration,
    /// Whether the request may run in two places one after the other.
    pub repeatable: bool,
}

/// What to do with the stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// It ends in time where it is.
    Finish,
    /// Take the KV cache along: nothing is recomputed.
    Export,
    /// Resume elsewhere from the prompt and the delivered tokens, which are read again.
    Resume,
}

/// Chooses the way.
pub fn choose(facts: &StreamFacts) -> Way {
    let time = facts.notice.saturating_sub(MARGIN);
    let rest = facts.between.saturating_mul(facts.remaining.0.min(u64::from(u32::MAX)) as u32);
    if rest <= time || !facts.repeatable {
        return Way::Finish;
    }
    if facts.export <= time {
        return Way::Export;
    }
    Way::Resume
}
