//! The text a fake engine generates: a pure function of the prompt and the token's place, so that a
//! test can tell a whole answer from a cut, doubled or foreign one.

/// The text of token `index` of the answer to `prompt`. Some tokens hold multi-byte characters.
pub fn token(prompt: &str, index: usize) -> String {
    let seed = mix(fingerprint(prompt) ^ (index as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let lead = ['a', 'þ', 'ñ', 'ö', '雪', '🔥'][(seed % 6) as usize];
    format!("{lead}{:03x} ", (seed >> 8) & 0xfff)
}

/// The whole answer of `count` tokens to `prompt`.
pub fn answer(prompt: &str, count: usize) -> String {
    (0..count).map(|index| token(prompt, index)).collect()
}

/// The number of tokens a text is taken to hold: one per four bytes, at least one.
pub fn count(text: &str) -> usize {
    text.len() / 4 + 1
}

/// A stable 64-bit fingerprint of a text (FNV-1a).
pub fn fingerprint(text: &str) -> u64 {
    let start = 0xcbf2_9ce4_8422_2325_u64;
    text.bytes().fold(start, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3))
}

fn mix(mut value: u64) -> u64 {
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
