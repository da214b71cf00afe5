//! Chooses the backend server for a generation request.
//!
//! The cost of a server is the time in seconds that the request would spend there, plus the cost of
//! its location in risk and money. Load reports lag, so each is corrected by the requests that this
//! node has sent since. Of a few randomly sampled candidates the cheapest is chosen, so that many
//! nodes with the same outdated report do not all choose the same server (Mitzenmacher, "The Power
//! of Two Choices in Randomized Load Balancing", 2001).

use rand::Rng;
use rand::seq::index::sample;

use crate::ids::{BackendId, DataCentre};
use crate::units::{Price, Tokens};

/// Number of candidates sampled for each decision.
const SAMPLE_SIZE: usize = 4;

/// Number of servers that a prompt prefix has an affinity to.
const PREFERRED_SERVERS: usize = 2;

/// Number of blocks in the prefix that determines the affinity.
const AFFINITY_BLOCKS: usize = 4;

/// Share of a prompt that is assumed to be cached at a preferred server.
const ASSUMED_CACHED_SHARE: f64 = 0.7;

/// Seconds to compute a prompt token, while no measurement is available.
const DEFAULT_PREFILL_SECONDS: f64 = 100e-6;

/// Seconds of a request, while no measurement is available.
const DEFAULT_SERVICE_SECONDS: f64 = 0.5;

/// Weight of the squared occupancy, as a share of a request's time. Below the number of slots
/// nothing is queued yet, only tokens are generated more slowly.
const OCCUPANCY_WEIGHT: f64 = 0.05;

/// Seconds that a price of one unit of currency per hour is worth.
const PRICE_SECONDS: f64 = 0.02;

/// Seconds added for a server in another data centre.
const DISTANCE_SECONDS: f64 = 0.002;

/// Probability that a reclaimable box is reclaimed within a second of work, times the seconds of
/// work that its loss costs.
const RECLAIM_RISK: f64 = 0.000_2;

/// Occupancy from which a server counts as crowded. Below 1, as reports are old and other nodes
/// send requests as well.
const CROWDED_OCCUPANCY: f64 = 0.7;

/// A backend server that may be chosen.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// ID of the server.
    pub id: BackendId,
    /// Data centre of the server.
    pub data_centre: DataCentre,
    /// Number of requests that it runs well at the same time.
    pub slots: u32,
    /// Requests running or waiting there by the last report; `None` without a report.
    pub reported: Option<u32>,
    /// Requests of this node in flight there when the report was made.
    pub own_at_report: u32,
    /// Requests of this node in flight there now.
    pub own_now: u32,
    /// Prompt tokens that are probably cached there.
    pub cached: Tokens,
    /// The server's weight for the prefix of this prompt, the same at every node.
    pub affinity: u64,
    /// Mean time of a request there, in seconds.
    pub service_time: Option<f64>,
    /// Price of its box.
    pub price: Price,
    /// Whether its box may be reclaimed.
    pub reclaimable: bool,
}

/// What the request needs.
#[derive(Debug, Clone)]
pub struct Need {
    /// Data centre of the deciding node.
    pub data_centre: DataCentre,
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Tokens to generate.
    pub output: Tokens,
}

impl Candidate {
    /// Estimated number of requests at the server now.
    pub fn occupancy(&self) -> f64 {
        match self.reported {
            Some(reported) => {
                let others = reported.saturating_sub(self.own_at_report);
                f64::from(others + self.own_now)
            }
            None => f64::from(self.own_now),
        }
    }

    /// Whether it can take one more request without a long queue.
    pub fn has_free_slot(&self) -> bool {
        self.occupancy() < f64::from(self.slots)
    }

    /// Cost of the request at the server, in seconds.
    pub fn cost(&self, need: &Need) -> f64 {
        self.cost_at(need, false)
    }

    /// Cost of the request, where a preferred server is assumed to have cached part of the prompt
    /// for requests of other nodes.
    fn cost_at(&self, need: &Need, is_preferred: bool) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let service = self.service_time.unwrap_or(DEFAULT_SERVICE_SECONDS);
        let occupancy = self.occupancy() / slots;
        let excess = (occupancy - CROWDED_OCCUPANCY).max(0.0);
        let queue = (OCCUPANCY_WEIGHT * occupancy * occupancy + 2.0 * excess) * service;
        let missing = need.prompt.less(self.cached).0 as f64;
        let cached_share = if is_preferred { ASSUMED_CACHED_SHARE } else { 0.0 };
        let prefill = missing * DEFAULT_PREFILL_SECONDS * (1.0 - cached_share);
        let distance = if self.data_centre == need.data_centre { 0.0 } else { DISTANCE_SECONDS };
        let work = (need.prompt + need.output).0 as f64;
        let risk = if self.reclaimable { work * RECLAIM_RISK * service } else { 0.0 };
        let price = self.price.0 as f64 / 1e6 * PRICE_SECONDS;
        queue + prefill + distance + risk + price
    }
}

/// Chooses a server among those with a free slot; `None` if there is none.
pub fn choose<'a, R: Rng>(
    candidates: &'a [Candidate],
    need: &Need,
    random: &mut R,
) -> Option<&'a Candidate> {
    let free: Vec<_> = candidates.iter().filter(|candidate| candidate.has_free_slot()).collect();
    if free.is_empty() {
        return None;
    }
    let sampled = sample(random, free.len(), SAMPLE_SIZE.min(free.len()));
    // The server with the longest cached prefix is always compared, as sampling would often miss
    // it. So are the preferred servers, to which other nodes send prompts with the same prefix,
    // until they are crowded.
    let longest_cached = free.iter().filter(|it| it.cached.0 > 0).max_by_key(|it| it.cached);
    let preferred_servers = preferred_servers(&free);
    let by_chance = sampled
        .iter()
        .map(|index| (free[index], false))
        .chain(longest_cached.map(|it| (*it, false)));
    let compared = by_chance.chain(preferred_servers.into_iter().map(|it| (it, true)));
    let cost =
        |(candidate, is_preferred): &(&Candidate, bool)| candidate.cost_at(need, *is_preferred);
    let best = compared.min_by(|a, b| cost(a).total_cmp(&cost(b)));
    best.map(|(candidate, _)| candidate)
}

/// The servers with the largest affinity to the prompt's prefix that are not crowded. Empty for a
/// prompt that is too short to have a prefix.
fn preferred_servers<'a>(free: &[&'a Candidate]) -> Vec<&'a Candidate> {
    let has_room = |it: &&&Candidate| it.occupancy() < f64::from(it.slots) * CROWDED_OCCUPANCY;
    let eligible = free.iter().filter(|it| it.affinity > 0).filter(has_room);
    let mut ordered: Vec<_> = eligible.copied().collect();
    ordered.sort_by_key(|it| std::cmp::Reverse(it.affinity));
    ordered.truncate(PREFERRED_SERVERS);
    ordered
}

/// A server's weight for a prompt prefix, the same at every node (rendezvous hashing; Thaler and
/// Ravishankar, 1998). 0 for a prompt that is too short to have a prefix.
pub fn affinity(id: &BackendId, prefixes: &[u64]) -> u64 {
    let Some(beginning) = prefixes.get(..AFFINITY_BLOCKS).and_then(|it| it.last()) else {
        return 0;
    };
    let text = id.as_str().bytes();
    let hash = text.fold(*beginning, |hash, byte| mix(hash ^ u64::from(byte)));
    mix(hash).max(1)
}

fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    value ^ (value >> 29)
}

/// Hashes of a prompt's leading blocks; each hash covers all blocks up to its own.
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

/// Estimated tokens in a block of [`prefix_hashes`].
pub const BLOCK_TOKENS: u64 = 16;
