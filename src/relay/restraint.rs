//! The rate limits and pauses that backend servers have requested of this box, as they apply to the
//! selection of a server.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Relay;
use super::known::KnownServer;
use crate::clock;
use crate::decide::throttle::{ThrottleState, may_be_same_incarnation};
use crate::ids::{BackendId, Incarnation, ServiceName};
use crate::units::RequestRate;

/// The restrictions of one service's servers.
pub(super) struct SendRestrictions {
    limited: BTreeMap<BackendId, ThrottleState>,
    paused: BTreeMap<BackendId, Incarnation>,
}

impl SendRestrictions {
    /// The restrictions in force now, for a request that is about to be sent.
    pub(super) fn current(relay: &Relay, service: &ServiceName) -> Self {
        let now = clock::now();
        let limited = relay.throttles().states(service, now);
        let paused = relay.pauses().active(service, now);
        Self { limited, paused }
    }

    fn limit_state(&self, known: &KnownServer) -> Option<&ThrottleState> {
        let state = self.limited.get(&known.server.id);
        state.filter(|state| state.applies_to(known.incarnation()))
    }

    /// Whether a server has a rate limit in force.
    pub(super) fn is_limited(&self, known: &KnownServer) -> bool {
        self.limit_state(known).is_some()
    }

    /// Whether a server asked this box for a pause that has not ended.
    pub(super) fn is_paused(&self, known: &KnownServer) -> bool {
        let life = self.paused.get(&known.server.id);
        life.is_some_and(|life| may_be_same_incarnation(*life, known.incarnation()))
    }

    /// Whether this box may send a request to a server.
    pub(super) fn allows(&self, known: &KnownServer) -> bool {
        !self.is_paused(known) && self.limit_state(known).is_none_or(|state| state.is_open)
    }
}

/// Claims one request of a server's rate limit. Returns whether one was available.
pub(super) fn claim_slot(relay: &Relay, known: &KnownServer) -> bool {
    let mut throttles = relay.throttles();
    throttles.is_empty() || throttles.claim(&known.key(), clock::now())
}

/// The rate limit that a server advertised.
pub(super) fn advertised_limit(relay: &Relay, known: &KnownServer) -> Option<RequestRate> {
    let mut throttles = relay.throttles();
    if throttles.is_empty() { None } else { throttles.limit(&known.key()) }
}

/// The time until one of a service's restricted servers may get a request, if known.
pub(super) fn time_until_available(relay: &Relay, service: &ServiceName) -> Option<Duration> {
    let now = clock::now();
    let limited = relay.throttles().wait(service, now);
    let paused = relay.pauses().wait(service, now);
    limited.into_iter().chain(paused).min()
}
