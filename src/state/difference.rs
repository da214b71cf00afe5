//! Differences between texts: ranges copied from the former text, and inserted bytes between them.
//!
//! The content is opaque, so applying a difference reproduces the text byte for byte, which a digest
//! verifies. A packed difference is compressed by DEFLATE, as routes resemble each other.

use std::collections::HashMap;
use std::io::{Read, Write};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// The length of an indexed block of the former text, in bytes. Referring to a shorter range takes about
/// as many bytes as sending it.
const BLOCK_LEN: usize = 32;

/// The maximum number of offsets indexed for equal blocks. A block with more is boilerplate, and its
/// offset does not help to find a long match.
const MAX_OFFSETS_PER_BLOCK: usize = 512;

/// The maximum length of a reconstructed text in bytes, so that a damaged difference cannot exhaust
/// memory.
pub const MAX_TEXT_LEN: usize = 16 << 20;

/// The SHA-256 digest of a text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Computes the digest of `text`.
    pub fn of(text: &str) -> Self {
        Self(Sha256::digest(text.as_bytes()).into())
    }
}

/// An error in reading or applying a difference.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum DifferenceError {
    /// The packed difference cannot be decoded.
    #[error("the difference cannot be decoded")]
    Unreadable,
    /// A range exceeds the former text, or the result exceeds [`MAX_TEXT_LEN`].
    #[error("the difference exceeds the former text or the size limit")]
    OutOfBounds,
    /// The result does not have the expected digest, or is not UTF-8.
    #[error("the resulting text does not match its digest")]
    DigestMismatch,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum Step {
    /// Copies `count` bytes of the former text, starting at offset `from`.
    Copy { from: u32, count: u32 },
    /// Inserts these bytes.
    Insert(#[serde(with = "byte_string")] Vec<u8>),
}

/// Encodes bytes as one string of bytes rather than one by one, which is much slower. Both are the same in a packed
/// difference.
mod byte_string {
    use std::fmt;

    use serde::de::{Deserializer, Error, Visitor};
    use serde::ser::Serializer;

    pub(super) fn serialize<S: Serializer>(bytes: &[u8], to: S) -> Result<S::Ok, S::Error> {
        to.serialize_bytes(bytes)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<u8>, D::Error> {
        from.deserialize_bytes(ByteString)
    }

    struct ByteString;

    impl Visitor<'_> for ByteString {
        type Value = Vec<u8>;

        fn expecting(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
            to.write_str("a string of bytes")
        }

        fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Vec<u8>, E> {
            Ok(bytes.to_vec())
        }
    }
}

/// The steps that turn one text into another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Difference {
    steps: Vec<Step>,
}

impl Difference {
    /// Computes the steps that turn `former` into `text`.
    pub fn between(former: &str, text: &str) -> Self {
        let (former, text) = (former.as_bytes(), text.as_bytes());
        let blocks = index_blocks(former);
        let mut steps = Vec::new();
        // Without indexed blocks there is nothing to match: the whole text is inserted.
        let mut at = if blocks.is_empty() { text.len() } else { 0 };
        let mut done = 0;
        // The offset in `former` that corresponds to `at` if nothing changed since the last match.
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

    /// Applies the steps to `former` and checks the result against `digest`.
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

    /// Encodes and compresses the difference.
    pub fn pack(&self) -> Vec<u8> {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
        let steps = postcard::to_allocvec(&self.steps).expect("steps always encode");
        let written = encoder.write_all(&steps).and_then(|()| encoder.finish());
        written.expect("writing to a Vec does not fail")
    }

    /// Decompresses and decodes a difference.
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

/// Returns the length of the common prefix of two sequences.
fn common_prefix_len<'a>(
    one: impl Iterator<Item = &'a u8>,
    other: impl Iterator<Item = &'a u8>,
) -> usize {
    one.zip(other).take_while(|(one, other)| one == other).count()
}

/// Maps each aligned block of a text to its offsets, in ascending order.
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

/// Returns the offset of `block` in the former text: the expected one if it matches, otherwise the
/// nearest indexed one.
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
