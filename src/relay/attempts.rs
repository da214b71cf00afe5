//! All sends of one call: which server is next, whether there may be another send, and what is said
//! of the call in the end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::Relay;
use super::attempt::SendFailure;
use super::call::Call;
use super::known::Known;
use super::pick::Picker;
use super::quarantine;
use super::restraint::{self, Restraints};
use super::table::Route;
use crate::decide::choose::has_room;
use crate::decide::releases::ReleaseChoice;
use crate::decide::topology::Reach;
use crate::error::{Failure, Kind};
use crate::ids::{BackendId, ServiceName};
use crate::telemetry::volume;

/// The part of its objective a request needs to be worth sending at all.
const MIN_TIME_LEFT_DIVISOR: u32 = 10;

/// Sends that did not reach any server before a call is given up.
const MAX_UNREACHED: u32 = 3;

/// Sends that servers refused before a call is given up: the others are likely full as well.
const MAX_REFUSED: u32 = 3;

/// How often a server is looked for where another call claimed the place that was found.
const MAX_CLAIM_ATTEMPTS: u32 = 3;

/// When to come back if no backend server is there at all: about the time one takes to appear.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// When to come back after servers refused, at least and at most.
const REFUSED_RETRY_AFTER: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(1_500));

/// All sends of one call.
pub struct CallAttempts {
    service: ServiceName,
    tried_servers: Vec<BackendId>,
    /// Sends that may have run, or are under way.
    maybe_run: u32,
    /// Sends that reached a server, whatever came of them.
    reached: u32,
    /// Sends that reached none.
    unreached: u32,
    /// Sends that a server refused.
    refused: u32,
    unknown_outcome: Option<SendFailure>,
    last_failure: Option<SendFailure>,
    /// The server from which the one chosen last is to copy a part of the prompt.
    prefix_source: Option<SocketAddr>,
    /// What the server chosen last has to read.
    prefill_work: PrefillWork,
    /// How far it is.
    reach: Reach,
    /// Which release the next send goes to.
    release_choice: ReleaseChoice,
}

/// What a server has to read of a prompt, as far as this box knows.
#[derive(Debug, Clone, Copy, Default)]
pub struct PrefillWork {
    /// Prompt tokens.
    pub tokens: u64,
    /// Those of them that no other request shares.
    pub unshared_tokens: u64,
    /// Whether none of this box's requests stands before it.
    pub is_queue_empty: bool,
}

impl CallAttempts {
    /// No send yet.
    pub fn new(service: ServiceName) -> Self {
        Self {
            service,
            tried_servers: Vec::new(),
            maybe_run: 0,
            reached: 0,
            unreached: 0,
            refused: 0,
            unknown_outcome: None,
            last_failure: None,
            prefix_source: None,
            prefill_work: PrefillWork::default(),
            reach: Reach::Local,
            release_choice: ReleaseChoice::default(),
        }
    }

    /// The service.
    pub fn service(&self) -> &ServiceName {
        &self.service
    }

    /// The server from which the one chosen last is to copy a part of the prompt.
    pub fn prefix_source(&self) -> Option<SocketAddr> {
        self.prefix_source
    }

    /// What the server chosen last has to read.
    pub fn prefill_work(&self) -> PrefillWork {
        self.prefill_work
    }

    /// Whether a call may be sent once more although an earlier send may have run.
    pub fn may_retry(&self, route: &Route) -> bool {
        route.repeat.is_repeatable() && self.maybe_run < route.attempts
    }

    /// The server for the next send.
    ///
    /// # Errors
    /// The call's failure, when it may not be sent again, cannot, or is not worth it.
    pub fn next_server(
        &mut self,
        relay: &Relay,
        call: &Call,
        route: &Route,
    ) -> Result<Arc<Known>, Failure> {
        if self.unknown_outcome.is_some() && !route.repeat.is_repeatable() {
            return Err(self.final_failure(relay));
        }
        let min_time_left =
            (route.objective / MIN_TIME_LEFT_DIVISOR).min(route.timeout / MIN_TIME_LEFT_DIVISOR);
        let gives_up = self.unreached >= MAX_UNREACHED || self.refused >= MAX_REFUSED;
        if call.time_left() <= min_time_left || gives_up {
            return Err(self.final_failure(relay));
        }
        if self.maybe_run >= route.attempts.max(1) {
            return Err(self.final_failure(relay));
        }
        let Some(known) = self.pick_server(relay, call, route) else {
            return Err(self.final_failure(relay));
        };
        // What ended the server of an earlier send would end the next one's as well.
        if self.reached > 0 && quarantine::check(relay, call).is_err() {
            return Err(self.final_failure(relay));
        }
        if self.reached > 0 && !relay.retries().try_withdraw(&self.service) {
            return Err(self.final_failure(relay));
        }
        let limit = restraint::limit(relay, &known);
        if self.reached > 0 || limit.is_some() || volume::allows_ordinary() {
            tracing::info!(
                event = "server_chosen", id = call.head.id, backend_server = %known.server.id,
                requests = known.requests(), unread = known.unread(), slots = known.server.slots,
                reach = %self.reach, load_age_ms = known.state.load().map(|load| load.at.elapsed().as_millis() as u64),
                send = self.reached + 1, limit = limit.map(tracing::field::display),
            );
        }
        self.track_spill(relay);
        self.maybe_run += 1;
        self.reached += 1;
        self.tried_servers.push(known.server.id.clone());
        Ok(known)
    }

    /// Notes whether the send leaves the region; one line when such sends begin and end to be many.
    fn track_spill(&self, relay: &Relay) {
        if !relay.context.topology.is_split() {
            return;
        }
        let news = relay.spills().note(&self.service, self.reach, Instant::now());
        if let Some(news) = news {
            let event = if news.begun { "spill_begun" } else { "spill_ended" };
            tracing::info!(
                event, service = %self.service, part = news.part, requests = news.requests,
            );
        }
    }

    /// Notes how a send to a server ended without an answer to pass on.
    pub fn record_failure(&mut self, call: &Call, known: &Known, failure: SendFailure) {
        tracing::info!(
            event = "send_missed", id = call.head.id, service = %self.service,
            backend_server = %known.server.id, not_run = matches!(failure, SendFailure::NotRun { .. }),
            request = failure.may_have_run().then(|| tracing::field::display(call.fingerprint())),
            detail = failure.detail(), left_ms = call.time_left().as_millis() as u64,
        );
        match &failure {
            SendFailure::NotRun { arrived: false, .. } => {
                self.maybe_run -= 1;
                self.reached -= 1;
                self.unreached += 1;
            }
            SendFailure::NotRun { arrived: true, .. } => {
                self.maybe_run -= 1;
                self.refused += 1;
            }
            SendFailure::Unknown { .. } => self.unknown_outcome = Some(failure.clone()),
        }
        self.last_failure = Some(failure);
    }

    /// What is said of the call: that it has not run only if no send may have run. One that was given up
    /// without an answer, for a server that refused then, may still be running.
    pub fn final_failure(&self, relay: &Relay) -> Failure {
        if let Some(SendFailure::Unknown { kind, detail }) = &self.unknown_outcome {
            return Failure::new(*kind, detail.clone());
        }
        if self.maybe_run > 0 {
            return Failure::new(Kind::BackendTimeout, "a server that did not answer was given up");
        }
        let servers = relay.servers.of(&self.service);
        let wait = self.restraint_wait(relay, &servers);
        let Some(last) = &self.last_failure else {
            let text = format!("no backend server of {} takes work", self.service);
            return Failure::new(Kind::NoBackend, text)
                .after(Some(wait.unwrap_or(NO_SERVER_RETRY_AFTER)));
        };
        let wait = wait.unwrap_or_else(|| queue_wait(&servers));
        Failure::new(Kind::NotReached, last.detail()).after(Some(wait))
    }

    /// When to come back where all servers that are there are left alone for now: when the first of them no longer
    /// is. Another box may send to them earlier.
    fn restraint_wait(&self, relay: &Relay, servers: &[Arc<Known>]) -> Option<Duration> {
        let restraints = Restraints::now(relay, &self.service);
        let mut open = servers.iter().filter(|known| known.is_open());
        if open.any(|known| restraints.allows(known)) {
            return None;
        }
        let wait = restraint::wait(relay, &self.service)?;
        Some(wait.clamp(REFUSED_RETRY_AFTER.0, REFUSED_RETRY_AFTER.1))
    }

    /// A server to which a run may be moved: another one of the same release, in another data centre if
    /// there is one. Its memory leaves the region only where nobody in it has room: with a data centre go all
    /// its runs at once, and those that stay would crowd the few servers left. A moved run is still the same
    /// run, so this is no further send.
    pub fn move_target(&self, relay: &Relay, source: &Known) -> Option<Arc<Known>> {
        let topology = &relay.context.topology;
        let region = topology.region_or_own(&source.server.data_centre);
        let servers = relay.servers.of(&self.service);
        let restraints = Restraints::now(relay, &self.service);
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
        let requests: f64 = open.iter().map(|known| f64::from(known.requests())).sum();
        let mean_requests = requests / open.len().max(1) as f64;
        let is_near = |known: &Known| {
            topology.region_or_own(&known.server.data_centre) == region
                && has_room(f64::from(known.requests()), known.server.slots, mean_requests)
        };
        let has_near = topology.is_split() && open.iter().any(|known| is_near(known));
        let in_other_data_centre =
            |known: &Known| known.server.data_centre != source.server.data_centre;
        let eligible = open.into_iter().filter(|known| !has_near || is_near(known));
        let found = eligible.min_by_key(|known| (!in_other_data_centre(known), known.requests()));
        found.filter(|known| restraint::claim(relay, known)).cloned()
    }

    /// A server of the release that gets this send; one of the release in force where none of the release
    /// that is being tried takes it.
    fn pick_server(&mut self, relay: &Relay, call: &Call, route: &Route) -> Option<Arc<Known>> {
        let is_first = self.tried_servers.is_empty();
        self.release_choice = relay.releases().choose(&self.service, is_first, Instant::now());
        if let Some(known) = self.pick_of_release(relay, call, route) {
            return Some(known);
        }
        let other = relay.releases().fall_back(&self.service, &self.release_choice);
        if other.release == self.release_choice.release {
            return None;
        }
        self.release_choice = other;
        self.pick_of_release(relay, call, route)
    }

    fn pick_of_release(&mut self, relay: &Relay, call: &Call, route: &Route) -> Option<Arc<Known>> {
        let (service, release_choice) = (&self.service, &self.release_choice);
        let tried_servers = &self.tried_servers[..];
        let (engine, model) = (relay.engine_spec(service), relay.engines().model(service));
        let pick = |_| {
            let restraints = &Restraints::now(relay, service);
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
            restraint::claim(relay, &picked.known).then_some(picked)
        };
        let picked = (0..MAX_CLAIM_ATTEMPTS).find_map(pick)?;
        self.prefix_source = picked.prefix_source;
        self.prefill_work = picked.prefill_work;
        self.reach = picked.reach;
        Some(picked.known)
    }
}

/// When a place is likely free: the servers' mean time for a request over their places, times those
/// that stand in line.
fn queue_wait(servers: &[Arc<Known>]) -> Duration {
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
