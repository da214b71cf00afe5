//! What the box keeps for a request, charged to its memory: its head and its place, and its body as it
//! arrives.

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

/// What a request at a backend server takes beside its caller's connection: 32 kB for its tasks and the
/// connection there, as measured, and a piece of its answer that waits for room.
const REQUEST_BYTES: u64 = 48 << 10;

/// How often a head is kept: as it came, and as it goes on.
const HEAD_COPIES: u64 = 2;

/// When to come back to a box without room: about the time in which a large body has come and gone.
const ROOM_WAIT: Duration = Duration::from_millis(500);

/// The least that a body of unknown length has room for, in bytes.
const FIRST_PART: usize = 16 << 10;

/// Of the time for a body, one part in so many passes between two looks at what has come.
const LOOKS: u32 = 8;

/// What is kept for a request from its head to the end of its answer.
pub struct Kept {
    link: Option<Arc<Link>>,
    _guard: RequestGuard,
    _head: MemoryReservation,
    _place: MemoryReservation,
}

impl Kept {
    /// Keeps a request whose body has not been read.
    ///
    /// # Errors
    /// [`Kind::NoMemory`].
    pub(super) fn take(
        memory: &MemoryBudget,
        request: &Request<()>,
        claim: &MemoryClaim,
        guard: RequestGuard,
    ) -> Result<Self, Failure> {
        let link = request.extensions().get::<Arc<Busy>>().map(|busy| busy.link().clone());
        let head = head::size(request) as u64 * HEAD_COPIES;
        let head = memory.reserve(Purpose::Heads, head, claim.clone());
        let place = memory.reserve(Purpose::Requests, REQUEST_BYTES, claim.clone());
        let (_head, _place) = (head.map_err(refused)?, place.map_err(refused)?);
        Ok(Self { link, _guard: guard, _head, _place })
    }

    /// Closes the caller's connection at once.
    pub(super) fn cut(&self) {
        if let Some(link) = &self.link {
            link.cut();
        }
    }
}

/// What a request is told for which there is no room: nothing of it was passed on.
fn refused(room: MemoryLimitExceeded) -> Failure {
    Failure::new(Kind::NoMemory, format!("the box has no room for it: {room}"))
        .after(Some(ROOM_WAIT))
}

/// Reads a body until `until`; takes it out of `body` once it is whole. Its length is reserved before
/// any of it is read, and where it has none, room is as it comes.
///
/// # Errors
/// [`Kind::NoMemory`], [`Kind::TooLarge`], [`Kind::SlowCaller`] or [`Kind::BadRequest`]; what is left
/// unread stays in `body`.
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
    let room = length.unwrap_or(FIRST_PART as u64);
    let reserved = memory.reserve(Purpose::Bodies, room, claim.clone()).map_err(refused)?;
    let buffers = READ_BYTES.min(length.unwrap_or(READ_BYTES));
    let _buffers = memory.reserve(Purpose::Bodies, buffers, claim).map_err(refused)?;
    let read = Reading { held: BytesMut::with_capacity(room as usize), reserved, limit };
    let (held, reserved) = read.whole(incoming, length, until).await?;
    *body = None;
    Ok(guarded(held, reserved))
}

fn too_large(limit: usize) -> Failure {
    Failure::new(Kind::TooLarge, format!("the body is larger than {limit} bytes"))
}

struct Reading {
    held: BytesMut,
    reserved: MemoryReservation,
    limit: usize,
}

impl Reading {
    async fn whole(
        mut self,
        body: &mut Incoming,
        length: Option<u64>,
        until: Instant,
    ) -> Result<(Bytes, MemoryReservation), Failure> {
        let began = Instant::now();
        let time = until.saturating_duration_since(began);
        let mut look = began + time / LOOKS;
        loop {
            let frame = tokio::time::timeout_at(look.into(), body.frame()).await;
            match frame {
                Err(_) => {}
                Ok(None) => return Ok((self.held.freeze(), self.reserved)),
                Ok(Some(Ok(frame))) => {
                    if let Ok(piece) = frame.into_data() {
                        self.add(&piece)?;
                    }
                }
                Ok(Some(Err(error))) => {
                    let text = format!("the body cannot be read: {error}");
                    return Err(Failure::new(Kind::BadRequest, text));
                }
            }
            if Instant::now() >= look {
                let (came, passed) = (self.held.len() as u64, began.elapsed());
                let length = length.unwrap_or_default();
                if !can_arrive(&BodyProgress {
                    received: came,
                    length,
                    elapsed: passed,
                    limit: time,
                }) {
                    let what = if passed < time { "cannot" } else { "did not" };
                    let text = format!("the body {what} arrive in time: {came} bytes came");
                    return Err(Failure::new(Kind::SlowCaller, text));
                }
                look = (Instant::now() + time / LOOKS).min(until);
            }
        }
    }

    fn add(&mut self, piece: &Bytes) -> Result<(), Failure> {
        let length = self.held.len() + piece.len();
        if length > self.limit {
            return Err(too_large(self.limit));
        }
        let room = self.reserved.bytes() as usize;
        if length > room {
            let more = length.max(room * 2).min(self.limit) - room;
            self.reserved.grow(more as u64).map_err(refused)?;
            self.held.reserve(room + more - self.held.len());
        }
        self.held.extend_from_slice(piece);
        Ok(())
    }
}
