//! Bounds on what comes before the head of an answer is complete: interim answers, and bytes that are no answer.
//!
//! The library drops interim answers and reads on, so only the stream under it sees that they have no end.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::task::{Context, Poll};

use hyper::Request;
use hyper::ext::on_informational;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

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

/// A connection whose reads fail once too much has come before the head of an answer.
pub struct HeadLimited {
    stream: TcpStream,
    progress: Arc<HeadProgress>,
}

impl HeadLimited {
    /// Counts what is read from `stream`.
    pub fn new(stream: TcpStream, progress: Arc<HeadProgress>) -> Self {
        Self { stream, progress }
    }
}

impl AsyncRead for HeadLimited {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Some(excess) = self.progress.excess() {
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, excess)));
        }
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        let bytes = (buf.filled().len() - before) as u64;
        self.progress.bytes.fetch_add(bytes, Ordering::Relaxed);
        read
    }
}

impl AsyncWrite for HeadLimited {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
