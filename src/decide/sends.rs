//! What the sends of a request prove about it.
//!
//! A caller is told that its request did not run only if that is proven of each of its sends.

use std::fmt;

/// Which request an answer names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum NamedRequest {
    /// The one that was sent.
    Sent,
    /// Another one.
    Other,
    /// None.
    None,
}

impl NamedRequest {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::Other => "other",
            Self::None => "none",
        }
    }
}

/// What proves that a send did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum NotRunProof {
    /// No byte of it was sent.
    NotSent,
    /// A refusal in the first answer on its connection, where no other one can have been due.
    FirstAnswer,
    /// A refusal that names the request, on a connection on which it got no failure before.
    NamedAnswer,
}

impl NotRunProof {
    /// Whether a server received the request and refused it.
    pub fn is_refusal(self) -> bool {
        match self {
            Self::NotSent => false,
            Self::FirstAnswer | Self::NamedAnswer => true,
        }
    }

    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::FirstAnswer => "first_answer",
            Self::NamedAnswer => "named_answer",
        }
    }
}

impl fmt::Display for NotRunProof {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// The sends of one request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SendLedger {
    begun: u32,
    not_sent: u32,
    refused: u32,
}

impl SendLedger {
    /// Records a send. Until something proves that it did not run, it may have run.
    pub fn begin(&mut self) {
        self.begun += 1;
    }

    /// Records that a send did not run.
    pub fn prove_not_run(&mut self, proof: NotRunProof) {
        match proof.is_refusal() {
            true => self.refused += 1,
            false => self.not_sent += 1,
        }
    }

    /// Sends that may have run, or are in progress.
    pub fn may_have_run(&self) -> u32 {
        self.begun.saturating_sub(self.not_sent + self.refused)
    }

    /// Sends that reached a server, whatever became of them.
    pub fn reached(&self) -> u32 {
        self.begun.saturating_sub(self.not_sent)
    }

    /// Sends that reached no server.
    pub fn not_sent(&self) -> u32 {
        self.not_sent
    }

    /// Sends that a server refused.
    pub fn refused(&self) -> u32 {
        self.refused
    }

    /// Whether it is proven that the request did not run.
    pub fn is_proven_not_run(&self) -> bool {
        self.may_have_run() == 0
    }
}
