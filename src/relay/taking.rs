//! Delivers an answer to its caller: reads ahead of the caller up to a limit, and gives up on a
//! caller that is too slow.
//!
//! An engine whose answer is not read keeps its slot and KV cache memory, and cuts the answer off
//! after a few seconds. A task therefore keeps reading from the engine while the connection waits
//! for its caller. Bytes are counted as kept until the connection has written them, and as taken
//! from then on.

use std::io;
use std::pin::{Pin, pin};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use tokio::sync::Notify;
use tokio::time::{Sleep, sleep};

use super::Relay;
use super::call::Call;
use super::keeping::RequestReservation;
use super::table::Route;
use crate::decide::memory::{MemoryClaim, MemoryReservation, Purpose};
use crate::decide::slowness::{ReadProgress, Slowness, check_progress};
use crate::http::channel::{BodyWriter, channel};
use crate::http::charged::guarded;
use crate::http::{Body, whole};
use crate::sync::lock;

/// Bytes of an answer that are kept without reserving memory, so that accepted requests make
/// progress even when the box is full.
pub(super) const UNCHARGED_BYTES: u64 = 8 << 10;

/// Largest part of an answer that is kept, in bytes. Nearly every stream fits, so its engine is not
/// held up.
const MAX_KEPT_BYTES: u64 = 256 << 10;

/// Time between two checks of a caller for whom bytes are kept: a fraction of the shortest time
/// that a caller may be silent.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// How much of an answer the caller has taken.
#[derive(Debug)]
struct Progress {
    /// Bytes handed to the connection and not yet written.
    kept_bytes: u64,
    /// Bytes that the connection has written.
    taken_bytes: u64,
    /// Since when bytes are kept; `None` if none are.
    kept_since: Option<Instant>,
    /// Total length of the earlier periods in which bytes were kept.
    time_owing: Duration,
    /// When the caller last took bytes, or bytes were first kept for it.
    last_taken_at: Instant,
    /// Longest time between two takings while bytes were kept.
    longest_pause: Duration,
}

/// State shared between the task that reads an answer and the bytes handed to the connection.
struct DeliveryState {
    progress: Mutex<Progress>,
    taken: Notify,
    kept: RequestReservation,
}

impl DeliveryState {
    fn new(kept: RequestReservation) -> Arc<Self> {
        let progress = Progress {
            kept_bytes: 0,
            taken_bytes: 0,
            kept_since: None,
            time_owing: Duration::ZERO,
            last_taken_at: Instant::now(),
            longest_pause: Duration::ZERO,
        };
        Arc::new(Self { progress: Mutex::new(progress), taken: Notify::new(), kept })
    }

    fn progress(&self) -> MutexGuard<'_, Progress> {
        lock(&self.progress)
    }

    fn has_untaken(&self) -> bool {
        self.progress().kept_bytes > 0
    }

    /// Counts bytes as kept until the last reference to them is dropped, which counts them as
    /// taken.
    fn keep(self: &Arc<Self>, bytes: Bytes, charge: Option<MemoryReservation>) -> Bytes {
        let length = bytes.len() as u64;
        let mut progress = self.progress();
        progress.kept_bytes += length;
        if progress.kept_since.is_none() {
            let now = Instant::now();
            (progress.kept_since, progress.last_taken_at) = (Some(now), now);
        }
        drop(progress);
        guarded(bytes, UntakenBytes { state: self.clone(), length, _charge: charge })
    }

    fn record_taken(&self, length: u64) {
        let now = Instant::now();
        let mut progress = self.progress();
        progress.kept_bytes -= length;
        progress.taken_bytes += length;
        progress.longest_pause =
            progress.longest_pause.max(now.saturating_duration_since(progress.last_taken_at));
        progress.last_taken_at = now;
        if progress.kept_bytes == 0
            && let Some(since) = progress.kept_since.take()
        {
            progress.time_owing += now.saturating_duration_since(since);
        }
        drop(progress);
        self.taken.notify_one();
    }

    fn snapshot(&self, held: Duration, left: Duration) -> ReadProgress {
        let progress = self.progress();
        let now = Instant::now();
        let owing = progress
            .kept_since
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        ReadProgress {
            buffered: progress.kept_bytes,
            read: progress.taken_bytes,
            pending_time: progress.time_owing + owing,
            silent_time: now.saturating_duration_since(progress.last_taken_at),
            longest_pause: progress.longest_pause,
            blocked_time: held,
            time_left: left,
        }
    }
}

/// Counts bytes as taken when dropped.
struct UntakenBytes {
    state: Arc<DeliveryState>,
    length: u64,
    _charge: Option<MemoryReservation>,
}

impl Drop for UntakenBytes {
    fn drop(&mut self) {
        self.state.record_taken(self.length);
    }
}

/// The response body of an event stream, which a separate task reads ahead.
pub(super) fn stream_body(
    relay: Arc<Relay>,
    call: Arc<Call>,
    route: Arc<Route>,
    kept: RequestReservation,
    events: impl Stream<Item = io::Result<Bytes>> + Send + 'static,
) -> Body {
    let (writer, body) = channel();
    let delivery = Delivery::new(relay, call, route, kept);
    tokio::spawn(delivery.run(events, writer));
    body
}

/// The response body of a complete answer, which no longer occupies its engine.
pub(super) fn whole_body(
    relay: Arc<Relay>,
    call: Arc<Call>,
    route: Arc<Route>,
    kept: RequestReservation,
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

/// The delivery of one answer.
struct Delivery {
    relay: Arc<Relay>,
    call: Arc<Call>,
    route: Arc<Route>,
    state: Arc<DeliveryState>,
    /// A chunk for which there was no room yet.
    waiting_piece: Option<Bytes>,
    check_timer: Pin<Box<Sleep>>,
    /// Since when reading from the engine has been suspended because of the caller.
    held_since: Option<Instant>,
}

impl Delivery {
    fn new(
        relay: Arc<Relay>,
        call: Arc<Call>,
        route: Arc<Route>,
        kept: RequestReservation,
    ) -> Self {
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

    /// Forwards events until the stream ends, the caller disconnects or is given up as too slow.
    async fn run(
        mut self,
        events: impl Stream<Item = io::Result<Bytes>> + Send,
        writer: BodyWriter,
    ) {
        let mut events = pin!(events);
        let end = loop {
            let has_room = self.send_waiting(&writer);
            let has_untaken = self.state.has_untaken();
            tokio::select! {
                biased;
                () = writer.closed() => return,
                event = events.next(), if has_room => match event {
                    Some(Ok(piece)) => self.waiting_piece = Some(piece),
                    Some(Err(error)) => break Err(error),
                    None => break Ok(()),
                },
                () = self.state.taken.notified(), if !has_room => {}
                () = self.check_timer.as_mut(), if has_untaken || !has_room => {
                    if self.give_up_if_slow() {
                        return;
                    }
                }
            }
        };
        match end {
            Ok(()) => writer.finish(),
            Err(error) => {
                // The connection discards what it has not written when its body fails.
                self.wait_until_taken().await;
                writer.fail(error);
            }
        }
        self.finish().await;
    }

    /// Waits until the caller has taken everything or is given up as too slow.
    async fn finish(mut self) {
        self.wait_until_taken().await;
    }

    async fn wait_until_taken(&mut self) {
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

    /// Sends the waiting chunk if there is room. Returns whether there is room for another one.
    fn send_waiting(&mut self, writer: &BodyWriter) -> bool {
        let kept = self.state.progress().kept_bytes;
        let passed = match self.waiting_piece.take() {
            None => true,
            Some(mut piece) => match self.reserve(kept, piece.len() as u64) {
                Ok(charge) => {
                    writer.send(self.state.keep(piece, charge));
                    true
                }
                Err(()) => {
                    let free = UNCHARGED_BYTES.saturating_sub(kept) as usize;
                    if free > 0 {
                        let part = piece.split_to(free);
                        writer.send(self.state.keep(part, None));
                    }
                    self.waiting_piece = Some(piece);
                    false
                }
            },
        };
        let has_room = passed && kept < MAX_KEPT_BYTES;
        // The caller is responsible only if it has not taken what is kept for it.
        self.track_held(has_room || kept == 0);
        has_room
    }

    /// Reserves memory for a chunk on top of the `kept` bytes; the first [`UNCHARGED_BYTES`] need
    /// none.
    fn reserve(&self, kept: u64, length: u64) -> Result<Option<MemoryReservation>, ()> {
        if kept + length <= UNCHARGED_BYTES {
            return Ok(None);
        }
        let memory = &self.relay.memory;
        let reserved = memory.reserve(Purpose::Answers, length, MemoryClaim::ReadAhead);
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

    /// Checks the caller and closes its connection if it is too slow. Returns whether it was
    /// closed.
    fn give_up_if_slow(&mut self) -> bool {
        self.check_timer = Box::pin(sleep(CHECK_INTERVAL));
        let held = self.held_since.map_or(Duration::ZERO, |since| since.elapsed());
        let taking = self.state.snapshot(held, self.call.time_left());
        let Some(slow) = check_progress(&taking, self.route.gap, self.route.repeat.is_repeatable())
        else {
            return false;
        };
        self.log_slow_caller(slow, &taking);
        self.state.kept.close_connection();
        true
    }

    fn log_slow_caller(&self, slow: Slowness, taking: &ReadProgress) {
        let team = self.call.team.as_ref().map_or("-", |team| team.as_str());
        self.relay.context.metrics.count_request(team, "caller_slow");
        tracing::info!(
            event = "caller_slow",
            id = self.call.head.id,
            route = self.route.name,
            team,
            reason = slow.name(),
            kept = taking.buffered,
            taken = taking.read,
            silent_ms = taking.silent_time.as_millis() as u64,
            held_ms = taking.blocked_time.as_millis() as u64,
            left_ms = taking.time_left.as_millis() as u64,
        );
    }
}
