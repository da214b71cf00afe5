//! Bounds what large answers and large events take of the box's memory while they are read.
//!
//! They may have no end, or hardly come. As many of them as there are requests would fill the box, which then refuses the
//! requests of other callers.

use std::pin::pin;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use tokio::sync::{Notify, Semaphore, SemaphorePermit};

use crate::decide::answer_room::AnswerRoom;
use crate::ids::BackendId;
use crate::sync::lock;

/// Bytes of an answer that are read without a turn. Few answers are larger.
pub(super) const MAX_SMALL_BYTES: usize = 256 << 10;

/// Fraction of the memory budget that those of unknown length which have a turn may take together.
const TURN_FRACTION: f64 = 0.3;

/// What is read at the same time of that which is large.
#[derive(Debug)]
pub(super) struct LargeAnswers {
    /// Turns of answers of unknown length.
    turns: Semaphore,
    /// Room of answers that state their length.
    pub(super) answers: Arc<Room>,
    /// Room of events.
    pub(super) events: Arc<Room>,
}

impl LargeAnswers {
    /// For answers of up to `answer` bytes, and events that take up to `event` bytes, on a box with a budget of `memory`
    /// bytes; at least for one of each.
    pub(super) fn new(memory: u64, answer: u64, event: u64) -> Self {
        let turns = (memory as f64 * TURN_FRACTION / answer as f64) as usize;
        Self {
            turns: Semaphore::new(turns.max(1)),
            answers: Room::new(AnswerRoom::for_answers(memory, answer)),
            events: Room::new(AnswerRoom::for_events(memory, event)),
        }
    }

    /// Waits for a turn; `None` if there is none until then.
    pub(super) async fn turn(&self, until: Instant) -> Option<SemaphorePermit<'_>> {
        tokio::time::timeout_at(until.into(), self.turns.acquire()).await.ok()?.ok()
    }
}

/// Room that is waited for.
#[derive(Debug)]
pub(super) struct Room {
    state: Mutex<AnswerRoom>,
    freed: Notify,
}

impl Room {
    fn new(state: AnswerRoom) -> Arc<Self> {
        Arc::new(Self { state: Mutex::new(state), freed: Notify::new() })
    }

    /// Waits for room for `bytes` of `server`; `None` if there is none until then.
    pub(super) async fn take(
        self: &Arc<Self>,
        server: &BackendId,
        bytes: u64,
        until: Instant,
    ) -> Option<TakenRoom> {
        loop {
            let mut freed = pin!(self.freed.notified());
            freed.as_mut().enable();
            if lock(&self.state).try_take(server, bytes) {
                return Some(TakenRoom { room: self.clone(), server: server.clone(), bytes });
            }
            tokio::time::timeout_at(until.into(), freed).await.ok()?;
        }
    }
}

/// Room that is given back when it is dropped.
#[derive(Debug)]
pub(super) struct TakenRoom {
    room: Arc<Room>,
    server: BackendId,
    bytes: u64,
}

impl Drop for TakenRoom {
    fn drop(&mut self) {
        lock(&self.room.state).give_back(&self.server, self.bytes);
        self.room.freed.notify_waiters();
    }
}
