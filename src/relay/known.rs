//! The state that a box keeps of one incarnation of a backend server.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use tokio::sync::watch;

use super::list::{ListedServer, Server};
use crate::backend::SendFault;
use crate::blackboard::fleet::{BackendState, FlightGuard, Leaving};
use crate::decide::choose::LoadEstimate;
use crate::decide::lives::{IncarnationSource, IncarnationUpdate, ServerIncarnation};
use crate::ids::{Incarnation, ServerKey};
use crate::member::table::fingerprint;
use crate::units::UnixMillis;

/// How long a server that is shutting down is assumed to keep running if nothing says how long.
pub(super) const DEFAULT_SHUTDOWN_DELAY: Duration = Duration::from_secs(30);

/// What a box knows of one incarnation of a backend server. A later incarnation has its own
/// instance.
#[derive(Debug)]
pub struct KnownServer {
    /// The server as listed by the platform.
    pub server: Server,
    /// A hash of the server's id, by which the servers of a service are ordered.
    pub hash: u64,
    /// The incarnation, as far as it is known.
    pub(super) life: ServerIncarnation,
    /// What this box has observed of the incarnation.
    pub state: Arc<BackendState>,
    /// Prompt tokens of this box's requests that the server has not started to run.
    queued_prompt_tokens: Arc<AtomicU64>,
    /// The most tokens that this box's requests occupy in the server's KV cache.
    reserved_tokens: Arc<AtomicU64>,
}

/// Counts a request in flight to a server until dropped. Its prompt tokens count as queued until
/// the server starts to run it.
pub struct InFlightRequest {
    server: Arc<KnownServer>,
    prompt: u64,
    reserved_tokens: u64,
    restarted: watch::Receiver<bool>,
    _guard: FlightGuard,
}

impl InFlightRequest {
    /// The server that the request was sent to.
    pub fn server(&self) -> &Arc<KnownServer> {
        &self.server
    }

    /// Waits until the server is known to have restarted, in which case it will not answer the
    /// request.
    async fn server_restarted(&mut self) {
        // The sender is part of the state that this value holds, so the wait ends only with the
        // incarnation.
        let _ = self.restarted.wait_for(|restarted| *restarted).await;
    }

    /// Waits for something that the server sends, unless it is known to have restarted before it arrives.
    ///
    /// # Errors
    /// The same fault as after a crash, if the server has restarted.
    pub async fn unless_restarted<T>(
        &mut self,
        received: impl Future<Output = T>,
    ) -> Result<T, SendFault> {
        tokio::select! {
            // What has arrived counts even if the server has restarted since.
            biased;
            received = received => Ok(received),
            () = self.server_restarted() => Err(restart_fault()),
        }
    }

    /// Marks the request as running: its prompt tokens are no longer queued.
    pub fn mark_started(&mut self) {
        self.server.queued_prompt_tokens.fetch_sub(self.prompt, Ordering::SeqCst);
        self.prompt = 0;
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        self.server.queued_prompt_tokens.fetch_sub(self.prompt, Ordering::SeqCst);
        self.server.reserved_tokens.fetch_sub(self.reserved_tokens, Ordering::SeqCst);
    }
}

impl KnownServer {
    /// Counts a request in flight with `prompt` prompt tokens and at most `reserved` tokens in the
    /// KV cache.
    pub fn start_request(self: &Arc<Self>, prompt: u64, reserved_tokens: u64) -> InFlightRequest {
        self.queued_prompt_tokens.fetch_add(prompt, Ordering::SeqCst);
        self.reserved_tokens.fetch_add(reserved_tokens, Ordering::SeqCst);
        let (restarted, guard) = (self.state.follow_end(), self.state.begin());
        InFlightRequest { server: self.clone(), prompt, reserved_tokens, restarted, _guard: guard }
    }

    /// The most tokens that this box's requests occupy in the server's KV cache.
    pub fn reserved_tokens(&self) -> u64 {
        self.reserved_tokens.load(Ordering::SeqCst)
    }

    /// Prompt tokens of this box's requests that the server has not started to run.
    pub fn queued_prompt_tokens(&self) -> u64 {
        self.queued_prompt_tokens.load(Ordering::SeqCst)
    }

    /// The number of requests at the server: its last report without this box's requests, plus
    /// those that this box has in flight.
    pub fn estimated_requests(&self) -> u32 {
        self.other_load().map_or(0, |(others, _)| others) + self.state.in_flight()
    }

    /// The load in the server's last report, without this box's requests.
    pub fn load_estimate(&self) -> Option<LoadEstimate> {
        let (others, at) = self.other_load()?;
        Some(LoadEstimate { requests: f64::from(others), age: at.elapsed().as_secs_f64() })
    }

    /// The number of other boxes' requests in the server's last report, and the time of that
    /// report.
    fn other_load(&self) -> Option<(u32, Instant)> {
        let load = self.state.load()?;
        Some(((load.running + load.waiting).saturating_sub(load.own), load.at))
    }

    /// The incarnation; 0 if unknown.
    pub fn incarnation(&self) -> Incarnation {
        self.life.id()
    }

    /// The server's id and incarnation.
    pub fn key(&self) -> ServerKey {
        ServerKey { id: self.server.id.clone(), life: self.incarnation() }
    }

    /// Marks the server as gone because its address now answers for another server.
    pub fn mark_gone(&self) {
        if self.mark_leaving(Duration::ZERO) {
            tracing::info!(event = "backend_server_gone", backend_server = %self.server.id);
        }
    }

    /// Records the server's notice, in an answer, that it is shutting down.
    pub(super) fn record_shutdown_notice(&self) {
        if self.state.depart() {
            tracing::info!(event = "server_says_it_leaves", backend_server = %self.server.id);
            self.mark_leaving(DEFAULT_SHUTDOWN_DELAY);
        }
    }

    /// Marks the incarnation as leaving after `left`. Returns `true` if it was not marked before.
    pub(super) fn mark_leaving(&self, left: Duration) -> bool {
        // The state belongs to this incarnation alone, so its number does not matter.
        let life = Incarnation::default();
        self.state.leave(Leaving { life, gone: Instant::now() + left })
    }

    /// Whether the server accepts new requests.
    pub fn is_open(&self) -> bool {
        self.state.leaving().is_none()
    }
}

impl KnownServer {
    /// Creates the state of an incarnation of which nothing is known.
    pub(super) fn new(server: Server, life: ServerIncarnation) -> Self {
        let (hash, state) = (fingerprint(server.id.as_str()), Arc::default());
        let (queued_prompt_tokens, reserved_tokens) = (Arc::default(), Arc::default());
        Self { server, hash, life, state, queued_prompt_tokens, reserved_tokens }
    }

    /// Replaces the listing and keeps the state that was observed.
    pub(super) fn with_listing(&self, server: Server, life: ServerIncarnation) -> Self {
        let (state, queued_prompt_tokens) = (self.state.clone(), self.queued_prompt_tokens.clone());
        let (hash, reserved_tokens) = (self.hash, self.reserved_tokens.clone());
        Self { server, hash, life, state, queued_prompt_tokens, reserved_tokens }
    }
}

/// Merges a listed server into what was known of it. The state is kept if both are the same
/// incarnation. `life` is what was known of the incarnation when the server was last listed.
pub(super) fn apply_listing(
    before: Option<&Arc<KnownServer>>,
    life: Option<ServerIncarnation>,
    listed: &ListedServer,
) -> Arc<KnownServer> {
    let now = UnixMillis::now();
    let mut life = life.unwrap_or_else(|| ServerIncarnation::first_seen_at(now));
    let update = life.update(listed.incarnation, IncarnationSource::Relayed, now);
    let Some(known) = before else {
        return Arc::new(KnownServer::new(listed.server.clone(), life));
    };
    if update == IncarnationUpdate::Outdated {
        return known.clone();
    }
    let is_named = !listed.incarnation.is_none() && listed.incarnation == known.incarnation();
    // A server has one address for its whole incarnation, so a server at another address is another
    // incarnation, whether or not the list says so.
    let moved = known.server.addr != listed.server.addr && !is_named;
    if update == IncarnationUpdate::Restarted || moved {
        if moved && listed.incarnation.is_none() {
            life.mark_restarted(now);
        }
        end_incarnation(known, &life);
        return Arc::new(KnownServer::new(listed.server.clone(), life));
    }
    match known.server == listed.server && known.life == life {
        true => known.clone(),
        false => Arc::new(known.with_listing(listed.server.clone(), life)),
    }
}

/// The fault of everything that runs on a server that has restarted: the same as after a crash.
pub(super) fn restart_fault() -> SendFault {
    SendFault::Broke("the backend server has started again".to_owned())
}

/// Ends the requests in flight to an incarnation that is over.
pub(super) fn end_incarnation(known: &KnownServer, next: &ServerIncarnation) {
    known.state.end();
    tracing::info!(
        event = "backend_server_restarted", backend_server = %known.server.id, life = %next.id(),
        before = %known.incarnation(), in_flight = known.state.in_flight(),
    );
}
