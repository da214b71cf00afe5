//! The listeners for callers, for other boxes and for the platform's load balancer.

use std::sync::Arc;
use std::time::Duration;

use eyre::Result;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::watch;

use super::{Relay, forward, serve};
use crate::backend::IDLE_TOTAL;
use crate::blackboard::Phase;
use crate::error::{Failure, Kind};
use crate::http::Body;
use crate::http::answer;
use crate::http::gate::Gate;
use crate::http::listen::listen;
use crate::http::server::{self, Limits};
use crate::settings::RelaySettings;

/// File descriptors that the process needs besides callers' connections: its files and listeners,
/// connections to the group, metrics scrapes, the load balancer, and callers that are being
/// refused.
const RESERVED_DESCRIPTORS: u32 = 400;

/// File descriptors for each caller: its connection and one to a backend server.
const DESCRIPTORS_PER_CALLER: u32 = 2;

/// The largest request head that is read, in bytes. The operators' limit is checked afterwards.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// How long a connection may be idle before its next head has arrived. Longer than the operators'
/// limit, so that the caller closes first.
const IDLE_TIMEOUT: Duration = Duration::from_secs(25);

/// The longest time a caller may take to accept a piece of its answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(15);

/// The maximum number of connections from the load balancer.
const MAX_BALANCER_CONNECTIONS: usize = 64;

/// The limits on callers' connections. The time for a head is set later, from the route table in
/// force.
pub(super) fn limits(settings: &RelaySettings) -> Limits {
    let descriptors = settings.descriptors.saturating_sub(RESERVED_DESCRIPTORS + IDLE_TOTAL as u32);
    Limits {
        callers: (descriptors / DESCRIPTORS_PER_CALLER) as usize,
        head: MAX_HEAD_BYTES,
        head_time: IDLE_TIMEOUT,
        rest_time: IDLE_TIMEOUT,
        write_time: WRITE_TIMEOUT,
    }
}

/// The listeners of a relay.
pub struct Listeners {
    callers: TcpListener,
    boxes: TcpListener,
    balancer: TcpListener,
}

impl Listeners {
    /// Opens the listeners at the addresses in the settings.
    ///
    /// # Errors
    ///
    /// If an address cannot be bound.
    pub async fn open(relay: &Relay) -> Result<Self> {
        let settings = &relay.context.settings;
        let (callers, balancer, boxes) = tokio::try_join!(
            listen(settings.listen, "callers"),
            listen(settings.ready, "the balancer"),
            forward::open(settings.forward)
        )?;
        let _ = relay.forward_addr.set(boxes.local_addr()?);
        tracing::info!(event = "listening", side = "relay", addr = %callers.local_addr()?);
        tracing::info!(event = "listening", side = "ready", addr = %balancer.local_addr()?);
        tracing::info!(event = "listening", side = "forward", addr = %boxes.local_addr()?);
        Ok(Self { callers, boxes, balancer })
    }

    /// Serves both listeners until the process ends.
    pub fn serve(self, relay: &Arc<Relay>) {
        let serving = relay.clone();
        let handler = move |request| serve::handle(serving.clone(), request);
        let closing = relay.context.closing.clone();
        let gate = relay.gate.clone();
        tokio::spawn(server::run(self.callers, gate, closing, handler, too_many_callers));
        forward::serve(relay, self.boxes);
        let asked = relay.clone();
        let answer_readiness = move |_: Request<Incoming>| {
            let answer = readiness(&asked);
            async move { answer }
        };
        let limits =
            Limits { callers: MAX_BALANCER_CONNECTIONS, ..limits(&relay.context.settings) };
        // The load balancer gets answers until the process exits, so its listener never closes.
        let (open, closing) = watch::channel(false);
        tokio::spawn(async move {
            let _open = open;
            server::run(
                self.balancer,
                Gate::new(limits),
                closing,
                answer_readiness,
                too_many_callers,
            )
            .await;
        });
    }
}

fn too_many_callers() -> Response<Body> {
    let text = "the box has as many callers as it may";
    answer::failed(&Failure::new(Kind::TooManyCallers, text))
}

/// Why the load balancer should not send callers to this box; `None` if it should.
fn unready_reason(relay: &Relay) -> Option<&'static str> {
    if relay.context.board.phase() == Phase::Draining {
        return Some("draining");
    }
    if relay.table().is_none() {
        return Some("no routes are known yet");
    }
    let certainty = relay.certainty();
    let is_sure = certainty.may_trust_keys() && certainty.may_use_routes();
    (!is_sure).then_some("the routes may be out of date")
}

fn readiness(relay: &Relay) -> Response<Body> {
    let fault = unready_reason(relay);
    let status = if fault.is_none() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    answer::json_answer(status, &json!({ "ready": fault.is_none(), "reason": fault }))
}
