//! Emberturn.

#![warn(missing_docs)]

pub mod backend;
pub mod blackboard;
pub mod cmd;
pub(crate) mod control;
pub mod decide;
pub mod entry;
pub mod error;
pub mod group;
pub mod ids;
pub mod member;
pub mod node;
pub mod peer;
pub mod platform;
pub mod settings;
pub mod state;
pub mod telemetry;
pub mod units;
