//! A single send of a call to a backend server, and what a failed send proves about the request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode, Uri};
use tracing::field;

use super::Relay;
use super::call::{Call, KvCacheExport, ReplyHead, SendContext, ServerLoad};
use super::ends;
use super::known::KnownServer;
use super::reach;
use super::table::Route;
use crate::backend::{ConnectionUse, Exchange, RequestTag, Reuse, SendFault};
use crate::clock;
use crate::decide::releases::AnswerOutcome;
use crate::decide::retry_budgets::RetryLimit;
use crate::decide::sends::{NamedRequest, NotRunProof};
use crate::decide::throttle::{LimitChange, LimitNotice};
use crate::error::Kind;
use crate::telemetry::volume;

/// Longest idle time of a pooled connection that carries a non-repeatable request. The server is
/// unlikely to close a connection that was used this recently at the moment it is reused.
const MAX_IDLE_TIME: Duration = Duration::from_secs(2);

/// Bytes of a refusal's body that are read so that the connection can be reused.
const MAX_REFUSAL_BYTES: usize = 16 << 10;

/// Time limit for reading the body of a refusal.
const REFUSAL_READ_TIME: Duration = Duration::from_millis(100);

/// Why a send produced no answer that can be forwarded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendFailure {
    /// It is proven that the request did not run.
    NotRun {
        /// What proves it.
        proof: NotRunProof,
        /// Description of the failure.
        detail: String,
    },
    /// The request may have run.
    Unknown {
        /// The kind of failure to report to the caller.
        kind: Kind,
        /// Description of the failure.
        detail: String,
    },
}

impl SendFailure {
    fn not_sent(detail: String) -> Self {
        Self::NotRun { proof: NotRunProof::NotSent, detail }
    }

    fn unknown(kind: Kind, detail: impl Into<String>) -> Self {
        Self::Unknown { kind, detail: detail.into() }
    }

    /// Maps a transport fault to what it proves about the request.
    pub fn from_fault(fault: SendFault) -> Self {
        let detail = fault.to_string();
        match fault {
            SendFault::NotSent(_) | SendFault::Refused(_) => Self::not_sent(detail),
            SendFault::Broke(_) => Self::unknown(Kind::BackendBroke, detail),
            SendFault::TimedOut => Self::unknown(Kind::BackendTimeout, detail),
            SendFault::TooLarge(_) | SendFault::Endless(_) | SendFault::Status(_) => {
                Self::unknown(Kind::BackendInvalid, detail)
            }
        }
    }

    /// What proves that the request did not run; `None` if it may have run.
    pub fn proof(&self) -> Option<NotRunProof> {
        match self {
            Self::NotRun { proof, .. } => Some(*proof),
            Self::Unknown { .. } => None,
        }
    }

    /// Description of the failure.
    pub fn detail(&self) -> &str {
        match self {
            Self::NotRun { detail, .. } | Self::Unknown { detail, .. } => detail,
        }
    }
}

/// What the relay does with a reply, decided by its head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReplyClass {
    Forward,
    Failed,
    NotRun,
    Invalid(&'static str),
}

/// Classifies a reply by its head. Only an explicit statement by the server proves that a request
/// did not run; a status that implies it without that statement is not forwarded.
fn classify_reply(status: StatusCode, head: &ReplyHead, encoded: bool) -> ReplyClass {
    if head.not_run || status == StatusCode::MISDIRECTED_REQUEST {
        return ReplyClass::NotRun;
    }
    if status.is_success() {
        return match (head.signed, encoded) {
            (true, false) => ReplyClass::Forward,
            (false, _) => ReplyClass::Invalid("the answer is not vouched for"),
            (true, true) => ReplyClass::Invalid("the answer is encoded"),
        };
    }
    match status {
        StatusCode::TOO_MANY_REQUESTS
        | StatusCode::SERVICE_UNAVAILABLE
        | StatusCode::REQUEST_TIMEOUT => {
            ReplyClass::Invalid("the status promises more than was said")
        }
        _ if status.is_server_error() => ReplyClass::Failed,
        _ if status.is_client_error() => ReplyClass::Forward,
        _ => ReplyClass::Invalid("the status is no answer"),
    }
}

/// The state from which a server starts or continues a call.
#[derive(Debug, Clone, Copy, Default)]
pub struct StartState<'a> {
    /// Id of the last event the caller has received.
    pub last_event_id: Option<u64>,
    /// A server that probably has part of the prompt in its KV cache.
    pub prefix_source: Option<SocketAddr>,
    /// The exported KV cache of the run to continue.
    pub kv_export: Option<&'a KvCacheExport>,
}

/// A reply whose head has been checked and may be forwarded.
pub struct CheckedReply {
    /// The exchange, with its body still unread.
    pub exchange: Exchange,
    /// Whether the server reports that the request failed.
    pub failed: bool,
}

/// Sends a call to a server and waits for the head of the reply, for at most `limit`.
///
/// # Errors
/// What is known about the request when there is no reply to forward.
pub async fn send(
    relay: &Relay,
    call: &Call,
    route: &Route,
    known: &Arc<KnownServer>,
    start: StartState<'_>,
    limit: Duration,
) -> Result<CheckedReply, SendFailure> {
    if known.state.is_over() {
        let detail = format!("{} has started again", known.server.id);
        return Err(SendFailure::not_sent(detail));
    }
    let request = build_request(relay, call, known, start);
    let tag = RequestTag::of(&call.head.id);
    let reuse = match (route.repeat.is_repeatable(), tag) {
        (true, _) => Reuse::Any,
        (false, Some(_)) => Reuse::Rested(MAX_IDLE_TIME),
        // No answer can name it, so no other one may be due.
        (false, None) => Reuse::Never,
    };
    let connection = ConnectionUse { reuse, tag };
    let sent = reach::send(relay, known, request, limit, connection).await;
    let mut exchange = match sent {
        Ok(exchange) => count_exchange(relay, call, known, exchange),
        Err(fault) => {
            record_fault(relay, known, fault == SendFault::TimedOut);
            if matches!(fault, SendFault::Refused(_)) {
                ends::record_end(relay, known);
            }
            if !fault.is_not_sent() {
                reach::record_break(relay, known, &route.name);
            }
            return Err(SendFailure::from_fault(fault));
        }
    };
    log_proxy(call, known, &exchange);
    let reply = relay.context.dialect.read_reply(call, exchange.status, &exchange.headers);
    // Dropping the exchange closes the connection, on which the answer to this call is still due.
    let Some(head) = reply.to_call(&mut exchange) else {
        record_foreign(relay, call, known, &exchange, reply.named);
        record_failed_answer(relay, known, route);
        let detail = format!("{}: the answer belongs to another request", known.server.id);
        return Err(SendFailure::unknown(Kind::BackendInvalid, detail));
    };
    record_reply(relay, known, exchange.status, &head);
    let encoded = exchange.headers.contains_key(hyper::header::CONTENT_ENCODING);
    match classify_reply(exchange.status, &head, encoded) {
        ReplyClass::Forward => Ok(CheckedReply { exchange, failed: false }),
        ReplyClass::Failed => {
            tracing::info!(
                event = "answer_failed", id = call.head.id, backend_server = %known.server.id,
                status = exchange.status.as_u16(), left_ms = call.time_left().as_millis() as u64,
            );
            record_failed_answer(relay, known, route);
            Ok(CheckedReply { exchange, failed: true })
        }
        ReplyClass::NotRun => {
            if exchange.status == StatusCode::MISDIRECTED_REQUEST {
                // A different server listens at this address, so the intended one is gone.
                ends::record_end(relay, known);
                known.mark_gone();
                relay.servers.mark_suspect(known);
            }
            if exchange.status == StatusCode::SERVICE_UNAVAILABLE && head.requested_pause.is_none()
            {
                let id = &known.server.id;
                relay.brittle().record_rejection(id, relay.relay_count(), clock::now());
            }
            if head.load.is_none() && exchange.status == StatusCode::SERVICE_UNAVAILABLE {
                // The server is full. Recording this keeps the next request from choosing it.
                record_load(relay, known, ServerLoad { running: known.server.slots, waiting: 1 });
            }
            let mut detail = format!("{} refused with {}", known.server.id, exchange.status);
            if let Some(pause) = head.requested_pause {
                detail += &format!(" and asks for a pause of {} ms", pause.as_millis());
            }
            if exchange.status.is_success() {
                // The pool remembers requests by their failure answers only.
                exchange.close_after();
            }
            let proof = match exchange.connect.is_some() {
                true => NotRunProof::FirstAnswer,
                false => NotRunProof::NamedAnswer,
            };
            let _ = exchange.read_whole(MAX_REFUSAL_BYTES, REFUSAL_READ_TIME).await;
            Err(SendFailure::NotRun { proof, detail })
        }
        ReplyClass::Invalid(reason) => {
            record_failed_answer(relay, known, route);
            Err(SendFailure::unknown(
                Kind::BackendInvalid,
                format!("{}: {reason}", known.server.id),
            ))
        }
    }
}

/// Counts the request and has the bytes of its reply counted. The connect time of a new connection
/// is a distance sample.
fn count_exchange(
    relay: &Relay,
    call: &Call,
    known: &KnownServer,
    mut exchange: Exchange,
) -> Exchange {
    let data_centre = &known.server.data_centre;
    let reach = relay.context.topology.reach(data_centre);
    relay.traffic.count_send(reach, call.body.len());
    exchange.count_into(relay.traffic.answer_byte_counter(reach));
    if let Some(took) = exchange.connect {
        relay.distances().record_connect(data_centre, took, Instant::now());
    }
    exchange
}

/// Records a reply in which the server reports a failure, or an invalid reply.
fn record_failed_answer(relay: &Relay, known: &KnownServer, route: &Route) {
    record_failure(relay, known);
    known.state.fail_route(&route.name);
    relay.record_outcome(known, &route.name, AnswerOutcome::Failed);
}

/// Records that a send or a stream failed. After a timeout the server's incarnation is not queried:
/// overload also causes timeouts, and the query would add to it.
pub(super) fn record_fault(relay: &Relay, known: &KnownServer, timed_out: bool) {
    record_failure(relay, known);
    if !timed_out {
        relay.servers.mark_suspect(known);
    }
}

/// Records a failure. A server that is ejected after several failures in a row may have restarted,
/// so its incarnation is queried.
fn record_failure(relay: &Relay, known: &KnownServer) {
    if known.state.fail() {
        tracing::warn!(event = "backend_server_set_aside", backend_server = %known.server.id);
        relay.servers.mark_suspect(known);
    }
}

/// Records what a reply says of its server.
pub(super) fn record_reply(
    relay: &Relay,
    known: &KnownServer,
    status: StatusCode,
    head: &ReplyHead,
) {
    if let Some(load) = head.load {
        record_load(relay, known, load);
    }
    // A misdirected request was answered by a different server.
    if status != StatusCode::MISDIRECTED_REQUEST {
        record_server_notices(relay, known, head);
    }
}

/// Records a reply that came in the place of the one to a call.
pub(super) fn record_foreign(
    relay: &Relay,
    call: &Call,
    known: &KnownServer,
    exchange: &Exchange,
    named: NamedRequest,
) {
    relay.context.metrics.count_foreign_answer(named);
    tracing::warn!(
        event = "answer_foreign", id = call.head.id, backend_server = %known.server.id,
        status = exchange.status.as_u16(), ?named, first = exchange.is_first(),
    );
}

/// Logs which box forwarded a request, within the log's volume limit.
fn log_proxy(call: &Call, known: &KnownServer, exchange: &Exchange) {
    if let Some(lease) = exchange.lease.as_ref().filter(|_| volume::allows_ordinary()) {
        tracing::info!(
            event = "request_proxied", id = call.head.id, backend_server = %known.server.id,
            proxy = %lease.proxy.box_id,
        );
    }
}

/// Records what a reply asks of this box: a rate limit, a pause, or no further requests because the
/// server is shutting down.
fn record_server_notices(relay: &Relay, known: &KnownServer, head: &ReplyHead) {
    record_limit(relay, known, head);
    record_brittle(relay, known, head);
    if let Some(pause) = head.requested_pause {
        let service = &known.server.service;
        relay.pauses().record(&known.key(), service, pause, clock::now());
    }
    if head.leaving {
        known.record_shutdown_notice();
    }
}

/// Records the rate limit that a reply announces. Only a signed reply without a limit shows that an
/// earlier limit has ended.
fn record_limit(relay: &Relay, known: &KnownServer, head: &ReplyHead) {
    let names_no_limit = head.limit_notice == LimitNotice::None;
    if names_no_limit && (!head.signed || relay.throttles().is_empty()) {
        return;
    }
    let server = known.key();
    if head.limit_notice == LimitNotice::Unreadable {
        tracing::warn!(event = "server_limit_unreadable", backend_server = %server.id);
    }
    let service = &known.server.service;
    let change = relay.throttles().record_notice(&server, service, head.limit_notice, clock::now());
    if let Some(LimitChange { old, new }) = change {
        let (before, now) = (old.map(field::display), new.map(field::display));
        tracing::info!(event = "server_limit_changed", backend_server = %server.id, before, now);
        relay.limit_changed.notify_one();
    }
}

/// Records how many rejections a server bears. Only a signed reply without a number shows that it is sound again.
fn record_brittle(relay: &Relay, known: &KnownServer, head: &ReplyHead) {
    let mut brittle = relay.brittle();
    let limit = head.rejection_limit;
    if limit.is_none() && (!head.signed || brittle.is_empty()) {
        return;
    }
    let (key, service) = (known.key(), &known.server.service);
    if brittle.record_notice(&key, service, limit, relay.relay_count(), clock::now()) {
        tracing::info!(
            event = "server_brittle", backend_server = %key.id, rejections = limit.map(field::display),
        );
    }
}

fn record_load(relay: &Relay, known: &KnownServer, load: ServerLoad) {
    known.state.report(load.running, load.waiting, Duration::ZERO);
    let requests = load.running + load.waiting;
    relay.loads().record(known.key(), requests, Instant::now());
}

fn build_request(
    relay: &Relay,
    call: &Call,
    known: &KnownServer,
    start: StartState<'_>,
) -> Request<Full<Bytes>> {
    let StartState { last_event_id, prefix_source, kv_export } = start;
    let context = SendContext {
        server: &known.server.id,
        timeout: call.time_left(),
        last_event_id,
        prefix_source,
        kv_export,
    };
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = Uri::from(call.path.clone());
    *request.headers_mut() = relay.context.dialect.write_call(call, &context);
    request
}

/// The operators' retry limit, as it applies to this box.
pub fn retry_limit(relay: &Relay) -> RetryLimit {
    RetryLimit {
        ratio: relay.context.settings.retry_ratio,
        floor: relay.context.settings.retry_floor,
        boxes: relay.known_relay_count(),
    }
}

/// Elapsed time in seconds.
pub fn seconds_since(at: Instant) -> f64 {
    at.elapsed().as_secs_f64()
}
