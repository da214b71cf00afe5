//! Splits a stream of server-sent events into events and reads their ids.
//!
//! A caller receives only complete events, so that a broken stream can be resumed after the last
//! one.

use bytes::{Bytes, BytesMut};

/// The largest event accepted, in bytes.
pub(super) const MAX_EVENT_BYTES: usize = 4 << 20;

/// Bytes of blank lines and comments between two events at most. Comments keep a connection alive.
const MAX_FILLING_BYTES: usize = 1 << 20;

/// Why a stream cannot be read on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum StreamExcess {
    /// An event has no end within the limit.
    #[error("the stream holds an event larger than {MAX_EVENT_BYTES} bytes")]
    Event,
    /// No event follows within the limit.
    #[error("the stream holds more than {MAX_FILLING_BYTES} bytes between two events")]
    Gap,
}

/// Splits a byte stream into events, regardless of how the bytes are divided into pieces.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    held: BytesMut,
    searched: usize,
    /// Bytes of blank lines and comments since the last event.
    filling: usize,
}

impl EventSplitter {
    /// Appends bytes as they arrive.
    pub(crate) fn push(&mut self, piece: &Bytes) {
        self.held.extend_from_slice(piece);
    }

    /// The next complete event, including the blank line that ends it.
    ///
    /// # Errors
    ///
    /// [`StreamExcess`] if a limit is exceeded; the rest of the stream cannot be read.
    pub(crate) fn next_event(&mut self) -> Result<Option<Bytes>, StreamExcess> {
        let Some(end) = self.find_end() else {
            return match self.held.len() > MAX_EVENT_BYTES {
                true => Err(StreamExcess::Event),
                false => Ok(None),
            };
        };
        self.searched = 0;
        let event = self.held.split_to(end).freeze();
        self.filling = if is_filling(&event) { self.filling + event.len() } else { 0 };
        match self.filling > MAX_FILLING_BYTES {
            true => Err(StreamExcess::Gap),
            false => Ok(Some(event)),
        }
    }

    /// Bytes that are buffered.
    pub(crate) fn buffered(&self) -> usize {
        self.held.len()
    }

    /// Whether part of an incomplete event is buffered. Blank lines alone are part of none.
    pub(crate) fn has_partial_event(&self) -> bool {
        self.held.iter().any(|byte| !matches!(byte, b'\r' | b'\n'))
    }

    /// The offset after the blank line that ends the first event.
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

/// Whether each line is blank or a comment.
fn is_filling(event: &[u8]) -> bool {
    event.split(|byte| *byte == b'\n').all(|line| matches!(line, [] | [b'\r'] | [b':', ..]))
}

/// Parses the number in an event's `id` field.
pub(crate) fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
