//! Emberturn serves language models on machines that may be taken back at any moment.
//!
//! Small entry boxes stand between callers and backend servers and answer for outcomes. A process is
//! a [`node`]; its [`settings`] give its roles.
//!
//! # A tour
//!
//! A caller's request comes in at [`entry`]. It is read, its team is found in the configuration, a
//! policy rules on it, it is admitted within the team's limits and waits, if it must, for a backend
//! server: all of these are pure functions in [`decide`], fed from the [`blackboard`]. An attempt goes
//! out through [`backend`]; what is known of it afterwards decides what the caller is told, by the
//! one table in [`error`]. An answer being generated lives on its own: attempts and callers'
//! connections come and go.
//!
//! What must survive is in [`state`]: the configuration, the ledger of unrepeatable requests, kept
//! work. It is replicated by [`group`], our own Raft. Which boxes are there and which backend servers
//! are leaving travels by gossip, in [`member`]. [`boxlist`] is the cloud's box list. Nodes and
//! operators talk through [`peer`]; [`cmd`] is the command line, [`telemetry`] logs, metrics and
//! traces. Leases and ages go by [`clock`], which counts the time of suspensions.
//!
//! # An example
//!
//! Settings are checked as a whole; every fault is named:
//!
//! ```
//! use emberturn::settings::Settings;
//!
//! let text = "[node]\nbox_id = entry-1\nrole = entry\n[replicas]\nentry-2 = 10.0.0.2:7080\n";
//! let error = Settings::parse("node.ini", text).unwrap_err();
//! assert_eq!(error.faults[0], "node.ini: [node] data_centre is missing");
//! assert!(error.faults[1].starts_with("node.ini: [node] role is not known here"));
//! ```

#![warn(missing_docs)]

pub mod backend;
pub mod blackboard;
pub mod boxlist;
pub mod clock;
pub mod cmd;
pub(crate) mod control;
pub mod decide;
pub mod entry;
pub mod error;
pub mod group;
pub mod http;
pub mod ids;
pub mod member;
pub mod node;
pub mod obstacle;
pub mod peer;
#[path = "../platform/mod.rs"]
pub mod platform;
pub mod relay;
pub mod settings;
pub mod state;
pub(crate) mod sync;
pub mod tasks;
pub mod telemetry;
pub mod units;
