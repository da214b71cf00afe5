//! The controllers that run beside the request path: each reads and writes the blackboard.

use std::sync::Arc;
use std::time::Duration;

use crate::node::Node;

/// Time between two looks at the queues.
const WAKE_TIME: Duration = Duration::from_millis(25);

/// Starts every controller of a node.
pub(crate) fn start(node: &Arc<Node>) {
    tokio::spawn(wake_waiters(node.clone()));
}

/// Load reports and configuration changes make room without a request ending: look regularly.
async fn wake_waiters(node: Arc<Node>) {
    let mut timer = tokio::time::interval(WAKE_TIME);
    loop {
        timer.tick().await;
        node.dispatch.wake_all();
    }
}
