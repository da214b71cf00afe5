//! Requests whose callers wait: kept, run, fetched.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use serde_json::json;

use super::complete::completion;
use super::ground::Ground;
use super::request::Head;
use super::serve::{KEPT, SERVICES, service};
use crate::error::{Failure, Kind};
use crate::http::answer::{self, Body};
use crate::ids::RequestKey;
use crate::node::Node;
use crate::state::config::Class;
use crate::state::ledger::RecordedAnswer;
use crate::state::work::{Keep, KeepReply, KeptRequest, WorkId};
use crate::state::{Command, Reply};

/// How long keeping or fetching work may take.
const GROUP_TIME: Duration = Duration::from_secs(3);

/// The largest body kept, in bytes.
const KEEP_LIMIT: usize = 256 << 10;

/// How long kept work may take in one go.
const KEPT_TIME: Duration = Duration::from_secs(600);

/// Keeps work for a caller that may wait: durable before it is told so.
pub(super) async fn keep(
    node: &Arc<Node>,
    head: &Head,
    ground: &Ground,
    bytes: &Bytes,
    repeatable: bool,
) -> Result<Response<Body>, Failure> {
    if bytes.len() > KEEP_LIMIT {
        let text = format!("a body that waits is at most {KEEP_LIMIT} bytes");
        return Err(Failure::new(Kind::TooLarge, text));
    }
    let body = std::str::from_utf8(bytes)
        .map_err(|_| Failure::new(Kind::BadRequest, "a body that waits is text"))?;
    let request = KeptRequest {
        team: ground.name.clone(),
        key: head.key.clone().unwrap_or_else(RequestKey::random),
        path: head.path.clone(),
        body: body.to_owned(),
        repeatable,
    };
    let reply = node.access.propose(Command::Keep(Keep { request }), GROUP_TIME).await;
    match reply {
        Ok(Reply::Keep(KeepReply::Kept(id))) => Ok(kept_answer(&id)),
        Ok(Reply::Keep(KeepReply::Conflict)) => {
            Err(Failure::new(Kind::KeyConflict, "the key came with another request before"))
        }
        Ok(Reply::Keep(KeepReply::Full)) => {
            Err(Failure::new(Kind::QueueLimit, "as much work is kept as may be"))
        }
        Ok(_) => Err(Failure::new(Kind::Internal, "the group gave another answer")),
        // It may be kept all the same, and would run: that is not "not run".
        Err(_) => Err(Failure::new(Kind::BackendTimeout, "the group did not answer in time")),
    }
}

fn kept_answer(id: &WorkId) -> Response<Body> {
    let place = format!("{KEPT}{id}");
    let value = json!({ "id": id, "location": place, "state": "kept" });
    let mut response = answer::json_answer(StatusCode::ACCEPTED, &value);
    if let Ok(value) = HeaderValue::from_str(&place) {
        response.headers_mut().insert(hyper::header::LOCATION, value);
    }
    let applied = HeaderValue::from_static("respond-async");
    response.headers_mut().insert("preference-applied", applied);
    response
}

/// Answers with kept work's answer, or that it is still kept.
pub(super) async fn fetch_work(node: &Arc<Node>, head: &Head) -> Result<Response<Body>, Failure> {
    let ground = Ground::read(node, head)?;
    let missing = || Failure::new(Kind::NotFound, "no such work");
    let id: WorkId = head.bare_path()[KEPT.len()..].parse().map_err(|_| missing())?;
    let view = node
        .access
        .read_work(&id, GROUP_TIME)
        .await
        .map_err(|_| Failure::new(Kind::BackendTimeout, "the group did not answer in time"))?;
    let view = view.filter(|view| view.team == ground.name).ok_or_else(missing)?;
    Ok(match view.answer {
        Some(answer) => answer::recorded(&answer),
        None => kept_answer(&id),
    })
}

/// Runs kept work once, behind everything interactive.
pub(crate) async fn run_kept(
    node: &Arc<Node>,
    request: &KeptRequest,
) -> Result<RecordedAnswer, Failure> {
    let mut ground = Ground::of_team(node, &request.team)?;
    ground.team.class = Class::Batch;
    let key = Some(request.key.clone());
    let head = Head::internal(&request.path, key, request.repeatable, KEPT_TIME);
    let bytes = Bytes::from(request.body.clone());
    let response = match head.bare_path().starts_with(SERVICES) {
        true => service(node, &head, ground, bytes).await?,
        false => completion(node, &head, ground, bytes).await?,
    };
    record_response(response).await
}

async fn record_response(response: Response<Body>) -> Result<RecordedAnswer, Failure> {
    let (parts, body) = response.into_parts();
    let content = parts.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    let content = content.unwrap_or("application/octet-stream").to_owned();
    let collected = body.collect().await;
    let bytes = collected.map_err(|error| Failure::new(Kind::BackendBroke, error.to_string()))?;
    let body = String::from_utf8(bytes.to_bytes().to_vec()).ok();
    Ok(RecordedAnswer { status: parts.status.as_u16(), content, body })
}
