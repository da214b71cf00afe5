//! What a node tells about itself: logs as one key=value line an event, metrics, and a span for
//! each hop of a request.

mod gauges;
pub mod hops;
pub mod logs;
pub mod metrics;
pub mod volume;

pub use hops::{Hop, HopLog, TraceContext};
pub use metrics::Metrics;
