//! Shares of the teams' fleet-wide limits.
//!
//! Half of each limit is split evenly among the entry boxes, of which the configuration gives the
//! number; it may be used without asking. The other half is leased out by the leader, by demand. A
//! lease ends by itself, so a node that is cut off falls back to its even part, and the sum of all
//! shares never exceeds the limit.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::admit::TeamLimit;
use crate::ids::{BoxId, TeamName};
use crate::units::Tokens;

/// How long a lease holds, in milliseconds.
pub const LEASE: u64 = 3_000;

/// A part of one team's limits.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Requests in flight.
    pub concurrent: u32,
    /// Tokens in flight.
    pub budget: Tokens,
}

/// A node's shares at the moment, on top of its even part.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Shares {
    /// Leased shares by team.
    pub leased: BTreeMap<TeamName, Share>,
}

impl Shares {
    /// What this node may use of a team's limits, one of `boxes` boxes.
    pub fn limit(&self, team: &TeamName, whole: Share, boxes: u32) -> TeamLimit {
        let leased = self.leased.get(team).copied().unwrap_or_default();
        let even = even_part(whole, boxes);
        TeamLimit {
            concurrent: even.concurrent + leased.concurrent,
            budget: even.budget + leased.budget,
        }
    }
}

/// The part of a limit every one of `boxes` boxes may use without asking.
pub fn even_part(whole: Share, boxes: u32) -> Share {
    let boxes = boxes.max(1);
    Share {
        concurrent: whole.concurrent / 2 / boxes,
        budget: Tokens(whole.budget.0 / 2 / u64::from(boxes)),
    }
}

#[derive(Debug, Clone)]
struct Lease {
    share: Share,
    until: u64,
}

/// The leader's leases. Soft state: a new leader grants nothing until the former one's have ended.
///
/// A node whose answer was lost goes on with the share it had until that lease ends, so every
/// unended lease of a node counts, at the largest of them.
#[derive(Debug, Clone)]
pub struct Lessor {
    since: u64,
    leases: BTreeMap<(TeamName, BoxId), Vec<Lease>>,
}

impl Lessor {
    /// A leader that begins at `now`, in milliseconds on its own clock.
    pub fn new(now: u64) -> Self {
        Self { since: now, leases: BTreeMap::new() }
    }

    /// Grants `box_id` as much of `wanted` as is free in the leased half of `whole`. The lease runs
    /// for [`LEASE`] from `now`; the node counts it from when it asked.
    pub fn grant(
        &mut self,
        now: u64,
        box_id: &BoxId,
        team: &TeamName,
        whole: Share,
        wanted: Share,
    ) -> Share {
        if now < self.since + LEASE {
            return Share::default();
        }
        self.drop_ended(now);
        let used = self.used_by_others(team, box_id);
        let pool = Share { concurrent: whole.concurrent / 2, budget: Tokens(whole.budget.0 / 2) };
        let share = Share {
            concurrent: wanted.concurrent.min(pool.concurrent.saturating_sub(used.concurrent)),
            budget: wanted.budget.min(pool.budget.less(used.budget)),
        };
        let key = (team.clone(), box_id.clone());
        self.leases.entry(key).or_default().push(Lease { share, until: now + LEASE });
        share
    }

    fn drop_ended(&mut self, now: u64) {
        for leases in self.leases.values_mut() {
            leases.retain(|lease| lease.until > now);
        }
        self.leases.retain(|_, leases| !leases.is_empty());
    }

    fn used_by_others(&self, team: &TeamName, box_id: &BoxId) -> Share {
        let others = self.leases.iter().filter(|((name, held), _)| name == team && held != box_id);
        others.map(|(_, leases)| largest(leases)).fold(Share::default(), add)
    }
}

fn largest(leases: &[Lease]) -> Share {
    let concurrent = leases.iter().map(|lease| lease.share.concurrent).max();
    let budget = leases.iter().map(|lease| lease.share.budget).max();
    Share { concurrent: concurrent.unwrap_or_default(), budget: budget.unwrap_or_default() }
}

fn add(sum: Share, share: Share) -> Share {
    Share { concurrent: sum.concurrent + share.concurrent, budget: sum.budget + share.budget }
}
