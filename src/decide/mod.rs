//! The decisions: pure functions and state machines that take time, randomness and what is known as
//! arguments and do no I/O.
//!
//! - [`absence`], [`hazard`]: which data centres have no reclaimable engines, for how long, and which may be
//!   next.
//! - [`memory`]: what a box keeps in memory, and when it takes no more; [`slowness`]: whom it lets go.
//! - [`pause`]: the pauses that servers ask a box for.
//! - [`policy`]: operators' short programs that say where work goes and what may wait.
//! - [`admission`]: whether a request may run now, within its team's limits.
//! - [`allowance`], [`token_bucket`]: a team's rate limit, on one box and over all boxes.
//! - [`engine`], [`capacity`]: what engines can do, learned, and how many a load is worth.
//! - [`certainty`]: what a box may say by the routes and keys that it holds.
//! - [`choose`]: which engine a relay sends to; [`faults`]: which ones it passes over for a route.
//! - [`distance`]: how far data centres are, learned; [`spill`]: when requests leave their region.
//! - [`filling`]: which engines have memory left for a request.
//! - [`ends`]: under which requests servers ended; [`quarantine`]: which requests no server gets any more.
//! - [`exposure`], [`verdict`]: how far a new release goes, and whether it is bad; [`releases`] and [`rollout`]
//!   are what a box and the leader make of it.
//! - [`presence`]: how many relays there are, as a leader can tell.
//! - [`retry_budgets`]: how many requests a relay may retry, by service.
//! - [`lives`]: which life a server is in, and when a box asks it.
//! - [`loads`]: what servers' loads a box is told.
//! - [`subset`]: which servers of a large fleet a box knows.
//! - [`queue`]: which waiting request is next when capacity becomes available.
//! - [`route`]: which backend server takes a request.
//! - [`retry`]: how many further attempts an entry node may make.
//! - [`reclaim`]: what becomes of a stream whose engine is leaving.
//! - [`share`]: which share of a fleet-wide limit each node may use.
//! - [`orders`]: what orders for engines stand for until the list shows it.
//! - [`spend`]: how many engines a service is to have, where, of which kind.
//! - [`intervals`]: how often boxes report to the leader and look for a lost one.
//! - [`nearest`]: which replica a box follows the configuration at.
//! - [`report_delta`]: incremental reports of a box to the leader.
//! - [`throttle`], [`limit_leases`]: the request limits that backend servers announce, at a box and over all boxes.
//! - [`topology`]: which data centres make up which region, and how far they are.

pub mod absence;
pub mod admission;
pub mod allowance;
pub mod capacity;
pub mod certainty;
pub mod choose;
pub mod distance;
pub mod ends;
pub mod engine;
pub mod exposure;
pub mod faults;
pub mod filling;
pub mod hazard;
pub mod intervals;
pub mod limit_leases;
pub mod lives;
pub mod loads;
pub mod memory;
pub mod nearest;
pub mod orders;
pub mod pause;
pub mod policy;
pub mod presence;
pub mod quarantine;
pub mod queue;
pub mod reclaim;
pub mod releases;
pub mod report_delta;
pub mod retry;
pub mod retry_budgets;
pub mod rollout;
pub mod route;
pub mod share;
pub mod slowness;
pub mod spend;
pub mod spill;
pub mod subset;
pub mod throttle;
pub mod token_bucket;
pub mod topology;
pub mod verdict;
