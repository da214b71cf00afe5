//! An answer on its way to its caller: read from the engine as it comes, kept up to a bound, and given
//! up where the caller takes too little.
//!
//! An engine whose answer is not read holds a place and its memory, and cuts the answer off after some
//! seconds. So a task goes on reading while the connection waits for its caller. What is kept counts as
//! taken once the connection has written it.

use std::io;
use std::pin::{Pin, pin};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream::poll_fn;
use futures_util::{Stream, StreamExt};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::sync::Notify;
use tokio::sync::mpsc::{self, UnboundedSender};
use tokio::time::{Sleep, sleep};

use super::Relay;
use super::call::Call;
use super::keeping::Kept;
use super::table::Route;
use crate::decide::memory::{Claim, Purpose, Reserved};
use crate::decide::slowness::{Slow, Taking, judge};
use crate::http::charged::guarded;
use crate::http::{Body, whole};
use crate::sync::lock;

/// Bytes of an answer that need no room of their own: an accepted request gets on also in a full box.
pub(super) const FIRST_BYTES: u64 = 8 << 10;

/// Bytes of one answer that are kept at most: all of nearly every stream, so that its engine is free.
const ANSWER_BYTES: u64 = 256 << 10;

/// Time between two looks at a caller for whom something is kept: a part of the least patience.
const LOOK_TIME: Duration = Duration::from_millis(500);

/// What a caller has taken so far.
#[derive(Debug)]
struct Book {
    kept: u64,
    taken: u64,
    /// Since when something is kept; none while nothing is.
    since: Option<Instant>,
    owed: Duration,
    /// When it last took something, or something was first kept.
    last: Instant,
    longest: Duration,
}

/// What an answer's two ends share.
struct Shared {
    book: Mutex<Book>,
    took: Notify,
    kept: Kept,
}

impl Shared {
    fn new(kept: Kept) -> Arc<Self> {
        let (longest, owed) = (Duration::ZERO, Duration::ZERO);
        let last = Instant::now();
        let book = Book { kept: 0, taken: 0, since: None, owed, last, longest };
        Arc::new(Self { book: Mutex::new(book), took: Notify::new(), kept })
    }

    fn book(&self) -> MutexGuard<'_, Book> {
        lock(&self.book)
    }

    fn is_owing(&self) -> bool {
        self.book().kept > 0
    }

    /// Bytes that count as taken once the last of them is dropped.
    fn keep(self: &Arc<Self>, bytes: Bytes, charge: Option<Reserved>) -> Bytes {
        let length = bytes.len() as u64;
        let mut book = self.book();
        book.kept += length;
        if book.since.is_none() {
            let now = Instant::now();
            (book.since, book.last) = (Some(now), now);
        }
        drop(book);
        guarded(bytes, Piece { shared: self.clone(), length, _charge: charge })
    }

    fn took(&self, length: u64) {
        let now = Instant::now();
        let mut book = self.book();
        book.kept -= length;
        book.taken += length;
        book.longest = book.longest.max(now.saturating_duration_since(book.last));
        book.last = now;
        if book.kept == 0
            && let Some(since) = book.since.take()
        {
            book.owed += now.saturating_duration_since(since);
        }
        drop(book);
        self.took.notify_one();
    }

    fn taking(&self, held: Duration, left: Duration) -> Taking {
        let book = self.book();
        let now = Instant::now();
        let owing = book.since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        Taking {
            kept: book.kept,
            taken: book.taken,
            owed: book.owed + owing,
            silent: now.saturating_duration_since(book.last),
            longest: book.longest,
            held,
            left,
        }
    }
}

/// Bytes on their way.
struct Piece {
    shared: Arc<Shared>,
    length: u64,
    _charge: Option<Reserved>,
}

impl Drop for Piece {
    fn drop(&mut self) {
        self.shared.took(self.length);
    }
}

/// The body of a stream of events that is read as it comes.
pub(super) fn stream(
    relay: Arc<Relay>,
    call: Arc<Call>,
    route: Arc<Route>,
    kept: Kept,
    events: impl Stream<Item = io::Result<Bytes>> + Send + 'static,
) -> Body {
    let (sender, mut pieces) = mpsc::unbounded_channel();
    let passage = Passage::new(relay, call, route, kept);
    tokio::spawn(passage.run(events, sender));
    let pieces = poll_fn(move |context| pieces.poll_recv(context));
    BodyExt::boxed_unsync(StreamBody::new(pieces.map(|piece| piece.map(Frame::data))))
}

/// The body of a whole answer, whose engine is free.
pub(super) fn answer(
    relay: Arc<Relay>,
    call: Arc<Call>,
    route: Arc<Route>,
    kept: Kept,
    body: Bytes,
) -> Body {
    if body.len() as u64 <= FIRST_BYTES {
        return whole(guarded(body, kept));
    }
    let passage = Passage::new(relay, call, route, kept);
    let body = passage.shared.keep(body, None);
    tokio::spawn(passage.finish());
    whole(body)
}

/// The way of one answer.
struct Passage {
    relay: Arc<Relay>,
    call: Arc<Call>,
    route: Arc<Route>,
    shared: Arc<Shared>,
    /// A piece for which there was no room.
    waiting: Option<Bytes>,
    look: Pin<Box<Sleep>>,
    /// Since when the engine is not read.
    held: Option<Instant>,
}

impl Passage {
    fn new(relay: Arc<Relay>, call: Arc<Call>, route: Arc<Route>, kept: Kept) -> Self {
        Self {
            relay,
            call,
            route,
            shared: Shared::new(kept),
            waiting: None,
            look: Box::pin(sleep(LOOK_TIME)),
            held: None,
        }
    }

    /// Passes events on until they end, the caller goes or it is let go.
    async fn run(
        mut self,
        events: impl Stream<Item = io::Result<Bytes>> + Send,
        sender: UnboundedSender<io::Result<Bytes>>,
    ) {
        let mut events = pin!(events);
        loop {
            let has_room = self.pass_waiting(&sender);
            let owing = self.shared.is_owing();
            tokio::select! {
                biased;
                () = sender.closed() => return,
                event = events.next(), if has_room => match event {
                    Some(Ok(piece)) => self.waiting = Some(piece),
                    Some(Err(error)) => {
                        let _ = sender.send(Err(error));
                        break;
                    }
                    None => break,
                },
                () = self.shared.took.notified(), if !has_room => {}
                () = self.look.as_mut(), if owing || !has_room => {
                    if self.lets_go() {
                        return;
                    }
                }
            }
        }
        drop(sender);
        self.finish().await;
    }

    /// Waits until the caller has taken all, or lets it go.
    async fn finish(mut self) {
        self.count_held(true);
        while self.shared.is_owing() {
            tokio::select! {
                () = self.shared.took.notified() => {}
                () = self.look.as_mut() => {
                    if self.lets_go() {
                        return;
                    }
                }
            }
        }
    }

    /// Passes the piece on that waits for room; whether there is room for the next.
    fn pass_waiting(&mut self, sender: &UnboundedSender<io::Result<Bytes>>) -> bool {
        let kept = self.shared.book().kept;
        let passed = match self.waiting.take() {
            None => true,
            Some(mut piece) => match self.charge(kept, piece.len() as u64) {
                Ok(charge) => {
                    let _ = sender.send(Ok(self.shared.keep(piece, charge)));
                    true
                }
                Err(()) => {
                    let free = FIRST_BYTES.saturating_sub(kept) as usize;
                    if free > 0 {
                        let part = piece.split_to(free);
                        let _ = sender.send(Ok(self.shared.keep(part, None)));
                    }
                    self.waiting = Some(piece);
                    false
                }
            },
        };
        let has_room = passed && kept < ANSWER_BYTES;
        // Only what the caller has not taken is its own doing.
        self.count_held(has_room || kept == 0);
        has_room
    }

    /// Room for a piece beside what is kept; the first bytes need none.
    fn charge(&self, kept: u64, length: u64) -> Result<Option<Reserved>, ()> {
        if kept + length <= FIRST_BYTES {
            return Ok(None);
        }
        let memory = &self.relay.memory;
        let reserved = memory.reserve(Purpose::Answers, length, Claim::Ahead);
        reserved.map(Some).map_err(|_| ())
    }

    fn count_held(&mut self, has_room: bool) {
        match has_room {
            true => self.held = None,
            false => {
                self.held.get_or_insert_with(Instant::now);
            }
        }
    }

    /// Looks at the caller; whether it was let go.
    fn lets_go(&mut self) -> bool {
        self.look = Box::pin(sleep(LOOK_TIME));
        let held = self.held.map_or(Duration::ZERO, |since| since.elapsed());
        let taking = self.shared.taking(held, self.call.time_left());
        let Some(slow) = judge(&taking, self.route.gap, self.route.repeat.is_repeatable()) else {
            return false;
        };
        self.note(slow, &taking);
        self.shared.kept.cut();
        true
    }

    fn note(&self, slow: Slow, taking: &Taking) {
        let team = self.call.team.as_ref().map_or("-", |team| team.as_str());
        self.relay.context.metrics.count_request(team, "caller_slow");
        tracing::info!(
            event = "caller_slow",
            id = self.call.head.id,
            route = self.route.name,
            team,
            reason = slow.name(),
            kept = taking.kept,
            taken = taking.taken,
            silent_ms = taking.silent.as_millis() as u64,
            held_ms = taking.held.as_millis() as u64,
            left_ms = taking.left.as_millis() as u64,
        );
    }
}
