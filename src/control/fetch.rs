//! How a relay gets its parts of the list of backend servers: one question at a time, for no more than an
//! answer may bring, and never for what is on its way.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use crate::group::access::Access;
use crate::relay::Relay;
use crate::relay::list::PackedParts;
use crate::relay::list_registry::MAX_PARTS_PER_ANSWER;

/// How long an answer may take: 50 KB beside a box's traffic on a link of 10 Mbit/s, and the search for
/// the leader.
const ANSWER_TIME: Duration = Duration::from_millis(2_000);

/// Mean pause after an answer that did not bring what was asked for: the next word of the leader, which
/// tells what there is instead, is due within 0.4 s.
const PAUSE: Duration = Duration::from_millis(200);

/// Fetches what the box lacks until the task is dropped.
pub(crate) async fn run(relay: Arc<Relay>, access: Access) {
    loop {
        let mut wanted = relay.servers.missing_parts();
        if wanted.is_empty() {
            relay.index_changed.notified().await;
            continue;
        }
        wanted.truncate(MAX_PARTS_PER_ANSWER);
        let came = match access.list_parts(&wanted, ANSWER_TIME).await {
            Ok(packed) => put(&relay, &packed),
            Err(error) => {
                tracing::debug!(event = "list_parts_unanswered", %error);
                0
            }
        };
        if came < wanted.len() {
            let jitter = rand::rng().random_range(0.5..1.5);
            tokio::time::sleep(PAUSE.mul_f64(jitter)).await;
        }
    }
}

/// Takes parts; how many came.
fn put(relay: &Relay, packed: &PackedParts) -> usize {
    match packed.unpack() {
        Ok(parts) => {
            let came = parts.len();
            relay.apply_parts(parts);
            came
        }
        Err(error) => {
            tracing::warn!(event = "list_parts_unreadable", %error);
            0
        }
    }
}
