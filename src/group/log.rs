//! The part of the log a replica holds in memory: everything behind the latest snapshot.

use std::collections::VecDeque;

use super::message::{Entry, Members, Payload, Snapshot};
use crate::ids::{Index, Term};

/// How much of a log stays although a snapshot covers it: a replica that was away for a moment then
/// needs entries, not the snapshot.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tail {
    /// Entries at most.
    pub entries: u64,
    /// Bytes of payload at most.
    pub bytes: usize,
}

/// The log behind a snapshot.
#[derive(Debug, Clone, Default)]
pub struct Log {
    base: Index,
    base_term: Term,
    base_at: u64,
    base_members: Members,
    entries: VecDeque<Entry>,
    bytes: usize,
}

impl Log {
    /// A log that begins behind `snapshot`, with the entries that follow it.
    pub fn new(snapshot: Option<&Snapshot>, entries: Vec<Entry>) -> Self {
        let mut log = Self::default();
        if let Some(snapshot) = snapshot {
            log.base = snapshot.index;
            log.base_term = snapshot.term;
            log.base_at = snapshot.at;
            log.base_members = snapshot.members.clone();
        }
        for entry in entries {
            log.push(entry);
        }
        log
    }

    /// The last index, of an entry or of the snapshot.
    pub fn last_index(&self) -> Index {
        Index(self.base.0 + self.entries.len() as u64)
    }

    /// The last entry's term.
    pub fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    /// The last entry's time.
    pub fn last_at(&self) -> u64 {
        self.entries.back().map_or(self.base_at, |entry| entry.at)
    }

    /// The snapshot's index.
    pub fn base(&self) -> Index {
        self.base
    }

    /// The term at an index, where still known.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.base {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// The entry at an index, where still held.
    pub fn get(&self, index: Index) -> Option<&Entry> {
        let place = index.0.checked_sub(self.base.0 + 1)?;
        self.entries.get(place as usize)
    }

    /// Entries from `first` on, until `bytes` of payload are passed; at least one if there is one.
    pub fn from(&self, first: Index, bytes: usize) -> Vec<Entry> {
        let mut list = Vec::new();
        let mut size = 0;
        let mut index = first;
        while let Some(entry) = self.get(index) {
            if !list.is_empty() && size >= bytes {
                break;
            }
            size += payload_bytes(entry);
            list.push(entry.clone());
            index = index.next();
        }
        list
    }

    /// Appends an entry that follows the last one.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index().next());
        self.bytes += payload_bytes(&entry);
        self.entries.push_back(entry);
    }

    /// Drops entries from `first` on.
    pub fn truncate(&mut self, first: Index) {
        while self.last_index() >= first {
            let Some(entry) = self.entries.pop_back() else {
                return;
            };
            self.bytes -= payload_bytes(&entry);
        }
    }

    /// The members as of the last entry, and the entry that set them (the snapshot's index if none).
    pub fn members(&self) -> (&Members, Index) {
        self.members_at(self.last_index())
    }

    /// The members as of an index.
    pub fn members_at(&self, index: Index) -> (&Members, Index) {
        let held = self.entries.iter().rev().filter(|entry| entry.index <= index);
        for entry in held {
            if let Payload::Members(members) = &entry.payload {
                return (members, entry.index);
            }
        }
        (&self.base_members, self.base)
    }

    /// Drops entries up to `index`, which a snapshot now covers, but for a tail of them.
    pub fn compact_keeping(&mut self, index: Index, tail: Tail) {
        let mut first = index.next();
        let mut bytes = 0;
        while first > self.base.next() && index.0 + 1 - first.0 < tail.entries {
            let before = Index(first.0 - 1);
            bytes += self.get(before).map_or(0, payload_bytes);
            if bytes > tail.bytes {
                break;
            }
            first = before;
        }
        self.compact(Index(first.0 - 1));
    }

    fn compact(&mut self, index: Index) {
        let Some(entry) = self.get(index) else {
            return;
        };
        let (term, at) = (entry.term, entry.at);
        let members = self.members_at(index).0.clone();
        while self.base < index {
            if let Some(entry) = self.entries.pop_front() {
                self.bytes -= payload_bytes(&entry);
            }
            self.base = self.base.next();
        }
        self.base_term = term;
        self.base_at = at;
        self.base_members = members;
    }

    /// How many entries are held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no entry is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes of payload held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

fn payload_bytes(entry: &Entry) -> usize {
    match &entry.payload {
        Payload::Command(text) => text.len(),
        Payload::Noop | Payload::Members(_) => 64,
    }
}
