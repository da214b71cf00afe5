//! Decides which answers a box may give based on the routes and keys it has.
//!
//! Each kind of answer has its own bound on the age of the configuration it is based on. A box can
//! no longer be sure that a route or key does not exist once a change could have come into force
//! without its knowledge, and no longer be sure that a key is valid once the key could have been
//! revoked.

use std::time::Duration;

/// Share of the time in which a revoked key must become invalid for which a box accepts keys
/// without hearing from the group. The rest is for requests that are just being forwarded.
const KEY_MARGIN: f64 = 0.85;

/// A request waits for newer keys for at most this fraction of its latency objective, as 1 / N.
const KEY_WAIT_DIVISOR: u32 = 4;

/// How long after a box has learned of newer keys its requests wait for them. Over a slow link they take longer to
/// arrive, and the requests of all that time must not be delayed.
const MAX_KEY_WAIT: Duration = Duration::from_millis(400);

/// How long a request with a known key waits for the newer keys that its box has known of for `behind_for`.
pub fn key_wait(objective: Duration, behind_for: Duration) -> Duration {
    (objective / KEY_WAIT_DIVISOR).min(MAX_KEY_WAIT.saturating_sub(behind_for))
}

/// The operators' targets for the propagation of changes.
#[derive(Debug, Clone, Copy)]
pub struct PropagationTargets {
    /// Time after its acknowledgement within which a change is in force everywhere.
    pub change: Duration,
    /// Time after its revocation within which a key becomes invalid everywhere.
    pub revoke: Duration,
}

/// How current a box's routes and keys are.
#[derive(Debug, Clone, Copy)]
pub struct ConfigFreshness {
    /// The targets that bound their age.
    pub targets: PropagationTargets,
    /// How long ago they were known to be the latest; `None` if unknown.
    pub age: Option<Duration>,
    /// Whether the box was told that there are newer ones.
    pub is_behind: bool,
}

impl ConfigFreshness {
    /// Whether the box may reject a request for good because it has no such route or key.
    pub fn may_reject_unknown(&self) -> bool {
        !self.is_behind && self.is_within(self.targets.change)
    }

    /// Whether a request may be sent where the known routes lead. A box without contact goes on, as
    /// it cannot know whether anything has changed. A box that knows of a change may use its old
    /// routes only for as long as a change may take to come into force.
    pub fn may_use_routes(&self) -> bool {
        !self.is_behind || self.is_within(self.targets.change)
    }

    /// Whether a key that the box has may still be accepted.
    pub fn may_trust_keys(&self) -> bool {
        self.is_within(self.targets.revoke.mul_f64(KEY_MARGIN))
    }

    fn is_within(&self, bound: Duration) -> bool {
        self.age.is_some_and(|age| age < bound)
    }
}
