//! What a node knows of the backend servers: load, who is leaving, who fails.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::{Duration, Instant};

use tokio::sync::watch;

use crate::decide::faults::FaultTracker;
use crate::ids::{BackendId, BoxId, Incarnation, ServiceName};
use crate::member::table::fingerprint;
use crate::state::config::Configuration;
use crate::sync::lock;

/// Failures in a row after which a backend server is set aside for a while.
const EJECT_AFTER: u32 = 3;

/// How long the first time; doubled each time up to [`EJECT_LIMIT`].
const EJECT_FIRST: Duration = Duration::from_millis(1_000);

/// The longest time a backend server is set aside.
const EJECT_LIMIT: Duration = Duration::from_secs(30);

/// Weight of a new sample in a running mean.
const MEAN_WEIGHT: f64 = 0.2;

/// That a backend server is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Leaving {
    /// The life that is leaving. A later life of the same server is not.
    pub life: Incarnation,
    /// When its box goes.
    pub gone: Instant,
}

/// A load report, as received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// When this was true.
    pub at: Instant,
    /// Requests of this node in flight there when it was true, as far as known.
    pub own: u32,
}

#[derive(Debug, Default)]
struct Inner {
    load: Option<LoadReport>,
    leaving: Option<Leaving>,
    /// Whether the server itself said so in an answer.
    departs: bool,
    life: Incarnation,
    restarts: u32,
    failures: u32,
    ejections: u32,
    ejected: Option<Instant>,
    service_time: Option<f64>,
    heard_at: Option<Instant>,
    prefixes: HashMap<u64, Instant>,
    faults: FaultTracker,
}

impl Inner {
    /// Restarts that word of a life proves, beside those that are known.
    fn restarts_until(&self, life: Incarnation) -> u32 {
        u32::from(!self.life.is_none() && life > self.life)
    }
}

/// What is known of one backend server.
#[derive(Debug)]
pub struct BackendState {
    in_flight: AtomicU32,
    inner: Mutex<Inner>,
    leave_signal: watch::Sender<Option<Leaving>>,
    end_signal: watch::Sender<bool>,
}

impl Default for BackendState {
    fn default() -> Self {
        Self {
            in_flight: AtomicU32::new(0),
            inner: Mutex::default(),
            leave_signal: watch::Sender::new(None),
            end_signal: watch::Sender::new(false),
        }
    }
}

impl BackendState {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }

    /// This node's requests in flight there.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Counts a request in flight until the guard is dropped.
    pub fn begin(self: &Arc<Self>) -> FlightGuard {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        FlightGuard { state: self.clone() }
    }

    /// The latest load report.
    pub fn load(&self) -> Option<LoadReport> {
        self.lock().load
    }

    /// Takes a load report.
    pub fn report(&self, running: u32, waiting: u32, age: Duration) {
        let at = Instant::now().checked_sub(age).unwrap_or_else(Instant::now);
        let own = self.in_flight();
        self.lock().load = Some(LoadReport { running, waiting, at, own });
    }

    /// Whether it is leaving, and when it goes.
    pub fn leaving(&self) -> Option<Leaving> {
        self.lock().leaving
    }

    /// Follows whether it is leaving.
    pub fn follow_leaving(&self) -> watch::Receiver<Option<Leaving>> {
        self.leave_signal.subscribe()
    }

    /// Takes word that a life is leaving. Word of an earlier life is passed over; `true` if new.
    pub fn leave(&self, leaving: Leaving) -> bool {
        let mut inner = self.lock();
        if leaving.life < inner.life || inner.leaving.is_some_and(|it| it.life >= leaving.life) {
            return false;
        }
        inner.restarts += inner.restarts_until(leaving.life);
        inner.life = leaving.life;
        inner.leaving = Some(leaving);
        drop(inner);
        self.leave_signal.send_replace(Some(leaving));
        true
    }

    /// Records that the server itself said in an answer that it is leaving; `true` if new. Nothing takes that back
    /// for this life.
    pub fn depart(&self) -> bool {
        !std::mem::replace(&mut self.lock().departs, true)
    }

    /// Whether the server itself said in an answer that it is leaving.
    pub fn departs(&self) -> bool {
        self.lock().departs
    }

    /// Takes the server's own word that it is not leaving, against an earlier word of others; `true` if new.
    pub fn stay(&self) -> bool {
        let mut inner = self.lock();
        if inner.departs {
            return false;
        }
        let left = inner.leaving.take().is_some();
        drop(inner);
        if left {
            self.leave_signal.send_replace(None);
        }
        left
    }

    /// Notes that this life is over: nothing that runs in it will be answered.
    pub fn end(&self) {
        self.end_signal.send_replace(true);
    }

    /// Whether this life is known to be over.
    pub fn is_over(&self) -> bool {
        *self.end_signal.borrow()
    }

    /// Follows whether this life is known to be over.
    pub fn follow_end(&self) -> watch::Receiver<bool> {
        self.end_signal.subscribe()
    }

    /// Takes word that a life is there. Only a later life than the leaving one takes that back.
    pub fn arrive(&self, life: Incarnation) -> bool {
        let mut inner = self.lock();
        if life <= inner.life {
            return false;
        }
        let restarts = inner.restarts + inner.restarts_until(life);
        *inner = Inner { life, restarts, ..Inner::default() };
        drop(inner);
        self.leave_signal.send_replace(None);
        true
    }

    /// The life known.
    pub fn life(&self) -> Incarnation {
        self.lock().life
    }

    /// How often it is known to have started again. A life that follows an unknown one proves nothing.
    pub fn restarts(&self) -> u32 {
        self.lock().restarts
    }

    /// Whether it is set aside for its failures.
    pub fn is_ejected(&self) -> bool {
        self.lock().ejected.is_some_and(|until| Instant::now() < until)
    }

    /// Takes note of a success and how long a request took, in seconds.
    pub fn succeed(&self, seconds: f64) {
        let mut inner = self.lock();
        inner.failures = 0;
        inner.ejections = 0;
        inner.ejected = None;
        let mean = inner.service_time.unwrap_or(seconds);
        inner.service_time = Some(mean + MEAN_WEIGHT * (seconds - mean));
    }

    /// Takes note that something of the server arrived over this box's own connections.
    pub fn hear(&self) {
        self.lock().heard_at = Some(Instant::now());
    }

    /// When something of the server arrived last over this box's own connections.
    pub fn heard_at(&self) -> Option<Instant> {
        self.lock().heard_at
    }

    /// Takes note of a failure; `true` when it is set aside for it.
    pub fn fail(&self) -> bool {
        let mut inner = self.lock();
        inner.failures += 1;
        if inner.failures < EJECT_AFTER {
            return false;
        }
        let time = EJECT_FIRST * 2u32.saturating_pow(inner.ejections.min(8));
        inner.ejections += 1;
        inner.failures = EJECT_AFTER - 1;
        inner.ejected = Some(Instant::now() + time.min(EJECT_LIMIT));
        true
    }

    /// Takes note that it failed a request of a route.
    pub fn fail_route(&self, route: &str) {
        self.lock().faults.record_failure(route, Instant::now());
    }

    /// Takes note that it answered a request of a route well.
    pub fn succeed_route(&self, route: &str) {
        self.lock().faults.record_success(route);
    }

    /// Whether it is passed over for a route.
    pub fn is_avoided(&self, route: &str, now: Instant) -> bool {
        self.lock().faults.is_avoided(route, now)
    }

    /// The running mean of a request's time there, in seconds.
    pub fn service_time(&self) -> Option<f64> {
        self.lock().service_time
    }

    /// Notes that a prompt whose leading blocks have these hashes was computed there.
    pub fn record_prefixes(&self, hashes: &[u64], limit: usize) {
        let now = Instant::now();
        let mut inner = self.lock();
        inner.prefixes.extend(hashes.iter().map(|hash| (*hash, now)));
        if inner.prefixes.len() > limit {
            let mut times: Vec<_> = inner.prefixes.values().copied().collect();
            times.sort_unstable();
            let cut = times[times.len() - limit / 2];
            inner.prefixes.retain(|_, at| *at >= cut);
        }
    }

    /// How many of a prompt's leading blocks are likely cached there.
    pub fn cached_blocks(&self, hashes: &[u64], age: Duration) -> usize {
        let inner = self.lock();
        let held = |hash: &&u64| inner.prefixes.get(hash).is_some_and(|at| at.elapsed() < age);
        hashes.iter().take_while(held).count()
    }
}

/// Counts one request in flight to a backend server.
#[derive(Debug)]
pub struct FlightGuard {
    state: Arc<BackendState>,
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        self.state.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Backend servers of one service that one node uses at most. More nodes share each one then.
pub const SUBSET: usize = 128;

/// What is known of the backend servers this node uses.
#[derive(Debug, Default)]
pub struct Fleet {
    states: RwLock<BTreeMap<BackendId, Arc<BackendState>>>,
}

impl Fleet {
    /// Keeps the states of those that this box uses by the configuration, and forgets the rest.
    pub fn follow(&self, configuration: &Configuration, own: &BoxId) {
        let used: BTreeSet<_> =
            configuration.services.keys().flat_map(|it| subset(configuration, it, own)).collect();
        let mut states = self.states.write().unwrap_or_else(PoisonError::into_inner);
        states.retain(|id, _| used.contains(id));
        for id in used {
            states.entry(id).or_default();
        }
    }

    /// The state of one, if this node uses it.
    pub fn find(&self, id: &BackendId) -> Option<Arc<BackendState>> {
        let states = self.states.read().unwrap_or_else(PoisonError::into_inner);
        states.get(id).cloned()
    }

    /// All states.
    pub fn all(&self) -> Vec<(BackendId, Arc<BackendState>)> {
        let states = self.states.read().unwrap_or_else(PoisonError::into_inner);
        states.iter().map(|(id, state)| (id.clone(), state.clone())).collect()
    }
}

/// The servers of a service that a box uses: all of them up to [`SUBSET`], else those with the largest
/// weights (rendezvous hashing): few change when servers come and go, and every server is used by about
/// as many boxes as any other.
pub fn subset(configuration: &Configuration, service: &ServiceName, own: &BoxId) -> Vec<BackendId> {
    let all: Vec<_> = configuration.backends_of(service).map(|(id, _)| id).collect();
    if all.len() <= SUBSET {
        return all.into_iter().cloned().collect();
    }
    let weigh = |id: &BackendId| fingerprint(&format!("{own}\n{id}"));
    let mut weighed: Vec<_> = all.into_iter().map(|id| (weigh(id), id)).collect();
    weighed.sort_unstable_by(|a, b| b.cmp(a));
    weighed.truncate(SUBSET);
    weighed.into_iter().map(|(_, id)| id.clone()).collect()
}
