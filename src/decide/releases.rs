//! Which release of a service gets a request at a box, and what its answers were like.
//!
//! The other half, at the leader, is [`super::rollout`].

use std::collections::BTreeMap;
use std::time::Instant;

use serde::{Deserialize, Serialize};

use super::exposure::{PermitWord, Permits};
use super::verdict::{Pace, Pair, Tally, Verdict, judge};
use crate::ids::{Release, ServiceName};

/// What a box tells the leader of a service that has a roll-out.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TrialReport {
    /// When the roll-out was ordered, which tells it from others.
    pub ordered: u64,
    /// Requests that came since the box knows of it.
    pub came: u64,
    /// Its permits.
    pub permits: PermitWord,
    /// The answers of each route.
    pub routes: BTreeMap<String, Pair>,
}

/// What the leader tells a box of a service's releases.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ReleaseUpdate {
    /// The release in force; none while nobody knows which one ran before the first order.
    pub in_force: Option<Release>,
    /// The release that is being tried.
    pub trial: Option<TrialAllowed>,
}

/// How far a box may try a release.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TrialAllowed {
    /// When the roll-out was ordered.
    pub ordered: u64,
    /// The release.
    pub release: Release,
    /// Whether all requests go to it.
    pub whole: bool,
    /// Requests that may go to it, if not all.
    pub permits: u64,
    /// Whether boxes are to speak more often, as something is about to change.
    pub soon: bool,
}

/// Where a request goes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Choice {
    /// To servers of this release only; any may take it where nothing is known.
    pub release: Option<Release>,
    /// Whether it took a permit.
    pub permit: bool,
}

impl Choice {
    /// Whether a server of `release` takes the request.
    pub fn takes(&self, release: &Release) -> bool {
        self.release.as_ref().is_none_or(|it| it == release)
    }
}

/// How a server answered.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Outcome {
    /// It failed, or broke off.
    Failed,
    /// It answered at this pace.
    Answered(Pace),
}

#[derive(Debug, Default)]
struct Trial {
    ordered: u64,
    release: Option<Release>,
    whole: bool,
    soon: bool,
    permits: Permits,
    came: u64,
    routes: BTreeMap<String, Pair>,
    /// Whether this box has seen by itself that the release is bad.
    stopped: bool,
}

#[derive(Debug, Default)]
struct Standing {
    in_force: Option<Release>,
    trial: Option<Trial>,
}

/// The releases of all services, as far as the leader told.
#[derive(Debug, Default)]
pub struct ReleaseTable {
    services: BTreeMap<ServiceName, Standing>,
}

impl ReleaseTable {
    /// Where a request for a service goes. The first send of a request counts as one that came.
    pub fn choose(&mut self, service: &ServiceName, is_first: bool, now: Instant) -> Choice {
        let Some(standing) = self.services.get_mut(service) else {
            return Choice::default();
        };
        let former = Choice { release: standing.in_force.clone(), permit: false };
        let Some(trial) = &mut standing.trial else {
            return former;
        };
        trial.came += u64::from(is_first);
        if trial.stopped || !trial.permits.is_heard(now) {
            return former;
        }
        let new = |permit| Choice { release: trial.release.clone(), permit };
        match trial.whole {
            true => new(false),
            false if trial.permits.take(now) => new(true),
            false => former,
        }
    }

    /// The choice for a request that no server of the release it was to try takes.
    pub fn fall_back(&mut self, service: &ServiceName, choice: &Choice) -> Choice {
        let Some(standing) = self.services.get_mut(service) else {
            return Choice::default();
        };
        if let Some(trial) = standing.trial.as_mut().filter(|_| choice.permit) {
            trial.permits.give_back();
        }
        Choice { release: standing.in_force.clone(), permit: false }
    }

    /// Notes how a server answered a request of a route; `true` if the box stops trying its release.
    pub fn note(
        &mut self,
        service: &ServiceName,
        release: &Release,
        route: &str,
        outcome: Outcome,
    ) -> bool {
        let standing = self.services.get_mut(service);
        let Some((standing, trial)) =
            standing.and_then(|it| Some((&it.in_force, it.trial.as_mut()?)))
        else {
            return false;
        };
        if !trial.routes.contains_key(route) {
            trial.routes.insert(route.to_owned(), Pair::default());
        }
        let Some(pair) = trial.routes.get_mut(route) else {
            return false;
        };
        let tally: &mut Tally = match () {
            () if trial.release.as_ref() == Some(release) => &mut pair.new,
            () if standing.as_ref().is_none_or(|it| it == release) => &mut pair.former,
            () => return false,
        };
        match outcome {
            Outcome::Failed => tally.fail(),
            Outcome::Answered(pace) => tally.succeed(pace),
        }
        if !trial.stopped && matches!(judge(trial.routes.values()), Verdict::Bad(_)) {
            trial.stopped = true;
            trial.permits.drop_all();
            return true;
        }
        false
    }

    /// What to tell the leader.
    pub fn tell(&mut self, now: Instant) -> BTreeMap<ServiceName, TrialReport> {
        let trials = self
            .services
            .iter_mut()
            .filter_map(|(service, it)| Some((service, it.trial.as_mut()?)));
        let words = trials.map(|(service, trial)| {
            let word = TrialReport {
                ordered: trial.ordered,
                came: trial.came,
                permits: trial.permits.tell(now),
                routes: trial.routes.clone(),
            };
            (service.clone(), word)
        });
        words.collect()
    }

    /// Takes the leader's answer to what was told. One that does not know yet says nothing, and what the box
    /// knows stands: what is in force changes only by word of it.
    pub fn hear(&mut self, words: Option<BTreeMap<ServiceName, ReleaseUpdate>>) {
        for (service, word) in words.into_iter().flatten() {
            let standing = self.services.entry(service).or_default();
            standing.in_force = word.in_force.or(standing.in_force.take());
            let Some(allowed) = word.trial else {
                standing.trial = None;
                continue;
            };
            let held = standing.trial.take().filter(|trial| trial.ordered == allowed.ordered);
            // The first word of a roll-out begins the count; permits come with the answer to the next one.
            let is_new = held.is_none();
            let mut trial = held.unwrap_or_default();
            trial.ordered = allowed.ordered;
            trial.release = Some(allowed.release);
            trial.whole = allowed.whole;
            trial.soon = allowed.soon;
            if !is_new {
                trial.permits.hear(allowed.permits);
            }
            standing.trial = Some(trial);
        }
    }

    /// Whether a roll-out is about to change, as the leader last said.
    pub fn is_soon(&self) -> bool {
        self.services.values().filter_map(|it| it.trial.as_ref()).any(|trial| trial.soon)
    }
}
