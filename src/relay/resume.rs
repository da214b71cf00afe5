//! Finds which release began a stream whose caller comes back for its rest, and remembers the streams that begin here.

use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use super::Relay;
use super::call::Call;
use super::table::{Repeat, Route};
use crate::decide::origins::{
    OriginAnswer, OriginRequest, RETURN_TIMEOUTS, StreamKey, StreamOrigin,
};
use crate::error::{Failure, Kind};
use crate::ids::ServiceName;

/// Retry-After for a stream of unknown origin: about the time until the leader has heard of it.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(400);

/// The origin of the stream that a call continues; `None` if the call begins one. `service` is the one that the call
/// would go to by its route.
///
/// # Errors
/// [`Kind::OriginUnknown`] if several releases may have begun the stream, or the route no longer leads to its service.
pub(super) async fn find_origin(
    relay: &Relay,
    call: &Call,
    route: &Route,
    service: &ServiceName,
) -> Result<Option<StreamOrigin>, Failure> {
    if call.head.last_event_id.is_none() || !route.repeat.is_stream() {
        return Ok(None);
    }
    let found = search(relay, call, service).await;
    let leads_there =
        |origin: &StreamOrigin| route.splits.iter().any(|it| it.service == origin.service);
    let way = if found.is_some() { "known" } else { "unknown" };
    relay.context.metrics.count_return(way);
    match found.filter(leads_there) {
        Some(origin) => Ok(Some(origin)),
        None => {
            tracing::info!(
                event = "stream_origin_unknown", id = call.head.id, %service,
                first_request = call.head.first_request,
            );
            let text = "several releases may have begun the stream; none can be chosen";
            Err(Failure::new(Kind::OriginUnknown, text).after(Some(UNKNOWN_RETRY_AFTER)))
        }
    }
}

async fn search(relay: &Relay, call: &Call, service: &ServiceName) -> Option<StreamOrigin> {
    let key = call.head.first_request.as_ref().map(|id| StreamKey::new(call.team.as_ref(), id));
    let own = key.and_then(|key| relay.origins().find(key, Instant::now()).cloned());
    if own.is_some() {
        return own;
    }
    // What the box was told before says nothing about the streams that other boxes have begun since. A key that no stream has finds out whether only one release can have begun it.
    let key = key.unwrap_or_else(|| StreamKey::new(None, ""));
    let (port, answer) = oneshot::channel();
    let request = OriginRequest { key, service: service.clone() };
    relay.origin_questions.send((request, port)).await.ok()?;
    match answer.await.ok()? {
        OriginAnswer::Known(origin) => Some(origin),
        OriginAnswer::Sole(release) => Some(StreamOrigin { service: service.clone(), release }),
        OriginAnswer::Unknown => None,
    }
}

/// Remembers which release began a stream whose caller may come back.
pub(super) fn record_origin(relay: &Relay, call: &Call, route: &Route, origin: StreamOrigin) {
    let is_new = call.head.last_event_id.is_none() && !call.head.id.is_empty();
    if !is_new || route.repeat != Repeat::ResumableStream {
        return;
    }
    let now = Instant::now();
    let key = StreamKey::new(call.team.as_ref(), &call.head.id);
    relay.origins().record(key, origin, now + route.timeout * RETURN_TIMEOUTS, now);
}
