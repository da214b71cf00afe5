//! Answers other nodes and operators.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eyre::{Result, eyre};
use jsonrpsee::server::{
    Methods, ServerBuilder, ServerConfig, ServerHandle, serve_with_graceful_shutdown, stop_channel,
};
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::{Extensions, RpcModule};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::client::MESSAGE_LIMIT;
use super::method::{
    self, BoxHeartbeat, Call, DemandReply, DemandRequest, DocumentAsk, DocumentPiece, GroupStatus,
    HeartbeatReply, NodeStatus, Poll, PollReply, ProxyReply, ProxyRequest, QuarantineAnswer,
    QuarantineAsk, RolloutAnswer, RolloutAsk, ThrottleReply, ThrottleRequest, Update,
};
use crate::control::{
    demand, document_source, lead, origins, proxies, quarantine, rollouts, share, throttle,
};
use crate::decide::origin_shares::{OriginReceipt, SharedOrigins};
use crate::decide::origins::{OriginAnswer, OriginRequest};
use crate::entry::hand_over;
use crate::group::driver::{GroupMessage, Unanswered};
use crate::group::message::{Envelope, MemberChange, Members};
use crate::group::replica::Replica;
use crate::http::listen::{accept, listen};
use crate::member::spread::{self, Gossip};
use crate::member::table::MembershipUpdates;
use crate::node::Node;
use crate::peer::packed::Packed;
use crate::relay::list::{PackedParts, PartId};
use crate::state::rollout::RolloutOrder;
use crate::state::work::{WorkId, WorkView};
use crate::state::{Command, Reply};

/// Connections at the same time.
const CONNECTION_LIMIT: u32 = 2_048;

/// How long this replica's own actor may take.
const ACTOR_TIME: Duration = Duration::from_secs(5);

/// An age up to which a replica's state tells an unsure node something.
const RECENT: Duration = Duration::from_millis(1_000);

/// A refused call's code.
const REFUSED: i32 = -32_000;

/// Where a running server listens, and the handle that stops it when dropped.
pub struct PeerServer {
    /// The address.
    pub addr: SocketAddr,
    _handle: ServerHandle,
}

/// Starts answering at `addr`.
///
/// # Errors
/// When the address cannot be listened on.
pub async fn start(addr: SocketAddr, node: Arc<Node>) -> Result<PeerServer> {
    let config = ServerConfig::builder()
        .max_connections(CONNECTION_LIMIT)
        .max_request_body_size(MESSAGE_LIMIT)
        .max_response_body_size(MESSAGE_LIMIT)
        .build();
    let listener = listen(addr, "nodes").await?;
    let addr = listener.local_addr()?;
    let service = ServerBuilder::with_config(config).to_service_builder();
    let methods: Methods = methods(node)?.into();
    let (stop, handle) = stop_channel();
    // The library's own loop does not pause while descriptors have run out.
    tokio::spawn(async move {
        let mut stopped = pin!(stop.clone().shutdown());
        loop {
            let stream = tokio::select! {
                stream = accept(&listener) => stream,
                () = &mut stopped => return,
            };
            let _ = stream.set_nodelay(true);
            let service = service.clone().build(methods.clone(), stop.clone());
            let connection = serve_with_graceful_shutdown(stream, service, stop.clone().shutdown());
            tokio::spawn(async move {
                if let Err(error) = connection.await {
                    tracing::debug!(event = "node_connection_ended", %error);
                }
            });
        }
    });
    Ok(PeerServer { addr, _handle: handle })
}

fn methods(node: Arc<Node>) -> Result<RpcModule<Arc<Node>>> {
    let mut module = RpcModule::new(node);
    register(&mut module, method::STEP, step)?;
    register(&mut module, method::PROPOSE, propose)?;
    register(&mut module, method::POLL, poll)?;
    register(&mut module, method::GROUP_STATUS, group_status)?;
    register(&mut module, method::FORM, form)?;
    register(&mut module, method::CHANGE_MEMBERS, change_members)?;
    register(&mut module, method::READ_WORK, read_work)?;
    register(&mut module, method::SHARE, share::lease)?;
    register(&mut module, method::BEAT, beat)?;
    register(&mut module, method::DEMAND, demanded)?;
    register(&mut module, method::THROTTLE, throttled)?;
    register(&mut module, method::PROXIES, assign_proxies)?;
    register(&mut module, method::STREAM_ORIGIN, stream_origin)?;
    register(&mut module, method::SHARED_ORIGINS, shared_origins)?;
    register(&mut module, method::LIST_PARTS, list_parts)?;
    register(&mut module, method::DOCUMENT, document_piece)?;
    register(&mut module, method::ROLLOUT, rollout)?;
    register(&mut module, method::QUARANTINE, held)?;
    register(&mut module, method::GOSSIP, gossip)?;
    register(&mut module, method::PROBE, probe)?;
    register(&mut module, method::HAND_OVER, hand_over::take)?;
    register(&mut module, method::STATUS, status)?;
    register(&mut module, method::DRAIN, drain)?;
    register(&mut module, method::TRACE, trace)?;
    Ok(module)
}

/// Registers a method whose calls are answered only with the shared secret.
fn register<T, R, F>(
    module: &mut RpcModule<Arc<Node>>,
    name: &'static str,
    handler: fn(Arc<Node>, T) -> F,
) -> Result<()>
where
    T: DeserializeOwned + Send + 'static,
    R: Serialize + Clone + Send + 'static,
    F: Future<Output = Result<R, String>> + Send + 'static,
{
    let callback =
        move |params: jsonrpsee::types::Params<'static>, node: Arc<Arc<Node>>, _: Extensions| {
            let call: Result<Call<T>, _> = params.one();
            let node = (*node).clone();
            async move {
                let call = call?;
                if call.secret != node.settings.peer.secret {
                    return Err(refused("the secret is wrong"));
                }
                handler(node, call.body).await.map_err(|text| refused(&text))
            }
        };
    module
        .register_async_method::<Result<R, ErrorObjectOwned>, _, _>(name, callback)
        .map_err(|error| eyre!("register {name}: {error}"))?;
    Ok(())
}

fn refused(text: &str) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(REFUSED, text, None::<()>)
}

fn replica(node: &Node) -> Result<&Replica, String> {
    node.access.local().ok_or_else(|| "this node is no replica".to_owned())
}

/// Asks this process's replica.
async fn ask<R>(
    node: &Node,
    message: impl FnOnce(ractor::RpcReplyPort<R>) -> GroupMessage,
) -> Result<R, String>
where
    R: Send + 'static,
{
    replica(node)?.ask(message, ACTOR_TIME).await.map_err(|error| error.to_string())
}

async fn step(node: Arc<Node>, envelopes: Vec<Envelope>) -> Result<(), String> {
    let sent = replica(&node)?.tell(GroupMessage::Step(envelopes));
    sent.map_err(|error| error.to_string())
}

async fn propose(node: Arc<Node>, command: Command) -> Result<Result<Reply, Unanswered>, String> {
    ask(&node, |port| GroupMessage::Propose(Box::new(command), port)).await
}

async fn read_work(
    node: Arc<Node>,
    id: WorkId,
) -> Result<Result<Option<WorkView>, Unanswered>, String> {
    ask(&node, |port| GroupMessage::ReadWork(id, port)).await
}

async fn beat(
    node: Arc<Node>,
    Packed(word): Packed<BoxHeartbeat>,
) -> Result<Result<Packed<HeartbeatReply>, Unanswered>, String> {
    Ok(lead::handle_heartbeat(node, word).await.map(Packed))
}

async fn demanded(
    node: Arc<Node>,
    teams: DemandRequest,
) -> Result<Result<DemandReply, Unanswered>, String> {
    Ok(demand::answer(node, teams).await)
}

async fn throttled(
    node: Arc<Node>,
    limits: ThrottleRequest,
) -> Result<Result<ThrottleReply, Unanswered>, String> {
    Ok(throttle::answer(node, limits).await)
}

async fn assign_proxies(
    node: Arc<Node>,
    report: ProxyRequest,
) -> Result<Result<ProxyReply, Unanswered>, String> {
    Ok(proxies::answer(node, report).await)
}

async fn stream_origin(
    node: Arc<Node>,
    Packed(request): Packed<OriginRequest>,
) -> Result<Result<Packed<OriginAnswer>, Unanswered>, String> {
    Ok(origins::answer(node, request).await.map(Packed))
}

async fn shared_origins(
    node: Arc<Node>,
    Packed(shared): Packed<SharedOrigins>,
) -> Result<Packed<OriginReceipt>, String> {
    replica(&node)?;
    Ok(Packed(origins::apply_shared(&node, shared)))
}

async fn list_parts(
    node: Arc<Node>,
    Packed(wanted): Packed<Vec<PartId>>,
) -> Result<Result<PackedParts, Unanswered>, String> {
    Ok(lead::packed_parts(node, wanted).await)
}

async fn document_piece(
    node: Arc<Node>,
    Packed(wanted): Packed<DocumentAsk>,
) -> Result<Packed<Option<DocumentPiece>>, String> {
    replica(&node)?;
    Ok(Packed(document_source::read_piece(&node, wanted).await))
}

async fn gossip(node: Arc<Node>, gossip: Gossip) -> Result<MembershipUpdates, String> {
    node.hear_gossip(gossip).await.ok_or_else(|| "the node has just started".to_owned())
}

async fn probe(node: Arc<Node>, addr: SocketAddr) -> Result<bool, String> {
    Ok(spread::witness(&node.peers, &node.settings.node.box_id, addr).await)
}

async fn group_status(node: Arc<Node>, (): ()) -> Result<GroupStatus, String> {
    ask(&node, GroupMessage::Status).await
}

async fn form(node: Arc<Node>, members: Members) -> Result<Result<(), String>, String> {
    ask(&node, |port| GroupMessage::Form(members, port)).await
}

async fn change_members(
    node: Arc<Node>,
    change: MemberChange,
) -> Result<Result<(), Unanswered>, String> {
    ask(&node, |port| GroupMessage::ChangeMembers(change, port)).await
}

/// Answers as soon as there is something newer than the asker has, or when its time is up.
async fn poll(node: Arc<Node>, poll: Poll) -> Result<PollReply, String> {
    replica(&node)?;
    let mut following = node.board.follow_configuration();
    let mut documents = node.board.follow_document();
    let mut fresh = node.board.follow_fresh();
    let is_recent = |at: &Option<Instant>| at.is_some_and(|at| at.elapsed() < RECENT);
    let newer = async {
        tokio::select! {
            _ = following.wait_for(|it| it.configuration.revision > poll.from), if !poll.unsure => {}
            _ = documents.wait_for(|it| it.version > poll.document), if !poll.unsure => {}
            _ = fresh.wait_for(is_recent), if poll.unsure => {}
        }
    };
    let _ = tokio::time::timeout(Duration::from_millis(poll.wait), newer).await;
    // Freshness first: the configuration read after it is at least as new.
    let age = node.board.age().map(|age| age.as_millis() as u64 + 1);
    let configuration = node.board.in_force().configuration.clone();
    let news = match configuration.changes_after(poll.from) {
        Some(changes) => Update::Changes(changes),
        None => Update::Whole(configuration),
    };
    let document = node.board.document().version;
    let members = node.access.directory().members().into_iter().map(|(id, _)| id).collect();
    let (work, data_centre) = (node.board.work_waiting(), node.settings.node.data_centre.clone());
    Ok(PollReply { age, work, news, document, members, data_centre: Some(data_centre) })
}

async fn status(node: Arc<Node>, (): ()) -> Result<NodeStatus, String> {
    let group = match node.access.local() {
        Some(_) => ask(&node, GroupMessage::Status).await.ok(),
        None => None,
    };
    Ok(node.status(group))
}

async fn rollout(node: Arc<Node>, ask: RolloutAsk) -> Result<RolloutAnswer, String> {
    replica(&node)?;
    let answer = match ask {
        RolloutAsk::Order { service, release, time } => {
            let repeats = node.settings.rollout.repeats;
            rollouts::order(&node, RolloutOrder { service, release, time, repeats }).await
        }
        RolloutAsk::Show(service) => rollouts::show(&node, &service).await,
        RolloutAsk::Abort(service) => rollouts::abort(&node, &service).await,
    };
    Ok(answer.map_err(|failure| (failure.kind, failure.detail)))
}

async fn held(node: Arc<Node>, ask: QuarantineAsk) -> Result<QuarantineAnswer, String> {
    replica(&node)?;
    let answer = match ask {
        QuarantineAsk::Show => quarantine::show(&node).await,
        QuarantineAsk::Lift(request) => quarantine::lift(&node, request).await,
    };
    Ok(answer.map_err(|failure| (failure.kind, failure.detail)))
}

async fn drain(node: Arc<Node>, (): ()) -> Result<(), String> {
    node.stop.notify_one();
    Ok(())
}

async fn trace(node: Arc<Node>, id: String) -> Result<Vec<crate::telemetry::Hop>, String> {
    Ok(node.board.hops.of_trace(&id))
}
