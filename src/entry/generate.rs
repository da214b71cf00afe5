//! Makes the attempts at engines until a generation is whole or cannot be finished.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::dispatch::{Chosen, Wanted};
use super::generation::{End, Generation};
use super::request::Completion;
use super::unrepeatable::{Once, Permission};
use crate::backend::Reuse;
use crate::backend::engine::{self, EngineFault, EngineStream, Extra, Target};
use crate::blackboard::fleet::Leaving;
use crate::decide::reclaim::{self, LeavingStream, ReclaimAction};
use crate::error::{Failure, Kind};
use crate::ids::AttemptId;
use crate::node::Node;
use crate::state::config::Class;
use crate::state::ledger::{Outcome, RecordedAnswer};
use crate::telemetry::TraceContext;
use crate::telemetry::hops::OpenHop;
use crate::units::Tokens;

/// Attempts at one request at most, moves away from leaving engines not counted.
const ATTEMPTS: u32 = 5;

/// Moves of one request at most.
const MOVES: u32 = 32;

/// Pause before another attempt, times the attempts made, at random up to that.
const BACKOFF: Duration = Duration::from_millis(20);

/// Time an export of a KV cache may take.
const EXPORT_TIME: Duration = Duration::from_millis(500);

/// Prompt blocks remembered for each engine.
const PREFIX_LIMIT: usize = 4_096;

/// How long a generation under a key goes on without a reader, so that its caller can come back.
pub const LINGER: Duration = Duration::from_secs(5);

/// All that is needed to make attempts.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The request.
    pub completion: Completion,
    /// The path, as the caller used it.
    pub path: String,
    /// What is wanted of an engine.
    pub wanted: Wanted,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// The ledger's part, for an unrepeatable request under a key.
    pub once: Option<Once>,
    /// How long an engine may be silent.
    pub silence: Duration,
    /// How long the generation goes on without a reader.
    pub linger: Duration,
    /// Where in the trace the attempts belong.
    pub trace: TraceContext,
}

/// Runs a generation to its end. Without readers it is cancelled after a while, unless it is
/// unrepeatable: its outcome is worth knowing.
pub async fn run(node: Arc<Node>, generation: Arc<Generation>, plan: Plan) {
    let linger = plan.linger;
    let keeps_on = !plan.repeatable;
    let mut attempts = Attempts::new(node, generation.clone(), plan);
    let end = tokio::select! {
        end = attempts.make() => end,
        () = abandoned(&generation, linger), if !keeps_on => {
            End::Failed(Failure::new(Kind::CallerGone, "the caller went away"))
        }
        // Another node goes on with it.
        () = generation.ended() => return,
    };
    generation.finish(end);
}

/// Returns when nobody has read the generation for `linger`.
async fn abandoned(generation: &Generation, linger: Duration) {
    let mut since = generation.follow_abandoned();
    loop {
        let at = *since.borrow_and_update();
        let left = match at {
            Some(at) => linger.saturating_sub(at.elapsed()),
            None => Duration::MAX,
        };
        if left.is_zero() {
            return;
        }
        tokio::select! {
            () = tokio::time::sleep(left.min(Duration::from_secs(3_600))) => {}
            changed = since.changed() => if changed.is_err() { return },
        }
    }
}

/// How one attempt ended.
enum AttemptEnd {
    Whole,
    /// The engine is leaving: go on elsewhere, with the KV cache if there is one.
    Move(Option<String>),
    Fault(EngineFault),
}

struct Attempts {
    node: Arc<Node>,
    generation: Arc<Generation>,
    plan: Plan,
    made: u32,
    faults: u32,
    moves: u32,
    /// Whether some attempt may have run.
    uncertain: bool,
    kv: Option<String>,
}

impl Attempts {
    fn new(node: Arc<Node>, generation: Arc<Generation>, plan: Plan) -> Self {
        // Pieces from another node are proof that the request ran.
        let uncertain = !generation.is_empty();
        Self { node, generation, plan, made: 0, faults: 0, moves: 0, uncertain, kv: None }
    }

    async fn make(&mut self) -> End {
        loop {
            let chosen = match self.node.dispatch.find(&self.plan.wanted).await {
                Ok(chosen) => chosen,
                Err(failure) => return End::Failed(self.adjust(failure)),
            };
            self.plan.wanted.accepted = true;
            let attempt = AttemptId::random();
            match self.permit(&chosen, &attempt).await {
                Ok(Permission::Go) => {}
                Ok(Permission::Answered(answer)) => return End::Recorded(answer),
                Err(failure) => return End::Failed(failure),
            }
            let began = Instant::now();
            let end = self.attempt(&chosen, &attempt).await;
            note(&self.node, &chosen, &self.plan.wanted, began.elapsed(), &end);
            self.made += 1;
            match self.judge(&chosen, &attempt, end).await {
                Some(end) => return end,
                None => self.back_off().await,
            }
        }
    }

    /// A refusal says that the request was not run; after an attempt that is not certain any more.
    fn adjust(&self, failure: Failure) -> Failure {
        match self.uncertain {
            true => Failure { kind: Kind::BackendBroke, ..failure },
            false => failure,
        }
    }

    async fn permit(&self, chosen: &Chosen, attempt: &AttemptId) -> Result<Permission, Failure> {
        match &self.plan.once {
            Some(once) => once.begin(&self.node, &chosen.id, attempt, self.plan.trace).await,
            None => Ok(Permission::Go),
        }
    }

    async fn attempt(&mut self, chosen: &Chosen, attempt: &AttemptId) -> AttemptEnd {
        let hop = OpenHop::begin("backend", &chosen.id, self.plan.trace);
        let extra = self.extra();
        let target = Target {
            addr: chosen.server.addr,
            path: &self.plan.path,
            silence: self.plan.silence.min(self.time_left()),
            reuse: if self.plan.repeatable { Reuse::Any } else { Reuse::Never },
            trace: hop.context,
        };
        let body = &self.plan.completion.body;
        let started = engine::start(&self.node.pool, &target, body, attempt, &extra).await;
        let end = match started {
            Ok(stream) => self.read(chosen, attempt, &target, stream).await,
            Err(fault) => AttemptEnd::Fault(fault),
        };
        hop.end(&self.node.board.hops, outcome_text(&end));
        end
    }

    fn time_left(&self) -> Duration {
        self.plan.wanted.deadline.saturating_duration_since(Instant::now())
    }

    fn extra(&mut self) -> Extra {
        let delivered = self.generation.len();
        Extra {
            priority: match self.plan.wanted.class {
                Class::Interactive => 0,
                Class::Batch => 1,
            },
            attempt: self.made,
            resume_tokens: delivered,
            resume_text: self.generation.text(),
            earlier_tokens: delivered,
            kv: self.kv.take(),
        }
    }

    /// Passes pieces on until the stream ends, breaks, or its engine is leaving.
    async fn read(
        &self,
        chosen: &Chosen,
        attempt: &AttemptId,
        target: &Target<'_>,
        mut stream: EngineStream,
    ) -> AttemptEnd {
        let mut leaving = chosen.state.follow_leaving();
        if chosen.state.leaving().is_some() {
            leaving.mark_changed();
        }
        let began = Instant::now();
        let first = self.generation.len();
        let deadline = tokio::time::Instant::from(self.plan.wanted.deadline);
        loop {
            tokio::select! {
                biased;
                piece = stream.next() => match piece {
                    Ok(Some(piece)) => self.generation.push(piece),
                    Ok(None) => return AttemptEnd::Whole,
                    Err(fault) => return AttemptEnd::Fault(fault),
                },
                () = tokio::time::sleep_until(deadline) => {
                    return AttemptEnd::Fault(EngineFault::Silent);
                }
                Ok(_) = leaving.changed() => {
                    let word = *leaving.borrow_and_update();
                    let Some(word) = word else {
                        continue;
                    };
                    let made = (self.generation.len() - first).max(1) as u32;
                    let between = began.elapsed() / made;
                    if let Some(end) = self.leave(word, between, target, attempt).await {
                        return end;
                    }
                }
            }
        }
    }

    /// The engine is leaving: `None` when the stream ends there in time.
    async fn leave(
        &self,
        word: Leaving,
        between: Duration,
        target: &Target<'_>,
        attempt: &AttemptId,
    ) -> Option<AttemptEnd> {
        let delivered = Tokens(self.generation.len() as u64);
        let output = self.plan.completion.output;
        let facts = LeavingStream {
            notice: word.gone.saturating_duration_since(Instant::now()),
            prompt_tokens: self.plan.wanted.need.prompt,
            delivered_tokens: delivered,
            remaining_tokens: output.less(delivered),
            token_interval: between,
            export_time: EXPORT_TIME,
            repeatable: self.plan.repeatable,
        };
        match reclaim::choose_action(&facts) {
            ReclaimAction::Finish => None,
            ReclaimAction::Resume => {
                self.node.metrics.count_resume("resume");
                Some(AttemptEnd::Move(None))
            }
            ReclaimAction::Export => {
                let target = Target { silence: EXPORT_TIME, ..*target };
                let kv = engine::export(&self.node.pool, &target, attempt).await.ok();
                self.node.metrics.count_resume(if kv.is_some() { "export" } else { "resume" });
                Some(AttemptEnd::Move(kv))
            }
        }
    }

    /// Decides what follows an attempt: the generation's end, or `None` for another attempt.
    async fn judge(
        &mut self,
        chosen: &Chosen,
        attempt: &AttemptId,
        end: AttemptEnd,
    ) -> Option<End> {
        match end {
            AttemptEnd::Whole => {
                self.record(attempt, Outcome::Done(self.answer())).await;
                Some(End::Whole)
            }
            AttemptEnd::Move(kv) => {
                self.moves += 1;
                self.uncertain = true;
                self.kv = kv;
                match self.moves > MOVES {
                    true => Some(broke("moved too often")),
                    false => None,
                }
            }
            AttemptEnd::Fault(fault) => {
                self.plan.wanted.tried.push(chosen.id.clone());
                self.faults += 1;
                self.judge_fault(attempt, fault).await
            }
        }
    }

    async fn judge_fault(&mut self, attempt: &AttemptId, fault: EngineFault) -> Option<End> {
        let proven = is_proven_not_run(&fault);
        self.uncertain |= !proven;
        let outcome = if proven { Outcome::NotRun } else { Outcome::Unknown };
        self.record(attempt, outcome).await;
        if self.may_try_again(&fault, proven) {
            return None;
        }
        Some(End::Failed(self.failure(&fault, proven)))
    }

    fn may_try_again(&self, fault: &EngineFault, proven: bool) -> bool {
        if is_callers_fault(fault) || self.faults >= ATTEMPTS || self.time_left().is_zero() {
            return false;
        }
        if proven {
            return true;
        }
        // A stream that has begun is finished whatever the budget: giving it up would waste more.
        let begun = !self.generation.is_empty();
        self.plan.repeatable && (begun || self.node.spend_retry())
    }

    fn failure(&self, fault: &EngineFault, proven: bool) -> Failure {
        let nothing_ran = proven && !self.uncertain;
        let kind = match fault {
            _ if nothing_ran && is_callers_fault(fault) => Kind::BadRequest,
            _ if nothing_ran => Kind::NotReached,
            EngineFault::Silent => Kind::BackendTimeout,
            EngineFault::Invalid(_) => Kind::BackendInvalid,
            _ => Kind::BackendBroke,
        };
        Failure::new(kind, fault.to_string())
    }

    async fn record(&self, attempt: &AttemptId, outcome: Outcome) {
        let Some(once) = &self.plan.once else {
            return;
        };
        if !once.end(&self.node, attempt, outcome).await {
            tracing::warn!(event = "outcome_not_recorded", attempt = %attempt);
        }
    }

    fn answer(&self) -> RecordedAnswer {
        RecordedAnswer {
            status: 200,
            content: "application/json".to_owned(),
            body: Some(self.generation.whole_value().to_string()),
        }
    }

    async fn back_off(&self) {
        if self.faults > 0 {
            let most = BACKOFF * self.faults;
            tokio::time::sleep(most.mul_f64(rand::random::<f64>())).await;
        }
    }
}

/// Takes note of how an attempt went, for the choices to come.
fn note(node: &Node, chosen: &Chosen, wanted: &Wanted, took: Duration, end: &AttemptEnd) {
    node.metrics.count_attempt(chosen.id.as_str(), outcome_text(end));
    match end {
        AttemptEnd::Whole | AttemptEnd::Move(_) => {
            chosen.state.succeed(took.as_secs_f64());
            chosen.state.record_prefixes(&wanted.prefixes, PREFIX_LIMIT);
        }
        AttemptEnd::Fault(fault) if is_callers_fault(fault) => {}
        AttemptEnd::Fault(fault) => {
            let ejected = chosen.state.fail();
            tracing::info!(event = "attempt_failed", backend_server = %chosen.id, ejected, %fault);
        }
    }
}

fn outcome_text(end: &AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::Whole => "whole",
        AttemptEnd::Move(Some(_)) => "exported",
        AttemptEnd::Move(None) => "moved",
        AttemptEnd::Fault(EngineFault::NotRun(_)) => "not_run",
        AttemptEnd::Fault(EngineFault::Broke(_)) => "broke",
        AttemptEnd::Fault(EngineFault::Silent) => "silent",
        AttemptEnd::Fault(EngineFault::Invalid(_)) => "invalid",
        AttemptEnd::Fault(EngineFault::Refused(..)) => "refused",
    }
}

/// A fault after which the request certainly did not run: nothing was sent, the engine says so, or
/// its status says that it takes no such request (400, 404, 413, 422) or none at the moment (429).
fn is_proven_not_run(fault: &EngineFault) -> bool {
    match fault {
        EngineFault::NotRun(_) => true,
        EngineFault::Refused(status, _) => *status == 429 || is_callers_fault(fault),
        EngineFault::Broke(_) | EngineFault::Silent | EngineFault::Invalid(_) => false,
    }
}

/// Whether the request itself is at fault, so that no other engine would take it.
fn is_callers_fault(fault: &EngineFault) -> bool {
    matches!(fault, EngineFault::Refused(400 | 404 | 413 | 422, _))
}

fn broke(text: &str) -> End {
    End::Failed(Failure::new(Kind::BackendBroke, text))
}
