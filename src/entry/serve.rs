//! Sends each request its way.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use serde_json::json;

use super::complete::completion;
use super::ground::{Ground, need};
use super::keep::{fetch_work, keep};
use super::plain::{self, PlainRequest};
use super::request::{self, Head};
use super::unrepeatable::{Once, digest};
use crate::blackboard::RequestGuard;
use crate::decide::stop::LateRequest;
use crate::error::{Failure, Kind};
use crate::http::answer::{self, Body, TRACE_HEADER};
use crate::http::head;
use crate::ids::ServiceName;
use crate::node::Node;
use crate::state::config::ServiceKind;
use crate::telemetry::hops::OpenHop;
use crate::units::Tokens;

/// The path prefix of plain services.
pub(super) const SERVICES: &str = "/services/";

/// The path prefix of kept work.
pub(super) const KEPT: &str = "/kept/";

/// The answer to a caller beyond the limit.
pub fn too_many() -> Response<Body> {
    let text = "the node has as many callers as it may";
    answer::failed(&Failure::new(Kind::TooManyCallers, text))
}

/// Answers one request.
pub async fn handle(node: Arc<Node>, request: Request<Incoming>) -> Response<Body> {
    let mut response = match request.uri().path() {
        "/healthz" => answer::json_answer(StatusCode::OK, &json!({ "ok": true })),
        "/readyz" => readiness(&node),
        _ => handle_work(node.clone(), request).await,
    };
    // Callers that know that this is the connection's last answer send nothing into its close.
    if node.stopping.time_left().is_some() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn readiness(node: &Node) -> Response<Body> {
    let fault = node.unready();
    let status = if fault.is_none() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    let value = json!({ "ready": fault.is_none(), "reason": fault, "phase": node.board.phase().to_string() });
    answer::json_answer(status, &value)
}

async fn handle_work(node: Arc<Node>, request: Request<Incoming>) -> Response<Body> {
    let guard = node.board.begin_request();
    if let Err(failure) = head::check(&request, node.settings.entry.head_limit) {
        return answer::failed(&failure);
    }
    let head = match Head::read(&request, &node.settings.entry) {
        Ok(head) => head,
        Err(failure) => return answer::failed(&failure),
    };
    let hop = OpenHop::begin("entry", &node.settings.node.box_id, head.trace);
    let head = Head { trace: hop.context, ..head };
    let result = tokio::select! {
        biased;
        result = route_request(&node, &head, request.into_body()) => result,
        () = node.stopping.ended() => Err(cut(&node)),
    };
    let (outcome, response) = match result {
        Ok(response) => ("answered".to_owned(), response),
        Err(failure) => {
            tracing::info!(
                event = "request_failed", kind = %failure.kind, run = %failure.kind.answer().run,
                detail = failure.detail, path = head.bare_path(), trace = head.trace.trace_text(),
            );
            (failure.kind.to_string(), answer::failed(&failure))
        }
    };
    hop.end(&node.board.hops, outcome);
    finish(response, &head, guard)
}

/// Adds the trace's id, and keeps the request counted until its answer's body is out.
fn finish(mut response: Response<Body>, head: &Head, guard: RequestGuard) -> Response<Body> {
    if let Ok(value) = HeaderValue::from_str(&head.trace.trace_text()) {
        response.headers_mut().insert(TRACE_HEADER, value);
    }
    response.map(|body| {
        body.map_frame(move |frame| {
            let _counted = &guard;
            frame
        })
        .boxed_unsync()
    })
}

async fn route_request(
    node: &Arc<Node>,
    head: &Head,
    body: Incoming,
) -> Result<Response<Body>, Failure> {
    match head.bare_path() {
        "/v1/completions" | "/v1/chat/completions" => {
            need_method(head, &Method::POST)?;
            let ground = Ground::read(node, head)?;
            let bytes = request::read_body(body, &node.settings.entry).await?;
            completion(node, head, ground, bytes).await
        }
        path if path.starts_with(SERVICES) => {
            let ground = Ground::read(node, head)?;
            let bytes = request::read_body(body, &node.settings.entry).await?;
            service(node, head, ground, bytes).await
        }
        path if path.starts_with(KEPT) => {
            need_method(head, &Method::GET)?;
            fetch_work(node, head).await
        }
        path => Err(Failure::new(Kind::NotFound, format!("no such path: {path}"))),
    }
}

/// The failure of a request that has no answer when the node has stopped.
fn cut(node: &Node) -> Failure {
    node.metrics.count_late("cut");
    Failure::new(Kind::Stopped, "the node stopped before the answer came")
}

/// Refuses a request that must not be repeated and may not end before the node does.
pub(super) fn check_late(node: &Node, head: &Head, is_repeatable: bool) -> Result<(), Failure> {
    let Some(left) = node.stopping.time_left() else {
        return Ok(());
    };
    let time_left = head.deadline.saturating_duration_since(Instant::now());
    let late = LateRequest { is_repeatable, time_left, expected: None, objective: Duration::ZERO };
    if late.ends_within(left) {
        return Ok(());
    }
    node.metrics.count_late("refused");
    tracing::info!(
        event = "request_late",
        path = head.bare_path(),
        trace = head.trace.trace_text(),
        stop_ms = left.as_millis() as u64,
        left_ms = time_left.as_millis() as u64,
    );
    Err(Failure::new(Kind::Draining, "the node stops before the answer may come; ask another"))
}

fn need_method(head: &Head, method: &Method) -> Result<(), Failure> {
    match head.method == *method {
        true => Ok(()),
        false => Err(Failure::new(Kind::BadMethod, format!("this path takes {method}"))),
    }
}

/// Answers a request to a plain service.
pub(super) async fn service(
    node: &Arc<Node>,
    head: &Head,
    ground: Ground,
    bytes: Bytes,
) -> Result<Response<Body>, Failure> {
    let rest = &head.path[SERVICES.len()..];
    let (name, path) = rest.split_at(rest.find(['/', '?']).unwrap_or(rest.len()));
    let name: ServiceName = name
        .parse()
        .map_err(|error| Failure::new(Kind::NotFound, format!("the service's name: {error}")))?;
    let service = ground.service(&name, ServiceKind::Plain)?;
    let safe = matches!(head.method, Method::GET | Method::HEAD | Method::OPTIONS);
    let repeatable = head.repeatable && (service.repeatable || safe);
    if head.may_wait {
        return keep(node, head, &ground, &bytes, repeatable).await;
    }
    check_late(node, head, repeatable)?;
    let need = need(node, Tokens(1), Tokens(0));
    let ruling = ground.rule(node, service, &ground.facts(node, head, &name, &need))?;
    let _admitted = ground.admit(node, need.prompt)?;
    let path = if path.starts_with('/') { path.to_owned() } else { format!("/{path}") };
    let digest = digest(&format!("{} {}", head.method, head.path), &bytes);
    let mut request = PlainRequest::new(head, path, bytes, service.silence.duration());
    request.repeatable = repeatable;
    let key = head.key.as_ref().filter(|_| !repeatable);
    request.once = key.map(|key| Once::new(&ground.name, key, digest));
    let wanted = ground.wanted(head, &name, need, ruling);
    plain::run(node, wanted, &request, head).await
}
