//! A node: one process with its roles, and what its parts share.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use eyre::{Result, WrapErr};
use ractor::rpc::CallResult;
use ractor::{Actor, ActorRef};
use tokio::sync::{Notify, watch};

use crate::backend::Pool;
use crate::blackboard::{Blackboard, Phase};
use crate::control;
use crate::decide::admit::{Admission, TeamLimit, TeamUse};
use crate::decide::retry::RetryBudget;
use crate::decide::share::Lessor;
use crate::entry::dispatch::Dispatcher;
use crate::entry::generation::Generation;
use crate::entry::{drain, server};
use crate::error::{Failure, Kind};
use crate::group::access::Access;
use crate::group::core::{Core, Identity};
use crate::group::driver::{Driver, DriverArguments, GroupMessage, core_clock, decode_machine};
use crate::group::follow;
use crate::group::links::Links;
use crate::group::storage::Storage;
use crate::ids::{BackendId, BoxId, Incarnation, RequestKey, TeamName, Term};
use crate::member::spread::{Gossip, Spread, SpreadArguments, SpreadMessage};
use crate::member::table::{BackendNews, BoxRecord, BoxState, News};
use crate::peer::method::{BackendStatus, GroupStatus, NodeStatus};
use crate::peer::{Peers, server as peer_server};
use crate::settings::{Role, Settings, StaleRule};
use crate::state::Machine;
use crate::telemetry::Metrics;
use crate::telemetry::hops::unix_millis;
use crate::units::Tokens;

/// The group that carries configuration, ledger and kept work today.
const GROUP: u32 = 0;

/// How long a finished generation stays, for callers that come back.
const KEEP_TIME: Duration = Duration::from_secs(60);

/// Generations held under keys at most.
const KEEP_COUNT: usize = 10_000;

/// How long an own actor may take.
const GOSSIP_TIME: Duration = Duration::from_millis(400);

type GenerationKey = (TeamName, RequestKey);

/// What a node's parts share.
pub struct Node {
    /// The settings.
    pub settings: Settings,
    /// What is known at the moment.
    pub board: Arc<Blackboard>,
    /// The metrics.
    pub metrics: Metrics,
    /// Connections to other nodes.
    pub peers: Peers,
    /// The way to the replicated group.
    pub access: Access,
    /// Connections to backend servers.
    pub pool: Pool,
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
    spread: OnceLock<ActorRef<SpreadMessage>>,
    lessor: Mutex<Option<(Term, Lessor)>>,
    stop_by: Mutex<Option<Instant>>,
    admission: Mutex<Admission>,
    retries: Mutex<RetryBudget>,
    generations: Mutex<HashMap<GenerationKey, Arc<Generation>>>,
    closing: watch::Sender<bool>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
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
        let local = match settings.has(Role::Replica) {
            true => Some(start_replica(&settings, &board, &peers).await?),
            false => None,
        };
        let own = settings.node.box_id.clone();
        let access = Access::new(own, local, peers.clone(), settings.replicas.clone());
        let dispatch = Dispatcher::new(board.clone(), settings.entry.queue);
        let node = Arc::new(Self {
            metrics: Metrics::new()?,
            pool: Pool::default(),
            life: Incarnation(unix_millis()),
            stop: Notify::new(),
            entry_addr: OnceLock::new(),
            peer_addr: OnceLock::new(),
            started: Instant::now(),
            spread: OnceLock::new(),
            lessor: Mutex::default(),
            stop_by: Mutex::default(),
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
            tokio::spawn(follow::run(board, peers, node.settings.replicas.clone()));
        }
        tokio::spawn(become_ready(node.clone()));
        Ok(node)
    }

    /// Listens for nodes, callers and readers of metrics, and serves until asked to stop; then
    /// drains.
    ///
    /// # Errors
    /// When an address cannot be listened on.
    pub async fn serve(self: &Arc<Self>) -> Result<()> {
        let peer = peer_server::start(self.settings.peer.listen, self.clone()).await?;
        let advertised = self.settings.peer.advertise.unwrap_or(peer.addr);
        let _ = self.peer_addr.set(advertised);
        tracing::info!(event = "listening", side = "peer", addr = %peer.addr);
        let metrics = crate::telemetry::metrics::listen(self.settings.metrics.listen).await?;
        tracing::info!(event = "listening", side = "metrics", addr = %metrics.local_addr()?);
        tokio::spawn(crate::telemetry::metrics::run(self.clone(), metrics));
        if self.settings.has(Role::Entry) {
            let listener = server::listen(self.settings.entry.listen).await?;
            let addr = listener.local_addr()?;
            let _ = self.entry_addr.set(self.settings.entry.advertise.unwrap_or(addr));
            tracing::info!(event = "listening", side = "entry", addr = %addr);
            tokio::spawn(server::run(self.clone(), listener));
        }
        self.start_spread().await?;
        control::start(self);
        self.stop.notified().await;
        drain::run(self).await;
        Ok(())
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

    /// Admits a request; dropping the guard gives back what it reserved.
    ///
    /// # Errors
    /// The limit that stands in its way.
    pub fn admit(
        self: &Arc<Self>,
        team: &TeamName,
        tokens: Tokens,
        limit: TeamLimit,
    ) -> Result<AdmissionGuard, Failure> {
        let admitted = lock(&self.admission).admit(team, tokens, limit);
        admitted.map_err(|kind| {
            let text = match kind {
                Kind::BudgetLimit => format!("team {team} has its tokens in flight"),
                _ => format!("team {team} has its requests in flight"),
            };
            Failure::new(kind, text)
        })?;
        Ok(AdmissionGuard { node: self.clone(), team: team.clone(), tokens })
    }

    /// Adds a request's share to the retry budget.
    pub fn earn_retry(&self, percent: u32) {
        lock(&self.retries).earn(percent);
    }

    /// Takes an attempt from the retry budget, if it has one.
    pub fn spend_retry(&self) -> bool {
        lock(&self.retries).spend()
    }

    /// The generation held under a team's key.
    pub fn find_generation(&self, team: &TeamName, key: &RequestKey) -> Option<Arc<Generation>> {
        lock(&self.generations).get(&(team.clone(), key.clone())).cloned()
    }

    /// Holds a generation under a team's key until some time after its end.
    pub fn keep_generation(
        self: &Arc<Self>,
        team: &TeamName,
        key: &RequestKey,
        generation: &Arc<Generation>,
    ) {
        let place = (team.clone(), key.clone());
        let mut held = lock(&self.generations);
        if held.len() >= KEEP_COUNT {
            return;
        }
        held.insert(place.clone(), generation.clone());
        drop(held);
        tokio::spawn(forget_later(self.clone(), place, generation.clone()));
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
            group,
        }
    }
}

impl Node {
    async fn start_spread(self: &Arc<Self>) -> Result<()> {
        let own = self.settings.node.box_id.clone();
        let peer = self.peer_addr.get().copied().unwrap_or(self.settings.peer.listen);
        let record = BoxRecord {
            life: self.life,
            version: 1,
            data_centre: self.settings.node.data_centre.clone(),
            peer,
            entry: self.entry_addr.get().copied(),
            state: BoxState::Live,
        };
        let arguments = SpreadArguments {
            own,
            record,
            seeds: self.settings.replicas.clone(),
            peers: self.peers.clone(),
            board: self.board.clone(),
        };
        let spawned = Actor::spawn(None, Spread, arguments).await;
        let (actor, _) = spawned.wrap_err("start the spreading of news")?;
        let _ = self.spread.set(actor);
        Ok(())
    }

    /// Takes gossip; `None` while the node starts.
    pub(crate) async fn hear_gossip(&self, gossip: Gossip) -> Option<News> {
        let actor = self.spread.get()?;
        let hear = |port| SpreadMessage::Hear(gossip, Some(port));
        match actor.call(hear, Some(GOSSIP_TIME)).await {
            Ok(CallResult::Success(news)) => Some(news),
            _ => None,
        }
    }

    /// Takes word of a backend server's coming or going, and has it passed on.
    pub(crate) fn hear_backend(&self, id: BackendId, news: BackendNews) {
        if let Some(actor) = self.spread.get() {
            let _ = actor.cast(SpreadMessage::Backend(id, news));
        }
    }

    /// Tells the other boxes that this one drains.
    pub(crate) fn say_leaving(&self) {
        if let Some(actor) = self.spread.get() {
            let _ = actor.cast(SpreadMessage::Leave);
        }
    }

    /// Where a box is reached by nodes: the settings' word goes before the box's own.
    pub(crate) fn peer_address(&self, box_id: &BoxId) -> Option<SocketAddr> {
        let set = self.settings.replicas.get(box_id).copied();
        set.or_else(|| self.board.boxes.load().get(box_id).map(|record| record.peer))
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

    /// The generations under keys that have not ended.
    pub(crate) fn open_generations(&self) -> Vec<(TeamName, RequestKey, Arc<Generation>)> {
        let held = lock(&self.generations);
        let open = held.iter().filter(|(_, generation)| generation.end().is_none());
        open.map(|((team, key), it)| (team.clone(), key.clone(), it.clone())).collect()
    }

    /// The teams' demand since last asked.
    pub(crate) fn take_demand(&self) -> BTreeMap<TeamName, (TeamUse, u32)> {
        lock(&self.admission).take_demand()
    }

    /// The term this process's replica leads in, if it certainly leads.
    pub(crate) async fn leading_term(&self) -> Option<Term> {
        let replica = self.access.local()?;
        match replica.call(GroupMessage::LeadingTerm, Some(GOSSIP_TIME)).await {
            Ok(CallResult::Success(term)) => term,
            _ => None,
        }
    }

    /// Runs `lease` with the lessor of the term; a new term begins with a new one.
    pub(crate) fn with_lessor(&self, term: Term, lease: impl FnOnce(u64, &mut Lessor)) {
        let now = self.started.elapsed().as_millis() as u64;
        let mut held = lock(&self.lessor);
        if held.as_ref().is_none_or(|(since, _)| *since != term) {
            *held = Some((term, Lessor::new(now)));
        }
        if let Some((_, lessor)) = held.as_mut() {
            lease(now, lessor);
        }
    }
}

async fn start_replica(
    settings: &Settings,
    board: &Arc<Blackboard>,
    peers: &Peers,
) -> Result<ActorRef<GroupMessage>> {
    let own = settings.node.box_id.clone();
    let folder = settings.node.data_folder.clone().unwrap_or_default();
    let (storage, stored, life) = Storage::open(&folder, GROUP, &own)?;
    let machine = match &stored.snapshot {
        Some(snapshot) => decode_machine(snapshot)?,
        None => Machine::default(),
    };
    let identity = Identity { group: GROUP, box_id: own.clone(), life };
    let epoch = Instant::now();
    let now = core_clock(epoch, Instant::now());
    let core = Core::new(identity.clone(), stored, now, rand::random());
    tracing::info!(event = "replica_opened", life = %life, last = %core.log().last_index());
    let links = Links::open(peers, &settings.replicas, &own);
    let board = board.clone();
    let arguments = DriverArguments { identity, storage, core, machine, links, board, epoch };
    let (actor, _) = Actor::spawn(Some("group".to_owned()), Driver, arguments)
        .await
        .wrap_err("start the replica")?;
    Ok(actor)
}

/// Serves as soon as the configuration in force is confirmed to be the newest.
async fn become_ready(node: Arc<Node>) {
    let mut fresh = node.board.follow_fresh();
    if fresh.wait_for(Option::is_some).await.is_ok() {
        node.board.set_phase(Phase::Serving);
        tracing::info!(event = "serving", revision = %node.board.revision());
    }
}

async fn forget_later(node: Arc<Node>, place: GenerationKey, generation: Arc<Generation>) {
    generation.ended().await;
    tokio::time::sleep(KEEP_TIME).await;
    let mut held = lock(&node.generations);
    if held.get(&place).is_some_and(|it| Arc::ptr_eq(it, &generation)) {
        held.remove(&place);
    }
}

/// What an admitted request reserved.
pub struct AdmissionGuard {
    node: Arc<Node>,
    team: TeamName,
    tokens: Tokens,
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        lock(&self.node.admission).release(&self.team, self.tokens);
    }
}
