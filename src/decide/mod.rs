//! Decision logic: pure functions and state machines. They take the time, random numbers and the known
//! state as arguments, and do no I/O.
//!
//! - [`absence`], [`hazard`]: which data centres currently have no reclaimable engines, for how long, and
//!   which may be next.
//! - [`memory`]: memory accounting of a box, and when it accepts no more; [`slowness`]: which slow
//!   callers it disconnects; [`answer_room`]: which large answers it reads at the same time.
//! - [`pause`]: the pauses that servers ask a box for; [`brittle`]: servers that fall over when they reject too much.
//! - [`paths`]: which servers a box reaches over its own links; [`proxies`], [`proxy_directory`]: through which boxes it
//!   reaches the others.
//! - [`policy`]: operators' programs that decide where requests may run and whether they may wait.
//! - [`admission`]: whether a request may run now, within its team's limits.
//! - [`allowance`], [`token_bucket`]: a team's rate limit, on one box and over all boxes.
//! - [`engine`], [`capacity`]: learned performance of engines, and how many engines a load requires.
//! - [`certainty`]: which answers a box may give, depending on the age of its routes and keys.
//! - [`completeness`]: whether an answer whose bytes have ended is complete.
//! - [`choose`]: which backend server a relay sends a request to; [`faults`]: which servers it avoids
//!   for a route.
//! - [`distance`]: learned network distances between data centres; [`spill`]: when requests leave
//!   their region.
//! - [`filling`]: which engines have memory left for a request.
//! - [`ends`]: under which requests servers crashed; [`quarantine`]: which requests are no longer sent to
//!   any server.
//! - [`exposure`], [`verdict`]: how many requests a release on trial may get, and whether it is bad;
//!   [`releases`] and [`rollout`]: roll-outs at a box and at the leader.
//! - [`origins`]: which release began a stream, for callers that come back for its rest; [`origin_shares`]: which of
//!   them the other replicas have still to be told.
//! - [`presence`]: how many relays there are, as far as a leader knows.
//! - [`retry_budgets`]: how many requests a relay may retry, by service.
//! - [`lives`]: which incarnation a server is in, and when to check for a restart.
//! - [`loads`]: which load reports of servers a box receives.
//! - [`subset`]: which servers of a large fleet a box keeps track of.
//! - [`queue`]: which waiting request is next when capacity becomes available.
//! - [`route`]: which backend server takes a generation request.
//! - [`retry`]: how many further attempts an entry node may make.
//! - [`reclaim`]: what happens to a stream whose engine is being reclaimed.
//! - [`sends`]: what the sends of a request prove about it.
//! - [`serving`]: which releases get new requests without an order.
//! - [`share`]: which share of a fleet-wide limit each node may use.
//! - [`stop`]: which requests a box still accepts while it stops.
//! - [`orders`]: ordered engines that the platform's list does not show yet.
//! - [`spend`]: how many engines of which kind each service gets, and where.
//! - [`intervals`]: how often boxes report to the leader and look for a lost one.
//! - [`membership`]: which voters of the replicated group are replaced, and by which learners.
//! - [`nearest`]: from which replica a box follows the configuration.
//! - [`report_delta`]: incremental reports of a box to the leader.
//! - [`throttle`], [`limit_leases`]: the request limits that backend servers announce, at a box and over all boxes.
//! - [`topology`]: which data centres belong to which region, and the distances between them.

pub mod absence;
pub mod admission;
pub mod allowance;
pub mod answer_room;
pub mod brittle;
pub mod capacity;
pub mod certainty;
pub mod choose;
pub mod completeness;
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
pub mod membership;
pub mod memory;
pub mod nearest;
pub mod note_pace;
pub mod orders;
pub mod origin_shares;
pub mod origins;
pub mod paths;
pub mod pause;
pub mod policy;
pub mod presence;
pub mod proxies;
pub mod proxy_directory;
pub mod quarantine;
pub mod queue;
pub mod reclaim;
pub mod releases;
pub mod report_delta;
pub mod retry;
pub mod retry_budgets;
pub mod rollout;
pub mod route;
pub mod sends;
pub mod serving;
pub mod share;
pub mod slowness;
pub mod spend;
pub mod spill;
pub mod stop;
pub mod subset;
pub mod throttle;
pub mod token_bucket;
pub mod topology;
pub mod verdict;
