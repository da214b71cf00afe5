//! What turns one text into another: stretches of the former one, and new text between them.
//!
//! It knows nothing of what the texts say, so the one that comes out is the other one to the byte; a hash tells
//! whether it is. Packed, it is deflated: routes resemble each other.

use std::collections::HashMap;
use std::io::{Read, Write};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// Bytes of the former text that are looked up together. A stretch of it that is shorter costs about as much
/// to name as to send.
const BLOCK_LEN: usize = 32;

/// Places of a block that are remembered. More of them are boilerplate, whose place tells nothing.
const MAX_OFFSETS_PER_BLOCK: usize = 512;

/// The longest text that is put together, in bytes: a damaged difference must not fill the memory.
pub const MAX_TEXT_LEN: usize = 16 << 20;

/// A hash of a text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest([u8; 32]);

impl Digest {
    /// The hash of a text.
    pub fn of(text: &str) -> Self {
        Self(Sha256::digest(text.as_bytes()).into())
    }
}

/// Why a difference gives no text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum DifferenceError {
    /// It can't be read.
    #[error("the difference can't be read")]
    Unreadable,
    /// It goes beyond the text that it is applied to, or beyond [`MAX_TEXT_LEN`].
    #[error("the difference is out of bounds")]
    OutOfBounds,
    /// What comes out is another text.
    #[error("the text that comes out has another hash")]
    DigestMismatch,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum Step {
    /// So many bytes of the former text, from this one on.
    Copy { from: u32, count: u32 },
    /// New bytes.
    Insert(Vec<u8>),
}

/// What turns one text into another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Difference {
    steps: Vec<Step>,
}

impl Difference {
    /// What turns `former` into `text`.
    pub fn between(former: &str, text: &str) -> Self {
        let (former, text) = (former.as_bytes(), text.as_bytes());
        let blocks = index_blocks(former);
        let mut steps = Vec::new();
        // Without a former text there is nothing to look for.
        let mut at = if blocks.is_empty() { text.len() } else { 0 };
        let mut done = 0;
        // Where the text at `at` would stand in the former one, had nothing changed since the last stretch.
        let mut expected = 0;
        while at + BLOCK_LEN <= text.len() {
            let Some(from) = find_block(former, &blocks, &text[at..at + BLOCK_LEN], expected)
            else {
                (at, expected) = (at + 1, expected + 1);
                continue;
            };
            let back = common_prefix_len(former[..from].iter().rev(), text[done..at].iter().rev());
            let (from, start) = (from - back, at - back);
            let count = common_prefix_len(former[from..].iter(), text[start..].iter());
            push_insert(&mut steps, &text[done..start]);
            steps.push(Step::Copy { from: from as u32, count: count as u32 });
            (at, done, expected) = (start + count, start + count, from + count);
        }
        push_insert(&mut steps, &text[done..]);
        Self { steps }
    }

    /// The text that comes out of `former`, if it has this hash.
    ///
    /// # Errors
    /// [`DifferenceError::OutOfBounds`] or [`DifferenceError::DigestMismatch`].
    pub fn apply(&self, former: &str, digest: Digest) -> Result<String, DifferenceError> {
        let former = former.as_bytes();
        let mut text = Vec::new();
        for step in &self.steps {
            let piece = match step {
                Step::Copy { from, count } => {
                    let from = *from as usize;
                    former.get(from..from.saturating_add(*count as usize))
                }
                Step::Insert(bytes) => Some(bytes.as_slice()),
            };
            let piece = piece.ok_or(DifferenceError::OutOfBounds)?;
            if text.len() + piece.len() > MAX_TEXT_LEN {
                return Err(DifferenceError::OutOfBounds);
            }
            text.extend_from_slice(piece);
        }
        let text = String::from_utf8(text).map_err(|_| DifferenceError::DigestMismatch)?;
        match Digest::of(&text) == digest {
            true => Ok(text),
            false => Err(DifferenceError::DigestMismatch),
        }
    }

    /// The difference as bytes.
    pub fn pack(&self) -> Vec<u8> {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
        let steps = postcard::to_allocvec(&self.steps).expect("steps always encode");
        let written = encoder.write_all(&steps).and_then(|()| encoder.finish());
        written.expect("memory takes all that is written")
    }

    /// A difference from its bytes.
    ///
    /// # Errors
    /// [`DifferenceError::Unreadable`].
    pub fn unpack(bytes: &[u8]) -> Result<Self, DifferenceError> {
        let mut steps = Vec::new();
        let limit = MAX_TEXT_LEN as u64 + 1;
        let read = DeflateDecoder::new(bytes).take(limit).read_to_end(&mut steps);
        read.map_err(|_| DifferenceError::Unreadable)?;
        let steps = postcard::from_bytes(&steps).map_err(|_| DifferenceError::Unreadable)?;
        Ok(Self { steps })
    }
}

fn push_insert(steps: &mut Vec<Step>, bytes: &[u8]) {
    if !bytes.is_empty() {
        steps.push(Step::Insert(bytes.to_vec()));
    }
}

/// How many elements both begin with.
fn common_prefix_len<'a>(
    one: impl Iterator<Item = &'a u8>,
    other: impl Iterator<Item = &'a u8>,
) -> usize {
    one.zip(other).take_while(|(one, other)| one == other).count()
}

/// The offsets of the blocks of a text, in order.
fn index_blocks(text: &[u8]) -> HashMap<&[u8], Vec<u32>> {
    let mut blocks: HashMap<&[u8], Vec<u32>> = HashMap::with_capacity(text.len() / BLOCK_LEN);
    for (block_index, block) in text.chunks_exact(BLOCK_LEN).enumerate() {
        let offsets = blocks.entry(block).or_default();
        if offsets.len() < MAX_OFFSETS_PER_BLOCK {
            offsets.push((block_index * BLOCK_LEN) as u32);
        }
    }
    blocks
}

/// Where a block stands in the former text: where it is expected, else as near as possible.
fn find_block(
    former: &[u8],
    blocks: &HashMap<&[u8], Vec<u32>>,
    block: &[u8],
    expected: usize,
) -> Option<usize> {
    if former.get(expected..expected + BLOCK_LEN) == Some(block) {
        return Some(expected);
    }
    let offsets = blocks.get(block)?;
    let following = offsets.partition_point(|offset| (*offset as usize) < expected);
    let nearest = [following.checked_sub(1), Some(following)].into_iter().flatten();
    let nearest = nearest.filter_map(|it| offsets.get(it)).map(|offset| *offset as usize);
    nearest.min_by_key(|offset| offset.abs_diff(expected))
}
