//! Where callers and the platform's balancer reach a relay.

use std::sync::Arc;
use std::time::Duration;

use eyre::Result;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::watch;

use super::{Relay, serve};
use crate::backend::IDLE_TOTAL;
use crate::blackboard::Phase;
use crate::error::{Failure, Kind};
use crate::http::Body;
use crate::http::answer;
use crate::http::gate::Gate;
use crate::http::server::{self, Limits};
use crate::settings::RelaySettings;

/// Descriptors that the process needs for others than callers: its own files, listeners, links to the
/// group, readers of metrics, the balancer, and callers who are just refused.
const OWN_DESCRIPTORS: u32 = 400;

/// Descriptors of one caller: its connection, and one to a backend server.
const CALLER_DESCRIPTORS: u32 = 2;

/// Bytes of a head that are read; the operators' limit is checked behind that.
const HEAD_LIMIT: usize = 64 << 10;

/// How long a connection may rest before its next head has arrived: above the operators' limit, so
/// that it is the caller who closes first.
const REST_TIME: Duration = Duration::from_secs(25);

/// Time in which a caller takes a piece of its answer.
const WRITE_TIME: Duration = Duration::from_secs(15);

/// Connections of the balancer at the same time.
const BALANCERS: usize = 64;

/// What callers' connections are held to. The time for a head is that of the routes in force.
pub(super) fn limits(settings: &RelaySettings) -> Limits {
    let descriptors = settings.descriptors.saturating_sub(OWN_DESCRIPTORS + IDLE_TOTAL as u32);
    Limits {
        callers: (descriptors / CALLER_DESCRIPTORS) as usize,
        head: HEAD_LIMIT,
        head_time: REST_TIME,
        rest_time: REST_TIME,
        write_time: WRITE_TIME,
    }
}

/// The two listeners of a relay.
pub struct Listeners {
    callers: TcpListener,
    balancer: TcpListener,
}

impl Listeners {
    /// Listens at the addresses of the relay's settings.
    ///
    /// # Errors
    /// When an address cannot be listened on.
    pub async fn open(relay: &Relay) -> Result<Self> {
        let callers = server::listen(relay.context.settings.listen, "callers").await?;
        let balancer = server::listen(relay.context.settings.ready, "the balancer").await?;
        tracing::info!(event = "listening", side = "relay", addr = %callers.local_addr()?);
        tracing::info!(event = "listening", side = "ready", addr = %balancer.local_addr()?);
        Ok(Self { callers, balancer })
    }

    /// Serves both until the process ends.
    pub fn serve(self, relay: &Arc<Relay>) {
        let serving = relay.clone();
        let handler = move |request| serve::handle(serving.clone(), request);
        let closing = relay.context.closing.clone();
        let gate = relay.gate.clone();
        tokio::spawn(server::run(self.callers, gate, closing, handler, too_many));
        let asked = relay.clone();
        let readiness = move |_: Request<Incoming>| {
            let answer = ready(&asked);
            async move { answer }
        };
        let limits = Limits { callers: BALANCERS, ..limits(&relay.context.settings) };
        // The balancer is answered until the process is gone.
        let (open, closing) = watch::channel(false);
        tokio::spawn(async move {
            let _open = open;
            server::run(self.balancer, Gate::new(limits), closing, readiness, too_many).await;
        });
    }
}

fn too_many() -> Response<Body> {
    let text = "the box has as many callers as it may";
    answer::failed(&Failure::new(Kind::TooManyCallers, text))
}

/// Why the balancer should send no callers here, if it should not.
fn unready(relay: &Relay) -> Option<&'static str> {
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

fn ready(relay: &Relay) -> Response<Body> {
    let fault = unready(relay);
    let status = if fault.is_none() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    answer::json_answer(status, &json!({ "ready": fault.is_none(), "reason": fault }))
}
