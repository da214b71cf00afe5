//! Shares of the teams' fleet-wide limits on requests and tokens in flight.
//!
//! Half of each limit is split evenly among the entry boxes, whose number the configuration gives; each box may use its
//! part without asking. The leader leases out the other half by demand. A lease ends by itself, so a node that is cut
//! off falls back to its even share, and the sum of all shares never exceeds the limit.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::admission::TeamLimit;
use crate::ids::{BoxId, TeamName};
use crate::units::Tokens;

/// The duration of a lease, in milliseconds.
pub const LEASE_MS: u64 = 3_000;

/// A part of one team's limits, or all of them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Requests in flight.
    pub concurrent: u32,
    /// Tokens in flight.
    pub budget: Tokens,
}

/// The shares that a node has on lease, in addition to its even shares.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Shares {
    /// Leased shares by team.
    pub leased: BTreeMap<TeamName, Share>,
}

impl Shares {
    /// What this node, one of `boxes` boxes, may use of a team's limits.
    pub fn limit(&self, team: &TeamName, total: Share, boxes: u32) -> TeamLimit {
        let leased = self.leased.get(team).copied().unwrap_or_default();
        let even = even_share(total, boxes);
        TeamLimit {
            concurrent: even.concurrent + leased.concurrent,
            budget: even.budget + leased.budget,
        }
    }
}

/// The share of a limit that each of `boxes` boxes may use without a lease.
pub fn even_share(total: Share, boxes: u32) -> Share {
    let boxes = boxes.max(1);
    Share {
        concurrent: total.concurrent / 2 / boxes,
        budget: Tokens(total.budget.0 / 2 / u64::from(boxes)),
    }
}

#[derive(Debug, Clone)]
struct Lease {
    share: Share,
    /// In milliseconds on the leader's clock.
    until: u64,
}

/// The leader's leases. They are not replicated: a new leader grants nothing until the former one's leases have ended.
///
/// A node that did not receive a reply keeps its former share until that lease ends. All leases of a node that have not
/// ended therefore count, with the largest share among them.
#[derive(Debug, Clone)]
pub struct Lessor {
    started_at: u64,
    leases: BTreeMap<(TeamName, BoxId), Vec<Lease>>,
}

impl Lessor {
    /// The leases of a leader that starts at `now`, in milliseconds on its own clock.
    pub fn new(now: u64) -> Self {
        Self { started_at: now, leases: BTreeMap::new() }
    }

    /// Grants `box_id` as much of `wanted` as is free in the leased half of the limit `total`. The lease lasts
    /// [`LEASE_MS`] from `now`; the node counts it from the earlier time of its request.
    pub fn grant(
        &mut self,
        now: u64,
        box_id: &BoxId,
        team: &TeamName,
        total: Share,
        wanted: Share,
    ) -> Share {
        if now < self.started_at + LEASE_MS {
            return Share::default();
        }
        self.remove_expired(now);
        let used = self.leased_to_others(team, box_id);
        let pool = Share { concurrent: total.concurrent / 2, budget: Tokens(total.budget.0 / 2) };
        let share = Share {
            concurrent: wanted.concurrent.min(pool.concurrent.saturating_sub(used.concurrent)),
            budget: wanted.budget.min(pool.budget.less(used.budget)),
        };
        let key = (team.clone(), box_id.clone());
        self.leases.entry(key).or_default().push(Lease { share, until: now + LEASE_MS });
        share
    }

    fn remove_expired(&mut self, now: u64) {
        for leases in self.leases.values_mut() {
            leases.retain(|lease| lease.until > now);
        }
        self.leases.retain(|_, leases| !leases.is_empty());
    }

    fn leased_to_others(&self, team: &TeamName, box_id: &BoxId) -> Share {
        let others =
            self.leases.iter().filter(|((name, holder), _)| name == team && holder != box_id);
        others.map(|(_, leases)| largest_share(leases)).fold(Share::default(), add)
    }
}

fn largest_share(leases: &[Lease]) -> Share {
    let concurrent = leases.iter().map(|lease| lease.share.concurrent).max();
    let budget = leases.iter().map(|lease| lease.share.budget).max();
    Share { concurrent: concurrent.unwrap_or_default(), budget: budget.unwrap_or_default() }
}

fn add(sum: Share, share: Share) -> Share {
    Share { concurrent: sum.concurrent + share.concurrent, budget: sum.budget + share.budget }
}
