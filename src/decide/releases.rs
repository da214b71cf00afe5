//! Chooses the release of a service for each request at a box, and records how its servers
//! answered.
//!
//! The leader's side is [`super::rollout`].

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use serde::{Deserialize, Serialize};

use super::exposure::{PermitReport, Permits};
use super::verdict::{AnswerStats, RelativeLatency, RouteComparison, Verdict, evaluate};
use crate::ids::{Release, ServiceName};

/// A box's report to the leader on a service that has a roll-out.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TrialReport {
    /// When the roll-out was ordered, which identifies it among those of the service.
    pub ordered: u64,
    /// Requests received since the box learned of the roll-out.
    #[serde(rename = "came")]
    pub requests: u64,
    /// State of the box's permits.
    pub permits: PermitReport,
    /// Answers on each route.
    pub routes: BTreeMap<String, RouteComparison>,
}

/// What the leader tells a box about the releases of a service.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ReleaseUpdate {
    /// The release in force. `None` while it is unknown which release ran before the first order.
    pub in_force: Option<Release>,
    /// The release on trial, if any.
    pub trial: Option<TrialGrant>,
    /// Releases that get new requests beside the one in force.
    pub beside: BTreeSet<Release>,
    /// Whether only the release in force has begun streams whose callers may still come back, so that boxes need not
    /// report theirs. By the time a box acts on it, it may hold no longer.
    pub is_sole: bool,
}

/// To what extent a box may use a release on trial.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TrialGrant {
    /// When the roll-out was ordered.
    pub ordered: u64,
    /// The release on trial.
    pub release: Release,
    /// Whether all requests go to it.
    #[serde(rename = "whole")]
    pub all_traffic: bool,
    /// Number of requests that may go to it if not all do.
    pub permits: u64,
    /// Whether boxes are to report more often because a phase change is near.
    #[serde(rename = "soon")]
    pub report_often: bool,
}

/// Which servers may take a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReleaseChoice {
    /// Only servers of this release may take it. `None`: any server may, as no release is known.
    pub release: Option<Release>,
    /// Releases whose servers may take it as well.
    pub beside: BTreeSet<Release>,
    /// Whether the request uses up a permit.
    pub uses_permit: bool,
}

impl ReleaseChoice {
    /// Whether a server running `release` may take the request.
    pub fn takes(&self, release: &Release) -> bool {
        self.release.as_ref().is_none_or(|it| it == release) || self.beside.contains(release)
    }

    /// Only servers of this release.
    fn only(release: Option<Release>, uses_permit: bool) -> Self {
        Self { release, beside: BTreeSet::new(), uses_permit }
    }
}

/// How a server answered.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AnswerOutcome {
    /// The request failed, or the answer broke off.
    Failed,
    /// The server answered with this latency.
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
    /// Whether this box itself has found the release to be bad.
    stopped: bool,
}

#[derive(Debug, Default)]
struct ServiceReleases {
    in_force: Option<Release>,
    beside: BTreeSet<Release>,
    /// Whether the leader has said that only the release in force has begun streams.
    is_sole: bool,
    /// The release that was rolled back last.
    rejected: Option<Release>,
    trial: Option<Trial>,
}

impl ServiceReleases {
    /// The choice of a request that does not go to the release on trial.
    fn former(&self) -> ReleaseChoice {
        let mut beside = self.beside.clone();
        if let Some(release) = self.trial.as_ref().and_then(|trial| trial.release.as_ref()) {
            beside.remove(release);
        }
        ReleaseChoice { release: self.in_force.clone(), beside, uses_permit: false }
    }

    /// Records the release in force, if the leader names one, and ends a trial other than the one ordered at
    /// `ordered`.
    fn update(&mut self, in_force: Option<Release>, ordered: Option<u64>) {
        self.in_force = in_force.or(self.in_force.take());
        if let Some(ended) = self.trial.take_if(|trial| Some(trial.ordered) != ordered) {
            self.rejected = ended.release;
        }
        if self.rejected == self.in_force {
            self.rejected = None;
        }
    }
}

/// The releases of all services, as far as the leader has announced them.
#[derive(Debug, Default)]
pub struct ReleaseTable {
    services: BTreeMap<ServiceName, ServiceReleases>,
}

impl ReleaseTable {
    /// Chooses the release for a request. `is_first` marks the first attempt of a request: only
    /// that counts as a request received.
    pub fn choose(&mut self, service: &ServiceName, is_first: bool, now: Instant) -> ReleaseChoice {
        let Some(releases) = self.services.get_mut(service) else {
            return ReleaseChoice::default();
        };
        let former = releases.former();
        let Some(trial) = &mut releases.trial else {
            return former;
        };
        trial.requests += u64::from(is_first);
        if trial.stopped || !trial.permits.is_valid(now) {
            return former;
        }
        let new = |uses_permit| ReleaseChoice::only(trial.release.clone(), uses_permit);
        match trial.all_traffic {
            true => new(false),
            false if trial.permits.take(now) => new(true),
            false => former,
        }
    }

    /// Chooses the release for a stream that a server of `release` began. Other releases cannot continue it, as
    /// what they generate does not fit. `None` if no further request may go to `release`.
    pub fn choose_for_begun(
        &mut self,
        service: &ServiceName,
        release: &Release,
        now: Instant,
    ) -> Option<ReleaseChoice> {
        let only = |uses_permit| ReleaseChoice::only(Some(release.clone()), uses_permit);
        let Some(releases) = self.services.get_mut(service) else {
            return Some(only(false));
        };
        let trial = releases.trial.as_mut().filter(|it| it.release.as_ref() == Some(release));
        match trial {
            None => (releases.rejected.as_ref() != Some(release)).then(|| only(false)),
            Some(trial) if trial.stopped || !trial.permits.is_valid(now) => None,
            Some(trial) if trial.all_traffic => Some(only(false)),
            Some(trial) => trial.permits.take(now).then(|| only(true)),
        }
    }

    /// Returns the permit of a choice, if it used one, when no server can take the request.
    pub fn give_back(&mut self, service: &ServiceName, choice: &ReleaseChoice) {
        let trial = self.services.get_mut(service).and_then(|releases| releases.trial.as_mut());
        if let Some(trial) = trial.filter(|_| choice.uses_permit) {
            trial.permits.give_back();
        }
    }

    /// Returns the choice for a request when no server of the release on trial can take it. A
    /// permit that was used is returned.
    pub fn fall_back(&mut self, service: &ServiceName, choice: &ReleaseChoice) -> ReleaseChoice {
        self.give_back(service, choice);
        self.services.get(service).map(ServiceReleases::former).unwrap_or_default()
    }

    /// The services of which several releases may have begun streams.
    pub fn shared_services(&self) -> impl Iterator<Item = &ServiceName> {
        let shared = self.services.iter().filter(|(_, releases)| !releases.is_sole);
        shared.map(|(service, _)| service)
    }

    /// Whether a release of a service is on trial.
    pub fn has_trial(&self, service: &ServiceName) -> bool {
        self.services.get(service).is_some_and(|releases| releases.trial.is_some())
    }

    /// Records how a server answered a request on a route. Returns `true` if the box stops using
    /// the release because of it.
    pub fn record_outcome(
        &mut self,
        service: &ServiceName,
        release: &Release,
        route: &str,
        outcome: AnswerOutcome,
    ) -> bool {
        let releases = self.services.get_mut(service);
        let Some((in_force, beside, trial)) =
            releases.and_then(|it| Some((&it.in_force, &it.beside, it.trial.as_mut()?)))
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
            () if in_force.as_ref().is_none_or(|it| it == release) || beside.contains(release) => {
                &mut comparison.former
            }
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

    /// Builds the reports for the leader.
    pub fn build_reports(&mut self, now: Instant) -> BTreeMap<ServiceName, TrialReport> {
        let trials = self
            .services
            .iter_mut()
            .filter_map(|(service, it)| Some((service, it.trial.as_mut()?)));
        let reports = trials.map(|(service, trial)| {
            let report = TrialReport {
                ordered: trial.ordered,
                requests: trial.requests,
                permits: trial.permits.report(now),
                routes: trial.routes.clone(),
            };
            (service.clone(), report)
        });
        reports.collect()
    }

    /// Applies the leader's reply to a report. A leader that does not know the releases yet sends
    /// `None`, and the box keeps what it knows: the release in force changes only when the leader
    /// says so.
    pub fn apply_updates(&mut self, updates: Option<BTreeMap<ServiceName, ReleaseUpdate>>) {
        for (service, update) in updates.into_iter().flatten() {
            let releases = self.services.entry(service).or_default();
            releases.beside = update.beside;
            releases.is_sole = update.is_sole;
            releases.update(update.in_force, update.trial.as_ref().map(|grant| grant.ordered));
            let Some(grant) = update.trial else {
                continue;
            };
            let known = releases.trial.take();
            // The first update of a roll-out starts the request count. Permits come with the reply
            // to the next report.
            let is_new = known.is_none();
            let mut trial = known.unwrap_or_default();
            trial.ordered = grant.ordered;
            trial.release = Some(grant.release);
            trial.all_traffic = grant.all_traffic;
            trial.report_often = grant.report_often;
            if !is_new {
                trial.permits.apply_grant(grant.permits);
            }
            releases.trial = Some(trial);
        }
    }

    /// Whether a phase change is near in any roll-out, by the leader's last update.
    pub fn should_report_often(&self) -> bool {
        self.services.values().filter_map(|it| it.trial.as_ref()).any(|trial| trial.report_often)
    }
}
