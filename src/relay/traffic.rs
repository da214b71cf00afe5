//! Requests and bytes to and from backend servers, by how far these are.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::decide::topology::Reach;

/// What went one way, by reach.
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

/// Counts since the start.
#[derive(Debug, Default)]
pub struct TrafficCounters {
    sends: CountsByReach,
    sent_bytes: CountsByReach,
    answered_bytes: [Arc<AtomicU64>; Reach::ALL.len()],
}

impl TrafficCounters {
    /// Counts a send with so many bytes of body.
    pub fn count_send(&self, reach: Reach, bytes: usize) {
        self.sends.add(reach, 1);
        self.sent_bytes.add(reach, bytes as u64);
    }

    /// Where the bytes of an answer are counted.
    pub fn answer_byte_counter(&self, reach: Reach) -> Arc<AtomicU64> {
        self.answered_bytes[reach as usize].clone()
    }

    /// Sends.
    pub fn sends(&self, reach: Reach) -> u64 {
        self.sends.get(reach)
    }

    /// Bytes of requests.
    pub fn sent_bytes(&self, reach: Reach) -> u64 {
        self.sent_bytes.get(reach)
    }

    /// Bytes of answers.
    pub fn answered_bytes(&self, reach: Reach) -> u64 {
        self.answered_bytes[reach as usize].load(Ordering::Relaxed)
    }
}
