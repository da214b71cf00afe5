//! Handles a request from arrival to answer.

use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::{Body as _, Incoming};
use hyper::header::{CONNECTION, EXPECT, HeaderValue};
use hyper::http::uri::PathAndQuery;
use hyper::{Request, Response};

use super::Relay;
use super::attempt::{retry_limit, seconds_since};
use super::attempts::CallAttempts;
use super::authorize::{
    Authorization, RequestTarget, authorize, configuration_wait, uncertain, wait_for_newest,
};
use super::call::{Call, CallHead};
use super::keeping::{RequestReservation, read_body};
use super::plain::{self, strip_hop_by_hop_headers};
use super::quarantine;
use super::resume;
use super::stopping;
use super::stream;
use super::table::{Route, RouteTable, Team};
use super::taking;
use crate::clock;
use crate::decide::allowance::{MAX_ALLOWANCE_WAIT, next_demand_pause};
use crate::decide::choose::choose_weighted;
use crate::decide::memory::{LOWEST_URGENCY, MemoryClaim};
use crate::error::{Failure, Kind, RunState};
use crate::http::answer;
use crate::http::gate::Busy;
use crate::http::{Body, head, server};
use crate::ids::{ServiceName, TeamName};
use crate::telemetry::volume;

/// Allowance waits of at least this length are logged.
const LOGGED_ALLOWANCE_WAIT: Duration = Duration::from_millis(20);

/// Idle connections closed for each request when memory is short. Together they free about as much
/// memory as a request takes without its body.
const IDLE_CLOSED_PER_REQUEST: usize = 2;

/// Urgency levels per step of a team's priority; a step of a route's priority counts 1.
const TEAM_PRIORITY_WEIGHT: u8 = 3;

/// Answers one request. Failures become refusals; this function never fails.
pub async fn handle(relay: Arc<Relay>, request: Request<Incoming>) -> Response<Body> {
    let arrived = Instant::now();
    let (parts, body) = request.into_parts();
    let mut body = Some(body);
    let busy = parts.extensions.get::<Arc<Busy>>().cloned();
    let read = relay.context.dialect.read_call(&parts);
    let id = read.as_ref().map(|head| head.id.clone()).unwrap_or_default();
    let expects_continue = parts.headers.contains_key(EXPECT);
    let request = Request::from_parts(parts, ());
    let result = match read {
        Ok(head) => serve(&relay, request, &mut body, head, arrived).await,
        Err(failure) => Err(failure),
    };
    let mut response = match result {
        Ok(response) => response,
        Err(failure) => {
            let closes = matches!(failure.kind, Kind::NoMemory | Kind::TooLarge | Kind::SlowCaller);
            let mut response =
                build_refusal(&relay, &id, &soften_uncertain_denial(&relay, failure), arrived);
            let unread = body.filter(|body| !body.is_end_stream());
            if let (Some(busy), Some(body)) = (busy, unread) {
                if closes {
                    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                // Closing a socket with unread bytes sends a reset, which could discard the
                // refusal.
                if !expects_continue {
                    server::drain(busy, body);
                }
            }
            response
        }
    };
    // Callers that know that this is the connection's last answer send nothing into its close.
    if relay.stopping.has_begun() || relay.is_closing() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Turns a permanent refusal into a temporary one where the routes it is based on may be out of
/// date. Callers do not retry after a permanent refusal, although the route or key may already be
/// in force on other boxes.
fn soften_uncertain_denial(relay: &Relay, failure: Failure) -> Failure {
    match failure.kind {
        Kind::NotFound | Kind::UnknownKey | Kind::TooLarge | Kind::HeadTooLarge
            if !relay.certainty().may_reject_unknown() =>
        {
            uncertain(&format!("{}, by routes that may be out of date", failure.detail))
        }
        _ => failure,
    }
}

/// Builds, logs and counts the answer to a failed request.
fn build_refusal(relay: &Relay, id: &str, failure: &Failure, arrived: Instant) -> Response<Body> {
    tracing::info!(
        event = "request_failed", id, kind = %failure.kind, run = %failure.kind.answer().run,
        detail = failure.detail, wait_ms = failure.retry_after.map(|wait| wait.as_millis() as u64),
        ms = arrived.elapsed().as_millis() as u64, version = relay.table().map(|it| it.version.0),
        age_ms = relay.context.board.age().map(|age| age.as_millis() as u64),
        newest = relay.context.board.newest().0, list = %relay.servers.version(),
    );
    relay.context.metrics.count_request("-", failure.kind.answer().code);
    let mut response = answer::failed(failure);
    let id = Some(id).filter(|id| !id.is_empty());
    relay.context.dialect.mark_relay_answer(response.headers_mut(), id, failure.retry_after);
    response
}

async fn serve(
    relay: &Arc<Relay>,
    request: Request<()>,
    body: &mut Option<Incoming>,
    head: CallHead,
    arrived: Instant,
) -> Result<Response<Body>, Failure> {
    let guard = relay.context.board.begin_request();
    relay.wait_until_initialized(configuration_wait(&head)).await;
    let target = RequestTarget::of(&request);
    wait_for_newest(relay, &target, &head).await;
    let table = relay.table().ok_or_else(|| uncertain("no routes are known yet"))?;
    head::check(&request, table.limits.head)?;
    let authorized = authorize(relay, &target, &head)?;
    let (team, route) = (authorized.team.as_ref(), &authorized.route);
    let id = head.id.clone();
    let timeout = head.timeout.unwrap_or(route.timeout).min(route.timeout);
    let until = arrived + timeout;
    if relay.is_closing() {
        return Err(stopping::refusal("the box is stopping; ask another"));
    }
    stopping::check(relay, &id, route, until.saturating_duration_since(Instant::now()))?;
    let urgency = urgency(team, route);
    let claim = MemoryClaim::Request { team: team.map(|team| team.name.clone()), urgency };
    relay.gate.relieve(IDLE_CLOSED_PER_REQUEST);
    let kept = RequestReservation::reserve(&relay.memory, &request, &claim, guard)?;
    let read = tokio::select! {
        biased;
        read = read_body(&relay.memory, body, table.limits.body, until, claim) => read?,
        () = relay.stopping.ended() => return Err(stopping::refusal("the box has stopped; ask another")),
    };
    let call = build_call(team, urgency, head, request, read, arrived, until);
    quarantine::check_route(relay, &call, route)?;
    let charged = take_allowance(relay, team, &call).await?;
    let name = team.map(|team| team.name.clone());
    let refund = |failure: &Failure| {
        if let (RunState::NotRun, Some(name)) = (failure.kind.answer().run, &name) {
            relay.allowances().refund(name, charged);
        }
    };
    let renewed = authorized.renew(relay, &target, &call.head).await;
    let Authorization { table, route, team } = renewed.inspect_err(refund)?;
    let service = choose_service(&route)?;
    let origin = resume::find_origin(relay, &call, &route, &service).await;
    let origin = origin.inspect_err(refund)?;
    let service = origin.as_ref().map_or(service, |origin| origin.service.clone());
    relay.retries().deposit(&service, &retry_limit(relay));
    relay.offered().count(&service, call.head.generation.unwrap_or_default(), route.objective);
    let call = Arc::new(call);
    let (relay_kept, call_kept, route_kept) = (relay.clone(), call.clone(), route.clone());
    let answered = match route.repeat.is_stream() {
        true => {
            let begun_by = origin.map(|origin| origin.release);
            let attempts = CallAttempts::continuing(service.clone(), begun_by);
            stream::answer(relay_kept, call_kept, route_kept, attempts, kept).await
        }
        false => plain::answer(relay, &call, &route, &service).await.map(|answer| {
            answer
                .response(|body| taking::whole_body(relay_kept, call_kept, route_kept, kept, body))
        }),
    };
    match answered {
        Ok(response) => {
            if !route.repeat.is_stream() {
                relay.stopping.record_time(&route, arrived.elapsed());
            }
            let name = team.as_ref().map_or("-", |team| team.name.as_str());
            log_answer(relay, &table, &route, name, &response, &id, arrived);
            relay.context.metrics.count_request(name, "answered");
            relay.context.metrics.record_first_token(name, seconds_since(arrived));
            Ok(response)
        }
        Err(failure) => {
            // Time lost to this box's own links is not the engines'.
            let is_reached = || !relay.paths().was_impaired(&service, arrived);
            if failure.kind == Kind::BackendTimeout && is_reached() {
                relay.engines().record_served(&service, true);
                relay.stopping.record_time(&route, arrived.elapsed());
            }
            refund(&failure);
            Err(failure)
        }
    }
}

/// Logs a forwarded answer: always if it is late or a failure, otherwise within the log's volume
/// limit.
fn log_answer(
    relay: &Relay,
    table: &RouteTable,
    route: &Route,
    team: &str,
    response: &Response<Body>,
    id: &str,
    arrived: Instant,
) {
    let late = arrived.elapsed() > route.objective;
    let ordinary = !late && response.status().is_success();
    if ordinary && !volume::allows_ordinary() {
        return;
    }
    tracing::info!(
        event = "request_answered", id, route = route.name, team,
        status = response.status().as_u16(), late, ms = arrived.elapsed().as_millis() as u64,
        version = table.version.0, age_ms = relay.context.board.age().map(|age| age.as_millis() as u64),
        newest = relay.context.board.newest().0, list = %relay.servers.version(),
    );
}

fn choose_service(route: &Route) -> Result<ServiceName, Failure> {
    let weights: Vec<_> = route.splits.iter().map(|split| split.weight).collect();
    let place = choose_weighted(&weights, rand::random::<f64>());
    let chosen = place.and_then(|place| route.splits.get(place));
    chosen
        .map(|split| split.service.clone())
        .ok_or_else(|| Failure::new(Kind::Internal, "the route leads to no service"))
}

/// Urgency of a request, where 0 is served first. The team's priority weighs more than the route's.
fn urgency(team: Option<&Team>, route: &Route) -> u8 {
    let urgency = team.map_or(0, |team| team.priority.saturating_mul(TEAM_PRIORITY_WEIGHT));
    urgency.saturating_add(route.priority).min(LOWEST_URGENCY)
}

pub(super) fn build_call(
    team: Option<&Team>,
    urgency: u8,
    head: CallHead,
    request: Request<()>,
    body: Bytes,
    arrived: Instant,
    deadline: Instant,
) -> Call {
    let (mut parts, ()) = request.into_parts();
    strip_hop_by_hop_headers(&mut parts.headers);
    parts.headers.remove(EXPECT);
    let path = parts.uri.path_and_query().cloned();
    let path = path.unwrap_or_else(|| PathAndQuery::from_static("/"));
    Call {
        head,
        method: parts.method,
        path,
        headers: parts.headers,
        body,
        team: team.map(|team| team.name.clone()),
        urgency,
        arrived,
        deadline,
    }
}

/// Charges a call against its team's allowance and returns the amount charged. If the allowance is
/// too small but the leader had more for the team, the leader is asked.
async fn take_allowance(relay: &Relay, team: Option<&Team>, call: &Call) -> Result<f64, Failure> {
    let Some(team) = team else {
        return Ok(0.0);
    };
    let tokens = call.head.generation.map(|_| call.max_tokens());
    let cost = team.cost(tokens);
    let began = tokio::time::Instant::now();
    let mut pause = Duration::ZERO;
    let shortage = loop {
        let shortage = match relay.allowances().claim(&team.name, cost, clock::now()) {
            Ok(()) => {
                record_wait(relay, &call.head.id, team, began);
                return Ok(cost);
            }
            Err(shortage) => shortage,
        };
        if !shortage.ask_leader
            || !wait_for_allowance(relay, &team.name, began + MAX_ALLOWANCE_WAIT, pause).await
        {
            break shortage;
        }
        pause = next_demand_pause(pause);
    };
    relay.allowances().record_refusal(&team.name, cost);
    let waited = began.elapsed().as_millis() as u64;
    tracing::info!(
        event = "allowance_refused", id = call.head.id, team = %team.name, units = cost as u64,
        exhausted = shortage.exhausted, known = shortage.known, waited_ms = waited,
    );
    if !shortage.exhausted {
        // No leader has reported the limit as exhausted, so the refusal must not claim it.
        return Err(uncertain("what the team may use is not known, as no leader answers in time"));
    }
    let text = format!("team {} is over its limit: {cost} asked for", team.name);
    Err(Failure::new(Kind::RateLimit, text).after(Some(shortage.retry_after)))
}

/// Has the leader asked for more allowance for a team after `pause` and waits for its answer.
/// Returns `false` if there is none by `until`.
async fn wait_for_allowance(
    relay: &Relay,
    team: &TeamName,
    until: tokio::time::Instant,
    pause: Duration,
) -> bool {
    if !pause.is_zero() {
        tokio::time::sleep_until(until.min(tokio::time::Instant::now() + pause)).await;
    }
    loop {
        let mut heard = pin!(relay.leader_replied.notified());
        heard.as_mut().enable();
        relay.demand_requested.notify_one();
        if tokio::time::timeout_at(until, heard).await.is_err() {
            return false;
        }
        if !relay.allowances().is_pending(team) {
            return true;
        }
    }
}

/// Records how long a request waited for its team's allowance; long waits are also logged.
fn record_wait(relay: &Relay, id: &str, team: &Team, began: tokio::time::Instant) {
    let waited = began.elapsed();
    relay.context.metrics.record_allowance_wait(waited);
    if waited >= LOGGED_ALLOWANCE_WAIT {
        let (team, waited) = (&team.name, waited.as_millis() as u64);
        tracing::info!(event = "allowance_waited", id, %team, waited_ms = waited);
    }
}
