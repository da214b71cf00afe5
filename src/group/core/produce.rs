//! What the caller takes from the core, and what it reports back.

use super::{Core, Entry, Index, Output, Role, Snapshot};
use crate::group::log::Tail;

impl Core {
    /// Takes what there is to store, send and apply.
    pub fn output(&mut self) -> Output {
        if self.role == Role::Leader {
            self.broadcast(false);
        }
        let hard = self.hard_changed.then(|| self.hard.clone());
        self.hard_changed = false;
        let append = match self.unstored.take() {
            Some(first) => self.log.from(first, usize::MAX),
            None => Vec::new(),
        };
        Output {
            hard,
            install: self.installed.take(),
            append,
            early: std::mem::take(&mut self.early),
            late: std::mem::take(&mut self.late),
            apply: self.take_committed(),
        }
    }

    fn take_committed(&mut self) -> Vec<Entry> {
        let mut list = Vec::new();
        while self.applied < self.commit {
            let Some(entry) = self.log.get(self.applied.next()) else {
                break;
            };
            list.push(entry.clone());
            self.applied = self.applied.next();
        }
        list
    }

    /// Reports that entries up to `index` are stored and synced.
    pub fn stored(&mut self, index: Index) {
        self.stored = self.stored.max(index.min(self.log.last_index()));
        if self.role == Role::Leader {
            self.advance_commit();
        }
    }

    /// The last entry applied.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// The last entry the latest snapshot covers.
    pub fn covered(&self) -> Index {
        self.snapshot.as_ref().map_or(Index(0), |snapshot| snapshot.index)
    }

    /// Replaces the log up to `index`, an applied entry, by the state machine's `data` as of there, but
    /// for a tail; gives the snapshot to store, or `None` when nothing new is covered.
    pub fn compact(&mut self, index: Index, data: String, tail: Tail) -> Option<Snapshot> {
        if index <= self.covered() || index > self.applied {
            return None;
        }
        let entry = self.log.get(index)?;
        let (term, at) = (entry.term, entry.at);
        let members = self.log.members_at(index).0.clone();
        self.log.compact_keeping(index, tail);
        let snapshot = Snapshot { index, term, at, members, data };
        self.snapshot = Some(snapshot.clone());
        Some(snapshot)
    }
}
