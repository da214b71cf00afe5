//! The backend servers that a relay knows: its parts of the list as the leader passes them on, and what
//! this box has seen of each server.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;

use super::list::{ListIndex, ListPart, ListVersion, PartId, Print, Server};
use crate::blackboard::fleet::{BackendState, FlightGuard, Leaving};
use crate::decide::choose::LoadWord;
use crate::decide::loads::ToldLoad;
use crate::ids::{BackendId, Incarnation, ServiceName};
use crate::member::table::fingerprint;
use crate::units::Millis;

/// The only life of a server: every start of one has an id of its own.
const LIFE: Incarnation = Incarnation(1);

/// How long a server that leaves is taken to stay when nothing says so.
const LEAVE_TIME: Duration = Duration::from_secs(30);

/// What a box knows of one backend server.
#[derive(Debug)]
pub struct Known {
    /// What the platform lists.
    pub server: Server,
    /// A hash of its id: its place in the order of its service's servers.
    pub hash: u64,
    /// What this box has seen.
    pub state: Arc<BackendState>,
    /// Prompt tokens of this box's requests that have not begun to run there.
    unread: Arc<AtomicU64>,
    /// Tokens that this box's requests keep there at most.
    tokens: Arc<AtomicU64>,
}

/// Counts a request in flight to a server until dropped; its prompt until it has begun to run.
pub struct Flight {
    known: Arc<Known>,
    prompt: u64,
    tokens: u64,
    _guard: FlightGuard,
}

impl Flight {
    /// The server.
    pub fn known(&self) -> &Arc<Known> {
        &self.known
    }

    /// Notes that the request has begun to run: its prompt is read.
    pub fn begun(&mut self) {
        self.known.unread.fetch_sub(self.prompt, Ordering::SeqCst);
        self.prompt = 0;
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.known.unread.fetch_sub(self.prompt, Ordering::SeqCst);
        self.known.tokens.fetch_sub(self.tokens, Ordering::SeqCst);
    }
}

impl Known {
    /// Counts a request in flight, with so many prompt tokens and so many that it keeps at most.
    pub fn begin(self: &Arc<Self>, prompt: u64, tokens: u64) -> Flight {
        self.unread.fetch_add(prompt, Ordering::SeqCst);
        self.tokens.fetch_add(tokens, Ordering::SeqCst);
        Flight { known: self.clone(), prompt, tokens, _guard: self.state.begin() }
    }

    /// Tokens that this box's requests keep there at most.
    pub fn tokens(&self) -> u64 {
        self.tokens.load(Ordering::SeqCst)
    }

    /// Prompt tokens of this box's requests that it has still to read.
    pub fn unread(&self) -> u64 {
        self.unread.load(Ordering::SeqCst)
    }

    /// Requests there by its last word, corrected by what this box has sent and finished since.
    pub fn requests(&self) -> u32 {
        self.others().map_or(0, |(others, _)| others) + self.state.in_flight()
    }

    /// Its last word of its load, without this box's requests.
    pub fn load_word(&self) -> Option<LoadWord> {
        let (others, at) = self.others()?;
        Some(LoadWord { requests: f64::from(others), age: at.elapsed().as_secs_f64() })
    }

    /// Requests of others there by its last word, and when that was true.
    fn others(&self) -> Option<(u32, Instant)> {
        let load = self.state.load()?;
        Some(((load.running + load.waiting).saturating_sub(load.own), load.at))
    }

    /// Notes that it is gone: its address answers for another server.
    pub fn leave_at_once(&self) {
        if self.state.leave(Leaving { life: LIFE, gone: Instant::now() }) {
            tracing::info!(event = "backend_server_gone", backend_server = %self.server.id);
        }
    }

    /// Whether it takes new requests.
    pub fn is_open(&self) -> bool {
        self.state.leaving().is_none()
    }
}

/// The servers of a service, in the order of their hashes.
pub type Servers = Arc<Vec<Arc<Known>>>;

/// The backend servers known, found by service and by id.
#[derive(Debug, Default)]
struct Listed {
    by_service: BTreeMap<ServiceName, Servers>,
    by_id: HashMap<BackendId, Arc<Known>>,
}

impl Listed {
    /// The servers of `by_id`, by service as well.
    fn new(by_id: HashMap<BackendId, Arc<Known>>) -> Self {
        let mut servers: BTreeMap<ServiceName, Vec<_>> = BTreeMap::new();
        for known in by_id.values() {
            servers.entry(known.server.service.clone()).or_default().push(known.clone());
        }
        let ordered = servers.into_iter().map(|(service, mut servers)| {
            servers.sort_unstable_by_key(|known| known.hash);
            (service, Arc::new(servers))
        });
        Self { by_service: ordered.collect(), by_id }
    }
}

/// How long the loads that an answer of the leader brought are the newest there are: three beats.
const TOLD_TIME: Duration = Duration::from_millis(1_200);

/// The servers whose loads the leader told, and when.
#[derive(Debug)]
struct Told {
    at: Instant,
    by_service: BTreeMap<ServiceName, Servers>,
}

impl Default for Told {
    fn default() -> Self {
        Self { at: Instant::now(), by_service: BTreeMap::new() }
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
    fn has(&self, part: &PartId, print: Print) -> bool {
        self.held.get(part).is_some_and(|held| held.print == print)
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
    fn servers(&self) -> impl Iterator<Item = Server> {
        let wanted = |part: &PartId| {
            self.index.iter().flat_map(|index| &index.parts).any(|(wanted, _)| wanted == part)
        };
        let (new, old): (Vec<_>, Vec<_>) = self.held.iter().partition(|(part, _)| wanted(part));
        old.into_iter().chain(new).flat_map(|(_, part)| part.servers())
    }
}

/// The backend servers known.
#[derive(Debug, Default)]
pub struct ServerBook {
    listed: ArcSwap<Listed>,
    told: ArcSwap<Told>,
    parts: Mutex<Parts>,
}

impl ServerBook {
    /// The servers of a service.
    pub fn of(&self, service: &ServiceName) -> Servers {
        self.listed.load().by_service.get(service).cloned().unwrap_or_default()
    }

    /// The servers of a service whose loads the leader's last answer brought; none where that is long ago.
    pub fn told(&self, service: &ServiceName) -> Servers {
        let told = self.told.load();
        match told.at.elapsed() < TOLD_TIME {
            true => told.by_service.get(service).cloned().unwrap_or_default(),
            false => Servers::default(),
        }
    }

    /// Takes the loads of servers that other boxes were told.
    pub fn hear_loads(&self, loads: &[ToldLoad]) {
        let listed = self.listed.load();
        let mut told: BTreeMap<ServiceName, Vec<_>> = BTreeMap::new();
        for load in loads {
            if let Some(known) = listed.by_id.get(&load.server) {
                let requests = load.faded(known.state.service_time()).round() as u32;
                known.state.report(requests, 0, Duration::ZERO);
                told.entry(known.server.service.clone()).or_default().push(known.clone());
            }
        }
        let by_service = told.into_iter().map(|(service, servers)| (service, Arc::new(servers)));
        self.told.store(Arc::new(Told { at: Instant::now(), by_service: by_service.collect() }));
    }

    fn parts(&self) -> MutexGuard<'_, Parts> {
        self.parts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Which list the box was told of last.
    pub fn version(&self) -> ListVersion {
        self.parts().index.as_ref().map(|index| index.version).unwrap_or_default()
    }

    /// The print of the index that the box has.
    pub fn index_print(&self) -> Option<Print> {
        self.parts().index.as_ref().map(|index| index.print)
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
    pub fn take_index(&self, index: ListIndex) {
        let mut parts = self.parts();
        if parts.index.as_ref().is_some_and(|held| held.version > index.version) {
            return;
        }
        parts.index = Some(index);
        parts.settle();
        self.rebuild(&parts);
    }

    /// Takes parts of the list; the servers that are first seen leaving. One once seen leaving leaves for
    /// good.
    pub fn take_parts(&self, news: Vec<ListPart>) -> Vec<BackendId> {
        let mut parts = self.parts();
        for part in news {
            if let Some(index) = &mut parts.index {
                index.renew(&part.id, part.print);
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
        for server in parts.servers() {
            let (known, leaves) = update(held.by_id.get(&server.id), &server);
            if leaves {
                leaving.push(server.id.clone());
            }
            by_id.insert(server.id, known);
        }
        self.listed.store(Arc::new(Listed::new(by_id)));
        leaving
    }
}

/// The entry for a listed server, with what was known of it, and whether it is now first seen leaving.
fn update(known: Option<&Arc<Known>>, server: &Server) -> (Arc<Known>, bool) {
    let leaving = server.leaving;
    let left = server.leaves_in.map_or(LEAVE_TIME, Millis::duration);
    let known = match known {
        Some(known) if known.server == *server => known.clone(),
        Some(known) => {
            let (server, state) = (server.clone(), known.state.clone());
            let (unread, tokens) = (known.unread.clone(), known.tokens.clone());
            Arc::new(Known { server, hash: known.hash, state, unread, tokens })
        }
        None => {
            let (server, hash) = (server.clone(), fingerprint(server.id.as_str()));
            let state = Arc::new(BackendState::default());
            let (unread, tokens) = (Arc::default(), Arc::default());
            Arc::new(Known { server, hash, state, unread, tokens })
        }
    };
    let leaves = leaving && known.state.leave(Leaving { life: LIFE, gone: Instant::now() + left });
    (known, leaves)
}
