//! How far data centres are from a box, learned, and what it weighs to use a server there.
//!
//! Load: a fleet over several regions. A request that leaves its region waits for the way there and back
//! and takes bytes along that cost a multiple of those inside, so distance has to be known to be weighed
//! against the wait at a nearer server.
//!
//! A connect takes the way there and back once, and longer where either side is busy. So a low quantile
//! of the last ones counts. It is forgotten when nothing new was seen for long: a way may have changed,
//! and what a stale one hides would never be tried again.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use super::engine::{EngineModel, quantile};
use super::topology::Reach;
use crate::ids::DataCentre;

/// Milliseconds to a data centre of the region and back, before anything was learned: a few kilometres
/// of fibre and some switches.
const REGIONAL_TIME: f64 = 3.0;

/// Milliseconds to another region and back, before anything was learned: about 1,500 km apart. Rather
/// too far than too near: a request that stays costs little, and a spill still happens where places lack.
const REMOTE_TIME: f64 = 30.0;

/// Connects kept of each data centre.
const KEPT: usize = 64;

/// Connects before they count: one alone may have met a busy moment.
const LEAST: usize = 4;

/// The part of the connects that took less than what is taken for the way: a box or a server that is
/// busy delays most of them at times, never all.
const LOW_PART: f64 = 0.2;

/// How long a connect counts. Ways change when links fail or return, which operators see within minutes.
const STALE_TIME: Duration = Duration::from_secs(300);

/// Bytes of an answer for each token that may come out: four characters, and about as much around them.
const OUTPUT_BYTES: f64 = 8.0;

/// What it takes to use a server that does not stand in the box's data centre.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Distance {
    /// Milliseconds there and back.
    pub time: f64,
    /// What the bytes weigh that go there and back, in milliseconds of wait.
    pub weight: f64,
}

/// What bytes weigh, in milliseconds of wait for each kilobyte. By default nothing: only time counts, and
/// whoever pays for bytes says so.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ByteWeights {
    /// Between data centres of a region.
    pub regional: f64,
    /// Between regions.
    pub remote: f64,
}

impl ByteWeights {
    /// What a kilobyte weighs on a way.
    pub fn of(&self, reach: Reach) -> f64 {
        match reach {
            Reach::Local => 0.0,
            Reach::Regional => self.regional,
            Reach::Remote => self.remote,
        }
    }
}

/// Kilobytes of a request and its answer.
pub fn kilobytes(body: usize, output: u64) -> f64 {
    (body as f64 + output as f64 * OUTPUT_BYTES) / 1_000.0
}

/// The connects to one data centre.
#[derive(Debug, Default)]
struct Way {
    seen: VecDeque<(Instant, f64)>,
    low: Option<f64>,
}

impl Way {
    fn note(&mut self, now: Instant, time: f64) {
        self.seen.retain(|(at, _)| now.saturating_duration_since(*at) < STALE_TIME);
        if self.seen.len() == KEPT {
            self.seen.pop_front();
        }
        self.seen.push_back((now, time));
        let times = self.seen.iter().map(|(_, time)| *time);
        self.low = quantile(times, LOW_PART).filter(|_| self.seen.len() >= LEAST);
    }

    fn time(&self, now: Instant) -> Option<f64> {
        let (at, _) = self.seen.back()?;
        self.low.filter(|_| now.saturating_duration_since(*at) < STALE_TIME)
    }
}

/// Learns how far each data centre is.
#[derive(Debug, Default)]
pub struct Distances {
    ways: BTreeMap<DataCentre, Way>,
}

impl Distances {
    /// Takes how long a connect to a data centre took.
    pub fn note(&mut self, data_centre: &DataCentre, took: Duration, now: Instant) {
        let time = took.as_secs_f64() * 1_000.0;
        match self.ways.get_mut(data_centre) {
            Some(way) => way.note(now, time),
            None => self.ways.entry(data_centre.clone()).or_default().note(now, time),
        }
    }

    /// Milliseconds to a data centre and back, as far as was learned lately.
    pub fn learned(&self, data_centre: &DataCentre, now: Instant) -> Option<f64> {
        self.ways.get(data_centre)?.time(now)
    }

    /// Milliseconds to a data centre and back.
    pub fn time(&self, data_centre: &DataCentre, reach: Reach, now: Instant) -> f64 {
        let unlearned = match reach {
            Reach::Local => return 0.0,
            Reach::Regional => REGIONAL_TIME,
            Reach::Remote => REMOTE_TIME,
        };
        self.learned(data_centre, now).unwrap_or(unlearned)
    }

    /// All that was learned lately.
    pub fn all(&self, now: Instant) -> BTreeMap<DataCentre, f64> {
        let learned = self.ways.iter().filter_map(|(name, way)| Some((name, way.time(now)?)));
        learned.map(|(name, time)| (name.clone(), time)).collect()
    }
}

/// What the copy of a prompt's memory between engines takes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Copying {
    /// Tokens a second; 0 where engines don't copy.
    pub rate: f64,
    /// Bytes of a token's memory.
    pub token_bytes: f64,
}

/// Whether copying a part of a prompt from another region saves more than it costs: the time to read it
/// against the way of so many milliseconds, the copy, and what its bytes weigh.
pub fn fetch_saves(
    model: &EngineModel,
    tokens: u64,
    copying: &Copying,
    time: f64,
    weights: &ByteWeights,
) -> bool {
    if copying.rate <= 0.0 {
        return false;
    }
    let tokens = tokens as f64;
    let copy = tokens / copying.rate * 1_000.0;
    let bytes = tokens * copying.token_bytes / 1_000.0 * weights.remote;
    time + copy + bytes < model.prefill_time(tokens) * 1_000.0
}
