//! Forwards complete answers, for requests whose answer is not a stream.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hyper::header::{CONNECTION, CONTENT_LENGTH};
use hyper::{HeaderMap, Response, StatusCode};
use tokio::sync::SemaphorePermit;

use super::Relay;
use super::attempt::{CheckedReply, SendFailure, StartState, record_fault, seconds_since, send};
use super::attempts::CallAttempts;
use super::call::Call;
use super::ends::AnswerProgress;
use super::known::{InFlightRequest, KnownServer};
use super::large::{MAX_SMALL_BYTES, TakenRoom};
use super::quarantine;
use super::reach;
use super::table::Route;
use super::taking::UNCHARGED_BYTES;
use crate::backend::{Exchange, SendFault};
use crate::decide::completeness::{EndFacts, Framing, StopState, judge_end};
use crate::decide::engine::Observation;
use crate::decide::memory::{MemoryClaim, MemoryReservation, Purpose};
use crate::decide::releases::AnswerOutcome;
use crate::decide::verdict::RelativeLatency;
use crate::error::{Failure, Kind};
use crate::http::Body;
use crate::http::charged::guarded;
use crate::ids::{BackendId, ServiceName};

/// Largest answer that is forwarded, in bytes.
pub(super) const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Pause between attempts to reserve memory on a full box. Other callers receive their answers in
/// the meantime, which frees memory.
const MEMORY_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Fraction of the latency objective after which a repeatable request without an answer is also
/// sent to a second server, which can still answer in time.
const HEDGE_DELAY_FACTOR: f64 = 0.6;

/// Shortest time that a server gets before a second one is tried.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(50);

/// Hop-by-hop headers: they apply to a single connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Removes hop-by-hop headers, including those named in `Connection`, and `Content-Length`, which
/// is set anew for each connection.
pub fn strip_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in named {
        headers.remove(name.as_str());
    }
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
    headers.remove(CONTENT_LENGTH);
}

/// A complete answer of a backend server.
pub struct Answer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl Answer {
    /// Converts it to the response for the caller; `body` wraps the bytes in a response body.
    pub(super) fn response(self, body: impl FnOnce(Bytes) -> Body) -> Response<Body> {
        let mut response = Response::new(body(self.body));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }
}

/// Obtains the complete answer to a call.
///
/// If a repeatable request has no answer after some time, it is also sent to a second server, and
/// the first answer wins. The first send is not cancelled: a slow server may still answer.
///
/// # Errors
/// The failure to report to the caller if no server answered.
pub async fn answer(
    relay: &Relay,
    call: &Call,
    route: &Route,
    service: &ServiceName,
) -> Result<Answer, Failure> {
    let mut attempts = CallAttempts::new(service.clone());
    let mut failed: Option<Answer> = None;
    let mut running = FuturesUnordered::new();
    let hedge_delay = tokio::time::sleep(hedge_delay(route));
    tokio::pin!(hedge_delay);
    let mut hedged = false;
    loop {
        if running.is_empty() {
            match attempts.next_server(relay, call, route) {
                Ok(known) => running.push(send_once(relay, call, route, known)),
                // A server's own failure answer tells the caller more than the relay's.
                Err(failure) => return failed.ok_or(failure),
            }
        }
        tokio::select! {
            biased;
            Some((known, result)) = running.next() => match result {
                Ok((answer, false)) => return Ok(answer),
                Ok((answer, true)) if !attempts.may_retry(route) && running.is_empty() => {
                    return Ok(answer);
                }
                Ok((answer, true)) => failed = Some(answer),
                Err(failure) => attempts.record_failure(relay, call, &known, failure),
            },
            () = relay.stopping.ended() => {
                return failed.ok_or_else(|| attempts.stop_failure(relay, call, route));
            }
            () = &mut hedge_delay, if !hedged && attempts.may_retry(route) => {
                hedged = true;
                if let Ok(known) = attempts.next_server(relay, call, route) {
                    running.push(send_once(relay, call, route, known));
                }
            }
        }
    }
}

fn hedge_delay(route: &Route) -> Duration {
    route.objective.mul_f64(HEDGE_DELAY_FACTOR).max(MIN_HEDGE_DELAY)
}

type SendResult = Result<(Answer, bool), SendFailure>;

/// Sends a call once. Returns the answer and whether the server reports a failure.
async fn send_once(
    relay: &Relay,
    call: &Call,
    route: &Route,
    known: Arc<KnownServer>,
) -> (Arc<KnownServer>, SendResult) {
    let result = send_and_read(relay, call, route, &known).await;
    if let Err(SendFailure::Unknown { kind: Kind::BackendBroke, .. }) = &result {
        relay.ends.record_break(&known, call, AnswerProgress::NotBegun);
    }
    (known, result)
}

async fn send_and_read(
    relay: &Relay,
    call: &Call,
    route: &Route,
    known: &Arc<KnownServer>,
) -> SendResult {
    let mut flight = known.start_request(call.prompt_tokens(), call.max_tokens());
    let began = Instant::now();
    let limit = call.time_left();
    let sent = send(relay, call, route, known, StartState::default(), limit);
    let reply = flight.unless_restarted(sent).await.map_err(SendFailure::from_fault)??;
    let read = read_answer(relay, call, reply, &mut flight).await;
    if let Err(ReadFailure::Server(fault)) = &read {
        record_fault(relay, known, *fault == SendFault::TimedOut);
        reach::record_break(relay, known, &route.name);
    }
    let (answer, failed) = read?;
    flight.mark_started();
    quarantine::record_success(relay, call);
    if !failed {
        quarantine::record_survival(relay, call, &known.server.service);
        let seconds = seconds_since(began);
        known.state.succeed(seconds);
        let seen = Observation {
            tokens: 1.0,
            unshared_tokens: 1.0,
            seconds,
            is_clear: known.queued_prompt_tokens() == 0,
        };
        relay.engines().record_observation(&known.server.service, seen);
        known.state.succeed_route(&route.name);
        let part = seconds / route.objective.as_secs_f64();
        relay.record_outcome(
            known,
            &route.name,
            AnswerOutcome::Answered(RelativeLatency { to_expected: seconds, to_allowed: part }),
        );
    }
    if let Some(team) = &call.team {
        relay.usage().count(team, SystemTime::now());
    }
    Ok((answer, failed))
}

/// Why an answer was not read to its end.
pub(super) enum ReadFailure {
    /// The server sent no complete answer that is small enough.
    Server(SendFault),
    /// The box had no room for it in time.
    Memory(SendFault),
}

impl From<ReadFailure> for SendFailure {
    fn from(failure: ReadFailure) -> Self {
        match failure {
            ReadFailure::Server(fault) | ReadFailure::Memory(fault) => Self::from_fault(fault),
        }
    }
}

/// Reads an answer to its end, within the time that the call has left.
async fn read_answer(
    relay: &Relay,
    call: &Call,
    reply: CheckedReply,
    flight: &mut InFlightRequest,
) -> Result<(Answer, bool), ReadFailure> {
    let framing = reply.exchange.framing;
    let known = flight.server().clone();
    let server = &known.server.id;
    let reading = read_whole(relay, server, reply, MAX_ANSWER_BYTES, call.time_left());
    let read = flight.unless_restarted(reading).await.map_err(ReadFailure::Server)??;
    let server_ended = flight.server().state.is_over();
    let judged = judge_end(&EndFacts { framing, stop: StopState::Running, server_ended });
    judged.map_err(|cause| ReadFailure::Server(cause.into()))?;
    Ok(read)
}

/// Reads an answer of `server` of at most `limit` bytes to its end within `time`, reserving memory for it. Also returns
/// whether the server reports that the request failed.
pub(super) async fn read_whole(
    relay: &Relay,
    server: &BackendId,
    reply: CheckedReply,
    limit: usize,
    time: Duration,
) -> Result<(Answer, bool), ReadFailure> {
    let CheckedReply { mut exchange, failed } = reply;
    let until = Instant::now() + time;
    let length = AnswerLength::of(&exchange);
    let mut memory =
        AnswerMemory { relay, server, length, until, charge: None, turn: None, room: None };
    memory.begin(limit).await?;
    let mut held = BytesMut::new();
    while let Some(piece) = next_piece(&mut exchange, until).await.map_err(ReadFailure::Server)? {
        if held.len() + piece.len() > limit {
            return Err(ReadFailure::Server(SendFault::TooLarge(limit)));
        }
        memory.hold(held.len() + piece.len(), piece.len()).await?;
        held.extend_from_slice(&piece);
    }
    let (status, mut headers) = (exchange.status, exchange.headers);
    strip_hop_by_hop_headers(&mut headers);
    let body = match memory.charge {
        Some(charge) => guarded(held.freeze(), charge),
        None => held.freeze(),
    };
    Ok((Answer { status, headers, body }, failed))
}

/// What the head of an answer says of its length.
#[derive(Debug, Clone, Copy)]
enum AnswerLength {
    /// No more than what is read without a turn.
    Small(u64),
    /// More than that.
    Large(u64),
    /// Nothing.
    Unknown,
}

impl AnswerLength {
    fn of(exchange: &Exchange) -> Self {
        let length = content_length(&exchange.headers);
        match length.filter(|_| exchange.framing == Framing::Length) {
            Some(length) if length > MAX_SMALL_BYTES as u64 => Self::Large(length),
            Some(length) => Self::Small(length),
            None => Self::Unknown,
        }
    }

    fn stated(self) -> u64 {
        match self {
            Self::Small(length) | Self::Large(length) => length,
            Self::Unknown => 0,
        }
    }
}

/// The memory for an answer while it is read.
struct AnswerMemory<'a> {
    relay: &'a Relay,
    server: &'a BackendId,
    length: AnswerLength,
    until: Instant,
    charge: Option<MemoryReservation>,
    turn: Option<SemaphorePermit<'a>>,
    room: Option<TakenRoom>,
}

impl AnswerMemory<'_> {
    /// Reserves the whole length of a small answer: several answers that each held part of their memory would wait
    /// for each other.
    async fn begin(&mut self, limit: usize) -> Result<(), ReadFailure> {
        if self.length.stated() > limit as u64 {
            return Err(ReadFailure::Server(SendFault::TooLarge(limit)));
        }
        match self.length {
            AnswerLength::Small(length) if length > UNCHARGED_BYTES => self.reserve(length).await,
            AnswerLength::Small(_) | AnswerLength::Large(_) | AnswerLength::Unknown => Ok(()),
        }
    }

    /// Has memory for `needed` bytes, of which a piece of `added` bytes has just come. A large answer that states its
    /// length gets all of its memory as soon as some of it has come, and its server has room for it.
    async fn hold(&mut self, needed: usize, added: usize) -> Result<(), ReadFailure> {
        let answers = &self.relay.large_answers;
        let is_kept =
            needed as u64 <= self.charge.as_ref().map_or(UNCHARGED_BYTES, MemoryReservation::bytes);
        match self.length {
            AnswerLength::Large(length) if !is_kept && self.room.is_none() => {
                let room = answers.answers.take(self.server, length, self.until).await;
                self.room = Some(room.ok_or(NO_ROOM)?);
                return self.reserve(length).await;
            }
            AnswerLength::Unknown if needed > MAX_SMALL_BYTES && self.turn.is_none() => {
                self.turn = Some(answers.turn(self.until).await.ok_or(NO_ROOM)?);
            }
            AnswerLength::Small(_) | AnswerLength::Large(_) | AnswerLength::Unknown => {}
        }
        match is_kept {
            true => Ok(()),
            false => self.reserve(added as u64).await,
        }
    }

    async fn reserve(&mut self, bytes: u64) -> Result<(), ReadFailure> {
        reserve_memory(self.relay, &mut self.charge, bytes, self.until).await
    }
}

/// The box had no room for an answer within its call's time.
const NO_ROOM: ReadFailure = ReadFailure::Memory(SendFault::TimedOut);

/// The next piece of an answer. One that has come in time is not taken afterwards: more could follow without end.
async fn next_piece(exchange: &mut Exchange, until: Instant) -> Result<Option<Bytes>, SendFault> {
    let left = until.saturating_duration_since(Instant::now());
    match left.is_zero() {
        true => Err(SendFault::TimedOut),
        false => exchange.next(left).await,
    }
}

/// The length stated in an answer's head.
fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// Reserves memory for `bytes` more of an answer, waiting until there is room: the request has
/// already run, so it is not refused. An answer larger than the box's whole memory budget fails.
async fn reserve_memory(
    relay: &Relay,
    charge: &mut Option<MemoryReservation>,
    bytes: u64,
    until: Instant,
) -> Result<(), ReadFailure> {
    let whole = charge.as_ref().map_or(0, MemoryReservation::bytes) + bytes;
    if whole > relay.memory.size() {
        let size = relay.memory.size() as usize;
        return Err(ReadFailure::Server(SendFault::TooLarge(size)));
    }
    loop {
        let taken = match charge {
            Some(charge) => charge.grow(bytes).is_ok(),
            None => {
                *charge = relay.memory.reserve(Purpose::Answers, bytes, MemoryClaim::Accepted).ok();
                charge.is_some()
            }
        };
        if taken {
            return Ok(());
        }
        if Instant::now() >= until {
            return Err(ReadFailure::Memory(SendFault::TimedOut));
        }
        tokio::time::sleep(MEMORY_RETRY_PAUSE).await;
    }
}
