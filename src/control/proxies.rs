//! Has the leader assign to each box those that send its requests when it does not reach backend servers itself: a small
//! call beside the heartbeats, made more often while a path is lost.
//!
//! A box keeps its proxies while no leader answers. Unknown fields are ignored and missing ones have defaults, so that
//! boxes and replicas of neighbouring releases understand each other. A leader of a release without this call assigns
//! none, and a box of such a release is nobody's proxy.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::decide::proxies::Proxy;
use crate::decide::proxy_directory::ProxyReport;
use crate::group::access::Access;
use crate::group::driver::Unanswered;
use crate::ids::{BoxId, DataCentre, ServiceName};
use crate::member::table::fingerprint;
use crate::node::Node;
use crate::relay::Relay;

/// The version of this module's messages. It changes when a field changes its meaning, not with new fields.
const VERSION: u32 = 1;

/// Timeout for the call.
const REPLY_TIMEOUT: Duration = Duration::from_millis(300);

/// Time between two calls, in heartbeats; a box is assigned to others for 10 s after its last one.
const HEARTBEATS_PER_CALL: u32 = 5;

/// The longest time between two calls.
const MAX_CALL_INTERVAL: Duration = Duration::from_secs(3);

/// Minimum time between two calls.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(100);

/// A box's report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProxyRequest {
    /// The version of this message.
    #[serde(default)]
    pub version: u32,
    /// The box that sends it.
    pub box_id: BoxId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where it takes requests of other boxes; `None` while it reaches not all services or is stopping.
    #[serde(default)]
    pub addr: Option<SocketAddr>,
    /// The services whose servers it does not reach itself.
    #[serde(default)]
    pub lost: Vec<ServiceName>,
}

/// The leader's reply to a [`ProxyRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProxyReply {
    /// The version of this message.
    #[serde(default)]
    pub version: u32,
    /// The boxes that send requests for the one that asked.
    #[serde(default)]
    pub proxies: Vec<Proxy>,
}

/// Reports to the leader and takes its assignments until the task is dropped.
pub(crate) async fn run(relay: Arc<Relay>, access: Access, box_id: BoxId) {
    loop {
        let lost = relay.paths().lost_services();
        let is_lost = !lost.is_empty();
        let takes = !is_lost && !relay.is_closing();
        let request = ProxyRequest {
            version: VERSION,
            box_id: box_id.clone(),
            data_centre: relay.context.topology.own().clone(),
            addr: relay.forward_addr.get().copied().filter(|_| takes),
            lost,
        };
        let answered = access.assign_proxies(&request, REPLY_TIMEOUT).await;
        let is_answered = answered.is_ok();
        if let Ok(reply) = answered {
            relay.proxies().assign(reply.proxies);
        }
        let heartbeats = if is_lost || !is_answered { 1 } else { HEARTBEATS_PER_CALL };
        let pause = (relay.heartbeat_interval() * heartbeats).min(MAX_CALL_INTERVAL);
        let jitter = rand::rng().random_range(0.85..1.15);
        tokio::time::sleep(MIN_CALL_INTERVAL).await;
        let changed = relay.paths_changed.notified();
        let _ = tokio::time::timeout(pause.mul_f64(jitter), changed).await;
    }
}

/// Answers a box's report, if this process leads.
pub(crate) async fn answer(
    node: Arc<Node>,
    request: ProxyRequest,
) -> Result<ProxyReply, Unanswered> {
    let term = node.leading_term().await.ok_or(Unanswered::NotLeader(None))?;
    if !request.lost.is_empty() {
        let lost: Vec<_> = request.lost.iter().map(ServiceName::as_str).collect();
        tracing::debug!(event = "box_without_servers", box_id = %request.box_id, services = lost.join(","));
    }
    let ProxyRequest { box_id, data_centre, addr, .. } = request;
    let hash = fingerprint(box_id.as_str());
    let report = ProxyReport { box_id, data_centre, addr };
    let proxies = node.with_lead(term, |lead| {
        lead.proxies.record(&report, hash, Instant::now());
        lead.proxies.assign(&report, hash, &node.settings.regions)
    });
    Ok(ProxyReply { version: VERSION, proxies })
}
