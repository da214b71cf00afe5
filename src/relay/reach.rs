//! Reaches backend servers: over this box's own connections, or through another box where its path is lost.
//!
//! A request that cannot be sent because no connection opens goes through another box, and what that box answers tells
//! whether the path or the server is at fault. The decisions are in [`crate::decide::paths`] and
//! [`crate::decide::proxies`].

use std::collections::VecDeque;
use std::pin::pin;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use rand::seq::IteratorRandom;
use tokio::sync::Notify;

use super::Relay;
use super::hop::{HopAction, HopFault, HopReply, HopRequest};
use super::known::KnownServer;
use crate::backend::{ConnectionUse, Exchange, Reuse, SendFault, Unsent};
use crate::decide::completeness::Framing;
use crate::decide::paths::{Path, PathChange};
use crate::decide::proxies::ProxyLease;
use crate::decide::releases::AnswerOutcome;
use crate::ids::{BackendId, BoxId, Release, ServiceName};
use crate::sync::lock;

/// The most boxes that are asked to send one request.
const MAX_PROXIES_TRIED: usize = 3;

/// How long a proxy gets no request after it could not be reached.
const UNREACHED_REST: Duration = Duration::from_secs(1);

/// How long it gets none after it had no room.
const BUSY_REST: Duration = Duration::from_millis(100);

/// How long it gets none after it did not reach the service itself.
const CUT_OFF_REST: Duration = Duration::from_secs(2);

/// How long it gets none after it refused to forward at all.
const REJECTED_REST: Duration = Duration::from_secs(30);

/// A request without an answer for this long has the paths of its service checked, unless a server of the service was
/// heard from in the meantime. Connections that were open when a path was lost may hang without any other sign.
const SILENCE_DELAY: Duration = Duration::from_millis(400);

/// Time between two checks of a service's paths.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// How many further servers of a service are checked when one turns out to be blocked.
const FURTHER_CHECKS: usize = 2;

/// How long another box may take to answer a probe: it may wait for a connection itself.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long a broken exchange is kept before it counts against the server's release: by then it is known whether the
/// path was lost.
const VERDICT_DELAY: Duration = Duration::from_millis(500);

/// The most broken exchanges that are kept; more are counted at once.
const MAX_PENDING_BREAKS: usize = 1_024;

/// A broken exchange that may count against a release.
struct PendingBreak {
    at: Instant,
    service: ServiceName,
    release: Release,
    route: String,
}

/// What the task that checks paths has to do.
#[derive(Default)]
pub struct PathChecks {
    silent: Mutex<Vec<Arc<KnownServer>>>,
    broken: Mutex<VecDeque<PendingBreak>>,
    requested: Notify,
}

/// What became of a request that was handed to other boxes.
enum Proxied {
    /// No box took it, and none of it was sent to a server.
    Untaken,
    /// A box had it. `is_reached` says whether that box reached the server.
    Taken { result: Result<Box<Exchange>, SendFault>, is_reached: bool },
}

/// Sends a request to a server and waits for the head of the answer, for at most `limit`.
///
/// # Errors
/// What is known of the request then. [`SendFault::Refused`] only if the server has ended, as far as can be told.
pub(super) async fn send(
    relay: &Relay,
    known: &Arc<KnownServer>,
    request: Request<Full<Bytes>>,
    limit: Duration,
    connection: impl Into<ConnectionUse>,
) -> Result<Exchange, SendFault> {
    let connection = connection.into();
    let began = Instant::now();
    let (service, id) = (&known.server.service, &known.server.id);
    if relay.paths().path(service, id) == Path::Proxied {
        return match send_through(relay, known, &request, HopAction::Send, limit, connection.reuse)
            .await
        {
            Proxied::Taken { result, .. } => result.map(|exchange| *exchange),
            Proxied::Untaken => Err(SendFault::NotSent(format!(
                "{id} is not reached, and no other box sends the request"
            ))),
        };
    }
    match send_direct(relay, known, request, limit, connection).await {
        Ok(exchange) => {
            record_direct(relay, known, &exchange);
            Ok(exchange)
        }
        Err(unsent) => match *unsent {
            Unsent { fault, request: Some(request) } => {
                count_connect(relay, known, &fault);
                let left = limit.saturating_sub(began.elapsed());
                send_instead(relay, known, request, fault, left, connection.reuse).await
            }
            Unsent { fault, request: None } => Err(fault),
        },
    }
}

/// Sends a request over this box's own connections. If the answer takes long, the paths are checked.
async fn send_direct(
    relay: &Relay,
    known: &Arc<KnownServer>,
    request: Request<Full<Bytes>>,
    limit: Duration,
    connection: ConnectionUse,
) -> Result<Exchange, Box<Unsent>> {
    let pool = &relay.context.pool;
    let mut sending = pin!(pool.send_or_return(known.server.addr, request, limit, connection));
    tokio::select! {
        biased;
        sent = &mut sending => return sent,
        () = tokio::time::sleep(SILENCE_DELAY) => {}
    }
    if !relay.proxies().is_empty() {
        lock(&relay.path_checks.silent).push(known.clone());
        relay.path_checks.requested.notify_one();
    }
    sending.await
}

/// Sends a request that could not be sent directly through another box.
async fn send_instead(
    relay: &Relay,
    known: &Arc<KnownServer>,
    request: Request<Full<Bytes>>,
    fault: SendFault,
    limit: Duration,
    reuse: Reuse,
) -> Result<Exchange, SendFault> {
    match send_through(relay, known, &request, HopAction::Send, limit, reuse).await {
        Proxied::Taken { result, is_reached: true } => {
            note_blocked(relay, known);
            result.map(|exchange| *exchange)
        }
        Proxied::Taken { result: Err(refused @ SendFault::Refused(_)), .. } => Err(refused),
        Proxied::Taken { result: Err(other), .. } if !other.is_not_sent() => Err(other),
        Proxied::Taken { .. } | Proxied::Untaken => {
            Err(unless_impaired(relay, &known.server.service, fault))
        }
    }
}

/// A refusal proves that a server has ended only if it is not the path that refuses.
fn unless_impaired(relay: &Relay, service: &ServiceName, fault: SendFault) -> SendFault {
    match fault {
        SendFault::Refused(text)
            if relay.paths().was_impaired(service, Instant::now() - VERDICT_DELAY) =>
        {
            SendFault::NotSent(text)
        }
        fault => fault,
    }
}

/// Whether another box reaches a server; `None` if none can tell.
pub(super) async fn is_reached_by_others(relay: &Relay, known: &Arc<KnownServer>) -> Option<bool> {
    let request = Request::new(Full::new(Bytes::new()));
    let (action, limit) = (HopAction::Probe, PROBE_TIMEOUT);
    match send_through(relay, known, &request, action, limit, Reuse::Any).await {
        Proxied::Taken { result: Ok(_), is_reached } => Some(is_reached),
        Proxied::Taken { result: Err(fault), .. } => fault.is_not_sent().then_some(false),
        Proxied::Untaken => None,
    }
}

/// Whether a server whose address refuses connections has ended; not if only this box's path is lost.
pub(super) async fn has_ended(relay: &Relay, known: &Arc<KnownServer>, broke_at: Instant) -> bool {
    match is_reached_by_others(relay, known).await {
        Some(true) => {
            note_blocked(relay, known);
            false
        }
        Some(false) => true,
        None => !relay.paths().was_impaired(&known.server.service, broke_at),
    }
}

/// Has other boxes send a request, one after the other until one takes it.
async fn send_through(
    relay: &Relay,
    known: &KnownServer,
    request: &Request<Full<Bytes>>,
    action: HopAction,
    limit: Duration,
    reuse: Reuse,
) -> Proxied {
    let deadline = Instant::now() + limit;
    let mut tried: Vec<BoxId> = Vec::new();
    while tried.len() < MAX_PROXIES_TRIED {
        let now = Instant::now();
        let Some(lease) = relay.proxies().claim(&tried, now, rand::random::<f64>) else {
            break;
        };
        let time_left = deadline.saturating_duration_since(now);
        let hop = HopRequest { action, server: known.server.id.clone(), time_left, reuse };
        let mut handed = request.clone();
        hop.write(handed.headers_mut(), &relay.context.secret);
        // The other box may close a connection just as an unrepeatable request is sent on it.
        let between = if reuse == Reuse::Any { Reuse::Any } else { Reuse::Never };
        let addr = lease.proxy.addr;
        let box_id = lease.proxy.box_id.clone();
        let sent = relay.context.pool.send(addr, handed, time_left, between).await;
        match read_reply(sent, lease) {
            Ok(taken) => {
                relay.context.metrics.count_proxied("taken");
                return taken;
            }
            Err(rest) => {
                tracing::info!(
                    event = "proxy_passed_over", proxy = %box_id, backend_server = %known.server.id,
                    reason = rest.reason,
                );
                relay.proxies().rest(&box_id, rest.time, Instant::now());
                relay.context.metrics.count_proxied(rest.reason);
                tried.push(box_id);
            }
        }
    }
    Proxied::Untaken
}

/// Why a box did not take a request, and how long it gets none.
struct ProxyRest {
    reason: &'static str,
    time: Duration,
}

/// What a box answered; an error if it did not take the request.
fn read_reply(sent: Result<Exchange, SendFault>, lease: ProxyLease) -> Result<Proxied, ProxyRest> {
    let taken = |result, is_reached| Ok(Proxied::Taken { result, is_reached });
    let through = |box_id: &BoxId| format!("through {box_id}");
    let place = through(&lease.proxy.box_id);
    let mut exchange = match sent {
        Ok(exchange) => exchange,
        Err(fault) if fault.is_not_sent() => {
            return Err(ProxyRest { reason: "unreached", time: UNREACHED_REST });
        }
        Err(fault) => return taken(Err(fault), false),
    };
    match HopReply::take(&mut exchange.headers) {
        HopReply::Forwarded(framing) => {
            // The end of the other box's answer proves nothing of the server's.
            exchange.framing = match exchange.framing {
                Framing::Close => Framing::Close,
                Framing::Length | Framing::Chunked => framing,
            };
            // The connect was to the other box, which says nothing of the distance to the server.
            (exchange.connect, exchange.lease) = (None, Some(lease));
            taken(Ok(Box::new(exchange)), true)
        }
        HopReply::Unknown => {
            taken(Err(SendFault::Broke(format!("{place}: no known answer"))), false)
        }
        HopReply::Failed(fault) => match fault {
            HopFault::Busy => Err(ProxyRest { reason: fault.name(), time: BUSY_REST }),
            HopFault::CutOff => Err(ProxyRest { reason: fault.name(), time: CUT_OFF_REST }),
            HopFault::Unsure | HopFault::Unavailable => {
                Err(ProxyRest { reason: fault.name(), time: Duration::ZERO })
            }
            HopFault::Unauthorized | HopFault::Unsupported => {
                Err(ProxyRest { reason: fault.name(), time: REJECTED_REST })
            }
            HopFault::NotSent => taken(Err(SendFault::NotSent(place)), false),
            HopFault::Refused => taken(Err(SendFault::Refused(place)), false),
            HopFault::Broke => taken(Err(SendFault::Broke(place)), true),
            HopFault::TimedOut => taken(Err(SendFault::TimedOut), true),
        },
    }
}

/// Records an answer that came over this box's own connection.
pub(super) fn record_direct(relay: &Relay, known: &KnownServer, exchange: &Exchange) {
    known.state.hear();
    if exchange.connect.is_some() {
        relay.context.metrics.count_connect(known.server.service.as_str(), "open");
        relay.paths().record_open(&known.server.service, &known.server.id, Instant::now());
    }
}

fn count_connect(relay: &Relay, known: &KnownServer, fault: &SendFault) {
    let outcome = match fault {
        SendFault::Refused(_) => "refused",
        SendFault::NotSent(_) | SendFault::Broke(_) => "failed",
        SendFault::TimedOut
        | SendFault::TooLarge(_)
        | SendFault::Endless(_)
        | SendFault::Status(_) => return,
    };
    relay.context.metrics.count_connect(known.server.service.as_str(), outcome);
}

/// Records that another box reaches a server that this box does not.
fn note_blocked(relay: &Relay, known: &KnownServer) {
    let (service, id) = (&known.server.service, &known.server.id);
    let listed = relay.servers.for_service(service);
    let change = relay.paths().record_blocked(service, id, listed.len(), Instant::now());
    relay.context.pool.forget(known.server.addr);
    relay.path_checks.requested.notify_one();
    let Some(change) = change else {
        return;
    };
    // What is left of open connections may hang.
    listed.iter().for_each(|it| relay.context.pool.forget(it.server.addr));
    log_change(relay, service, change);
}

fn log_change(relay: &Relay, service: &ServiceName, change: PathChange) {
    let proxies = relay.proxies().len();
    match change {
        PathChange::Lost { blocked } => {
            tracing::warn!(event = "server_paths_lost", %service, blocked, proxies);
        }
        PathChange::Restored { after } => {
            let lost_ms = after.as_millis() as u64;
            tracing::info!(event = "server_paths_restored", %service, lost_ms);
        }
    }
    relay.paths_changed.notify_one();
}

/// Counts a broken exchange against the server's release, unless it turns out that the path was lost.
pub(super) fn record_break(relay: &Relay, known: &KnownServer, route: &str) {
    let server = &known.server;
    let mut broken = lock(&relay.path_checks.broken);
    if !relay.releases().has_trial(&server.service) {
        return;
    }
    if broken.len() >= MAX_PENDING_BREAKS || relay.proxies().is_empty() {
        drop(broken);
        relay.record_outcome(known, route, AnswerOutcome::Failed);
        return;
    }
    broken.push_back(PendingBreak {
        at: Instant::now(),
        service: server.service.clone(),
        release: server.release.clone(),
        route: route.to_owned(),
    });
    drop(broken);
    relay.path_checks.requested.notify_one();
}

/// Checks and probes paths until the task is dropped.
pub async fn run(relay: Arc<Relay>) {
    loop {
        let now = Instant::now();
        let listed = |service: &ServiceName| listed_ids(&relay, service);
        let due = {
            let mut paths = relay.paths();
            paths.retain(listed);
            paths.due_probes(now, listed, rand::random::<f64>)
        };
        for (service, server) in due {
            tokio::spawn(probe(relay.clone(), service, server));
        }
        check_silent(&relay, now);
        count_breaks(&relay, now);
        let next_break = lock(&relay.path_checks.broken).front().map(|it| it.at + VERDICT_DELAY);
        let next = [relay.paths().next_probe(), next_break].into_iter().flatten().min();
        let requested = relay.path_checks.requested.notified();
        match next {
            Some(next) => drop(tokio::time::timeout_at(next.into(), requested).await),
            None => requested.await,
        }
    }
}

fn listed_ids(relay: &Relay, service: &ServiceName) -> Vec<BackendId> {
    let servers = relay.servers.for_service(service);
    let open = servers.iter().filter(|known| known.is_open());
    open.map(|known| known.server.id.clone()).collect()
}

/// Counts the broken exchanges whose paths turned out to be sound.
fn count_breaks(relay: &Relay, now: Instant) {
    let mut due = Vec::new();
    {
        let mut broken = lock(&relay.path_checks.broken);
        while broken.front().is_some_and(|it| it.at + VERDICT_DELAY <= now) {
            due.extend(broken.pop_front());
        }
    }
    for it in due {
        if !relay.paths().was_impaired(&it.service, it.at) {
            relay.record_release_outcome(
                &it.service,
                &it.release,
                &it.route,
                AnswerOutcome::Failed,
            );
        }
    }
}

/// Checks the paths of services with silent servers. Nothing is checked if the service was heard from since, or was
/// checked just now.
fn check_silent(relay: &Arc<Relay>, now: Instant) {
    for known in std::mem::take(&mut *lock(&relay.path_checks.silent)) {
        let service = &known.server.service;
        let servers = relay.servers.for_service(service);
        let heard = servers.iter().filter_map(|it| it.state.heard_at()).max();
        let is_silent = heard.is_none_or(|at| at + SILENCE_DELAY <= now);
        if !is_silent || !relay.paths().begin_check(service, now, CHECK_INTERVAL) {
            continue;
        }
        tokio::spawn(check_path(relay.clone(), known));
    }
}

/// Checks a silent server, and others of its service if it is blocked. Many answers take long, so a single connection
/// has to do as long as it opens.
async fn check_path(relay: Arc<Relay>, known: Arc<KnownServer>) {
    if !is_blocked(&relay, &known).await {
        return;
    }
    let servers = relay.servers.for_service(&known.server.service);
    let others = servers.iter().filter(|it| it.is_open() && it.server.id != known.server.id);
    for other in others.cloned().choose_multiple(&mut rand::rng(), FURTHER_CHECKS) {
        let relay = relay.clone();
        tokio::spawn(async move { is_blocked(&relay, &other).await });
    }
}

/// Checks whether another box reaches a server that this one does not, and records the result.
async fn is_blocked(relay: &Relay, known: &Arc<KnownServer>) -> bool {
    if relay.context.pool.probe(known.server.addr).await.is_ok() {
        let server = &known.server;
        relay.paths().record_open(&server.service, &server.id, Instant::now());
        return false;
    }
    let is_blocked = is_reached_by_others(relay, known).await == Some(true);
    if is_blocked {
        note_blocked(relay, known);
    }
    is_blocked
}

/// Finds out whether a lost path is back.
async fn probe(relay: Arc<Relay>, service: ServiceName, server: BackendId) {
    let Some(known) = relay.servers.find(&server) else {
        return;
    };
    let has_opened = relay.context.pool.probe(known.server.addr).await.is_ok();
    let listed = listed_ids(&relay, &service).len();
    let change = relay.paths().record_probe(&service, &server, has_opened, listed, Instant::now());
    if let Some(change) = change {
        log_change(&relay, &service, change);
    }
    relay.path_checks.requested.notify_one();
}
