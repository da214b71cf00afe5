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
const LEAST_LEFT: u32 = 10;

/// Sends that did not reach any server before a call is given up.
const UNREACHED_LIMIT: u32 = 3;

/// Sends that servers refused before a call is given up: the others are likely full as well.
const REFUSED_LIMIT: u32 = 3;

/// How often a server is looked for where another call claimed the place that was found.
const CLAIMS: u32 = 3;

/// When to come back if no backend server is there at all: about the time one takes to appear.
const ABSENT_WAIT: Duration = Duration::from_millis(1_000);

/// When to come back after servers refused, at least and at most.
const REFUSED_WAIT: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(1_500));

/// All sends of one call.
pub struct CallAttempts {
    service: ServiceName,
    tried: Vec<BackendId>,
    /// Sends that may have run, or are under way.
    sent: u32,
    /// Sends that reached a server, whatever came of them.
    arrived: u32,
    /// Sends that reached none.
    unreached: u32,
    /// Sends that a server refused.
    refused: u32,
    unknown: Option<SendFailure>,
    last: Option<SendFailure>,
    /// The server from which the one chosen last is to copy a part of the prompt.
    prefix_source: Option<SocketAddr>,
    /// What the server chosen last has to read.
    reading: Reading,
    /// How far it is.
    reach: Reach,
    /// Which release the next send goes to.
    choice: ReleaseChoice,
}

/// What a server has to read of a prompt, as far as this box knows.
#[derive(Debug, Clone, Copy, Default)]
pub struct Reading {
    /// Prompt tokens.
    pub tokens: u64,
    /// Those of them that no other request shares.
    pub own: u64,
    /// Whether none of this box's requests stands before it.
    pub is_clear: bool,
}

impl CallAttempts {
    /// No send yet.
    pub fn new(service: ServiceName) -> Self {
        let tried = Vec::new();
        Self {
            service,
            tried,
            sent: 0,
            arrived: 0,
            unreached: 0,
            refused: 0,
            unknown: None,
            last: None,
            prefix_source: None,
            reading: Reading::default(),
            reach: Reach::Local,
            choice: ReleaseChoice::default(),
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
    pub fn reading(&self) -> Reading {
        self.reading
    }

    /// Whether a call may be sent once more although an earlier send may have run.
    pub fn may_repeat(&self, route: &Route) -> bool {
        route.repeat.is_repeatable() && self.sent < route.attempts
    }

    /// The server for the next send.
    ///
    /// # Errors
    /// The call's failure, when it may not be sent again, cannot, or is not worth it.
    pub fn next(
        &mut self,
        relay: &Relay,
        call: &Call,
        route: &Route,
    ) -> Result<Arc<Known>, Failure> {
        if self.unknown.is_some() && !route.repeat.is_repeatable() {
            return Err(self.failure(relay));
        }
        let needed = (route.objective / LEAST_LEFT).min(route.timeout / LEAST_LEFT);
        let hopeless = self.unreached >= UNREACHED_LIMIT || self.refused >= REFUSED_LIMIT;
        if call.time_left() <= needed || hopeless {
            return Err(self.failure(relay));
        }
        if self.sent >= route.attempts.max(1) {
            return Err(self.failure(relay));
        }
        let Some(known) = self.pick_by_release(relay, call, route) else {
            return Err(self.failure(relay));
        };
        // What ended the server of an earlier send would end the next one's as well.
        if self.arrived > 0 && quarantine::check(relay, call).is_err() {
            return Err(self.failure(relay));
        }
        if self.arrived > 0 && !relay.retries().spend(&self.service) {
            return Err(self.failure(relay));
        }
        let limit = restraint::limit(relay, &known);
        if self.arrived > 0 || limit.is_some() || volume::allows_ordinary() {
            tracing::info!(
                event = "server_chosen", id = call.head.id, backend_server = %known.server.id,
                requests = known.requests(), unread = known.unread(), slots = known.server.slots,
                reach = %self.reach, load_age_ms = known.state.load().map(|load| load.at.elapsed().as_millis() as u64),
                send = self.arrived + 1, limit = limit.map(tracing::field::display),
            );
        }
        self.record_spill(relay);
        self.sent += 1;
        self.arrived += 1;
        self.tried.push(known.server.id.clone());
        Ok(known)
    }

    /// Notes whether the send leaves the region; one line when such sends begin and end to be many.
    fn record_spill(&self, relay: &Relay) {
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
                self.sent -= 1;
                self.arrived -= 1;
                self.unreached += 1;
            }
            SendFailure::NotRun { arrived: true, .. } => {
                self.sent -= 1;
                self.refused += 1;
            }
            SendFailure::Unknown { .. } => self.unknown = Some(failure.clone()),
        }
        self.last = Some(failure);
    }

    /// What is said of the call: that it has not run only if no send may have run. One that was given up
    /// without an answer, for a server that refused then, may still be running.
    pub fn failure(&self, relay: &Relay) -> Failure {
        if let Some(SendFailure::Unknown { kind, detail }) = &self.unknown {
            return Failure::new(*kind, detail.clone());
        }
        if self.sent > 0 {
            return Failure::new(Kind::BackendTimeout, "a server that did not answer was given up");
        }
        let servers = relay.servers.of(&self.service);
        let wait = self.restrained_wait(relay, &servers);
        let Some(last) = &self.last else {
            let text = format!("no backend server of {} takes work", self.service);
            return Failure::new(Kind::NoBackend, text).after(Some(wait.unwrap_or(ABSENT_WAIT)));
        };
        let wait = wait.unwrap_or_else(|| refused_wait(&servers));
        Failure::new(Kind::NotReached, last.detail()).after(Some(wait))
    }

    /// When to come back where all servers that are there are left alone for now: when the first of them no longer
    /// is. Another box may send to them earlier.
    fn restrained_wait(&self, relay: &Relay, servers: &[Arc<Known>]) -> Option<Duration> {
        let restraints = Restraints::now(relay, &self.service);
        let mut open = servers.iter().filter(|known| known.is_open());
        if open.any(|known| restraints.allows(known)) {
            return None;
        }
        let wait = restraint::wait(relay, &self.service)?;
        Some(wait.clamp(REFUSED_WAIT.0, REFUSED_WAIT.1))
    }

    /// A server to which a run may be moved: another one of the same release, in another data centre if
    /// there is one. Its memory leaves the region only where nobody in it has room: with a data centre go all
    /// its runs at once, and those that stay would crowd the few servers left. A moved run is still the same
    /// run, so this is no further send.
    pub fn target(&self, relay: &Relay, source: &Known) -> Option<Arc<Known>> {
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
        let usual = requests / open.len().max(1) as f64;
        let is_near = |known: &Known| {
            topology.region_or_own(&known.server.data_centre) == region
                && has_room(f64::from(known.requests()), known.server.slots, usual)
        };
        let has_near = topology.is_split() && open.iter().any(|known| is_near(known));
        let elsewhere = |known: &Known| known.server.data_centre != source.server.data_centre;
        let wanted = open.into_iter().filter(|known| !has_near || is_near(known));
        let found = wanted.min_by_key(|known| (!elsewhere(known), known.requests()));
        found.filter(|known| restraint::claim(relay, known)).cloned()
    }

    /// A server of the release that gets this send; one of the release in force where none of the release
    /// that is being tried takes it.
    fn pick_by_release(&mut self, relay: &Relay, call: &Call, route: &Route) -> Option<Arc<Known>> {
        let is_first = self.tried.is_empty();
        self.choice = relay.releases().choose(&self.service, is_first, Instant::now());
        if let Some(known) = self.pick(relay, call, route) {
            return Some(known);
        }
        let other = relay.releases().fall_back(&self.service, &self.choice);
        if other.release == self.choice.release {
            return None;
        }
        self.choice = other;
        self.pick(relay, call, route)
    }

    fn pick(&mut self, relay: &Relay, call: &Call, route: &Route) -> Option<Arc<Known>> {
        let (service, choice, tried) = (&self.service, &self.choice, &self.tried[..]);
        let (engine, model) = (relay.engine_spec(service), relay.engines().model(service));
        let pick = |_| {
            let restraints = &Restraints::now(relay, service);
            let picker =
                Picker { relay, call, route, service, engine, model, choice, tried, restraints };
            let picked = picker.pick()?;
            restraint::claim(relay, &picked.known).then_some(picked)
        };
        let picked = (0..CLAIMS).find_map(pick)?;
        self.prefix_source = picked.prefix_source;
        self.reading = picked.reading;
        self.reach = picked.reach;
        Some(picked.known)
    }
}

/// When a place is likely free: the servers' mean time for a request over their places, times those
/// that stand in line.
fn refused_wait(servers: &[Arc<Known>]) -> Duration {
    let open = servers.iter().filter(|known| known.is_open());
    let (mut slots, mut waiting, mut time, mut count) = (0.0, 1.0, 0.0, 0.0);
    for known in open {
        slots += f64::from(known.server.slots);
        waiting += known.state.load().map_or(0.0, |load| f64::from(load.waiting));
        time += known.state.service_time().unwrap_or(0.0);
        count += 1.0;
    }
    if slots == 0.0 {
        return ABSENT_WAIT;
    }
    let mean: f64 = time / f64::max(count, 1.0);
    let wait = Duration::from_secs_f64((waiting / slots * mean).min(60.0));
    wait.clamp(REFUSED_WAIT.0, REFUSED_WAIT.1)
}
