//! The stream under the library, which counts what comes of an answer and ends one without an end.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::head::{HeadExcess, HeadProgress};
use super::marks::{MarkExcess, MarkProgress};

/// What has come of the answer that is due on a connection.
#[derive(Debug, Default)]
pub struct AnswerBounds {
    /// What came before its head was complete.
    pub head: Arc<HeadProgress>,
    /// What came behind it.
    pub body: MarkProgress,
}

impl AnswerBounds {
    /// What has come, if it is more than any answer needs.
    pub fn excess(&self) -> Option<AnswerExcess> {
        let head = self.head.excess().map(AnswerExcess::Head);
        head.or_else(|| self.body.excess().map(AnswerExcess::Body))
    }
}

/// What came in place of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum AnswerExcess {
    /// What came is not the beginning of an answer.
    #[error(transparent)]
    Head(HeadExcess),
    /// What came is not the data of a body.
    #[error(transparent)]
    Body(MarkExcess),
}

/// A connection whose reads fail once a bound is passed.
pub struct LimitedStream {
    stream: TcpStream,
    progress: Arc<AnswerBounds>,
}

impl LimitedStream {
    /// Counts what is read from `stream`.
    pub fn new(stream: TcpStream, progress: Arc<AnswerBounds>) -> Self {
        Self { stream, progress }
    }
}

impl AsyncRead for LimitedStream {
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
        let bytes = &buf.filled()[before..];
        self.progress.head.record(bytes);
        self.progress.body.count_bytes(bytes.len() as u64);
        read
    }
}

impl AsyncWrite for LimitedStream {
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
