//! All sends of one call: which server is next, whether there may be another send, and what is said
//! of the call in the end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::Relay;
use super::attempt::Miss;
use super::call::{Call, PromptPart};
use super::servers::{Known, Servers};
use super::table::Route;
use crate::decide::choose::{
    Candidate, affinity, choose, compares_all, drawn, neighbours, others_now,
};
use crate::decide::filling::{Filling, have_room};
use crate::decide::releases::Choice;
use crate::error::{Failure, Kind};
use crate::ids::{BackendId, ServiceName};
use crate::telemetry::volume;

/// The part of its objective a request needs to be worth sending at all.
const LEAST_LEFT: u32 = 10;

/// Sends that did not reach any server before a call is given up.
const UNREACHED_LIMIT: u32 = 3;

/// Sends that servers refused before a call is given up: the others are likely full as well.
const REFUSED_LIMIT: u32 = 3;

/// When to come back if no backend server is there at all: about the time one takes to appear.
const ABSENT_WAIT: Duration = Duration::from_millis(1_000);

/// When to come back after servers refused, at least and at most.
const REFUSED_WAIT: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(1_500));

/// All sends of one call.
pub struct Course {
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
    unknown: Option<Miss>,
    last: Option<Miss>,
    /// The server from which the one chosen last is to copy a part of the prompt.
    fetch: Option<SocketAddr>,
    /// What the server chosen last has to read.
    reading: Reading,
    /// Which release the next send goes to.
    choice: Choice,
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

impl Course {
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
            fetch: None,
            reading: Reading::default(),
            choice: Choice::default(),
        }
    }

    /// The service.
    pub fn service(&self) -> &ServiceName {
        &self.service
    }

    /// The server from which the one chosen last is to copy a part of the prompt.
    pub fn fetch(&self) -> Option<SocketAddr> {
        self.fetch
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
        if call.left() <= needed || hopeless {
            return Err(self.failure(relay));
        }
        if self.sent >= route.attempts.max(1) {
            return Err(self.failure(relay));
        }
        let Some(known) = self.pick_by_release(relay, call, route) else {
            return Err(self.failure(relay));
        };
        if self.arrived > 0 && !relay.retries().spend(&self.service) {
            return Err(self.failure(relay));
        }
        if self.arrived > 0 || volume::allows_ordinary() {
            tracing::info!(
                event = "server_chosen", id = call.head.id, backend_server = %known.server.id,
                requests = known.requests(), unread = known.unread(), slots = known.server.slots,
                load_age_ms = known.state.load().map(|load| load.at.elapsed().as_millis() as u64),
                send = self.arrived + 1,
            );
        }
        self.sent += 1;
        self.arrived += 1;
        self.tried.push(known.server.id.clone());
        Ok(known)
    }

    /// Notes how a send to a server ended without an answer to pass on.
    pub fn note(&mut self, call: &Call, known: &Known, miss: Miss) {
        tracing::info!(
            event = "send_missed", id = call.head.id, service = %self.service,
            backend_server = %known.server.id, not_run = matches!(miss, Miss::NotRun { .. }),
            detail = miss.detail(), left_ms = call.left().as_millis() as u64,
        );
        match &miss {
            Miss::NotRun { arrived: false, .. } => {
                self.sent -= 1;
                self.arrived -= 1;
                self.unreached += 1;
            }
            Miss::NotRun { arrived: true, .. } => {
                self.sent -= 1;
                self.refused += 1;
            }
            Miss::Unknown { .. } => self.unknown = Some(miss.clone()),
        }
        self.last = Some(miss);
    }

    /// What is said of the call: that it has not run only if no send may have run.
    pub fn failure(&self, relay: &Relay) -> Failure {
        if let Some(Miss::Unknown { kind, detail }) = &self.unknown {
            return Failure::new(*kind, detail.clone());
        }
        let servers = relay.servers.of(&self.service);
        let Some(last) = &self.last else {
            let text = format!("no backend server of {} takes work", self.service);
            return Failure::new(Kind::NoBackend, text).after(Some(ABSENT_WAIT));
        };
        Failure::new(Kind::NotReached, last.detail()).after(Some(refused_wait(&servers)))
    }

    /// A server to which a run may be moved: another one of the same release, in another data centre if
    /// there is one.
    /// A moved run is still the same run, so this is no further send.
    pub fn target(&self, relay: &Relay, source: &Known) -> Option<Arc<Known>> {
        let servers = relay.servers.of(&self.service);
        let open = servers.iter().filter(|known| {
            known.is_open()
                && known.server.id != source.server.id
                && known.server.release == source.server.release
                && !known.state.is_ejected()
        });
        let elsewhere = |known: &Known| known.server.data_centre != source.server.data_centre;
        open.min_by_key(|known| (!elsewhere(known), known.requests())).cloned()
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
        let servers = relay.servers.of(&self.service);
        let home = call.shared_part().and_then(|part| self.home(&servers, part));
        let open: Vec<_> = if compares_all(servers.len()) {
            self.open(&servers)
        } else {
            self.few(&servers, &relay.servers.told(&self.service), home.as_ref())
        };
        self.choose(relay, call, route, &open, home)
    }

    /// The server at which all boxes expect a shared part.
    fn home(&self, servers: &Servers, part: PromptPart) -> Option<Arc<Known>> {
        let at = servers.partition_point(|known| known.hash < affinity(part.id, 0));
        let near = neighbours(servers.len(), at).into_iter().map(|place| &servers[place]);
        let open = near.filter(|known| self.may_take(known));
        open.max_by_key(|known| affinity(part.id, known.hash)).cloned()
    }

    /// A few of many servers: the home of the call's shared part, and some whose loads the leader told,
    /// where it told any.
    fn few(&self, servers: &Servers, told: &Servers, home: Option<&Arc<Known>>) -> Vec<Arc<Known>> {
        let from = if told.is_empty() { servers } else { told };
        let drawn = drawn(from.len(), rand::random::<f64>);
        let mut few: Vec<_> = drawn.into_iter().map(|place| from[place].clone()).collect();
        few.retain(|known| self.may_take(known));
        few.extend(home.filter(|home| few.iter().all(|known| known.hash != home.hash)).cloned());
        if few.is_empty() { self.open(servers) } else { few }
    }

    fn open(&self, servers: &Servers) -> Vec<Arc<Known>> {
        servers.iter().filter(|known| self.may_take(known)).cloned().collect()
    }

    /// Whether a server takes this call.
    fn may_take(&self, known: &Known) -> bool {
        known.is_open()
            && self.choice.takes(&known.server.release)
            && !self.tried.contains(&known.server.id)
    }

    /// Which servers have memory left for the call, where their memory is known.
    fn have_room(
        &self,
        relay: &Relay,
        call: &Call,
        open: &[Arc<Known>],
        others: &[f64],
    ) -> Vec<bool> {
        let table = relay.table();
        let service = table.as_ref().and_then(|table| table.services.get(&self.service));
        let Some(spec) = service.and_then(|service| service.engine.as_ref()) else {
            return vec![true; open.len()];
        };
        let filling = open.iter().zip(others).map(|(known, others)| Filling {
            own: known.state.in_flight(),
            tokens: known.tokens(),
            others: *others,
        });
        have_room(spec.memory, &filling.collect::<Vec<_>>(), call.tokens())
    }

    /// The server expected to begin the call first. At `home` all boxes expect its shared part.
    fn choose(
        &mut self,
        relay: &Relay,
        call: &Call,
        route: &Route,
        open: &[Arc<Known>],
        home: Option<Arc<Known>>,
    ) -> Option<Arc<Known>> {
        let shared = call.shared_part();
        let seen = |known: &Known| {
            shared.is_some_and(|part| known.state.cached_blocks(&[part.id], CACHE_TIME) > 0)
        };
        let is_home = |known: &Known| home.as_ref().is_some_and(|it| it.hash == known.hash);
        let shared_tokens = shared.map_or(0, |part| part.tokens);
        let fetchable = shared_tokens >= FETCH_TOKENS;
        // Where this box has had it read is known; where all boxes expect it is a guess.
        let keeper = open.iter().find(|known| seen(known)).cloned().or(home.clone());
        let model = relay.engines().model(&self.service);
        let now = Instant::now();
        let stays: Vec<_> = open.iter().filter_map(|it| it.state.service_time()).collect();
        let stay = (!stays.is_empty()).then(|| stays.iter().sum::<f64>() / stays.len() as f64);
        let words: Vec<_> = open.iter().map(|known| known.load_word()).collect();
        let others = others_now(&words, stay);
        let room = self.have_room(relay, call, open, &others);
        let faults = relay.faults();
        let candidates: Vec<_> = open
            .iter()
            .zip(others)
            .zip(room)
            .map(|((known, others), has_room)| {
                let cached = match (seen(known) || is_home(known), fetchable) {
                    (true, _) => shared_tokens,
                    (false, true) => (shared_tokens as f64 * FETCH_PART) as u64,
                    (false, false) => 0,
                };
                Candidate {
                    requests: others + f64::from(known.state.in_flight()),
                    slots: known.server.slots,
                    stay: stay.unwrap_or_default(),
                    unread: known.unread(),
                    uncached: call.prompt().saturating_sub(cached),
                    near: known.server.data_centre == relay.parts.data_centre,
                    // Without room for it: as one that is set aside, while another one takes it.
                    ejected: !has_room
                        || known.state.is_ejected()
                        || faults.is_avoided(&known.server.id, &route.name, now),
                }
            })
            .collect();
        drop(faults);
        let place = choose(&model, &candidates, rand::random::<f64>)?;
        let chosen = open[place].clone();
        self.reading = Reading {
            tokens: candidates[place].uncached,
            own: call.prompt().saturating_sub(shared_tokens),
            is_clear: chosen.unread() == 0 && !candidates[place].ejected,
        };
        let keeper = keeper.filter(|it| fetchable && it.server.id != chosen.server.id);
        self.fetch = keeper.filter(|_| !seen(&chosen)).map(|known| known.server.addr);
        Some(chosen)
    }
}

/// Shared tokens from which on a part of a prompt is copied from the engine that keeps it: copying it
/// takes a tenth of the time of reading it, and costs less.
const FETCH_TOKENS: u64 = 100;

/// The part of what is copied that counts as cached. The rest stands for the cost of copying: an
/// engine that keeps it is still the better choice.
const FETCH_PART: f64 = 0.6;

/// How long an engine is taken to keep a part of a prompt that this box had read there.
const CACHE_TIME: Duration = Duration::from_secs(30);

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
