//! Bounds what large answers take of the box's memory while they are read.
//!
//! Such an answer may have no end, or hardly come. As many of them as there are requests would fill the box, which then
//! refuses the requests of other callers.

use std::pin::pin;
use std::sync::Mutex;
use std::time::Instant;

use tokio::sync::{Notify, Semaphore, SemaphorePermit};

use crate::decide::answer_room::AnswerRoom;
use crate::ids::BackendId;
use crate::sync::lock;

/// Bytes of an answer that are read without a turn. Few answers are larger.
pub(super) const MAX_SMALL_BYTES: usize = 256 << 10;

/// Fraction of the memory budget that those of unknown length which have a turn may take together.
const TURN_FRACTION: f64 = 0.3;

/// The answers beyond [`MAX_SMALL_BYTES`] that are read at the same time.
#[derive(Debug)]
pub(super) struct LargeAnswers {
    /// Turns of those of unknown length.
    turns: Semaphore,
    /// Room of those that state their length.
    room: Mutex<AnswerRoom>,
    room_freed: Notify,
}

impl LargeAnswers {
    /// Turns and room for answers of up to `limit` bytes on a box with a budget of `memory` bytes; at least for one.
    pub(super) fn new(memory: u64, limit: usize) -> Self {
        let turns = (memory as f64 * TURN_FRACTION / limit as f64) as usize;
        Self {
            turns: Semaphore::new(turns.max(1)),
            room: Mutex::new(AnswerRoom::new(memory, limit as u64)),
            room_freed: Notify::new(),
        }
    }

    /// Waits for a turn; `None` if there is none until then.
    pub(super) async fn turn(&self, until: Instant) -> Option<LargeAnswer<'_>> {
        let waited = tokio::time::timeout_at(until.into(), self.turns.acquire()).await;
        waited.ok()?.ok().map(LargeAnswer::Turn)
    }

    /// Waits for room for `bytes` of an answer of `server`; `None` if there is none until then.
    pub(super) async fn room(
        &self,
        server: &BackendId,
        bytes: u64,
        until: Instant,
    ) -> Option<LargeAnswer<'_>> {
        loop {
            let mut freed = pin!(self.room_freed.notified());
            freed.as_mut().enable();
            if lock(&self.room).try_take(server, bytes) {
                return Some(LargeAnswer::Room(TakenRoom {
                    answers: self,
                    server: server.clone(),
                    bytes,
                }));
            }
            tokio::time::timeout_at(until.into(), freed).await.ok()?;
        }
    }
}

/// The permission to read a large answer.
#[expect(dead_code, reason = "held for its drop")]
pub(super) enum LargeAnswer<'a> {
    Turn(SemaphorePermit<'a>),
    Room(TakenRoom<'a>),
}

/// Room for an answer, given back when it is dropped.
pub(super) struct TakenRoom<'a> {
    answers: &'a LargeAnswers,
    server: BackendId,
    bytes: u64,
}

impl Drop for TakenRoom<'_> {
    fn drop(&mut self) {
        lock(&self.answers.room).give_back(&self.server, self.bytes);
        self.answers.room_freed.notify_waiters();
    }
}
