//! The closed list of error kinds, and the one table from kind to answer.
//!
//! Every answer a caller gets says one of three things about its request: it was *done*, it was
//! *not run*, or its outcome is *unknown*. *Not run* is said only with proof, so each kind fixes
//! its run-state here and nowhere else. Callers take the statuses 408, 421, 429 and 503 as the word that
//! the request has not run and never will, so only kinds that are *not run* have them.

use std::fmt;
use std::time::Duration;

use hyper::StatusCode;
use serde::{Deserialize, Serialize};

/// What is known about whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// The request ran and its answer is whole.
    Done,
    /// Proof exists that no backend server ran the request.
    NotRun,
    /// Neither is known.
    Unknown,
}

impl fmt::Display for RunState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Done => "done",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        })
    }
}

/// Every reason for which a caller gets something else than its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The request cannot be read: bad JSON, a bad header, a missing field.
    BadRequest,
    /// The bearer key belongs to no team.
    UnknownKey,
    /// No such path, service, model or kept work.
    NotFound,
    /// The path does not take this method.
    BadMethod,
    /// The body is larger than the limit.
    TooLarge,
    /// The head is larger than the limit.
    HeadTooLarge,
    /// The caller sent its request too slowly.
    SlowCaller,
    /// The same idempotency key came with another body.
    KeyConflict,
    /// The same request is running now; ask again.
    InProgress,
    /// An earlier attempt at the same unrepeatable request has an unknown outcome.
    EarlierUnknown,
    /// The team's concurrent requests are at its limit.
    ConcurrencyLimit,
    /// The team's tokens in flight are at its limit.
    BudgetLimit,
    /// The team's tokens a second are at its limit.
    RateLimit,
    /// The waiting queue is full.
    QueueLimit,
    /// The request cannot be answered before its deadline.
    DeadlineUnreachable,
    /// The policy refuses the request.
    PolicyRefused,
    /// No backend server of the service takes work.
    NoBackend,
    /// Several releases may have begun the stream that the caller comes back for.
    OriginUnknown,
    /// Every backend server tried was not reached or refused with proof.
    NotReached,
    /// The node is stopping.
    Draining,
    /// The node has more callers than it may have.
    TooManyCallers,
    /// The node has no memory left for the request.
    NoMemory,
    /// The node has been out of contact with the configuration for too long.
    StaleConfiguration,
    /// The replicated group cannot be asked, or could not say what it holds; nothing was asked of it that
    /// changes anything.
    NoGroup,
    /// The replicated group did not say in time whether it took a change.
    Unacknowledged,
    /// The ledger could not record the attempt, so it was not made.
    LedgerUnavailable,
    /// The ledger holds as many entries as it may.
    LedgerFull,
    /// Backend servers ended under the request; it is kept from all others.
    Quarantined,
    /// A backend server broke off after the request may have run.
    BackendBroke,
    /// A backend server did not answer in time after the request may have run.
    BackendTimeout,
    /// The node stopped before the answer came.
    Stopped,
    /// A backend server's answer is larger than the limit or breaks the protocol.
    BackendInvalid,
    /// Another node goes on with the stream; the caller comes back with its key.
    HandedOver,
    /// Nobody holds the stream the caller comes back for; another answer may differ from its beginning.
    StreamLost,
    /// This node does not hold the stream another node asked it for.
    NoStream,
    /// The caller went away.
    CallerGone,
    /// A defect of emberturn's own.
    Internal,
}

/// One row of the table from kind to answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerRow {
    /// The HTTP status.
    pub status: StatusCode,
    /// The code in the body.
    pub code: &'static str,
    /// What is known about the request.
    pub run: RunState,
    /// Whether the same request may be sent again with a chance of success.
    pub again: bool,
}

const fn row(status: u16, code: &'static str, run: RunState, again: bool) -> AnswerRow {
    match StatusCode::from_u16(status) {
        Ok(status) => AnswerRow { status, code, run, again },
        Err(_) => panic!("not an HTTP status"),
    }
}

impl Kind {
    /// Every kind, in the order of the table.
    pub const ALL: [Self; 37] = [
        Self::BadRequest,
        Self::UnknownKey,
        Self::NotFound,
        Self::BadMethod,
        Self::TooLarge,
        Self::HeadTooLarge,
        Self::SlowCaller,
        Self::KeyConflict,
        Self::InProgress,
        Self::EarlierUnknown,
        Self::ConcurrencyLimit,
        Self::BudgetLimit,
        Self::RateLimit,
        Self::QueueLimit,
        Self::DeadlineUnreachable,
        Self::PolicyRefused,
        Self::NoBackend,
        Self::OriginUnknown,
        Self::NotReached,
        Self::Draining,
        Self::TooManyCallers,
        Self::NoMemory,
        Self::StaleConfiguration,
        Self::NoGroup,
        Self::Unacknowledged,
        Self::LedgerUnavailable,
        Self::LedgerFull,
        Self::Quarantined,
        Self::BackendBroke,
        Self::BackendTimeout,
        Self::Stopped,
        Self::BackendInvalid,
        Self::HandedOver,
        Self::StreamLost,
        Self::NoStream,
        Self::CallerGone,
        Self::Internal,
    ];

    /// The kind's answer.
    pub const fn answer(self) -> AnswerRow {
        use RunState::{NotRun, Unknown};
        match self {
            Self::BadRequest => row(400, "bad_request", NotRun, false),
            Self::UnknownKey => row(401, "unknown_key", NotRun, false),
            Self::NotFound => row(404, "not_found", NotRun, false),
            Self::BadMethod => row(405, "bad_method", NotRun, false),
            Self::TooLarge => row(413, "too_large", NotRun, false),
            Self::HeadTooLarge => row(431, "head_too_large", NotRun, false),
            Self::SlowCaller => row(408, "slow_caller", NotRun, true),
            Self::KeyConflict => row(422, "key_conflict", NotRun, false),
            Self::InProgress => row(409, "in_progress", Unknown, true),
            Self::EarlierUnknown => row(409, "outcome_unknown", Unknown, false),
            Self::ConcurrencyLimit => row(429, "concurrency_limit", NotRun, true),
            Self::BudgetLimit => row(429, "budget_limit", NotRun, true),
            Self::RateLimit => row(429, "rate_limit", NotRun, true),
            Self::QueueLimit => row(503, "queue_limit", NotRun, true),
            Self::DeadlineUnreachable => row(503, "deadline_unreachable", NotRun, true),
            Self::PolicyRefused => row(403, "policy_refused", NotRun, false),
            Self::NoBackend => row(503, "no_backend", NotRun, true),
            Self::OriginUnknown => row(503, "origin_unknown", NotRun, true),
            Self::NotReached => row(503, "not_reached", NotRun, true),
            Self::Draining => row(503, "draining", NotRun, true),
            Self::TooManyCallers => row(503, "too_many_callers", NotRun, true),
            Self::NoMemory => row(503, "no_memory", NotRun, true),
            Self::StaleConfiguration => row(503, "stale_configuration", NotRun, true),
            Self::NoGroup => row(503, "no_group", NotRun, true),
            Self::Unacknowledged => row(504, "unacknowledged", Unknown, true),
            Self::LedgerUnavailable => row(503, "ledger_unavailable", NotRun, true),
            Self::LedgerFull => row(503, "ledger_full", NotRun, true),
            Self::Quarantined => row(503, "quarantined", NotRun, false),
            Self::BackendBroke => row(502, "backend_broke", Unknown, true),
            Self::BackendTimeout => row(504, "backend_timeout", Unknown, true),
            Self::Stopped => row(504, "stopped", Unknown, true),
            Self::BackendInvalid => row(502, "backend_invalid", Unknown, false),
            Self::HandedOver => row(409, "handed_over", Unknown, true),
            Self::StreamLost => row(410, "stream_lost", Unknown, true),
            Self::NoStream => row(404, "no_stream", NotRun, false),
            Self::CallerGone => row(499, "caller_gone", Unknown, true),
            Self::Internal => row(500, "internal", Unknown, true),
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.answer().code)
    }
}

/// A request's failure: its kind, a sentence for the caller, and when to come back if that is known.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{kind}: {detail}")]
pub struct Failure {
    /// The kind, which fixes status and run-state.
    pub kind: Kind,
    /// What happened, in a sentence.
    pub detail: String,
    /// When the caller may come back, where a measured rate gives an honest figure.
    pub retry_after: Option<Duration>,
}

impl Failure {
    /// A failure without a time to come back.
    pub fn new(kind: Kind, detail: impl Into<String>) -> Self {
        Self { kind, detail: detail.into(), retry_after: None }
    }

    /// The same failure with a time to come back.
    pub fn after(mut self, wait: Option<Duration>) -> Self {
        self.retry_after = wait;
        self
    }
}
