//! Under which requests backend servers ended, and which of them ends its servers.
//!
//! When a server ends, all that ran on it is under suspicion, and mostly one request of many is to blame. So
//! not every end counts against every request that was there:
//!
//! - an end is explained by the request under which most servers have ended, and counts against no other;
//! - servers of one data centre that end at the same moment were lost together: that counts only against a
//!   request that ran on most of them;
//! - a server that was leaving is taken back, and a request that any server has answered ends none.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ids::{BackendId, DataCentre, Fingerprint};
use crate::units::Millis;

/// Servers that have to end under a request before it is kept from all others. One or two happen to anybody
/// beside a request that ends servers; each one more costs all that runs there.
pub const CRASHES_TO_QUARANTINE: usize = 3;

/// How long an end counts: a caller that comes less often ends a few servers a day.
pub const CRASH_EXPIRY: Duration = Duration::from_secs(24 * 3_600);

/// Ends remembered; the oldest go first. A storm ended 64 servers before it was stopped.
const MAX_CRASHES: usize = 256;

/// Requests remembered for one end: more than run on a server at a time.
const MAX_REQUESTS_PER_CRASH: usize = 256;

/// Boxes hear of one end within this time of each other. No server is back and ends again within it.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(1);

/// Servers that are lost together end within this time of each other, as boxes see it.
const OUTAGE_WINDOW: Duration = Duration::from_millis(100);

/// So many servers of a data centre at the same moment are a loss, not the doing of one request.
const MIN_OUTAGE_SERVERS: usize = 3;

/// An end as a box tells it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The server.
    pub server: BackendId,
    /// Where it was.
    pub data_centre: DataCentre,
    /// What ran there.
    pub requests: Vec<Fingerprint>,
    /// How long ago it ended.
    pub age: Millis,
}

#[derive(Debug, Clone)]
struct Crash {
    server: BackendId,
    data_centre: DataCentre,
    at: Instant,
    requests: BTreeSet<Fingerprint>,
    /// Whether others are still to hear of it as it is now.
    is_reported: bool,
}

impl Crash {
    fn is_same(&self, server: &BackendId, at: Instant) -> bool {
        let distance = at.max(self.at) - at.min(self.at);
        self.server == *server && distance < SAME_CRASH_WINDOW
    }
}

/// The ends that count.
#[derive(Debug, Default)]
pub struct CrashTracker {
    crashes: Vec<Crash>,
}

impl CrashTracker {
    /// Takes an end; whether anything about it is new.
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

    /// Forgets what counts against a request; whether anything did.
    pub fn clear_request(&mut self, request: &Fingerprint) -> bool {
        self.crashes.iter_mut().fold(false, |any, crash| crash.requests.remove(request) | any)
    }

    /// Forgets the ends of a server that was leaving; what ran there.
    pub fn remove_server(&mut self, server: &BackendId) -> BTreeSet<Fingerprint> {
        let (removed, rest) = std::mem::take(&mut self.crashes)
            .into_iter()
            .partition::<Vec<_>, _>(|crash| crash.server == *server);
        self.crashes = rest;
        removed.into_iter().flat_map(|crash| crash.requests).collect()
    }

    /// Whether nothing ended.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Servers that ended under a request, whatever explains it.
    pub fn crash_count(&self, request: &Fingerprint) -> usize {
        self.crashes.iter().filter(|crash| crash.requests.contains(request)).count()
    }

    /// Whether others are still to hear of an end under a request.
    pub fn has_unreported(&self, request: &Fingerprint) -> bool {
        self.crashes.iter().any(|crash| !crash.is_reported && crash.requests.contains(request))
    }

    /// Ends of which others are still to hear, `limit` at most.
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

    /// Notes that others have heard of these.
    pub fn mark_reported(&mut self, report: &[CrashReport]) {
        for crash in &mut self.crashes {
            let same = report.iter().find(|it| it.server == crash.server);
            crash.is_reported |= same.is_some_and(|it| it.requests.len() >= crash.requests.len());
        }
    }

    /// Notes that whoever is told now has heard of none.
    pub fn mark_all_unreported(&mut self) {
        self.crashes.iter_mut().for_each(|crash| crash.is_reported = false);
    }

    /// The requests that end their servers: again and again the one under which most ends are not explained
    /// yet, as long as there are [`CRASHES_TO_QUARANTINE`] of them.
    pub fn poison_requests(&self) -> BTreeSet<Fingerprint> {
        let mut unexplained: Vec<BTreeSet<Fingerprint>> = self.suspects();
        let mut poison = BTreeSet::new();
        loop {
            let counts = count_requests(unexplained.iter());
            // Of several with as many, the one whose last end is the newest: one that ends servers goes on.
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

    /// The requests against which each end counts.
    fn suspects(&self) -> Vec<BTreeSet<Fingerprint>> {
        let mut ordered: Vec<&Crash> = self.crashes.iter().collect();
        ordered.sort_by(|a, b| (&a.data_centre, a.at).cmp(&(&b.data_centre, b.at)));
        let in_same_outage =
            |a: &&Crash, b: &&Crash| a.data_centre == b.data_centre && b.at - a.at < OUTAGE_WINDOW;
        ordered.chunk_by(in_same_outage).flat_map(suspects_in_group).collect()
    }
}

/// How many of the sets each request is in.
fn count_requests<'a>(
    sets: impl Iterator<Item = &'a BTreeSet<Fingerprint>>,
) -> HashMap<Fingerprint, usize> {
    let mut counts = HashMap::new();
    for request in sets.flatten() {
        *counts.entry(*request).or_default() += 1;
    }
    counts
}

/// The requests against which ends at the same moment in one data centre count.
fn suspects_in_group(crashes: &[&Crash]) -> Vec<BTreeSet<Fingerprint>> {
    let all = crashes.iter().map(|crash| crash.requests.clone());
    if crashes.len() < MIN_OUTAGE_SERVERS {
        return all.collect();
    }
    let counts = count_requests(crashes.iter().map(|crash| &crash.requests));
    let ran_on_most = |request: &Fingerprint| 2 * counts[request] > crashes.len();
    all.map(|requests| requests.into_iter().filter(ran_on_most).collect()).collect()
}
