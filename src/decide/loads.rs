//! Distributes the loads of backend servers: relays report them to the leader, which pools them.
//!
//! With hundreds of relays, each one hears from a given server about once a minute, while together they hear
//! from it several times a second. Relays therefore report the loads they hear to the leader, and its
//! answers bring each relay a random sample of the newest loads. The cost grows neither with the number of
//! relays nor with the number of servers.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::choose::freshness;
use crate::ids::{BackendId, Incarnation, ServerKey};
use crate::units::Millis;

/// The maximum number of loads in an answer, which keeps an answer below 2 KB. Twice as many bring no
/// improvement.
const SAMPLE_SIZE: usize = 48;

/// The age above which a load says nothing: its requests have ended by then.
const MAX_AGE: Duration = Duration::from_secs(30);

/// The time in which a relay is sent up to [`SAMPLE_SIZE`] loads, however often it reports: the usual
/// interval between two reports.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(400);

/// The number of loads to send to a relay, `passed` after the last answer to it.
pub fn due_samples(passed: Option<Duration>) -> usize {
    let part = passed.map_or(1.0, |passed| passed.as_secs_f64() / SAMPLE_INTERVAL.as_secs_f64());
    (SAMPLE_SIZE as f64 * part.min(1.0)).ceil() as usize
}

/// The load of a server as reported by it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSample {
    /// The server.
    pub server: BackendId,
    /// The incarnation of the server that reported it; 0 if incarnations are not reported.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// The number of running and waiting requests.
    pub requests: u32,
    /// The age of the report.
    pub age: Millis,
}

impl LoadSample {
    /// The number of requests that are still there, if no more were sent since and a request stays for about
    /// `stay` seconds.
    pub fn decayed_requests(&self, stay: Option<f64>) -> f64 {
        f64::from(self.requests) * freshness(self.age.duration().as_secs_f64(), stay)
    }
}

/// A load. It is ordered by incarnation, then by time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Load {
    incarnation: Incarnation,
    at: Instant,
    requests: u32,
}

impl Load {
    fn sample(&self, server: &BackendId, now: Instant) -> LoadSample {
        let age = now.saturating_duration_since(self.at).min(MAX_AGE);
        let (server, incarnation) = (server.clone(), self.incarnation);
        LoadSample { server, incarnation, requests: self.requests, age: age.into() }
    }
}

/// The newest loads of all servers.
#[derive(Debug, Default)]
pub struct LoadPool {
    loads: Vec<(BackendId, Load)>,
    indices: HashMap<BackendId, usize>,
}

impl LoadPool {
    /// Records a load reported at `at`. Ignores it if a newer one is known, or one of a later incarnation.
    pub fn record(&mut self, server: impl Into<ServerKey>, requests: u32, at: Instant) {
        let ServerKey { id, life: incarnation } = server.into();
        let load = Load { incarnation, at, requests };
        match self.indices.get(&id) {
            Some(index) => {
                let held = &mut self.loads[*index].1;
                if (held.incarnation, held.at) < (incarnation, at) {
                    *held = load;
                }
            }
            None => {
                self.indices.insert(id.clone(), self.loads.len());
                self.loads.push((id, load));
            }
        }
    }

    /// Records the loads that a relay heard.
    pub fn record_samples(&mut self, samples: Vec<LoadSample>, now: Instant) {
        for load in samples {
            let at = now.checked_sub(load.age.duration()).unwrap_or(now);
            let server = ServerKey { id: load.server, life: load.incarnation };
            self.record(server, load.requests, at);
        }
    }

    /// Returns the loads of some of `servers`, evenly spaced with a random start, so that each data centre
    /// is represented if the servers are ordered by data centre; `random` is between 0 and 1.
    ///
    /// Servers that nobody hears from are included. Every request to a server is answered with its load, so
    /// they received nothing since their last report.
    pub fn sample(&self, servers: &[&BackendId], now: Instant, random: f64) -> Vec<LoadSample> {
        let count = servers.len();
        let first = (random * count as f64) as usize;
        let drawn = count.min(SAMPLE_SIZE);
        let drawn = (0..drawn).map(|at| servers[(first + at * count / drawn) % count]);
        let known = drawn.filter_map(|server| Some((server, self.indices.get(server)?)));
        known.map(|(server, index)| self.loads[*index].1.sample(server, now)).collect()
    }

    /// Removes and returns all loads.
    pub fn drain(&mut self, now: Instant) -> Vec<LoadSample> {
        self.indices.clear();
        self.loads.drain(..).map(|(server, load)| load.sample(&server, now)).collect()
    }

    /// Keeps the loads of the listed servers in their current incarnations; new servers and new incarnations
    /// start with no load.
    pub fn update_servers<K: Into<ServerKey>>(
        &mut self,
        servers: impl Iterator<Item = K>,
        now: Instant,
    ) {
        let servers: Vec<ServerKey> = servers.map(Into::into).collect();
        let loads = servers.into_iter().map(|server| {
            let load = self.load_of(&server, now);
            (server.id, load)
        });
        self.loads = loads.collect();
        let indices = self.loads.iter().enumerate();
        self.indices = indices.map(|(index, (server, _))| (server.clone(), index)).collect();
    }

    /// The load of a server's incarnation. A load recorded before the incarnation was known is assigned to
    /// it: whoever learns that the incarnation is a new one calls [`LoadPool::restart`].
    fn load_of(&self, server: &ServerKey, now: Instant) -> Load {
        let idle = Load { incarnation: server.life, at: now, requests: 0 };
        match self.indices.get(&server.id).map(|index| self.loads[*index].1) {
            Some(load) if load.incarnation.is_none() => Load { incarnation: server.life, ..load },
            Some(load) if load.incarnation >= server.life => load,
            Some(_) | None => idle,
        }
    }

    /// Records that a server was restarted and has no load.
    pub fn restart(&mut self, server: ServerKey, now: Instant) {
        if let Some(index) = self.indices.get(&server.id) {
            let held = &mut self.loads[*index].1;
            if held.incarnation < server.life {
                *held = Load { incarnation: server.life, at: now, requests: 0 };
            }
        }
    }
}
