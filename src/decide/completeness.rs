//! Whether an answer is complete once its bytes have ended.

use std::fmt;

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
