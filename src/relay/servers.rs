//! The backend servers that a relay knows: its parts of the list as the leader passes them on, and what
//! this box has seen of each server.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use tokio::sync::Notify;

use super::call::ServerReport;
use super::known::{Known, LEAVE_TIME, end, update};
use super::list::{
    ContentHash, IncarnationReport, ListIndex, ListPart, ListVersion, ListedServer, PartId,
};
use super::part_loads::{self, PartLoads};
use super::placed::Placed;
use crate::decide::lives::{
    IncarnationSource, IncarnationUpdate, RestartCheckQueue, ServerIncarnation,
};
use crate::decide::loads::LoadSample;
use crate::decide::topology::Topology;
use crate::ids::{BackendId, Incarnation, ServiceName};
use crate::sync::lock;
use crate::units::{Millis, UnixMillis};

/// Lives that one word to the leader tells at most: 2 KB. The others follow with the next words.
const LIVES_TOLD: usize = 32;

/// Servers remembered beside those that are listed: one may be back within a few readings of the list.
const GONE_LIMIT: usize = 1_024;

/// The servers of a service, in the order of their hashes.
pub type Servers = Arc<Vec<Arc<Known>>>;

/// The backend servers known, found by service and by id.
#[derive(Debug, Default)]
struct KnownServers {
    by_service: BTreeMap<ServiceName, Servers>,
    placed: BTreeMap<ServiceName, Arc<Placed>>,
    by_id: HashMap<BackendId, Arc<Known>>,
}

impl KnownServers {
    /// The servers of `by_id`, by service as well.
    fn new(topology: Option<&Topology>, by_id: HashMap<BackendId, Arc<Known>>) -> Self {
        let mut servers: BTreeMap<ServiceName, Vec<_>> = BTreeMap::new();
        for known in by_id.values() {
            servers.entry(known.server.service.clone()).or_default().push(known.clone());
        }
        let ordered = servers.into_iter().map(|(service, mut servers)| {
            servers.sort_unstable_by_key(|known| known.hash);
            (service, Arc::new(servers))
        });
        let by_service = ordered.collect();
        let placed = place_all(topology, &by_service);
        Self { by_service, placed, by_id }
    }
}

fn place_all(
    topology: Option<&Topology>,
    by_service: &BTreeMap<ServiceName, Servers>,
) -> BTreeMap<ServiceName, Arc<Placed>> {
    let place = |servers: &Servers| Arc::new(Placed::new(topology, servers));
    by_service.iter().map(|(service, servers)| (service.clone(), place(servers))).collect()
}

/// How long the loads that an answer of the leader brought are the newest there are: three beats.
const LOADS_TIME: Duration = Duration::from_millis(1_200);

/// The servers whose loads the leader told, and when.
#[derive(Debug)]
struct RecentLoads {
    at: Instant,
    /// Loads that the answer brought.
    count: usize,
    by_service: BTreeMap<ServiceName, Arc<Placed>>,
}

impl Default for RecentLoads {
    fn default() -> Self {
        Self { at: Instant::now(), count: 0, by_service: BTreeMap::new() }
    }
}

/// The parts of the list that a box has, and those that it is to have.
#[derive(Debug, Default)]
struct Parts {
    index: Option<ListIndex>,
    held: BTreeMap<PartId, ListPart>,
    /// Whether all parts of an index were held once.
    complete: bool,
}

impl Parts {
    fn has(&self, part: &PartId, print: ContentHash) -> bool {
        self.held.get(part).is_some_and(|held| held.hash == print)
    }

    fn lacking(&self) -> impl Iterator<Item = &PartId> {
        let wanted = self.index.iter().flat_map(|index| &index.parts);
        wanted.filter(|(part, print)| !self.has(part, *print)).map(|(part, _)| part)
    }

    /// Drops the parts that are no longer wanted, once all that are wanted are here: in between, the
    /// servers of the former ones serve on.
    fn settle(&mut self) {
        let Some(index) = &self.index else {
            return;
        };
        if self.lacking().next().is_none() {
            self.held.retain(|part, _| index.parts.iter().any(|(wanted, _)| wanted == part));
            self.complete = true;
        }
    }

    /// The servers of all parts; those of the parts that are wanted come last.
    fn listed(&self) -> impl Iterator<Item = ListedServer> {
        let wanted = |part: &PartId| {
            self.index.iter().flat_map(|index| &index.parts).any(|(wanted, _)| wanted == part)
        };
        let (new, old): (Vec<_>, Vec<_>) = self.held.iter().partition(|(part, _)| wanted(part));
        old.into_iter().chain(new).flat_map(|(_, part)| part.listed_servers())
    }
}

/// The backend servers known.
#[derive(Debug, Default)]
pub struct ServerTable {
    /// How far servers are; where absent, none is farther than another.
    topology: Option<Topology>,
    listed: ArcSwap<KnownServers>,
    told: ArcSwap<RecentLoads>,
    parts: Mutex<Parts>,
    /// The lives of the servers that are known, or were a while ago.
    lives: Mutex<HashMap<BackendId, ServerIncarnation>>,
    /// The servers whose lives the leader's list does not show.
    news: Mutex<BTreeSet<BackendId>>,
    /// The servers that are no longer listed and had said that they leave: lists of other parts bring some back.
    departed: Mutex<HashMap<BackendId, Arc<Known>>>,
    doubts: Mutex<RestartCheckQueue>,
    /// RecentLoads of each doubt.
    doubted: Notify,
}

impl ServerTable {
    /// The servers as they are seen by a box.
    pub fn new(topology: Topology) -> Self {
        Self { topology: Some(topology), ..Self::default() }
    }

    /// The servers of a service, by how far they are.
    pub fn placed(&self, service: &ServiceName) -> Arc<Placed> {
        self.listed.load().placed.get(service).cloned().unwrap_or_default()
    }

    /// The servers of a service.
    pub fn of(&self, service: &ServiceName) -> Servers {
        self.listed.load().by_service.get(service).cloned().unwrap_or_default()
    }

    /// The servers of a service whose loads the leader's last answer brought; none where that is long ago.
    pub fn loaded(&self, service: &ServiceName) -> Arc<Placed> {
        let told = self.told.load();
        match told.at.elapsed() < LOADS_TIME {
            true => told.by_service.get(service).cloned().unwrap_or_default(),
            false => Arc::default(),
        }
    }

    /// A server, as it is known now.
    pub fn find(&self, id: &BackendId) -> Option<Arc<Known>> {
        self.listed.load().by_id.get(id).cloned()
    }

    /// Takes the loads of servers that other boxes were told, by their places in the list.
    pub fn apply_placed_loads(&self, loads: &[PartLoads]) {
        let told = {
            let parts = self.parts();
            part_loads::named(loads, |print, place| {
                let held = parts.held.values().find(|part| part.hash == print)?;
                held.key_at(place)
            })
        };
        self.apply_loads(&told);
    }

    /// Takes the loads of servers that other boxes were told. One that was told by another life than the known
    /// one says nothing of it.
    pub fn apply_loads(&self, loads: &[LoadSample]) {
        let listed = self.listed.load();
        let mut told: BTreeMap<ServiceName, Vec<_>> = BTreeMap::new();
        for load in loads {
            let known = listed.by_id.get(&load.server);
            if let Some(known) = known.filter(|known| known.life.matches(load.life)) {
                let requests = load.faded(known.state.service_time()).round() as u32;
                known.state.report(requests, 0, Duration::ZERO);
                told.entry(known.server.service.clone()).or_default().push(known.clone());
            }
        }
        let former = self.told.load();
        if loads.len() < former.count && former.at.elapsed() < LOADS_TIME {
            // An answer soon after another brings a few: they join those of that one.
            return;
        }
        let count = loads.len();
        let place = |servers: Vec<_>| Arc::new(Placed::new(self.topology.as_ref(), &servers));
        let by_service = told.into_iter().map(|(service, servers)| (service, place(servers)));
        let by_service = by_service.collect();
        self.told.store(Arc::new(RecentLoads { at: Instant::now(), count, by_service }));
    }

    /// Takes a server's own word of the life that it is in, as it answered where `asked` has it.
    ///
    /// Where it has started again, nothing that was known of it holds: it is open, and what runs in the
    /// earlier life is over.
    pub fn apply_incarnation(&self, asked: &Known, told: Incarnation) -> IncarnationUpdate {
        // No two words change the servers at the same time.
        let _parts = self.parts();
        let id = &asked.server.id;
        let known = self.find(id).filter(|known| known.server.addr == asked.server.addr);
        let Some(known) = known else {
            return IncarnationUpdate::Outdated;
        };
        let mut life = known.life;
        let heard = life.update(told, IncarnationSource::Server, UnixMillis::now());
        if life == known.life {
            return heard;
        }
        let renewed = match heard {
            IncarnationUpdate::Restarted => Known::fresh(known.server.clone(), life),
            IncarnationUpdate::Identified
            | IncarnationUpdate::Unchanged
            | IncarnationUpdate::Outdated
            | IncarnationUpdate::Rejected => known.with(known.server.clone(), life),
        };
        let mut by_id = self.listed.load().by_id.clone();
        by_id.insert(id.clone(), Arc::new(renewed));
        self.listed.store(Arc::new(KnownServers::new(self.topology.as_ref(), by_id)));
        lock(&self.lives).insert(id.clone(), life);
        if matches!(heard, IncarnationUpdate::Identified | IncarnationUpdate::Restarted) {
            lock(&self.news).insert(id.clone());
        }
        if heard == IncarnationUpdate::Restarted {
            end(&known, &life);
            self.told.store(Arc::default());
        }
        heard
    }

    /// Takes a server's report on itself, which it was asked for when `asked` was what was known of it.
    pub fn apply_report(&self, asked: &Known, report: &ServerReport) -> IncarnationUpdate {
        let id = &asked.server.id;
        let heard = self.apply_incarnation(asked, report.incarnation);
        match report.incarnation.is_none() {
            true => lock(&self.doubts).resolve_unknown(id, Instant::now()),
            false => lock(&self.doubts).resolve(id),
        }
        let Some(known) = self.find(id) else {
            return heard;
        };
        // A report that names no life is of the one that was asked.
        let is_own = match report.incarnation.is_none() {
            true => Arc::ptr_eq(&known.state, &asked.state),
            false => known.life() == report.incarnation,
        };
        if !is_own {
            return heard;
        }
        if let Some(load) = report.load {
            known.state.report(load.running, load.waiting, Duration::ZERO);
        }
        match report.leaving {
            Some(true) if known.leave(report.time_left.unwrap_or(LEAVE_TIME)) => {
                tracing::info!(event = "backend_servers_leaving", count = 1, servers = %id);
            }
            // Its own word counts against an earlier notice only where the list agrees with it.
            Some(false) if !known.server.leaving && known.state.stay() => {
                tracing::info!(event = "backend_server_stays", backend_server = %id);
            }
            Some(_) | None => {}
        }
        heard
    }

    /// Notes that something makes doubt whether a server is in the life that is known.
    pub fn doubt(&self, known: &Known) {
        if known.state.is_over() {
            return;
        }
        let random = rand::random();
        if lock(&self.doubts).request(&known.server.id, Instant::now(), random) {
            self.doubted.notify_one();
        }
    }

    /// Whether servers are to be asked for a report, now or later.
    pub fn has_doubts(&self) -> bool {
        lock(&self.doubts).next_due().is_some()
    }

    /// The servers to ask for a report now; waits until there is one.
    pub(super) async fn doubtful(&self) -> Vec<Arc<Known>> {
        loop {
            let (due, next) = {
                let mut doubts = lock(&self.doubts);
                (doubts.take_due(Instant::now()), doubts.next_due())
            };
            let due: Vec<_> = due.iter().filter_map(|id| self.find(id)).collect();
            if !due.is_empty() {
                return due;
            }
            let doubted = self.doubted.notified();
            match next {
                Some(next) => drop(tokio::time::timeout_at(next.into(), doubted).await),
                None => doubted.await,
            }
        }
    }

    /// Lives that this box knows and the leader's list does not show, [`LIVES_TOLD`] at most.
    pub fn unreported_incarnations(&self) -> Vec<IncarnationReport> {
        let news = lock(&self.news);
        let known = news.iter().filter_map(|id| self.find(id));
        let lives =
            known.map(|known| IncarnationReport { server: known.key(), addr: known.server.addr });
        lives.take(LIVES_TOLD).collect()
    }

    fn parts(&self) -> MutexGuard<'_, Parts> {
        lock(&self.parts)
    }

    /// Which list the box was told of last.
    pub fn version(&self) -> ListVersion {
        self.parts().index.as_ref().map(|index| index.version).unwrap_or_default()
    }

    /// The print of the index that the box has.
    pub fn index_print(&self) -> Option<ContentHash> {
        self.parts().index.as_ref().map(|index| index.hash)
    }

    /// Whether all servers that the box is to know were known once.
    pub fn is_complete(&self) -> bool {
        self.parts().complete
    }

    /// The parts that the box is to have and has not, or not as they are now.
    pub fn lacking(&self) -> Vec<PartId> {
        self.parts().lacking().cloned().collect()
    }

    /// Takes the leader's word of which parts this box is to have; that of an older list is passed over.
    pub fn apply_index(&self, index: ListIndex) {
        let mut parts = self.parts();
        if parts.index.as_ref().is_some_and(|held| held.version > index.version) {
            return;
        }
        parts.index = Some(index);
        parts.settle();
        self.rebuild(&parts);
    }

    /// Takes parts of the list; the servers that are first seen leaving. A life once seen leaving leaves
    /// for good, unless the server itself says that it stays.
    pub fn apply_parts(&self, news: Vec<ListPart>) -> Vec<BackendId> {
        let mut parts = self.parts();
        for part in news {
            if let Some(index) = &mut parts.index {
                index.update_part_hash(&part.id, part.hash);
            }
            parts.held.insert(part.id.clone(), part);
        }
        parts.settle();
        self.rebuild(&parts)
    }

    /// Finds the servers of all parts anew; those that are first seen leaving.
    fn rebuild(&self, parts: &Parts) -> Vec<BackendId> {
        let held = self.listed.load();
        let (mut by_id, mut leaving) = (HashMap::new(), Vec::new());
        let (mut lives, mut news) = (lock(&self.lives), BTreeSet::new());
        let mut departed = lock(&self.departed);
        // Where parts of before and after a split are held, a server may stand in both: the wanted part's
        // entry counts.
        let all: HashMap<_, _> = parts.listed().map(|it| (it.server.id.clone(), it)).collect();
        for (id, listed) in all {
            let before = by_id.get(&id).or(held.by_id.get(&id));
            let life = lives.get(&id).copied();
            let known = update(before.or(departed.get(&id)), life, &listed);
            if before.is_some_and(|it| it.state.is_over()) {
                // What the leader told last may be of the former life.
                self.told.store(Arc::default());
            }
            // What nobody has named, or what the list names alike, gives no reason to ask.
            let is_back = before.is_none()
                && life.is_some_and(|it| !it.id().is_none() && it.id() != listed.incarnation);
            if is_back || before.is_some_and(|it| it.server.addr != known.server.addr) {
                self.doubt(&known);
            }
            if listed.server.leaving && known.life.matches(listed.incarnation) {
                let left = listed.server.leaves_in.map_or(LEAVE_TIME, Millis::duration);
                if known.leave(left) {
                    leaving.push(id.clone());
                }
            } else if !listed.server.leaving && !known.is_open() {
                self.doubt(&known);
            }
            if before.is_some_and(|it| it.life() < known.life()) {
                lock(&self.doubts).resolve(&id);
            }
            match known.life() > listed.incarnation {
                true => news.insert(id.clone()),
                false => news.remove(&id),
            };
            lives.insert(id.clone(), known.life);
            by_id.insert(id, known);
        }
        if lives.len() > 2 * by_id.len() + GONE_LIMIT {
            lives.retain(|id, _| by_id.contains_key(id));
        }
        departed.retain(|id, _| !by_id.contains_key(id));
        let gone =
            held.by_id.iter().filter(|(id, it)| it.state.departs() && !by_id.contains_key(*id));
        departed.extend(gone.map(|(id, known)| (id.clone(), known.clone())));
        if departed.len() > GONE_LIMIT {
            departed.clear();
        }
        drop(departed);
        lock(&self.doubts).retain(|id| by_id.contains_key(id));
        *lock(&self.news) = news;
        self.listed.store(Arc::new(KnownServers::new(self.topology.as_ref(), by_id)));
        leaving
    }
}
