//! A span for each hop of a request, carried between hops by the `traceparent` header (W3C Trace
//! Context, level 1).
//!
//! A finished hop is logged and kept in a ring, from which `emberturn trace` collects it.

use std::collections::VecDeque;
use std::fmt;
use std::str::FromStr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::sync::lock;
use crate::units::UnixMillis;

/// Finished hops a node remembers.
const RING_LENGTH: usize = 4096;

/// The header that carries the context.
pub const HEADER: &str = "traceparent";

/// Where in a trace something happens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TraceContext {
    /// The trace.
    pub trace: u128,
    /// The span within it.
    pub span: u64,
}

impl TraceContext {
    /// The first span of a new trace.
    pub fn root() -> Self {
        Self { trace: rand::random::<u128>().max(1), span: rand::random::<u64>().max(1) }
    }

    /// A new span of the same trace.
    pub fn child(self) -> Self {
        Self { trace: self.trace, span: rand::random::<u64>().max(1) }
    }

    /// The trace's id in hexadecimal.
    pub fn trace_text(self) -> String {
        format!("{:032x}", self.trace)
    }
}

impl fmt::Display for TraceContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "00-{:032x}-{:016x}-01", self.trace, self.span)
    }
}

/// A header that does not hold a trace context.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("not a traceparent")]
pub struct ContextError;

impl FromStr for TraceContext {
    type Err = ContextError;

    fn from_str(text: &str) -> Result<Self, ContextError> {
        let parts: Vec<_> = text.split('-').collect();
        let ["00", trace, span, _flags] = parts.as_slice() else {
            return Err(ContextError);
        };
        if trace.len() != 32 || span.len() != 16 {
            return Err(ContextError);
        }
        let trace = u128::from_str_radix(trace, 16).map_err(|_| ContextError)?;
        let span = u64::from_str_radix(span, 16).map_err(|_| ContextError)?;
        match trace == 0 || span == 0 {
            true => Err(ContextError),
            false => Ok(Self { trace, span }),
        }
    }
}

/// One finished hop.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hop {
    /// The trace, in hexadecimal.
    pub trace: String,
    /// The span, in hexadecimal.
    pub span: String,
    /// The span it belongs to, in hexadecimal.
    pub parent: String,
    /// What the hop did, such as `entry` or `backend`.
    pub name: String,
    /// With whom: a box or a backend server.
    pub place: String,
    /// How it ended.
    pub outcome: String,
    /// When it began, in milliseconds since the Unix epoch.
    pub began: u64,
    /// How long it took, in microseconds.
    pub micros: u64,
}

/// A hop under way.
#[derive(Debug)]
pub struct OpenHop {
    /// Its place in the trace.
    pub context: TraceContext,
    parent: u64,
    name: &'static str,
    place: String,
    began: Instant,
}

impl OpenHop {
    /// Begins a hop under `parent`.
    pub fn begin(name: &'static str, place: impl fmt::Display, parent: TraceContext) -> Self {
        let place = place.to_string();
        let context = parent.child();
        Self { context, parent: parent.span, name, place, began: Instant::now() }
    }

    /// How long the hop has taken so far.
    pub fn elapsed(&self) -> Duration {
        self.began.elapsed()
    }

    /// Ends the hop, logs it and keeps it in `log`.
    pub fn end(self, log: &HopLog, outcome: impl fmt::Display) {
        let elapsed = self.began.elapsed();
        let hop = Hop {
            trace: self.context.trace_text(),
            span: format!("{:016x}", self.context.span),
            parent: format!("{:016x}", self.parent),
            name: self.name.to_owned(),
            place: self.place,
            outcome: outcome.to_string(),
            began: UnixMillis::now().0.saturating_sub(elapsed.as_millis() as u64),
            micros: elapsed.as_micros() as u64,
        };
        tracing::debug!(
            event = "hop",
            trace = hop.trace,
            span = hop.span,
            parent = hop.parent,
            name = hop.name,
            place = hop.place,
            outcome = hop.outcome,
            micros = hop.micros,
        );
        log.keep(hop);
    }
}

/// The latest finished hops of a node.
#[derive(Debug, Default)]
pub struct HopLog {
    ring: Mutex<VecDeque<Hop>>,
}

impl HopLog {
    fn keep(&self, hop: Hop) {
        let mut ring = lock(&self.ring);
        if ring.len() == RING_LENGTH {
            ring.pop_front();
        }
        ring.push_back(hop);
    }

    /// The hops of one trace, in the order they ended.
    pub fn of_trace(&self, trace: &str) -> Vec<Hop> {
        let ring = lock(&self.ring);
        ring.iter().filter(|hop| hop.trace == trace).cloned().collect()
    }
}
