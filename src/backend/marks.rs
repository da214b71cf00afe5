//! A bound on what a body holds beside its data: sizes and extensions of chunks, and trailers.
//!
//! The library takes any number of digits and blanks for the size of a chunk, so only the stream under it sees that
//! they have no end.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Bytes of one body beside its data at most, with those that [`MARKS_PER_BYTE`] allows. Up to three of the library's
/// buffers of data count until somebody asks for them.
pub const MAX_MARK_BYTES: u64 = 128 << 10;

/// Further bytes for each byte of data. A chunk of one byte needs five.
const MARKS_PER_BYTE: u64 = 8;

/// What has come of the body that is read on a connection.
#[derive(Debug, Default)]
pub struct MarkProgress {
    is_read: AtomicBool,
    bytes: AtomicU64,
    data: AtomicU64,
}

impl MarkProgress {
    /// Begins to count for a body.
    pub fn begin(&self) {
        self.bytes.store(0, Ordering::Relaxed);
        self.data.store(0, Ordering::Relaxed);
        self.is_read.store(true, Ordering::Relaxed);
    }

    /// Records that the body has come to its end.
    pub fn end(&self) {
        self.is_read.store(false, Ordering::Relaxed);
    }

    /// Counts bytes that the connection brought.
    pub fn count_bytes(&self, bytes: u64) {
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Counts data of the body.
    pub fn count_data(&self, bytes: u64) {
        self.data.fetch_add(bytes, Ordering::Relaxed);
    }

    /// What has come, if more of it is no data than any body needs.
    pub fn excess(&self) -> Option<MarkExcess> {
        let data = self.data.load(Ordering::Relaxed);
        let marks = self.bytes.load(Ordering::Relaxed).saturating_sub(data);
        let is_over = marks > MAX_MARK_BYTES + MARKS_PER_BYTE * data;
        (self.is_read.load(Ordering::Relaxed) && is_over).then_some(MarkExcess { marks, data })
    }
}

/// What came in place of a body's data.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{marks} bytes beside {data} bytes of data in a body")]
pub struct MarkExcess {
    /// Bytes that are no data.
    pub marks: u64,
    /// Bytes of data.
    pub data: u64,
}
