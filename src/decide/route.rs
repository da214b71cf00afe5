//! Which backend server takes a request.
//!
//! The cost of a server is the time the request would spend there, in seconds, plus what its place
//! costs in risk and money. Load reports lag, so each is corrected by what this node has sent since.
//! Of a few candidates drawn at random the cheapest wins: many nodes with the same old report then do
//! not all choose the same server (Mitzenmacher, "The Power of Two Choices in Randomized Load
//! Balancing", 2001).

use rand::Rng;
use rand::seq::index::sample;

use crate::ids::{BackendId, DataCentre};
use crate::units::{Price, Tokens};

/// Candidates drawn for each decision.
const CHOICES: usize = 4;

/// Seconds a prompt token takes to compute, until better is known.
const PREFILL_SECONDS: f64 = 60e-6;

/// Seconds a whole slot's worth of queue costs, until better is known.
const SERVICE_SECONDS: f64 = 0.5;

/// Seconds that a price of one unit of currency an hour weighs.
const PRICE_SECONDS: f64 = 0.02;

/// Seconds that a hop to another data centre costs.
const DISTANCE_SECONDS: f64 = 0.002;

/// The chance that a reclaimable box is taken back within a second of work, times the seconds of
/// work a loss costs.
const RISK: f64 = 0.000_2;

/// How far a server may be filled beyond its slots by this node's reckoning.
const OVERFILL: f64 = 1.25;

/// A backend server as the decision sees it.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Which.
    pub id: BackendId,
    /// Where.
    pub data_centre: DataCentre,
    /// Requests it runs well at the same time.
    pub slots: u32,
    /// Requests running or waiting there by the last report; `None`: no report.
    pub reported: Option<u32>,
    /// This node's requests in flight there when the report was made.
    pub own_then: u32,
    /// This node's requests in flight there now.
    pub own_now: u32,
    /// Prompt tokens likely cached there.
    pub cached: Tokens,
    /// The mean time of a request there, in seconds.
    pub service_time: Option<f64>,
    /// What its box costs.
    pub price: Price,
    /// Whether its box may be taken back.
    pub reclaimable: bool,
}

/// What the request needs.
#[derive(Debug, Clone)]
pub struct Need {
    /// The deciding node's data centre.
    pub data_centre: DataCentre,
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Tokens to generate.
    pub output: Tokens,
}

impl Candidate {
    /// Requests there now, as far as this node can tell.
    pub fn occupancy(&self) -> f64 {
        match self.reported {
            Some(reported) => {
                let others = reported.saturating_sub(self.own_then);
                f64::from(others + self.own_now)
            }
            None => f64::from(self.own_now),
        }
    }

    /// Whether it can take one more without queueing for long.
    pub fn is_open(&self) -> bool {
        self.occupancy() < f64::from(self.slots) * OVERFILL
    }

    /// The cost of the request there, in seconds.
    pub fn cost(&self, need: &Need) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let service = self.service_time.unwrap_or(SERVICE_SECONDS);
        let fill = self.occupancy() / slots;
        let excess = (fill - 1.0).max(0.0);
        let queue = (0.3 * fill * fill + 2.0 * excess) * service;
        let missing = need.prompt.less(self.cached).0 as f64;
        let prefill = missing * PREFILL_SECONDS;
        let distance = if self.data_centre == need.data_centre { 0.0 } else { DISTANCE_SECONDS };
        let work = (need.prompt + need.output).0 as f64;
        let risk = if self.reclaimable { work * RISK * service } else { 0.0 };
        let price = self.price.0 as f64 / 1e6 * PRICE_SECONDS;
        queue + prefill + distance + risk + price
    }
}

/// Chooses a server for the request among those that are open; `None` when none is.
pub fn choose<'a, R: Rng>(
    candidates: &'a [Candidate],
    need: &Need,
    random: &mut R,
) -> Option<&'a Candidate> {
    let open: Vec<_> = candidates.iter().filter(|candidate| candidate.is_open()).collect();
    if open.is_empty() {
        return None;
    }
    let drawn = sample(random, open.len(), CHOICES.min(open.len()));
    // The server with the longest cached prefix is always looked at: chance would miss it.
    let warmest = open.iter().filter(|it| it.cached.0 > 0).max_by_key(|it| it.cached);
    let looked_at = drawn.iter().map(|place| open[place]).chain(warmest.copied());
    looked_at.min_by(|a, b| a.cost(need).total_cmp(&b.cost(need)))
}

/// The hashes of a prompt's leading blocks, each covering all before it.
pub fn prefix_hashes(prompt: &str) -> Vec<u64> {
    const BLOCK_BYTES: usize = 64;
    const BLOCK_LIMIT: usize = 64;
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    let mut hashes = Vec::new();
    for block in prompt.as_bytes().chunks_exact(BLOCK_BYTES).take(BLOCK_LIMIT) {
        for byte in block {
            hash = (hash ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3);
        }
        hashes.push(hash);
    }
    hashes
}

/// Tokens of one block of [`prefix_hashes`].
pub const BLOCK_TOKENS: u64 = 16;
