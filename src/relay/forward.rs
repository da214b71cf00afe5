//! Sends requests of other boxes, which do not reach a backend server themselves.
//!
//! The other box decides everything about the request: it has authorized and charged it, counts its sends and chooses
//! the server. This box sends it once, over its own connections, and hands the answer back as it arrives. It takes a
//! request only if it has memory for it, reaches the service, and would send to the server itself.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_stream::stream;
use bytes::Bytes;
use eyre::Result;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Request, Response, StatusCode};
use tokio::net::TcpListener;
use tokio::sync::watch;

use super::Relay;
use super::attempt::{record_foreign, record_reply};
use super::call::Call;
use super::hop::{self, HopAction, HopFault, HopReply, HopRequest};
use super::keeping::{RequestReservation, read_body};
use super::known::{InFlightRequest, KnownServer};
use super::listen;
use super::plain::strip_hop_by_hop_headers;
use super::quarantine;
use super::reach;
use super::restraint::SendRestrictions;
use super::serve::build_call;
use crate::backend::{ConnectionUse, Exchange, RequestTag, SendFault};
use crate::decide::completeness::{EndFacts, Framing, StopState, judge_end};
use crate::decide::memory::{LOWEST_URGENCY, MemoryClaim};
use crate::decide::paths::Path;
use crate::http::gate::Gate;
use crate::http::listen::listen as listen_at;
use crate::http::server::{self, Limits};
use crate::http::{Body, whole};
use crate::telemetry::volume;

/// The most connections of other boxes. Each keeps a few, and more while it forwards.
const MAX_CONNECTIONS: usize = 512;

/// How long ago a server of the service may have answered for this box to vouch for its path.
const VOUCHED_TIME: Duration = Duration::from_secs(1);

/// Longest wait for the next piece of an answer. The deadline of the box that asked ends it earlier.
const READ_TIMEOUT: Duration = Duration::from_secs(3_600);

/// Outcome of a request whose answer came to its end.
const ANSWERED: &str = "answered";

/// Outcome of a request whose answer broke off behind its head.
const BROKEN_OFF: &str = "broken_off";

/// Outcome of a request whose answer the box that asked did not read to its end.
const CANCELLED: &str = "cancelled";

/// Opens the listener for other boxes, at another port if the one asked for is taken. The leader tells other boxes
/// where it is.
///
/// # Errors
/// If no address can be bound.
pub(super) async fn open(addr: SocketAddr) -> Result<TcpListener> {
    match TcpListener::bind(addr).await {
        Err(error) if error.kind() == io::ErrorKind::AddrInUse => {
            tracing::warn!(event = "forward_port_taken", %addr);
            listen_at(SocketAddr::new(addr.ip(), 0), "other boxes").await
        }
        Ok(listener) => Ok(listener),
        Err(_) => listen_at(addr, "other boxes").await,
    }
}

/// Serves other boxes until the process ends.
pub(super) fn serve(relay: &Arc<Relay>, listener: TcpListener) {
    let limits = Limits { callers: MAX_CONNECTIONS, ..listen::limits(&relay.context.settings) };
    let gate = Gate::charged(limits, relay.memory.clone());
    let serving = relay.clone();
    let handler = move |request| handle(serving.clone(), request);
    // A box that stops says so in its answers: a connection that it closes leaves open whether a request ran.
    let (open, closing) = watch::channel(false);
    tokio::spawn(async move {
        let _open = open;
        server::run(listener, gate, closing, handler, || fault_answer(HopFault::Busy)).await;
    });
}

async fn handle(relay: Arc<Relay>, request: Request<Incoming>) -> Response<Body> {
    match forward(&relay, request).await {
        Ok(response) => response,
        Err(fault) => {
            relay.context.metrics.count_forward(fault.name());
            fault_answer(fault)
        }
    }
}

fn fault_answer(fault: HopFault) -> Response<Body> {
    let mut response = Response::new(whole(Bytes::new()));
    *response.status_mut() = StatusCode::BAD_GATEWAY;
    HopReply::Failed(fault).write(response.headers_mut());
    response
}

async fn forward(
    relay: &Arc<Relay>,
    request: Request<Incoming>,
) -> Result<Response<Body>, HopFault> {
    let arrived = Instant::now();
    let guard = relay.context.board.begin_request();
    let (mut parts, body) = request.into_parts();
    let hop = HopRequest::take(&mut parts.headers, &relay.context.secret)?;
    let known = find_server(relay, &hop)?;
    if hop.action == HopAction::Probe {
        return probe(relay, &known).await;
    }
    let head = relay.context.dialect.read_call(&parts).map_err(|_| HopFault::Unsupported)?;
    let request = Request::from_parts(parts, ());
    let claim = MemoryClaim::Request { team: None, urgency: LOWEST_URGENCY };
    let memory = &relay.memory;
    let kept = RequestReservation::reserve(memory, &request, &claim, guard);
    let kept = kept.map_err(|_| HopFault::Busy)?;
    let limit = relay.table().map_or(0, |table| table.limits.body);
    let until = arrived + hop.time_left;
    let read = read_body(memory, &mut Some(body), limit, until, claim).await;
    let read = read.map_err(|_| HopFault::Busy)?;
    let call = build_call(None, LOWEST_URGENCY, head, request, read, arrived, until);
    // This box may know of a quarantined segment that the other one, cut off, does not.
    quarantine::check(relay, &call, &known.server.service).map_err(|_| HopFault::Unavailable)?;
    let mut flight = known.start_request(0, 0);
    let connection = ConnectionUse { reuse: hop.reuse, tag: RequestTag::of(&call.head.id) };
    let (addr, limit) = (known.server.addr, call.time_left());
    let sent = relay.context.pool.send(addr, to_request(&call), limit, connection);
    let sent = flight.unless_restarted(sent).await.flatten();
    let mut exchange = sent.map_err(|fault| explain(relay, &known, &fault))?;
    reach::record_direct(relay, &known, &exchange);
    let reply = relay.context.dialect.read_reply(&call, exchange.status, &exchange.headers);
    let head = match call.head.id.is_empty() {
        true => reply.unless_other(&mut exchange),
        false => reply.to_call(&mut exchange),
    };
    let Some(head) = head else {
        record_foreign(relay, &call, &known, &exchange, reply.named);
        return Err(HopFault::Broke);
    };
    record_reply(relay, &known, exchange.status, &head);
    let answer = ForwardedAnswer {
        relay: relay.clone(),
        id: call.head.id.clone(),
        exchange,
        flight,
        bytes: 0,
        outcome: CANCELLED,
        _kept: kept,
    };
    Ok(answer.respond())
}

/// The server, if this box would send to it.
fn find_server(relay: &Relay, hop: &HopRequest) -> Result<Arc<KnownServer>, HopFault> {
    // The box that asks has others, and its caller.
    if relay.is_closing() || !relay.stopping.has_time(hop.time_left) {
        return Err(HopFault::Busy);
    }
    let known = relay.servers.find(&hop.server).filter(|known| known.is_open());
    let known = known.ok_or(HopFault::Unavailable)?;
    let service = &known.server.service;
    if relay.paths().path(service, &known.server.id) == Path::Proxied {
        return Err(HopFault::CutOff);
    }
    match SendRestrictions::current(relay, service).is_paused(&known) {
        true => Err(HopFault::Unavailable),
        false => Ok(known),
    }
}

async fn probe(relay: &Relay, known: &KnownServer) -> Result<Response<Body>, HopFault> {
    let opened = relay.context.pool.probe(known.server.addr).await;
    opened.map_err(|fault| explain(relay, known, &fault))?;
    known.state.hear();
    let mut response = Response::new(whole(Bytes::new()));
    HopReply::Forwarded(Framing::Length).write(response.headers_mut());
    relay.context.metrics.count_forward(ANSWERED);
    Ok(response)
}

/// Says why there is no answer. This box can vouch for a failed connect only if it has just heard from the service:
/// otherwise its own path may be lost as well.
fn explain(relay: &Relay, known: &KnownServer, fault: &SendFault) -> HopFault {
    let servers = relay.servers.for_service(&known.server.service);
    let heard = servers.iter().filter_map(|it| it.state.heard_at()).max();
    let is_sure = heard.is_some_and(|at| at.elapsed() < VOUCHED_TIME);
    match HopFault::from(fault) {
        HopFault::NotSent | HopFault::Refused if !is_sure => HopFault::Unsure,
        fault => fault,
    }
}

fn to_request(call: &Call) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.path.clone().into();
    *request.headers_mut() = call.headers.clone();
    request
}

/// An answer on its way to the box that asked. What it holds is released at its end, or when that box closes its
/// connection, which cancels the request at the server.
struct ForwardedAnswer {
    relay: Arc<Relay>,
    /// The request's id.
    id: String,
    exchange: Exchange,
    flight: InFlightRequest,
    /// Bytes passed on.
    bytes: u64,
    /// How it ended, counted when it is dropped.
    outcome: &'static str,
    _kept: RequestReservation,
}

impl ForwardedAnswer {
    /// The answer as it arrives.
    fn respond(mut self) -> Response<Body> {
        let (status, mut headers) = (self.exchange.status, self.exchange.headers.clone());
        strip_hop_by_hop_headers(&mut headers);
        hop::strip(&mut headers);
        HopReply::Forwarded(self.exchange.framing).write(&mut headers);
        let pieces = stream! {
            loop {
                match self.next_piece().await {
                    Ok(Some(piece)) => yield Ok(Frame::data(piece)),
                    Ok(None) => {
                        self.record_end();
                        break;
                    }
                    Err(fault) => {
                        self.record_break(&fault);
                        // Ends the connection without the end of the answer.
                        yield Err(io::Error::other(fault.to_string()));
                        break;
                    }
                }
            }
        };
        let mut response = Response::new(BodyExt::boxed_unsync(StreamBody::new(pieces)));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }

    /// The next piece; `None` at the end. The box that asked does not know all that this one knows of the server, so
    /// an end that may be none is an error here.
    async fn next_piece(&mut self) -> Result<Option<Bytes>, SendFault> {
        let received = self.exchange.next(READ_TIMEOUT);
        let piece = self.flight.unless_restarted(received).await??;
        if piece.is_none() {
            let server_ended = self.flight.server().state.is_over();
            // Only the box that asked knows whether the run was stopped.
            let stop = StopState::Running;
            judge_end(&EndFacts { framing: self.exchange.framing, stop, server_ended })?;
        }
        self.bytes += piece.as_ref().map_or(0, |piece| piece.len() as u64);
        Ok(piece)
    }

    fn record_end(&mut self) {
        self.outcome = ANSWERED;
        let framing = self.exchange.framing;
        self.relay.context.metrics.count_answer_end(framing, "complete");
        if volume::allows_ordinary() {
            tracing::info!(
                event = "forward_ended", id = self.id, %framing, bytes = self.bytes,
                backend_server = %self.flight.server().server.id,
            );
        }
    }

    fn record_break(&mut self, fault: &SendFault) {
        self.outcome = BROKEN_OFF;
        let framing = self.exchange.framing;
        self.relay.context.metrics.count_answer_end(framing, "broken_off");
        tracing::info!(
            event = "forward_broke", id = self.id, %framing, bytes = self.bytes, detail = %fault,
            backend_server = %self.flight.server().server.id,
        );
    }
}

impl Drop for ForwardedAnswer {
    fn drop(&mut self) {
        self.relay.context.metrics.count_forward(self.outcome);
    }
}
