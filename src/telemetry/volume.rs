//! Bounds the lines about ordinary successes.
//!
//! Failures and changes of belief are always logged. A line about a request that went well is worth
//! less the more of them there are: beyond a rate they are left out, and counted.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use std::sync::OnceLock;

/// Lines about ordinary successes in one second at most; about five times what a box of the size to
/// plan for answers.
const LINES: u64 = 150;

/// Seconds since the process began, and lines in that second, in one number.
static STATE: AtomicU64 = AtomicU64::new(0);

static LEFT_OUT: AtomicU64 = AtomicU64::new(0);

static START: OnceLock<Instant> = OnceLock::new();

/// Bits for the lines of one second.
const LINE_BITS: u32 = 20;

/// Whether a line about an ordinary success may be written now.
pub fn allows_ordinary() -> bool {
    let second = START.get_or_init(Instant::now).elapsed().as_secs();
    let allowed = STATE.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |state| {
        let (held, lines) = (state >> LINE_BITS, state & ((1 << LINE_BITS) - 1));
        match held == second {
            true if lines >= LINES => None,
            true => Some(state + 1),
            false => Some((second << LINE_BITS) + 1),
        }
    });
    if allowed.is_err() {
        LEFT_OUT.fetch_add(1, Ordering::Relaxed);
    }
    allowed.is_ok()
}

/// Lines left out since the start.
pub fn left_out() -> u64 {
    LEFT_OUT.load(Ordering::Relaxed)
}
