//! Selects the backend servers that a box knows: all of a small service, a few hundred of a large
//! one.
//!
//! This bounds what a box receives, stores and compares independently of the fleet's size, and
//! keeps the leader's messages from growing with boxes times servers. The list is divided into
//! parts (see [`crate::relay::list`]). A box takes the parts with the highest affinity to it, so a
//! part that appears or disappears affects only the boxes that take it.
//!
//! In a fleet over several regions a box takes mostly nearby servers, since most of its requests go
//! there.

use super::choose::affinity;
use super::topology::Reach;

/// The minimum number of servers of a service that a box knows, if the service has that many. With
/// 300 boxes and 3,000 engines each engine is known to 25 boxes. A starting box fetches 27 KB for
/// such a service, which take 22 ms on a 10 Mbit/s link (`tests/server_list.rs`).
pub const SUBSET_SIZE: usize = 256;

/// The part size in servers above which a part is split in two, and below which two are merged.
/// Parts are small because a change of one server resends its whole part; they are not smaller
/// because a box's index lists every part. The gap between both bounds keeps parts stable when a
/// few servers come or go.
const PART_SIZE: (usize, usize) = (24, 6);

/// The prefix length in bits that divides `count` servers into parts. `bits` is the previous
/// length.
pub fn part_bits(count: usize, bits: u32) -> u32 {
    let mut bits = bits;
    while count > PART_SIZE.0 << bits {
        bits += 1;
    }
    while bits > 0 && count < PART_SIZE.1 << bits {
        bits -= 1;
    }
    bits
}

/// The prefix of `hash` with the given length in bits.
pub fn part_prefix(hash: u64, bits: u32) -> u64 {
    hash.checked_shr(u64::BITS - bits).unwrap_or(0)
}

/// The fraction of a box's servers at each reach, in a fleet over several regions. Half are in the
/// box's own data centre. A quarter is 64 servers, enough for the two candidates that a spilled
/// request compares.
const REACH_FRACTIONS: [f64; Reach::ALL.len()] = [0.5, 0.25, 0.25];

/// How many servers of each reach a box takes, given how many exist.
pub fn servers_per_reach(existing: [usize; Reach::ALL.len()]) -> [usize; Reach::ALL.len()] {
    let mut servers_per_reach = existing;
    for (reach, fraction) in REACH_FRACTIONS.into_iter().enumerate() {
        servers_per_reach[reach] = existing[reach].min((SUBSET_SIZE as f64 * fraction) as usize);
    }
    // Unused capacity of one reach goes to the others, the nearest first.
    let mut remaining = SUBSET_SIZE - servers_per_reach.iter().sum::<usize>();
    for reach in 0..servers_per_reach.len() {
        let more = remaining.min(existing[reach] - servers_per_reach[reach]);
        servers_per_reach[reach] += more;
        remaining -= more;
    }
    servers_per_reach
}

/// How many of a data centre's `local` servers a box takes, so that it knows `wanted` of the `existing` servers at that
/// reach.
pub fn servers_to_take(local: usize, wanted: usize, existing: usize) -> usize {
    (local * wanted).div_ceil(existing.max(1)).min(local)
}

/// A part of one data centre's servers, as a box chooses among them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartSize {
    /// The hash of the part's id.
    pub id_hash: u64,
    /// The number of its servers.
    pub servers: usize,
}

/// The indices of the parts with the highest affinity to a box that together have `wanted` servers, or of all of them.
/// Parts differ in size, so a number of parts would say little about the number of servers.
pub fn select_parts(box_hash: u64, parts: &[PartSize], wanted: usize) -> Vec<usize> {
    let mut indices: Vec<_> = (0..parts.len()).collect();
    if wanted >= parts.iter().map(|part| part.servers).sum() {
        return indices;
    }
    indices
        .sort_unstable_by_key(|index| std::cmp::Reverse(affinity(parts[*index].id_hash, box_hash)));
    let mut missing = wanted;
    let taken = indices.iter().take_while(|index| {
        let is_needed = missing > 0;
        missing = missing.saturating_sub(parts[**index].servers);
        is_needed
    });
    let mut taken: Vec<_> = taken.copied().collect();
    taken.sort_unstable();
    taken
}
