//! The ledger of unrepeatable requests: which attempts were begun, and their outcomes.
//!
//! An entry node records an attempt here, on a majority of disks, before it sends the first byte to a
//! backend server. No other attempt for the same key may run until this one is proven not to have run.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{AttemptId, BackendId, BoxId, Incarnation, RequestKey, TeamName};
use crate::units::Millis;

/// The maximum number of entries. A request beyond it is refused before it runs, so "not run" is a
/// truthful answer.
pub const MAX_ENTRIES: usize = 200_000;

/// The maximum total size of recorded bodies, in bytes. An answer whose body does not fit is recorded
/// without it.
pub const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Identifies a request. Each team has its own key space.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LedgerKey {
    /// The team.
    pub team: TeamName,
    /// The key that the team gave the request.
    pub key: RequestKey,
}

/// The process that makes an attempt: a box and the incarnation of its process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The box.
    pub box_id: BoxId,
    /// The incarnation of the process.
    pub life: Incarnation,
}

/// An attempt that is about to be sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Begin {
    /// The request.
    pub key: LedgerKey,
    /// SHA-256 of path and body, in hexadecimal. Detects a key used for two different requests.
    pub digest: String,
    /// The backend server that the attempt is sent to.
    pub backend: BackendId,
    /// The ID of the attempt.
    pub attempt: AttemptId,
    /// The process that makes it.
    pub owner: Owner,
}

/// An answer as it was given to the caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content: String,
    /// The body; `None` if it was too large or not text.
    pub body: Option<String>,
}

/// The outcome of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It ran and was answered.
    Done(RecordedAnswer),
    /// It is proven not to have run; another attempt may be made.
    NotRun,
    /// It may have run.
    Unknown,
}

/// The end of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// The request.
    pub key: LedgerKey,
    /// The ID of the attempt.
    pub attempt: AttemptId,
    /// The outcome.
    pub outcome: Outcome,
}

/// The answer to [`Begin`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BeginReply {
    /// The attempt is recorded and may be sent.
    Go,
    /// The request has been answered before; this is the recorded answer.
    Answered(RecordedAnswer),
    /// Another attempt is in progress.
    Running {
        /// The process that makes it.
        owner: Owner,
        /// The ID of the attempt.
        attempt: AttemptId,
    },
    /// An earlier attempt may have run.
    Unknown,
    /// The key was used before for a request with another digest.
    Conflict,
    /// The ledger is full.
    Full,
}

/// The answer to [`End`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndReply {
    /// The outcome is recorded.
    Recorded,
    /// The ledger has no such attempt.
    NoSuchAttempt,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Progress {
    Running,
    Ended(Outcome),
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    digest: String,
    attempt: AttemptId,
    owner: Owner,
    backend: BackendId,
    progress: Progress,
    #[serde(rename = "at")]
    changed_at: u64,
}

/// The entries of the ledger, by request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    #[serde(with = "crate::state::work::pairs")]
    entries: BTreeMap<LedgerKey, Entry>,
    bytes: usize,
}

impl Ledger {
    /// Records an attempt unless an earlier one for the same key may have run. Idempotent for the
    /// attempt in progress.
    pub fn begin(&mut self, at: u64, begin: &Begin) -> BeginReply {
        if let Some(entry) = self.entries.get(&begin.key) {
            if entry.digest != begin.digest {
                return BeginReply::Conflict;
            }
            let existing = match &entry.progress {
                Progress::Running if entry.attempt == begin.attempt => Some(BeginReply::Go),
                Progress::Running => Some(BeginReply::Running {
                    owner: entry.owner.clone(),
                    attempt: entry.attempt.clone(),
                }),
                Progress::Ended(Outcome::Done(answer)) => {
                    Some(BeginReply::Answered(answer.clone()))
                }
                Progress::Ended(Outcome::Unknown) => Some(BeginReply::Unknown),
                Progress::Ended(Outcome::NotRun) if entry.attempt == begin.attempt => {
                    Some(BeginReply::Unknown)
                }
                Progress::Ended(Outcome::NotRun) => None,
            };
            if let Some(reply) = existing {
                return reply;
            }
        } else if self.entries.len() >= MAX_ENTRIES {
            return BeginReply::Full;
        }
        let entry = Entry {
            digest: begin.digest.clone(),
            attempt: begin.attempt.clone(),
            owner: begin.owner.clone(),
            backend: begin.backend.clone(),
            progress: Progress::Running,
            changed_at: at,
        };
        self.entries.insert(begin.key.clone(), entry);
        BeginReply::Go
    }

    /// Records the outcome of an attempt. Only the first outcome counts.
    pub fn end(&mut self, at: u64, end: &End) -> EndReply {
        let found = self.entries.get_mut(&end.key);
        let Some(entry) = found.filter(|entry| entry.attempt == end.attempt) else {
            return EndReply::NoSuchAttempt;
        };
        if entry.progress != Progress::Running {
            return EndReply::Recorded;
        }
        let outcome =
            drop_oversized_body(end.outcome.clone(), MAX_ANSWER_BYTES.saturating_sub(self.bytes));
        self.bytes += body_bytes(&outcome);
        entry.progress = Progress::Ended(outcome);
        entry.changed_at = at;
        EndReply::Recorded
    }

    /// Removes entries that have not changed for longer than `age` and returns how many.
    pub fn expire(&mut self, at: u64, age: Millis) -> usize {
        let before = self.entries.len();
        self.entries.retain(|_, entry| !is_older_than(at, entry.changed_at, age));
        let bytes = |entry: &Entry| match &entry.progress {
            Progress::Ended(outcome) => body_bytes(outcome),
            Progress::Running => 0,
        };
        self.bytes = self.entries.values().map(bytes).sum();
        before - self.entries.len()
    }

    /// Whether [`Ledger::expire`] would remove anything.
    pub fn has_expired(&self, at: u64, age: Millis) -> bool {
        self.entries.values().any(|entry| is_older_than(at, entry.changed_at, age))
    }

    /// The number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

pub(crate) fn is_older_than(now: u64, at: u64, age: Millis) -> bool {
    now.saturating_sub(at) > age.0
}

fn body_bytes(outcome: &Outcome) -> usize {
    match outcome {
        Outcome::Done(answer) => answer.body.as_ref().map_or(0, String::len),
        Outcome::NotRun | Outcome::Unknown => 0,
    }
}

fn drop_oversized_body(outcome: Outcome, available: usize) -> Outcome {
    match outcome {
        Outcome::Done(answer)
            if answer.body.as_ref().is_some_and(|body| body.len() > available) =>
        {
            Outcome::Done(RecordedAnswer { body: None, ..answer })
        }
        other => other,
    }
}
