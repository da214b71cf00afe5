//! Which release of a service gets a request at a box, and what its answers were like.
//!
//! The other half, at the leader, is [`super::rollout`].

use std::collections::BTreeMap;
use std::time::Instant;

use serde::{Deserialize, Serialize};

use super::exposure::{PermitWord, Permits};
use super::verdict::{AnswerStats, RelativeLatency, RouteComparison, Verdict, evaluate};
use crate::ids::{Release, ServiceName};

/// What a box tells the leader of a service that has a roll-out.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TrialReport {
    /// When the roll-out was ordered, which tells it from others.
    pub ordered: u64,
    /// Requests that came since the box knows of it.
    #[serde(rename = "came")]
    pub requests: u64,
    /// Its permits.
    pub permits: PermitWord,
    /// The answers of each route.
    pub routes: BTreeMap<String, RouteComparison>,
}

/// What the leader tells a box of a service's releases.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ReleaseUpdate {
    /// The release in force; none while nobody knows which one ran before the first order.
    pub in_force: Option<Release>,
    /// The release that is being tried.
    pub trial: Option<TrialGrant>,
}

/// How far a box may try a release.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TrialGrant {
    /// When the roll-out was ordered.
    pub ordered: u64,
    /// The release.
    pub release: Release,
    /// Whether all requests go to it.
    #[serde(rename = "whole")]
    pub all_traffic: bool,
    /// Requests that may go to it, if not all.
    pub permits: u64,
    /// Whether boxes are to speak more often, as something is about to change.
    #[serde(rename = "soon")]
    pub report_often: bool,
}

/// Where a request goes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReleaseChoice {
    /// To servers of this release only; any may take it where nothing is known.
    pub release: Option<Release>,
    /// Whether it took a permit.
    pub uses_permit: bool,
}

impl ReleaseChoice {
    /// Whether a server of `release` takes the request.
    pub fn takes(&self, release: &Release) -> bool {
        self.release.as_ref().is_none_or(|it| it == release)
    }
}

/// How a server answered.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AnswerOutcome {
    /// It failed, or broke off.
    Failed,
    /// It answered at this pace.
    Answered(RelativeLatency),
}

#[derive(Debug, Default)]
struct Trial {
    ordered: u64,
    release: Option<Release>,
    all_traffic: bool,
    report_often: bool,
    permits: Permits,
    requests: u64,
    routes: BTreeMap<String, RouteComparison>,
    /// Whether this box has seen by itself that the release is bad.
    stopped: bool,
}

#[derive(Debug, Default)]
struct ServiceReleases {
    in_force: Option<Release>,
    trial: Option<Trial>,
}

/// The releases of all services, as far as the leader told.
#[derive(Debug, Default)]
pub struct ReleaseTable {
    services: BTreeMap<ServiceName, ServiceReleases>,
}

impl ReleaseTable {
    /// Where a request for a service goes. The first send of a request counts as one that came.
    pub fn choose(&mut self, service: &ServiceName, is_first: bool, now: Instant) -> ReleaseChoice {
        let Some(releases) = self.services.get_mut(service) else {
            return ReleaseChoice::default();
        };
        let former = ReleaseChoice { release: releases.in_force.clone(), uses_permit: false };
        let Some(trial) = &mut releases.trial else {
            return former;
        };
        trial.requests += u64::from(is_first);
        if trial.stopped || !trial.permits.is_heard(now) {
            return former;
        }
        let new = |uses_permit| ReleaseChoice { release: trial.release.clone(), uses_permit };
        match trial.all_traffic {
            true => new(false),
            false if trial.permits.take(now) => new(true),
            false => former,
        }
    }

    /// The choice for a request that no server of the release it was to try takes.
    pub fn fall_back(&mut self, service: &ServiceName, choice: &ReleaseChoice) -> ReleaseChoice {
        let Some(releases) = self.services.get_mut(service) else {
            return ReleaseChoice::default();
        };
        if let Some(trial) = releases.trial.as_mut().filter(|_| choice.uses_permit) {
            trial.permits.give_back();
        }
        ReleaseChoice { release: releases.in_force.clone(), uses_permit: false }
    }

    /// Notes how a server answered a request of a route; `true` if the box stops trying its release.
    pub fn record_outcome(
        &mut self,
        service: &ServiceName,
        release: &Release,
        route: &str,
        outcome: AnswerOutcome,
    ) -> bool {
        let releases = self.services.get_mut(service);
        let Some((in_force, trial)) =
            releases.and_then(|it| Some((&it.in_force, it.trial.as_mut()?)))
        else {
            return false;
        };
        if !trial.routes.contains_key(route) {
            trial.routes.insert(route.to_owned(), RouteComparison::default());
        }
        let Some(comparison) = trial.routes.get_mut(route) else {
            return false;
        };
        let stats: &mut AnswerStats = match () {
            () if trial.release.as_ref() == Some(release) => &mut comparison.new,
            () if in_force.as_ref().is_none_or(|it| it == release) => &mut comparison.former,
            () => return false,
        };
        match outcome {
            AnswerOutcome::Failed => stats.record_failure(),
            AnswerOutcome::Answered(latency) => stats.record_success(latency),
        }
        if !trial.stopped && matches!(evaluate(trial.routes.values()), Verdict::Bad(_)) {
            trial.stopped = true;
            trial.permits.drop_all();
            return true;
        }
        false
    }

    /// What to tell the leader.
    pub fn build_reports(&mut self, now: Instant) -> BTreeMap<ServiceName, TrialReport> {
        let trials = self
            .services
            .iter_mut()
            .filter_map(|(service, it)| Some((service, it.trial.as_mut()?)));
        let reports = trials.map(|(service, trial)| {
            let report = TrialReport {
                ordered: trial.ordered,
                requests: trial.requests,
                permits: trial.permits.tell(now),
                routes: trial.routes.clone(),
            };
            (service.clone(), report)
        });
        reports.collect()
    }

    /// Takes the leader's answer to what was told. One that does not know yet says nothing, and what the box
    /// knows stands: what is in force changes only by word of it.
    pub fn apply_updates(&mut self, updates: Option<BTreeMap<ServiceName, ReleaseUpdate>>) {
        for (service, update) in updates.into_iter().flatten() {
            let releases = self.services.entry(service).or_default();
            releases.in_force = update.in_force.or(releases.in_force.take());
            let Some(grant) = update.trial else {
                releases.trial = None;
                continue;
            };
            let held = releases.trial.take().filter(|trial| trial.ordered == grant.ordered);
            // The first word of a roll-out begins the count; permits come with the answer to the next one.
            let is_new = held.is_none();
            let mut trial = held.unwrap_or_default();
            trial.ordered = grant.ordered;
            trial.release = Some(grant.release);
            trial.all_traffic = grant.all_traffic;
            trial.report_often = grant.report_often;
            if !is_new {
                trial.permits.hear(grant.permits);
            }
            releases.trial = Some(trial);
        }
    }

    /// Whether a roll-out is about to change, as the leader last said.
    pub fn should_report_often(&self) -> bool {
        self.services.values().filter_map(|it| it.trial.as_ref()).any(|trial| trial.report_often)
    }
}
