//! What the node knows at the moment. Controllers write sections, the request path and other
//! controllers read them.
//!
//! A request reads the sections it needs once, when it begins, and keeps the revision it saw. Each
//! section has one writer, named here:
//!
//! | section | writer |
//! |---|---|
//! | configuration, published document, roll-outs, freshness, whether work waits, the term led in | the group's driver on a replica, the follower elsewhere |
//! | phase | the node |
//! | fleet: leaving, load | gossip, the platform's watcher, load polls, each attempt |
//! | boxes | gossip |
//! | shares | the share renewer |
//! | hops | each hop |

pub mod fleet;

use std::cmp::Ordering;
use std::sync::Arc;
use std::sync::atomic::{self, AtomicBool, AtomicUsize};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use tokio::sync::watch;

use crate::clock;
use crate::decide::policy::Policies;
use crate::decide::share::Shares;
use crate::ids::{BoxId, Revision, Term};
use crate::member::table::Boxes;
use crate::state::config::Configuration;
use crate::state::document::{Document, Version};
use crate::state::quarantine::QuarantinedSuspects;
use crate::state::rollout::RolloutState;
use crate::telemetry::HopLog;
use fleet::Fleet;

/// A configuration with its policies compiled.
#[derive(Debug, Default)]
pub struct InForce {
    /// The configuration.
    pub configuration: Arc<Configuration>,
    /// Its policies, compiled once.
    pub policies: Policies,
}

impl InForce {
    /// Compiles a configuration's policies.
    pub fn new(configuration: Arc<Configuration>) -> Self {
        let policies = Policies::compile(&configuration.policies);
        Self { configuration, policies }
    }
}

/// Where the node is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Not yet in possession of a confirmed configuration.
    Starting,
    /// Takes requests.
    Serving,
    /// Finishes what it has and takes nothing new.
    Draining,
}

impl std::fmt::Display for Phase {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Starting => "starting",
            Self::Serving => "serving",
            Self::Draining => "draining",
        })
    }
}

/// Which document this node was told to be the newest.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct Newest {
    version: Version,
    /// When it certainly was, by [`clock::now`]; `None`: that was not told.
    at: Option<Instant>,
    /// Since when this node has known of a newer document than it holds, if it does.
    since: Option<Instant>,
    /// The replica that told so last.
    teller: Option<BoxId>,
}

impl Newest {
    fn hear(&mut self, told: Self) {
        match told.version.cmp(&self.version) {
            Ordering::Less => {}
            Ordering::Equal => *self = Self { at: self.at.max(told.at), since: self.since, ..told },
            Ordering::Greater => *self = told,
        }
    }
}

/// All sections.
pub struct Blackboard {
    own: BoxId,
    in_force: watch::Sender<Arc<InForce>>,
    document: watch::Sender<Arc<Document>>,
    rollouts: watch::Sender<Arc<RolloutState>>,
    quarantine: ArcSwap<QuarantinedSuspects>,
    newest: watch::Sender<Newest>,
    fresh: watch::Sender<Option<Instant>>,
    phase: watch::Sender<Phase>,
    requests: AtomicUsize,
    work_waiting: AtomicBool,
    voters: AtomicUsize,
    tolerated_losses: ArcSwap<Option<usize>>,
    leading: watch::Sender<Option<Term>>,
    /// What is known of backend servers.
    pub fleet: Fleet,
    /// What is known of boxes.
    pub boxes: ArcSwap<Boxes>,
    /// This node's shares of the teams' limits.
    pub shares: ArcSwap<Shares>,
    /// Finished hops.
    pub hops: HopLog,
}

impl Blackboard {
    /// The blackboard of a box that knows nothing yet.
    pub fn new(own: BoxId) -> Self {
        Self {
            own,
            in_force: watch::Sender::new(Arc::default()),
            document: watch::Sender::new(Arc::default()),
            rollouts: watch::Sender::new(Arc::default()),
            quarantine: ArcSwap::default(),
            newest: watch::Sender::new(Newest::default()),
            fresh: watch::Sender::new(None),
            phase: watch::Sender::new(Phase::Starting),
            requests: AtomicUsize::new(0),
            work_waiting: AtomicBool::new(false),
            voters: AtomicUsize::new(0),
            tolerated_losses: ArcSwap::default(),
            leading: watch::Sender::new(None),
            fleet: Fleet::default(),
            boxes: ArcSwap::default(),
            shares: ArcSwap::default(),
            hops: HopLog::default(),
        }
    }

    /// The configuration in force on this node.
    pub fn in_force(&self) -> Arc<InForce> {
        self.in_force.borrow().clone()
    }

    /// Follows the configuration in force.
    pub fn follow_configuration(&self) -> watch::Receiver<Arc<InForce>> {
        self.in_force.subscribe()
    }

    /// Puts a configuration in force. One that is not newer is passed over: nothing reverts.
    pub fn put_in_force(&self, configuration: Arc<Configuration>) -> bool {
        if configuration.revision <= self.revision() {
            return false;
        }
        let revision = configuration.revision;
        let next = Arc::new(InForce::new(configuration));
        let changed = self.in_force.send_if_modified(|held| {
            let newer = revision > held.configuration.revision;
            if newer {
                *held = next.clone();
            }
            newer
        });
        if changed {
            self.fleet.follow(&next.configuration, &self.own);
            tracing::info!(event = "configuration_in_force", revision = %revision);
        }
        changed
    }

    /// The revision in force on this node.
    pub fn revision(&self) -> Revision {
        self.in_force.borrow().configuration.revision
    }

    /// The document that operators published, as far as this node has it.
    pub fn document(&self) -> Arc<Document> {
        self.document.borrow().clone()
    }

    /// The releases in force and the roll-outs, as this process's replica has them.
    pub fn rollouts(&self) -> Arc<RolloutState> {
        self.rollouts.borrow().clone()
    }

    /// Follows the releases in force and the roll-outs.
    pub fn follow_rollouts(&self) -> watch::Receiver<Arc<RolloutState>> {
        self.rollouts.subscribe()
    }

    /// Takes the releases in force and the roll-outs.
    pub fn put_rollouts(&self, rollouts: Arc<RolloutState>) {
        self.rollouts.send_if_modified(|held| {
            let is_new = !Arc::ptr_eq(held, &rollouts);
            *held = rollouts;
            is_new
        });
    }

    /// What is quarantined, as this process's replica has them.
    pub fn quarantine(&self) -> Arc<QuarantinedSuspects> {
        self.quarantine.load_full()
    }

    /// Takes what is quarantined.
    pub fn put_quarantine(&self, quarantine: Arc<QuarantinedSuspects>) {
        self.quarantine.store(quarantine);
    }

    /// Follows the published document.
    pub fn follow_document(&self) -> watch::Receiver<Arc<Document>> {
        self.document.subscribe()
    }

    /// Takes a published document. One that is not newer is passed over: nothing reverts.
    pub fn put_document(&self, document: Arc<Document>) {
        let (version, bytes) = (document.version, document.text.len());
        let changed = self.document.send_if_modified(|held| {
            let newer = version > held.version;
            if newer {
                *held = document;
            }
            newer
        });
        if changed {
            tracing::info!(event = "document_held", version = %version, bytes);
            self.record_held(version);
        }
        // Word of it may have come long before it did.
        let at = Some(self.newest.borrow()).filter(|it| it.version <= version).and_then(|it| it.at);
        if let Some(at) = at {
            self.record_fresh(at);
        }
    }

    /// Notes since when a newer document than the one in use is known: what is held has yet to be put in force.
    fn record_held(&self, version: Version) {
        self.newest.send_if_modified(|newest| {
            if version > newest.version {
                newest.since = Some(clock::now());
            }
            false
        });
    }

    /// Notes that the configuration in force was certainly the newest anywhere at `at`, by [`clock::now`].
    pub fn record_fresh(&self, at: Instant) {
        self.fresh.send_if_modified(|held| {
            let later = held.is_none_or(|held| at > held);
            if later {
                *held = Some(at);
            }
            later
        });
    }

    /// Notes which document is the newest by an answer to what was asked at `asked`, and that this and the
    /// configuration in force certainly were the newest `age` before it: whoever answered spoke later than that.
    /// What this node holds is as new only if it has that document.
    pub fn record_answer(
        &self,
        version: Version,
        teller: Option<BoxId>,
        asked: Instant,
        age: Option<Duration>,
    ) {
        let at = age.and_then(|age| asked.checked_sub(age));
        let document = self.document().version;
        let is_news = self.newest.send_if_modified(|held| {
            let before = held.version;
            let since = held.since.filter(|_| before > document).unwrap_or_else(clock::now);
            held.hear(Newest { version, at, since: Some(since), teller: teller.clone() });
            held.version != before
        });
        if is_news && version > document {
            let replica = teller.as_ref().map(BoxId::as_str);
            tracing::info!(event = "document_announced", version = %version, held = %document, replica);
        }
        if let Some(at) = at.filter(|_| self.document().version >= version) {
            self.record_fresh(at);
        }
    }

    /// The newest document that this node holds or was told of.
    pub fn newest(&self) -> Version {
        self.newest.borrow().version.max(self.document().version)
    }

    /// Whether this node was told of a newer document than it holds.
    pub fn is_behind(&self) -> bool {
        self.newest.borrow().version > self.document().version
    }

    /// How long this node has known of a newer document than it has in force; zero if it knows of none.
    pub fn behind_for(&self) -> Duration {
        self.newest.borrow().since.map(clock::since).unwrap_or_default()
    }

    /// The replica that told of the newest document last: it has it, and was there just now.
    pub fn teller(&self) -> Option<BoxId> {
        self.newest.borrow().teller.clone()
    }

    /// Waits until this node is told of a newer document than it holds.
    pub async fn wait_behind(&self) {
        let mut newest = self.newest.subscribe();
        // The sender lives as long as the board.
        let _ = newest.wait_for(|newest| newest.version > self.document().version).await;
    }

    /// How old the word is by which this node knows what is the newest; `None`: it has none.
    pub fn word_age(&self) -> Option<Duration> {
        let word = self.newest.borrow().at;
        word.max(*self.fresh.borrow()).map(clock::since)
    }

    /// How old the configuration in force may be; `None`: not known.
    pub fn age(&self) -> Option<Duration> {
        self.fresh.borrow().map(clock::since)
    }

    /// Follows the time at which the configuration was last certainly the newest.
    pub fn follow_fresh(&self) -> watch::Receiver<Option<Instant>> {
        self.fresh.subscribe()
    }

    /// The phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Sets the phase. A node that drains never serves again.
    pub fn set_phase(&self, phase: Phase) {
        self.phase.send_if_modified(|held| {
            let changed = *held != Phase::Draining && *held != phase;
            if changed {
                *held = phase;
            }
            changed
        });
    }

    /// Follows the phase.
    pub fn follow_phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Whether kept work waited to be claimed when last heard.
    pub fn work_waiting(&self) -> bool {
        self.work_waiting.load(atomic::Ordering::Relaxed)
    }

    /// Notes whether kept work waits to be claimed.
    pub fn note_work(&self, waiting: bool) {
        self.work_waiting.store(waiting, atomic::Ordering::Relaxed);
    }

    /// How many voters the group has, as far as this replica knows; 0 elsewhere.
    pub fn voters(&self) -> usize {
        self.voters.load(atomic::Ordering::Relaxed)
    }

    /// Notes how many voters the group has.
    pub fn note_voters(&self, voters: usize) {
        self.voters.store(voters, atomic::Ordering::Relaxed);
    }

    /// How many more voters may be lost at once, as this leader sees it; `None` elsewhere.
    pub fn tolerated_losses(&self) -> Option<usize> {
        **self.tolerated_losses.load()
    }

    /// Notes how many more voters may be lost at once. Returns whether that is a change.
    pub fn note_tolerated_losses(&self, losses: Option<usize>) -> bool {
        *self.tolerated_losses.swap(Arc::new(losses)) != losses
    }

    /// Notes in which term this process's replica leads, as it last found.
    pub fn note_leading(&self, term: Option<Term>) {
        self.leading.send_if_modified(|held| std::mem::replace(held, term) != term);
    }

    /// In which term this process's replica led when it last looked.
    pub fn leading(&self) -> Option<Term> {
        *self.leading.borrow()
    }

    /// Follows in which term this process's replica leads. Whether it still does is for the replica
    /// to say.
    pub fn follow_leading(&self) -> watch::Receiver<Option<Term>> {
        self.leading.subscribe()
    }

    /// Requests under way.
    pub fn requests(&self) -> usize {
        self.requests.load(atomic::Ordering::SeqCst)
    }

    /// Counts a request until the guard is dropped.
    pub fn begin_request(self: &Arc<Self>) -> RequestGuard {
        self.requests.fetch_add(1, atomic::Ordering::SeqCst);
        RequestGuard { board: self.clone() }
    }
}

/// Counts one request under way.
pub struct RequestGuard {
    board: Arc<Blackboard>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.board.requests.fetch_sub(1, atomic::Ordering::SeqCst);
    }
}
