//! Requests to plain services: forwarded whole, answered whole.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{ACCEPT, CONTENT_TYPE, HeaderName, HeaderValue};
use hyper::{HeaderMap, Method, Request, Response, StatusCode};

use super::dispatch::{Chosen, Wanted};
use super::request::Head;
use super::unrepeatable::{Once, Permission};
use crate::backend::{Exchange, Reuse, SendFault};
use crate::decide::completeness::{EndFacts, StopState, judge_end};
use crate::error::{Failure, Kind, RunState};
use crate::http::answer::{self, Body};
use crate::ids::AttemptId;
use crate::node::Node;
use crate::state::ledger::{Outcome, RecordedAnswer};
use crate::telemetry::hops::{HEADER, OpenHop};

/// Attempts at one request at most.
const ATTEMPTS: usize = 4;

/// Bytes of an answer at most.
const ANSWER_LIMIT: usize = 8 << 20;

/// Bytes of an answer that the ledger records with its body.
const RECORD_LIMIT: usize = 256 << 10;

/// The caller's headers that go along.
const PASSED: [HeaderName; 2] = [ACCEPT, CONTENT_TYPE];

/// A request to a plain service.
#[derive(Debug, Clone)]
pub struct PlainRequest {
    /// The method.
    pub method: Method,
    /// The path and query at the service.
    pub path: String,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// The ledger's part, for an unrepeatable request under a key.
    pub once: Option<Once>,
    /// How long the service may be silent.
    pub silence: Duration,
}

impl PlainRequest {
    /// The request the head asks for, at `path` of the service.
    pub fn new(head: &Head, path: String, body: Bytes, silence: Duration) -> Self {
        let (method, headers) = (head.method.clone(), head.headers.clone());
        Self { method, path, headers, body, repeatable: head.repeatable, once: None, silence }
    }
}

/// A service's answer, whole.
#[derive(Debug, Clone)]
pub struct PlainAnswer {
    /// The status.
    pub status: StatusCode,
    /// The content type.
    pub content: Option<HeaderValue>,
    /// The body.
    pub body: Bytes,
}

impl PlainAnswer {
    fn record(&self) -> RecordedAnswer {
        let content = self.content.as_ref().and_then(|value| value.to_str().ok());
        let text = std::str::from_utf8(&self.body).ok().filter(|it| it.len() <= RECORD_LIMIT);
        RecordedAnswer {
            status: self.status.as_u16(),
            content: content.unwrap_or("application/octet-stream").to_owned(),
            body: text.map(str::to_owned),
        }
    }

    fn into_response(self) -> Response<Body> {
        let mut response = Response::new(answer::whole(self.body));
        *response.status_mut() = self.status;
        if let Some(content) = self.content {
            response.headers_mut().insert(CONTENT_TYPE, content);
        }
        answer::with_run(response, RunState::Done)
    }
}

/// Sends the request to one server after another, as far as that is allowed.
///
/// # Errors
/// What is known of the request when there is no answer.
pub async fn run(
    node: &Arc<Node>,
    mut wanted: Wanted,
    request: &PlainRequest,
    head: &Head,
) -> Result<Response<Body>, Failure> {
    let mut uncertain = false;
    loop {
        let found = node.dispatch.find(&wanted).await;
        let chosen = found.map_err(|failure| match uncertain {
            true => Failure { kind: Kind::BackendBroke, ..failure },
            false => failure,
        })?;
        wanted.accepted = true;
        let attempt = AttemptId::random();
        if let Some(once) = &request.once {
            match once.begin(node, &chosen.id, &attempt, head.trace).await? {
                Permission::Go => {}
                Permission::Answered(answer) => return Ok(answer::recorded(&answer)),
            }
        }
        match attempt_once(node, &chosen, request, &wanted, head).await {
            Ok(given) => {
                record(node, request, &attempt, Outcome::Done(given.record())).await;
                return Ok(given.into_response());
            }
            Err(fault) => {
                let proven = fault.is_not_sent();
                uncertain |= !proven;
                let outcome = if proven { Outcome::NotRun } else { Outcome::Unknown };
                record(node, request, &attempt, outcome).await;
                wanted.tried.push(chosen.id.clone());
                if !may_try_again(node, &wanted, request, proven) {
                    return Err(failure(&fault, uncertain));
                }
            }
        }
    }
}

async fn attempt_once(
    node: &Node,
    chosen: &Chosen,
    request: &PlainRequest,
    wanted: &Wanted,
    head: &Head,
) -> Result<PlainAnswer, SendFault> {
    let hop = OpenHop::begin("backend", &chosen.id, head.trace);
    let left = wanted.deadline.saturating_duration_since(Instant::now());
    let silence = request.silence.min(left);
    let outgoing = outgoing(chosen, request, &hop)?;
    let (began, restarts) = (Instant::now(), chosen.state.restarts());
    // Answers name no request, so that no other one may be due on the connection.
    let sent = node.pool.send(chosen.server.addr, outgoing, silence, Reuse::Never).await;
    let result = match sent {
        Ok(mut exchange) => {
            exchange.close_after();
            let framing = exchange.framing;
            let read = read_answer(exchange, silence).await;
            let server_ended = chosen.state.restarts() != restarts;
            let facts = EndFacts { framing, stop: StopState::Running, server_ended };
            read.and_then(|answer| Ok(judge_end(&facts).map(|()| answer)?))
        }
        Err(fault) => Err(fault),
    };
    let outcome = result.as_ref().map_or_else(fault_text, |_| "answered");
    hop.end(&node.board.hops, outcome);
    node.metrics.count_attempt(chosen.id.as_str(), outcome);
    match &result {
        Ok(_) => chosen.state.succeed(began.elapsed().as_secs_f64()),
        Err(_) => drop(chosen.state.fail()),
    }
    result
}

async fn read_answer(exchange: Exchange, silence: Duration) -> Result<PlainAnswer, SendFault> {
    let status = exchange.status;
    let content = exchange.headers.get(CONTENT_TYPE).cloned();
    let body = exchange.read_whole(ANSWER_LIMIT, silence).await?;
    Ok(PlainAnswer { status, content, body })
}

fn outgoing(
    chosen: &Chosen,
    request: &PlainRequest,
    hop: &OpenHop,
) -> Result<Request<Full<Bytes>>, SendFault> {
    let mut builder = Request::builder()
        .method(request.method.clone())
        .uri(&request.path)
        .header("host", chosen.server.addr.to_string())
        .header(HEADER, hop.context.to_string());
    for name in PASSED {
        if let Some(value) = request.headers.get(&name) {
            builder = builder.header(name, value);
        }
    }
    if let Some(once) = &request.once {
        builder = builder.header("idempotency-key", once.key.key.as_str());
    }
    let body = Full::new(request.body.clone());
    builder.body(body).map_err(|error| SendFault::NotSent(error.to_string()))
}

fn may_try_again(node: &Node, wanted: &Wanted, request: &PlainRequest, proven: bool) -> bool {
    if wanted.tried.len() >= ATTEMPTS || Instant::now() >= wanted.deadline {
        return false;
    }
    proven || request.repeatable && node.spend_retry()
}

fn failure(fault: &SendFault, uncertain: bool) -> Failure {
    let kind = match fault {
        SendFault::NotSent(_) | SendFault::Refused(_) if !uncertain => Kind::NotReached,
        SendFault::NotSent(_) | SendFault::Refused(_) | SendFault::Broke(_) => Kind::BackendBroke,
        SendFault::TimedOut => Kind::BackendTimeout,
        SendFault::TooLarge(_) | SendFault::Endless(_) | SendFault::Status(_) => {
            Kind::BackendInvalid
        }
    };
    Failure::new(kind, fault.to_string())
}

fn fault_text(fault: &SendFault) -> &'static str {
    match fault {
        SendFault::NotSent(_) | SendFault::Refused(_) => "not_run",
        SendFault::Broke(_) => "broke",
        SendFault::TimedOut => "silent",
        SendFault::TooLarge(_) | SendFault::Endless(_) | SendFault::Status(_) => "invalid",
    }
}

async fn record(node: &Node, request: &PlainRequest, attempt: &AttemptId, outcome: Outcome) {
    let Some(once) = &request.once else {
        return;
    };
    if !once.end(node, attempt, outcome).await {
        tracing::warn!(event = "outcome_not_recorded", attempt = %attempt);
    }
}
