//! The ledger: which unrepeatable requests were begun, and what became of them.
//!
//! An entry node records an attempt here, on a majority of disks, before the first byte goes to a
//! backend server. Nothing else may run the same key until the attempt is proved not to have run.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{AttemptId, BackendId, BoxId, Incarnation, RequestKey, TeamName};
use crate::units::Millis;

/// Entries the ledger holds at most; one more is refused, which is an honest "not run".
pub const MAX_ENTRIES: usize = 200_000;

/// Bytes of recorded answers the ledger holds at most; a larger answer is recorded without a body.
pub const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Whose request it is. Keys of different teams never meet.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LedgerKey {
    /// The team.
    pub team: TeamName,
    /// The team's key for the request.
    pub key: RequestKey,
}

/// The process that makes an attempt: a box and one life of its process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The box.
    pub box_id: BoxId,
    /// The process's life.
    pub life: Incarnation,
}

/// An attempt that is about to be sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Begin {
    /// Whose request.
    pub key: LedgerKey,
    /// SHA-256 of path and body, in hexadecimal.
    pub digest: String,
    /// Where the attempt goes.
    pub backend: BackendId,
    /// The attempt.
    pub attempt: AttemptId,
    /// Who makes it.
    pub owner: Owner,
}

/// An answer as it was given to the caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content: String,
    /// The body as text; `None` when it was too large or not text.
    pub body: Option<String>,
}

/// What became of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It ran and was answered.
    Done(RecordedAnswer),
    /// Proof exists that it did not run; another attempt may be made.
    NotRun,
    /// It may have run.
    Unknown,
}

/// The end of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Whose request.
    pub key: LedgerKey,
    /// Which attempt.
    pub attempt: AttemptId,
    /// What became of it.
    pub outcome: Outcome,
}

/// The answer to [`Begin`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BeginReply {
    /// The attempt is recorded and may be sent.
    Go,
    /// The request has been answered: the same answer again.
    Answered(RecordedAnswer),
    /// Another attempt is under way.
    Running {
        /// Who makes it.
        owner: Owner,
        /// Which attempt.
        attempt: AttemptId,
    },
    /// An earlier attempt may have run.
    Unknown,
    /// The key came with another digest.
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
    /// The ledger knows no such attempt.
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

/// The ledger's entries.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    #[serde(with = "crate::state::work::pairs")]
    entries: BTreeMap<LedgerKey, Entry>,
    bytes: usize,
}

impl Ledger {
    /// Records an attempt if nothing forbids it.
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

    /// Records what became of an attempt. The first outcome stays.
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

    /// Drops entries older than `age`.
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

    /// Whether [`Ledger::expire`] would drop anything.
    pub fn has_expired(&self, at: u64, age: Millis) -> bool {
        self.entries.values().any(|entry| is_older_than(at, entry.changed_at, age))
    }

    /// How many entries are held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no entry is held.
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
