//! The outgoing edge: backend servers, met by HTTP/1.1. Nothing is decided here.
//!
//! Everything that goes out says afterwards what is known of it: [`SendFault::NotSent`] is proof
//! that no byte of the request left; anything else leaves open whether the request ran.

pub mod engine;
pub mod fields;
pub mod head;
mod joined;
mod limited;
pub mod marks;
pub mod pool;
pub mod sse;

pub use limited::AnswerExcess;
pub use pool::{ConnectionUse, Exchange, IDLE_TOTAL, Pool, RequestTag, Reuse, SendFault, Unsent};
