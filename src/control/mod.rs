//! The controllers that run beside the request path: each reads and writes the blackboard.
//!
//! - [`heartbeat`] is a relay's word to the leader; [`lead`] is what the leader makes of it,
//!   [`duties`] what it does towards the platform. [`publish`] is what operators ask of the published document.
//! - [`demand`] asks the leader for what the teams of waiting requests may use.
//! - [`document_fetch`] gets a box the published document, [`document_source`] is what replicas give of it.
//! - [`fetch`] gets a relay its parts of the list of backend servers.
//! - [`models`] is what of engines is news to relays.
//! - [`rollouts`] is what operators ask of roll-outs, and how the leader carries them on.
//! - [`load`] asks engines for their load.
//! - [`boxlist`] follows the platform's box list.
//! - [`share`] renews this node's shares of the teams' limits, and leases them out at the leader.
//! - [`throttle`] reports the limits that backend servers name, and leases shares of them.
//! - [`work`] runs kept work.

pub(crate) mod boxlist;
pub(crate) mod demand;
pub(crate) mod document_fetch;
pub(crate) mod document_source;
pub(crate) mod duties;
pub(crate) mod fetch;
pub(crate) mod heartbeat;
pub(crate) mod lead;
pub(crate) mod load;
pub(crate) mod models;
pub(crate) mod notes;
pub(crate) mod publish;
pub(crate) mod quarantine;
pub(crate) mod rollouts;
pub(crate) mod share;
pub(crate) mod spend;
pub(crate) mod throttle;
pub(crate) mod work;

use std::sync::Arc;
use std::time::Duration;

use crate::node::Node;
use crate::settings::Role;

/// Time between two looks at the queues.
const WAKE_TIME: Duration = Duration::from_millis(25);

/// Starts every controller of a node.
pub(crate) fn start(node: &Arc<Node>) {
    if node.settings.platform.is_some() {
        tokio::spawn(boxlist::run(node.clone()));
    }
    if node.access.local().is_some() {
        tokio::spawn(document_source::run(node.clone()));
    }
    if let (true, Some(cloud)) = (node.access.local().is_some(), node.settings.cloud.clone()) {
        tokio::spawn(duties::run(node.clone(), cloud));
    }
    if node.settings.has(Role::Entry) {
        tokio::spawn(wake_waiters(node.clone()));
        tokio::spawn(load::run(node.clone()));
        tokio::spawn(share::run(node.clone()));
        tokio::spawn(work::run(node.clone()));
    }
}

/// Load reports and configuration changes make room without a request ending: look regularly.
async fn wake_waiters(node: Arc<Node>) {
    let mut timer = tokio::time::interval(WAKE_TIME);
    loop {
        timer.tick().await;
        node.dispatch.wake_all();
    }
}
