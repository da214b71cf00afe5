//! Background tasks that run beside the request path and communicate with it through the blackboard.
//!
//! - [`heartbeat`] sends a relay's heartbeats to the leader, and [`lead`] holds the leader's state and answers them.
//! - [`duties`] runs the leader's tasks towards the platform, and [`notes`] stores what its successor has to know.
//! - [`spend`] decides which engines the leader orders.
//! - [`publish`] handles operators' changes to the published document.
//! - [`demand`] requests tokens from the leader for teams whose requests wait.
//! - [`document_fetch`] fetches the published document for a box, and [`document_source`] serves it from replicas.
//! - [`fetch`] fetches a relay's parts of the list of backend servers.
//! - [`models`] builds the updates of the engine models for relays.
//! - [`proxies`] has the leader assign the boxes through which a relay reaches servers that it does not reach itself.
//! - [`quarantine`] handles operators' requests on quarantined requests.
//! - [`rollouts`] handles operators' requests on rollouts, and advances the rollouts at the leader.
//! - [`serving`] finds which releases serve without an order, and [`origins`] answers boxes which release began a stream
//!   and passes that on to the other replicas.
//! - [`load`] polls engines for their load.
//! - [`boxlist`] polls the platform's box list.
//! - [`share`] renews this node's shares of the teams' limits, and leases them out at the leader.
//! - [`throttle`] reports the limits that backend servers name, and leases shares of them.
//! - [`work`] runs stored requests whose callers do not wait.

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
pub(crate) mod origins;
pub(crate) mod proxies;
pub(crate) mod publish;
pub(crate) mod quarantine;
pub(crate) mod rollouts;
pub(crate) mod serving;
pub(crate) mod share;
pub(crate) mod spend;
pub(crate) mod throttle;
pub(crate) mod work;

use std::sync::Arc;
use std::time::Duration;

use crate::node::Node;
use crate::settings::Role;

/// Time between two checks of the queues.
const WAKE_INTERVAL: Duration = Duration::from_millis(25);

/// Starts the background tasks that the settings of the node ask for.
pub(crate) fn start(node: &Arc<Node>) {
    if node.settings.platform.is_some() {
        node.keep("boxlist", |node| boxlist::run(node.clone()));
    }
    if node.access.local().is_some() {
        node.keep("document_source", |node| document_source::run(node.clone()));
        node.keep("share_origins", |node| origins::share(node.clone()));
    }
    if let (true, Some(cloud)) = (node.access.local().is_some(), &node.settings.cloud) {
        duties::start(node, cloud);
    }
    if node.settings.has(Role::Entry) {
        node.keep("wake_waiters", |node| wake_waiters(node.clone()));
        node.keep("load", |node| load::run(node.clone()));
        node.keep("share", |node| share::run(node.clone()));
        node.keep("work", |node| work::run(node.clone()));
    }
}

/// Wakes the queued requests regularly: load reports and configuration changes can free capacity without any request
/// ending.
async fn wake_waiters(node: Arc<Node>) {
    let mut timer = tokio::time::interval(WAKE_INTERVAL);
    loop {
        timer.tick().await;
        node.dispatch.wake_all();
    }
}
