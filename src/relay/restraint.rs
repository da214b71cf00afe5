//! What backend servers have asked of this box, for one choice of a server: whom it leaves alone for now.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Relay;
use super::known::KnownServer;
use crate::clock;
use crate::decide::throttle::{ThrottleState, may_be_same_incarnation};
use crate::ids::{BackendId, Incarnation, ServiceName};
use crate::units::RequestRate;

/// The servers of one service that limit themselves or asked for a pause.
pub(super) struct Restraints {
    limited: BTreeMap<BackendId, ThrottleState>,
    paused: BTreeMap<BackendId, Incarnation>,
}

impl Restraints {
    /// Those that hold now, for a request that is to be sent.
    pub(super) fn now(relay: &Relay, service: &ServiceName) -> Self {
        let now = clock::now();
        let limited = relay.throttles().states(service, now);
        let paused = relay.pauses().active(service, now);
        Self { limited, paused }
    }

    fn limit_of(&self, known: &KnownServer) -> Option<&ThrottleState> {
        let limit = self.limited.get(&known.server.id);
        limit.filter(|limit| limit.applies_to(known.incarnation()))
    }

    /// Whether a server limits itself.
    pub(super) fn is_limited(&self, known: &KnownServer) -> bool {
        self.limit_of(known).is_some()
    }

    /// Whether a server may get a request of this box.
    pub(super) fn allows(&self, known: &KnownServer) -> bool {
        let life = self.paused.get(&known.server.id);
        let is_paused =
            life.is_some_and(|life| may_be_same_incarnation(*life, known.incarnation()));
        !is_paused && self.limit_of(known).is_none_or(|limit| limit.is_open)
    }
}

/// Claims the place of one request at a server; whether there is one.
pub(super) fn claim(relay: &Relay, known: &KnownServer) -> bool {
    let mut throttles = relay.throttles();
    throttles.is_empty() || throttles.claim(&known.key(), clock::now())
}

/// The limit that a server named.
pub(super) fn limit(relay: &Relay, known: &KnownServer) -> Option<RequestRate> {
    let mut throttles = relay.throttles();
    if throttles.is_empty() { None } else { throttles.limit(&known.key()) }
}

/// The time until one of a service's servers that are left alone may get a request, where that is known.
pub(super) fn wait(relay: &Relay, service: &ServiceName) -> Option<Duration> {
    let now = clock::now();
    let limited = relay.throttles().wait(service, now);
    let paused = relay.pauses().wait(service, now);
    limited.into_iter().chain(paused).min()
}
