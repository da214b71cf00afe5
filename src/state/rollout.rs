//! Roll-outs: which release of each service is in force, and which one is being tried in its place.
//!
//! The group keeps the orders, so that whoever leads next goes on from the last step, and what an
//! operator was told stands. A step only goes forward: from the trial to the shift of all traffic, and
//! from there to the end, or from either back to the release that was in force.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::{Release, ServiceName};
use crate::units::Millis;

/// The longest time that an order may give a roll-out: a day. Beyond it, somebody took milliseconds
/// for seconds.
pub const MAX_DURATION: Millis = Millis(24 * 3_600_000);

/// An operator's order: a service's traffic is to go to a release within some time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// The service.
    pub service: ServiceName,
    /// The release that is to serve it.
    pub release: Release,
    /// The time for it, from the order on.
    pub time: Millis,
    /// For how long after the order the same order is taken to be sent again.
    pub repeats: Millis,
}

impl RolloutOrder {
    /// Whether the order makes sense by itself.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn check(&self) -> Result<(), String> {
        if self.time.0 == 0 || self.time > MAX_DURATION {
            return Err(format!("a roll-out takes from 1 ms to {MAX_DURATION}, not {}", self.time));
        }
        Ok(())
    }

    fn is_same_order(&self, other: &Self) -> bool {
        (&self.service, &self.release, self.time) == (&other.service, &other.release, other.time)
    }
}

/// How far a roll-out is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// A small part of the traffic goes to the new release.
    Trial,
    /// All traffic goes to it; the former one can still take over again.
    Shift,
    /// It is in force, and the former one is gone.
    Completed,
    /// The former one stays in force.
    RolledBack,
}

impl Phase {
    /// Whether nothing follows.
    pub fn is_finished(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }

    /// Whether a roll-out may go from here to `next`.
    fn can_move_to(self, next: Self) -> bool {
        match self {
            Self::Trial => matches!(next, Self::Shift | Self::RolledBack),
            Self::Shift => next.is_finished(),
            Self::Completed | Self::RolledBack => false,
        }
    }
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Trial => "trial",
            Self::Shift => "shift",
            Self::Completed => "completed",
            Self::RolledBack => "rolled_back",
        })
    }
}

/// A roll-out as the group knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// The order.
    pub order: RolloutOrder,
    /// The release that was in force before; `None` where no server had been seen yet.
    pub former: Option<Release>,
    /// When it was ordered, in milliseconds since the Unix epoch by the leader's clock.
    pub ordered: u64,
    /// How far it is.
    pub phase: Phase,
    /// Requests that boxes may have been allowed to send to the new release: a leader notes them before it
    /// allows them, so the next one knows no less.
    pub exposed: u64,
}

impl Rollout {
    /// The step of this roll-out to a phase.
    pub fn step(&self, phase: Phase, exposed: u64) -> RolloutStep {
        RolloutStep { service: self.order.service.clone(), ordered: self.ordered, phase, exposed }
    }
}

/// A leader's step in a roll-out. One of a roll-out that has been followed by another changes nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutStep {
    /// The service.
    pub service: ServiceName,
    /// When the roll-out was ordered.
    pub ordered: u64,
    /// The phase it goes to, or stays in.
    pub phase: Phase,
    /// Requests that boxes may be allowed to send to the new release from now on, in all.
    pub exposed: u64,
}

/// What an order came to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderReply {
    /// It is taken, now or before.
    Taken(Rollout),
    /// Another roll-out of the service is under way.
    Conflict(Rollout),
}

/// What the group knows of releases.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutState {
    /// The release in force of each service that was seen running.
    pub in_force: BTreeMap<ServiceName, Release>,
    /// The last roll-out of each service.
    pub rollouts: BTreeMap<ServiceName, Rollout>,
}

impl RolloutState {
    /// The roll-outs under way.
    pub fn running(&self) -> impl Iterator<Item = &Rollout> {
        self.rollouts.values().filter(|rollout| !rollout.phase.is_finished())
    }

    /// Takes an order at `at`, in milliseconds since the Unix epoch. An order that was taken before is
    /// taken again and changes nothing.
    pub fn order(&mut self, at: u64, order: &RolloutOrder) -> OrderReply {
        if let Some(held) = self.rollouts.get(&order.service) {
            let is_same_order = held.order.is_same_order(order);
            let is_recent = at.saturating_sub(held.ordered) <= order.repeats.0;
            match held.phase {
                Phase::Trial | Phase::Shift if is_same_order => {
                    return OrderReply::Taken(held.clone());
                }
                Phase::Trial | Phase::Shift => return OrderReply::Conflict(held.clone()),
                Phase::Completed | Phase::RolledBack if is_same_order && is_recent => {
                    return OrderReply::Taken(held.clone());
                }
                Phase::Completed | Phase::RolledBack => {}
            }
        }
        let former = self.in_force.get(&order.service).cloned();
        let is_done = former.as_ref() == Some(&order.release);
        let phase = if is_done { Phase::Completed } else { Phase::Trial };
        let rollout = Rollout { order: order.clone(), former, ordered: at, phase, exposed: 0 };
        self.rollouts.insert(order.service.clone(), rollout.clone());
        OrderReply::Taken(rollout)
    }

    /// Takes a step of a leader; the roll-out as it stands then.
    pub fn step(&mut self, step: &RolloutStep) -> Option<Rollout> {
        let held = self.rollouts.get_mut(&step.service)?;
        if held.ordered == step.ordered && !held.phase.is_finished() {
            held.exposed = held.exposed.max(step.exposed);
            if held.phase.can_move_to(step.phase) {
                held.phase = step.phase;
            }
            if held.phase == Phase::Completed {
                self.in_force.insert(step.service.clone(), held.order.release.clone());
            }
        }
        Some(held.clone())
    }

    /// Notes which releases were running before anybody ordered any. The first word stands.
    pub fn note_running(&mut self, running: &BTreeMap<ServiceName, Release>) {
        for (service, release) in running {
            let held = self.in_force.entry(service.clone()).or_insert_with(|| release.clone());
            if let Some(rollout) = self.rollouts.get_mut(service) {
                rollout.former.get_or_insert_with(|| held.clone());
            }
        }
    }
}
