//! Decides how a stream continues when its engine is about to leave: in the way that recomputes the fewest
//! tokens and completes within the notice.

use std::time::Duration;

use crate::units::Tokens;

/// The safety margin before the engine's box is gone.
const SAFETY_MARGIN: Duration = Duration::from_millis(300);

/// What is known about the stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeavingStream {
    /// The time until the engine's box is gone.
    pub notice: Duration,
    /// The number of prompt tokens.
    pub prompt_tokens: Tokens,
    /// The number of delivered tokens.
    pub delivered_tokens: Tokens,
    /// The maximum number of remaining tokens.
    pub remaining_tokens: Tokens,
    /// The mean time between tokens of this stream.
    pub token_interval: Duration,
    /// The time that an export of the KV cache takes.
    pub export_time: Duration,
    /// Whether the request may be executed again elsewhere.
    pub repeatable: bool,
}

/// How a stream continues.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReclaimAction {
    /// It completes on its engine within the notice.
    Finish,
    /// It moves together with its KV cache; nothing is recomputed.
    Export,
    /// It resumes elsewhere from the prompt and the delivered tokens, which have to be prefilled again.
    Resume,
}

/// Selects the way for a stream.
pub fn choose_action(stream: &LeavingStream) -> ReclaimAction {
    let available = stream.notice.saturating_sub(SAFETY_MARGIN);
    let remaining_time = stream
        .token_interval
        .saturating_mul(stream.remaining_tokens.0.min(u64::from(u32::MAX)) as u32);
    if remaining_time <= available || !stream.repeatable {
        return ReclaimAction::Finish;
    }
    if stream.export_time <= available {
        return ReclaimAction::Export;
    }
    ReclaimAction::Resume
}
