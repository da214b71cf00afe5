//! Traffic by the routes that operators publish.
//!
//! A relay takes a caller's request, finds its route by host and path, lets it in within its team's
//! limit and passes it to a backend server of the route's service, byte for byte. It decides how
//! often a request may be sent, and what is said of one that failed.
//!
//! - [`table`] is the table of routes, checked as a whole; [`call`] a request and what is known of it.
//! - [`dialect`] is the edge to the words of callers and backend servers: pure functions from heads
//!   to types and back.
//! - [`listing`] is a reading of the list of backend servers, [`list_registry`] the leader's list, [`list`] what
//!   goes from it to boxes, [`known`] one server as a box knows it and [`servers`] all of them, [`engines`] what was learned of them.
//! - [`serve`] is the life of a request; [`plain`] passes whole answers, [`stream`] streams of events,
//!   [`attempt`] is one send, [`attempts`] all sends of one call; [`pick`] finds the server for a send,
//!   [`placed`] are the servers by how far they are, [`traffic`] counts what goes how far.
//! - [`lives`] asks servers in which life they are, [`ends`] finds out which have ended, and under which requests.
//! - [`quarantine`] refuses requests that end the servers they run on.
//! - [`restraint`] is what servers asked of this box: limits and pauses.
//! - [`moving`] moves running streams off servers that are leaving.
//! - [`keeping`] is what the box keeps for a request, charged to its memory, and [`taking`] its answer
//!   until the caller has taken it.
//! - [`usage`] counts what ran and [`offered`] what came. What decides, limits and remembers is in
//!   [`crate::decide`].
//!
//! Contract: an unrepeatable request is sent again only if the backend server itself said that it
//! has not run. A status that promises *not run* is given only with proof.

pub mod attempt;
pub mod attempts;
pub mod call;

pub mod dialect;
pub mod ends;
pub mod engines;
pub(crate) mod events;
pub(crate) mod keeping;
pub mod known;
pub mod list;
pub mod list_registry;
pub mod listen;
pub mod listing;
pub mod lives;
pub(crate) mod moving;
pub mod offered;
pub mod part_loads;
pub(crate) mod pick;
pub mod placed;
pub mod plain;
pub(crate) mod quarantine;
pub(crate) mod restraint;
pub mod serve;
pub mod servers;
pub mod stream;
pub mod table;
pub(crate) mod taking;
pub mod traffic;
pub mod usage;

use std::pin::pin;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use tokio::sync::{Notify, watch};

use crate::backend::Pool;
use crate::blackboard::Blackboard;
use crate::clock;
use crate::decide::allowance::Allowances;
use crate::decide::budget::RetryBudgets;
use crate::decide::certainty::{Aims, Certainty};
use crate::decide::distance::Distances;
use crate::decide::intervals::{HEARTBEAT_INTERVAL, MAX_HEARTBEAT_INTERVAL};
use crate::decide::loads::LoadPool;
use crate::decide::memory::Memory;
use crate::decide::pause::Pauses;
use crate::decide::presence::RELAYS_GUESSED;
use crate::decide::quarantine::BoxQuarantine;
use crate::decide::releases::{AnswerOutcome, ReleaseTable};
use crate::decide::spill::SpillTracker;
use crate::decide::throttle::Throttles;
use crate::decide::topology::Topology;
use crate::http::gate::Gate;
use crate::ids::{BackendId, ServiceName, Version};
use crate::settings::RelaySettings;
use crate::sync::lock;
use crate::telemetry::Metrics;

use dialect::Dialect;
use ends::EndWatch;
use engines::EngineTracker;

use known::Known;
use list::{ListIndex, ListPart};
use offered::OfferedTracker;
use servers::ServerTable;
use table::{EngineSpec, RouteTable};
use traffic::TrafficCounters;
use usage::UsageCounter;

/// What a relay starts with.
pub struct RelayContext {
    /// The settings.
    pub settings: RelaySettings,
    /// The regions, as the box sees them.
    pub topology: Topology,
    /// What the node knows.
    pub board: Arc<Blackboard>,
    /// Connections to backend servers.
    pub pool: Pool,
    /// How callers and backend servers speak.
    pub dialect: Arc<dyn Dialect>,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// Whether connections are to close behind their requests.
    pub closing: watch::Receiver<bool>,
}

/// What the parts of a relay share.
pub struct Relay {
    /// What it started with.
    pub context: RelayContext,
    /// The backend servers known.
    pub servers: ServerTable,
    /// The memory that the box has for callers.
    pub memory: Memory,
    /// Callers' connections.
    pub gate: Arc<Gate>,
    /// The routes in force; none before the first was published.
    table: ArcSwapOption<RouteTable>,
    allowances: Mutex<Allowances>,
    retries: Mutex<RetryBudgets>,
    usage: Mutex<UsageCounter>,
    offered: Mutex<OfferedTracker>,
    engines: Mutex<EngineTracker>,
    releases: Mutex<ReleaseTable>,
    loads: Mutex<LoadPool>,
    distances: Mutex<Distances>,
    spills: Mutex<SpillTracker>,
    quarantine: Mutex<BoxQuarantine>,
    throttles: Mutex<Throttles>,
    pauses: Mutex<Pauses>,
    /// The exchanges that broke off, until it is known whether their servers have ended.
    pub ends: EndWatch,
    /// What went to backend servers and came back.
    pub traffic: TrafficCounters,
    /// Relays that share the limits, as the leader last said; 0 before it did.
    relay_count: AtomicU32,
    /// Told of new routes and backend servers.
    routes_or_servers_changed: Notify,
    /// Told of each word on which parts of the list this box is to have.
    pub(crate) index_changed: Notify,
    /// Asks for a beat before the next one is due.
    pub(crate) heartbeat_requested: Notify,
    /// Asks for a demand for the teams that requests wait for.
    pub(crate) demand_requested: Notify,
    /// Told of each change of a server's limit.
    pub(crate) limit_changed: Notify,
    /// Told of each beat and each demand that was answered.
    pub(crate) leader_replied: Notify,
}

impl Relay {
    /// A relay that knows no routes and no backend servers yet.
    pub fn new(context: RelayContext) -> Self {
        let usage = UsageCounter::new(context.settings.usage_window.duration());
        let servers = ServerTable::new(context.topology.clone());
        let memory = Memory::within(context.settings.memory);
        let gate = Gate::charged(listen::limits(&context.settings), memory.clone());
        Self {
            context,
            servers,
            memory,
            gate,
            table: ArcSwapOption::empty(),
            allowances: Mutex::new(Allowances::new()),
            retries: Mutex::default(),
            usage: Mutex::new(usage),
            offered: Mutex::default(),
            engines: Mutex::default(),
            releases: Mutex::default(),
            loads: Mutex::default(),
            distances: Mutex::default(),
            spills: Mutex::default(),
            quarantine: Mutex::default(),
            throttles: Mutex::default(),
            pauses: Mutex::default(),
            ends: EndWatch::default(),
            traffic: TrafficCounters::default(),
            relay_count: AtomicU32::new(0),
            routes_or_servers_changed: Notify::new(),
            index_changed: Notify::new(),
            heartbeat_requested: Notify::new(),
            demand_requested: Notify::new(),
            limit_changed: Notify::new(),
            leader_replied: Notify::new(),
        }
    }

    /// The routes in force.
    pub fn table(&self) -> Option<Arc<RouteTable>> {
        self.table.load_full()
    }

    /// Puts routes in force. Older ones are passed over: nothing reverts.
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
        self.table.store(Some(table));
        self.routes_or_servers_changed.notify_waiters();
    }

    /// Takes the leader's word of which parts of the list of backend servers this box is to have.
    pub fn apply_index(&self, index: ListIndex) {
        self.servers.apply_index(index);
        self.routes_or_servers_changed.notify_waiters();
        self.index_changed.notify_one();
    }

    /// Takes parts of the list of backend servers. One line says which servers are leaving: with a data
    /// centre dozens go at once, and a line for each of them in each box was 26,598 lines in 48 s.
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

    /// Whether the box has had its first routes and backend servers; right after a start it has not.
    fn is_initialized(&self) -> bool {
        self.table.load().is_some() && self.servers.is_complete()
    }

    /// Whether the box was told of newer routes than those in force.
    pub(crate) fn is_behind(&self) -> bool {
        let held = self.table.load().as_ref().map_or(Version(0), |table| table.version);
        held < self.context.board.newest()
    }

    /// How sure the box is of its routes and keys.
    pub(crate) fn certainty(&self) -> Certainty {
        let settings = &self.context.settings;
        let aims = Aims {
            change: settings.apply_time.duration(),
            revoke: settings.revoke_time.duration(),
        };
        Certainty { aims, age: self.context.board.age(), behind: self.is_behind() }
    }

    /// Waits until the box is initialized, at most `limit`.
    pub(crate) async fn wait_until_initialized(&self, limit: Duration) {
        self.wait_until(limit, || self.is_initialized()).await;
    }

    /// Waits until the newest routes that the box was told of are in force, at most `limit`.
    pub(crate) async fn wait_until_current(&self, limit: Duration) {
        self.wait_until(limit, || !self.is_behind()).await;
    }

    /// Waits until something holds that comes with new routes or backend servers, at most `limit`.
    async fn wait_until(&self, limit: Duration, holds: impl Fn() -> bool) {
        // No timer for the calls of a box that has long been initialized.
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

    /// The teams' allowances on this box.
    pub fn allowances(&self) -> MutexGuard<'_, Allowances> {
        lock(&self.allowances)
    }

    /// The budgets of repeated sends.
    pub fn retries(&self) -> MutexGuard<'_, RetryBudgets> {
        lock(&self.retries)
    }

    /// What began to run, by window and team.
    pub fn usage(&self) -> MutexGuard<'_, UsageCounter> {
        lock(&self.usage)
    }

    /// What is known of a service's engines, where it is a model.
    pub(crate) fn engine_spec(&self, service: &ServiceName) -> Option<EngineSpec> {
        self.table()?.services.get(service)?.engine
    }

    /// Whether a server can tell its life: engines do, plain services do not.
    pub(crate) fn reports_incarnation(&self, known: &Known) -> bool {
        self.engine_spec(&known.server.service).is_some()
    }

    /// What callers bring for each service.
    pub fn offered(&self) -> MutexGuard<'_, OfferedTracker> {
        lock(&self.offered)
    }

    /// What was learned of engines.
    pub fn engines(&self) -> MutexGuard<'_, EngineTracker> {
        lock(&self.engines)
    }

    /// The releases of services.
    pub fn releases(&self) -> MutexGuard<'_, ReleaseTable> {
        lock(&self.releases)
    }

    /// Notes how a server answered a request of a route, for the judgement of its release. A box that finds
    /// the release bad by what it has seen itself says so at once.
    pub fn record_outcome(&self, known: &Known, route: &str, outcome: AnswerOutcome) {
        let server = &known.server;
        let stops =
            self.releases().record_outcome(&server.service, &server.release, route, outcome);
        if stops {
            tracing::warn!(
                event = "release_stopped", service = %server.service, release = %server.release, route,
            );
            self.heartbeat_requested.notify_one();
        }
    }

    /// The loads that servers told this box since its last word to the leader.
    pub fn loads(&self) -> MutexGuard<'_, LoadPool> {
        lock(&self.loads)
    }

    /// How far data centres are.
    pub fn distances(&self) -> MutexGuard<'_, Distances> {
        lock(&self.distances)
    }

    /// The requests that no server gets any more, and what this box knows of such.
    pub fn quarantine(&self) -> MutexGuard<'_, BoxQuarantine> {
        lock(&self.quarantine)
    }

    /// The pauses that servers asked this box for.
    pub fn pauses(&self) -> MutexGuard<'_, Pauses> {
        lock(&self.pauses)
    }

    /// The limits that servers named.
    pub fn throttles(&self) -> MutexGuard<'_, Throttles> {
        lock(&self.throttles)
    }

    /// Whether services' requests leave the region.
    pub fn spills(&self) -> MutexGuard<'_, SpillTracker> {
        lock(&self.spills)
    }

    /// How many relays share the limits.
    pub fn relay_count(&self) -> u32 {
        self.known_relay_count().unwrap_or(RELAYS_GUESSED)
    }

    /// How many relays share the limits by the leader's last word.
    pub fn known_relay_count(&self) -> Option<u32> {
        Some(self.relay_count.load(Ordering::Relaxed)).filter(|relays| *relays > 0)
    }

    /// Takes the leader's word of how many relays there are.
    pub fn set_relay_count(&self, relays: u32) {
        self.relay_count.store(relays.max(1), Ordering::Relaxed);
    }

    /// The time between two beats.
    pub(crate) fn heartbeat_interval(&self) -> Duration {
        self.allowances().heartbeat_interval()
    }

    /// Takes the leader's word of the time between two beats.
    pub(crate) fn set_heartbeat_interval(&self, interval: Duration) {
        self.allowances()
            .set_heartbeat_interval(interval.clamp(HEARTBEAT_INTERVAL, MAX_HEARTBEAT_INTERVAL));
    }

    /// Whether the node is about to stop and takes nothing new.
    pub fn is_closing(&self) -> bool {
        *self.context.closing.borrow()
    }
}
