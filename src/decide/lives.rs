//! Which life a backend server is in, and when a box asks it.
//!
//! A server may start again under its id, at the same address or at another. It then holds nothing of
//! before, so what is known of it must not outlive its life. The platform's list tells no lives: a box
//! asks the server itself when something makes it doubt, and tells the others what it heard.
//!
//! A life is the Unix millisecond at which it began, by the server's own word. Lives only grow: a word of
//! an earlier one changes nothing, in whatever order words arrive.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::{BackendId, Incarnation};
use crate::units::UnixMillis;

/// How far a clock may be ahead for a server's word of its start to be believed: a word that no later one
/// can ever exceed would bar every start to come.
const MAX_CLOCK_LEAD: Duration = Duration::from_secs(24 * 3_600);

/// How exactly the clocks of a box and a server are taken to agree.
const CLOCK_TOLERANCE: Duration = Duration::from_secs(1);

/// How old what the platform's list shows may be: it runs about a second behind, and is read every half
/// second. What is read later than this after a life began is of that life. Shorter than a server that
/// leaves serves on, so that the notice of a life that is itself leaving is heard in time.
pub const LIST_LAG: Duration = Duration::from_secs(2);

/// A moment, by the clock that only goes on and by the time of day.
#[derive(Debug, Clone, Copy)]
pub struct Timestamp {
    /// By the clock that only goes on.
    pub monotonic: Instant,
    /// By the time of day, as servers tell their starts.
    pub unix: UnixMillis,
}

impl From<Instant> for Timestamp {
    fn from(at: Instant) -> Self {
        Self { monotonic: at, unix: UnixMillis::now() }
    }
}

/// What a word of a server's life changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IncarnationUpdate {
    /// Nothing: it names the life that is known, or none.
    Unchanged,
    /// The life that is known has a name now; what is known of it stands.
    Identified,
    /// The server has started again: nothing that was known of it holds.
    Restarted,
    /// It is of an earlier life, and to be passed over.
    Outdated,
    /// It names no time at which a server can have started.
    Rejected,
}

/// Who says which life a server is in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IncarnationSource {
    /// The server itself, asked by this process.
    Server,
    /// Another process, of what it was told: the word may be old.
    Relayed,
}

/// The life that a server is in, as far as is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerIncarnation {
    /// The life; 0 where nothing has told it.
    id: Incarnation,
    /// Whether the server itself has told it.
    is_confirmed: bool,
    /// When the server was first known in it.
    first_seen: UnixMillis,
    /// Whether it followed on another one.
    has_restarted: bool,
    /// The latest life that is known to be over.
    last_ended: Incarnation,
}

impl ServerIncarnation {
    /// The life, not told yet, of a server that is first known now.
    pub fn first_seen_at(now: UnixMillis) -> Self {
        let (id, last_ended) = Default::default();
        Self { id, is_confirmed: false, first_seen: now, has_restarted: false, last_ended }
    }

    /// Its name; 0 where nothing has told it.
    pub fn id(&self) -> Incarnation {
        self.id
    }

    /// Whether a word that names `life`, or none, is of this life. Where the server is known to have started
    /// again, a word that names none may be of an earlier one.
    pub fn matches(&self, id: Incarnation) -> bool {
        id == self.id || (id.is_none() && !self.has_restarted)
    }

    /// Takes a word of the life that the server is in.
    ///
    /// One that began before the server was known is the life that is known, whatever an older word had
    /// named it; unless the server itself had named another since.
    pub fn update(
        &mut self,
        id: Incarnation,
        source: IncarnationSource,
        now: UnixMillis,
    ) -> IncarnationUpdate {
        if id.is_none() {
            return IncarnationUpdate::Unchanged;
        }
        if id < self.id || id <= self.last_ended {
            return IncarnationUpdate::Outdated;
        }
        if id.0 > now.0 + MAX_CLOCK_LEAD.as_millis() as u64 {
            return IncarnationUpdate::Rejected;
        }
        let is_confirmed = source == IncarnationSource::Server;
        if id == self.id {
            self.is_confirmed |= is_confirmed;
            return IncarnationUpdate::Unchanged;
        }
        if !self.is_confirmed && id.0 <= self.first_seen.0 + CLOCK_TOLERANCE.as_millis() as u64 {
            (self.id, self.is_confirmed) = (id, is_confirmed);
            return IncarnationUpdate::Identified;
        }
        *self = Self {
            id,
            is_confirmed,
            first_seen: now,
            has_restarted: true,
            last_ended: self.id.max(self.last_ended),
        };
        IncarnationUpdate::Restarted
    }

    /// Takes that the server is in another life, which is not told yet.
    pub fn mark_restarted(&mut self, now: UnixMillis) {
        let last_ended = self.id.max(self.last_ended);
        *self = Self {
            id: Incarnation::default(),
            is_confirmed: false,
            first_seen: now,
            has_restarted: true,
            last_ended,
        };
    }

    /// Whether a listing that was read at `read` is of this life as well: the list lags, and may show what
    /// was true of an earlier one. `known` is for how long the life has been known: a clock that is behind
    /// holds a notice back no longer than this.
    pub fn accepts_listing(&self, listed_at: UnixMillis, known_for: Duration) -> bool {
        let lag = LIST_LAG.as_millis() as u64;
        self.id.is_none() || listed_at.0 >= self.id.0 + lag || known_for >= LIST_LAG
    }
}

/// Time within which boxes that doubt a server at the same moment ask it: the others mostly hear the life
/// from the first before their turn comes.
const MAX_START_DELAY: Duration = Duration::from_millis(500);

/// Time between two questions to one server, doubled each time up to [`MAX_RETRY_INTERVAL`].
const BASE_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// The longest time between two questions to one server.
const MAX_RETRY_INTERVAL: Duration = Duration::from_secs(30);

/// Questions to a server without an answer before it is no longer asked until something new makes doubt.
const MAX_ATTEMPTS: u32 = 8;

/// Servers asked at a time.
const MAX_CHECKS_AT_ONCE: usize = 8;

#[derive(Debug, Clone, Copy)]
struct RestartCheck {
    /// When it is asked next.
    next_at: Instant,
    /// Before when it is not asked.
    not_before: Option<Instant>,
    /// Questions since the doubt arose.
    attempts: u32,
    /// Whether there is something to ask.
    is_pending: bool,
}

/// The servers that may have started again, and when they are asked.
#[derive(Debug, Default)]
pub struct RestartCheckQueue {
    checks: BTreeMap<BackendId, RestartCheck>,
}

impl RestartCheckQueue {
    /// Notes that something makes doubt whether a server is in the life that is known; whether that is
    /// news. `random` is a number from 0 to 1.
    pub fn request(&mut self, server: &BackendId, now: Instant, random: f64) -> bool {
        let soon = now + MAX_START_DELAY.mul_f64(random);
        let held = self.checks.get(server);
        if held.is_some_and(|check| check.is_pending) {
            return false;
        }
        let not_before = held.and_then(|check| check.not_before);
        let next_at = not_before.map_or(soon, |not_before| soon.max(not_before));
        self.checks.insert(
            server.clone(),
            RestartCheck { next_at, not_before, attempts: 0, is_pending: true },
        );
        true
    }

    /// The servers to ask now, [`MAX_CHECKS_AT_ONCE`] at most.
    pub fn take_due(&mut self, now: Instant) -> Vec<BackendId> {
        let due =
            self.checks.iter_mut().filter(|(_, check)| check.is_pending && check.next_at <= now);
        let due = due.take(MAX_CHECKS_AT_ONCE).map(|(server, check)| {
            check.not_before = Some(now + BASE_RETRY_INTERVAL);
            check.attempts += 1;
            check.is_pending = check.attempts < MAX_ATTEMPTS;
            let pause = BASE_RETRY_INTERVAL * 2u32.pow(check.attempts.min(8));
            check.next_at = now + pause.min(MAX_RETRY_INTERVAL);
            server.clone()
        });
        due.collect()
    }

    /// When the next server is to be asked.
    pub fn next_due(&self) -> Option<Instant> {
        self.checks.values().filter(|check| check.is_pending).map(|check| check.next_at).min()
    }

    /// Notes that a server's life is known: nothing is to be asked before something makes doubt again.
    pub fn resolve(&mut self, server: &BackendId) {
        if let Some(check) = self.checks.get_mut(server) {
            check.is_pending = false;
        }
    }

    /// Notes that a server answered and told no life: to ask it again soon is of little use.
    pub fn resolve_unknown(&mut self, server: &BackendId, now: Instant) {
        self.resolve(server);
        if let Some(check) = self.checks.get_mut(server) {
            check.not_before = Some(now + MAX_RETRY_INTERVAL);
        }
    }

    /// Forgets the servers that are not there.
    pub fn retain(&mut self, is_known: impl Fn(&BackendId) -> bool) {
        self.checks.retain(|server, _| is_known(server));
    }
}
