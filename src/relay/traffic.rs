//! Counts requests and bytes exchanged with backend servers, by distance.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::decide::topology::Reach;

/// A counter for each distance class.
#[derive(Debug, Default)]
struct CountsByReach([AtomicU64; Reach::ALL.len()]);

impl CountsByReach {
    fn add(&self, reach: Reach, amount: u64) {
        self.0[reach as usize].fetch_add(amount, Ordering::Relaxed);
    }

    fn get(&self, reach: Reach) -> u64 {
        self.0[reach as usize].load(Ordering::Relaxed)
    }
}

/// Counters since the start of the process.
#[derive(Debug, Default)]
pub struct TrafficCounters {
    sends: CountsByReach,
    sent_bytes: CountsByReach,
    answered_bytes: [Arc<AtomicU64>; Reach::ALL.len()],
}

impl TrafficCounters {
    /// Counts a send with a body of `bytes` bytes.
    pub fn count_send(&self, reach: Reach, bytes: usize) {
        self.sends.add(reach, 1);
        self.sent_bytes.add(reach, bytes as u64);
    }

    /// The counter for the bytes of answers; the caller adds to it as they arrive.
    pub fn answer_byte_counter(&self, reach: Reach) -> Arc<AtomicU64> {
        self.answered_bytes[reach as usize].clone()
    }

    /// Number of sends.
    pub fn sends(&self, reach: Reach) -> u64 {
        self.sends.get(reach)
    }

    /// Bytes of request bodies sent.
    pub fn sent_bytes(&self, reach: Reach) -> u64 {
        self.sent_bytes.get(reach)
    }

    /// Bytes of answers received.
    pub fn answered_bytes(&self, reach: Reach) -> u64 {
        self.answered_bytes[reach as usize].load(Ordering::Relaxed)
    }
}
