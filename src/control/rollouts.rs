//! What operators ask of roll-outs, and what the leader does with them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::MissedTickBehavior;

use super::duties::SETTLE_TIME;
use super::publish::{self, is_complete, no_group, other_answer, unacknowledged};
use crate::decide::exposure::ExposureLimit;
use crate::decide::releases::{ReleaseUpdate, TrialGrant, TrialReport};
use crate::decide::rollout::{RolloutStatus, RolloutTracker, next_step};
use crate::error::{Failure, Kind};
use crate::ids::{BoxId, Incarnation, Release, ServiceName, Term};
use crate::node::Node;
use crate::settings::RolloutSettings;
use crate::state::rollout::{OrderReply, Phase, Rollout, RolloutBook, RolloutOrder, RolloutStep};
use crate::state::{Command, Reply};
use crate::units::UnixMillis;

/// How long the group may take to accept an order.
const ORDER_TIME: Duration = Duration::from_millis(2_500);

/// How long the group may take for a read.
const READ_TIME: Duration = Duration::from_millis(900);

/// Time between two looks of the leader at the roll-outs: a bad release is taken back within a beat of the
/// boxes and a look, 0.6 s, of the bound of some seconds.
const LOOK: Duration = Duration::from_millis(100);

/// Orders a roll-out; the roll-out as the group has it.
///
/// # Errors
/// [`Kind::BadRequest`] for an order that makes no sense, [`Kind::NotFound`] for a service that the
/// published document does not name, [`Kind::KeyConflict`] while another roll-out of the service is
/// under way, [`Kind::NoGroup`] when the group cannot be read, [`Kind::Unacknowledged`] when it does not
/// say whether it took the order.
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
    match node.access.propose(Command::OrderRollout(order), ORDER_TIME).await {
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
                    "a roll-out of {} to {} is under way",
                    rollout.order.service, rollout.order.release,
                );
                Err(Failure::new(Kind::InProgress, text))
            }
        },
        Ok(_) => Err(other_answer()),
        Err(error) => Err(unacknowledged(&error.to_string())),
    }
}

/// The last roll-out of a service. The read takes its place among all commands, so it is never an older
/// state.
///
/// # Errors
/// [`Kind::NotFound`] where there is none, [`Kind::NoGroup`] when the group does not answer.
pub async fn show(node: &Node, service: &ServiceName) -> Result<Rollout, Failure> {
    let found = read(node).await?.rollouts.get(service).cloned();
    found.ok_or_else(|| Failure::new(Kind::NotFound, format!("{service} has had no roll-out")))
}

/// Takes the roll-out of a service back; the roll-out as the group has it then. One that is over stays as
/// it ended.
///
/// # Errors
/// As for [`show`], and [`Kind::Unacknowledged`].
pub async fn abort(node: &Node, service: &ServiceName) -> Result<Rollout, Failure> {
    let rollout = show(node, service).await?;
    let step = rollout.step(Phase::RolledBack, rollout.exposed);
    match node.access.propose(Command::StepRollout(step), ORDER_TIME).await {
        Ok(Reply::StepRollout(Some(rollout))) => Ok(*rollout),
        Ok(_) => Err(other_answer()),
        Err(error) => Err(unacknowledged(&error.to_string())),
    }
}

async fn read(node: &Node) -> Result<Arc<RolloutBook>, Failure> {
    match node.access.propose(Command::ReadRollouts, READ_TIME).await {
        Ok(Reply::Rollouts(book)) => Ok(book),
        Ok(_) => Err(other_answer()),
        Err(error) => Err(no_group(&error.to_string())),
    }
}

/// The leader's part in all roll-outs.
#[derive(Default)]
pub(super) struct Rollouts {
    /// What the group knows; `None` until this leader is sure to have it.
    book: Option<Arc<RolloutBook>>,
    led: BTreeMap<ServiceName, RolloutTracker>,
}

impl Rollouts {
    /// Takes what the group knows.
    fn take(&mut self, book: Arc<RolloutBook>) {
        let is_running = |service: &ServiceName, led: &mut RolloutTracker| {
            let rollout = book.rollouts.get(service);
            rollout.is_some_and(|it| it.ordered == led.ordered() && !it.phase.is_over())
        };
        self.led.retain(is_running);
        self.book = Some(book);
    }

    fn running(&self) -> impl Iterator<Item = &Rollout> {
        self.book.iter().flat_map(|book| book.running())
    }

    /// Whether this leader is sure of what the group knows.
    pub(super) fn is_known(&self) -> bool {
        self.book.is_some()
    }

    /// The release in force of a service, where it is known.
    pub(super) fn in_force(&self, service: &ServiceName) -> Option<&Release> {
        self.book.as_ref()?.in_force.get(service)
    }

    /// Whether no roll-out is under way.
    pub(super) fn is_idle(&self) -> bool {
        self.running().next().is_none()
    }

    /// Whether a release of a service is being tried.
    pub(super) fn is_tried(&self, service: &ServiceName, release: &Release) -> bool {
        self.running().any(|it| it.order.service == *service && it.order.release == *release)
    }

    /// Takes a box's word; what it is told of the services' releases, nothing before this leader is sure.
    pub(super) fn hear(
        &mut self,
        now: f64,
        key: &(BoxId, Incarnation),
        words: &BTreeMap<ServiceName, TrialReport>,
    ) -> Option<BTreeMap<ServiceName, ReleaseUpdate>> {
        let book = self.book.clone()?;
        let in_force = book.in_force.iter().map(|(service, release)| {
            let word = ReleaseUpdate { in_force: Some(release.clone()), trial: None };
            (service.clone(), word)
        });
        let mut answers: BTreeMap<_, _> = in_force.collect();
        for rollout in book.running() {
            let service = &rollout.order.service;
            let word = words.get(service).filter(|word| word.ordered == rollout.ordered);
            let permits = word.map_or(0, |word| self.grant(now, key, rollout, word));
            let trial = TrialGrant {
                ordered: rollout.ordered,
                release: rollout.order.release.clone(),
                all_traffic: rollout.phase == Phase::Shift,
                permits,
                report_often: self
                    .led
                    .get(service)
                    .is_some_and(RolloutTracker::should_report_often),
            };
            answers.entry(service.clone()).or_default().trial = Some(trial);
        }
        Some(answers)
    }

    /// The permits that a box gets with the answer to its word.
    fn grant(
        &mut self,
        now: f64,
        key: &(BoxId, Incarnation),
        rollout: &Rollout,
        word: &TrialReport,
    ) -> u64 {
        let led = self
            .led
            .entry(rollout.order.service.clone())
            .or_insert_with(|| RolloutTracker::new(rollout));
        led.record_report(now, key.clone(), word, rollout, rand::random())
    }

    /// The step that is due, and what it goes by; `is_ready` says of which releases servers are there.
    fn next(
        &mut self,
        now: f64,
        at: u64,
        limit: ExposureLimit,
        is_ready: impl Fn(&RolloutOrder) -> bool,
    ) -> Option<(RolloutStep, RolloutStatus)> {
        let book = self.book.clone()?;
        book.running().find_map(|rollout| {
            let passed = at.saturating_sub(rollout.ordered) as f64 / 1_000.0;
            let led = self.led.get_mut(&rollout.order.service);
            next_step(rollout, led, now, passed, is_ready(&rollout.order), limit)
        })
    }
}

/// What the operators allow a release that may be bad.
pub(super) fn limit_of(node: &Node) -> ExposureLimit {
    let RolloutSettings { share, slack, .. } = node.settings.rollout;
    ExposureLimit { share, slack }
}

/// Carries the roll-outs on while this process leads.
pub(super) async fn keep(node: Arc<Node>) {
    let mut timer = tokio::time::interval(LOOK);
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
        match node.propose_here(command, SETTLE_TIME).await {
            // Behind the answer the blackboard has all that was decided before this term.
            Some(Reply::Rollouts(_)) => {
                node.with_lead(term, |lead| lead.rollouts.take(node.board.rollouts()));
                node.listed.notify_waiters();
            }
            Some(_) => {}
            None => tracing::warn!(event = "rollout_not_noted", term = %term),
        }
    }
}

fn next_command(node: &Node, term: Term) -> Option<Command> {
    let limit = limit_of(node);
    let applied = node.board.rollouts();
    node.with_lead(term, |lead| {
        let now = lead.started_at.elapsed().as_secs_f64();
        match &lead.rollouts.book {
            None => return Some(Command::ReadRollouts),
            Some(book) if !Arc::ptr_eq(book, &applied) => lead.rollouts.take(applied),
            Some(_) => {}
        }
        if let Some(running) = lead.releases_to_store() {
            return Some(Command::NoteReleases(running));
        }
        let list = &lead.list;
        let is_ready = |order: &RolloutOrder| list.can_serve(&order.service, &order.release);
        let (step, facts) = lead.rollouts.next(now, UnixMillis::now().0, limit, is_ready)?;
        tracing::info!(
            event = "rollout_step", service = %step.service, phase = %step.phase, exposed = step.exposed,
            passed = facts.elapsed, came = facts.requests, verdict = ?facts.verdict, term = %term,
        );
        Some(Command::StepRollout(step))
    })
}
