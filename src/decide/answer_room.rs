//! Which large answers, and which large events of streams, are read at the same time.
//!
//! All of the memory that one may need is reserved before it is read. A server that sends little of it would hold that
//! memory as long as the call has time, so those of one server leave room for the largest one of another.

use std::collections::HashMap;

use crate::ids::BackendId;

/// Fraction of the memory budget that answers which state a large length may take together while they are read.
const ANSWERS_FRACTION: f64 = 0.25;

/// The same for large events.
const EVENTS_FRACTION: f64 = 0.2;

/// The memory that is left for large answers, or for large events.
#[derive(Debug)]
pub struct AnswerRoom {
    room: u64,
    /// What the answers of one server may take.
    share: u64,
    taken: u64,
    by_server: HashMap<BackendId, u64>,
}

impl AnswerRoom {
    /// Room for answers that state a large length, on a box with a budget of `memory` bytes.
    pub fn for_answers(memory: u64, largest: u64) -> Self {
        Self::new(memory as f64 * ANSWERS_FRACTION, largest)
    }

    /// Room for large events.
    pub fn for_events(memory: u64, largest: u64) -> Self {
        Self::new(memory as f64 * EVENTS_FRACTION, largest)
    }

    fn new(room: f64, largest: u64) -> Self {
        let room = room as u64;
        let share = room.saturating_sub(largest);
        Self { room, share, taken: 0, by_server: HashMap::new() }
    }

    /// Takes room for one of a server, if there is enough. One at a time has room whatever its length.
    pub fn try_take(&mut self, server: &BackendId, bytes: u64) -> bool {
        let own = self.by_server.get(server).copied().unwrap_or(0);
        let is_within_share = own == 0 || own + bytes <= self.share;
        let has_room = self.taken == 0 || self.taken + bytes <= self.room;
        if !is_within_share || !has_room {
            return false;
        }
        self.taken += bytes;
        self.by_server.insert(server.clone(), own + bytes);
        true
    }

    /// Gives room back.
    pub fn give_back(&mut self, server: &BackendId, bytes: u64) {
        self.taken -= bytes;
        if let Some(own) = self.by_server.get_mut(server) {
            *own -= bytes;
            if *own == 0 {
                self.by_server.remove(server);
            }
        }
    }

    /// The bytes that are taken.
    pub fn taken(&self) -> u64 {
        self.taken
    }
}
