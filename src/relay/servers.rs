//! The backend servers that a relay knows: the list as the leader passes it on, and what this box
//! has seen of each.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use serde::{Deserialize, Serialize};

use crate::blackboard::fleet::{BackendState, FlightGuard, Leaving};
use crate::ids::{BackendId, DataCentre, Incarnation, ServiceName, Term};
use crate::units::Millis;

/// The only life of a server: every start of one has an id of its own.
const LIFE: Incarnation = Incarnation(1);

/// How long a server that leaves is taken to stay when nothing says so.
const LEAVE_TIME: Duration = Duration::from_secs(30);

/// A backend server as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Its id, which no later start has again.
    pub id: BackendId,
    /// Its service.
    pub service: ServiceName,
    /// Where it is reached. An address may pass to another server.
    pub addr: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Requests it runs at the same time.
    pub slots: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// When it goes, counted from the listing, where that is known.
    pub leaves_in: Option<Millis>,
    /// Whether it may be reclaimed.
    pub spot: bool,
}

/// Which list: the term of the leader that read it, and its place among that leader's lists.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ListVersion {
    /// The term.
    pub term: Term,
    /// The place.
    pub place: u64,
}

impl std::fmt::Display for ListVersion {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.term, self.place)
    }
}

/// All backend servers, as the platform listed them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerList {
    /// Which list.
    pub version: ListVersion,
    /// The servers.
    pub servers: Vec<Server>,
}

/// What a box knows of one backend server.
#[derive(Debug)]
pub struct Known {
    /// What the platform lists.
    pub server: Server,
    /// What this box has seen.
    pub state: Arc<BackendState>,
    /// Prompt tokens of this box's requests that have not begun to run there.
    unread: Arc<AtomicU64>,
}

/// Counts a request in flight to a server until dropped; its prompt until it has begun to run.
pub struct Flight {
    known: Arc<Known>,
    prompt: u64,
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
    }
}

impl Known {
    /// Counts a request with so many prompt tokens in flight.
    pub fn begin(self: &Arc<Self>, prompt: u64) -> Flight {
        self.unread.fetch_add(prompt, Ordering::SeqCst);
        Flight { known: self.clone(), prompt, _guard: self.state.begin() }
    }

    /// Prompt tokens of this box's requests that it has still to read.
    pub fn unread(&self) -> u64 {
        self.unread.load(Ordering::SeqCst)
    }

    /// Requests there by its last word, corrected by what this box has sent and finished since.
    pub fn requests(&self) -> u32 {
        let own = self.state.in_flight();
        match self.state.load() {
            Some(load) => (load.running + load.waiting).saturating_sub(load.own) + own,
            None => own,
        }
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

type ByService = BTreeMap<ServiceName, Vec<Arc<Known>>>;

/// The backend servers known.
#[derive(Debug, Default)]
pub struct ServerBook {
    by_service: ArcSwap<ByService>,
    version: Mutex<ListVersion>,
}

impl ServerBook {
    /// The servers of a service.
    pub fn of(&self, service: &ServiceName) -> Vec<Arc<Known>> {
        self.by_service.load().get(service).cloned().unwrap_or_default()
    }

    /// Which list is held.
    pub fn version(&self) -> ListVersion {
        *self.version.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a list. An older one is passed over, and a server once seen leaving leaves for good.
    pub fn take(&self, list: ServerList) {
        let mut version = self.version.lock().unwrap_or_else(PoisonError::into_inner);
        if list.version <= *version {
            return;
        }
        *version = list.version;
        let held = self.by_service.load();
        let mut next = ByService::new();
        for server in list.servers {
            let known = find(&held, &server);
            let known = update(known, server);
            next.entry(known.server.service.clone()).or_default().push(known);
        }
        drop(held);
        self.by_service.store(Arc::new(next));
    }
}

fn find(held: &ByService, server: &Server) -> Option<Arc<Known>> {
    let of_service = held.get(&server.service)?;
    of_service.iter().find(|known| known.server.id == server.id).cloned()
}

/// The entry for a listed server, with what was known of it.
fn update(known: Option<Arc<Known>>, server: Server) -> Arc<Known> {
    let leaving = server.leaving;
    let left = server.leaves_in.map_or(LEAVE_TIME, Millis::duration);
    let known = match known {
        Some(known) if known.server == server => known,
        Some(known) => {
            let (state, unread) = (known.state.clone(), known.unread.clone());
            Arc::new(Known { server, state, unread })
        }
        None => {
            let state = Arc::new(BackendState::default());
            Arc::new(Known { server, state, unread: Arc::default() })
        }
    };
    if leaving && known.state.leave(Leaving { life: LIFE, gone: Instant::now() + left }) {
        tracing::info!(
            event = "backend_server_leaving", backend_server = %known.server.id,
            left_ms = left.as_millis() as u64,
        );
    }
    known
}
