//! Elections: asking for votes, giving them, becoming leader or follower.

use std::collections::BTreeSet;

use super::{BoxId, Core, ELECTION, Role};
use crate::group::message::{HardState, Message, Payload};
use crate::ids::{Incarnation, Index, Term};

/// A question for a vote.
#[derive(Debug, Clone, Copy)]
pub(super) struct Ask {
    /// Whether it only asks whether the vote would be given.
    pub(super) pre: bool,
    /// The asker's last entry.
    pub(super) index: Index,
    /// That entry's term.
    pub(super) log_term: Term,
    /// Drawn when the asker's process started.
    pub(super) start: u64,
}

impl Core {
    /// Whether a leader's lease may hold: one was heard within its time, perhaps before a restart.
    pub(super) fn hears_leader(&self) -> bool {
        match self.role {
            Role::Leader => self.has_quorum(),
            _ => !self.is_idle() || self.hold.is_on(self.now),
        }
    }

    /// Whether this replica neither leads nor has heard a leader since it started, or for long. A
    /// leader without a quorum is not idle yet: an answer under way to it may renew its lease.
    fn is_idle(&self) -> bool {
        let quiet = self.heard.is_none_or(|heard| self.now >= heard + ELECTION);
        self.role != Role::Leader && quiet
    }

    /// Another voter is idle, by its answer to a question of this life of the process. Once all of
    /// them are, no leader that an earlier life confirmed leads any more.
    pub(super) fn note_idle(&mut self, from: &BoxId, start: u64) {
        if !self.hold.is_on(self.now) {
            return;
        }
        self.hold.note_idle(from, start);
        let others = self.voters_but_own();
        if self.hold.knows_idle(others.iter().map(|(id, _)| id)) {
            self.hold.release();
            self.count_votes();
        }
    }

    /// The answer to a question for a vote.
    pub(super) fn vote(&self, pre: bool, granted: bool, start: u64) -> Message {
        Message::Vote { pre, granted, start, idle: self.is_idle() }
    }

    /// Whether this life of this box's disk votes.
    pub(super) fn is_voter(&self) -> bool {
        self.members().voters.get(&self.own.box_id) == Some(&self.own.life)
    }

    /// Whether a log that ends so holds at least all that this one does.
    pub(super) fn is_up_to_date(&self, index: Index, term: Term) -> bool {
        (term, index) >= (self.log.last_term(), self.log.last_index())
    }

    /// Gives a vote if nothing forbids it; it is sent only once it is stored.
    pub(super) fn on_ask_vote(&mut self, from: (BoxId, Incarnation), term: Term, ask: Ask) {
        let Ask { pre, index, log_term, start } = ask;
        let level = self.is_up_to_date(index, log_term);
        let free = self.hard.vote.is_none() || self.hard.vote.as_ref() == Some(&from.0);
        let open = matches!(self.role, Role::Follower | Role::PreCandidate);
        let granted = !pre && level && free && open && !self.hears_leader();
        if granted {
            self.role = Role::Follower;
            self.hard_changed |= self.hard.vote.is_none();
            self.hard.vote = Some(from.0.clone());
            self.reset_deadline();
        }
        self.send_late(from, term, self.vote(pre, granted, start));
    }

    /// Asks for votes; with `pre`, only whether they would be given.
    pub(super) fn start_election(&mut self, pre: bool) {
        self.reset_deadline();
        self.leader = None;
        self.votes = BTreeSet::from([self.own.box_id.clone()]);
        if pre {
            self.role = Role::PreCandidate;
        } else {
            self.role = Role::Candidate;
            self.hard.term = self.hard.term.next();
            self.hard.vote = Some(self.own.box_id.clone());
            self.hard_changed = true;
        }
        let term = if pre { self.hard.term.next() } else { self.hard.term };
        let (index, log_term) = (self.log.last_index(), self.log.last_term());
        for (box_id, life) in self.voters_but_own() {
            let ask = Message::AskVote { pre, index, log_term, start: self.hold.start };
            self.send_late((box_id, life), term, ask);
        }
        self.count_votes();
    }

    /// Counts an answer to the election under way.
    pub(super) fn on_vote(&mut self, from: &BoxId, pre: bool, granted: bool) {
        let asked = match self.role {
            Role::PreCandidate => pre,
            Role::Candidate => !pre,
            Role::Follower | Role::Leader => false,
        };
        if !asked || !granted || !self.members().voters.contains_key(from) {
            return;
        }
        self.votes.insert(from.clone());
        self.count_votes();
    }

    fn count_votes(&mut self) {
        if self.votes.len() < self.members().majority() {
            return;
        }
        match self.role {
            // Its own vote is held as well.
            Role::PreCandidate if self.hold.is_on(self.now) => {}
            Role::PreCandidate => self.start_election(false),
            Role::Candidate => self.become_leader(),
            Role::Follower | Role::Leader => {}
        }
    }

    pub(super) fn become_follower(&mut self, term: Term, leader: Option<BoxId>) {
        if term > self.hard.term {
            self.hard = HardState { term, vote: None };
            self.hard_changed = true;
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.progress.clear();
        self.pending = None;
        self.reset_deadline();
    }

    fn become_leader(&mut self) {
        self.role = Role::Leader;
        self.leader = Some(self.own.box_id.clone());
        self.progress.clear();
        self.fresh = None;
        self.sync_progress();
        self.beat = self.now;
        let at = self.log.last_at();
        let _ = self.propose_payload(at, Payload::Noop);
        self.broadcast(true);
    }
}
