//! Servers that fall over when they have to turn away more requests than they name.
//!
//! Such a server names in its answers how many requests it may turn away in a second, from all boxes together. Each box
//! keeps to an even share of that number, and to a share of the server's slots that differs from box to box so that all
//! shares together leave some free. A fleet of few boxes also uses what a recent report shows to be free. After a
//! rejection beyond its share a box leaves the server alone until the share has made up for it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::throttle::may_be_same_incarnation;
use crate::ids::{BackendId, Incarnation, ServerKey, ServiceName};

/// How long a server's word holds without another answer. While its service is brittle, a server that has not said
/// anything yet is treated alike.
const NOTICE_LIFETIME: Duration = Duration::from_secs(10);

/// The part of a server's slots that all boxes together may use. The rest is for chance in how the slots are shared.
const SHARED_FRACTION: f64 = 0.75;

/// The most boxes that use what a report shows to be free: more would do so at the same time.
const MAX_REPORT_USERS: u32 = 16;

/// The longest time for which a server is left alone after a rejection.
const MAX_CLOSED_TIME: Duration = Duration::from_secs(5);

/// The most servers that are remembered.
const MAX_SERVERS: usize = 1_024;

/// The requests at a server, as far as a box knows.
#[derive(Debug, Clone, Copy)]
pub struct KnownLoad {
    /// Requests in the server's last report; `None` if it made none.
    pub reported: Option<u32>,
    /// This box's requests in flight when the report was made.
    pub own_then: u32,
    /// This box's requests in flight now.
    pub own_now: u32,
    /// The server's slots.
    pub slots: u32,
}

impl KnownLoad {
    /// Whether this box's share of the slots has room. `place` from 0 to 1 is where the box stands among those that get
    /// one of the slots which can't be divided.
    fn has_shared_room(&self, relays: u32, place: f64) -> bool {
        let share = f64::from(self.slots) * SHARED_FRACTION / f64::from(relays.max(1));
        f64::from(self.own_now) < share.floor() + f64::from(place < share.fract())
    }

    /// Whether the last report leaves room even if the other boxes have sent as much as this one since.
    fn has_reported_room(&self, relays: u32) -> bool {
        let Some(reported) = self.reported.filter(|_| relays <= MAX_REPORT_USERS) else {
            return false;
        };
        let free = f64::from(self.slots) * SHARED_FRACTION - f64::from(reported);
        let own = f64::from(self.own_now.saturating_sub(self.own_then));
        free >= 1.0 && (own + 1.0) * f64::from(relays.max(1)) <= free
    }
}

#[derive(Debug)]
struct BrittleServer {
    service: ServiceName,
    incarnation: Incarnation,
    /// Rejections a second that the server bears, from all boxes together.
    limit: f64,
    told_at: Instant,
    /// Rejections that this box's share pays for; negative after more.
    budget: f64,
    refilled_at: Instant,
}

impl BrittleServer {
    fn budget_at(&self, relays: u32, now: Instant) -> f64 {
        let share = self.limit / f64::from(relays.max(1));
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        let least = -share * MAX_CLOSED_TIME.as_secs_f64();
        (self.budget.max(least) + share * elapsed).min(share)
    }
}

/// The brittle servers that this box knows.
#[derive(Debug, Default)]
pub struct BrittleServers {
    servers: BTreeMap<BackendId, BrittleServer>,
}

impl BrittleServers {
    /// Whether no server is known to be brittle.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Records what an answer of a server says: the rejections a second that it bears, or `None`. Returns whether the
    /// server's state changed.
    pub fn record_notice(
        &mut self,
        server: &ServerKey,
        service: &ServiceName,
        limit: Option<f64>,
        relays: u32,
        now: Instant,
    ) -> bool {
        self.servers.retain(|_, it| now < it.told_at + NOTICE_LIFETIME);
        let Some(limit) = limit else {
            return self.servers.remove(&server.id).is_some();
        };
        let known = self.servers.get_mut(&server.id);
        if let Some(known) = known.filter(|it| may_be_same_incarnation(it.incarnation, server.life))
        {
            let is_changed = known.limit != limit;
            (known.limit, known.told_at) = (limit, now);
            return is_changed;
        }
        if self.servers.len() >= MAX_SERVERS {
            return false;
        }
        let brittle = BrittleServer {
            service: service.clone(),
            incarnation: server.life,
            limit,
            told_at: now,
            budget: limit / f64::from(relays.max(1)),
            refilled_at: now,
        };
        self.servers.insert(server.id.clone(), brittle);
        true
    }

    /// Records that a server turned a request of this box away for want of room.
    pub fn record_rejection(&mut self, server: &BackendId, relays: u32, now: Instant) {
        if let Some(known) = self.servers.get_mut(server) {
            known.budget = known.budget_at(relays, now) - 1.0;
            known.refilled_at = now;
        }
    }

    /// Whether any server of a service is brittle.
    pub fn is_brittle(&self, service: &ServiceName, now: Instant) -> bool {
        let mut told = self.servers.values().filter(|it| it.service == *service);
        told.any(|it| now < it.told_at + NOTICE_LIFETIME)
    }

    /// Whether this box may send a request to a server of a brittle service. `seed` differs from box to box.
    pub fn admits(
        &self,
        server: &BackendId,
        load: KnownLoad,
        relays: u32,
        seed: u64,
        now: Instant,
    ) -> bool {
        let known = self.servers.get(server);
        let is_closed = known.is_some_and(|it| it.budget_at(relays, now) < 0.0);
        !is_closed
            && (load.has_shared_room(relays, place(server, seed)) || load.has_reported_room(relays))
    }
}

/// An even number from 0 to 1 for each server and box.
fn place(server: &BackendId, seed: u64) -> f64 {
    let mut hash = seed ^ 0x9e37_79b9_7f4a_7c15;
    for byte in server.as_str().bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        hash ^= hash >> 29;
    }
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}
