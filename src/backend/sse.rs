//! Server-sent events as engines stream them (WHATWG HTML, section 9.2): only `data` fields count.

use bytes::{Bytes, BytesMut};

/// Bytes of one event at most.
const EVENT_LIMIT: usize = 1 << 20;

/// An event larger than the limit, as much between two events, or one that is not UTF-8.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the stream holds a malformed event")]
pub struct MalformedEvent;

/// Cuts a stream of bytes into events, wherever the pieces are cut.
#[derive(Debug, Default)]
pub struct EventReader {
    held: BytesMut,
    searched: usize,
    /// Bytes without data since the last event.
    filling: usize,
}

impl EventReader {
    /// Adds bytes as they arrive.
    pub fn push(&mut self, piece: &Bytes) {
        self.held.extend_from_slice(piece);
    }

    /// The data of the next whole event, if there is one.
    ///
    /// # Errors
    /// When an event or what comes before it is too large or not UTF-8; the stream cannot be read on then.
    pub fn next_event(&mut self) -> Result<Option<String>, MalformedEvent> {
        loop {
            let Some((end, gap)) = self.find_end() else {
                return match self.held.len() > EVENT_LIMIT {
                    true => Err(MalformedEvent),
                    false => Ok(None),
                };
            };
            let event = self.held.split_to(end + gap);
            self.searched = 0;
            let text = std::str::from_utf8(&event[..end]).map_err(|_| MalformedEvent)?;
            if let Some(data) = data_of(text) {
                self.filling = 0;
                return Ok(Some(data));
            }
            self.filling += event.len();
            if self.filling > EVENT_LIMIT {
                return Err(MalformedEvent);
            }
        }
    }

    /// Where the first event ends, and how long the empty line behind it is.
    fn find_end(&mut self) -> Option<(usize, usize)> {
        let from = self.searched.saturating_sub(3);
        for place in from..self.held.len() {
            if self.held[place..].starts_with(b"\n\n") {
                return Some((place, 2));
            }
            if self.held[place..].starts_with(b"\r\n\r\n") {
                return Some((place, 4));
            }
        }
        self.searched = self.held.len();
        None
    }
}

/// The `data` fields of an event, joined; `None` when it has none.
fn data_of(event: &str) -> Option<String> {
    let mut data: Option<String> = None;
    for line in event.lines() {
        let Some(value) = line.strip_prefix("data:") else {
            continue;
        };
        let value = value.strip_prefix(' ').unwrap_or(value);
        match &mut data {
            Some(text) => {
                text.push('\n');
                text.push_str(value);
            }
            None => data = Some(value.to_owned()),
        }
    }
    data
}
