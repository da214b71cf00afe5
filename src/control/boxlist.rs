//! Polls the platform's box list for backend servers that are about to stop, and for whether this box is.

use std::sync::Arc;
use std::time::Duration;

use crate::boxlist::{self, ListedBox, ListedState};
use crate::member::spread::backend_report;
use crate::node::Node;

/// Timeout for a request to the platform.
const REPLY_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Polls the list until the task is dropped. Does nothing without a platform in the settings.
pub(crate) async fn run(node: Arc<Node>) {
    let Some(settings) = node.settings.platform.clone() else {
        return;
    };
    let mut timer = tokio::time::interval(settings.poll.duration());
    loop {
        timer.tick().await;
        match boxlist::list(&node.pool, settings.addr, REPLY_TIMEOUT).await {
            Ok(list) => {
                for (name, listed) in list {
                    apply_listed(&node, &name, &listed);
                }
            }
            Err(error) => tracing::warn!(event = "box_list_failed", %error),
        }
    }
}

/// Applies one entry of the list: stops this box in time if it is to leave, and passes on the state of backend servers.
fn apply_listed(node: &Arc<Node>, name: &str, listed: &ListedBox) {
    let left = match listed.state {
        ListedState::Live => None,
        ListedState::Leaving => Some(Duration::from_millis(listed.notice_ms)),
    };
    if name == node.settings.node.box_id.as_str() {
        if let Some(left) = left {
            node.stop_within(left);
        }
        return;
    }
    let Ok(id) = name.parse() else {
        return;
    };
    if node.board.in_force().configuration.backends.contains_key(&id) {
        node.hear_backend(id, backend_report(listed.incarnation, left));
    }
}
