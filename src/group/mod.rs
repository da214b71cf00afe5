//! The replicated group: an own implementation in the Raft family (Ongaro, "Consensus: Bridging
//! Theory and Practice", 2014).
//!
//! - [`core`] is a pure state machine. It takes time, messages and proposals as arguments and gives
//!   back what to store, send and apply. It does no I/O, so its properties are tested on thousands
//!   of seeded schedules.
//! - [`log`] is the part of the log held in memory, [`progress`] what a leader knows of its peers.
//! - [`storage`] keeps the log and the hard state in the data folder, synced before anything that
//!   depends on it is said.
//! - [`driver`] is the actor that runs the core over storage and [`links`] to the other replicas;
//!   [`replica`] is the rest of the process's handle on it, and [`disk`] watches its disk.
//! - [`access`] is how the rest of a node proposes commands, wherever the leader is; [`follow`] is
//!   how a node without a disk keeps up with the configuration.
//!
//! What the core adds to plain Raft: pre-vote, check-quorum, a leader lease for reads, no vote
//! within a lease's time after a restart, an incarnation for each life of a disk, learners, and the
//! age of a majority's last confirmation, which tells every node how fresh its state is.

pub mod access;
pub mod core;
pub mod directory;
pub mod disk;
pub mod driver;
pub mod follow;
pub mod join;
pub mod links;
pub mod log;
pub mod message;
pub mod progress;
pub mod replica;
pub mod storage;
