//! Answers whose end is the close of their connection: those without a known length to callers of HTTP/1.0.
//!
//! To such a caller an orderly close completes the answer, so one that broke off has to end with a reset. The
//! socket is set to reset when it is closed before the first byte of the answer is written, and set back once
//! all of it has been written. Whatever ends the connection in between resets it, the end of the process too.

use std::io;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use hyper::body::Body as _;
use hyper::header::CONTENT_LENGTH;
use hyper::{Method, Response, StatusCode, Version};
use socket2::SockRef;
use tokio::net::TcpStream;

use super::Body;
use crate::sync::lock;

/// Whether the answer to a request ends with its connection.
pub(super) fn is_close_delimited(
    version: Version,
    method: &Method,
    response: &Response<Body>,
) -> bool {
    let has_no_body = *method == Method::HEAD
        || matches!(response.status(), StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let has_length = response.headers().contains_key(CONTENT_LENGTH)
        || response.body().is_end_stream()
        || response.body().size_hint().exact().is_some();
    version == Version::HTTP_10 && !has_no_body && !has_length
}

/// The close-delimited answer of a connection, which is the connection's last.
#[derive(Debug, Default)]
pub(super) struct CloseDelimited {
    progress: Mutex<Progress>,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Progress {
    /// The connection has had no such answer.
    #[default]
    NotBegun,
    /// Its body has not ended.
    Open,
    /// Its body has ended as complete. Some of it may not have been written yet.
    Ended,
}

impl CloseDelimited {
    fn progress(&self) -> MutexGuard<'_, Progress> {
        lock(&self.progress)
    }

    /// Such an answer begins.
    pub(super) fn begin(&self) {
        *self.progress() = Progress::Open;
    }

    /// The body of an answer has ended as complete.
    pub(super) fn end(&self) {
        let mut progress = self.progress();
        if *progress == Progress::Open {
            *progress = Progress::Ended;
        }
    }

    /// Has closing the socket reset it if such an answer has begun.
    ///
    /// # Errors
    /// When the system refuses the option.
    pub(super) fn before_write(&self, stream: &TcpStream) -> io::Result<()> {
        match *self.progress() {
            Progress::NotBegun => Ok(()),
            Progress::Open | Progress::Ended => {
                SockRef::from(stream).set_linger(Some(Duration::ZERO))
            }
        }
    }

    /// Has closing the socket be orderly again once all of the answer has been written.
    ///
    /// # Errors
    /// When the body has not ended, or the system refuses the option.
    pub(super) fn before_shutdown(&self, stream: &TcpStream) -> io::Result<()> {
        match *self.progress() {
            Progress::NotBegun => Ok(()),
            Progress::Open => Err(io::Error::other("the answer has not ended")),
            Progress::Ended => SockRef::from(stream).set_linger(None),
        }
    }
}
