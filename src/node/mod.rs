//! A node: one process with its roles, and what its parts share.

mod news;
mod relay;
mod replica;
mod requests;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use eyre::Result;
use ractor::ActorRef;
use tokio::sync::{Notify, watch};

use crate::backend::Pool;
use crate::blackboard::{Blackboard, Phase};
use crate::control;
use crate::control::document_fetch;
use crate::control::document_source::DocumentSource;
use crate::control::lead::{LeaderState, new_origins};
use crate::decide::admission::Admission;
use crate::decide::origins::StreamOrigins;
use crate::decide::retry::RetryBudget;
use crate::decide::share::Lessor;
use crate::entry::dispatch::Dispatcher;
use crate::entry::generation::Generation;
use crate::entry::{drain, serve};
use crate::error::{Failure, Kind};
use crate::group::access::Access;
use crate::group::follow;
use crate::http::gate::Gate;
use crate::http::listen::listen;
use crate::http::server;
use crate::ids::{Incarnation, RequestKey, TeamName, Term};
use crate::member::spread::GossipMessage;
use crate::peer::method::{BackendStatus, GroupStatus, NodeStatus};
use crate::peer::server::PeerServer;
use crate::peer::{Peers, server as peer_server};
use crate::platform::PlatformDialect;
use crate::relay::Relay;
use crate::relay::dialect::Dialect;
use crate::relay::stopping::Stopping;
use crate::settings::{Role, Settings, StaleRule};
use crate::sync::lock;
use crate::tasks;
use crate::telemetry::Metrics;
use crate::units::UnixMillis;

use replica::{OpeningReplica, ReplicaContext};
pub use requests::AdmissionGuard;

/// How long an actor of this process may take.
const ACTOR_TIME: Duration = Duration::from_millis(400);

type GenerationKey = (TeamName, RequestKey);

/// What a node's parts share.
pub struct Node {
    /// The settings.
    pub settings: Settings,
    /// What is known at the moment.
    pub board: Arc<Blackboard>,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// Connections to other nodes.
    pub peers: Peers,
    /// The way to the replicated group.
    pub access: Access,
    /// Connections to backend servers.
    pub pool: Pool,
    /// How callers by published routes, and operators who publish them, write things down.
    pub dialect: Arc<dyn Dialect>,
    /// Finds backend servers.
    pub dispatch: Dispatcher,
    /// The life of this process.
    pub life: Incarnation,
    /// Asks the node to drain and stop.
    pub stop: Notify,
    /// Where callers reach the node, once it listens.
    pub entry_addr: OnceLock<SocketAddr>,
    /// Where nodes reach it, once it listens.
    pub peer_addr: OnceLock<SocketAddr>,
    started: Instant,
    relay: OnceLock<Arc<Relay>>,
    spread: OnceLock<ActorRef<GossipMessage>>,
    lessor: Mutex<Option<(Term, Lessor)>>,
    /// Told when the leader's note of low teams is to be looked at.
    pub(crate) lacking: Notify,
    /// The published documents that boxes are given differences from.
    pub(crate) documents: DocumentSource,
    pub(crate) lead: Mutex<Option<LeaderState>>,
    /// Told when the leader has read another list of backend servers.
    pub(crate) listed: Notify,
    /// The origins of streams that this replica remembers, as the leader or for the next one.
    pub(crate) origins: Arc<Mutex<StreamOrigins>>,
    /// Told when boxes have reported origins of streams to the leader.
    pub(crate) origins_reported: Notify,
    /// The stop of this node.
    pub(crate) stopping: Stopping,
    stop_by: Mutex<Option<Instant>>,
    failure: Mutex<Option<eyre::Report>>,
    admission: Mutex<Admission>,
    retries: Mutex<RetryBudget>,
    generations: Mutex<HashMap<GenerationKey, Arc<Generation>>>,
    closing: watch::Sender<bool>,
}

impl Node {
    /// Starts a node's parts: its replica, where it has one, and everything that follows the
    /// configuration. It does not listen yet.
    ///
    /// # Errors
    /// When the data folder cannot be used.
    pub async fn start(settings: Settings) -> Result<Arc<Self>> {
        let board = Arc::new(Blackboard::new(settings.node.box_id.clone()));
        let peers = Peers::new(&settings.peer.secret);
        let directory = Arc::new(settings.directory());
        let mut opening = settings.has(Role::Replica).then(|| {
            OpeningReplica::begin(ReplicaContext {
                settings: settings.clone(),
                board: board.clone(),
                peers: peers.clone(),
                directory: directory.clone(),
            })
        });
        if let Some(opening) = &mut opening {
            opening.wait().await?;
        }
        let local = opening.as_ref().map(|it| it.replica.clone());
        let own = settings.node.box_id.clone();
        let access = Access::new(own, local, peers.clone(), directory.clone());
        let dispatch = Dispatcher::new(board.clone(), settings.entry.queue);
        let node = Arc::new(Self {
            metrics: Arc::new(Metrics::new()?),
            pool: Pool::default(),
            life: Incarnation(UnixMillis::now().0),
            stop: Notify::new(),
            entry_addr: OnceLock::new(),
            peer_addr: OnceLock::new(),
            started: Instant::now(),
            relay: OnceLock::new(),
            spread: OnceLock::new(),
            lessor: Mutex::default(),
            lacking: Notify::new(),
            documents: DocumentSource::default(),
            lead: Mutex::default(),
            listed: Notify::new(),
            origins: new_origins(),
            origins_reported: Notify::new(),
            dialect: Arc::new(PlatformDialect),
            stopping: Stopping::default(),
            stop_by: Mutex::default(),
            failure: Mutex::default(),
            admission: Mutex::default(),
            retries: Mutex::default(),
            generations: Mutex::default(),
            closing: watch::Sender::new(false),
            settings,
            board,
            peers,
            access,
            dispatch,
        });
        if node.access.local().is_none() {
            let (board, peers) = (node.board.clone(), node.peers.clone());
            node.keep("document_fetch", |node| document_fetch::run(node.clone()));
            tasks::keep("follow", move || {
                follow::run(board.clone(), peers.clone(), directory.clone())
            });
        }
        if let Some(opening) = opening {
            opening.watch(&node);
        }
        node.start_joining();
        node.keep("become_ready", |node| become_ready(node.clone()));
        Ok(node)
    }

    /// Listens for nodes, callers and readers of metrics, and serves until asked to stop; then
    /// drains.
    ///
    /// # Errors
    /// When the process may not listen on an address, or the node has failed.
    pub async fn serve(self: &Arc<Self>) -> Result<()> {
        tokio::select! {
            serving = self.start_serving() => {
                let _peer = serving?;
                self.stop.notified().await;
                drain::run(self).await;
            }
            () = self.stop.notified() => {
                tracing::info!(event = "stopped_while_starting");
                if self.board.requests() > 0 {
                    drain::run(self).await;
                }
            }
        }
        lock(&self.failure).take().map_or(Ok(()), Err)
    }

    /// Keeps a task of this node running.
    pub(crate) fn keep<F>(
        self: &Arc<Self>,
        name: &'static str,
        start: impl Fn(&Arc<Self>) -> F + Send + 'static,
    ) where
        F: Future<Output = ()> + Send + 'static,
    {
        let node = self.clone();
        tasks::keep(name, move || start(&node));
    }

    /// Has the node stop and end with this failure.
    pub(crate) fn fail(&self, failure: eyre::Report) {
        lock(&self.failure).get_or_insert(failure);
        self.stop.notify_one();
    }

    /// Opens every listener, each as soon as its address is free, and starts what serves behind it. A replica that is
    /// reached by others may lead, so it has its duties from then on.
    async fn start_serving(self: &Arc<Self>) -> Result<PeerServer> {
        let peer = peer_server::start(self.settings.peer.listen, self.clone()).await?;
        let advertised = self.settings.peer.advertise.unwrap_or(peer.addr);
        let _ = self.peer_addr.set(advertised);
        tracing::info!(event = "listening", side = "peer", addr = %peer.addr);
        control::start(self);
        tokio::try_join!(
            self.start_metrics(),
            self.start_entry(),
            self.start_relay(),
            self.start_operator()
        )?;
        Ok(peer)
    }

    async fn start_metrics(self: &Arc<Self>) -> Result<()> {
        let metrics = listen(self.settings.metrics.listen, "metrics").await?;
        tracing::info!(event = "listening", side = "metrics", addr = %metrics.local_addr()?);
        tokio::spawn(crate::telemetry::metrics::run(self.clone(), metrics));
        Ok(())
    }

    async fn start_entry(self: &Arc<Self>) -> Result<()> {
        if self.settings.has(Role::Entry) {
            let listener = listen(self.settings.entry.listen, "callers").await?;
            let addr = listener.local_addr()?;
            let _ = self.entry_addr.set(self.settings.entry.advertise.unwrap_or(addr));
            tracing::info!(event = "listening", side = "entry", addr = %addr);
            let node = self.clone();
            let handler = move |request| serve::handle(node.clone(), request);
            let closing = self.follow_closing();
            let gate = Gate::new(self.settings.entry.limits());
            tokio::spawn(server::run(listener, gate, closing, handler, serve::too_many));
        }
        match self.access.directory().is_seeded() {
            true => Ok(()),
            false => self.start_spread().await,
        }
    }

    /// Takes changed settings, as far as they may change while the node runs: the seeds. The rest
    /// takes effect at the next start.
    pub fn reload(&self, settings: &Settings) {
        let seeds = settings.group.seed_ips();
        tracing::info!(event = "settings_reloaded", seeds = seeds.len());
        self.access.directory().reseed(&seeds);
    }

    /// How long the process has run.
    pub(crate) fn uptime(&self) -> Duration {
        self.started.elapsed()
    }

    /// Follows whether connections are to close behind their requests.
    pub fn follow_closing(&self) -> watch::Receiver<bool> {
        self.closing.subscribe()
    }

    /// Why the platform's balancer should send no caller here, if it should not.
    pub fn unready(&self) -> Option<&'static str> {
        match self.board.phase() {
            Phase::Starting => return Some("no confirmed configuration yet"),
            Phase::Draining => return Some("draining"),
            Phase::Serving => {}
        }
        self.is_stale().then_some("the configuration may be out of date")
    }

    fn is_stale(&self) -> bool {
        let lease = self.settings.entry.config_lease.duration();
        let rule = self.settings.entry.on_stale;
        rule == StaleRule::Refuse && self.board.age().is_none_or(|age| age > lease)
    }

    /// Whether the node takes a new request.
    ///
    /// # Errors
    /// [`Kind::Draining`] or [`Kind::StaleConfiguration`], both proof that it is not run.
    pub fn check_takes_work(&self) -> Result<(), Failure> {
        // Until the balancer has seen that the node drains, callers still come, and are served.
        if *self.closing.borrow() {
            return Err(Failure::new(Kind::Draining, "the node is stopping; ask another"));
        }
        if self.board.phase() == Phase::Starting || self.is_stale() {
            let text = "the node's configuration may be out of date; ask another node";
            return Err(Failure::new(Kind::StaleConfiguration, text));
        }
        Ok(())
    }

    /// The node's state, for operators.
    pub fn status(&self, group: Option<GroupStatus>) -> NodeStatus {
        let boxes = self.board.boxes.load();
        let backends = self.board.fleet.all().into_iter().map(|(id, state)| {
            let load = state.load();
            let word = match (state.leaving().is_some(), state.is_ejected()) {
                (true, _) => "leaving",
                (false, true) => "ejected",
                (false, false) => "open",
            };
            let status = BackendStatus {
                state: word.to_owned(),
                requests: state.in_flight(),
                running: load.map_or(0, |load| load.running),
                waiting: load.map_or(0, |load| load.waiting),
            };
            (id, status)
        });
        NodeStatus {
            box_id: self.settings.node.box_id.clone(),
            data_centre: self.settings.node.data_centre.clone(),
            phase: self.board.phase().to_string(),
            revision: self.board.revision(),
            age: self.board.age().map(|age| age.as_millis() as u64),
            requests: self.board.requests(),
            entry: self.entry_addr.get().copied(),
            boxes: boxes.iter().map(|(id, it)| (id.clone(), it.state.to_string())).collect(),
            backends: backends.collect(),
            distances: self
                .relay()
                .map(|it| it.distances().learned_rtts(Instant::now()))
                .unwrap_or_default(),
            group,
        }
    }

    /// The platform takes this box back within `left`.
    pub(crate) fn stop_within(&self, left: Duration) {
        let mut stop_by = lock(&self.stop_by);
        if stop_by.is_none() {
            *stop_by = Some(Instant::now() + left);
            tracing::warn!(event = "box_reclaimed", left_ms = left.as_millis() as u64);
            self.stop.notify_one();
        }
    }

    /// When the box goes, if the platform has said so.
    pub(crate) fn stop_by(&self) -> Option<Instant> {
        *lock(&self.stop_by)
    }

    /// Has connections close behind their requests, and new requests refused.
    pub(crate) fn close_connections(&self) {
        self.closing.send_replace(true);
    }
}

/// Serves as soon as the configuration in force is confirmed to be the newest.
async fn become_ready(node: Arc<Node>) {
    let mut fresh = node.board.follow_fresh();
    if fresh.wait_for(Option::is_some).await.is_ok() {
        node.board.set_phase(Phase::Serving);
        tracing::info!(event = "serving", revision = %node.board.revision());
    }
}
