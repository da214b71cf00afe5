//! Tracks which incarnation a backend server is in, and schedules the checks for a restart.
//!
//! A server may restart under its ID, at the same or another address. It then has lost all its
//! state, so what is known about it must not be carried over. The platform's list does not show
//! incarnations: when a box suspects a restart it asks the server itself, and tells the other boxes
//! what it learned.
//!
//! An incarnation is identified by the Unix time in milliseconds at which it started, as the server
//! reports it. IDs only grow: a report of an earlier incarnation changes nothing, so reports may
//! arrive in any order.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::{BackendId, Incarnation};
use crate::units::UnixMillis;

/// How far in the future a reported start may lie. Without a bound, an ID that no later one can
/// exceed would hide all later restarts.
const MAX_CLOCK_LEAD: Duration = Duration::from_secs(24 * 3_600);

/// Assumed difference between the clocks of a box and a server.
const CLOCK_TOLERANCE: Duration = Duration::from_secs(1);

/// Assumed maximum age of the platform's list: it lags by about a second and is read every half
/// second. What is read later than this after an incarnation started belongs to that incarnation.
/// Shorter than the time for which a leaving server goes on serving, so that the notice of an
/// incarnation that is itself leaving is noticed in time.
pub const LIST_LAG: Duration = Duration::from_secs(2);

/// A point in time by the monotonic clock and by the wall clock.
#[derive(Debug, Clone, Copy)]
pub struct Timestamp {
    /// By the monotonic clock.
    pub monotonic: Instant,
    /// By the wall clock, which servers use to report their start.
    pub unix: UnixMillis,
}

impl From<Instant> for Timestamp {
    fn from(at: Instant) -> Self {
        Self { monotonic: at, unix: UnixMillis::now() }
    }
}

/// The effect of a report of a server's incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IncarnationUpdate {
    /// None: the report names the known incarnation, or none.
    Unchanged,
    /// The ID of the current incarnation has become known. What is known about the server remains
    /// valid.
    Identified,
    /// The server has restarted. What was known about it is no longer valid.
    Restarted,
    /// The report is of an earlier incarnation and is ignored.
    Outdated,
    /// The reported ID cannot be a start time and is ignored.
    Rejected,
}

/// Where a report of an incarnation comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IncarnationSource {
    /// From the server itself, asked by this process.
    Server,
    /// From another process that passes on what it was told. May be outdated.
    Relayed,
}

/// The incarnation of a server, as far as it is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerIncarnation {
    /// ID of the incarnation; 0 if unknown.
    id: Incarnation,
    /// Whether the server itself has reported the ID.
    is_confirmed: bool,
    /// When the server was first seen in this incarnation.
    first_seen: UnixMillis,
    /// Whether an earlier incarnation was known.
    has_restarted: bool,
    /// The latest incarnation known to have ended.
    last_ended: Incarnation,
}

impl ServerIncarnation {
    /// The incarnation, with unknown ID, of a server that is first seen now.
    pub fn first_seen_at(now: UnixMillis) -> Self {
        let (id, last_ended) = Default::default();
        Self { id, is_confirmed: false, first_seen: now, has_restarted: false, last_ended }
    }

    /// ID of the incarnation; 0 if unknown.
    pub fn id(&self) -> Incarnation {
        self.id
    }

    /// Whether a message that names the incarnation `id`, or none, is about this incarnation. Once
    /// the server is known to have restarted, a message that names none may be about an earlier
    /// incarnation.
    pub fn matches(&self, id: Incarnation) -> bool {
        id == self.id || (id.is_none() && !self.has_restarted)
    }

    /// Applies a report of the server's incarnation.
    ///
    /// An ID from before the server was first seen belongs to the known incarnation, even if an
    /// earlier report gave it another ID, unless the server itself has reported one since.
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

    /// Records that the server has restarted, while the new ID is unknown.
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

    /// Whether a listing read at `listed_at` is about this incarnation. The list lags and may show
    /// the state of an earlier one. `known_for` is how long the incarnation has been known: it
    /// bounds the delay of a notice by a clock that is behind.
    pub fn accepts_listing(&self, listed_at: UnixMillis, known_for: Duration) -> bool {
        let lag = LIST_LAG.as_millis() as u64;
        self.id.is_none() || listed_at.0 >= self.id.0 + lag || known_for >= LIST_LAG
    }
}

/// Boxes that suspect a restart at the same moment ask within this time. Most of them learn the
/// result from the first one before they ask themselves.
const MAX_START_DELAY: Duration = Duration::from_millis(500);

/// Base interval between two requests to a server. The n-th request is followed by a wait of 2^n
/// times this, up to [`MAX_RETRY_INTERVAL`].
const BASE_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum interval between two requests to a server.
const MAX_RETRY_INTERVAL: Duration = Duration::from_secs(30);

/// Number of unanswered requests after which a server is not asked again until there is a new
/// reason.
const MAX_ATTEMPTS: u32 = 8;

/// Maximum number of servers asked at a time.
const MAX_CHECKS_AT_ONCE: usize = 8;

#[derive(Debug, Clone, Copy)]
struct RestartCheck {
    /// When the server is asked next.
    next_at: Instant,
    /// Earliest time at which it may be asked, if it was asked before.
    not_before: Option<Instant>,
    /// Requests made since the restart was suspected.
    attempts: u32,
    /// Whether there is still something to ask.
    is_pending: bool,
}

/// Servers that may have restarted, and when to ask them.
#[derive(Debug, Default)]
pub struct RestartCheckQueue {
    checks: BTreeMap<BackendId, RestartCheck>,
}

impl RestartCheckQueue {
    /// Requests a check of whether a server is still in the known incarnation. Returns `false` if
    /// one is already pending. `random` is a random number from 0 to 1.
    pub fn request(&mut self, server: &BackendId, now: Instant, random: f64) -> bool {
        let soon = now + MAX_START_DELAY.mul_f64(random);
        let known = self.checks.get(server);
        if known.is_some_and(|check| check.is_pending) {
            return false;
        }
        let not_before = known.and_then(|check| check.not_before);
        let next_at = not_before.map_or(soon, |not_before| soon.max(not_before));
        self.checks.insert(
            server.clone(),
            RestartCheck { next_at, not_before, attempts: 0, is_pending: true },
        );
        true
    }

    /// Returns the servers to ask now, at most [`MAX_CHECKS_AT_ONCE`].
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

    /// When the next server is due.
    pub fn next_due(&self) -> Option<Instant> {
        self.checks.values().filter(|check| check.is_pending).map(|check| check.next_at).min()
    }

    /// Records that a server's incarnation is known. Nothing is asked until there is a new reason.
    pub fn resolve(&mut self, server: &BackendId) {
        if let Some(check) = self.checks.get_mut(server) {
            check.is_pending = false;
        }
    }

    /// Records that a server answered without naming its incarnation. Asking again soon would be of
    /// little use.
    pub fn resolve_unknown(&mut self, server: &BackendId, now: Instant) {
        self.resolve(server);
        if let Some(check) = self.checks.get_mut(server) {
            check.not_before = Some(now + MAX_RETRY_INTERVAL);
        }
    }

    /// Drops the servers that are no longer known.
    pub fn retain(&mut self, is_known: impl Fn(&BackendId) -> bool) {
        self.checks.retain(|server, _| is_known(server));
    }
}
