//! Bounds on what comes before the head of an answer is complete: interim answers, and bytes that are no answer.
//!
//! The library drops interim answers and reads on, so only the stream under it sees that they have no end.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};

use hyper::Request;
use hyper::ext::on_informational;

/// Interim answers to one request. A server that expects a body sends one, others a few.
pub const MAX_INTERIM_ANSWERS: u32 = 16;

/// Bytes of an answer's head with the interim answers before it. The library reads up to three of its buffers of a body
/// before anybody asks for them, which count as well.
pub const MAX_HEAD_BYTES: u64 = 128 << 10;

/// What has come before the head of the answer that is due on a connection.
#[derive(Debug, Default)]
pub struct HeadProgress {
    is_due: AtomicBool,
    bytes: AtomicU64,
    interim: AtomicU32,
}

impl HeadProgress {
    /// Begins to count for a request that is about to be sent.
    pub fn begin<B>(self: &Arc<Self>, request: &mut Request<B>) {
        self.bytes.store(0, Ordering::Relaxed);
        self.interim.store(0, Ordering::Relaxed);
        self.is_due.store(true, Ordering::Relaxed);
        let progress = self.clone();
        on_informational(request, move |_| {
            progress.interim.fetch_add(1, Ordering::Relaxed);
        });
    }

    /// Counts bytes that the connection brought.
    pub fn count_bytes(&self, bytes: u64) {
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
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
