//! Forwards event streams as they arrive, and resumes a broken stream on another server if its
//! route allows it.

use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use async_stream::stream;
use bytes::{Bytes, BytesMut};
use hyper::{HeaderMap, Response, StatusCode};

use super::Relay;
use super::attempt::{SendFailure, StartState, record_fault, seconds_since, send};
use super::attempts::CallAttempts;
use super::call::Call;
use super::ends::AnswerProgress;
use super::event_memory::EventMemory;
use super::events::{EventSplitter, event_id};
use super::keeping::RequestReservation;
use super::known::{InFlightRequest, KnownServer, restart_fault};
use super::moving::{self, MoveOutcome, move_stream};
use super::plain::{read_whole, strip_hop_by_hop_headers};
use super::quarantine;
use super::reach;
use super::resume;
use super::stopping;
use super::table::{Repeat, Route};
use super::taking;
use crate::backend::{Exchange, SendFault};
use crate::blackboard::fleet::Leaving;
use crate::decide::completeness::{EndFacts, Framing, StopState, judge_end};
use crate::decide::engine::Observation;
use crate::decide::origins::StreamOrigin;
use crate::decide::releases::AnswerOutcome;
use crate::decide::verdict::RelativeLatency;
use crate::error::{Failure, Kind};
use crate::http::{Body, whole};
use crate::ids::ServiceName;
use crate::telemetry::volume;

/// Largest failure answer to a stream request that is forwarded, in bytes.
const MAX_FAILURE_BYTES: usize = 1 << 20;

/// A resumable stream is resumed elsewhere after a silence of this many times the longest gap that
/// the route allows between events.
const SILENCE_GAP_FACTOR: u32 = 2;

/// Shortest silence after which a stream is resumed elsewhere.
const MIN_SILENCE: Duration = Duration::from_millis(800);

/// A resumable stream that has not started after this multiple of the latency objective is sent to
/// another server.
const START_TIMEOUT_FACTOR: f64 = 1.5;

/// Number of events from which a server has gone on after it began to answer. The first one may be sent just before a
/// crash.
const MIN_EVENTS_GONE_ON: u64 = 2;

/// A stream that has delivered its first event.
pub(super) struct StartedStream {
    status: StatusCode,
    headers: HeaderMap,
    source: EventSource,
    first_event: Bytes,
}

impl StartedStream {
    /// Returns the event source and the first event.
    pub(super) fn into_parts(self) -> (EventSource, Bytes) {
        (self.source, self.first_event)
    }
}

/// The server connection that a stream's events currently come from.
pub(super) struct EventSource {
    pub(super) exchange: Exchange,
    cutter: EventSplitter,
    /// The memory for the bytes that are buffered.
    memory: EventMemory,
    /// The request in flight to the server.
    pub(super) flight: InFlightRequest,
    /// When the request was sent to the server.
    pub(super) sent_at: Instant,
    /// What is known of a request to stop the run.
    pub(super) stop: StopState,
    /// Events read from this server.
    events: u64,
    /// Whether it is recorded that the server went on after it had begun to answer.
    is_survival_recorded: bool,
}

impl EventSource {
    fn new(relay: &Relay, exchange: Exchange, flight: InFlightRequest, sent_at: Instant) -> Self {
        let cutter = EventSplitter::default();
        let (room, server) =
            (relay.large_answers.events.clone(), flight.server().server.id.clone());
        let memory = EventMemory::new(room, relay.memory.clone(), server);
        Self {
            exchange,
            cutter,
            memory,
            flight,
            sent_at,
            stop: StopState::default(),
            events: 0,
            is_survival_recorded: false,
        }
    }

    /// The next piece, once there is memory for it; `None` at the end. Cancel safe.
    async fn next_piece(&mut self, silence: Duration) -> Result<Option<Bytes>, SendFault> {
        let Self { exchange, cutter, memory, flight, .. } = self;
        let until = Instant::now() + silence;
        let reading = async {
            memory.hold(cutter.buffered(), silence).await?;
            exchange.next(until.saturating_duration_since(Instant::now())).await
        };
        flight.unless_restarted(reading).await?
    }

    /// Records once that the server went on after it had begun to answer.
    fn record_survival(&mut self, relay: &Relay, call: &Call, is_complete: bool) {
        let went_on = is_complete || self.progress() == AnswerProgress::WentOn;
        if went_on && !self.is_survival_recorded {
            self.is_survival_recorded = true;
            quarantine::record_survival(relay, call, &self.flight.server().server.service);
        }
    }

    fn progress(&self) -> AnswerProgress {
        match self.events >= MIN_EVENTS_GONE_ON {
            true => AnswerProgress::WentOn,
            false => AnswerProgress::NotBegun,
        }
    }

    /// Judges the stream after its bytes have ended in order.
    ///
    /// # Errors
    /// [`SendFault::Broke`] if something shows that it was broken off.
    pub(super) fn judge_end(&self) -> Result<(), SendFault> {
        let server_ended = self.flight.server().state.is_over();
        let facts = EndFacts { framing: self.exchange.framing, stop: self.stop, server_ended };
        Ok(judge_end(&facts)?)
    }
}

/// What a read of a stream's events returned.
pub(super) enum Received {
    /// Complete events.
    Events(Bytes),
    /// The end, as marked by the framing of the answer.
    End,
    /// The connection closed in order after a complete event, and nothing else marks the end.
    Closed,
}

/// What a stream that waits for events goes on with.
enum Step {
    /// Its server is leaving.
    Leaving(Leaving),
    /// A read has returned.
    Received(Result<Received, SendFault>),
    /// The box has stopped.
    Stopped,
}

/// Outcome of an attempt to start a stream.
pub(super) enum StartOutcome {
    /// The stream has started.
    Stream(Box<StartedStream>),
    /// A complete answer instead of a stream, and whether the server reports a failure.
    Whole(Response<Body>, bool),
}

/// Obtains an event stream.
///
/// # Errors
/// The failure to report to the caller if no server started a stream.
pub async fn answer(
    relay: Arc<Relay>,
    call: Arc<Call>,
    route: Arc<Route>,
    mut attempts: CallAttempts,
    kept: RequestReservation,
) -> Result<Response<Body>, Failure> {
    let mut failed = None;
    let mut chosen = attempts.next_server(&relay, &call, &route)?;
    loop {
        let known = chosen.clone();
        // The connection to a server that is given up is closed before the call is sent to another
        // one.
        let opened = {
            let mut opening = pin!(start_stream(
                &relay,
                &call,
                &route,
                &known,
                start_state(call.head.last_event_id, &attempts)
            ));
            tokio::select! {
                biased;
                opened = &mut opening => Some(opened),
                () = relay.stopping.ended() => {
                    return failed.ok_or_else(|| attempts.stop_failure(&relay, &call, &route));
                }
                () = tokio::time::sleep(start_timeout(&route)), if attempts.may_retry(&route) => {
                    match attempts.next_server(&relay, &call, &route) {
                        Ok(other) => {
                            chosen = other;
                            None
                        }
                        Err(_) => Some(opening.await),
                    }
                }
            }
        };
        match opened {
            None => {
                tracing::info!(
                    event = "stream_given_up", id = call.head.id, backend_server = %known.server.id,
                    left_ms = call.time_left().as_millis() as u64,
                );
                record_fault(&relay, &known, true);
                continue;
            }
            Some(Ok(StartOutcome::Stream(opened))) => {
                count_usage(&relay, &call);
                let server = &opened.source.flight.server().server;
                attempts.record_first_event(&server.release);
                let origin = StreamOrigin {
                    service: server.service.clone(),
                    release: server.release.clone(),
                };
                resume::record_origin(&relay, &call, &route, origin);
                record_time_to_first_event(&relay, &attempts, &opened);
                return Ok(respond(relay, call, route, attempts, *opened, kept));
            }
            Some(Ok(StartOutcome::Whole(response, true))) if attempts.may_retry(&route) => {
                failed = Some(response);
            }
            Some(Ok(StartOutcome::Whole(response, _))) => return Ok(response),
            Some(Err(failure)) => attempts.record_failure(&relay, &call, &known, failure),
        }
        chosen = match attempts.next_server(&relay, &call, &route) {
            Ok(known) => known,
            Err(failure) => return failed.ok_or(failure),
        };
    }
}

fn start_timeout(route: &Route) -> Duration {
    route.objective.mul_f64(START_TIMEOUT_FACTOR)
}

fn silence_limit(route: &Route, call: &Call) -> Duration {
    let gap = route.gap.unwrap_or(MIN_SILENCE) * SILENCE_GAP_FACTOR;
    match route.repeat {
        Repeat::ResumableStream => gap.max(MIN_SILENCE).min(call.time_left()),
        Repeat::Stream | Repeat::Safe | Repeat::Once => call.time_left(),
    }
}

fn start_state(last_event_id: Option<u64>, attempts: &CallAttempts) -> StartState<'static> {
    StartState { last_event_id, prefix_source: attempts.prefix_source(), kv_export: None }
}

fn count_usage(relay: &Relay, call: &Call) {
    if let Some(team) = &call.team {
        relay.usage().count(team, SystemTime::now());
    }
}

/// Records the engine's time to first event for its performance model.
fn record_time_to_first_event(relay: &Relay, attempts: &CallAttempts, opened: &StartedStream) {
    let prefill_work = attempts.prefill_work();
    let seen = Observation {
        tokens: prefill_work.tokens as f64,
        unshared_tokens: prefill_work.unshared_tokens as f64,
        seconds: seconds_since(opened.source.sent_at),
        is_clear: prefill_work.is_queue_empty,
    };
    relay.engines().record_observation(attempts.service(), seen);
}

/// Expected duration of a stream in seconds: prefill of its prompt, plus [`ASSUMED_EVENT_TIME`] for
/// each event. Only used to compare two releases, for which the error is the same.
fn expected_time(relay: &Relay, attempts: &CallAttempts, progress: &StreamProgress) -> f64 {
    let model = relay.engines().model(attempts.service());
    let read = model.base + model.prefill_time(attempts.prefill_work().tokens as f64);
    read + ASSUMED_EVENT_TIME * progress.events as f64
}

/// Longest duration of a stream in seconds that its route allows: time to the first event, plus the
/// gaps between events.
fn allowed_time(route: &Route, progress: &StreamProgress) -> f64 {
    let gap = route.gap.unwrap_or(route.objective).as_secs_f64();
    route.objective.as_secs_f64() + gap * progress.events.saturating_sub(1) as f64
}

/// Assumed time per event, in seconds.
const ASSUMED_EVENT_TIME: f64 = 0.05;

/// Starts a stream on a server. It has started once its first event is complete.
pub(super) async fn start_stream(
    relay: &Relay,
    call: &Call,
    route: &Route,
    known: &Arc<KnownServer>,
    start: StartState<'_>,
) -> Result<StartOutcome, SendFailure> {
    let limit = call.time_left();
    let flight = known.start_request(call.prompt_tokens(), call.max_tokens());
    let mut end_signal = known.state.follow_end();
    let began = Instant::now();
    let opening = async {
        let reply = send(relay, call, route, known, start, limit).await?;
        if !reply.exchange.status.is_success() {
            let (answer, failed) =
                read_whole(relay, &known.server.id, reply, MAX_FAILURE_BYTES, limit).await?;
            return Ok(StartOutcome::Whole(answer.response(whole), failed));
        }
        let exchange = reply.exchange;
        let mut source = EventSource::new(relay, exchange, flight, began);
        let first_event = read_first_event(&mut source, limit).await?;
        source.events = 1;
        source.flight.mark_started();
        let status = source.exchange.status;
        let mut headers = source.exchange.headers.clone();
        strip_hop_by_hop_headers(&mut headers);
        Ok(StartOutcome::Stream(Box::new(StartedStream { status, headers, source, first_event })))
    };
    let opened = tokio::select! {
        // A result that has arrived counts even if its server has restarted since.
        biased;
        opened = tokio::time::timeout(limit, opening) => match opened {
            Ok(result) => result,
            Err(_) => Err(SendFailure::from_fault(SendFault::TimedOut)),
        },
        Ok(_) = end_signal.wait_for(|ended| *ended) => Err(SendFailure::from_fault(restart_fault())),
    };
    match &opened {
        Ok(StartOutcome::Stream(_)) => {
            if let Some(part) = call.shared_prefix() {
                known.state.record_prefixes(&[part.id], MAX_PREFIXES_PER_SERVER);
            }
        }
        Err(SendFailure::Unknown { kind, .. }) => {
            record_fault(relay, known, *kind == Kind::BackendTimeout);
            if *kind == Kind::BackendBroke {
                relay.ends.record_break(known, call, AnswerProgress::NotBegun);
            }
        }
        Ok(StartOutcome::Whole(..)) => quarantine::record_success(relay, call),
        Err(SendFailure::NotRun { .. }) => {}
    }
    opened
}

/// Number of prompt prefixes remembered for each engine.
const MAX_PREFIXES_PER_SERVER: usize = 1_024;

async fn read_first_event(source: &mut EventSource, limit: Duration) -> Result<Bytes, SendFailure> {
    loop {
        match source.cutter.next_event() {
            Ok(Some(event)) => return Ok(event),
            Ok(None) => {}
            Err(error) => {
                return Err(SendFailure::Unknown {
                    kind: Kind::BackendInvalid,
                    detail: error.to_string(),
                });
            }
        }
        let read = source.next_piece(limit).await;
        match read.map_err(SendFailure::from_fault)? {
            Some(piece) => source.cutter.push(&piece),
            None => {
                let fault = SendFault::Broke("the stream ended before its first event".to_owned());
                return Err(SendFailure::from_fault(fault));
            }
        }
    }
}

/// What a stream's caller has received so far.
pub(super) struct StreamProgress {
    /// Id of the last event.
    pub(super) last_event_id: Option<u64>,
    /// Number of events read from the servers.
    events: u64,
    /// When the first event arrived.
    first_event_at: Instant,
    /// When the last event arrived, and the longest time between two events.
    last_event_at: Instant,
    longest_gap: Duration,
    /// Whether the first event missed the route's latency objective.
    first_event_late: bool,
}

impl StreamProgress {
    fn new(last_event_id: Option<u64>) -> Self {
        let now = Instant::now();
        Self {
            last_event_id,
            events: 0,
            first_event_at: now,
            last_event_at: now,
            longest_gap: Duration::ZERO,
            first_event_late: false,
        }
    }

    /// When the last event arrived.
    pub(super) fn last_event_at(&self) -> Instant {
        self.last_event_at
    }

    /// Whether the first event was late, or a gap between events was longer than the route allows.
    fn is_late(&self, route: &Route) -> bool {
        self.first_event_late || route.gap.is_some_and(|gap| self.longest_gap > gap)
    }

    /// Records the stream's pace for the engines' performance model, unless it was resumed by its
    /// caller and started in the middle.
    fn record_pace(&self, relay: &Relay, service: &ServiceName, call: &Call) {
        if let (None, Some(size)) = (call.head.last_event_id, call.head.generation) {
            let seconds =
                self.last_event_at.saturating_duration_since(self.first_event_at).as_secs_f64();
            relay.engines().record_stream(service, self.events, size.max_output_tokens, seconds);
        }
    }

    /// Takes the complete events that have been received, skipping those the caller already has.
    pub(super) fn take_events(&mut self, source: &mut EventSource) -> Result<Bytes, SendFault> {
        let mut ready = BytesMut::new();
        loop {
            match source.cutter.next_event() {
                Ok(Some(event)) => {
                    source.events += 1;
                    if self.record_event(&event) {
                        ready.extend_from_slice(&event);
                    }
                }
                Ok(None) => return Ok(ready.freeze()),
                Err(error) => return Err(SendFault::Broke(error.to_string())),
            }
        }
    }

    /// Records an event. Returns whether it is new to the caller.
    pub(super) fn record_event(&mut self, event: &[u8]) -> bool {
        self.events += 1;
        self.longest_gap = self.longest_gap.max(self.last_event_at.elapsed());
        self.last_event_at = Instant::now();
        let Some(id) = event_id(event) else {
            return true;
        };
        let new = self.last_event_id.is_none_or(|last| id > last);
        if new {
            self.last_event_id = Some(id);
        }
        new
    }
}

fn respond(
    relay: Arc<Relay>,
    call: Arc<Call>,
    route: Arc<Route>,
    mut attempts: CallAttempts,
    opened: StartedStream,
    kept: RequestReservation,
) -> Response<Body> {
    let StartedStream { status, headers, mut source, first_event } = opened;
    let mut progress = StreamProgress::new(call.head.last_event_id);
    progress.record_event(&first_event);
    progress.first_event_late = call.arrived.elapsed() > route.objective;
    let kept_for_body = (relay.clone(), call.clone(), route.clone());
    let events = stream! {
        yield Ok::<_, io::Error>(first_event);
        let mut limit = silence_limit(&route, &call);
        let mut waiting_since = Instant::now();
        let mut leave_signal = Some(source.flight.server().state.follow_leaving());
        let mut earliest_move = Instant::now();
        let mut stop_end = relay.stopping.follow_end();
        loop {
            // Parts of an event are no sign that it will end. Time in which the caller was waited for does not count.
            let silent = progress.last_event_at.max(waiting_since).elapsed();
            let silence = limit.saturating_sub(silent).min(call.time_left());
            let step = tokio::select! {
                leaving = moving::wait_until_leaving(&mut leave_signal, earliest_move) => Step::Leaving(leaving),
                received = next_events(&mut source, &mut progress, silence) => Step::Received(received),
                () = stop_end.wait() => Step::Stopped,
            };
            let received = match step {
                Step::Received(received) => received,
                Step::Stopped => {
                    let failure = stopping::cut(&relay, &call, &route);
                    yield Err(io::Error::other(failure.detail));
                    break;
                }
                Step::Leaving(leaving) => {
                    leave_signal = None;
                    let service = attempts.service();
                    if !moving::is_worth_moving(&relay, &call, service, &source, progress.events, &leaving) {
                        continue;
                    }
                    match move_stream(&relay, &call, &route, &attempts, &mut source, &mut progress).await {
                        MoveOutcome::Moved(ready, moved) => {
                            if Arc::ptr_eq(moved.flight.server(), source.flight.server()) {
                                earliest_move = Instant::now() + moving::MOVE_RETRY_DELAY;
                            }
                            source = *moved;
                            leave_signal = Some(source.flight.server().state.follow_leaving());
                            yield Ok(ready);
                            waiting_since = Instant::now();
                            continue;
                        }
                        MoveOutcome::Ended(ready) => {
                            yield Ok(ready);
                            Ok(Received::End)
                        }
                        MoveOutcome::NotMoved(ready) => {
                            yield Ok(ready);
                            waiting_since = Instant::now();
                            continue;
                        }
                        MoveOutcome::Lost(ready, fault) => {
                            yield Ok(ready);
                            Err(fault)
                        }
                    }
                }
            };
            let ended = match received {
                Ok(Received::Events(ready)) => {
                    source.record_survival(&relay, &call, false);
                    if !ready.is_empty() {
                        yield Ok(ready);
                        waiting_since = Instant::now();
                    }
                    continue;
                }
                Ok(Received::End) => Ok(()),
                Ok(Received::Closed) => source.judge_end(),
                Err(fault) => Err(fault),
            };
            let fault = match ended {
                Ok(()) => {
                    source.record_survival(&relay, &call, true);
                    let known = source.flight.server();
                    record_end(&relay, &call, &route, &source, &progress);
                    if call.head.last_event_id.is_none() {
                        relay.stopping.record_time(&route, call.arrived.elapsed());
                    }
                    quarantine::record_success(&relay, &call);
                    relay.engines().record_served(attempts.service(), progress.is_late(&route));
                    progress.record_pace(&relay, attempts.service(), &call);
                    known.state.succeed(seconds_since(source.sent_at));
                    known.state.succeed_route(&route.name);
                    let seconds = seconds_since(source.sent_at);
                    let pace = RelativeLatency {
                        to_expected: seconds / expected_time(&relay, &attempts, &progress),
                        to_allowed: seconds / allowed_time(&route, &progress),
                    };
                    relay.record_outcome(known, &route.name, AnswerOutcome::Answered(pace));
                    break;
                }
                Err(fault) => fault,
            };
            record_break(&relay, &call, &route, &source, &progress, &fault);
            let other = match route.repeat {
                Repeat::ResumableStream => attempts.next_server(&relay, &call, &route).ok(),
                Repeat::Stream | Repeat::Safe | Repeat::Once => None,
            };
            let Some(other) = other else {
                if fault == SendFault::TimedOut && !call.time_left().is_zero() {
                    // No other server can resume the stream, but this one may still continue it.
                    (limit, waiting_since) = (call.time_left(), Instant::now());
                    continue;
                }
                tracing::warn!(
                    event = "stream_cut", id = call.head.id, last = progress.last_event_id, detail = %fault,
                );
                relay.context.metrics.count_attempt("-", "stream_cut");
                yield Err(io::Error::other(fault.to_string()));
                break;
            };
            // The connection to this server is closed before another server continues the stream.
            drop(source);
            match resume_elsewhere(&relay, &call, &route, &mut attempts, &mut progress, other).await {
                Some((ready, next)) => {
                    source = next;
                    if !ready.is_empty() {
                        yield Ok(ready);
                    }
                    waiting_since = Instant::now();
                }
                None => {
                    yield Err(io::Error::other("no server could resume the stream"));
                    break;
                }
            }
        }
    };
    let (relay, call, route) = kept_for_body;
    let mut response = Response::new(taking::stream_body(relay, call, route, kept, events));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Reads the next complete events. Cancel safe.
pub(super) async fn next_events(
    source: &mut EventSource,
    progress: &mut StreamProgress,
    silence: Duration,
) -> Result<Received, SendFault> {
    let ready = progress.take_events(source)?;
    if !ready.is_empty() {
        return Ok(Received::Events(ready));
    }
    match source.next_piece(silence).await? {
        Some(piece) => {
            if source.exchange.lease.is_none() {
                source.flight.server().state.hear();
            }
            source.cutter.push(&piece);
            progress.take_events(source).map(Received::Events)
        }
        None if source.cutter.has_partial_event() => {
            Err(SendFault::Broke("the stream ended inside an event".to_owned()))
        }
        None => Ok(match source.exchange.framing {
            Framing::Length | Framing::Chunked => Received::End,
            Framing::Close => Received::Closed,
        }),
    }
}

/// Logs a stream that ended normally: always if it was late, otherwise within the log's volume
/// limit.
fn record_end(
    relay: &Relay,
    call: &Call,
    route: &Route,
    source: &EventSource,
    progress: &StreamProgress,
) {
    let (known, framing) = (source.flight.server(), source.exchange.framing);
    relay.context.metrics.count_answer_end(framing, "complete");
    let late = progress.is_late(route);
    if late || volume::allows_ordinary() {
        tracing::info!(
            event = "stream_ended", id = call.head.id, backend_server = %known.server.id,
            last = progress.last_event_id, %framing, late, pause_ms = progress.longest_gap.as_millis() as u64,
            ms = call.arrived.elapsed().as_millis() as u64,
        );
    }
}

fn record_break(
    relay: &Relay,
    call: &Call,
    route: &Route,
    source: &EventSource,
    progress: &StreamProgress,
    fault: &SendFault,
) {
    let (known, framing) = (source.flight.server(), source.exchange.framing);
    relay.context.metrics.count_answer_end(framing, "broken_off");
    record_fault(relay, known, *fault == SendFault::TimedOut);
    if matches!(fault, SendFault::Broke(_)) {
        relay.ends.record_break(known, call, source.progress());
    }
    reach::record_break(relay, known, &route.name);
    tracing::info!(
        event = "stream_broke", id = call.head.id, request = %call.fingerprint(),
        segments = call.segments_text(), route = route.name,
        backend_server = %known.server.id, detail = %fault, %framing, last = progress.last_event_id,
        resumable = route.repeat.is_repeatable(), left_ms = call.time_left().as_millis() as u64,
    );
}

/// Resumes a stream after the last event its caller has received, trying `known` first and then
/// other servers.
async fn resume_elsewhere(
    relay: &Relay,
    call: &Call,
    route: &Route,
    attempts: &mut CallAttempts,
    progress: &mut StreamProgress,
    known: Arc<KnownServer>,
) -> Option<(Bytes, EventSource)> {
    let mut known = known;
    loop {
        match start_stream(
            relay,
            call,
            route,
            &known,
            start_state(progress.last_event_id, attempts),
        )
        .await
        {
            Ok(StartOutcome::Stream(opened)) => {
                relay.context.metrics.count_resume("elsewhere");
                tracing::info!(
                    event = "stream_taken_up", id = call.head.id,
                    backend_server = %known.server.id, last = progress.last_event_id,
                );
                let StartedStream { mut source, first_event, .. } = *opened;
                let mut ready = BytesMut::new();
                if progress.record_event(&first_event) {
                    ready.extend_from_slice(&first_event);
                }
                ready.extend_from_slice(&progress.take_events(&mut source).ok()?);
                return Some((ready.freeze(), source));
            }
            Ok(StartOutcome::Whole(..)) => {}
            Err(failure) => attempts.record_failure(relay, call, &known, failure),
        }
        known = attempts.next_server(relay, call, route).ok()?;
    }
}
