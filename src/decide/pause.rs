//! The pauses that backend servers ask a box for when they turn its requests away.
//!
//! Pure: refusals and moments in, which servers are left alone out.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::throttle::may_be_same;
use crate::ids::{BackendId, Incarnation, ServerKey, ServiceName};

/// The longest pause that is kept. A server that is not asked in between can't take back what it asked for.
const LONGEST: Duration = Duration::from_secs(3_600);

/// Servers whose pauses are kept at most.
const SERVER_LIMIT: usize = 1_024;

/// A pause that one incarnation of a server asked for.
#[derive(Debug, Clone)]
struct Pause {
    service: ServiceName,
    life: Incarnation,
    until: Instant,
}

/// The pauses that servers asked this box for.
#[derive(Debug, Default)]
pub struct Pauses {
    servers: BTreeMap<BackendId, Pause>,
}

impl Pauses {
    /// Records that a server asked for a pause at `now`. A shorter one does not end a longer one.
    pub fn record(
        &mut self,
        server: &ServerKey,
        service: &ServiceName,
        pause: Duration,
        now: Instant,
    ) {
        self.servers.retain(|_, held| now < held.until);
        let until = now + pause.min(LONGEST);
        let before = self.servers.get(&server.id);
        let before = before.filter(|held| may_be_same(held.life, server.life));
        let until = before.map_or(until, |held| held.until.max(until));
        if before.is_some() || self.servers.len() < SERVER_LIMIT {
            let pause = Pause { service: service.clone(), life: server.life, until };
            self.servers.insert(server.id.clone(), pause);
        }
    }

    /// The servers of a service whose pauses have not ended, each in the incarnation that asked.
    pub fn active(&self, service: &ServiceName, now: Instant) -> BTreeMap<BackendId, Incarnation> {
        let held = self.servers.iter().filter(|(_, it)| it.service == *service && now < it.until);
        held.map(|(id, it)| (id.clone(), it.life)).collect()
    }

    /// The time until the first pause of a service's servers ends.
    pub fn wait(&self, service: &ServiceName, now: Instant) -> Option<Duration> {
        let held = self.servers.values().filter(|held| held.service == *service);
        held.map(|held| held.until.saturating_duration_since(now)).filter(|it| !it.is_zero()).min()
    }

    /// Servers that are left alone.
    pub fn count(&self, now: Instant) -> usize {
        self.servers.values().filter(|held| now < held.until).count()
    }
}
