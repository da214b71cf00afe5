//! Cuts a stream of server-sent events at the ends of events, and reads their ids.
//!
//! Only whole events go to a caller, so a stream that breaks can be taken up behind the last one.

use bytes::{Bytes, BytesMut};

/// Bytes of one event at most.
const EVENT_LIMIT: usize = 4 << 20;

/// An event larger than the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the stream holds an event larger than {EVENT_LIMIT} bytes")]
pub(crate) struct EventTooLarge;

/// Cuts bytes into whole events, wherever the pieces are cut.
#[derive(Debug, Default)]
pub(crate) struct EventCutter {
    held: BytesMut,
    searched: usize,
}

impl EventCutter {
    /// Adds bytes as they arrive.
    pub(crate) fn push(&mut self, piece: &Bytes) {
        self.held.extend_from_slice(piece);
    }

    /// The next whole event, with the empty line that ends it.
    ///
    /// # Errors
    /// When an event is too large; the stream cannot be read on then.
    pub(crate) fn next_event(&mut self) -> Result<Option<Bytes>, EventTooLarge> {
        let Some(end) = self.find_end() else {
            return match self.held.len() > EVENT_LIMIT {
                true => Err(EventTooLarge),
                false => Ok(None),
            };
        };
        self.searched = 0;
        Ok(Some(self.held.split_to(end).freeze()))
    }

    /// Whether bytes of an event that has not ended are held.
    pub(crate) fn is_inside(&self) -> bool {
        !self.held.is_empty()
    }

    /// Where the first event ends, behind its empty line.
    fn find_end(&mut self) -> Option<usize> {
        let from = self.searched.saturating_sub(3);
        let held = &self.held;
        let mut places = memchr::memchr_iter(b'\n', &held[from..]).map(|place| from + place);
        let end = places.find(|place| {
            let rest = &held[place + 1..];
            rest.starts_with(b"\n") || rest.starts_with(b"\r\n")
        });
        match end {
            Some(place) if self.held[place + 1] == b'\n' => Some(place + 2),
            Some(place) => Some(place + 3),
            None => {
                self.searched = self.held.len();
                None
            }
        }
    }
}

/// The number in an event's `id` field.
pub(crate) fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
