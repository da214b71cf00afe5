//! Tracks which backend servers this box reaches over its own links.
//!
//! A server that this box cannot connect to may be down, or the path to it may be lost. Another box tells which: a
//! server that it reaches is *blocked* for this box only. Once several servers of a service are blocked and no new
//! connection to the service has opened since, the box's path to the whole service counts as lost, and requests no
//! longer wait for connections that will not open. Requests for blocked servers go through another box.
//!
//! Probes find out when a path is back. A path that was lost again soon after it came back has to pass more of them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::ids::{BackendId, ServiceName};

/// Blocked servers of a service from which on its path counts as lost. A single one may have a fault of its own, such
/// as a full queue of new connections.
const BLOCKED_TO_LOSE: usize = 2;

/// Successful probes in a row, of different servers, after which a lost path is back. Where only some servers are
/// unreachable, fewer would often miss those.
const PROBES_TO_RESTORE: u32 = 3;

/// The most successful probes that are asked for.
const MAX_PROBES_TO_RESTORE: u32 = 12;

/// A path that is lost again within this time after it came back has to pass twice as many probes.
const UNSTABLE_TIME: Duration = Duration::from_secs(10);

/// Time between two probes of a lost path.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// The longest time between two probes of one blocked server.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(4);

/// The most blocked servers that are probed at the same time.
const MAX_PROBES_AT_ONCE: usize = 4;

/// How a request reaches a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Path {
    /// Over this box's own links.
    Direct,
    /// Through another box.
    Proxied,
}

/// A change of the path to a whole service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathChange {
    /// The path was lost.
    Lost {
        /// The number of servers that other boxes reach and this one does not.
        blocked: usize,
    },
    /// The path is back.
    Restored {
        /// For how long it was lost.
        after: Duration,
    },
}

/// A server that other boxes reach and this one does not.
#[derive(Debug, Clone, Copy)]
struct BlockedServer {
    since: Instant,
    next_probe: Instant,
    interval: Duration,
}

/// A path that is lost.
#[derive(Debug)]
struct LostPath {
    since: Instant,
    next_probe: Instant,
    /// The servers that this box reaches nevertheless, by their last probes.
    reachable: BTreeSet<BackendId>,
    /// How many probes opened a connection in a row.
    passed: u32,
}

/// The paths to the servers of one service.
#[derive(Debug)]
struct ServicePaths {
    blocked: BTreeMap<BackendId, BlockedServer>,
    lost: Option<LostPath>,
    /// When a new connection opened last.
    opened_at: Option<Instant>,
    /// When the path was found to be lost, or a server to be blocked, for the last time.
    impaired_at: Instant,
    restored_at: Option<Instant>,
    /// Successful probes that a lost path has to pass.
    required: u32,
}

impl ServicePaths {
    fn new(now: Instant) -> Self {
        Self {
            blocked: BTreeMap::new(),
            lost: None,
            opened_at: None,
            impaired_at: now,
            restored_at: None,
            required: PROBES_TO_RESTORE,
        }
    }

    fn lose(&mut self, now: Instant) {
        let is_unstable = self.restored_at.is_some_and(|at| now < at + UNSTABLE_TIME);
        self.required = match is_unstable {
            true => (self.required * 2).min(MAX_PROBES_TO_RESTORE),
            false => PROBES_TO_RESTORE,
        };
        let next_probe = now + PROBE_INTERVAL;
        let reachable = BTreeSet::new();
        self.lost = Some(LostPath { since: now, next_probe, reachable, passed: 0 });
    }

    fn restore(&mut self, now: Instant) -> Option<PathChange> {
        let lost = self.lost.take()?;
        self.blocked.clear();
        (self.opened_at, self.restored_at) = (Some(now), Some(now));
        Some(PathChange::Restored { after: now.saturating_duration_since(lost.since) })
    }

    /// Whether probes of a lost path of a service with `listed` servers have shown that it is back.
    fn has_passed(&self, listed: usize) -> bool {
        let distinct = (PROBES_TO_RESTORE as usize).min(listed.max(1));
        self.lost
            .as_ref()
            .is_some_and(|lost| lost.passed >= self.required && lost.reachable.len() >= distinct)
    }
}

/// The paths of this box to all services.
#[derive(Debug, Default)]
pub struct Paths {
    services: BTreeMap<ServiceName, ServicePaths>,
    /// When the paths of a service whose servers were silent were checked last.
    checked_at: BTreeMap<ServiceName, Instant>,
}

impl Paths {
    /// How a request reaches a server.
    pub fn path(&self, service: &ServiceName, server: &BackendId) -> Path {
        let Some(paths) = self.services.get(service) else {
            return Path::Direct;
        };
        let is_reached = match &paths.lost {
            Some(lost) => lost.reachable.contains(server),
            None => !paths.blocked.contains_key(server),
        };
        if is_reached { Path::Direct } else { Path::Proxied }
    }

    /// Whether the path to a whole service is lost.
    pub fn is_lost(&self, service: &ServiceName) -> bool {
        self.services.get(service).is_some_and(|paths| paths.lost.is_some())
    }

    /// The services whose path is lost.
    pub fn lost_services(&self) -> Vec<ServiceName> {
        let lost = self.services.iter().filter(|(_, paths)| paths.lost.is_some());
        lost.map(|(service, _)| service.clone()).collect()
    }

    /// The number of blocked servers of services whose path is not lost.
    pub fn blocked_count(&self) -> usize {
        let partial = self.services.values().filter(|paths| paths.lost.is_none());
        partial.map(|paths| paths.blocked.len()).sum()
    }

    /// Whether this box failed to reach servers of a service at any time from `since` on, so that failures of then may
    /// not be the servers' own.
    pub fn was_impaired(&self, service: &ServiceName, since: Instant) -> bool {
        self.services.get(service).is_some_and(|paths| {
            paths.lost.is_some() || !paths.blocked.is_empty() || paths.impaired_at >= since
        })
    }

    /// Whether the paths of a service may be checked now, `interval` after the last time or later. Counts as a check.
    pub fn begin_check(&mut self, service: &ServiceName, now: Instant, interval: Duration) -> bool {
        let is_due = self.checked_at.get(service).is_none_or(|at| *at + interval <= now);
        if is_due && !self.is_lost(service) {
            self.checked_at.insert(service.clone(), now);
            return true;
        }
        false
    }

    /// Records that a new connection to a server opened, other than for a probe.
    pub fn record_open(&mut self, service: &ServiceName, server: &BackendId, now: Instant) {
        let Some(paths) = self.services.get_mut(service) else {
            return;
        };
        paths.opened_at = Some(now);
        paths.blocked.remove(server);
    }

    /// Records that another box reaches a server to which this box could not connect. `listed` is the number of
    /// servers of the service.
    pub fn record_blocked(
        &mut self,
        service: &ServiceName,
        server: &BackendId,
        listed: usize,
        now: Instant,
    ) -> Option<PathChange> {
        let new = || ServicePaths::new(now);
        let paths = self.services.entry(service.clone()).or_insert_with(new);
        paths.impaired_at = now;
        if let Some(lost) = &mut paths.lost {
            lost.reachable.remove(server);
        }
        let (interval, next_probe) = (PROBE_INTERVAL, now + PROBE_INTERVAL);
        paths.blocked.entry(server.clone()).or_insert(BlockedServer {
            since: now,
            next_probe,
            interval,
        });
        let opened_at = paths.opened_at;
        let is_recent = |it: &&BlockedServer| opened_at.is_none_or(|at| at < it.since);
        let blocked = paths.blocked.values().filter(is_recent).count();
        if paths.lost.is_some() || blocked < BLOCKED_TO_LOSE.min(listed.max(1)) {
            return None;
        }
        paths.lose(now);
        Some(PathChange::Lost { blocked })
    }

    /// The servers to probe now: one of each service whose path is lost, chosen by `random` from 0 to 1 among the
    /// `listed` ones, and blocked ones of other services.
    pub fn due_probes(
        &mut self,
        now: Instant,
        listed: impl Fn(&ServiceName) -> Vec<BackendId>,
        random: impl Fn() -> f64,
    ) -> Vec<(ServiceName, BackendId)> {
        let mut due = Vec::new();
        for (service, paths) in &mut self.services {
            if let Some(lost) = &mut paths.lost {
                if lost.next_probe > now {
                    continue;
                }
                lost.next_probe = now + PROBE_INTERVAL.mul_f64(0.75 + random() / 2.0);
                let mut servers = listed(service);
                if servers.iter().any(|it| !lost.reachable.contains(it)) {
                    servers.retain(|it| !lost.reachable.contains(it));
                }
                let index = (random() * servers.len() as f64) as usize;
                due.extend(servers.get(index).map(|it| (service.clone(), it.clone())));
                continue;
            }
            let blocked = paths.blocked.iter_mut().filter(|(_, it)| it.next_probe <= now);
            for (server, it) in blocked.take(MAX_PROBES_AT_ONCE) {
                it.interval = (it.interval * 2).min(MAX_PROBE_INTERVAL);
                it.next_probe = now + it.interval.mul_f64(0.75 + random() / 2.0);
                due.push((service.clone(), server.clone()));
            }
        }
        due
    }

    /// When the next probe is due.
    pub fn next_probe(&self) -> Option<Instant> {
        let next = self.services.values().filter_map(|paths| match &paths.lost {
            Some(lost) => Some(lost.next_probe),
            None => paths.blocked.values().map(|it| it.next_probe).min(),
        });
        next.min()
    }

    /// Records whether a probe opened a connection to a server. `listed` is the number of servers of the service.
    pub fn record_probe(
        &mut self,
        service: &ServiceName,
        server: &BackendId,
        has_opened: bool,
        listed: usize,
        now: Instant,
    ) -> Option<PathChange> {
        let paths = self.services.get_mut(service)?;
        let Some(lost) = &mut paths.lost else {
            if has_opened {
                self.record_open(service, server, now);
            }
            return None;
        };
        if !has_opened {
            lost.passed = 0;
            lost.reachable.remove(server);
            return None;
        }
        lost.passed += 1;
        lost.reachable.insert(server.clone());
        lost.next_probe = now;
        paths.has_passed(listed).then(|| paths.restore(now))?
    }

    /// Drops the servers that are no longer listed, and the services without any.
    pub fn retain(&mut self, listed: impl Fn(&ServiceName) -> Vec<BackendId>) {
        self.services.retain(|service, paths| {
            let listed = listed(service);
            paths.blocked.retain(|server, _| listed.contains(server));
            !listed.is_empty()
        });
        self.checked_at.retain(|service, _| !listed(service).is_empty());
    }
}
