//! Loads of backend servers as boxes are told them, pooled by the leader.
//!
//! With hundreds of boxes each hears of one server once a minute, and together they hear of each several
//! times a second. So boxes tell the leader what they hear, and its answers bring each of them a few
//! of the newest loads, drawn anew each time. What that costs grows neither with the boxes nor with
//! the servers.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::choose::fresh_part;
use crate::ids::{BackendId, Incarnation, ServerKey};
use crate::units::Millis;

/// Loads that an answer brings at most: an answer stays under 2 KB. Twice as many gain nothing.
const DRAWN: usize = 48;

/// How old a load may be to say anything: requests have left by then.
const OLD_TIME: Duration = Duration::from_secs(30);

/// Time in which a box is told [`DRAWN`] loads, however often it asks: between two of its usual words.
const DRAWN_TIME: Duration = Duration::from_millis(400);

/// Loads that a box is to be told, `passed` after the last answer to it.
pub fn due(passed: Option<Duration>) -> usize {
    let part = passed.map_or(1.0, |passed| passed.as_secs_f64() / DRAWN_TIME.as_secs_f64());
    (DRAWN as f64 * part.min(1.0)).ceil() as usize
}

/// A server's load, as somebody was told it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSample {
    /// The server.
    pub server: BackendId,
    /// The life in which it told it; 0 where nothing tells lives.
    pub life: Incarnation,
    /// Requests there, running and waiting.
    pub requests: u32,
    /// How long ago that was true.
    pub age: Millis,
}

impl LoadSample {
    /// Requests that are still there, where nothing was sent to the server since and one stays for about
    /// `stay` seconds.
    pub fn faded(&self, stay: Option<f64>) -> f64 {
        f64::from(self.requests) * fresh_part(self.age.duration().as_secs_f64(), stay)
    }
}

/// A load; that of a later life is the greater one, and of one life the newer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Load {
    life: Incarnation,
    at: Instant,
    requests: u32,
}

impl Load {
    fn told(&self, server: &BackendId, now: Instant) -> LoadSample {
        let age = now.saturating_duration_since(self.at).min(OLD_TIME);
        let (server, life) = (server.clone(), self.life);
        LoadSample { server, life, requests: self.requests, age: age.into() }
    }
}

/// The newest loads of all servers.
#[derive(Debug, Default)]
pub struct LoadPool {
    loads: Vec<(BackendId, Load)>,
    places: HashMap<BackendId, usize>,
}

impl LoadPool {
    /// Takes a load that was true at `at`; an older one than is known, or one of an earlier life, is passed
    /// over.
    pub fn note(&mut self, server: impl Into<ServerKey>, requests: u32, at: Instant) {
        let ServerKey { id, life } = server.into();
        let load = Load { life, at, requests };
        match self.places.get(&id) {
            Some(place) => {
                let held = &mut self.loads[*place].1;
                if (held.life, held.at) < (life, at) {
                    *held = load;
                }
            }
            None => {
                self.places.insert(id.clone(), self.loads.len());
                self.loads.push((id, load));
            }
        }
    }

    /// Takes what a box was told.
    pub fn hear(&mut self, told: Vec<LoadSample>, now: Instant) {
        for load in told {
            let at = now.checked_sub(load.age.duration()).unwrap_or(now);
            let server = ServerKey { id: load.server, life: load.life };
            self.note(server, load.requests, at);
        }
    }

    /// The loads of some of `servers`, as far from each other as can be, so that those of each data centre
    /// are among them where servers stand in that order; `random` is a number from 0 to 1. Those of which
    /// nobody hears are among them: whatever is sent to a server is answered with its load, so they have got
    /// nothing since their last word.
    pub fn draw(&self, servers: &[&BackendId], now: Instant, random: f64) -> Vec<LoadSample> {
        let count = servers.len();
        let first = (random * count as f64) as usize;
        let drawn = count.min(DRAWN);
        let drawn = (0..drawn).map(|at| servers[(first + at * count / drawn) % count]);
        let known = drawn.filter_map(|server| Some((server, self.places.get(server)?)));
        known.map(|(server, place)| self.loads[*place].1.told(server, now)).collect()
    }

    /// All loads, and none of them any more.
    pub fn take(&mut self, now: Instant) -> Vec<LoadSample> {
        self.places.clear();
        self.loads.drain(..).map(|(server, load)| load.told(&server, now)).collect()
    }

    /// Keeps the loads of the servers that are there, each in its life; a new one, or a new life, has none.
    pub fn follow<K: Into<ServerKey>>(&mut self, servers: impl Iterator<Item = K>, now: Instant) {
        let servers: Vec<ServerKey> = servers.map(Into::into).collect();
        let loads = servers.into_iter().map(|server| {
            let load = self.held(&server, now);
            (server.id, load)
        });
        self.loads = loads.collect();
        let places = self.loads.iter().enumerate();
        self.places = places.map(|(place, (server, _))| (server.clone(), place)).collect();
    }

    /// The load of a server's life. What was noted before anything told the life is of it: whoever hears
    /// that it is another one says so with [`LoadPool::restart`].
    fn held(&self, server: &ServerKey, now: Instant) -> Load {
        let idle = Load { life: server.life, at: now, requests: 0 };
        match self.places.get(&server.id).map(|place| self.loads[*place].1) {
            Some(load) if load.life.is_none() => Load { life: server.life, ..load },
            Some(load) if load.life >= server.life => load,
            Some(_) | None => idle,
        }
    }

    /// Notes that a server has started again: it has no load.
    pub fn restart(&mut self, server: ServerKey, now: Instant) {
        if let Some(place) = self.places.get(&server.id) {
            let held = &mut self.loads[*place].1;
            if held.life < server.life {
                *held = Load { life: server.life, at: now, requests: 0 };
            }
        }
    }
}
