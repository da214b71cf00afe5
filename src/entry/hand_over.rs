//! Hands streams over to a peer when their node stops before they end, and finds streams that were
//! handed over.
//!
//! The peer is the request's home: every node finds it from the boxes it knows. The caller comes back
//! with its key, to any node, and goes on behind the last event it has.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_stream::stream;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Bytes, Frame};
use hyper::header::{CONTENT_TYPE, HeaderName};
use hyper::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use super::complete::resume_handed;
use super::generation::{End, Generation};
use super::request::{Head, PASSED_HEADER};
use crate::backend::Reuse;
use crate::backend::engine::Piece;
use crate::error::{Failure, Kind};
use crate::http::answer::{Body, RUN_HEADER};
use crate::ids::{BoxId, RequestKey, TeamName};
use crate::member::home;
use crate::member::table::BoxState;
use crate::node::Node;
use crate::peer::method;

/// How long a peer may take to accept a stream.
const ACCEPT_TIME: Duration = Duration::from_millis(1_500);

/// Peers asked for a stream, best first.
const HOMES: usize = 2;

/// How long the peer that holds a stream may be silent.
const SILENCE: Duration = Duration::from_secs(120);

/// The caller's headers that go along to the peer that holds its stream.
const PASSED: [&str; 5] =
    ["authorization", "idempotency-key", "last-event-id", "content-type", "emberturn-repeatable"];

/// A stream on its way to a peer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct HandOver {
    pub(crate) team: TeamName,
    pub(crate) key: RequestKey,
    pub(crate) path: String,
    pub(crate) body: String,
    pub(crate) pieces: Vec<Piece>,
    pub(crate) left: u64,
}

/// Hands a generation over and ends it here; `false` when no peer took it.
pub(crate) async fn give(
    node: &Arc<Node>,
    team: &TeamName,
    key: &RequestKey,
    generation: &Arc<Generation>,
) -> bool {
    let Some(origin) = generation.origin.as_ref().filter(|origin| origin.repeatable) else {
        return false;
    };
    let left = origin.deadline.saturating_duration_since(Instant::now());
    let offer = HandOver {
        team: team.clone(),
        key: key.clone(),
        path: origin.path.clone(),
        body: origin.body.clone(),
        pieces: generation.pieces(),
        left: left.as_millis() as u64,
    };
    for box_id in homes(node, team, key) {
        let Some(addr) = node.peer_address(&box_id) else {
            continue;
        };
        let taken = node.peers.call::<_, bool>(addr, method::HAND_OVER, &offer, ACCEPT_TIME).await;
        if taken == Ok(true) {
            tracing::info!(event = "handed_over", to = %box_id, pieces = offer.pieces.len());
            let text = format!("box {box_id} goes on with it; come back with the same key");
            let failure = Failure::new(Kind::HandedOver, text).after(Some(Duration::ZERO));
            generation.finish(End::Failed(failure));
            return true;
        }
    }
    false
}

/// Takes a stream over from a node that stops.
pub(crate) async fn take(node: Arc<Node>, offer: HandOver) -> Result<bool, String> {
    if node.find_generation(&offer.team, &offer.key).is_some() {
        return Ok(true);
    }
    match resume_handed(&node, &offer) {
        Ok(()) => Ok(true),
        Err(failure) => {
            tracing::info!(event = "hand_over_refused", kind = %failure.kind);
            Ok(false)
        }
    }
}

fn homes(node: &Node, team: &TeamName, key: &RequestKey) -> Vec<BoxId> {
    let boxes = node.board.boxes.load();
    let own = &node.settings.node.box_id;
    let mut ranking = home::rank_boxes(&boxes, own, team, key);
    ranking.truncate(HOMES);
    ranking
}

/// Asks the request's homes for its stream, where there may be one: the caller comes back for one, or
/// a box left lately. `None`: nobody holds it.
pub(crate) async fn find(
    node: &Arc<Node>,
    head: &Head,
    team: &TeamName,
    key: &RequestKey,
    body: &Bytes,
) -> Option<Response<Body>> {
    let boxes = node.board.boxes.load();
    let left = boxes.values().any(|it| matches!(it.state, BoxState::Leaving | BoxState::Gone));
    // Work that emberturn runs on a caller's behalf has no caller that comes back.
    let comes_back = !head.passed && head.digest.is_some();
    if !comes_back || !(left || head.last_event.is_some()) {
        return None;
    }
    for box_id in homes(node, team, key) {
        let entry = boxes.get(&box_id).and_then(|record| record.entry);
        if let Some(entry) = entry
            && let Some(response) = pass(node, head, entry, body).await
        {
            return Some(response);
        }
    }
    None
}

/// Passes the request to a peer; `None` when the peer does not hold its stream, or cannot go on with it.
async fn pass(
    node: &Arc<Node>,
    head: &Head,
    entry: std::net::SocketAddr,
    body: &Bytes,
) -> Option<Response<Body>> {
    let mut builder = Request::post(&head.path)
        .header("host", entry.to_string())
        .header(PASSED_HEADER, "1")
        .header(crate::telemetry::hops::HEADER, head.trace.to_string());
    for name in PASSED {
        if let Some(value) = head.headers.get(name) {
            builder = builder.header(name, value);
        }
    }
    let request = builder.body(Full::new(body.clone())).ok()?;
    let mut exchange = node.pool.send(entry, request, SILENCE, Reuse::Never).await.ok()?;
    if exchange.status != StatusCode::OK {
        return None;
    }
    let kept: [HeaderName; 2] = [CONTENT_TYPE, RUN_HEADER];
    let headers: Vec<_> = kept
        .into_iter()
        .filter_map(|name| Some((name.clone(), exchange.headers.get(name)?.clone())))
        .collect();
    let bytes = stream! {
        loop {
            match exchange.next(SILENCE).await {
                Ok(Some(piece)) => yield Ok(Frame::data(piece)),
                Ok(None) => return,
                Err(fault) => {
                    yield Err(std::io::Error::other(fault.to_string()));
                    return;
                }
            }
        }
    };
    let mut response = Response::new(BodyExt::boxed_unsync(StreamBody::new(bytes)));
    response.headers_mut().extend(headers);
    Some(response)
}
