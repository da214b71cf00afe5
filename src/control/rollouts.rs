//! Operator requests for rollouts, and the leader's task that carries rollouts out.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::MissedTickBehavior;

use super::duties::PROPOSE_TIMEOUT;
use super::publish::{self, is_complete, no_group, unacknowledged, unexpected_reply};
use crate::decide::exposure::ExposureLimit;
use crate::decide::releases::{ReleaseUpdate, TrialGrant, TrialReport};
use crate::decide::rollout::{RolloutStatus, RolloutTracker, next_step};
use crate::error::{Failure, Kind};
use crate::ids::{BoxId, Incarnation, Release, ServiceName, Term};
use crate::node::Node;
use crate::settings::RolloutSettings;
use crate::state::rollout::{OrderReply, Phase, Rollout, RolloutOrder, RolloutState, RolloutStep};
use crate::state::{Command, Reply};
use crate::units::UnixMillis;

/// Timeout for the group to accept an order or an abort.
const ORDER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Timeout for a read from the group.
const READ_TIMEOUT: Duration = Duration::from_millis(900);

/// Interval at which the leader checks the rollouts. A bad release is rolled back within one heartbeat of the
/// boxes and one check, 0.6 s in all; the limit is a few seconds.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Orders a rollout and returns it as the group stored it.
///
/// # Errors
/// [`Kind::BadRequest`] if the order is invalid, [`Kind::NotFound`] if the published document does not
/// contain the service, [`Kind::InProgress`] while another rollout of the service is in progress,
/// [`Kind::NoGroup`] if the group is incomplete or cannot be read, [`Kind::Unacknowledged`] if the group does
/// not confirm the order.
pub async fn order(node: &Node, order: RolloutOrder) -> Result<Rollout, Failure> {
    order.check().map_err(|reason| Failure::new(Kind::BadRequest, reason))?;
    if !is_complete(node) {
        return Err(no_group("the group of replicas is not complete yet"));
    }
    let document = publish::read(node).await?;
    if document.version.0 == 0 {
        return Err(no_group("no configuration was published yet"));
    }
    let table = node.dialect.read_table(&document.text);
    let table = table.map_err(|reason| Failure::new(Kind::Internal, reason))?;
    if !table.services.contains_key(&order.service) {
        let text = format!("no service is named {}", order.service);
        return Err(Failure::new(Kind::NotFound, text));
    }
    match node.access.propose(Command::OrderRollout(order), ORDER_TIMEOUT).await {
        Ok(Reply::OrderRollout(reply)) => match *reply {
            OrderReply::Taken(rollout) => {
                tracing::info!(
                    event = "rollout_ordered", service = %rollout.order.service,
                    release = %rollout.order.release, time = %rollout.order.time, phase = %rollout.phase,
                );
                Ok(rollout)
            }
            OrderReply::Conflict(rollout) => {
                let text = format!(
                    "a roll-out of {} to {} is already in progress",
                    rollout.order.service, rollout.order.release,
                );
                Err(Failure::new(Kind::InProgress, text))
            }
        },
        Ok(_) => Err(unexpected_reply()),
        Err(error) => Err(unacknowledged(&error.to_string())),
    }
}

/// Returns the last rollout of a service. The read goes through the log like any command, so it never
/// returns stale state.
///
/// # Errors
/// [`Kind::NotFound`] if the service has had no rollout, [`Kind::NoGroup`] if the group does not answer.
pub async fn show(node: &Node, service: &ServiceName) -> Result<Rollout, Failure> {
    let found = read(node).await?.rollouts.get(service).cloned();
    found.ok_or_else(|| Failure::new(Kind::NotFound, format!("{service} has had no roll-out")))
}

/// Rolls the rollout of a service back and returns its new state. A rollout that has ended is left
/// unchanged.
///
/// # Errors
/// As for [`show`], and [`Kind::Unacknowledged`].
pub async fn abort(node: &Node, service: &ServiceName) -> Result<Rollout, Failure> {
    let rollout = show(node, service).await?;
    let step = rollout.step(Phase::RolledBack, rollout.exposed);
    match node.access.propose(Command::StepRollout(step), ORDER_TIMEOUT).await {
        Ok(Reply::StepRollout(Some(rollout))) => Ok(*rollout),
        Ok(_) => Err(unexpected_reply()),
        Err(error) => Err(unacknowledged(&error.to_string())),
    }
}

async fn read(node: &Node) -> Result<Arc<RolloutState>, Failure> {
    match node.access.propose(Command::ReadRollouts, READ_TIMEOUT).await {
        Ok(Reply::Rollouts(book)) => Ok(book),
        Ok(_) => Err(unexpected_reply()),
        Err(error) => Err(no_group(&error.to_string())),
    }
}

/// The leader's word that only the release in force of a service has begun streams whose callers may come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SoleWord {
    /// Boxes are told so.
    Given,
    /// Boxes are no longer told so, but some may not report their streams yet.
    Ending,
    /// All boxes that are heard report their streams.
    Withdrawn,
}

/// The leader's state of all rollouts.
#[derive(Default)]
pub(super) struct LeaderRollouts {
    /// The state stored by the group; `None` until this leader has read it in its term.
    book: Option<Arc<RolloutState>>,
    trackers: BTreeMap<ServiceName, RolloutTracker>,
}

impl LeaderRollouts {
    /// Replaces the stored state and drops the trackers of rollouts that have ended.
    fn update(&mut self, book: Arc<RolloutState>) {
        let is_running = |service: &ServiceName, tracker: &mut RolloutTracker| {
            let rollout = book.rollouts.get(service);
            rollout.is_some_and(|it| it.ordered == tracker.ordered() && !it.phase.is_finished())
        };
        self.trackers.retain(is_running);
        self.book = Some(book);
    }

    fn running(&self) -> impl Iterator<Item = &Rollout> {
        self.book.iter().flat_map(|book| book.running())
    }

    /// Whether this leader has read the state that the group stores.
    pub(super) fn is_known(&self) -> bool {
        self.book.is_some()
    }

    /// The release in force of a service, if known.
    pub(super) fn in_force(&self, service: &ServiceName) -> Option<&Release> {
        self.book.as_ref()?.in_force.get(service)
    }

    /// Whether no rollout is in progress.
    pub(super) fn is_idle(&self) -> bool {
        self.running().next().is_none()
    }

    /// Whether a release of a service is being rolled out.
    pub(super) fn is_on_trial(&self, service: &ServiceName, release: &Release) -> bool {
        self.running().any(|it| it.order.service == *service && it.order.release == *release)
    }

    /// The state that the group stores, if this leader has read it.
    pub(super) fn book(&self) -> Option<&Arc<RolloutState>> {
        self.book.as_ref()
    }

    /// Records a box's trial reports and returns the release updates to answer with, or `None` until this leader
    /// has read the stored state. `words` tells for a service what boxes are told.
    pub(super) fn record_reports(
        &mut self,
        now: f64,
        key: &(BoxId, Incarnation),
        reports: &BTreeMap<ServiceName, TrialReport>,
        words: impl Fn(&ServiceName) -> SoleWord,
    ) -> Option<BTreeMap<ServiceName, ReleaseUpdate>> {
        let book = self.book.clone()?;
        let in_force = book.in_force.iter().map(|(service, release)| {
            let update = ReleaseUpdate {
                in_force: Some(release.clone()),
                trial: None,
                beside: book.beside.get(service).cloned().unwrap_or_default(),
                is_sole: words(service) == SoleWord::Given,
            };
            (service.clone(), update)
        });
        let mut updates: BTreeMap<_, _> = in_force.collect();
        for rollout in book.running() {
            let service = &rollout.order.service;
            // Before that, streams of the former release are unknown to the leader, so that they could not go on.
            let may_begin = words(service) == SoleWord::Withdrawn;
            let report = reports.get(service).filter(|report| report.ordered == rollout.ordered);
            let report = report.filter(|_| may_begin);
            let permits = report.map_or(0, |report| self.grant(now, key, rollout, report));
            let trial = TrialGrant {
                ordered: rollout.ordered,
                release: rollout.order.release.clone(),
                all_traffic: rollout.phase == Phase::Shift,
                permits,
                report_often: self
                    .trackers
                    .get(service)
                    .is_some_and(RolloutTracker::should_report_often),
            };
            updates.entry(service.clone()).or_default().trial = Some(trial);
        }
        Some(updates)
    }

    /// Records a box's report on one rollout and returns the trial permits to grant the box.
    fn grant(
        &mut self,
        now: f64,
        key: &(BoxId, Incarnation),
        rollout: &Rollout,
        report: &TrialReport,
    ) -> u64 {
        let tracker = self
            .trackers
            .entry(rollout.order.service.clone())
            .or_insert_with(|| RolloutTracker::new(rollout));
        tracker.record_report(now, key.clone(), report, rollout, rand::random())
    }

    /// Returns the next step that is due and the status it is based on. `is_ready` tells whether servers of the
    /// ordered release are available.
    fn due_step(
        &mut self,
        now: f64,
        unix_ms: u64,
        limit: ExposureLimit,
        is_ready: impl Fn(&RolloutOrder) -> bool,
    ) -> Option<(RolloutStep, RolloutStatus)> {
        let book = self.book.clone()?;
        book.running().find_map(|rollout| {
            let elapsed = unix_ms.saturating_sub(rollout.ordered) as f64 / 1_000.0;
            let tracker = self.trackers.get_mut(&rollout.order.service);
            next_step(rollout, tracker, now, elapsed, is_ready(&rollout.order), limit)
        })
    }
}

/// The configured limit on the exposure of a release on trial.
fn exposure_limit(node: &Node) -> ExposureLimit {
    let RolloutSettings { share, slack, .. } = node.settings.rollout;
    ExposureLimit { share, slack }
}

/// Advances the rollouts while this process is the leader.
pub(super) async fn run(node: Arc<Node>) {
    let mut timer = tokio::time::interval(CHECK_INTERVAL);
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut applied = node.board.follow_rollouts();
    let mut leading = node.board.follow_leading();
    loop {
        tokio::select! {
            _ = timer.tick() => {}
            Ok(()) = applied.changed() => {}
            Ok(()) = leading.changed() => {}
        }
        let Some(term) = node.leading_term().await else {
            continue;
        };
        let Some(command) = next_command(&node, term) else {
            continue;
        };
        match node.propose_here(command, PROPOSE_TIMEOUT).await {
            // Once the reply is here, the blackboard contains everything committed before this term.
            Some(Reply::Rollouts(_)) => {
                node.with_lead(term, |lead| {
                    lead.rollouts.update(node.board.rollouts());
                    lead.refresh_serving(true);
                });
                node.listed.notify_waiters();
            }
            Some(_) => {}
            None => tracing::warn!(event = "rollout_not_noted", term = %term),
        }
    }
}

/// The next command to propose: the initial read, a note of releases or a rollout step.
fn next_command(node: &Node, term: Term) -> Option<Command> {
    let limit = exposure_limit(node);
    let applied = node.board.rollouts();
    node.with_lead(term, |lead| {
        let now = lead.started_at.elapsed().as_secs_f64();
        let is_new = match &lead.rollouts.book {
            None => return Some(Command::ReadRollouts),
            Some(book) => !Arc::ptr_eq(book, &applied),
        };
        if is_new {
            lead.rollouts.update(applied);
        }
        lead.refresh_serving(is_new);
        if let Some(running) = lead.releases_to_store() {
            return Some(Command::NoteReleases(running));
        }
        if let Some(serving) = lead.serving_to_store() {
            for (service, it) in &serving {
                let beside: Vec<_> = it.beside.iter().map(Release::as_str).collect();
                tracing::info!(
                    event = "releases_serving", %service, in_force = %it.in_force, beside = beside.join(","), term = %term,
                );
            }
            return Some(Command::NoteServing(serving));
        }
        let (list, serving) = (&lead.list, &lead.serving);
        // Nothing is noted as exposed before boxes report their streams.
        let is_ready = |order: &RolloutOrder| {
            list.can_serve(&order.service, &order.release)
                && serving.word(&order.service) == SoleWord::Withdrawn
        };
        let (step, status) = lead.rollouts.due_step(now, UnixMillis::now().0, limit, is_ready)?;
        tracing::info!(
            event = "rollout_step", service = %step.service, phase = %step.phase, exposed = step.exposed,
            passed = status.elapsed, came = status.requests, verdict = ?status.verdict, term = %term,
        );
        Some(Command::StepRollout(step))
    })
}
