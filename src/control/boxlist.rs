//! Follows the platform's box list: which backend servers leave, and whether this box does.

use std::sync::Arc;
use std::time::Duration;

use crate::boxlist::{self, ListedBox, ListedState};
use crate::member::spread::word;
use crate::node::Node;

/// How long the platform may take.
const ANSWER_TIME: Duration = Duration::from_millis(2_000);

/// Looks at the list until the task is dropped.
pub(crate) async fn run(node: Arc<Node>) {
    let Some(settings) = node.settings.platform.clone() else {
        return;
    };
    let mut timer = tokio::time::interval(settings.poll.duration());
    loop {
        timer.tick().await;
        match boxlist::list(&node.pool, settings.addr, ANSWER_TIME).await {
            Ok(list) => {
                for (name, listed) in list {
                    take(&node, &name, &listed);
                }
            }
            Err(error) => tracing::warn!(event = "box_list_failed", %error),
        }
    }
}

fn take(node: &Arc<Node>, name: &str, listed: &ListedBox) {
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
        node.hear_backend(id, word(listed.incarnation, left));
    }
}
