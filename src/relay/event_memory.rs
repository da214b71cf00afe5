//! The memory for the part of an event that has come.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::events::MAX_EVENT_BYTES;
use super::large::{Room, TakenRoom};
use crate::backend::SendFault;
use crate::decide::memory::{MemoryBudget, MemoryClaim, MemoryReservation, Purpose};
use crate::ids::BackendId;

/// Bytes of an event that are covered by what each request has reserved.
const UNCHARGED_EVENT_BYTES: usize = 16 << 10;

/// Bytes of an event that are read without a turn. Few events are larger.
const MAX_SMALL_EVENT_BYTES: usize = 64 << 10;

/// A buffer that grows with an event has up to twice its bytes.
const BUFFER_FACTOR: u64 = 2;

/// What the largest event takes.
pub(super) const LARGE_EVENT_MEMORY: u64 = BUFFER_FACTOR * MAX_EVENT_BYTES as u64;

/// Pause between attempts to reserve memory on a full box.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// What a stream holds of the box's memory for an event that has not ended.
pub(super) struct EventMemory {
    room: Arc<Room>,
    memory: MemoryBudget,
    server: BackendId,
    turn: Option<TakenRoom>,
    charge: Option<MemoryReservation>,
}

impl EventMemory {
    pub(super) fn new(room: Arc<Room>, memory: MemoryBudget, server: BackendId) -> Self {
        Self { room, memory, server, turn: None, charge: None }
    }

    /// Waits at most `time` until there is memory for an event of which `held` bytes have come, and for the next piece of
    /// it. Cancel safe.
    ///
    /// # Errors
    /// [`SendFault::TimedOut`] if there is none until then.
    pub(super) async fn hold(&mut self, held: usize, time: Duration) -> Result<(), SendFault> {
        if held <= UNCHARGED_EVENT_BYTES {
            (self.charge, self.turn) = (None, None);
            return Ok(());
        }
        let until = Instant::now() + time;
        if held <= MAX_SMALL_EVENT_BYTES {
            return self.reserve(BUFFER_FACTOR * MAX_SMALL_EVENT_BYTES as u64, until).await;
        }
        let whole = LARGE_EVENT_MEMORY.min(self.memory.size() / 4);
        if self.turn.is_none() {
            let turn = self.room.take(&self.server, whole, until).await;
            self.turn = Some(turn.ok_or(SendFault::TimedOut)?);
        }
        self.reserve(whole, until).await
    }

    /// Has `bytes` reserved in all.
    async fn reserve(&mut self, bytes: u64, until: Instant) -> Result<(), SendFault> {
        loop {
            let more = bytes.saturating_sub(self.charge.as_ref().map_or(0, |it| it.bytes()));
            let reserved = match &mut self.charge {
                _ if more == 0 => return Ok(()),
                Some(charge) => charge.grow(more).is_ok(),
                None => {
                    let claim = MemoryClaim::Accepted;
                    self.charge = self.memory.reserve(Purpose::Answers, bytes, claim).ok();
                    self.charge.is_some()
                }
            };
            if reserved {
                return Ok(());
            }
            if Instant::now() >= until {
                return Err(SendFault::TimedOut);
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}
