//! What a leader knows of one other replica.

use crate::ids::Index;

/// Bytes of payload in one message at most.
pub const FLIGHT_BYTES: usize = 1 << 20;

/// Entries in flight to one replica at most.
pub const FLIGHT_ENTRIES: u64 = 16_384;

/// How entries travel to a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Stream {
    /// One message at a time, until the place where the logs meet is known.
    Probing,
    /// Entries are sent ahead of their answers.
    Flowing,
    /// The replica is too far behind and gets a snapshot.
    Installing {
        /// The snapshot's index.
        index: Index,
        /// Bytes sent and acknowledged.
        offset: usize,
    },
}

/// What a leader knows of one other replica.
#[derive(Debug, Clone)]
pub struct Progress {
    /// The last entry known to match.
    pub matched: Index,
    /// The next entry to send.
    pub next: Index,
    /// How entries travel.
    pub stream: Stream,
    /// The commit index last sent.
    pub told: Index,
    /// `sent` of the newest message the replica has answered, on the leader's clock.
    pub acked: u64,
    /// The replica's clock in the newest answer of its process.
    pub clock: u64,
    /// Drawn when that process started.
    pub start: u64,
    /// When the last message was sent, on the leader's clock.
    pub sent: u64,
    /// When the replica last answered at all, on the leader's clock.
    pub heard: u64,
    /// Whether the replica has said that it is about to stop.
    pub stopping: bool,
}

impl Progress {
    /// A replica nothing is known of; `last` is the leader's last entry.
    pub fn new(last: Index, now: u64) -> Self {
        Self {
            matched: Index(0),
            next: last.next(),
            stream: Stream::Probing,
            told: Index(0),
            acked: 0,
            clock: 0,
            start: 0,
            sent: 0,
            heard: now,
            stopping: false,
        }
    }

    /// Records a reading of the replica's clock. Those of two processes of it can't be compared.
    pub fn record_clock(&mut self, start: u64, clock: u64) {
        self.clock = if start == self.start { self.clock.max(clock) } else { clock };
        self.start = start;
    }

    /// Takes note of a match up to `index`.
    pub fn advance(&mut self, index: Index) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched.next());
        self.stream = Stream::Flowing;
    }

    /// Takes note that entries before `next` did not fit; tries from `hint` on.
    pub fn retreat(&mut self, hint: Index) {
        self.stream = Stream::Probing;
        self.next = hint.max(self.matched).next();
    }
}
