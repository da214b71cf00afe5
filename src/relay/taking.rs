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
pub(super) const UNCHARGED_BYTES: u64 = 8 << 10;

/// Bytes of one answer that are kept at most: all of nearly every stream, so that its engine is free.
const MAX_KEPT_BYTES: u64 = 256 << 10;

/// Time between two looks at a caller for whom something is kept: a part of the least patience.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// What a caller has taken so far.
#[derive(Debug)]
struct Progress {
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
struct DeliveryState {
    progress: Mutex<Progress>,
    taken: Notify,
    kept: Kept,
}

impl DeliveryState {
    fn new(kept: Kept) -> Arc<Self> {
        let (longest, owed) = (Duration::ZERO, Duration::ZERO);
        let last = Instant::now();
        let progress = Progress { kept: 0, taken: 0, since: None, owed, last, longest };
        Arc::new(Self { progress: Mutex::new(progress), taken: Notify::new(), kept })
    }

    fn progress(&self) -> MutexGuard<'_, Progress> {
        lock(&self.progress)
    }

    fn has_untaken(&self) -> bool {
        self.progress().kept > 0
    }

    /// Bytes that count as taken once the last of them is dropped.
    fn keep(self: &Arc<Self>, bytes: Bytes, charge: Option<Reserved>) -> Bytes {
        let length = bytes.len() as u64;
        let mut progress = self.progress();
        progress.kept += length;
        if progress.since.is_none() {
            let now = Instant::now();
            (progress.since, progress.last) = (Some(now), now);
        }
        drop(progress);
        guarded(bytes, UntakenBytes { state: self.clone(), length, _charge: charge })
    }

    fn record_taken(&self, length: u64) {
        let now = Instant::now();
        let mut progress = self.progress();
        progress.kept -= length;
        progress.taken += length;
        progress.longest = progress.longest.max(now.saturating_duration_since(progress.last));
        progress.last = now;
        if progress.kept == 0
            && let Some(since) = progress.since.take()
        {
            progress.owed += now.saturating_duration_since(since);
        }
        drop(progress);
        self.taken.notify_one();
    }

    fn taking(&self, held: Duration, left: Duration) -> Taking {
        let progress = self.progress();
        let now = Instant::now();
        let owing =
            progress.since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        Taking {
            kept: progress.kept,
            taken: progress.taken,
            owed: progress.owed + owing,
            silent: now.saturating_duration_since(progress.last),
            longest: progress.longest,
            held,
            left,
        }
    }
}

/// Bytes on their way.
struct UntakenBytes {
    state: Arc<DeliveryState>,
    length: u64,
    _charge: Option<Reserved>,
}

impl Drop for UntakenBytes {
    fn drop(&mut self) {
        self.state.record_taken(self.length);
    }
}

/// The body of a stream of events that is read as it comes.
pub(super) fn stream_body(
    relay: Arc<Relay>,
    call: Arc<Call>,
    route: Arc<Route>,
    kept: Kept,
    events: impl Stream<Item = io::Result<Bytes>> + Send + 'static,
) -> Body {
    let (sender, mut pieces) = mpsc::unbounded_channel();
    let delivery = Delivery::new(relay, call, route, kept);
    tokio::spawn(delivery.run(events, sender));
    let pieces = poll_fn(move |context| pieces.poll_recv(context));
    BodyExt::boxed_unsync(StreamBody::new(pieces.map(|piece| piece.map(Frame::data))))
}

/// The body of a whole answer, whose engine is free.
pub(super) fn whole_body(
    relay: Arc<Relay>,
    call: Arc<Call>,
    route: Arc<Route>,
    kept: Kept,
    body: Bytes,
) -> Body {
    if body.len() as u64 <= UNCHARGED_BYTES {
        return whole(guarded(body, kept));
    }
    let delivery = Delivery::new(relay, call, route, kept);
    let body = delivery.state.keep(body, None);
    tokio::spawn(delivery.finish());
    whole(body)
}

/// The way of one answer.
struct Delivery {
    relay: Arc<Relay>,
    call: Arc<Call>,
    route: Arc<Route>,
    state: Arc<DeliveryState>,
    /// A piece for which there was no room.
    waiting_piece: Option<Bytes>,
    check_timer: Pin<Box<Sleep>>,
    /// Since when the engine is not read.
    held_since: Option<Instant>,
}

impl Delivery {
    fn new(relay: Arc<Relay>, call: Arc<Call>, route: Arc<Route>, kept: Kept) -> Self {
        Self {
            relay,
            call,
            route,
            state: DeliveryState::new(kept),
            waiting_piece: None,
            check_timer: Box::pin(sleep(CHECK_INTERVAL)),
            held_since: None,
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
            let has_room = self.send_waiting(&sender);
            let has_untaken = self.state.has_untaken();
            tokio::select! {
                biased;
                () = sender.closed() => return,
                event = events.next(), if has_room => match event {
                    Some(Ok(piece)) => self.waiting_piece = Some(piece),
                    Some(Err(error)) => {
                        let _ = sender.send(Err(error));
                        break;
                    }
                    None => break,
                },
                () = self.state.taken.notified(), if !has_room => {}
                () = self.check_timer.as_mut(), if has_untaken || !has_room => {
                    if self.give_up_if_slow() {
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
        self.track_held(true);
        while self.state.has_untaken() {
            tokio::select! {
                () = self.state.taken.notified() => {}
                () = self.check_timer.as_mut() => {
                    if self.give_up_if_slow() {
                        return;
                    }
                }
            }
        }
    }

    /// Passes the piece on that waits for room; whether there is room for the next.
    fn send_waiting(&mut self, sender: &UnboundedSender<io::Result<Bytes>>) -> bool {
        let kept = self.state.progress().kept;
        let passed = match self.waiting_piece.take() {
            None => true,
            Some(mut piece) => match self.reserve(kept, piece.len() as u64) {
                Ok(charge) => {
                    let _ = sender.send(Ok(self.state.keep(piece, charge)));
                    true
                }
                Err(()) => {
                    let free = UNCHARGED_BYTES.saturating_sub(kept) as usize;
                    if free > 0 {
                        let part = piece.split_to(free);
                        let _ = sender.send(Ok(self.state.keep(part, None)));
                    }
                    self.waiting_piece = Some(piece);
                    false
                }
            },
        };
        let has_room = passed && kept < MAX_KEPT_BYTES;
        // Only what the caller has not taken is its own doing.
        self.track_held(has_room || kept == 0);
        has_room
    }

    /// Room for a piece beside what is kept; the first bytes need none.
    fn reserve(&self, kept: u64, length: u64) -> Result<Option<Reserved>, ()> {
        if kept + length <= UNCHARGED_BYTES {
            return Ok(None);
        }
        let memory = &self.relay.memory;
        let reserved = memory.reserve(Purpose::Answers, length, Claim::Ahead);
        reserved.map(Some).map_err(|_| ())
    }

    fn track_held(&mut self, has_room: bool) {
        match has_room {
            true => self.held_since = None,
            false => {
                self.held_since.get_or_insert_with(Instant::now);
            }
        }
    }

    /// Looks at the caller; whether it was let go.
    fn give_up_if_slow(&mut self) -> bool {
        self.check_timer = Box::pin(sleep(CHECK_INTERVAL));
        let held = self.held_since.map_or(Duration::ZERO, |since| since.elapsed());
        let taking = self.state.taking(held, self.call.time_left());
        let Some(slow) = judge(&taking, self.route.gap, self.route.repeat.is_repeatable()) else {
            return false;
        };
        self.log_slow_caller(slow, &taking);
        self.state.kept.cut();
        true
    }

    fn log_slow_caller(&self, slow: Slow, taking: &Taking) {
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
