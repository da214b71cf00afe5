//! The pauses that backend servers ask a box for when they refuse its requests.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::throttle::may_be_same_incarnation;
use crate::ids::{BackendId, Incarnation, ServerKey, ServiceName};

/// The longest pause that is kept. The server gets no request in the meantime, so it can't take the pause back.
const MAX_PAUSE: Duration = Duration::from_secs(3_600);

/// The most servers whose pauses are kept.
const MAX_SERVERS: usize = 1_024;

/// A pause that one incarnation of a server asked for.
#[derive(Debug, Clone)]
struct Pause {
    service: ServiceName,
    incarnation: Incarnation,
    until: Instant,
}

/// The pauses that servers asked this box for.
#[derive(Debug, Default)]
pub struct Pauses {
    servers: BTreeMap<BackendId, Pause>,
}

impl Pauses {
    /// Records that a server asked for a pause at `now`. The later end of its current pause and the new one counts.
    pub fn record(
        &mut self,
        server: &ServerKey,
        service: &ServiceName,
        pause: Duration,
        now: Instant,
    ) {
        self.servers.retain(|_, pause| now < pause.until);
        let until = now + pause.min(MAX_PAUSE);
        let current = self.servers.get(&server.id);
        let current = current.filter(|it| may_be_same_incarnation(it.incarnation, server.life));
        let until = current.map_or(until, |it| it.until.max(until));
        if current.is_some() || self.servers.len() < MAX_SERVERS {
            let pause = Pause { service: service.clone(), incarnation: server.life, until };
            self.servers.insert(server.id.clone(), pause);
        }
    }

    /// The servers of a service whose pauses have not ended, each with the incarnation that asked for the pause.
    pub fn active(&self, service: &ServiceName, now: Instant) -> BTreeMap<BackendId, Incarnation> {
        let active = self.servers.iter();
        let active = active.filter(|(_, it)| it.service == *service && now < it.until);
        active.map(|(id, pause)| (id.clone(), pause.incarnation)).collect()
    }

    /// The time until the first active pause of a service's servers ends.
    pub fn wait(&self, service: &ServiceName, now: Instant) -> Option<Duration> {
        let pauses = self.servers.values().filter(|pause| pause.service == *service);
        let waits = pauses.map(|pause| pause.until.saturating_duration_since(now));
        waits.filter(|wait| !wait.is_zero()).min()
    }

    /// The number of active pauses.
    pub fn active_count(&self, now: Instant) -> usize {
        self.servers.values().filter(|pause| now < pause.until).count()
    }
}
