//! One backend server as a box knows it, in one life.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use tokio::sync::watch;

use super::list::{ListedServer, Server};
use crate::blackboard::fleet::{BackendState, FlightGuard, Leaving};
use crate::decide::choose::LoadEstimate;
use crate::decide::lives::{IncarnationSource, IncarnationUpdate, ServerIncarnation};
use crate::ids::{Incarnation, ServerKey};
use crate::member::table::fingerprint;
use crate::units::UnixMillis;

/// How long a server that leaves is taken to stay when nothing says so.
pub(super) const LEAVE_TIME: Duration = Duration::from_secs(30);

/// What a box knows of one backend server in one life. A later life of the server has another one.
#[derive(Debug)]
pub struct Known {
    /// What the platform lists.
    pub server: Server,
    /// A hash of its id: its place in the order of its service's servers.
    pub hash: u64,
    /// The life, as far as it is known.
    pub(super) life: ServerIncarnation,
    /// What this box has seen of this life.
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
    over: watch::Receiver<bool>,
    _guard: FlightGuard,
}

impl Flight {
    /// The server.
    pub fn known(&self) -> &Arc<Known> {
        &self.known
    }

    /// Waits until the server is known to have started again: the request will not be answered.
    pub async fn ended(&mut self) {
        // The sender is in the state that this flight keeps, so the wait ends only with the life.
        let _ = self.over.wait_for(|over| *over).await;
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
        let (over, guard) = (self.state.follow_end(), self.state.begin());
        Flight { known: self.clone(), prompt, tokens, over, _guard: guard }
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
    pub fn load_estimate(&self) -> Option<LoadEstimate> {
        let (others, at) = self.others()?;
        Some(LoadEstimate { requests: f64::from(others), age: at.elapsed().as_secs_f64() })
    }

    /// Requests of others there by its last word, and when that was true.
    fn others(&self) -> Option<(u32, Instant)> {
        let load = self.state.load()?;
        Some(((load.running + load.waiting).saturating_sub(load.own), load.at))
    }

    /// The life; 0 where nothing has told it.
    pub fn life(&self) -> Incarnation {
        self.life.id()
    }

    /// The server in this life.
    pub fn key(&self) -> ServerKey {
        ServerKey { id: self.server.id.clone(), life: self.life() }
    }

    /// Notes that it is gone: its address answers for another server.
    pub fn leave_at_once(&self) {
        if self.leave(Duration::ZERO) {
            tracing::info!(event = "backend_server_gone", backend_server = %self.server.id);
        }
    }

    /// Records its own word, in an answer, that it is leaving.
    pub(super) fn depart(&self) {
        if self.state.depart() {
            tracing::info!(event = "server_says_it_leaves", backend_server = %self.server.id);
            self.leave(LEAVE_TIME);
        }
    }

    /// Takes word that this life leaves within a time; `true` if new.
    pub(super) fn leave(&self, left: Duration) -> bool {
        // The state is of this life alone, whatever it is called.
        let life = Incarnation::default();
        self.state.leave(Leaving { life, gone: Instant::now() + left })
    }

    /// Whether it takes new requests.
    pub fn is_open(&self) -> bool {
        self.state.leaving().is_none()
    }
}

impl Known {
    /// A life of a server of which nothing is known.
    pub(super) fn fresh(server: Server, life: ServerIncarnation) -> Self {
        let (hash, state) = (fingerprint(server.id.as_str()), Arc::default());
        let (unread, tokens) = (Arc::default(), Arc::default());
        Self { server, hash, life, state, unread, tokens }
    }

    /// The same life of the server, with what is known of it.
    pub(super) fn with(&self, server: Server, life: ServerIncarnation) -> Self {
        let (state, unread) = (self.state.clone(), self.unread.clone());
        let (hash, tokens) = (self.hash, self.tokens.clone());
        Self { server, hash, life, state, unread, tokens }
    }
}

/// The entry for a listed server with what was known of its life, if the list shows the same one. `life` is
/// what was known of it when it was listed last.
pub(super) fn update(
    before: Option<&Arc<Known>>,
    life: Option<ServerIncarnation>,
    listed: &ListedServer,
) -> Arc<Known> {
    let now = UnixMillis::now();
    let mut life = life.unwrap_or_else(|| ServerIncarnation::first_seen_at(now));
    let heard = life.update(listed.incarnation, IncarnationSource::Relayed, now);
    let Some(known) = before else {
        return Arc::new(Known::fresh(listed.server.clone(), life));
    };
    if heard == IncarnationUpdate::Outdated {
        return known.clone();
    }
    let is_named = !listed.incarnation.is_none() && listed.incarnation == known.life();
    // A server keeps its address for its life, so at another address it is another one, told or not.
    let moved = known.server.addr != listed.server.addr && !is_named;
    if heard == IncarnationUpdate::Restarted || moved {
        if moved && listed.incarnation.is_none() {
            life.mark_restarted(now);
        }
        end(known, &life);
        return Arc::new(Known::fresh(listed.server.clone(), life));
    }
    match known.server == listed.server && known.life == life {
        true => known.clone(),
        false => Arc::new(known.with(listed.server.clone(), life)),
    }
}

/// Ends what runs in a life that is over.
pub(super) fn end(known: &Known, next: &ServerIncarnation) {
    known.state.end();
    tracing::info!(
        event = "backend_server_restarted", backend_server = %known.server.id, life = %next.id(),
        before = %known.life(), in_flight = known.state.in_flight(),
    );
}
