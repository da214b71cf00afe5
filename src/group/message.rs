//! What replicas say to each other, and what the log holds.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{BoxId, Incarnation, Index, Term};

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its place.
    pub index: Index,
    /// The term of the leader that made it.
    pub term: Term,
    /// The leader's time, in milliseconds since the Unix epoch. Never lower than the entry before.
    pub at: u64,
    /// Its content.
    pub payload: Payload,
}

/// An entry's content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Payload {
    /// A new leader's first entry.
    Noop,
    /// A command of the state machine, encoded.
    Command(String),
    /// The group's members from here on.
    Members(Members),
}

/// The members of the group, each with the life of its disk.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Those that vote.
    pub voters: BTreeMap<BoxId, Incarnation>,
    /// Those that only receive the log, until they are level.
    pub learners: BTreeMap<BoxId, Incarnation>,
}

impl Members {
    /// How many voters make a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// The incarnation a member is known with.
    pub fn incarnation(&self, box_id: &BoxId) -> Option<Incarnation> {
        self.voters.get(box_id).or_else(|| self.learners.get(box_id)).copied()
    }

    /// Every member but `own`.
    pub fn others<'a>(
        &'a self,
        own: &'a BoxId,
    ) -> impl Iterator<Item = (&'a BoxId, Incarnation)> + 'a {
        let all = self.voters.iter().chain(self.learners.iter());
        all.filter(move |(box_id, _)| *box_id != own).map(|(box_id, life)| (box_id, *life))
    }

    /// The members after one change.
    ///
    /// # Errors
    /// When the change does not fit: a sentence that says why.
    pub fn after(&self, change: &MemberChange) -> Result<Self, String> {
        let mut next = self.clone();
        match change {
            MemberChange::AddLearner(box_id, life) => {
                if self.voters.contains_key(box_id) {
                    return Err(format!("{box_id} votes already; remove it first"));
                }
                next.learners.insert(box_id.clone(), *life);
            }
            MemberChange::Promote(box_id) => {
                let life = next.learners.remove(box_id);
                let life = life.ok_or_else(|| format!("{box_id} is not a learner"))?;
                next.voters.insert(box_id.clone(), life);
            }
            MemberChange::Remove(box_id) => {
                let voter = next.voters.remove(box_id).is_some();
                let learner = next.learners.remove(box_id).is_some();
                if !voter && !learner {
                    return Err(format!("{box_id} is not a member"));
                }
                if next.voters.is_empty() {
                    return Err(format!("{box_id} is the last voter"));
                }
            }
        }
        Ok(next)
    }
}

/// One change of the members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberChange {
    /// Adds a member that receives the log and does not vote.
    AddLearner(BoxId, Incarnation),
    /// Makes a level learner a voter.
    Promote(BoxId),
    /// Removes a member, which need not be reachable.
    Remove(BoxId),
}

/// What must survive a restart besides the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term seen.
    pub term: Term,
    /// Who got this replica's vote in that term.
    pub vote: Option<BoxId>,
}

/// The state machine at some index, in place of the log up to there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry it covers.
    pub index: Index,
    /// That entry's term.
    pub term: Term,
    /// That entry's time.
    pub at: u64,
    /// The members at that entry.
    pub members: Members,
    /// The state machine, encoded.
    pub data: String,
}

/// A message with its sender and receiver. One addressed to another life of the disk is dropped.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Which group; one process may carry several.
    pub group: u32,
    /// The sender.
    pub from: BoxId,
    /// The life of the sender's disk.
    pub from_life: Incarnation,
    /// The receiver.
    pub to: BoxId,
    /// The life of the receiver's disk.
    pub to_life: Incarnation,
    /// The sender's term.
    pub term: Term,
    /// The message.
    pub message: Message,
}

/// What one replica tells another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// Asks for a vote; with `pre`, only whether it would be given.
    AskVote {
        /// Whether this is a pre-vote.
        pre: bool,
        /// The asker's last entry.
        index: Index,
        /// That entry's term.
        log_term: Term,
        /// Drawn when the asker's process started; replicas of 0.1 and before say none.
        #[serde(default)]
        start: u64,
    },
    /// Answers [`Message::AskVote`].
    Vote {
        /// Whether this answers a pre-vote.
        pre: bool,
        /// Whether the vote is given.
        granted: bool,
        /// `start` of the question, given back.
        #[serde(default)]
        start: u64,
        /// Whether the answerer neither leads nor hears a leader, as far as it says so.
        #[serde(default)]
        idle: bool,
    },
    /// Entries, or none as a heartbeat.
    Append(Append),
    /// Answers [`Message::Append`] and the last [`Message::Install`].
    Appended(Appended),
    /// A piece of a snapshot.
    Install(Install),
    /// Asks for the next piece of a snapshot.
    Installing {
        /// The snapshot's index.
        index: Index,
        /// Bytes received so far.
        offset: usize,
    },
}

/// Entries from a leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// The entry before the first.
    pub prev: Index,
    /// That entry's term.
    pub prev_term: Term,
    /// The entries.
    pub entries: Vec<Entry>,
    /// The leader's commit index.
    pub commit: Index,
    /// When the leader sent this, on its own clock, in milliseconds.
    pub sent: u64,
    /// The receiver's clock in its latest answer, given back.
    pub echo: u64,
    /// `start` of that answer, given back; leaders of 0.1 give none. Another process of the receiver has another clock.
    #[serde(default)]
    pub echo_start: u64,
    /// How long ago, when this was sent, a majority last confirmed the leader, in milliseconds;
    /// `None` when the leader cannot say yet.
    pub age: Option<u64>,
}

/// The answer to entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// Whether the entries fit on the log.
    pub matched: bool,
    /// The last entry known to match; when none did, where the leader should try next.
    pub index: Index,
    /// `sent` of the message answered.
    pub sent: u64,
    /// The answerer's own clock, in milliseconds.
    pub clock: u64,
    /// Drawn when the answerer's process started; replicas of 0.1 say none.
    #[serde(default)]
    pub start: u64,
    /// Whether the answerer is about to stop.
    #[serde(default)]
    pub stopping: bool,
}

/// A piece of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Install {
    /// The snapshot's last entry.
    pub index: Index,
    /// That entry's term.
    pub term: Term,
    /// That entry's time.
    pub at: u64,
    /// The members at that entry.
    pub members: Members,
    /// Where the piece begins, in bytes.
    pub offset: usize,
    /// The snapshot's size, in bytes.
    pub total: usize,
    /// The piece.
    pub piece: String,
    /// When the leader sent this, on its own clock, in milliseconds.
    pub sent: u64,
}
