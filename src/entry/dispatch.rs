//! Finds a backend server for a request, or has the request wait for one.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use crate::blackboard::fleet::{BackendState, FlightGuard};
use crate::blackboard::{Blackboard, InForce};
use crate::decide::policy::PolicyDecision;
use crate::decide::queue::{Ticket, WaitQueue, Waiter};
use crate::decide::route::{self, BLOCK_TOKENS, Candidate, Need};
use crate::error::{Failure, Kind};
use crate::ids::{BackendId, ServiceName, TeamName};
use crate::state::config::{BackendServer, Class};
use crate::sync::lock;
use crate::units::Tokens;

/// How long a cached prefix is believed in without being used.
const PREFIX_AGE: Duration = Duration::from_secs(60);

/// Weight of a new sample in the mean time between two requests that leave the queue.
const RATE_WEIGHT: f64 = 0.1;

/// Pause before a request that is under way looks again when no backend server is there.
const PAUSE: Duration = Duration::from_millis(50);

/// What a request wants of a backend server.
#[derive(Debug, Clone)]
pub struct Wanted {
    /// The service.
    pub service: ServiceName,
    /// Whose request.
    pub team: TeamName,
    /// How urgent.
    pub class: Class,
    /// The team's weight.
    pub weight: u32,
    /// What it needs.
    pub need: Need,
    /// The hashes of its prompt's leading blocks.
    pub prefixes: Vec<u64>,
    /// What the policy decided.
    pub ruling: PolicyDecision,
    /// When it is too late.
    pub deadline: Instant,
    /// Servers that failed it already; used only when no other is there.
    pub tried: Vec<BackendId>,
    /// Whether the request has been accepted, so that it waits where a new one would be refused.
    pub accepted: bool,
}

/// The server chosen. Dropping it frees its place.
pub struct Chosen {
    /// Which.
    pub id: BackendId,
    /// Its configuration.
    pub server: BackendServer,
    /// What is known of it.
    pub state: Arc<BackendState>,
    _flight: FlightGuard,
    _kick: Kick,
}

/// Wakes the next waiter when a place is freed.
struct Kick {
    dispatcher: Dispatcher,
    service: ServiceName,
}

impl Drop for Kick {
    fn drop(&mut self) {
        self.dispatcher.wake(&self.service);
    }
}

struct Line {
    queue: WaitQueue,
    waiting: HashMap<Ticket, oneshot::Sender<()>>,
    interval: Option<f64>,
    passed: Option<Instant>,
}

impl Line {
    fn new(limit: usize) -> Self {
        let queue = WaitQueue::new(limit);
        Self { queue, waiting: HashMap::new(), interval: None, passed: None }
    }

    /// Notes that a request left the queue for a server, while others waited.
    fn pass(&mut self, now: Instant) {
        if let Some(last) = self.passed.filter(|_| !self.queue.is_empty()) {
            let sample = (now - last).as_secs_f64();
            let mean = self.interval.unwrap_or(sample);
            self.interval = Some(mean + RATE_WEIGHT * (sample - mean));
        }
        self.passed = Some(now);
    }

    /// How long a new request would wait, by the measured rate; `None` when nothing was measured.
    fn expected_wait(&self, class: Class) -> Option<Duration> {
        let ahead = self.queue.ahead_of(class) as f64 + 1.0;
        self.interval.map(|interval| Duration::from_secs_f64((interval * ahead).min(3_600.0)))
    }
}

/// The queues, one for each service.
#[derive(Clone)]
pub struct Dispatcher {
    board: Arc<Blackboard>,
    lines: Arc<Mutex<HashMap<ServiceName, Line>>>,
    limit: usize,
    epoch: Instant,
}

enum Found {
    Server(Box<Chosen>),
    AllBusy,
    NoneThere,
}

impl Dispatcher {
    /// Queues for at most `limit` requests of each service.
    pub fn new(board: Arc<Blackboard>, limit: usize) -> Self {
        Self { board, lines: Arc::default(), limit, epoch: Instant::now() }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ServiceName, Line>> {
        lock(&self.lines)
    }

    fn millis(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.epoch).as_millis() as u64
    }

    /// Finds a server, waiting for one as long as the deadline allows.
    ///
    /// # Errors
    /// [`Kind::NoBackend`], [`Kind::QueueLimit`] or [`Kind::DeadlineUnreachable`], each at once when
    /// it is certain, with the measured wait where there is one.
    pub async fn find(&self, wanted: &Wanted) -> Result<Chosen, Failure> {
        let mut woken = false;
        loop {
            if Instant::now() >= wanted.deadline {
                return Err(too_late());
            }
            let in_force = self.board.in_force();
            match self.look(&in_force, wanted, woken) {
                Found::Server(chosen) => return Ok(*chosen),
                Found::NoneThere if !wanted.accepted => {
                    let text = format!("no backend server of {} takes work", wanted.service);
                    return Err(Failure::new(Kind::NoBackend, text));
                }
                Found::NoneThere => {
                    let pause = tokio::time::Instant::now() + PAUSE;
                    tokio::time::sleep_until(pause.min(wanted.deadline.into())).await;
                }
                Found::AllBusy => {
                    self.wait(wanted).await?;
                    woken = true;
                }
            }
        }
    }

    /// Chooses while no other request does. Those that wait go first, unless this one was woken.
    fn look(&self, in_force: &InForce, wanted: &Wanted, woken: bool) -> Found {
        let mut lines = self.lock();
        let candidates = self.candidates(in_force, wanted);
        if candidates.is_empty() {
            return Found::NoneThere;
        }
        let line = lines.entry(wanted.service.clone()).or_insert_with(|| Line::new(self.limit));
        if !woken && line.queue.ahead_of(wanted.class) > 0 {
            return Found::AllBusy;
        }
        let choice = route::choose(&candidates, &wanted.need, &mut rand::rng());
        let Some(choice) = choice else {
            return Found::AllBusy;
        };
        line.pass(Instant::now());
        let Some(server) = in_force.configuration.backends.get(&choice.id) else {
            return Found::NoneThere;
        };
        let Some(state) = self.board.fleet.find(&choice.id) else {
            return Found::NoneThere;
        };
        let kick = Kick { dispatcher: self.clone(), service: wanted.service.clone() };
        Found::Server(Box::new(Chosen {
            id: choice.id.clone(),
            server: server.clone(),
            _flight: state.begin(),
            _kick: kick,
            state,
        }))
    }

    /// The servers that may take the request: those it has not tried, those not set aside, and if
    /// there are none of these, the ones it would rather not use.
    fn candidates(&self, in_force: &InForce, wanted: &Wanted) -> Vec<Candidate> {
        let mut best = Vec::new();
        let mut rest = Vec::new();
        for (id, server) in in_force.configuration.backends_of(&wanted.service) {
            if !allowed(&wanted.ruling, server) {
                continue;
            }
            let Some(state) = self.board.fleet.find(id) else {
                continue;
            };
            if state.leaving().is_some() {
                continue;
            }
            let shunned = wanted.tried.contains(id) || state.is_ejected();
            let candidate = to_candidate(id, server, &state, wanted);
            if shunned { &mut rest } else { &mut best }.push(candidate);
        }
        if best.is_empty() { rest } else { best }
    }

    async fn wait(&self, wanted: &Wanted) -> Result<(), Failure> {
        let (ticket, woken) = self.enqueue(wanted)?;
        let guard = WaitGuard { dispatcher: self, service: &wanted.service, ticket };
        let patience = wanted.ruling.wait.filter(|_| !wanted.accepted);
        let limit = patience
            .map_or(wanted.deadline, |wait| wanted.deadline.min(Instant::now() + wait.duration()));
        let result = tokio::time::timeout_at(limit.into(), woken).await;
        drop(guard);
        match result {
            Ok(_) => Ok(()),
            Err(_) => Err(too_late().after(self.expected_wait(wanted))),
        }
    }

    fn enqueue(&self, wanted: &Wanted) -> Result<(Ticket, oneshot::Receiver<()>), Failure> {
        let mut lines = self.lock();
        let line = lines.entry(wanted.service.clone()).or_insert_with(|| Line::new(self.limit));
        let expected = line.expected_wait(wanted.class);
        let left = wanted.deadline.saturating_duration_since(Instant::now());
        if !wanted.accepted && expected.is_some_and(|wait| wait > left) {
            return Err(too_late().after(expected));
        }
        let waiter = Waiter {
            team: wanted.team.clone(),
            class: wanted.class,
            weight: wanted.weight,
            cost: (wanted.need.prompt + wanted.need.output).0,
            deadline: self.millis(wanted.deadline),
        };
        let Some(ticket) = line.queue.push(waiter) else {
            let text = "as many requests wait as may".to_owned();
            return Err(Failure::new(Kind::QueueLimit, text).after(expected));
        };
        let (sender, receiver) = oneshot::channel();
        line.waiting.insert(ticket, sender);
        Ok((ticket, receiver))
    }

    fn expected_wait(&self, wanted: &Wanted) -> Option<Duration> {
        let lines = self.lock();
        lines.get(&wanted.service).and_then(|line| line.expected_wait(wanted.class))
    }

    /// Wakes the request that goes next.
    pub fn wake(&self, service: &ServiceName) {
        let now = self.millis(Instant::now());
        let mut lines = self.lock();
        let Some(line) = lines.get_mut(service) else {
            return;
        };
        loop {
            let (next, late) = line.queue.pop(now);
            for ticket in late {
                line.waiting.remove(&ticket);
            }
            let Some(ticket) = next else {
                return;
            };
            let woken = line.waiting.remove(&ticket).is_some_and(|sender| sender.send(()).is_ok());
            if woken {
                return;
            }
        }
    }

    /// Wakes one request of each service: load reports and the configuration may have made room.
    pub fn wake_all(&self) {
        let filled = |lines: &HashMap<ServiceName, Line>| -> Vec<ServiceName> {
            let filled = lines.iter().filter(|(_, line)| !line.queue.is_empty());
            filled.map(|(service, _)| service.clone()).collect()
        };
        let services = filled(&self.lock());
        for service in services {
            self.wake(&service);
        }
    }

    fn forget(&self, service: &ServiceName, ticket: Ticket) {
        if let Some(line) = self.lock().get_mut(service)
            && line.waiting.remove(&ticket).is_some()
        {
            line.queue.remove(ticket);
        }
    }
}

/// Takes a request out of the queue when its caller goes away.
struct WaitGuard<'a> {
    dispatcher: &'a Dispatcher,
    service: &'a ServiceName,
    ticket: Ticket,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.dispatcher.forget(self.service, self.ticket);
    }
}

fn too_late() -> Failure {
    Failure::new(Kind::DeadlineUnreachable, "no backend server is free before the deadline")
}

fn allowed(ruling: &PolicyDecision, server: &BackendServer) -> bool {
    let there = ruling.data_centres.is_empty() || ruling.data_centres.contains(&server.data_centre);
    there && !(ruling.on_demand && server.reclaimable)
}

fn to_candidate(
    id: &BackendId,
    server: &BackendServer,
    state: &BackendState,
    wanted: &Wanted,
) -> Candidate {
    let load = state.load();
    let blocks = state.cached_blocks(&wanted.prefixes, PREFIX_AGE) as u64;
    Candidate {
        id: id.clone(),
        data_centre: server.data_centre.clone(),
        slots: server.slots,
        reported: load.map(|load| load.running + load.waiting),
        own_at_report: load.map_or(0, |load| load.own),
        own_now: state.in_flight(),
        cached: Tokens(blocks * BLOCK_TOKENS),
        affinity: route::affinity(id, &wanted.prefixes),
        service_time: state.service_time(),
        price: server.price,
        reclaimable: server.reclaimable,
    }
}
