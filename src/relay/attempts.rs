//! All sends of one call: selects the next server, decides whether another send is allowed and
//! determines the failure that is reported in the end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tracing::field;

use super::Relay;
use super::attempt::SendFailure;
use super::call::Call;
use super::known::KnownServer;
use super::pick::Picker;
use super::quarantine;
use super::restraint::{self, SendRestrictions};
use super::stopping;
use super::table::Route;
use crate::decide::choose::has_room;
use crate::decide::releases::ReleaseChoice;
use crate::decide::sends::SendLedger;
use crate::decide::topology::Reach;
use crate::error::{Failure, Kind};
use crate::ids::{BackendId, Release, ServiceName};
use crate::telemetry::volume;

/// A request is not sent once less than this fraction of its objective or timeout is left, as 1 /
/// N.
const MIN_TIME_LEFT_DIVISOR: u32 = 10;

/// Sends that reached no server before a call is given up.
const MAX_UNREACHED: u32 = 3;

/// Sends refused by servers before a call is given up: the other servers are probably full as well.
const MAX_REFUSED: u32 = 3;

/// How often a server is selected anew after another call claimed the chosen server's last permit.
const MAX_CLAIM_ATTEMPTS: u32 = 3;

/// Retry-After when a service has no backend server: about the time one takes to start.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// Bounds of the Retry-After that is reported after servers refused.
const REFUSED_RETRY_AFTER: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(1_500));

/// All sends of one call.
pub struct CallAttempts {
    service: ServiceName,
    tried_servers: Vec<BackendId>,
    sends: SendLedger,
    /// The failure of the last send that failed and may have run.
    unknown_outcome: Option<Failure>,
    last_failure: Option<SendFailure>,
    /// The server from whose KV cache the last chosen server copies part of the prompt.
    prefix_source: Option<SocketAddr>,
    /// The prompt tokens that the last chosen server has to process.
    prefill_work: PrefillWork,
    /// Distance of the last chosen server.
    reach: Reach,
    /// The release that the next send goes to.
    release_choice: ReleaseChoice,
    /// The release that began the stream; `None` before its first event.
    begun_by: Option<Release>,
}

/// The part of a prompt that a server has to process, as far as this box can tell.
#[derive(Debug, Clone, Copy, Default)]
pub struct PrefillWork {
    /// Prompt tokens that are not in the server's cache.
    pub tokens: u64,
    /// Prompt tokens that this request shares with no other.
    pub unshared_tokens: u64,
    /// Whether no other request of this box is waiting for prefill at the server.
    pub is_queue_empty: bool,
}

impl CallAttempts {
    /// Creates the state of a call that has not been sent.
    pub fn new(service: ServiceName) -> Self {
        Self::continuing(service, None)
    }

    /// Creates the state of a call that has not been sent and continues a stream which `begun_by` began, if any.
    pub fn continuing(service: ServiceName, begun_by: Option<Release>) -> Self {
        Self {
            service,
            tried_servers: Vec::new(),
            sends: SendLedger::default(),
            unknown_outcome: None,
            last_failure: None,
            prefix_source: None,
            prefill_work: PrefillWork::default(),
            reach: Reach::Local,
            release_choice: ReleaseChoice::default(),
            begun_by,
        }
    }

    /// Records the release that brought the stream's first event. From then on only its servers are selected: what
    /// two releases generate does not fit together, and servers do not check this.
    pub fn record_first_event(&mut self, release: &Release) {
        self.begun_by.get_or_insert_with(|| release.clone());
    }

    /// The service that the call goes to.
    pub fn service(&self) -> &ServiceName {
        &self.service
    }

    /// The server from whose KV cache the last chosen server copies part of the prompt.
    pub fn prefix_source(&self) -> Option<SocketAddr> {
        self.prefix_source
    }

    /// The prompt tokens that the last chosen server has to process.
    pub fn prefill_work(&self) -> PrefillWork {
        self.prefill_work
    }

    /// Whether the call may be sent again although an earlier send may have run.
    pub fn may_retry(&self, route: &Route) -> bool {
        route.repeat.is_repeatable() && self.sends.may_have_run() < route.attempts
    }

    /// Selects the server for the next send.
    ///
    /// # Errors
    /// The call's failure, if it must not or cannot be sent again, or too little time is left.
    pub fn next_server(
        &mut self,
        relay: &Relay,
        call: &Call,
        route: &Route,
    ) -> Result<Arc<KnownServer>, Failure> {
        if self.unknown_outcome.is_some() && !route.repeat.is_repeatable() {
            return Err(self.final_failure(relay));
        }
        if self.sends.is_proven_not_run() {
            stopping::check(relay, &call.head.id, route, call.time_left())?;
        }
        let min_time_left =
            (route.objective / MIN_TIME_LEFT_DIVISOR).min(route.timeout / MIN_TIME_LEFT_DIVISOR);
        // A server of a brittle service may fall over with the next rejection.
        let is_brittle = self.sends.refused() > 0 && restraint::is_brittle(relay, &self.service);
        let max_refused = if is_brittle { 1 } else { MAX_REFUSED };
        let gives_up =
            self.sends.not_sent() >= MAX_UNREACHED || self.sends.refused() >= max_refused;
        if call.time_left() <= min_time_left || gives_up {
            return Err(self.final_failure(relay));
        }
        if self.sends.may_have_run() >= route.attempts.max(1) {
            return Err(self.final_failure(relay));
        }
        let Some(known) = self.pick_server(relay, call, route) else {
            return Err(self.final_failure(relay));
        };
        // What crashed the server of an earlier send would crash the next one as well. It may also have been
        // quarantined while the call waited.
        if let Err(failure) = quarantine::check(relay, call, &self.service) {
            return Err(self.fail_with(|| failure));
        }
        if self.unknown_outcome.is_some() && quarantine::is_suspected(relay, call, &self.service) {
            return Err(self.final_failure(relay));
        }
        if self.sends.reached() > 0 && !relay.retries().try_withdraw(&self.service) {
            return Err(self.final_failure(relay));
        }
        let limit = restraint::advertised_limit(relay, &known);
        if self.sends.reached() > 0 || limit.is_some() || volume::allows_ordinary() {
            tracing::info!(
                event = "server_chosen", id = call.head.id, backend_server = %known.server.id,
                requests = known.estimated_requests(), unread = known.queued_prompt_tokens(), slots = known.server.slots,
                reach = %self.reach, load_age_ms = known.state.load().map(|load| load.at.elapsed().as_millis() as u64),
                send = self.sends.reached() + 1, limit = limit.map(field::display),
            );
        }
        self.track_spill(relay);
        self.sends.begin();
        self.tried_servers.push(known.server.id.clone());
        Ok(known)
    }

    /// Records whether the send leaves the region. The beginning and the end of a spillover are
    /// logged.
    fn track_spill(&self, relay: &Relay) {
        if !relay.context.topology.has_multiple_regions() {
            return;
        }
        let news = relay.spills().record(&self.service, self.reach, Instant::now());
        if let Some(news) = news {
            let event = if news.begun { "spill_begun" } else { "spill_ended" };
            tracing::info!(
                event, service = %self.service, part = news.fraction, requests = news.requests,
            );
        }
    }

    /// Records a send that produced no answer to forward.
    pub fn record_failure(
        &mut self,
        relay: &Relay,
        call: &Call,
        known: &KnownServer,
        failure: SendFailure,
    ) {
        let proof = failure.proof();
        tracing::info!(
            event = "send_missed", id = call.head.id, service = %self.service,
            backend_server = %known.server.id, not_run = proof.is_some(), proof = proof.map(field::display),
            request = proof.is_none().then(|| field::display(call.fingerprint())),
            segments = proof.is_none().then(|| call.segments_text()).flatten(),
            detail = failure.detail(), left_ms = call.time_left().as_millis() as u64,
        );
        match &failure {
            SendFailure::NotRun { proof, .. } => {
                self.sends.prove_not_run(*proof);
                relay.context.metrics.count_proof(*proof);
            }
            SendFailure::Unknown { kind, detail } => {
                self.unknown_outcome = Some(Failure::new(*kind, detail.clone()));
            }
        }
        self.last_failure = Some(failure);
    }

    /// The failure that is reported to the caller: `not_run` only if no send may have run. A server
    /// that was given up for another one, which then refused, may still be running the call.
    fn fail_with(&self, not_run: impl FnOnce() -> Failure) -> Failure {
        if self.sends.is_proven_not_run() {
            return not_run();
        }
        self.unknown_outcome.clone().unwrap_or_else(|| {
            Failure::new(Kind::BackendTimeout, "a server that did not answer was given up")
        })
    }

    /// The failure of a call that has no answer when the box stops.
    pub(super) fn stop_failure(&self, relay: &Relay, call: &Call, route: &Route) -> Failure {
        match self.sends.is_proven_not_run() {
            true => stopping::refusal("the box has stopped; ask another"),
            false => stopping::cut(relay, call, route),
        }
    }

    /// The failure of a call that is not sent again.
    fn final_failure(&self, relay: &Relay) -> Failure {
        self.fail_with(|| self.not_run_failure(relay))
    }

    /// The failure of a call none of whose sends ran.
    fn not_run_failure(&self, relay: &Relay) -> Failure {
        let servers = relay.servers.for_service(&self.service);
        let wait = self.restraint_wait(relay, &servers);
        let Some(last) = &self.last_failure else {
            let text = format!("no backend server of {} takes work", self.service);
            return Failure::new(Kind::NoBackend, text)
                .after(Some(wait.unwrap_or(NO_SERVER_RETRY_AFTER)));
        };
        let wait = wait.unwrap_or_else(|| queue_wait(&servers));
        Failure::new(Kind::NotReached, last.detail()).after(Some(wait))
    }

    /// Retry-After when every available server is rate limited or paused: the time until the first
    /// of them accepts requests again. Another box may send to it earlier.
    fn restraint_wait(&self, relay: &Relay, servers: &[Arc<KnownServer>]) -> Option<Duration> {
        let restraints = SendRestrictions::current(relay, &self.service);
        let mut open = servers.iter().filter(|known| known.is_open());
        if open.any(|known| restraints.allows(known)) {
            return None;
        }
        let wait = restraint::time_until_available(relay, &self.service)?;
        Some(wait.clamp(REFUSED_RETRY_AFTER.0, REFUSED_RETRY_AFTER.1))
    }

    /// Selects the server that a run is moved to: one of the same release, as another one cannot continue what it
    /// generated, preferably in another data centre. The KV cache leaves the region only if no server in the region has room. When a
    /// whole data centre shuts down, all its runs move at once and would overload the few remaining
    /// servers of the region. A moved run counts as the same send.
    pub fn move_target(&self, relay: &Relay, source: &KnownServer) -> Option<Arc<KnownServer>> {
        let topology = &relay.context.topology;
        let region = topology.region_or_own(&source.server.data_centre);
        let servers = relay.servers.for_service(&self.service);
        let restraints = SendRestrictions::current(relay, &self.service);
        let open: Vec<_> = servers
            .iter()
            .filter(|known| {
                known.is_open()
                    && restraints.allows(known)
                    && known.server.id != source.server.id
                    && known.server.release == source.server.release
                    && !known.state.is_ejected()
            })
            .collect();
        let requests: f64 = open.iter().map(|known| f64::from(known.estimated_requests())).sum();
        let mean_requests = requests / open.len().max(1) as f64;
        let is_near = |known: &KnownServer| {
            topology.region_or_own(&known.server.data_centre) == region
                && has_room(
                    f64::from(known.estimated_requests()),
                    known.server.slots,
                    mean_requests,
                )
        };
        let has_near = topology.has_multiple_regions() && open.iter().any(|known| is_near(known));
        let in_other_data_centre =
            |known: &KnownServer| known.server.data_centre != source.server.data_centre;
        let eligible = open.into_iter().filter(|known| !has_near || is_near(known));
        let found =
            eligible.min_by_key(|known| (!in_other_data_centre(known), known.estimated_requests()));
        found.filter(|known| restraint::claim_slot(relay, known)).cloned()
    }

    /// Selects a server of the release that this send goes to. If that is a release under trial and
    /// none of its servers accepts the send, selects one of the release in force.
    fn pick_server(
        &mut self,
        relay: &Relay,
        call: &Call,
        route: &Route,
    ) -> Option<Arc<KnownServer>> {
        if let Some(release) = self.begun_by.clone() {
            return self.pick_of_begun(relay, call, route, &release);
        }
        let is_first = self.tried_servers.is_empty();
        self.release_choice = relay.releases().choose(&self.service, is_first, Instant::now());
        if let Some(known) = self.pick_of_release(relay, call, route) {
            return Some(known);
        }
        let other = relay.releases().fall_back(&self.service, &self.release_choice);
        if other == self.release_choice {
            return None;
        }
        self.release_choice = other;
        self.pick_of_release(relay, call, route)
    }

    /// Selects a server that continues a stream which `release` began; `None` if no server of that release accepts
    /// the send.
    fn pick_of_begun(
        &mut self,
        relay: &Relay,
        call: &Call,
        route: &Route,
        release: &Release,
    ) -> Option<Arc<KnownServer>> {
        let choice = relay.releases().choose_for_begun(&self.service, release, Instant::now())?;
        self.release_choice = choice;
        let picked = self.pick_of_release(relay, call, route);
        if picked.is_none() {
            relay.releases().give_back(&self.service, &self.release_choice);
        }
        picked
    }

    fn pick_of_release(
        &mut self,
        relay: &Relay,
        call: &Call,
        route: &Route,
    ) -> Option<Arc<KnownServer>> {
        let (service, release_choice) = (&self.service, &self.release_choice);
        let tried_servers = &self.tried_servers[..];
        let (engine, model) = (relay.engine_spec(service), relay.engines().model(service));
        let pick = |_| {
            let restraints = &SendRestrictions::current(relay, service);
            let picker = Picker {
                relay,
                call,
                route,
                service,
                engine,
                model,
                release_choice,
                tried_servers,
                restraints,
            };
            let picked = picker.pick()?;
            restraint::claim_slot(relay, &picked.known).then_some(picked)
        };
        let picked = (0..MAX_CLAIM_ATTEMPTS).find_map(pick)?;
        self.prefix_source = picked.prefix_source;
        self.prefill_work = picked.prefill_work;
        self.reach = picked.reach;
        Some(picked.known)
    }
}

/// Estimated time until a slot is free: mean service time divided by the number of slots, times the
/// number of waiting requests.
fn queue_wait(servers: &[Arc<KnownServer>]) -> Duration {
    let open = servers.iter().filter(|known| known.is_open());
    let (mut slots, mut waiting, mut time, mut count) = (0.0, 1.0, 0.0, 0.0);
    for known in open {
        slots += f64::from(known.server.slots);
        waiting += known.state.load().map_or(0.0, |load| f64::from(load.waiting));
        time += known.state.service_time().unwrap_or(0.0);
        count += 1.0;
    }
    if slots == 0.0 {
        return NO_SERVER_RETRY_AFTER;
    }
    let mean: f64 = time / f64::max(count, 1.0);
    let wait = Duration::from_secs_f64((waiting / slots * mean).min(60.0));
    wait.clamp(REFUSED_RETRY_AFTER.0, REFUSED_RETRY_AFTER.1)
}
