//! Moves running streams, including their KV cache, off a backend server that is shutting down. No
//! token is computed twice, and a stream that must not be repeated is not lost.
//!
//! The server is asked to stop the run and to copy its KV cache to another server. Its stream is
//! read up to the point where it stopped, and the other server continues after the last event. This
//! is still the same run, so it uses up no retry and does not count as a repetition.
//!
//! A stream without a length or chunks ends in the same way whether its run was stopped or complete.
//! The server's reply tells the two apart; without it, such an end counts as broken off.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Method, Request, StatusCode};
use tokio::sync::watch;

use super::Relay;
use super::attempt::{StartState, record_foreign};
use super::attempts::CallAttempts;
use super::call::{Call, KvCacheExport, MoveReply};
use super::export::{ExportReply, StopOutcome, StreamEnd, read_until_stopped};
use super::known::KnownServer;
use super::quarantine;
use super::reach;
use super::stream::{EventSource, StartOutcome, StreamProgress, start_stream};
use super::table::{EngineSpec, Route};
use crate::backend::{Reuse, SendFault};
use crate::blackboard::fleet::Leaving;
use crate::decide::reclaim::{self, LeavingStream, ReclaimAction};
use crate::ids::ServiceName;
use crate::units::Tokens;

/// How long a server may take to stop a run and copy its KV cache, and then to end its stream.
const MOVE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time until a stream is moved again that continues on its own leaving server, as no other had room for it. Each move
/// interrupts it.
pub(super) const MOVE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Largest reply to the export request, in bytes.
const MAX_REPLY_BYTES: usize = 64 << 10;

/// Number of copies that are assumed to share the links, including both ends of a link between data
/// centres.
const CONCURRENT_COPIES: f64 = 8.0;

/// Fraction of the maximum output that a generation is expected to produce.
const EXPECTED_OUTPUT_SHARE: f64 = 0.7;

/// Outcome of a move. Each variant holds the events that arrived in the meantime.
pub(super) enum MoveOutcome {
    /// Another server continues the stream.
    Moved(Bytes, Box<EventSource>),
    /// The stream ended on its own.
    Ended(Bytes),
    /// Nothing was moved, and the stream continues on its server.
    NotMoved(Bytes),
    /// The stream broke off, or its run was stopped and no server could continue it.
    Lost(Bytes, SendFault),
}

/// Waits until the watched server is shutting down, at least until `earliest`; forever if no server is watched.
pub(super) async fn wait_until_leaving(
    leave_signal: &mut Option<watch::Receiver<Option<Leaving>>>,
    earliest: Instant,
) -> Leaving {
    let Some(leave_signal) = leave_signal else {
        return std::future::pending().await;
    };
    loop {
        let leaving = *leave_signal.borrow_and_update();
        if let Some(leaving) = leaving {
            tokio::time::sleep_until(earliest.into()).await;
            return leaving;
        }
        if leave_signal.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Whether a stream should be moved rather than finished on its server.
pub(super) fn is_worth_moving(
    relay: &Relay,
    call: &Call,
    service: &ServiceName,
    source: &EventSource,
    events: u64,
    leaving: &Leaving,
) -> bool {
    let spec = relay.engine_spec(service).filter(|spec| spec.moves);
    let (Some(spec), Some(size)) = (spec, call.head.generation) else {
        return false;
    };
    let delivered = events * spec.event.0;
    let expected_output = (size.max_output_tokens as f64 * EXPECTED_OUTPUT_SHARE) as u64;
    let facts = LeavingStream {
        notice: leaving.gone.saturating_duration_since(Instant::now()),
        prompt_tokens: Tokens(size.prompt_tokens),
        delivered_tokens: Tokens(delivered),
        remaining_tokens: Tokens(expected_output).less(Tokens(delivered)),
        token_interval: source.sent_at.elapsed()
            / u32::try_from(delivered.max(1)).unwrap_or(u32::MAX),
        export_time: export_time(&spec, size.prompt_tokens + delivered),
        // A moved run is not repeated, so this holds for every route.
        repeatable: true,
    };
    reclaim::choose_action(&facts) == ReclaimAction::Export
}

fn export_time(spec: &EngineSpec, tokens: u64) -> Duration {
    match spec.copy_rate > 0.0 {
        true => {
            Duration::from_secs_f64((tokens as f64 / spec.copy_rate * CONCURRENT_COPIES).min(60.0))
        }
        false => Duration::MAX,
    }
}

/// Moves a stream to another server.
pub(super) async fn move_stream(
    relay: &Relay,
    call: &Call,
    route: &Route,
    attempts: &CallAttempts,
    source: &mut EventSource,
    progress: &mut StreamProgress,
) -> MoveOutcome {
    let known = source.flight.server().clone();
    if quarantine::check(relay, call, attempts.service()).is_err() {
        return MoveOutcome::NotMoved(Bytes::new());
    }
    let Some(target) = attempts.move_target(relay, &known) else {
        return MoveOutcome::NotMoved(Bytes::new());
    };
    let mut ready = BytesMut::new();
    let limit = MOVE_TIMEOUT.min(call.time_left());
    let exporting = request_export(relay, call, &known, target.server.addr, limit);
    let outcome = read_until_stopped(source, progress, &mut ready, limit, exporting).await;
    let (reply, end) = match outcome {
        StopOutcome::Complete => return MoveOutcome::Ended(ready.freeze()),
        StopOutcome::Replied(reply, end) => (reply, end),
    };
    // Without a clear reply the run may be stopped later, too.
    source.stop = reply.stop_state();
    let (status, handle) = match reply {
        ExportReply::Stopped { status, handle } => (status, handle),
        ExportReply::NotStopped | ExportReply::Unknown => {
            return without_export(call, source, progress, ready.freeze(), end);
        }
    };
    tracing::info!(
        event = "stream_stopped_to_move", id = call.head.id, from = %known.server.id,
        to = %target.server.id, status = status.as_u16(), last = progress.last_event_id,
        framing = %source.exchange.framing, end = end.as_ref().map(StreamEnd::to_string),
    );
    let export = KvCacheExport { source: known.server.addr, handle };
    // Without room at the target, the source keeps the KV cache and may continue the run itself.
    let candidates = match status.is_success() {
        true => [&target, &known],
        false => [&known, &known],
    };
    for candidate in candidates {
        let start = StartState {
            last_event_id: progress.last_event_id,
            prefix_source: None,
            kv_export: Some(&export),
        };
        match start_stream(relay, call, route, candidate, start).await {
            Ok(StartOutcome::Stream(opened)) => {
                relay.context.metrics.count_resume("moved");
                tracing::info!(
                    event = "stream_moved", id = call.head.id, backend_server = %candidate.server.id,
                    last = progress.last_event_id,
                );
                let (mut moved, first) = opened.into_parts();
                if progress.record_event(&first) {
                    ready.extend_from_slice(&first);
                }
                return match progress.take_events(&mut moved) {
                    Ok(events) => {
                        ready.extend_from_slice(&events);
                        MoveOutcome::Moved(ready.freeze(), Box::new(moved))
                    }
                    Err(fault) => MoveOutcome::Lost(ready.freeze(), fault),
                };
            }
            Ok(StartOutcome::Whole(response, _)) => tracing::info!(
                event = "move_refused", id = call.head.id, backend_server = %candidate.server.id,
                status = response.status().as_u16(),
            ),
            Err(failure) => tracing::info!(
                event = "move_refused", id = call.head.id, backend_server = %candidate.server.id, ?failure,
            ),
        }
    }
    let fault = SendFault::Broke("the run could not be moved".to_owned());
    MoveOutcome::Lost(ready.freeze(), fault)
}

/// The outcome for a stream whose server made no export.
fn without_export(
    call: &Call,
    source: &EventSource,
    progress: &StreamProgress,
    ready: Bytes,
    end: Option<StreamEnd>,
) -> MoveOutcome {
    let Some(end) = end else {
        return MoveOutcome::NotMoved(ready);
    };
    tracing::info!(
        event = "stream_ended_while_moving", id = call.head.id,
        backend_server = %source.flight.server().server.id, framing = %source.exchange.framing,
        last = progress.last_event_id, stop = ?source.stop, end = %end,
    );
    let judged = match end {
        StreamEnd::Closed => source.judge_end(),
        StreamEnd::Broke(fault) => Err(fault),
    };
    match judged {
        Ok(()) => MoveOutcome::Ended(ready),
        Err(fault) => MoveOutcome::Lost(ready, fault),
    }
}

/// Asks a server to stop the run and export its KV cache. It may take `limit` for the head of its reply, and again for
/// the body.
async fn request_export(
    relay: &Relay,
    call: &Call,
    source: &Arc<KnownServer>,
    target: SocketAddr,
    limit: Duration,
) -> ExportReply {
    let (path, headers, body) = relay.context.dialect.write_move(call, &source.server.id, target);
    let request = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header(HOST, source.server.addr.to_string())
        .header(CONTENT_TYPE, HeaderValue::from_static("application/json"))
        .body(Full::new(Bytes::from(body)));
    let Ok(mut request) = request else {
        return ExportReply::NotStopped;
    };
    request.headers_mut().extend(headers);
    let answered = async {
        // The request has no id that its reply could name, so the reply must be the first on its connection.
        let mut exchange = reach::send(relay, source, request, limit, Reuse::Never).await?;
        let status = exchange.status;
        let reply = relay.context.dialect.read_reply(call, status, &exchange.headers);
        let Some(head) = reply.to_unnamed(&mut exchange) else {
            record_foreign(relay, call, source, &exchange, reply.named);
            return Err(SendFault::Broke("the reply belongs to another request".to_owned()));
        };
        let body = exchange.read_whole(MAX_REPLY_BYTES, limit).await?;
        Ok((status, head.not_run, body))
    };
    match answered.await {
        Ok((status, not_run, body)) => {
            let MoveReply { incarnation, handle } = relay.context.dialect.read_move_reply(&body);
            // A misdirected request was answered by a different server, whose incarnation does not
            // concern this one.
            if status != StatusCode::MISDIRECTED_REQUEST {
                relay.servers.apply_incarnation(source, incarnation);
            }
            if handle.is_none() {
                tracing::info!(
                    event = "move_not_made",
                    id = call.head.id,
                    status = status.as_u16()
                );
            }
            ExportReply::from_answer(status, not_run, handle)
        }
        Err(fault) => {
            tracing::info!(event = "move_not_made", id = call.head.id, detail = %fault);
            match fault.is_not_sent() {
                true => ExportReply::NotStopped,
                false => ExportReply::Unknown,
            }
        }
    }
}
