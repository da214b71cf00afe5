//! Roll-outs: which release of each service is in force, and which one is being rolled out.
//!
//! The group stores the orders, so that a new leader continues from the last step and answers given to
//! operators stay valid. Phases only move forward: from the trial to the shift of all traffic and then
//! to completion, or from either one to a rollback to the release that was in force.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::{Release, ServiceName};
use crate::units::Millis;

/// The longest time an order may allow for a roll-out: a day. A larger value is most likely a confusion
/// of units, such as of milliseconds and seconds.
pub const MAX_DURATION: Millis = Millis(24 * 3_600_000);

/// An operator's order to move a service's traffic to a release within a given time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutOrder {
    /// The service.
    pub service: ServiceName,
    /// The release to roll out.
    pub release: Release,
    /// The time allowed for the roll-out, counted from the order.
    pub time: Millis,
    /// For how long after the order an equal order is treated as a repetition of it.
    pub repeats: Millis,
}

impl RolloutOrder {
    /// Validates the order by itself.
    ///
    /// # Errors
    /// When its time is zero or exceeds [`MAX_DURATION`].
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

/// The phase of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The new release receives a small part of the traffic.
    Trial,
    /// The new release receives all traffic; the former one is still running for a rollback.
    Shift,
    /// The new release is in force and the former one has been removed.
    Completed,
    /// The former release stays in force.
    RolledBack,
}

impl Phase {
    /// Whether this is a final phase.
    pub fn is_finished(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }

    /// Whether a roll-out in this phase may move to `next`.
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

/// A roll-out as the group stores it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// The order.
    pub order: RolloutOrder,
    /// The release in force before; `None` if no server of the service had been seen yet.
    pub former: Option<Release>,
    /// When it was ordered, in milliseconds since the Unix epoch by the leader's clock.
    pub ordered: u64,
    /// The current phase.
    pub phase: Phase,
    /// The number of requests that boxes may have been allowed to send to the new release. A leader
    /// stores it before it allows them, so its successor never assumes fewer.
    pub exposed: u64,
}

impl Rollout {
    /// Builds the step that moves this roll-out to `phase`.
    pub fn step(&self, phase: Phase, exposed: u64) -> RolloutStep {
        RolloutStep { service: self.order.service.clone(), ordered: self.ordered, phase, exposed }
    }
}

/// A leader's step in a roll-out. It has no effect if a later roll-out has replaced that one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutStep {
    /// The service.
    pub service: ServiceName,
    /// When the roll-out was ordered, which identifies it.
    pub ordered: u64,
    /// The phase it moves to or stays in.
    pub phase: Phase,
    /// The total number of requests that boxes may be allowed to send to the new release.
    pub exposed: u64,
}

/// The answer to a [`RolloutOrder`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderReply {
    /// The order is accepted, now or earlier.
    Taken(Rollout),
    /// Another roll-out of the service is in progress.
    Conflict(Rollout),
}

/// The releases of a service outside a roll-out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServingReleases {
    /// The release in force.
    pub in_force: Release,
    /// Further releases that get new requests.
    pub beside: BTreeSet<Release>,
    /// Releases that get none, as a roll-out has replaced them or was rolled back from them.
    pub replaced: BTreeSet<Release>,
}

/// The releases in force and the roll-outs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutState {
    /// The release in force of each service that has been seen running.
    pub in_force: BTreeMap<ServiceName, Release>,
    /// The latest roll-out of each service.
    pub rollouts: BTreeMap<ServiceName, Rollout>,
    /// Releases that run beside the one in force without an order, and get new requests as well.
    #[serde(default)]
    pub beside: BTreeMap<ServiceName, BTreeSet<Release>>,
    /// Releases that a roll-out has replaced or was rolled back from, while they may still be listed.
    #[serde(default)]
    pub replaced: BTreeMap<ServiceName, BTreeSet<Release>>,
}

impl RolloutState {
    /// Returns the roll-outs in progress.
    pub fn running(&self) -> impl Iterator<Item = &Rollout> {
        self.rollouts.values().filter(|rollout| !rollout.phase.is_finished())
    }

    /// Accepts an order at time `at`, in milliseconds since the Unix epoch. A repeated order is accepted
    /// again and changes nothing.
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
        if is_done && let Some(beside) = self.beside.remove(&order.service) {
            self.replaced.entry(order.service.clone()).or_default().extend(beside);
        }
        if let Some(replaced) = self.replaced.get_mut(&order.service) {
            replaced.remove(&order.release);
        }
        let rollout = Rollout { order: order.clone(), former, ordered: at, phase, exposed: 0 };
        self.rollouts.insert(order.service.clone(), rollout.clone());
        OrderReply::Taken(rollout)
    }

    /// Applies a leader's step and returns the resulting roll-out, if the service has one.
    pub fn step(&mut self, step: &RolloutStep) -> Option<Rollout> {
        let held = self.rollouts.get_mut(&step.service)?;
        if held.ordered == step.ordered && !held.phase.is_finished() {
            held.exposed = held.exposed.max(step.exposed);
            if held.phase.can_move_to(step.phase) {
                held.phase = step.phase;
            }
            match held.phase {
                Phase::Completed => {
                    let release = held.order.release.clone();
                    let former = self.in_force.insert(step.service.clone(), release.clone());
                    let beside = self.beside.remove(&step.service).unwrap_or_default();
                    let replaced = self.replaced.entry(step.service.clone()).or_default();
                    replaced.extend(former.into_iter().chain(beside));
                    replaced.remove(&release);
                }
                Phase::RolledBack => {
                    let release = held.order.release.clone();
                    if let Some(beside) = self.beside.get_mut(&step.service) {
                        beside.remove(&release);
                    }
                    self.replaced.entry(step.service.clone()).or_default().insert(release);
                }
                Phase::Trial | Phase::Shift => {}
            }
        }
        Some(held.clone())
    }

    /// Whether a roll-out of a service is in progress.
    pub fn is_rolled_out(&self, service: &ServiceName) -> bool {
        self.rollouts.get(service).is_some_and(|rollout| !rollout.phase.is_finished())
    }

    /// The releases of a service that get new requests outside a roll-out, if any is known.
    pub fn admitted<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a Release> + 'a {
        let beside = self.beside.get(service).into_iter().flatten();
        self.in_force.get(service).into_iter().chain(beside)
    }

    /// Whether a release was rolled back by the last roll-out of its service.
    pub fn is_rolled_back(&self, service: &ServiceName, release: &Release) -> bool {
        let rollout = self.rollouts.get(service);
        rollout.is_some_and(|it| it.phase == Phase::RolledBack && it.order.release == *release)
    }

    /// Records the releases that serve a service, unless it is being rolled out or is unknown.
    pub fn note_serving(&mut self, services: &BTreeMap<ServiceName, ServingReleases>) {
        for (service, serving) in services {
            if self.is_rolled_out(service) || !self.in_force.contains_key(service) {
                continue;
            }
            let ServingReleases { in_force, beside, replaced } = serving.clone();
            self.in_force.insert(service.clone(), in_force);
            set_or_remove(&mut self.beside, service, beside);
            set_or_remove(&mut self.replaced, service, replaced);
        }
    }

    /// Records the releases that were running before any order. The first record of a service stays.
    pub fn note_running(&mut self, running: &BTreeMap<ServiceName, Release>) {
        for (service, release) in running {
            let held = self.in_force.entry(service.clone()).or_insert_with(|| release.clone());
            if let Some(rollout) = self.rollouts.get_mut(service) {
                rollout.former.get_or_insert_with(|| held.clone());
            }
        }
    }
}

fn set_or_remove(
    map: &mut BTreeMap<ServiceName, BTreeSet<Release>>,
    service: &ServiceName,
    releases: BTreeSet<Release>,
) {
    match releases.is_empty() {
        true => drop(map.remove(service)),
        false => drop(map.insert(service.clone(), releases)),
    }
}
