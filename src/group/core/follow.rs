//! A follower's side: entries and snapshots from the leader.

use super::{BoxId, Core, Role};
use crate::group::log::Log;
use crate::group::message::{Append, Appended, Install, Message, Snapshot};
use crate::ids::{Incarnation, Index};

impl Core {
    pub(super) fn on_append(&mut self, from: (BoxId, Incarnation), append: Append) {
        self.hear_leader(&from.0);
        let sent = append.sent;
        let fits = self.log.term_at(append.prev) == Some(append.prev_term);
        if !fits && append.prev > self.log.base() {
            let hint = self.retreat_hint(append.prev);
            self.answer_append(from, false, hint, sent);
            return;
        }
        let last = Index(append.prev.0 + append.entries.len() as u64);
        self.take_entries(&append);
        let known = last.max(self.log.base());
        self.commit = self.commit.max(append.commit.min(known));
        self.record_fresh(&append, known);
        self.answer_append(from, true, known, sent);
    }

    /// Entries that are already held are kept; the first that differs replaces the rest.
    fn take_entries(&mut self, append: &Append) {
        for entry in &append.entries {
            if entry.index <= self.log.base() {
                continue;
            }
            match self.log.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => {
                    assert!(entry.index > self.commit, "a committed entry is never replaced");
                    self.log.truncate(entry.index);
                    self.stored = self.stored.min(self.log.last_index());
                }
                None => {}
            }
            self.append_entry(entry.clone());
        }
    }

    /// Skips the whole of a term that does not match, so that long tails meet in few steps.
    fn retreat_hint(&self, prev: Index) -> Index {
        let Some(term) = self.log.term_at(prev) else {
            return self.log.last_index().min(Index(prev.0 - 1));
        };
        let mut hint = prev;
        while hint > self.log.base() && self.log.term_at(hint) == Some(term) {
            hint = Index(hint.0 - 1);
        }
        hint.max(self.commit.min(Index(prev.0 - 1)))
    }

    /// When the leader spoke, it had been confirmed `age` ago; it spoke after this replica's clock
    /// showed `echo`. So what it had committed then was the newest at `echo - age` at least.
    fn record_fresh(&mut self, append: &Append, known: Index) {
        let whole = self.commit >= append.commit && known >= append.commit;
        if let Some(age) = append.age.filter(|_| whole && self.is_own_reading(append)) {
            let at = append.echo.saturating_sub(age);
            self.fresh = Some(self.fresh.map_or(at, |held| held.max(at)));
        }
    }

    /// Whether the echo is a reading of this process's clock. A leader may still send one of a former process, and
    /// messages of before the restart may be under way.
    fn is_own_reading(&self, append: &Append) -> bool {
        let named = append.echo_start == self.hold.start;
        // Without a name, a reading that lies ahead is certainly another process's.
        let unnamed = append.echo_start == 0 && append.echo <= self.now;
        append.echo > 0 && (named || unnamed)
    }

    fn answer_append(&mut self, to: (BoxId, Incarnation), matched: bool, index: Index, sent: u64) {
        let appended = self.appended(matched, index, sent);
        self.send_late(to, self.hard.term, Message::Appended(appended));
    }

    pub(super) fn appended(&self, matched: bool, index: Index, sent: u64) -> Appended {
        let (clock, start) = (self.now, self.hold.start);
        Appended { matched, index, sent, clock, start, stopping: self.stopping }
    }

    fn hear_leader(&mut self, from: &BoxId) {
        if self.role != Role::Follower || self.leader.as_ref() != Some(from) {
            self.become_follower(self.hard.term, Some(from.clone()));
        }
        self.heard = Some(self.now);
        self.reset_deadline();
    }

    pub(super) fn on_install(&mut self, from: (BoxId, Incarnation), install: Install) {
        self.hear_leader(&from.0);
        if install.index <= self.commit {
            self.answer_append(from, true, self.commit, install.sent);
            return;
        }
        let (index, total) = (install.index, install.total);
        if self.log.term_at(index) == Some(install.term) {
            // The log holds all of it, and perhaps entries behind it that count as stored here.
            self.commit = index;
            self.answer_append(from, true, index, install.sent);
            return;
        }
        let held = self.take_piece(install);
        if held < total {
            let message = Message::Installing { index, offset: held };
            self.send_late(from, self.hard.term, message);
            return;
        }
        if let Some(whole) = self.incoming.take() {
            let sent = whole.sent;
            self.install_snapshot(whole);
            self.answer_append(from, true, index, sent);
        }
    }

    /// Adds a piece that follows what is held; gives how many bytes are held then.
    fn take_piece(&mut self, install: Install) -> usize {
        let held =
            self.incoming.take().filter(|it| (it.index, it.term) == (install.index, install.term));
        let mut whole = match held {
            Some(held) => held,
            None => Install { piece: String::new(), ..install.clone() },
        };
        if install.offset == whole.piece.len() {
            whole.piece.push_str(&install.piece);
        }
        whole.sent = install.sent;
        let length = whole.piece.len();
        self.incoming = Some(whole);
        length
    }

    fn install_snapshot(&mut self, install: Install) {
        let snapshot = Snapshot {
            index: install.index,
            term: install.term,
            at: install.at,
            members: install.members,
            data: install.piece,
        };
        self.log = Log::new(Some(&snapshot), Vec::new());
        self.commit = snapshot.index;
        self.applied = snapshot.index;
        self.stored = snapshot.index;
        self.unstored = None;
        self.snapshot = Some(snapshot.clone());
        self.installed = Some(snapshot);
    }
}
