//! The backend servers known to a box: the parts of the list that it holds, and the state it has
//! observed of each server.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use tokio::sync::Notify;

use super::by_reach::ServersByReach;
use super::call::ServerReport;
use super::known::{DEFAULT_SHUTDOWN_DELAY, KnownServer, apply_listing, end_incarnation};
use super::list::{
    ContentHash, IncarnationReport, ListIndex, ListPart, ListVersion, ListedServer, PartId,
};
use super::part_loads::{self, PartLoads};
use crate::decide::lives::{
    IncarnationSource, IncarnationUpdate, RestartCheckQueue, ServerIncarnation,
};
use crate::decide::loads::LoadSample;
use crate::decide::topology::Topology;
use crate::ids::{BackendId, Incarnation, ServiceName};
use crate::sync::lock;
use crate::units::{Millis, UnixMillis};

/// How many incarnations one report to the leader contains at most; 32 take 2 KB. The rest follow
/// in later reports.
const MAX_REPORTED_INCARNATIONS: usize = 32;

/// How many servers that are no longer listed are remembered beyond the number of listed ones. A
/// server may reappear within a few reads of the list.
const UNLISTED_LIMIT: usize = 1_024;

/// The servers of a service, ordered by the hash of their id.
pub type Servers = Arc<Vec<Arc<KnownServer>>>;

/// An immutable snapshot of the known servers, indexed by service and by id.
#[derive(Debug, Default)]
struct ServerSnapshot {
    by_service: BTreeMap<ServiceName, Servers>,
    by_reach: BTreeMap<ServiceName, Arc<ServersByReach>>,
    by_id: HashMap<BackendId, Arc<KnownServer>>,
}

impl ServerSnapshot {
    /// Builds the indexes by service from `by_id`.
    fn new(topology: Option<&Topology>, by_id: HashMap<BackendId, Arc<KnownServer>>) -> Self {
        let mut servers: BTreeMap<ServiceName, Vec<_>> = BTreeMap::new();
        for known in by_id.values() {
            servers.entry(known.server.service.clone()).or_default().push(known.clone());
        }
        let ordered = servers.into_iter().map(|(service, mut servers)| {
            servers.sort_unstable_by_key(|known| known.hash);
            (service, Arc::new(servers))
        });
        let by_service = ordered.collect();
        let by_reach = group_by_reach(topology, &by_service);
        Self { by_service, by_reach, by_id }
    }
}

fn group_by_reach(
    topology: Option<&Topology>,
    by_service: &BTreeMap<ServiceName, Servers>,
) -> BTreeMap<ServiceName, Arc<ServersByReach>> {
    let place = |servers: &Servers| Arc::new(ServersByReach::new(topology, servers));
    by_service.iter().map(|(service, servers)| (service.clone(), place(servers))).collect()
}

/// How long the loads in the leader's last answer are used to choose servers: three heartbeats.
const RECENT_LOADS_MAX_AGE: Duration = Duration::from_millis(1_200);

/// The servers whose loads were in an answer of the leader, and when it arrived.
#[derive(Debug)]
struct RecentLoads {
    at: Instant,
    /// How many loads the answer contained.
    count: usize,
    by_service: BTreeMap<ServiceName, Arc<ServersByReach>>,
}

impl Default for RecentLoads {
    fn default() -> Self {
        Self { at: Instant::now(), count: 0, by_service: BTreeMap::new() }
    }
}

/// The parts of the list that a box holds, and the index of those it must hold.
#[derive(Debug, Default)]
struct HeldParts {
    index: Option<ListIndex>,
    held: BTreeMap<PartId, ListPart>,
    /// Whether the box has ever held all parts of an index.
    complete: bool,
}

impl HeldParts {
    fn has(&self, part: &PartId, hash: ContentHash) -> bool {
        self.held.get(part).is_some_and(|held| held.hash == hash)
    }

    fn missing_parts(&self) -> impl Iterator<Item = &PartId> {
        let wanted = self.index.iter().flat_map(|index| &index.parts);
        wanted.filter(|(part, hash)| !self.has(part, *hash)).map(|(part, _)| part)
    }

    /// Drops the parts that the index no longer names, but only once the box holds all that it
    /// names. Until then the servers of the old parts stay in use.
    fn drop_unwanted(&mut self) {
        let Some(index) = &self.index else {
            return;
        };
        if self.missing_parts().next().is_none() {
            self.held.retain(|part, _| index.parts.iter().any(|(wanted, _)| wanted == part));
            self.complete = true;
        }
    }

    /// The servers of all held parts. Those of the parts in the index come last.
    fn listed(&self) -> impl Iterator<Item = ListedServer> {
        let wanted = |part: &PartId| {
            self.index.iter().flat_map(|index| &index.parts).any(|(wanted, _)| wanted == part)
        };
        let (new, old): (Vec<_>, Vec<_>) = self.held.iter().partition(|(part, _)| wanted(part));
        old.into_iter().chain(new).flat_map(|(_, part)| part.listed_servers())
    }
}

/// The backend servers known to a box.
#[derive(Debug, Default)]
pub struct ServerTable {
    /// The reach of each data centre. If `None`, all are equally far.
    topology: Option<Topology>,
    listed: ArcSwap<ServerSnapshot>,
    recent_loads: ArcSwap<RecentLoads>,
    parts: Mutex<HeldParts>,
    /// The incarnations of the known servers and of some that were known before.
    incarnations: Mutex<HashMap<BackendId, ServerIncarnation>>,
    /// The servers whose known incarnation is newer than the one in the leader's list.
    unreported: Mutex<BTreeSet<BackendId>>,
    /// Servers that announced their shutdown and are no longer listed. They can come back when the
    /// box takes other parts of the list, which may lag behind the announcement.
    departed: Mutex<HashMap<BackendId, Arc<KnownServer>>>,
    restart_checks: Mutex<RestartCheckQueue>,
    /// Notified when a server is added to `restart_checks`.
    suspected: Notify,
}

impl ServerTable {
    /// Creates an empty table for a box with this topology.
    pub fn new(topology: Topology) -> Self {
        Self { topology: Some(topology), ..Self::default() }
    }

    /// The servers of a service, grouped by reach.
    pub fn by_reach(&self, service: &ServiceName) -> Arc<ServersByReach> {
        self.listed.load().by_reach.get(service).cloned().unwrap_or_default()
    }

    /// The servers of a service.
    pub fn for_service(&self, service: &ServiceName) -> Servers {
        self.listed.load().by_service.get(service).cloned().unwrap_or_default()
    }

    /// The servers of a service whose loads were in the leader's last answer. Empty if the answer
    /// is older than [`RECENT_LOADS_MAX_AGE`].
    pub fn with_recent_loads(&self, service: &ServiceName) -> Arc<ServersByReach> {
        let recent_loads = self.recent_loads.load();
        match recent_loads.at.elapsed() < RECENT_LOADS_MAX_AGE {
            true => recent_loads.by_service.get(service).cloned().unwrap_or_default(),
            false => Arc::default(),
        }
    }

    /// The current state of a server.
    pub fn find(&self, id: &BackendId) -> Option<Arc<KnownServer>> {
        self.listed.load().by_id.get(id).cloned()
    }

    /// Applies loads that other boxes measured. Servers are identified by their index in a part of
    /// the list.
    pub fn apply_part_loads(&self, loads: &[PartLoads]) {
        let samples = {
            let parts = self.parts();
            part_loads::to_load_samples(loads, |hash, index| {
                let held = parts.held.values().find(|part| part.hash == hash)?;
                held.key_at(index)
            })
        };
        self.apply_loads(&samples);
    }

    /// Applies loads that other boxes measured. A load of another incarnation than the known one is
    /// ignored.
    pub fn apply_loads(&self, loads: &[LoadSample]) {
        let listed = self.listed.load();
        let mut by_service: BTreeMap<ServiceName, Vec<_>> = BTreeMap::new();
        for load in loads {
            let known = listed.by_id.get(&load.server);
            if let Some(known) = known.filter(|known| known.life.matches(load.incarnation)) {
                let requests = load.decayed_requests(known.state.service_time()).round() as u32;
                known.state.report(requests, 0, Duration::ZERO);
                by_service.entry(known.server.service.clone()).or_default().push(known.clone());
            }
        }
        let previous = self.recent_loads.load();
        if loads.len() < previous.count && previous.at.elapsed() < RECENT_LOADS_MAX_AGE {
            // An answer soon after a larger one contains only a few loads; it does not replace the
            // recent loads.
            return;
        }
        let count = loads.len();
        let place =
            |servers: Vec<_>| Arc::new(ServersByReach::new(self.topology.as_ref(), &servers));
        let by_service = by_service.into_iter().map(|(service, servers)| (service, place(servers)));
        let by_service = by_service.collect();
        self.recent_loads.store(Arc::new(RecentLoads { at: Instant::now(), count, by_service }));
    }

    /// Applies the incarnation that a server reported at the address in `asked`.
    ///
    /// If the server has restarted, its state is reset: it accepts requests again, and the requests
    /// sent to its earlier incarnation are ended.
    pub fn apply_incarnation(
        &self,
        asked: &KnownServer,
        reported: Incarnation,
    ) -> IncarnationUpdate {
        // The lock makes changes to the servers exclusive.
        let _parts = self.parts();
        let id = &asked.server.id;
        let known = self.find(id).filter(|known| known.server.addr == asked.server.addr);
        let Some(known) = known else {
            return IncarnationUpdate::Outdated;
        };
        let mut life = known.life;
        let update = life.update(reported, IncarnationSource::Server, UnixMillis::now());
        if life == known.life {
            return update;
        }
        let renewed = match update {
            IncarnationUpdate::Restarted => KnownServer::new(known.server.clone(), life),
            IncarnationUpdate::Identified
            | IncarnationUpdate::Unchanged
            | IncarnationUpdate::Outdated
            | IncarnationUpdate::Rejected => known.with_listing(known.server.clone(), life),
        };
        let mut by_id = self.listed.load().by_id.clone();
        by_id.insert(id.clone(), Arc::new(renewed));
        self.listed.store(Arc::new(ServerSnapshot::new(self.topology.as_ref(), by_id)));
        lock(&self.incarnations).insert(id.clone(), life);
        if matches!(update, IncarnationUpdate::Identified | IncarnationUpdate::Restarted) {
            lock(&self.unreported).insert(id.clone());
        }
        if update == IncarnationUpdate::Restarted {
            end_incarnation(&known, &life);
            self.recent_loads.store(Arc::default());
        }
        update
    }

    /// Applies a server's report on itself. `asked` is what was known of the server when the
    /// request for the report was sent.
    pub fn apply_report(&self, asked: &KnownServer, report: &ServerReport) -> IncarnationUpdate {
        let id = &asked.server.id;
        let update = self.apply_incarnation(asked, report.incarnation);
        match report.incarnation.is_none() {
            true => lock(&self.restart_checks).resolve_unknown(id, Instant::now()),
            false => lock(&self.restart_checks).resolve(id),
        }
        let Some(known) = self.find(id) else {
            return update;
        };
        // A report without an incarnation belongs to the one that was asked.
        let is_own = match report.incarnation.is_none() {
            true => Arc::ptr_eq(&known.state, &asked.state),
            false => known.incarnation() == report.incarnation,
        };
        if !is_own {
            return update;
        }
        if let Some(load) = report.load {
            known.state.report(load.running, load.waiting, Duration::ZERO);
        }
        match report.leaving {
            Some(true)
                if known.mark_leaving(report.time_left.unwrap_or(DEFAULT_SHUTDOWN_DELAY)) =>
            {
                tracing::info!(event = "backend_servers_leaving", count = 1, servers = %id);
            }
            // A server that says it stays overrides an earlier notice only if the list agrees.
            Some(false) if !known.server.leaving && known.state.stay() => {
                tracing::info!(event = "backend_server_stays", backend_server = %id);
            }
            Some(_) | None => {}
        }
        update
    }

    /// Marks a server as possibly restarted, so that it is asked for a report.
    pub fn mark_suspect(&self, known: &KnownServer) {
        if known.state.is_over() {
            return;
        }
        let random = rand::random();
        if lock(&self.restart_checks).request(&known.server.id, Instant::now(), random) {
            self.suspected.notify_one();
        }
    }

    /// Whether any server is due for a report, now or later.
    pub fn has_suspects(&self) -> bool {
        lock(&self.restart_checks).next_due().is_some()
    }

    /// The servers to ask for a report now. Waits until there is one.
    pub(super) async fn next_suspects(&self) -> Vec<Arc<KnownServer>> {
        loop {
            let (due, next) = {
                let mut restart_checks = lock(&self.restart_checks);
                (restart_checks.take_due(Instant::now()), restart_checks.next_due())
            };
            let due: Vec<_> = due.iter().filter_map(|id| self.find(id)).collect();
            if !due.is_empty() {
                return due;
            }
            let suspected = self.suspected.notified();
            match next {
                Some(next) => drop(tokio::time::timeout_at(next.into(), suspected).await),
                None => suspected.await,
            }
        }
    }

    /// Incarnations newer than those in the leader's list, at most [`MAX_REPORTED_INCARNATIONS`].
    pub fn unreported_incarnations(&self) -> Vec<IncarnationReport> {
        let unreported = lock(&self.unreported);
        let known = unreported.iter().filter_map(|id| self.find(id));
        let incarnations =
            known.map(|known| IncarnationReport { server: known.key(), addr: known.server.addr });
        incarnations.take(MAX_REPORTED_INCARNATIONS).collect()
    }

    fn parts(&self) -> MutexGuard<'_, HeldParts> {
        lock(&self.parts)
    }

    /// The list version of the box's index.
    pub fn version(&self) -> ListVersion {
        self.parts().index.as_ref().map(|index| index.version).unwrap_or_default()
    }

    /// The hash of the box's index.
    pub fn index_hash(&self) -> Option<ContentHash> {
        self.parts().index.as_ref().map(|index| index.hash)
    }

    /// Whether the box has ever held all the parts it must hold.
    pub fn is_complete(&self) -> bool {
        self.parts().complete
    }

    /// The parts in the index that the box does not hold, or holds with different content.
    pub fn missing_parts(&self) -> Vec<PartId> {
        self.parts().missing_parts().cloned().collect()
    }

    /// Applies an index from the leader. An index of an older list version is ignored.
    pub fn apply_index(&self, index: ListIndex) {
        let mut parts = self.parts();
        if parts.index.as_ref().is_some_and(|held| held.version > index.version) {
            return;
        }
        parts.index = Some(index);
        parts.drop_unwanted();
        self.rebuild(&parts);
    }

    /// Applies parts of the list. Returns the servers that are newly marked as leaving. An
    /// incarnation once marked stays so, unless the server itself says that it stays.
    pub fn apply_parts(&self, changed: Vec<ListPart>) -> Vec<BackendId> {
        let mut parts = self.parts();
        for part in changed {
            if let Some(index) = &mut parts.index {
                index.update_part_hash(&part.id, part.hash);
            }
            parts.held.insert(part.id.clone(), part);
        }
        parts.drop_unwanted();
        self.rebuild(&parts)
    }

    /// Rebuilds the snapshot from all held parts. Returns the servers that are newly marked as
    /// leaving.
    fn rebuild(&self, parts: &HeldParts) -> Vec<BackendId> {
        let held = self.listed.load();
        let (mut by_id, mut leaving) = (HashMap::new(), Vec::new());
        let (mut incarnations, mut unreported) = (lock(&self.incarnations), BTreeSet::new());
        let mut departed = lock(&self.departed);
        // While the parts from before and after a change of the prefix length are both held, a
        // server may be in two of them. The entry of the part in the index wins.
        let all: HashMap<_, _> = parts.listed().map(|it| (it.server.id.clone(), it)).collect();
        for (id, listed) in all {
            let previous = by_id.get(&id).or(held.by_id.get(&id));
            let life = incarnations.get(&id).copied();
            let known = apply_listing(previous.or(departed.get(&id)), life, &listed);
            if previous.is_some_and(|it| it.state.is_over()) {
                // The recent loads may be those of the earlier incarnation.
                self.recent_loads.store(Arc::default());
            }
            // A returning server is not asked if its incarnation was never known, or is the one in
            // the list.
            let is_back = previous.is_none()
                && life.is_some_and(|it| !it.id().is_none() && it.id() != listed.incarnation);
            if is_back || previous.is_some_and(|it| it.server.addr != known.server.addr) {
                self.mark_suspect(&known);
            }
            if listed.server.leaving && known.life.matches(listed.incarnation) {
                let left = listed.server.leaves_in.map_or(DEFAULT_SHUTDOWN_DELAY, Millis::duration);
                if known.mark_leaving(left) {
                    leaving.push(id.clone());
                }
            } else if !listed.server.leaving && !known.is_open() {
                self.mark_suspect(&known);
            }
            if previous.is_some_and(|it| it.incarnation() < known.incarnation()) {
                lock(&self.restart_checks).resolve(&id);
            }
            match known.incarnation() > listed.incarnation {
                true => unreported.insert(id.clone()),
                false => unreported.remove(&id),
            };
            incarnations.insert(id.clone(), known.life);
            by_id.insert(id, known);
        }
        if incarnations.len() > 2 * by_id.len() + UNLISTED_LIMIT {
            incarnations.retain(|id, _| by_id.contains_key(id));
        }
        departed.retain(|id, _| !by_id.contains_key(id));
        let gone =
            held.by_id.iter().filter(|(id, it)| it.state.departs() && !by_id.contains_key(*id));
        departed.extend(gone.map(|(id, known)| (id.clone(), known.clone())));
        if departed.len() > UNLISTED_LIMIT {
            departed.clear();
        }
        drop(departed);
        lock(&self.restart_checks).retain(|id| by_id.contains_key(id));
        *lock(&self.unreported) = unreported;
        self.listed.store(Arc::new(ServerSnapshot::new(self.topology.as_ref(), by_id)));
        leaving
    }
}
