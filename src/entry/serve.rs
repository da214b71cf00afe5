//! Sends each request its way.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use async_stream::stream;
use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};

use super::answer::{self, Body, TRACE_HEADER};
use super::dispatch::Wanted;
use super::generate::{self, LINGER, Plan};
use super::generation::{End, Generation, Item, Origin, Reader, Shape};
use super::hand_over::{self, HandOver};
use super::plain::{self, PlainRequest};
use super::request::{self, Completion, Head};
use super::unrepeatable::{Once, digest};
use crate::backend::engine::Piece;
use crate::blackboard::InForce;
use crate::control::share::whole;
use crate::decide::policy::{Facts, Ruling};
use crate::decide::route::{self, Need};
use crate::error::{Failure, Kind, RunState};
use crate::ids::{RequestKey, ServiceName, TeamName};
use crate::node::{AdmissionGuard, Node};
use crate::state::config::{Class, Service, ServiceKind, Team};
use crate::state::ledger::RecordedAnswer;
use crate::state::work::{Keep, KeepReply, KeptRequest, WorkId};
use crate::state::{Command, Reply};
use crate::telemetry::hops::{OpenHop, unix_millis};
use crate::units::Tokens;

/// The path prefix of plain services.
const SERVICES: &str = "/services/";

/// The path prefix of kept work.
const WORK: &str = "/work/";

/// How long keeping or fetching work may take.
const GROUP_TIME: Duration = Duration::from_secs(3);

/// The largest body kept, in bytes.
const KEEP_LIMIT: usize = 256 << 10;

/// How long kept work may take in one go.
const KEPT_TIME: Duration = Duration::from_secs(600);

/// How long a stream that was handed over goes on without its caller.
const HANDED_LINGER: Duration = Duration::from_secs(60);

/// Answers one request.
pub async fn handle(node: Arc<Node>, request: Request<Incoming>) -> Response<Body> {
    match request.uri().path() {
        "/healthz" => answer::json_answer(StatusCode::OK, &json!({ "ok": true })),
        "/readyz" => readiness(&node),
        _ => handle_work(node, request).await,
    }
}

fn readiness(node: &Node) -> Response<Body> {
    let fault = node.unready();
    let status = if fault.is_none() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    let value = json!({ "ready": fault.is_none(), "reason": fault, "phase": node.board.phase().to_string() });
    answer::json_answer(status, &value)
}

async fn handle_work(node: Arc<Node>, request: Request<Incoming>) -> Response<Body> {
    let guard = node.board.begin_request();
    let head = match Head::read(&request, &node.settings.entry) {
        Ok(head) => head,
        Err(failure) => return answer::failed(&failure),
    };
    let hop = OpenHop::begin("entry", &node.settings.node.box_id, head.trace);
    let head = Head { trace: hop.context, ..head };
    let result = route_request(&node, &head, request.into_body()).await;
    let (outcome, response) = match result {
        Ok(response) => ("answered".to_owned(), response),
        Err(failure) => {
            tracing::info!(
                event = "request_failed", kind = %failure.kind, run = %failure.kind.answer().run,
                detail = failure.detail, path = head.bare_path(), trace = head.trace.trace_text(),
            );
            (failure.kind.to_string(), answer::failed(&failure))
        }
    };
    hop.end(&node.board.hops, outcome);
    finish(response, &head, guard)
}

/// Adds the trace's id, and keeps the request counted until its answer's body is out.
fn finish(
    mut response: Response<Body>,
    head: &Head,
    guard: crate::blackboard::RequestGuard,
) -> Response<Body> {
    if let Ok(value) = HeaderValue::from_str(&head.trace.trace_text()) {
        response.headers_mut().insert(TRACE_HEADER, value);
    }
    response.map(|body| {
        body.map_frame(move |frame| {
            let _counted = &guard;
            frame
        })
        .boxed_unsync()
    })
}

async fn route_request(
    node: &Arc<Node>,
    head: &Head,
    body: Incoming,
) -> Result<Response<Body>, Failure> {
    match head.bare_path() {
        "/v1/completions" | "/v1/chat/completions" => {
            need_method(head, &Method::POST)?;
            let ground = Ground::read(node, head)?;
            let bytes = request::read_body(body, &node.settings.entry).await?;
            completion(node, head, ground, bytes).await
        }
        path if path.starts_with(SERVICES) => {
            let ground = Ground::read(node, head)?;
            let bytes = request::read_body(body, &node.settings.entry).await?;
            service(node, head, ground, bytes).await
        }
        path if path.starts_with(WORK) => {
            need_method(head, &Method::GET)?;
            fetch_work(node, head).await
        }
        path => Err(Failure::new(Kind::NotFound, format!("no such path: {path}"))),
    }
}

fn need_method(head: &Head, method: &Method) -> Result<(), Failure> {
    match head.method == *method {
        true => Ok(()),
        false => Err(Failure::new(Kind::BadMethod, format!("this path takes {method}"))),
    }
}

/// The ground on which a request is decided: one configuration, one team, throughout.
struct Ground {
    in_force: Arc<InForce>,
    name: TeamName,
    team: Team,
}

impl Ground {
    fn read(node: &Node, head: &Head) -> Result<Self, Failure> {
        node.check_takes_work()?;
        let in_force = node.board.in_force();
        let unknown = || Failure::new(Kind::UnknownKey, "the bearer key belongs to no team");
        let digest = head.digest.as_ref().ok_or_else(unknown)?;
        let found = in_force.configuration.team_of(digest);
        let (name, team) =
            found.map(|(name, team)| (name.clone(), team.clone())).ok_or_else(unknown)?;
        Ok(Self { in_force, name, team })
    }

    /// The ground for a request that a team made earlier, perhaps at another node.
    fn of_team(node: &Node, name: &TeamName) -> Result<Self, Failure> {
        node.check_takes_work()?;
        let in_force = node.board.in_force();
        let team = in_force.configuration.teams.get(name).cloned();
        let missing = || Failure::new(Kind::UnknownKey, "the team is gone");
        Ok(Self { team: team.ok_or_else(missing)?, name: name.clone(), in_force })
    }

    fn service(&self, name: &ServiceName, kind: ServiceKind) -> Result<&Service, Failure> {
        let found = self.in_force.configuration.services.get(name);
        let found = found.filter(|service| service.kind == kind);
        found.ok_or_else(|| Failure::new(Kind::NotFound, format!("no such service: {name}")))
    }

    /// Runs the service's policy; one that fails is passed over.
    fn rule(&self, node: &Node, service: &Service, facts: &Facts) -> Result<Ruling, Failure> {
        let Some(policy) = &service.policy else {
            return Ok(Ruling::default());
        };
        let ruling = match self.in_force.policies.decide(policy, facts) {
            Ok(ruling) => ruling,
            Err(fault) => {
                node.metrics.count_policy_fault(policy.as_str());
                tracing::warn!(event = "policy_failed", policy = %policy, detail = fault.detail);
                Ruling::default()
            }
        };
        match &ruling.refuse {
            Some(text) => Err(Failure::new(Kind::PolicyRefused, text.clone())),
            None => Ok(ruling),
        }
    }

    /// Admits a request within the team's limits; dropping the guard gives back what it reserved.
    fn admit(&self, node: &Arc<Node>, tokens: Tokens) -> Result<AdmissionGuard, Failure> {
        let limits = &self.in_force.configuration.limits;
        let shares = node.board.shares.load();
        let limit = shares.limit(&self.name, whole(&self.team), limits.entry_boxes);
        node.earn_retry(limits.retry_percent);
        node.admit(&self.name, tokens, limit)
    }

    fn wanted(&self, head: &Head, service: &ServiceName, need: Need, ruling: Ruling) -> Wanted {
        Wanted {
            service: service.clone(),
            team: self.name.clone(),
            class: ruling.class.unwrap_or(self.team.class),
            weight: self.team.weight,
            need,
            prefixes: Vec::new(),
            ruling,
            deadline: head.deadline,
            tried: Vec::new(),
            accepted: false,
        }
    }

    fn facts(&self, node: &Node, head: &Head, service: &ServiceName, need: &Need) -> Facts {
        Facts {
            team: self.name.clone(),
            service: service.clone(),
            class: self.team.class,
            data_centre: node.settings.node.data_centre.clone(),
            prompt: need.prompt,
            output: need.output,
            repeatable: head.repeatable,
            may_wait: head.may_wait,
        }
    }
}

async fn completion(
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
    let body = String::from_utf8_lossy(&bytes).into_owned();
    let start = Start { repeatable, digest, body, linger: LINGER, pieces: Vec::new() };
    let generation = begin_generation(node, head, &ground, &completion, start)?;
    respond(node, head, &ground.name, generation.read_from(0), completion.stream).await
}

/// What a generation begins with besides its request.
struct Start {
    repeatable: bool,
    digest: String,
    body: String,
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
    let need = Need {
        data_centre: node.settings.node.data_centre.clone(),
        prompt: Tokens::estimate(&completion.prompt),
        output: completion.output,
    };
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
    let origin =
        Origin { path: head.bare_path().to_owned(), body, deadline: head.deadline, repeatable };
    let shape = shape(completion, need.prompt);
    let generation = Generation::new(shape, digest, Some(origin), pieces);
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
        created: unix_millis() / 1_000,
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
    answer_from(reader, stream, Some(tally)).await
}

/// Counts what a caller is given.
struct Tally {
    node: Arc<Node>,
    team: TeamName,
    arrived: std::time::Instant,
}

impl Tally {
    fn first(&self) {
        let seconds = self.arrived.elapsed().as_secs_f64();
        self.node.metrics.record_first_token(self.team.as_str(), seconds);
    }

    fn end(&self, tokens: usize, end: &End) {
        let outcome = match end {
            End::Whole => "done".to_owned(),
            End::Recorded(_) => "recorded".to_owned(),
            End::Failed(failure) => failure.kind.to_string(),
        };
        self.node.metrics.count_tokens(self.team.as_str(), tokens as u64);
        self.node.metrics.count_request(self.team.as_str(), &outcome);
    }
}

/// Waits for the first item, so that a failure before it has its own status, then answers.
async fn answer_from(
    mut reader: Reader,
    stream: bool,
    tally: Option<Tally>,
) -> Result<Response<Body>, Failure> {
    let first = reader.next().await;
    if let Some(tally) = &tally {
        tally.first();
    }
    match first {
        Item::End(End::Failed(failure)) => {
            if let Some(tally) = &tally {
                tally.end(0, &End::Failed(failure.clone()));
            }
            Err(failure)
        }
        Item::End(End::Recorded(answer)) if stream => Ok(recorded_stream(&answer)),
        Item::End(End::Recorded(answer)) => Ok(answer::recorded(&answer)),
        first if stream => Ok(stream_answer(reader, first, tally)),
        first => whole_answer(reader, first, tally).await,
    }
}

async fn whole_answer(
    mut reader: Reader,
    first: Item,
    tally: Option<Tally>,
) -> Result<Response<Body>, Failure> {
    let mut item = first;
    loop {
        if let Item::End(end) = item {
            if let Some(tally) = &tally {
                tally.end(reader.generation().len(), &end);
            }
            return match end {
                End::Whole => Ok(answer::done(&reader.generation().whole_value())),
                End::Recorded(recorded) => Ok(answer::recorded(&recorded)),
                End::Failed(failure) => Err(failure),
            };
        }
        item = reader.next().await;
    }
}

fn stream_answer(mut reader: Reader, first: Item, tally: Option<Tally>) -> Response<Body> {
    let events = stream! {
        let mut item = first;
        loop {
            match item {
                Item::Piece(place, piece) => {
                    yield Ok(Frame::data(reader.generation().chunk_event(place, &piece)));
                }
                Item::End(end) => {
                    if let Some(tally) = &tally {
                        tally.end(reader.generation().len(), &end);
                    }
                    yield closing(&end);
                    return;
                }
            }
            item = reader.next().await;
        }
    };
    let body = BodyExt::boxed_unsync(StreamBody::new(events));
    event_stream(body, RunState::Done)
}

fn event_stream(body: Body, run: RunState) -> Response<Body> {
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    // In a stream the head only says that the request runs; its closing event says the outcome.
    match run {
        RunState::Done => response,
        RunState::NotRun | RunState::Unknown => answer::with_run(response, run),
    }
}

/// The closing event: `[DONE]` only when every piece was sent.
fn closing(end: &End) -> Result<Frame<Bytes>, io::Error> {
    match end {
        End::Whole | End::Recorded(_) => Ok(Frame::data(Bytes::from_static(b"data: [DONE]\n\n"))),
        End::Failed(failure) => {
            let value = answer::failure_value(failure);
            Ok(Frame::data(Bytes::from(format!("event: error\ndata: {value}\n\n"))))
        }
    }
}

/// A recorded answer for a caller that asked for a stream: one chunk with all of it.
fn recorded_stream(recorded: &RecordedAnswer) -> Response<Body> {
    let body = recorded.body.clone().unwrap_or_default();
    let mut value: Value = serde_json::from_str(&body).unwrap_or(Value::Null);
    if let Some(choice) = value.pointer_mut("/choices/0").and_then(Value::as_object_mut)
        && let Some(message) = choice.remove("message")
    {
        choice.insert("delta".to_owned(), message);
    }
    let text = format!("data: {value}\n\ndata: [DONE]\n\n");
    event_stream(answer::whole(text), RunState::Done)
}

async fn service(
    node: &Arc<Node>,
    head: &Head,
    ground: Ground,
    bytes: Bytes,
) -> Result<Response<Body>, Failure> {
    let rest = &head.path[SERVICES.len()..];
    let (name, path) = rest.split_at(rest.find(['/', '?']).unwrap_or(rest.len()));
    let name: ServiceName = name
        .parse()
        .map_err(|error| Failure::new(Kind::NotFound, format!("the service's name: {error}")))?;
    let service = ground.service(&name, ServiceKind::Plain)?;
    let safe = matches!(head.method, Method::GET | Method::HEAD | Method::OPTIONS);
    let repeatable = head.repeatable && (service.repeatable || safe);
    if head.may_wait {
        return keep(node, head, &ground, &bytes, repeatable).await;
    }
    let need = Need {
        data_centre: node.settings.node.data_centre.clone(),
        prompt: Tokens(1),
        output: Tokens(0),
    };
    let ruling = ground.rule(node, service, &ground.facts(node, head, &name, &need))?;
    let _admitted = ground.admit(node, need.prompt)?;
    let path = if path.starts_with('/') { path.to_owned() } else { format!("/{path}") };
    let digest = digest(&format!("{} {}", head.method, head.path), &bytes);
    let mut request = PlainRequest::new(head, path, bytes, service.silence.duration());
    request.repeatable = repeatable;
    let key = head.key.as_ref().filter(|_| !repeatable);
    request.once = key.map(|key| Once::new(&ground.name, key, digest));
    let wanted = ground.wanted(head, &name, need, ruling);
    plain::run(node, wanted, &request, head).await
}

/// Keeps work for a caller that may wait: durable before it is told so.
async fn keep(
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
    let place = format!("{WORK}{id}");
    let value = json!({ "id": id, "location": place, "state": "kept" });
    let mut response = answer::json_answer(StatusCode::ACCEPTED, &value);
    if let Ok(value) = HeaderValue::from_str(&place) {
        response.headers_mut().insert(hyper::header::LOCATION, value);
    }
    let applied = HeaderValue::from_static("respond-async");
    response.headers_mut().insert("preference-applied", applied);
    response
}

async fn fetch_work(node: &Arc<Node>, head: &Head) -> Result<Response<Body>, Failure> {
    let ground = Ground::read(node, head)?;
    let missing = || Failure::new(Kind::NotFound, "no such work");
    let id: WorkId = head.bare_path()[WORK.len()..].parse().map_err(|_| missing())?;
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

/// Goes on with a stream that another node has handed over.
pub(crate) fn resume_handed(node: &Arc<Node>, offer: &HandOver) -> Result<(), Failure> {
    let ground = Ground::of_team(node, &offer.team)?;
    let completion = Completion::read(&offer.path, offer.body.as_bytes())?;
    let left = Duration::from_millis(offer.left);
    let head = Head::internal(&offer.path, Some(offer.key.clone()), true, left);
    let start = Start {
        repeatable: true,
        digest: digest(&offer.path, offer.body.as_bytes()),
        body: offer.body.clone(),
        linger: HANDED_LINGER,
        pieces: offer.pieces.clone(),
    };
    let generation = begin_generation(node, &head, &ground, &completion, start)?;
    // The caller is away; from now on it has the lingering time to come back.
    drop(generation.read_from(0));
    Ok(())
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
