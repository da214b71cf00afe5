//! Fetches the parts of the list of backend servers that a relay lacks. There is one request at a time, for no more
//! parts than fit into an answer, so that no part is requested while it is in transit.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use crate::group::access::Access;
use crate::relay::Relay;
use crate::relay::list::PackedParts;
use crate::relay::list_registry::MAX_PARTS_PER_ANSWER;

/// Timeout for an answer: the transfer of 50 KB besides a box's traffic over a link of 10 Mbit/s, and the search
/// for the leader.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Mean delay before a retry after an answer without all requested parts. The leader's next heartbeat reply, which
/// tells which parts exist by then, is due within 0.4 s.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Fetches missing parts until the task is dropped.
pub(crate) async fn run(relay: Arc<Relay>, access: Access) {
    loop {
        let mut wanted = relay.servers.missing_parts();
        if wanted.is_empty() {
            relay.index_changed.notified().await;
            continue;
        }
        wanted.truncate(MAX_PARTS_PER_ANSWER);
        let received = match access.list_parts(&wanted, ANSWER_TIMEOUT).await {
            Ok(packed) => apply(&relay, &packed),
            Err(error) => {
                tracing::debug!(event = "list_parts_unanswered", %error);
                0
            }
        };
        if received < wanted.len() {
            let jitter = rand::rng().random_range(0.5..1.5);
            tokio::time::sleep(RETRY_DELAY.mul_f64(jitter)).await;
        }
    }
}

/// Unpacks and applies parts. Returns their number, which is 0 if they cannot be read.
fn apply(relay: &Relay, packed: &PackedParts) -> usize {
    match packed.unpack() {
        Ok(parts) => {
            let count = parts.len();
            relay.apply_parts(parts);
            count
        }
        Err(error) => {
            tracing::warn!(event = "list_parts_unreadable", %error);
            0
        }
    }
}
