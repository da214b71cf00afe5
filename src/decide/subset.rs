//! Which backend servers a box knows: of a small service all, of a large one a few hundred.
//!
//! What a box hears of the list, keeps and compares does not grow with the fleet this way, nor does what
//! the leader says to all of them with boxes times servers. The list lies in parts (see
//! [`crate::relay::list`]); a box takes those whose affinity to it is the largest, so a part that comes
//! or goes concerns the boxes that take it and changes nothing of what the others have.
//!
//! Over several regions a box takes mostly what stands near it: that is where its requests go.

use super::choose::affinity;
use super::topology::Reach;

/// Servers of a service that a box knows, at least, where there are so many. With 300 boxes before 3,000
/// engines each engine is known by 25 boxes. A box's start takes 27 KB for one such service: 22 ms of a link
/// of 10 Mbit/s (`tests/server_list.rs`).
pub const SUBSET: usize = 256;

/// Servers in a part above which it is split in two, and below which two become one: a change of one
/// server is told with those that stand beside it, so parts are small; and a box's index names each part,
/// so they are not smaller. In between nothing moves when a few come or go.
const PART_SIZE: (usize, usize) = (24, 6);

/// How many bits of their hashes tell the parts of `count` servers apart, where it was `bits` before.
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

/// The part in which a hash lies, told apart by `bits` bits.
pub fn part_place(hash: u64, bits: u32) -> u64 {
    hash.checked_shr(u64::BITS - bits).unwrap_or(0)
}

/// The part of the servers known that is to be of each reach, over several regions. Half are of the box's
/// own data centre; a quarter still is 64 servers, among which a spill finds its two.
const REACH_PARTS: [f64; Reach::ALL.len()] = [0.5, 0.25, 0.25];

/// How many servers of each reach a box is to know, of those there are.
pub fn shares(there: [usize; Reach::ALL.len()]) -> [usize; Reach::ALL.len()] {
    let mut shares = there;
    for (place, part) in REACH_PARTS.into_iter().enumerate() {
        shares[place] = there[place].min((SUBSET as f64 * part) as usize);
    }
    // What a reach lacks the others have, the nearest first.
    let mut left = SUBSET - shares.iter().sum::<usize>();
    for place in 0..shares.len() {
        let more = left.min(there[place] - shares[place]);
        shares[place] += more;
        left -= more;
    }
    shares
}

/// How many of `parts` parts in a data centre a box takes, where it is to know `wanted` of the `there`
/// servers that are as far.
pub fn parts_taken(parts: usize, wanted: usize, there: usize) -> usize {
    (parts * wanted).div_ceil(there.max(1)).min(parts)
}

/// The places of the parts that a box takes, `count` of those with these hashes.
pub fn chosen(box_hash: u64, parts: &[u64], count: usize) -> Vec<usize> {
    let mut places: Vec<_> = (0..parts.len()).collect();
    if count < parts.len() {
        places.sort_unstable_by_key(|place| std::cmp::Reverse(affinity(parts[*place], box_hash)));
        places.truncate(count);
        places.sort_unstable();
    }
    places
}
