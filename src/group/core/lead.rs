//! A leader's side: sending entries, counting what is stored, knowing it still leads.

use super::{BoxId, Core, ELECTION, NEWS_DELAY, PIECE_BYTES, RESEND, Role};
use crate::group::message::{Append, Appended, Install, Message};
use crate::group::progress::{FLIGHT_BYTES, FLIGHT_ENTRIES, Progress, Stream};
use crate::ids::Index;

impl Core {
    /// Sends what each replica lacks; with `beat`, something to every one of them.
    pub(super) fn broadcast(&mut self, beat: bool) {
        let others: Vec<_> = self.progress.keys().cloned().collect();
        for box_id in others {
            self.send_to(&box_id, beat);
        }
    }

    pub(super) fn send_to(&mut self, box_id: &BoxId, beat: bool) {
        let Some(progress) = self.progress.get(box_id) else {
            return;
        };
        let waited = self.now >= progress.sent + RESEND;
        match progress.stream.clone() {
            Stream::Installing { .. } if beat && waited => self.send_piece(box_id),
            Stream::Installing { .. } => self.send_heartbeat(box_id, beat),
            Stream::Probing if beat || progress.sent == 0 => self.send_entries(box_id),
            Stream::Probing => {}
            Stream::Flowing => {
                let lacks = progress.next <= self.log.last_index();
                let room = progress.next.0 - progress.matched.0 <= FLIGHT_ENTRIES;
                let rested = self.now >= progress.sent + NEWS_DELAY;
                let news = progress.told < self.commit && rested;
                if beat && waited_for(progress.acked, self.now) {
                    self.restart_flow(box_id);
                } else if lacks && room || news || beat {
                    self.send_entries(box_id);
                }
            }
        }
    }

    /// Answers have stopped while entries are under way: send again from the last match.
    fn restart_flow(&mut self, box_id: &BoxId) {
        if let Some(progress) = self.progress.get_mut(box_id) {
            progress.next = progress.matched.next();
            progress.stream = Stream::Probing;
        }
        self.send_entries(box_id);
    }

    fn send_entries(&mut self, box_id: &BoxId) {
        let Some(progress) = self.progress.get(box_id) else {
            return;
        };
        let prev = Index(progress.next.0 - 1);
        let Some(prev_term) = self.log.term_at(prev) else {
            self.start_install(box_id);
            return;
        };
        let entries = match progress.stream {
            Stream::Flowing => self.log.from(progress.next, FLIGHT_BYTES),
            Stream::Probing | Stream::Installing { .. } => Vec::new(),
        };
        let sent_up_to = Index(prev.0 + entries.len() as u64);
        let append = Append {
            prev,
            prev_term,
            entries,
            commit: self.commit,
            sent: self.now,
            echo: progress.clock,
            echo_start: progress.start,
            age: self.confirmed().map(|at| self.now.saturating_sub(at)),
        };
        if let Some(progress) = self.progress.get_mut(box_id) {
            progress.sent = self.now;
            progress.told = self.commit;
            if progress.stream == Stream::Flowing {
                progress.next = sent_up_to.next();
            }
        }
        self.send_member(box_id, Message::Append(append));
    }

    /// Keeps a replica that gets a snapshot from calling an election.
    fn send_heartbeat(&mut self, box_id: &BoxId, beat: bool) {
        let Some(progress) = self.progress.get(box_id).filter(|_| beat) else {
            return;
        };
        let append = Append {
            prev: self.log.base(),
            prev_term: self.log.term_at(self.log.base()).unwrap_or_default(),
            entries: Vec::new(),
            commit: Index(0),
            sent: self.now,
            echo: progress.clock,
            echo_start: progress.start,
            age: None,
        };
        self.send_member(box_id, Message::Append(append));
    }

    fn start_install(&mut self, box_id: &BoxId) {
        let index = self.covered();
        if let Some(progress) = self.progress.get_mut(box_id) {
            progress.stream = Stream::Installing { index, offset: 0 };
        }
        self.send_piece(box_id);
    }

    fn send_piece(&mut self, box_id: &BoxId) {
        let Some(snapshot) = &self.snapshot else {
            return;
        };
        let Some(progress) = self.progress.get_mut(box_id) else {
            return;
        };
        let offset = match progress.stream {
            Stream::Installing { index, offset } if index == snapshot.index => offset,
            _ => 0,
        };
        progress.stream = Stream::Installing { index: snapshot.index, offset };
        progress.sent = self.now;
        let install = Install {
            index: snapshot.index,
            term: snapshot.term,
            at: snapshot.at,
            members: snapshot.members.clone(),
            offset,
            total: snapshot.data.len(),
            piece: piece(&snapshot.data, offset).to_owned(),
            sent: self.now,
        };
        self.send_member(box_id, Message::Install(install));
    }

    fn send_member(&mut self, box_id: &BoxId, message: Message) {
        if let Some(life) = self.members().incarnation(box_id) {
            self.send_early((box_id.clone(), life), message);
        }
    }

    pub(super) fn on_appended(&mut self, from: &BoxId, appended: &Appended) {
        if self.role != Role::Leader {
            return;
        }
        let now = self.now;
        let last = self.log.last_index();
        let covered = self.covered();
        let Some(progress) = self.progress.get_mut(from) else {
            return;
        };
        progress.heard = now;
        progress.acked = progress.acked.max(appended.sent);
        progress.record_clock(appended.start, appended.clock);
        progress.stopping = appended.stopping;
        let installing = matches!(progress.stream, Stream::Installing { .. });
        match appended.matched {
            true if installing && appended.index < covered => {}
            true if appended.index <= last => progress.advance(appended.index),
            true => {}
            false if installing => {}
            // The hint skips a whole term and may lie before what is known to match; then entries
            // are sent again from there. Passing it over would leave the replica behind for ever.
            false => progress.retreat(appended.index),
        }
        let probing = progress.stream == Stream::Probing;
        self.advance_commit();
        self.send_to(from, probing);
    }

    pub(super) fn on_installing(&mut self, from: &BoxId, index: Index, offset: usize) {
        if self.role != Role::Leader {
            return;
        }
        let now = self.now;
        let Some(progress) = self.progress.get_mut(from) else {
            return;
        };
        progress.heard = now;
        let expected = Stream::Installing { index, offset };
        if matches!(progress.stream, Stream::Installing { index: held, .. } if held == index) {
            progress.stream = expected;
            self.send_piece(from);
        }
    }

    /// Commits what a majority of the voters has stored, if it is of this term.
    pub(super) fn advance_commit(&mut self) {
        let own = self.stored;
        let stored = self.voter_values(own.0, |progress| progress.matched.0);
        let Some(index) = self.majority_value(stored).map(Index) else {
            return;
        };
        if index > self.commit && self.log.term_at(index) == Some(self.hard.term) {
            self.commit = index;
            self.leave_if_removed();
        }
    }

    fn leave_if_removed(&mut self) {
        let (members, since) = self.log.members_at(self.commit);
        let gone = !members.voters.contains_key(&self.own.box_id);
        if gone && since <= self.commit {
            self.broadcast(true);
            self.become_follower(self.hard.term, None);
        }
    }

    /// When a majority last confirmed this leader, on its own clock; `None` before its first entry
    /// is committed, since it cannot know what former leaders accepted until then.
    pub(super) fn confirmed(&self) -> Option<u64> {
        if self.log.term_at(self.commit) != Some(self.hard.term) {
            return None;
        }
        let answered = self.voter_values(self.now, |progress| progress.acked);
        self.majority_value(answered).filter(|at| *at > 0)
    }

    /// Whether a majority has been heard within the longest election time.
    pub(super) fn has_quorum(&self) -> bool {
        let heard = self.voter_values(self.now, |progress| progress.heard);
        self.majority_value(heard).is_some_and(|at| self.now < at + ELECTION * 2)
    }

    fn voter_values(&self, own: u64, value: impl Fn(&Progress) -> u64) -> Vec<u64> {
        let of = |box_id: &BoxId| match *box_id == self.own.box_id {
            true => own,
            false => self.progress.get(box_id).map_or(0, &value),
        };
        self.members().voters.keys().map(of).collect()
    }

    /// The largest value that a majority reaches.
    fn majority_value(&self, mut values: Vec<u64>) -> Option<u64> {
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.members().majority() - 1).copied()
    }
}

fn waited_for(acked: u64, now: u64) -> bool {
    now >= acked + RESEND * 2
}

/// The piece of a snapshot that begins at `offset`, ended where a character ends.
fn piece(data: &str, offset: usize) -> &str {
    let mut end = (offset + PIECE_BYTES).min(data.len());
    while !data.is_char_boundary(end) {
        end += 1;
    }
    data.get(offset..end).unwrap_or("")
}
