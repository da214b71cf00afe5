//! Bounds on what comes before the head of an answer is complete: interim answers, and bytes that are no answer.
//!
//! The library drops interim answers and reads on, so only the stream under it sees that they have no end.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use hyper::Request;
use hyper::ext::on_informational;

use super::joined::holds_status_line;
use crate::sync::lock;

/// Interim answers to one request. A server that expects a body sends one, others a few.
pub const MAX_INTERIM_ANSWERS: u32 = 16;

/// Bytes of an answer's head with the interim answers before it. The library reads up to three of its buffers of a body
/// before anybody asks for them, which count as well.
pub const MAX_HEAD_BYTES: u64 = 128 << 10;

/// Bytes that are kept of a first line.
const MAX_LINE_BYTES: usize = 512;

/// What has come before the head of the answer that is due on a connection.
#[derive(Debug, Default)]
pub struct HeadProgress {
    is_due: AtomicBool,
    bytes: AtomicU64,
    interim: AtomicU32,
    /// The first line as it came: the library drops a reason that is not ASCII.
    first_line: Mutex<Vec<u8>>,
}

impl HeadProgress {
    /// Begins to count for a request that is about to be sent.
    pub fn begin<B>(self: &Arc<Self>, request: &mut Request<B>) {
        self.bytes.store(0, Ordering::Relaxed);
        self.interim.store(0, Ordering::Relaxed);
        lock(&self.first_line).clear();
        self.is_due.store(true, Ordering::Relaxed);
        let progress = self.clone();
        on_informational(request, move |_| {
            progress.interim.fetch_add(1, Ordering::Relaxed);
        });
    }

    /// Counts bytes that the connection brought.
    pub fn record(&self, bytes: &[u8]) {
        self.bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        if self.is_due.load(Ordering::Relaxed) {
            let mut line = lock(&self.first_line);
            if !line.ends_with(b"\n") {
                let room = MAX_LINE_BYTES - line.len();
                let rest =
                    bytes.iter().position(|byte| *byte == b'\n').map_or(bytes.len(), |at| at + 1);
                line.extend_from_slice(&bytes[..rest.min(room)]);
            }
        }
    }

    /// Whether the beginning of another answer runs into the first line.
    pub fn is_line_joined(&self) -> bool {
        lock(&self.first_line).get(1..).is_some_and(holds_status_line)
    }

    /// Records that the head is complete.
    pub fn end(&self) {
        self.is_due.store(false, Ordering::Relaxed);
    }

    /// What has come, if it is more than any answer begins with.
    pub fn excess(&self) -> Option<HeadExcess> {
        let excess = HeadExcess {
            bytes: self.bytes.load(Ordering::Relaxed),
            interim: self.interim.load(Ordering::Relaxed),
        };
        let is_over = excess.bytes > MAX_HEAD_BYTES || excess.interim > MAX_INTERIM_ANSWERS;
        (self.is_due.load(Ordering::Relaxed) && is_over).then_some(excess)
    }
}

/// What came in place of an answer's head.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("no head of an answer in {bytes} bytes with {interim} interim answers")]
pub struct HeadExcess {
    /// Bytes read.
    pub bytes: u64,
    /// Interim answers among them.
    pub interim: u32,
}
