//! Completion requests: finds the stream a caller comes back for, or starts one.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Response;

use super::generate::{self, LINGER, Plan};
use super::generation::{Generation, Origin, Reader, Shape};
use super::ground::{Ground, need};
use super::hand_over::{self, HandOver};
use super::keep::keep;
use super::request::{Completion, Head};
use super::respond::{Tally, answer_from, answer_when_ended};
use super::serve::check_late;
use super::unrepeatable::{Once, digest};
use crate::backend::engine::Piece;
use crate::decide::route;
use crate::error::{Failure, Kind};
use crate::http::answer::Body;
use crate::ids::{RequestKey, TeamName};
use crate::node::Node;
use crate::state::config::ServiceKind;
use crate::units::Tokens;
use crate::units::UnixMillis;

/// How long a stream that was handed over goes on without its caller.
const HANDED_LINGER: Duration = Duration::from_secs(60);

/// Answers a completion request.
pub(super) async fn completion(
    node: &Arc<Node>,
    head: &Head,
    ground: Ground,
    bytes: Bytes,
) -> Result<Response<Body>, Failure> {
    let completion = Completion::read(head.bare_path(), &bytes)?;
    let service = ground.service(&completion.service, ServiceKind::Engine)?;
    let repeatable = head.repeatable && service.repeatable;
    if head.may_wait {
        return keep(node, head, &ground, &bytes, repeatable).await;
    }
    let digest = digest(head.bare_path(), &bytes);
    if let Some(key) = &head.key
        && let Some(held) = node.find_generation(&ground.name, key)
        && !held.has_failed()
    {
        return attach(&held, head, &digest, completion.stream).await;
    }
    if let Some(key) = &head.key
        && let Some(response) = hand_over::find(node, head, &ground.name, key, &bytes).await
    {
        return Ok(response);
    }
    if head.passed {
        return Err(Failure::new(Kind::NoStream, "this node does not hold the stream"));
    }
    if completion.stream && head.last_event.is_some() {
        let text = "the stream is lost; ask without Last-Event-ID for a new answer";
        return Err(Failure::new(Kind::StreamLost, text));
    }
    check_late(node, head, repeatable)?;
    let start = Start { repeatable, digest, body: bytes, linger: LINGER, pieces: Vec::new() };
    let generation = begin_generation(node, head, &ground, &completion, start)?;
    respond(node, head, &ground.name, generation.read_from(0), completion.stream).await
}

/// What a generation begins with besides its request.
struct Start {
    repeatable: bool,
    digest: String,
    body: Bytes,
    /// How long a generation under a key goes on without a reader.
    linger: Duration,
    /// Pieces another node has generated.
    pieces: Vec<Piece>,
}

/// Admits a completion and starts its generation.
fn begin_generation(
    node: &Arc<Node>,
    head: &Head,
    ground: &Ground,
    completion: &Completion,
    start: Start,
) -> Result<Arc<Generation>, Failure> {
    let Start { repeatable, digest, body, linger, pieces } = start;
    let service = ground.service(&completion.service, ServiceKind::Engine)?;
    let need = need(node, Tokens::estimate(&completion.prompt), completion.output);
    let facts = ground.facts(node, head, &completion.service, &need);
    let ruling = ground.rule(node, service, &facts)?;
    let admitted = ground.admit(node, need.prompt + need.output)?;
    let mut wanted = ground.wanted(head, &completion.service, need.clone(), ruling);
    wanted.prefixes = route::prefix_hashes(&completion.prompt);
    let key = head.key.as_ref();
    let plan = Plan {
        completion: completion.clone(),
        path: head.bare_path().to_owned(),
        wanted,
        repeatable,
        once: key.filter(|_| !repeatable).map(|key| Once::new(&ground.name, key, digest.clone())),
        silence: service.silence.duration(),
        linger: if key.is_some() { linger } else { Duration::ZERO },
        trace: head.trace,
    };
    // Only a request under a key can be gone on with elsewhere: its caller has to find it again.
    let origin = key.map(|_| Origin {
        path: head.bare_path().to_owned(),
        body: String::from_utf8_lossy(&body).into_owned(),
        deadline: head.deadline,
        repeatable,
    });
    let shape = shape(completion, need.prompt);
    let generation = Generation::new(shape, digest, origin, pieces);
    if let Some(key) = key {
        node.keep_generation(&ground.name, key, &generation);
    }
    let (running, board) = (generation.clone(), node.clone());
    tokio::spawn(async move {
        generate::run(board, running, plan).await;
        drop(admitted);
    });
    Ok(generation)
}

fn shape(completion: &Completion, prompt: Tokens) -> Shape {
    let prefix = if completion.chat { "chatcmpl" } else { "cmpl" };
    Shape {
        id: format!("{prefix}-{}", RequestKey::random()),
        service: completion.service.clone(),
        chat: completion.chat,
        created: UnixMillis::now().0 / 1_000,
        prompt: prompt.0,
    }
}

/// Answers a caller that comes back for a generation this node holds.
async fn attach(
    held: &Arc<Generation>,
    head: &Head,
    digest: &str,
    stream: bool,
) -> Result<Response<Body>, Failure> {
    if held.digest != digest {
        let text = "the key came with another request before";
        return Err(Failure::new(Kind::KeyConflict, text));
    }
    let seen = head.last_event.map_or(0, |id| id as usize + 1);
    let reader = held.read_from(if stream { seen } else { 0 });
    answer_from(reader, stream, None).await
}

async fn respond(
    node: &Arc<Node>,
    head: &Head,
    team: &TeamName,
    reader: Reader,
    stream: bool,
) -> Result<Response<Body>, Failure> {
    let tally = Tally { node: node.clone(), team: team.clone(), arrived: head.arrived };
    match head.digest {
        Some(_) => answer_from(reader, stream, Some(tally)).await,
        // Work that emberturn runs on a caller's behalf.
        None => answer_when_ended(reader, stream, tally).await,
    }
}

/// Goes on with a stream that another node has handed over.
pub(crate) fn resume_handed(node: &Arc<Node>, offer: &HandOver) -> Result<(), Failure> {
    let ground = Ground::of_team(node, &offer.team)?;
    let completion = Completion::read(&offer.path, offer.body.as_bytes())?;
    let left = Duration::from_millis(offer.left);
    let head = Head::internal(&offer.path, Some(offer.key.clone()), true, left);
    let start = Start {
        repeatable: true,
        digest: digest(&offer.path, offer.body.as_bytes()),
        body: Bytes::from(offer.body.clone()),
        linger: HANDED_LINGER,
        pieces: offer.pieces.clone(),
    };
    let generation = begin_generation(node, &head, &ground, &completion, start)?;
    // The caller is away; from now on it has the lingering time to come back.
    drop(generation.read_from(0));
    Ok(())
}
