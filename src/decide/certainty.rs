//! What a box may say and do by the routes and keys that it holds.
//!
//! Each answer claims something and has an aim of its own that bounds how old its ground may be. That no
//! route leads somewhere, or that nobody has a key, is a guess once a change could have come into force
//! unheard; that a key still holds, once it could have lost its effect.

use std::time::Duration;

/// The part of the time in which a key must lose its effect that a box goes on without word from
/// the group. The rest is for requests that are just being passed on.
const KEY_MARGIN: f64 = 0.85;

/// The operators' aims.
#[derive(Debug, Clone, Copy)]
pub struct PropagationTargets {
    /// A change is in force everywhere this long after it was acknowledged.
    pub change: Duration,
    /// A key that was taken away has no effect this long after.
    pub revoke: Duration,
}

/// How sure a box is of its routes and keys.
#[derive(Debug, Clone, Copy)]
pub struct ConfigFreshness {
    /// The aims that bound it.
    pub targets: PropagationTargets,
    /// How long ago they were certainly the newest; `None`: that is not known.
    pub age: Option<Duration>,
    /// Whether it was told that there are newer ones.
    pub is_behind: bool,
}

impl ConfigFreshness {
    /// Whether the box may refuse a request for good because it holds no such route or key.
    pub fn may_reject_unknown(&self) -> bool {
        !self.is_behind && self.is_within(self.targets.change)
    }

    /// Whether a request may run where the routes held say. A box that hears nothing goes on: it can't tell
    /// whether anything has changed. One that knows of a change goes by the old routes no longer than the change
    /// may take.
    pub fn may_use_routes(&self) -> bool {
        !self.is_behind || self.is_within(self.targets.change)
    }

    /// Whether a key that the box holds may be taken to hold still.
    pub fn may_trust_keys(&self) -> bool {
        self.is_within(self.targets.revoke.mul_f64(KEY_MARGIN))
    }

    fn is_within(&self, bound: Duration) -> bool {
        self.age.is_some_and(|age| age < bound)
    }
}
