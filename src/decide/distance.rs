//! Estimates the round-trip time from a box to each data centre, and the cost of using a server
//! there.
//!
//! In a fleet over several regions, a request that leaves its region pays a round trip and
//! transfers bytes that cost several times those within a region. Server selection weighs this
//! distance against the wait at a nearer server.
//!
//! A TCP connect takes one round trip, and longer if either side is busy, so the estimate is a low
//! quantile of the recent connect times. It expires when no connect was seen for long: the path may
//! have become shorter, and a stale high estimate would keep the data centre from ever being tried
//! again.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use super::engine::{EngineModel, quantile};
use super::topology::Reach;
use crate::ids::DataCentre;

/// The assumed round-trip time to another data centre of the region, in milliseconds, until one is
/// measured: a few kilometres of fibre and some switches.
const DEFAULT_REGIONAL_RTT_MS: f64 = 3.0;

/// The assumed round-trip time to another region, in milliseconds, until one is measured: about
/// 1,500 km. It is rather too high than too low: keeping a request in the region costs little, and
/// requests still leave it when it has no free slots.
const DEFAULT_REMOTE_RTT_MS: f64 = 30.0;

/// How many connect times are kept for each data centre.
const MAX_SAMPLES: usize = 64;

/// How many connect times an estimate needs. A single one may have been taken at a busy moment.
const MIN_SAMPLES: usize = 4;

/// The quantile of the connect times that estimates the round-trip time. A busy box or server
/// delays most connects at times, but never all.
const RTT_QUANTILE: f64 = 0.2;

/// How long a connect time counts. Network paths change when links fail or recover, which operators
/// notice within minutes.
const SAMPLE_LIFETIME: Duration = Duration::from_secs(300);

/// Bytes of an answer for each output token: four characters, and about as much framing.
const BYTES_PER_OUTPUT_TOKEN: f64 = 8.0;

/// The cost of using a server in another data centre.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Distance {
    /// The round-trip time in milliseconds.
    pub rtt_ms: f64,
    /// The cost of the transferred bytes, as an equivalent wait in milliseconds.
    pub byte_cost_ms: f64,
}

/// The cost of a transferred kilobyte, as an equivalent wait in milliseconds. The default is 0, so
/// that only time counts unless an operator who pays for traffic sets a weight.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ByteWeights {
    /// Between data centres of a region.
    pub regional: f64,
    /// Between regions.
    pub remote: f64,
}

impl ByteWeights {
    /// The cost of a kilobyte sent to a data centre of this reach.
    pub fn of(&self, reach: Reach) -> f64 {
        match reach {
            Reach::Local => 0.0,
            Reach::Regional => self.regional,
            Reach::Remote => self.remote,
        }
    }
}

/// The estimated size of a request and its answer in kilobytes. `body` is in bytes, `output` in
/// tokens.
pub fn kilobytes(body: usize, output: u64) -> f64 {
    (body as f64 + output as f64 * BYTES_PER_OUTPUT_TOKEN) / 1_000.0
}

/// The recent connect times to one data centre, and the estimate from them.
#[derive(Debug, Default)]
struct ConnectTimes {
    samples: VecDeque<(Instant, f64)>,
    rtt_ms: Option<f64>,
}

impl ConnectTimes {
    fn record(&mut self, now: Instant, time: f64) {
        self.samples.retain(|(at, _)| now.saturating_duration_since(*at) < SAMPLE_LIFETIME);
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((now, time));
        let times = self.samples.iter().map(|(_, time)| *time);
        self.rtt_ms = quantile(times, RTT_QUANTILE).filter(|_| self.samples.len() >= MIN_SAMPLES);
    }

    fn rtt_ms(&self, now: Instant) -> Option<f64> {
        let (at, _) = self.samples.back()?;
        self.rtt_ms.filter(|_| now.saturating_duration_since(*at) < SAMPLE_LIFETIME)
    }
}

/// The estimated round-trip times to the data centres.
#[derive(Debug, Default)]
pub struct Distances {
    connect_times: BTreeMap<DataCentre, ConnectTimes>,
}

impl Distances {
    /// Records the time that a connect to a data centre took.
    pub fn record_connect(&mut self, data_centre: &DataCentre, took: Duration, now: Instant) {
        let time = took.as_secs_f64() * 1_000.0;
        match self.connect_times.get_mut(data_centre) {
            Some(samples) => samples.record(now, time),
            None => self.connect_times.entry(data_centre.clone()).or_default().record(now, time),
        }
    }

    /// The measured round-trip time to a data centre in milliseconds, if there is a current
    /// estimate.
    pub fn learned_rtt_ms(&self, data_centre: &DataCentre, now: Instant) -> Option<f64> {
        self.connect_times.get(data_centre)?.rtt_ms(now)
    }

    /// The round-trip time to a data centre in milliseconds, measured or assumed.
    pub fn rtt_ms(&self, data_centre: &DataCentre, reach: Reach, now: Instant) -> f64 {
        let unlearned = match reach {
            Reach::Local => return 0.0,
            Reach::Regional => DEFAULT_REGIONAL_RTT_MS,
            Reach::Remote => DEFAULT_REMOTE_RTT_MS,
        };
        self.learned_rtt_ms(data_centre, now).unwrap_or(unlearned)
    }

    /// All current estimates, in milliseconds.
    pub fn learned_rtts(&self, now: Instant) -> BTreeMap<DataCentre, f64> {
        let learned = self
            .connect_times
            .iter()
            .filter_map(|(name, samples)| Some((name, samples.rtt_ms(now)?)));
        learned.map(|(name, time)| (name.clone(), time)).collect()
    }
}

/// The speed and size of KV cache copies between engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KvCopy {
    /// Tokens per second; 0 if engines cannot copy.
    pub rate: f64,
    /// Size of a token's KV cache in bytes.
    pub token_bytes: f64,
}

/// Whether copying part of a prompt's KV cache from another region is cheaper than computing it.
/// `time` is the round-trip time in milliseconds, to which the copy and the cost of its bytes are
/// added.
pub fn fetch_saves(
    model: &EngineModel,
    tokens: u64,
    copy: &KvCopy,
    time: f64,
    weights: &ByteWeights,
) -> bool {
    if copy.rate <= 0.0 {
        return false;
    }
    let tokens = tokens as f64;
    let copy_time = tokens / copy.rate * 1_000.0;
    let byte_cost = tokens * copy.token_bytes / 1_000.0 * weights.remote;
    time + copy_time + byte_cost < model.prefill_time(tokens) * 1_000.0
}
