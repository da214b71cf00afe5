//! How a stream ends while its server is asked to stop the run and to export its KV cache.

use std::fmt;
use std::pin::pin;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use hyper::StatusCode;

use super::stream::{EventSource, Received, StreamProgress, next_events};
use crate::backend::SendFault;
use crate::decide::completeness::StopState;

/// A server's reply to the request to stop a run and export its KV cache.
pub(super) enum ExportReply {
    /// The run was stopped; the handle is that of the export.
    Stopped { status: StatusCode, handle: String },
    /// The run was not stopped: the server knows no such run, or refuses.
    NotStopped,
    /// The run may have been stopped.
    Unknown,
}

impl ExportReply {
    /// Interprets an answer. `not_run` is whether the server says that it did not execute the request.
    pub(super) fn from_answer(status: StatusCode, not_run: bool, handle: Option<String>) -> Self {
        match (handle, status) {
            (Some(handle), _) => Self::Stopped { status, handle },
            (None, _) if not_run => Self::NotStopped,
            // A request to stop the run may be under way, or the server may be gone from its address.
            (None, StatusCode::CONFLICT | StatusCode::MISDIRECTED_REQUEST) => Self::Unknown,
            (None, status) if status.is_client_error() => Self::NotStopped,
            (None, _) => Self::Unknown,
        }
    }

    /// What the reply proves of the run.
    pub(super) fn stop_state(&self) -> StopState {
        match self {
            Self::Stopped { .. } => StopState::Stopped,
            Self::NotStopped => StopState::Running,
            Self::Unknown => StopState::Unanswered,
        }
    }
}

/// How a stream ended whose framing does not prove that it is complete.
pub(super) enum StreamEnd {
    /// Its connection closed in order, and nothing else marks its end.
    Closed,
    /// It broke off.
    Broke(SendFault),
}

impl fmt::Display for StreamEnd {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Closed => formatter.write_str("closed"),
            Self::Broke(fault) => fault.fmt(formatter),
        }
    }
}

/// What came first when a server was asked to stop a run.
pub(super) enum StopOutcome {
    /// The end of the stream, as marked by the framing of the answer: it is complete.
    Complete,
    /// The server's reply. The stream has been read to its end, except if its run was not stopped and it goes on.
    Replied(ExportReply, Option<StreamEnd>),
}

/// Reads a stream until its server has replied to the export request, and up to the stream's end if the run was
/// stopped. A time of `limit` without an event ends it as well.
pub(super) async fn read_until_stopped(
    source: &mut EventSource,
    progress: &mut StreamProgress,
    ready: &mut BytesMut,
    limit: Duration,
    exporting: impl Future<Output = ExportReply>,
) -> StopOutcome {
    let mut exporting = pin!(exporting);
    let mut reply = None;
    let began = Instant::now();
    let end = loop {
        // Parts of an event are no sign that it will end.
        let silent = progress.last_event_at().max(began).elapsed();
        let silence = limit.saturating_sub(silent);
        tokio::select! {
            replied = &mut exporting, if reply.is_none() => match replied {
                ExportReply::Stopped { .. } => reply = Some(replied),
                ExportReply::NotStopped | ExportReply::Unknown => {
                    return StopOutcome::Replied(replied, None);
                }
            },
            received = next_events(source, progress, silence) => match received {
                Ok(Received::Events(events)) => ready.extend_from_slice(&events),
                Ok(Received::End) => return StopOutcome::Complete,
                Ok(Received::Closed) => break StreamEnd::Closed,
                Err(fault) => break StreamEnd::Broke(fault),
            },
        }
    };
    let reply = match reply {
        Some(reply) => reply,
        None => exporting.await,
    };
    StopOutcome::Replied(reply, Some(end))
}
