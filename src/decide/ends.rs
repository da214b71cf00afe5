//! Records which backend servers crashed under which requests, and finds the poison requests: those
//! that crash their servers.
//!
//! When a server crashes, every request that ran on it is a suspect, but usually only one is to
//! blame. So not every crash counts against every request:
//!
//! - A crash is attributed to the request under which the most servers crashed, and counts against
//!   no other.
//! - Servers of one data centre that crash at the same moment are treated as an outage, which
//!   counts only against requests that ran on most of them.
//! - Crashes of a server that was leaving are removed, and a request that any server has answered
//!   is cleared.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ids::{BackendId, DataCentre, Fingerprint};
use crate::units::Millis;

/// Number of servers that have to crash under a request before it is quarantined. One or two
/// crashes also happen to other requests that run beside a poison request, and each further one
/// costs everything that runs on the server.
pub const CRASHES_TO_QUARANTINE: usize = 3;

/// How long a crash counts. A caller that sends a poison request less often crashes only a few
/// servers a day.
pub const CRASH_EXPIRY: Duration = Duration::from_secs(24 * 3_600);

/// Maximum number of crashes remembered; the oldest are dropped first. A burst of poison requests
/// crashed 64 servers before it was stopped.
const MAX_CRASHES: usize = 256;

/// Maximum number of requests remembered for one crash: more than run on a server at the same time.
const MAX_REQUESTS_PER_CRASH: usize = 256;

/// Reports of boxes on the same crash lie within this time of each other. No server restarts and
/// crashes again within it.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(1);

/// Servers that fail in the same outage crash within this time of each other, as seen by boxes.
const OUTAGE_WINDOW: Duration = Duration::from_millis(100);

/// Number of servers of one data centre that have to crash at the same moment to be treated as an
/// outage rather than the effect of one request.
const MIN_OUTAGE_SERVERS: usize = 3;

/// A crash as reported by a box.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The server.
    pub server: BackendId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The requests that ran on it.
    pub requests: Vec<Fingerprint>,
    /// Time since the crash.
    pub age: Millis,
}

#[derive(Debug, Clone)]
struct Crash {
    server: BackendId,
    data_centre: DataCentre,
    at: Instant,
    requests: BTreeSet<Fingerprint>,
    /// Whether the crash has been reported with all its requests.
    is_reported: bool,
}

impl Crash {
    fn is_same(&self, server: &BackendId, at: Instant) -> bool {
        let distance = at.max(self.at) - at.min(self.at);
        self.server == *server && distance < SAME_CRASH_WINDOW
    }
}

/// The crashes that currently count.
#[derive(Debug, Default)]
pub struct CrashTracker {
    crashes: Vec<Crash>,
}

impl CrashTracker {
    /// Records a crash. Returns whether any of it is new.
    pub fn record(&mut self, report: CrashReport, now: Instant) -> bool {
        let at = now.checked_sub(report.age.duration()).unwrap_or(now);
        self.crashes.retain(|crash| crash.at + CRASH_EXPIRY > now);
        let known = self.crashes.iter().position(|crash| crash.is_same(&report.server, at));
        let index = known.unwrap_or_else(|| {
            if self.crashes.len() >= MAX_CRASHES {
                self.drop_oldest();
            }
            let (server, data_centre) = (report.server, report.data_centre);
            let requests = BTreeSet::new();
            self.crashes.push(Crash { server, data_centre, at, requests, is_reported: false });
            self.crashes.len() - 1
        });
        let crash = &mut self.crashes[index];
        let before = crash.requests.len();
        let free = MAX_REQUESTS_PER_CRASH.saturating_sub(before);
        crash.requests.extend(report.requests.into_iter().take(free));
        let is_new = known.is_none() || crash.requests.len() > before;
        crash.is_reported &= !is_new;
        is_new
    }

    fn drop_oldest(&mut self) {
        let oldest = (0..self.crashes.len()).min_by_key(|index| self.crashes[*index].at);
        if let Some(oldest) = oldest {
            self.crashes.swap_remove(oldest);
        }
    }

    /// Clears a request of all crashes. Returns whether it was a suspect of any.
    pub fn clear_request(&mut self, request: &Fingerprint) -> bool {
        self.crashes.iter_mut().fold(false, |any, crash| crash.requests.remove(request) | any)
    }

    /// Removes the crashes of a server that was leaving. Returns the requests that ran on it.
    pub fn remove_server(&mut self, server: &BackendId) -> BTreeSet<Fingerprint> {
        let (removed, rest) = std::mem::take(&mut self.crashes)
            .into_iter()
            .partition::<Vec<_>, _>(|crash| crash.server == *server);
        self.crashes = rest;
        removed.into_iter().flat_map(|crash| crash.requests).collect()
    }

    /// Whether no crash is known.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Number of servers that crashed under a request, including crashes attributed to another one.
    pub fn crash_count(&self, request: &Fingerprint) -> usize {
        self.crashes.iter().filter(|crash| crash.requests.contains(request)).count()
    }

    /// Whether a crash under the request has not been reported yet.
    pub fn has_unreported(&self, request: &Fingerprint) -> bool {
        self.crashes.iter().any(|crash| !crash.is_reported && crash.requests.contains(request))
    }

    /// Returns the crashes that have not been reported yet, at most `limit`.
    pub fn unreported(&self, now: Instant, limit: usize) -> Vec<CrashReport> {
        let unreported = self.crashes.iter().filter(|crash| !crash.is_reported).take(limit);
        unreported
            .map(|crash| CrashReport {
                server: crash.server.clone(),
                data_centre: crash.data_centre.clone(),
                requests: crash.requests.iter().copied().collect(),
                age: now.saturating_duration_since(crash.at).into(),
            })
            .collect()
    }

    /// Marks the crashes in `report` as reported.
    pub fn mark_reported(&mut self, report: &[CrashReport]) {
        for crash in &mut self.crashes {
            let same = report.iter().find(|it| it.server == crash.server);
            crash.is_reported |= same.is_some_and(|it| it.requests.len() >= crash.requests.len());
        }
    }

    /// Marks all crashes as not reported, for a receiver that knows none of them.
    pub fn mark_all_unreported(&mut self) {
        self.crashes.iter_mut().for_each(|crash| crash.is_reported = false);
    }

    /// Returns the poison requests. Repeatedly picks the request with the most crashes that are not
    /// attributed yet, as long as there are at least [`CRASHES_TO_QUARANTINE`] of them.
    pub fn poison_requests(&self) -> BTreeSet<Fingerprint> {
        let mut unexplained: Vec<BTreeSet<Fingerprint>> = self.suspects();
        let mut poison = BTreeSet::new();
        loop {
            let counts = count_requests(unexplained.iter());
            // Of several requests with equally many crashes, pick the one whose last crash is the
            // most recent, as a poison request goes on crashing servers.
            let last_crash = |request: &Fingerprint| {
                let crashes = self.crashes.iter().filter(|crash| crash.requests.contains(request));
                crashes.map(|crash| crash.at).max()
            };
            let most = counts.values().copied().max().unwrap_or(0);
            let most_frequent = counts.iter().filter(|(_, count)| **count == most);
            let worst_request =
                most_frequent.max_by_key(|(request, _)| (last_crash(request), **request));
            let Some((worst_request, _)) = worst_request.filter(|_| most >= CRASHES_TO_QUARANTINE)
            else {
                return poison;
            };
            unexplained.retain(|requests| !requests.contains(worst_request));
            poison.insert(*worst_request);
        }
    }

    /// Returns the suspects of each crash.
    fn suspects(&self) -> Vec<BTreeSet<Fingerprint>> {
        let mut ordered: Vec<&Crash> = self.crashes.iter().collect();
        ordered.sort_by(|a, b| (&a.data_centre, a.at).cmp(&(&b.data_centre, b.at)));
        let in_same_outage =
            |a: &&Crash, b: &&Crash| a.data_centre == b.data_centre && b.at - a.at < OUTAGE_WINDOW;
        ordered.chunk_by(in_same_outage).flat_map(suspects_in_group).collect()
    }
}

/// Counts in how many of the sets each request is.
fn count_requests<'a>(
    sets: impl Iterator<Item = &'a BTreeSet<Fingerprint>>,
) -> HashMap<Fingerprint, usize> {
    let mut counts = HashMap::new();
    for request in sets.flatten() {
        *counts.entry(*request).or_default() += 1;
    }
    counts
}

/// Returns the suspects of each of a group of crashes that happened at the same moment in one data
/// centre.
fn suspects_in_group(crashes: &[&Crash]) -> Vec<BTreeSet<Fingerprint>> {
    let all = crashes.iter().map(|crash| crash.requests.clone());
    if crashes.len() < MIN_OUTAGE_SERVERS {
        return all.collect();
    }
    let counts = count_requests(crashes.iter().map(|crash| &crash.requests));
    let ran_on_most = |request: &Fingerprint| 2 * counts[request] > crashes.len();
    all.map(|requests| requests.into_iter().filter(ran_on_most).collect()).collect()
}
