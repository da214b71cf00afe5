//! The limits that backend servers name in their answers, as one box knows them.
//!
//! A server in need names the requests a second that it takes from all boxes together, for as long as its answers
//! name it.

use std::collections::BTreeMap;

use crate::ids::{BackendId, Incarnation, ServerKey};
use crate::units::RequestRate;

/// Servers whose limits are kept at most.
const SERVER_LIMIT: usize = 1_024;

/// What the head of a server's answer says of its limit.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum LimitNotice {
    /// It names none.
    #[default]
    None,
    /// It names one that cannot be read, which says nothing.
    Unreadable,
    /// The requests a second that it takes from all boxes together.
    Limited(RequestRate),
}

/// A server's limit has become another one; `None` stands for no limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitChange {
    /// What it was.
    pub before: Option<RequestRate>,
    /// What it is.
    pub now: Option<RequestRate>,
}

/// The limit of one incarnation of a server.
#[derive(Debug, Clone, Copy)]
struct Throttle {
    life: Incarnation,
    limit: RequestRate,
}

/// The limits of backend servers that this box was told of.
#[derive(Debug, Default)]
pub struct Throttles {
    servers: BTreeMap<BackendId, Throttle>,
}

impl Throttles {
    /// The limit that a server named last.
    pub fn limit(&self, server: &ServerKey) -> Option<RequestRate> {
        let held = self.servers.get(&server.id).filter(|held| held.life == server.life)?;
        Some(held.limit)
    }

    /// Records what a server's answer says of its limit; what changes with it.
    pub fn record_notice(
        &mut self,
        server: &ServerKey,
        notice: LimitNotice,
    ) -> Option<LimitChange> {
        let before = self.limit(server);
        let now = match notice {
            LimitNotice::None => None,
            LimitNotice::Unreadable => before,
            LimitNotice::Limited(limit) => Some(limit),
        };
        match now {
            Some(limit)
                if self.servers.len() < SERVER_LIMIT || self.servers.contains_key(&server.id) =>
            {
                let throttle = Throttle { life: server.life, limit };
                self.servers.insert(server.id.clone(), throttle);
            }
            Some(_) => return None,
            None => drop(self.servers.remove(&server.id)),
        }
        (before != now).then_some(LimitChange { before, now })
    }
}
