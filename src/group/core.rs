//! The pure state machine of one replica.
//!
//! Times are milliseconds on the replica's own monotonic clock. Callers feed [`Core::tick`],
//! [`Core::step`] and [`Core::propose`], then take [`Core::output`], store what it says, send
//! `early` messages at any time and `late` ones only after the storing, and report the storing by
//! [`Core::stored`].

use std::collections::{BTreeMap, BTreeSet};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::log::Log;
use super::message::{Entry, Envelope, HardState, Install, Members, Message, Payload, Snapshot};
use super::progress::Progress;
use crate::ids::{BoxId, Incarnation, Index, Term};

/// Time between a leader's heartbeats, in milliseconds.
pub const HEARTBEAT: u64 = 100;

/// Least time without a leader before an election, in milliseconds. The most is twice this.
pub const ELECTION: u64 = 350;

/// Time between two questions for votes of a replica that has heard no leader since it started, in
/// milliseconds, and the most by which it varies: a few round trips, so that a group whose replicas
/// all stopped is not without a leader for much longer than they were down.
const START_WAIT: std::ops::Range<u64> = 40..120;

/// How long after its start a replica asks that often, in milliseconds.
const START_TIME: u64 = 5_000;

/// What a lease is shortened by, for clocks that run at different rates, in milliseconds.
pub const DRIFT: u64 = 50;

/// Bytes of a snapshot in one message.
pub const PIECE_BYTES: usize = 256 << 10;

/// How long after the last message a new commit index is sent by itself, in milliseconds; sooner, it
/// goes along with the next entries.
const NEWS_DELAY: u64 = 50;

/// Time after which an unanswered piece or probe is sent again, in milliseconds.
const RESEND: u64 = 300;

/// What a replica is at the moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Role {
    /// Takes entries from a leader, if it knows one.
    Follower,
    /// Asks whether it would be elected.
    PreCandidate,
    /// Asks to be elected.
    Candidate,
    /// Leads.
    Leader,
}

/// Why a proposal was not taken.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// Another replica leads, if it is known which.
    #[error("this replica does not lead")]
    NotLeader(Option<BoxId>),
    /// The change of members does not fit now.
    #[error("{0}")]
    Members(String),
}

/// What the caller is to do.
#[derive(Debug, Default)]
pub struct Output {
    /// Hard state to store, if it changed.
    pub hard: Option<HardState>,
    /// A received snapshot to store in place of the log.
    pub install: Option<Snapshot>,
    /// Entries to store; what is stored from the first one's index on is dropped.
    pub append: Vec<Entry>,
    /// Messages that may be sent before the storing.
    pub early: Vec<Envelope>,
    /// Messages that may be sent only after it.
    pub late: Vec<Envelope>,
    /// Committed entries to apply, in order.
    pub apply: Vec<Entry>,
}

/// Who a replica is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// The group.
    pub group: u32,
    /// The box.
    pub box_id: BoxId,
    /// The life of its disk.
    pub life: Incarnation,
}

/// What a replica starts with: all that its disk holds.
#[derive(Debug, Clone, Default)]
pub struct Stored {
    /// The hard state.
    pub hard: HardState,
    /// The latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries behind it.
    pub entries: Vec<Entry>,
}

/// One replica.
#[derive(Debug)]
pub struct Core {
    own: Identity,
    hard: HardState,
    hard_changed: bool,
    log: Log,
    snapshot: Option<Snapshot>,
    role: Role,
    leader: Option<BoxId>,
    commit: Index,
    applied: Index,
    stored: Index,
    unstored: Option<Index>,
    progress: BTreeMap<BoxId, Progress>,
    votes: BTreeSet<BoxId>,
    deadline: u64,
    /// When a leader was last heard in this life of the process.
    heard: Option<u64>,
    hold: Hold,
    fresh: Option<u64>,
    pending: Option<(Index, u64)>,
    incoming: Option<Install>,
    installed: Option<Snapshot>,
    beat: u64,
    now: u64,
    random: SmallRng,
    early: Vec<Envelope>,
    late: Vec<Envelope>,
    /// Whether this process is about to stop.
    stopping: bool,
}

impl Core {
    /// A replica that restarts at `now` with what its disk holds. It gives no vote yet, since it may
    /// have confirmed a leader just before it stopped: see [`Hold`].
    pub fn new(own: Identity, stored: Stored, now: u64, seed: u64) -> Self {
        let base = stored.snapshot.as_ref().map_or(Index(0), |snapshot| snapshot.index);
        let log = Log::new(stored.snapshot.as_ref(), stored.entries);
        let last = log.last_index();
        let mut random = SmallRng::seed_from_u64(seed);
        let mut core = Self {
            own,
            hard: stored.hard,
            hard_changed: false,
            log,
            snapshot: stored.snapshot,
            role: Role::Follower,
            leader: None,
            commit: base,
            applied: base,
            stored: last,
            unstored: None,
            progress: BTreeMap::new(),
            votes: BTreeSet::new(),
            deadline: 0,
            heard: None,
            hold: Hold::new(now, random.random()),
            fresh: None,
            pending: None,
            incoming: None,
            installed: None,
            beat: 0,
            now,
            random,
            early: Vec::new(),
            late: Vec::new(),
            stopping: false,
        };
        core.reset_deadline();
        core
    }

    /// Whether the replica has been formed into a group.
    pub fn is_formed(&self) -> bool {
        !self.log.members().0.voters.is_empty()
    }

    /// Makes the replica's first entry: the members of a new group. Every first member makes the
    /// same one.
    ///
    /// # Errors
    /// When the replica already belongs to a group with other first members.
    pub fn form(&mut self, members: Members) -> Result<(), String> {
        if self.is_formed() {
            let same = self.log.members_at(Index(1)).0 == &members;
            return if same { Ok(()) } else { Err("belongs to a group already".to_owned()) };
        }
        if members.incarnation(&self.own.box_id) != Some(self.own.life) {
            return Err("the members do not name this life of this box".to_owned());
        }
        self.hard.term = Term(1);
        self.hard_changed = true;
        let payload = Payload::Members(members);
        self.append_entry(Entry { index: Index(1), term: Term(1), at: 0, payload });
        self.commit = Index(1);
        Ok(())
    }

    /// The role at the moment.
    pub fn role(&self) -> &Role {
        &self.role
    }

    /// The leader, where known.
    pub fn leader(&self) -> Option<&BoxId> {
        self.leader.as_ref()
    }

    /// The term.
    pub fn term(&self) -> Term {
        self.hard.term
    }

    /// The last committed index known.
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// The log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// The members as of the last entry.
    pub fn members(&self) -> &Members {
        self.log.members().0
    }

    /// For how long a replica has not answered, in milliseconds on this leader's clock.
    pub fn silent_for(&self, progress: &Progress) -> u64 {
        self.now.saturating_sub(progress.heard)
    }

    /// Has the leader told that this replica is about to stop.
    pub fn announce_stop(&mut self) {
        self.stopping = true;
    }

    /// Whether this replica is about to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// What a leader knows of the others.
    pub fn progress(&self) -> &BTreeMap<BoxId, Progress> {
        &self.progress
    }

    /// The time on this replica's clock at which its committed state was certainly the newest
    /// accepted anywhere; `None` until that is known. Entries up to [`Core::commit`] are included.
    pub fn fresh(&self) -> Option<u64> {
        match self.role {
            Role::Leader => self.confirmed(),
            _ => self.fresh,
        }
    }

    /// Whether the leader may answer reads from its own state: a majority has confirmed it within
    /// the time in which that majority elects nobody else.
    pub fn may_read(&self) -> bool {
        let confirmed = if self.role == Role::Leader { self.confirmed() } else { None };
        confirmed.is_some_and(|at| self.now < at + ELECTION - DRIFT)
    }

    /// Whether the leader may answer reads, and has applied all that was accepted before its term.
    pub fn leads_whole(&self) -> bool {
        self.may_read() && self.log.term_at(self.applied) == Some(self.hard.term)
    }

    /// Notes the time without acting on it, so that a process that stood still does not take an
    /// old confirmation for a fresh one.
    pub fn observe(&mut self, now: u64) {
        self.now = self.now.max(now);
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: u64) {
        self.now = self.now.max(now);
        match self.role {
            Role::Leader => self.tick_leader(),
            Role::Follower | Role::PreCandidate | Role::Candidate => {
                if self.now >= self.deadline && self.is_voter() {
                    self.start_election(true);
                }
            }
        }
    }

    fn tick_leader(&mut self) {
        if !self.has_quorum() {
            tracing::debug!(event = "quorum_lost", term = %self.hard.term);
            self.become_follower(self.hard.term, None);
            return;
        }
        if self.now >= self.beat + HEARTBEAT {
            self.beat = self.now;
            self.broadcast(true);
        }
    }

    /// Takes a message. Those for another life of this box's disk are dropped, as are answers on
    /// behalf of another life of a member's disk than the one that belongs to the group.
    pub fn step(&mut self, now: u64, envelope: Envelope) {
        self.now = self.now.max(now);
        if envelope.to != self.own.box_id || envelope.to_life != self.own.life {
            return;
        }
        if self.is_answer_of_other_life(&envelope) {
            return;
        }
        if let Message::Vote { start, idle: true, .. } = envelope.message {
            self.note_idle(&envelope.from, start);
        }
        if envelope.term > self.hard.term && !self.meet_higher_term(&envelope) {
            return;
        }
        if envelope.term < self.hard.term {
            self.answer_lower_term(&envelope);
            return;
        }
        let from = (envelope.from.clone(), envelope.from_life);
        match envelope.message {
            Message::AskVote { pre, index, log_term, start } => {
                self.on_ask_vote(from, envelope.term, Ask { pre, index, log_term, start });
            }
            Message::Vote { pre, granted, .. } => self.on_vote(&from.0, pre, granted),
            Message::Append(append) => self.on_append(from, append),
            Message::Appended(appended) => self.on_appended(&from.0, &appended),
            Message::Install(install) => self.on_install(from, install),
            Message::Installing { index, offset } => self.on_installing(&from.0, index, offset),
        }
    }

    /// Whether the message answers this replica on behalf of a disk that is not the member's. Only
    /// answers are judged by this replica's members: a leader's may be newer than they are.
    fn is_answer_of_other_life(&self, envelope: &Envelope) -> bool {
        let known = self.members().incarnation(&envelope.from);
        match envelope.message {
            Message::Vote { .. } | Message::Appended(_) | Message::Installing { .. } => {
                known.is_some_and(|life| life != envelope.from_life)
            }
            Message::AskVote { .. } | Message::Append(_) | Message::Install(_) => false,
        }
    }

    /// Adopts a higher term unless the message only asks; `false` when it is dealt with.
    fn meet_higher_term(&mut self, envelope: &Envelope) -> bool {
        match envelope.message {
            Message::AskVote { pre: true, index, log_term, start } => {
                let granted = !self.hears_leader() && self.is_up_to_date(index, log_term);
                let to = (envelope.from.clone(), envelope.from_life);
                // A given pre-vote carries the term asked for, a refused one this replica's own:
                // nobody's term grows by asking.
                let term = if granted { envelope.term } else { self.hard.term };
                self.send_late(to, term, self.vote(true, granted, start));
                false
            }
            Message::AskVote { .. } => {
                if self.hears_leader() {
                    return false;
                }
                self.become_follower(envelope.term, None);
                true
            }
            Message::Vote { pre: true, granted: true, .. } => {
                // It carries the term asked for, one above ours.
                self.on_vote(&envelope.from.clone(), true, true);
                false
            }
            Message::Append(_) | Message::Install(_) => {
                self.become_follower(envelope.term, Some(envelope.from.clone()));
                true
            }
            Message::Vote { .. } | Message::Appended(_) | Message::Installing { .. } => {
                self.become_follower(envelope.term, None);
                true
            }
        }
    }

    /// Tells a sender that is behind of the newer term, so that it does not wait for ever.
    fn answer_lower_term(&mut self, envelope: &Envelope) {
        let to = (envelope.from.clone(), envelope.from_life);
        match envelope.message {
            Message::AskVote { pre, start, .. } => {
                self.send_late(to, self.hard.term, self.vote(pre, false, start));
            }
            Message::Append(_) | Message::Install(_) => {
                let appended = self.appended(false, self.log.last_index(), 0);
                self.send_late(to, self.hard.term, Message::Appended(appended));
            }
            Message::Vote { .. } | Message::Appended(_) | Message::Installing { .. } => {}
        }
    }

    /// Brings the followed replicas in line with the members.
    fn sync_progress(&mut self) {
        let others: BTreeSet<_> =
            self.members().others(&self.own.box_id).map(|(box_id, _)| box_id.clone()).collect();
        self.progress.retain(|box_id, _| others.contains(box_id));
        let (last, now) = (self.log.last_index(), self.now);
        for box_id in others {
            self.progress.entry(box_id).or_insert_with(|| Progress::new(last, now));
        }
    }

    fn append_entry(&mut self, entry: Entry) {
        let first = self.unstored.unwrap_or(entry.index).min(entry.index);
        self.unstored = Some(first);
        self.log.push(entry);
    }

    fn voters_but_own(&self) -> Vec<(BoxId, Incarnation)> {
        let voters = self.members().voters.iter().filter(|(id, _)| **id != self.own.box_id);
        voters.map(|(id, life)| (id.clone(), *life)).collect()
    }

    fn reset_deadline(&mut self) {
        let starting = self.heard.is_none() && self.now < self.hold.began + START_TIME;
        let range = if starting { START_WAIT } else { ELECTION..ELECTION * 2 };
        self.deadline = self.now + self.random.random_range(range);
    }

    fn send_late(&mut self, to: (BoxId, Incarnation), term: Term, message: Message) {
        let envelope = self.envelope(to, term, message);
        self.late.push(envelope);
    }

    fn send_early(&mut self, to: (BoxId, Incarnation), message: Message) {
        let envelope = self.envelope(to, self.hard.term, message);
        self.early.push(envelope);
    }

    fn envelope(&self, to: (BoxId, Incarnation), term: Term, message: Message) -> Envelope {
        Envelope {
            group: self.own.group,
            from: self.own.box_id.clone(),
            from_life: self.own.life,
            to: to.0,
            to_life: to.1,
            term,
            message,
        }
    }
}

mod elect;
mod follow;
mod hold;
mod lead;
mod produce;
mod propose;

use elect::Ask;
use hold::Hold;
