//! The memory that the box reserves for a request: for its head, for its processing, and for its
//! body as the bytes arrive.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::{Body as _, Incoming};

use crate::blackboard::RequestGuard;
use crate::decide::memory::{
    MemoryBudget, MemoryClaim, MemoryLimitExceeded, MemoryReservation, Purpose,
};
use crate::decide::slowness::{BodyProgress, can_arrive};
use crate::error::{Failure, Kind};
use crate::http::charged::guarded;
use crate::http::gate::{Busy, Link};
use crate::http::head;
use crate::http::server::READ_BYTES;

/// Memory for a request at a backend server, besides its caller's connection: 32 kB, measured, for
/// its tasks and the connection to the server, and the rest for a piece of the answer that waits to
/// be written.
const RESERVED_BYTES_PER_REQUEST: u64 = 48 << 10;

/// How many copies of a head are kept: the one received and the one forwarded.
const HEAD_COPIES: u64 = 2;

/// When a caller refused for lack of memory should retry: about the time a large body takes to pass
/// through.
const NO_MEMORY_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The buffer first reserved for a body of unknown length, in bytes.
const INITIAL_BODY_CAPACITY: usize = 16 << 10;

/// How many times the progress of a body is checked within its time limit.
const PROGRESS_CHECKS: u32 = 8;

/// The memory reserved for a request from its head until the end of its answer.
pub struct RequestReservation {
    link: Option<Arc<Link>>,
    _guard: RequestGuard,
    _head: MemoryReservation,
    _processing: MemoryReservation,
}

impl RequestReservation {
    /// Reserves memory for a request whose body has not been read.
    ///
    /// # Errors
    ///
    /// [`Kind::NoMemory`] if the box is out of memory.
    pub(super) fn reserve(
        memory: &MemoryBudget,
        request: &Request<()>,
        claim: &MemoryClaim,
        guard: RequestGuard,
    ) -> Result<Self, Failure> {
        let link = request.extensions().get::<Arc<Busy>>().map(|busy| busy.link().clone());
        let head = head::size(request) as u64 * HEAD_COPIES;
        let head = memory.reserve(Purpose::Heads, head, claim.clone());
        let processing =
            memory.reserve(Purpose::Requests, RESERVED_BYTES_PER_REQUEST, claim.clone());
        let (_head, _processing) = (head.map_err(no_memory)?, processing.map_err(no_memory)?);
        Ok(Self { link, _guard: guard, _head, _processing })
    }

    /// Closes the caller's connection at once.
    pub(super) fn close_connection(&self) {
        if let Some(link) = &self.link {
            link.cut();
        }
    }
}

/// The failure for a request that the box has no memory for. Nothing of it was forwarded.
fn no_memory(room: MemoryLimitExceeded) -> Failure {
    Failure::new(Kind::NoMemory, format!("the box has no room for it: {room}"))
        .after(Some(NO_MEMORY_RETRY_DELAY))
}

/// Reads a body until the deadline `until`, and sets `body` to `None` once it is complete. The
/// length of the body is reserved before any of it is read; if the length is unknown, memory is
/// reserved as bytes arrive.
///
/// # Errors
///
/// [`Kind::NoMemory`], [`Kind::TooLarge`], [`Kind::SlowCaller`] or [`Kind::BadRequest`]. The unread
/// rest stays in `body`.
pub(super) async fn read_body(
    memory: &MemoryBudget,
    body: &mut Option<Incoming>,
    limit: usize,
    until: Instant,
    claim: MemoryClaim,
) -> Result<Bytes, Failure> {
    let Some(incoming) = body.as_mut().filter(|body| !body.is_end_stream()) else {
        *body = None;
        return Ok(Bytes::new());
    };
    let length = incoming.size_hint().exact();
    if length.is_some_and(|length| length > limit as u64) {
        return Err(too_large(limit));
    }
    let room = length.unwrap_or(INITIAL_BODY_CAPACITY as u64);
    let reserved = memory.reserve(Purpose::Bodies, room, claim.clone()).map_err(no_memory)?;
    let buffers = READ_BYTES.min(length.unwrap_or(READ_BYTES));
    let _buffers = memory.reserve(Purpose::Bodies, buffers, claim).map_err(no_memory)?;
    let read = BodyReader { buffer: BytesMut::with_capacity(room as usize), reserved, limit };
    let (buffer, reserved) = read.read_to_end(incoming, length, until).await?;
    *body = None;
    Ok(guarded(buffer, reserved))
}

fn too_large(limit: usize) -> Failure {
    Failure::new(Kind::TooLarge, format!("the body is larger than {limit} bytes"))
}

struct BodyReader {
    buffer: BytesMut,
    reserved: MemoryReservation,
    limit: usize,
}

impl BodyReader {
    async fn read_to_end(
        mut self,
        body: &mut Incoming,
        length: Option<u64>,
        until: Instant,
    ) -> Result<(Bytes, MemoryReservation), Failure> {
        let began = Instant::now();
        let time = until.saturating_duration_since(began);
        let mut next_check = began + time / PROGRESS_CHECKS;
        loop {
            let frame = tokio::time::timeout_at(next_check.into(), body.frame()).await;
            match frame {
                Err(_) => {}
                Ok(None) => return Ok((self.buffer.freeze(), self.reserved)),
                Ok(Some(Ok(frame))) => {
                    if let Ok(piece) = frame.into_data() {
                        self.append(&piece)?;
                    }
                }
                Ok(Some(Err(error))) => {
                    let text = format!("the body cannot be read: {error}");
                    return Err(Failure::new(Kind::BadRequest, text));
                }
            }
            if Instant::now() >= next_check {
                let (received, elapsed) = (self.buffer.len() as u64, began.elapsed());
                let length = length.unwrap_or_default();
                if !can_arrive(&BodyProgress { received, length, elapsed, limit: time }) {
                    let what = if elapsed < time { "cannot" } else { "did not" };
                    let text = format!("the body {what} arrive in time: {received} bytes came");
                    return Err(Failure::new(Kind::SlowCaller, text));
                }
                next_check = (Instant::now() + time / PROGRESS_CHECKS).min(until);
            }
        }
    }

    fn append(&mut self, piece: &Bytes) -> Result<(), Failure> {
        let length = self.buffer.len() + piece.len();
        if length > self.limit {
            return Err(too_large(self.limit));
        }
        let room = self.reserved.bytes() as usize;
        if length > room {
            let more = length.max(room * 2).min(self.limit) - room;
            self.reserved.grow(more as u64).map_err(no_memory)?;
            self.buffer.reserve(room + more - self.buffer.len());
        }
        self.buffer.extend_from_slice(piece);
        Ok(())
    }
}
