//! Asks the leader which release began a stream, for a caller that comes back to a box that does not know it.
//!
//! A leader of a former release does not know the call; the stream is then unknown.

use std::sync::Arc;
use std::time::Duration;

use crate::decide::origins::{OriginAnswer, OriginRequest};
use crate::group::access::Access;
use crate::group::driver::Unanswered;
use crate::node::Node;
use crate::relay::Relay;

/// Timeout for one call to the leader.
const REPLY_TIMEOUT: Duration = Duration::from_millis(200);

/// Pause before the leader is asked again.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// How often the leader is asked.
const MAX_ATTEMPTS: u32 = 3;

/// Answers the questions of a relay's requests until the task is dropped.
pub(crate) async fn run(relay: Arc<Relay>, access: Access) {
    let Some(mut questions) = relay.take_origin_questions() else {
        return;
    };
    while let Some((request, port)) = questions.recv().await {
        let access = access.clone();
        tokio::spawn(async move {
            let _ = port.send(ask(&access, &request).await);
        });
    }
}

async fn ask(access: &Access, request: &OriginRequest) -> OriginAnswer {
    for _ in 0..MAX_ATTEMPTS {
        if let Ok(answer) = access.stream_origin(request, REPLY_TIMEOUT).await {
            return answer;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    OriginAnswer::Unknown
}

/// Answers a box's question, if this process leads.
pub(crate) async fn answer(
    node: Arc<Node>,
    request: OriginRequest,
) -> Result<OriginAnswer, Unanswered> {
    let term = node.leading_term().await.ok_or(Unanswered::NotLeader(None))?;
    Ok(node.with_lead(term, |lead| lead.find_origin(request.key, &request.service)))
}
