//! Requests and bytes to and from backend servers, by how far these are.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::decide::topology::Reach;

/// What went one way, by reach.
#[derive(Debug, Default)]
struct Counts([AtomicU64; Reach::ALL.len()]);

impl Counts {
    fn add(&self, reach: Reach, amount: u64) {
        self.0[reach as usize].fetch_add(amount, Ordering::Relaxed);
    }

    fn of(&self, reach: Reach) -> u64 {
        self.0[reach as usize].load(Ordering::Relaxed)
    }
}

/// Counts since the start.
#[derive(Debug, Default)]
pub struct Traffic {
    sends: Counts,
    sent: Counts,
    answered: [Arc<AtomicU64>; Reach::ALL.len()],
}

impl Traffic {
    /// Counts a send with so many bytes of body.
    pub fn count_send(&self, reach: Reach, bytes: usize) {
        self.sends.add(reach, 1);
        self.sent.add(reach, bytes as u64);
    }

    /// Where the bytes of an answer are counted.
    pub fn answers(&self, reach: Reach) -> Arc<AtomicU64> {
        self.answered[reach as usize].clone()
    }

    /// Sends.
    pub fn sends(&self, reach: Reach) -> u64 {
        self.sends.of(reach)
    }

    /// Bytes of requests.
    pub fn sent_bytes(&self, reach: Reach) -> u64 {
        self.sent.of(reach)
    }

    /// Bytes of answers.
    pub fn answered_bytes(&self, reach: Reach) -> u64 {
        self.answered[reach as usize].load(Ordering::Relaxed)
    }
}
