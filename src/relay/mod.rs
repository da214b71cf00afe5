//! Request routing: forwards callers' requests to backend servers by the published route table.
//!
//! A relay matches a request to a route by host and path, charges it against its team's rate limit
//! and forwards it unchanged to a backend server of the route's service. It decides how often a
//! request may be sent and which error the caller gets when no send succeeds.
//!
//! - [`table`] is the validated route table; [`call`] holds a request and the parsed heads of
//!   replies.
//! - [`dialect`] is the boundary to the wire formats of callers and backend servers: pure functions
//!   that parse and write headers and documents.
//! - [`listing`] is one reading of the platform's server list, [`list_registry`] the leader's
//!   merged list, [`list`] the form in which it is sent to boxes, [`known`] a single server as a
//!   box sees it, [`servers`] all of them, and [`engines`] the performance model learned from them.
//! - [`serve`] handles a request from arrival to answer; [`plain`] forwards complete answers,
//!   [`stream`] event streams, [`attempt`] is one send and [`attempts`] all sends of a call;
//!   [`pick`] selects the server for a send, [`by_reach`] groups servers by distance and [`traffic`]
//!   counts traffic by distance.
//! - [`lives`] polls servers for their incarnation; [`ends`] detects servers that have ended and the
//!   requests that ran on them.
//! - [`quarantine`] refuses requests that crash the servers they run on.
//! - [`restraint`] holds the rate limits and pauses that servers requested of this box.
//! - [`reach`] connects to servers, through another box if this one has no path to them; [`hop`] is the form in which
//!   boxes hand requests to each other, and [`forward`] sends those of other boxes.
//! - [`moving`] migrates running streams off servers that are shutting down; [`export`] is what such a server replies
//!   and how its stream ends.
//! - [`keeping`] accounts for the memory that a request occupies, and [`taking`] buffers its answer
//!   until the caller has received it.
//! - [`stopping`] is the planned stop of the box.
//! - [`usage`] counts the requests that ran and [`offered`] those that arrived. The decision logic
//!   is in [`crate::decide`].
//!
//! Contract: a non-repeatable request is sent again only if the backend server itself reported that
//! it did not run. A status that promises *not run* is returned only with proof.

pub mod attempt;
pub mod attempts;
mod authorize;
pub mod by_reach;
pub mod call;

pub mod dialect;
pub mod ends;
pub mod engines;
mod event_memory;
pub(crate) mod events;
pub(crate) mod export;
pub(crate) mod forward;
pub mod hop;
pub(crate) mod keeping;
pub mod known;
mod large;
pub mod list;
pub mod list_registry;
pub mod listen;
pub mod listing;
pub mod lives;
pub(crate) mod moving;
pub mod offered;
pub mod part_loads;
pub(crate) mod pick;
pub mod plain;
pub(crate) mod quarantine;
pub mod reach;
pub(crate) mod restraint;
pub(crate) mod resume;
pub mod serve;
pub mod servers;
pub mod stopping;
pub mod stream;
pub mod table;
pub(crate) mod taking;
pub mod traffic;
pub mod usage;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use tokio::sync::{Notify, mpsc, oneshot, watch};

use crate::backend::Pool;
use crate::blackboard::Blackboard;
use crate::clock;
use crate::decide::allowance::Allowances;
use crate::decide::brittle::BrittleServers;
use crate::decide::certainty::{ConfigFreshness, PropagationTargets};
use crate::decide::distance::Distances;
use crate::decide::intervals::{HEARTBEAT_INTERVAL, MAX_HEARTBEAT_INTERVAL};
use crate::decide::loads::LoadPool;
use crate::decide::memory::MemoryBudget;
use crate::decide::origins::{MAX_BOX_ORIGINS, OriginAnswer, OriginRequest, StreamOrigins};
use crate::decide::paths::Paths;
use crate::decide::pause::Pauses;
use crate::decide::presence::ASSUMED_RELAYS;
use crate::decide::proxies::ProxyPool;
use crate::decide::quarantine::BoxQuarantine;
use crate::decide::releases::{AnswerOutcome, ReleaseTable};
use crate::decide::retry_budgets::RetryBudgets;
use crate::decide::spill::SpillTracker;
use crate::decide::throttle::Throttles;
use crate::decide::topology::Topology;
use crate::http::gate::Gate;
use crate::ids::{BackendId, Release, ServiceName, Version};
use crate::settings::RelaySettings;
use crate::sync::lock;
use crate::telemetry::Metrics;

use dialect::Dialect;
use ends::EndDetector;
use engines::EngineTracker;
use event_memory::LARGE_EVENT_MEMORY;
use known::KnownServer;
use large::LargeAnswers;
use list::{ListIndex, ListPart};
use offered::OfferedTracker;
use servers::ServerTable;
use stopping::Stopping;
use table::{EngineSpec, RouteTable};
use traffic::TrafficCounters;
use usage::UsageCounter;

/// The dependencies of a [`Relay`].
pub struct RelayContext {
    /// The relay's settings.
    pub settings: RelaySettings,
    /// The data centres and regions, and how far they are from this box.
    pub topology: Topology,
    /// State shared by the tasks of the node, such as the age of its configuration.
    pub board: Arc<Blackboard>,
    /// Connections to backend servers.
    pub pool: Pool,
    /// Parser and writer of the wire formats.
    pub dialect: Arc<dyn Dialect>,
    /// The secret that boxes share.
    pub secret: String,
    /// The node's metrics.
    pub metrics: Arc<Metrics>,
    /// Becomes `true` when the node shuts down and connections close after their current request.
    pub closing: watch::Receiver<bool>,
}

/// A question for the leader, and where its answer goes.
pub type OriginQuestion = (OriginRequest, oneshot::Sender<OriginAnswer>);

/// The most questions for the leader that wait; a caller that comes back waits for room.
const MAX_ORIGIN_QUESTIONS: usize = 256;

/// State shared by all tasks of the relay.
pub struct Relay {
    /// Settings and services that the relay was created with.
    pub context: RelayContext,
    /// The known backend servers.
    pub servers: ServerTable,
    /// The memory budget for callers' requests and answers.
    pub memory: MemoryBudget,
    large_answers: LargeAnswers,
    /// Callers' connections.
    pub gate: Arc<Gate>,
    /// The planned stop of this box.
    pub stopping: Stopping,
    /// The route table in force; `None` until the first one arrives.
    table: ArcSwapOption<RouteTable>,
    allowances: Mutex<Allowances>,
    retries: Mutex<RetryBudgets>,
    usage: Mutex<UsageCounter>,
    offered: Mutex<OfferedTracker>,
    engines: Mutex<EngineTracker>,
    releases: Mutex<ReleaseTable>,
    origins: Mutex<StreamOrigins>,
    /// Questions for the leader on streams whose callers come back.
    pub(crate) origin_questions: mpsc::Sender<OriginQuestion>,
    origin_receiver: Mutex<Option<mpsc::Receiver<OriginQuestion>>>,
    loads: Mutex<LoadPool>,
    distances: Mutex<Distances>,
    spills: Mutex<SpillTracker>,
    quarantine: Mutex<BoxQuarantine>,
    throttles: Mutex<Throttles>,
    pauses: Mutex<Pauses>,
    brittle: Mutex<BrittleServers>,
    /// A random number that tells this box from others.
    seed: u64,
    paths: Mutex<Paths>,
    proxies: Mutex<ProxyPool>,
    /// Where requests of other boxes are taken, once that is so.
    pub forward_addr: OnceLock<SocketAddr>,
    path_checks: reach::PathChecks,
    /// Notified when a path to a service is lost or restored.
    pub(crate) paths_changed: Notify,
    /// Exchanges that broke off, kept until it is known whether their server has ended.
    pub ends: EndDetector,
    /// Requests and bytes exchanged with backend servers.
    pub traffic: TrafficCounters,
    /// Number of relays that share the rate limits, as last reported by the leader; 0 before that.
    relay_count: AtomicU32,
    /// Notified when new routes or backend servers have been applied.
    routes_or_servers_changed: Notify,
    /// Notified when the leader has sent a new index of the list parts assigned to this box.
    pub(crate) index_changed: Notify,
    /// Requests a heartbeat before the next one is due.
    pub(crate) heartbeat_requested: Notify,
    /// Requests a message to the leader that asks for allowance for the teams with waiting
    /// requests.
    pub(crate) demand_requested: Notify,
    /// Notified when the rate limit of a backend server changes.
    pub(crate) limit_changed: Notify,
    /// The number of the last report of limits.
    pub(crate) limit_report: AtomicU64,
    /// Notified when the leader has answered a heartbeat or an allowance request.
    pub(crate) leader_replied: Notify,
}

impl Relay {
    /// Creates a relay without routes or backend servers.
    pub fn new(context: RelayContext) -> Self {
        let usage = UsageCounter::new(context.settings.usage_window.duration());
        let servers = ServerTable::new(context.topology.clone());
        let memory = MemoryBudget::for_process_limit(context.settings.memory);
        let large_answers =
            LargeAnswers::new(memory.size(), plain::MAX_ANSWER_BYTES as u64, LARGE_EVENT_MEMORY);
        let gate = Gate::charged(listen::limits(&context.settings), memory.clone());
        let (origin_questions, receiver) = mpsc::channel(MAX_ORIGIN_QUESTIONS);
        Self {
            context,
            servers,
            memory,
            large_answers,
            gate,
            stopping: Stopping::default(),
            table: ArcSwapOption::empty(),
            allowances: Mutex::new(Allowances::new()),
            retries: Mutex::default(),
            usage: Mutex::new(usage),
            offered: Mutex::default(),
            engines: Mutex::default(),
            releases: Mutex::default(),
            origins: Mutex::new(StreamOrigins::new(MAX_BOX_ORIGINS)),
            origin_questions,
            origin_receiver: Mutex::new(Some(receiver)),
            loads: Mutex::default(),
            distances: Mutex::default(),
            spills: Mutex::default(),
            quarantine: Mutex::default(),
            throttles: Mutex::default(),
            pauses: Mutex::default(),
            brittle: Mutex::default(),
            seed: rand::random(),
            paths: Mutex::default(),
            proxies: Mutex::default(),
            forward_addr: OnceLock::new(),
            path_checks: reach::PathChecks::default(),
            paths_changed: Notify::new(),
            ends: EndDetector::default(),
            traffic: TrafficCounters::default(),
            relay_count: AtomicU32::new(0),
            routes_or_servers_changed: Notify::new(),
            index_changed: Notify::new(),
            heartbeat_requested: Notify::new(),
            demand_requested: Notify::new(),
            limit_changed: Notify::new(),
            limit_report: AtomicU64::new(0),
            leader_replied: Notify::new(),
        }
    }

    /// The route table in force.
    pub fn table(&self) -> Option<Arc<RouteTable>> {
        self.table.load_full()
    }

    /// Puts a route table in force. A table that is not newer than the current one is ignored, so
    /// configuration never goes back.
    pub fn apply_table(&self, table: Arc<RouteTable>) {
        let held = self.table.load();
        if held.as_ref().is_some_and(|held| held.version >= table.version) {
            return;
        }
        tracing::info!(
            event = "routes_in_force", version = %table.version, routes = table.len(),
            teams = table.teams.len(),
        );
        let limited = table.teams.values().filter(|team| team.rate.is_some());
        self.allowances().set_limited_teams(limited.map(|team| &team.name), clock::now());
        self.gate.set_head_time(table.limits.head_time);
        let names: HashSet<_> = table.routes().map(|route| route.name.as_str()).collect();
        self.stopping.retain_routes(|name| names.contains(name));
        self.table.store(Some(table));
        self.routes_or_servers_changed.notify_waiters();
    }

    /// Applies the leader's index of the list parts assigned to this box.
    pub fn apply_index(&self, index: ListIndex) {
        self.servers.apply_index(index);
        self.routes_or_servers_changed.notify_waiters();
        self.index_changed.notify_one();
    }

    /// Applies parts of the server list. Servers that have started to shut down are logged in a
    /// single line: a data centre can lose dozens of servers at once, and one line per server on
    /// every box produced 26,598 lines in 48 s.
    pub fn apply_parts(&self, parts: Vec<ListPart>) {
        let leaving = self.servers.apply_parts(parts);
        if !leaving.is_empty() {
            let names: Vec<_> = leaving.iter().map(BackendId::as_str).collect();
            tracing::info!(
                event = "backend_servers_leaving", count = leaving.len(), servers = names.join(","),
                list = %self.servers.version(),
            );
        }
        self.routes_or_servers_changed.notify_waiters();
    }

    /// Whether the box has received its first routes and backend servers.
    fn is_initialized(&self) -> bool {
        self.table.load().is_some() && self.servers.is_complete()
    }

    /// Whether the box has heard of a route table newer than the one in force.
    pub(crate) fn is_behind(&self) -> bool {
        self.table_version() < self.context.board.newest()
    }

    /// The version of the route table in force; 0 before the first one.
    fn table_version(&self) -> Version {
        self.table.load().as_ref().map_or(Version(0), |table| table.version)
    }

    /// How current the routes and keys of this box are.
    pub(crate) fn certainty(&self) -> ConfigFreshness {
        let (settings, board) = (&self.context.settings, &self.context.board);
        let aims = PropagationTargets {
            change: settings.apply_time.duration(),
            revoke: settings.revoke_time.duration(),
        };
        ConfigFreshness {
            targets: aims,
            // The age is that of the document. The table may be of an older one, which could be replaced at any time:
            // a box of an earlier release may be unable to read the document.
            age: board.age().filter(|_| self.table_version() >= board.document().version),
            is_behind: self.is_behind(),
        }
    }

    /// Waits until the box is initialized, for at most `limit`.
    pub(crate) async fn wait_until_initialized(&self, limit: Duration) {
        self.wait_until(limit, || self.is_initialized()).await;
    }

    /// Waits until the newest announced route table is in force, for at most `limit`.
    pub(crate) async fn wait_until_current(&self, limit: Duration) {
        self.wait_until(limit, || !self.is_behind()).await;
    }

    /// Waits until `holds` returns `true`, for at most `limit`. The condition is checked again
    /// whenever routes or backend servers change.
    async fn wait_until(&self, limit: Duration, holds: impl Fn() -> bool) {
        // Creates no timer once the box is initialized, which is the usual case.
        if holds() {
            return;
        }
        let waiting = async {
            loop {
                let mut learned = pin!(self.routes_or_servers_changed.notified());
                learned.as_mut().enable();
                if holds() {
                    return;
                }
                learned.await;
            }
        };
        let _ = tokio::time::timeout(limit, waiting).await;
    }

    /// The teams' rate allowances on this box.
    pub fn allowances(&self) -> MutexGuard<'_, Allowances> {
        lock(&self.allowances)
    }

    /// The retry budgets by service.
    pub fn retries(&self) -> MutexGuard<'_, RetryBudgets> {
        lock(&self.retries)
    }

    /// Requests that were run, by time window and team.
    pub fn usage(&self) -> MutexGuard<'_, UsageCounter> {
        lock(&self.usage)
    }

    /// The engine parameters of a service; `None` for a service that is not a model.
    pub(crate) fn engine_spec(&self, service: &ServiceName) -> Option<EngineSpec> {
        self.table()?.services.get(service)?.engine
    }

    /// Whether a server reports its incarnation. Engines do, plain services do not.
    pub(crate) fn reports_incarnation(&self, known: &KnownServer) -> bool {
        self.engine_spec(&known.server.service).is_some()
    }

    /// The load that callers offer each service.
    pub fn offered(&self) -> MutexGuard<'_, OfferedTracker> {
        lock(&self.offered)
    }

    /// The performance models learned from engines.
    pub fn engines(&self) -> MutexGuard<'_, EngineTracker> {
        lock(&self.engines)
    }

    /// The streams that began at this box.
    pub(crate) fn origins(&self) -> MutexGuard<'_, StreamOrigins> {
        lock(&self.origins)
    }

    /// Returns the receiver of the questions for the leader, once.
    pub fn take_origin_questions(&self) -> Option<mpsc::Receiver<OriginQuestion>> {
        lock(&self.origin_receiver).take()
    }

    /// Rollout state of the services' releases.
    pub fn releases(&self) -> MutexGuard<'_, ReleaseTable> {
        lock(&self.releases)
    }

    /// Records how a server answered a request of a route, to judge the server's release. If this
    /// box's own observations show that the release is bad, it reports to the leader at once.
    pub fn record_outcome(&self, known: &KnownServer, route: &str, outcome: AnswerOutcome) {
        self.record_release_outcome(&known.server.service, &known.server.release, route, outcome);
    }

    /// The same, by the server's service and release.
    fn record_release_outcome(
        &self,
        service: &ServiceName,
        release: &Release,
        route: &str,
        outcome: AnswerOutcome,
    ) {
        let stops = self.releases().record_outcome(service, release, route, outcome);
        if stops {
            tracing::warn!(event = "release_stopped", %service, %release, route);
            self.heartbeat_requested.notify_one();
        }
    }

    /// Server loads observed by this box since its last heartbeat.
    pub fn loads(&self) -> MutexGuard<'_, LoadPool> {
        lock(&self.loads)
    }

    /// Measured distances to data centres.
    pub fn distances(&self) -> MutexGuard<'_, Distances> {
        lock(&self.distances)
    }

    /// Quarantined requests, and this box's own evidence about requests that crash servers.
    pub fn quarantine(&self) -> MutexGuard<'_, BoxQuarantine> {
        lock(&self.quarantine)
    }

    /// Pauses that servers requested of this box.
    pub fn pauses(&self) -> MutexGuard<'_, Pauses> {
        lock(&self.pauses)
    }

    /// Servers that fall over when they reject too much.
    pub fn brittle(&self) -> MutexGuard<'_, BrittleServers> {
        lock(&self.brittle)
    }

    /// Which servers this box reaches over its own links.
    pub fn paths(&self) -> MutexGuard<'_, Paths> {
        lock(&self.paths)
    }

    /// The boxes through which it reaches the others.
    pub fn proxies(&self) -> MutexGuard<'_, ProxyPool> {
        lock(&self.proxies)
    }

    /// Rate limits announced by servers.
    pub fn throttles(&self) -> MutexGuard<'_, Throttles> {
        lock(&self.throttles)
    }

    /// Tracks whether a service's requests spill over to other regions.
    pub fn spills(&self) -> MutexGuard<'_, SpillTracker> {
        lock(&self.spills)
    }

    /// Number of relays that share the rate limits; an estimate until the leader has reported one.
    pub fn relay_count(&self) -> u32 {
        self.known_relay_count().unwrap_or(ASSUMED_RELAYS)
    }

    /// Number of relays that share the rate limits, if the leader has reported it.
    pub fn known_relay_count(&self) -> Option<u32> {
        Some(self.relay_count.load(Ordering::Relaxed)).filter(|relays| *relays > 0)
    }

    /// Sets the number of relays that share the rate limits.
    pub fn set_relay_count(&self, relays: u32) {
        self.relay_count.store(relays.max(1), Ordering::Relaxed);
    }

    /// Time between two heartbeats.
    pub(crate) fn heartbeat_interval(&self) -> Duration {
        self.allowances().heartbeat_interval()
    }

    /// Sets the time between two heartbeats, as ordered by the leader, within the allowed range.
    pub(crate) fn set_heartbeat_interval(&self, interval: Duration) {
        self.allowances()
            .set_heartbeat_interval(interval.clamp(HEARTBEAT_INTERVAL, MAX_HEARTBEAT_INTERVAL));
    }

    /// Whether the node is shutting down and accepts no new requests.
    pub fn is_closing(&self) -> bool {
        *self.context.closing.borrow()
    }
}
