//! Bounds what large answers of unknown length take of the box's memory while they are read.
//!
//! Such an answer may have no end. As many of them as there are requests would fill the box, which then refuses the
//! requests of other callers.

use std::time::Instant;

use tokio::sync::{Semaphore, SemaphorePermit};

/// Bytes of an answer that are read without a turn. Few answers are larger and do not say so.
pub(super) const MAX_SMALL_BYTES: usize = 256 << 10;

/// Fraction of the memory budget that those which have a turn may take together.
const TURN_FRACTION: f64 = 0.3;

/// The answers that are read beyond [`MAX_SMALL_BYTES`] at the same time.
#[derive(Debug)]
pub(super) struct LargeAnswers {
    turns: Semaphore,
}

impl LargeAnswers {
    /// Turns for answers of up to `limit` bytes on a box with a budget of `memory` bytes; at least one.
    pub(super) fn new(memory: u64, limit: usize) -> Self {
        let turns = (memory as f64 * TURN_FRACTION / limit as f64) as usize;
        Self { turns: Semaphore::new(turns.max(1)) }
    }

    /// Waits for a turn; `None` if there is none until then.
    pub(super) async fn turn(&self, until: Instant) -> Option<SemaphorePermit<'_>> {
        tokio::time::timeout_at(until.into(), self.turns.acquire()).await.ok()?.ok()
    }
}
