//! The rate limits and pauses that backend servers have requested of this box, as they apply to the
//! selection of a server.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::Relay;
use super::known::KnownServer;
use crate::clock;
use crate::decide::brittle::KnownLoad;
use crate::decide::throttle::{ThrottleState, may_be_same_incarnation};
use crate::ids::{BackendId, Incarnation, ServiceName};
use crate::units::RequestRate;

/// The restrictions of one service's servers.
pub(super) struct SendRestrictions {
    limited: BTreeMap<BackendId, ThrottleState>,
    paused: BTreeMap<BackendId, Incarnation>,
    /// The servers without room for another request of this box, if rejections make them fall over.
    brittle_full: BTreeSet<BackendId>,
}

impl SendRestrictions {
    /// The restrictions in force now, for a request that is about to be sent.
    pub(super) fn current(relay: &Relay, service: &ServiceName) -> Self {
        let now = clock::now();
        let limited = relay.throttles().states(service, now);
        let paused = relay.pauses().active(service, now);
        let brittle_full = full_brittle_servers(relay, service, now);
        Self { limited, paused, brittle_full }
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
        !self.is_paused(known)
            && !self.brittle_full.contains(&known.server.id)
            && self.limit_state(known).is_none_or(|state| state.is_open)
    }
}

/// The servers of a service that may reject another request of this box, if their service is brittle.
fn full_brittle_servers(relay: &Relay, service: &ServiceName, now: Instant) -> BTreeSet<BackendId> {
    let brittle = relay.brittle();
    if brittle.is_empty() || !brittle.is_brittle(service, now) {
        return BTreeSet::new();
    }
    let relays = relay.relay_count();
    let servers = relay.servers.for_service(service);
    let is_full = |known: &&Arc<KnownServer>| {
        let load = known.state.load();
        let load = KnownLoad {
            reported: load.map(|load| load.running + load.waiting),
            own_then: load.map_or(0, |load| load.own),
            own_now: known.state.in_flight(),
            slots: known.server.slots,
        };
        !brittle.admits(&known.server.id, load, relays, relay.seed, now)
    };
    servers.iter().filter(is_full).map(|known| known.server.id.clone()).collect()
}

/// Whether a service's servers fall over when they reject too much.
pub(super) fn is_brittle(relay: &Relay, service: &ServiceName) -> bool {
    let brittle = relay.brittle();
    !brittle.is_empty() && brittle.is_brittle(service, clock::now())
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
