//! Whether an answer is complete once its bytes have ended.

use std::fmt;
use std::str::FromStr;

/// How an answer marks its end (RFC 9112, section 6.3).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// By the length in its head.
    Length,
    /// By the last chunk.
    Chunked,
    /// Only by the end of its connection, which looks the same when the server stops early.
    Close,
}

/// A text that is no framing's name.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("unknown framing {0:?}")]
pub struct UnknownFraming(String);

impl Framing {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::Close => "close",
        }
    }
}

impl fmt::Display for Framing {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

impl FromStr for Framing {
    type Err = UnknownFraming;

    fn from_str(text: &str) -> Result<Self, UnknownFraming> {
        let all = [Self::Length, Self::Chunked, Self::Close];
        let named = all.into_iter().find(|framing| framing.name() == text);
        named.ok_or_else(|| UnknownFraming(text.to_owned()))
    }
}

/// What is known of a request to stop the run behind an answer, so that it continues elsewhere.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum StopState {
    /// None was sent, or the server did not stop the run.
    #[default]
    Running,
    /// It may have reached the server, which has not said whether it stopped the run.
    Unanswered,
    /// The server stopped the run.
    Stopped,
}

/// What is known when the bytes of an answer have ended in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndFacts {
    /// How the answer marks its end.
    pub framing: Framing,
    /// Whether the run was stopped.
    pub stop: StopState,
    /// Whether the server has ended, or has started again.
    pub server_ended: bool,
}

/// Why an answer counts as broken off although its connection closed in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BreakCause {
    /// The server was asked to stop the run.
    #[error("its run was stopped")]
    Stopped,
    /// The server may have stopped the run.
    #[error("its run may have been stopped")]
    MaybeStopped,
    /// The server has ended.
    #[error("its backend server has ended")]
    ServerEnded,
}

/// Judges an answer whose bytes have ended in order. A length or the last chunk proves that it is complete. A mere close
/// does not, but a sound answer of this form ends in the same way: without evidence of a break it is complete.
///
/// # Errors
/// Why it counts as broken off.
pub fn judge_end(facts: &EndFacts) -> Result<(), BreakCause> {
    match (facts.framing, facts.stop, facts.server_ended) {
        (Framing::Length | Framing::Chunked, _, _) => Ok(()),
        (Framing::Close, StopState::Stopped, _) => Err(BreakCause::Stopped),
        (Framing::Close, StopState::Unanswered, _) => Err(BreakCause::MaybeStopped),
        (Framing::Close, StopState::Running, true) => Err(BreakCause::ServerEnded),
        (Framing::Close, StopState::Running, false) => Ok(()),
    }
}
