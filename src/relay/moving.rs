//! Moves running streams off a backend server that is leaving, with their memory, so that nothing is
//! read again and a stream that may run only once is not lost.
//!
//! The server is asked to stop the run and to copy its memory to another one; its stream is read to
//! where it stopped, and the other server goes on behind the last event. That is the same run: it
//! needs neither a further attempt nor a repetition.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Method, Request, StatusCode};
use tokio::sync::watch;

use super::Relay;
use super::attempt::StartState;
use super::attempts::CallAttempts;
use super::call::{Call, KvCacheExport, MoveReply};
use super::known::Known;
use super::quarantine;
use super::stream::{Opening, Progress, Source, next, open};
use super::table::{EngineSpec, Route};
use crate::backend::{Reuse, SendFault};
use crate::blackboard::fleet::Leaving;
use crate::decide::reclaim::{self, StreamFacts, Way};
use crate::ids::ServiceName;
use crate::units::Tokens;

/// How long a server may take to stop a run and copy its memory, and then to end its stream.
const MOVE_TIME: Duration = Duration::from_millis(1_500);

/// Bytes of its answer at most.
const ANSWER_LIMIT: usize = 64 << 10;

/// Copies that one copy waits for on the links, and the two ends of a link between data centres.
const COPIES_AHEAD: f64 = 8.0;

/// The part of the most that may come out which is taken to come out.
const LIKELY_PART: f64 = 0.7;

/// What came of a move.
pub(super) enum Moved {
    /// Another server goes on; events that came meanwhile.
    Elsewhere(Bytes, Box<Source>),
    /// The stream ended by itself meanwhile; its last events.
    Ended(Bytes),
    /// Nothing was moved, and the stream goes on where it is; events that came meanwhile.
    Stays(Bytes),
    /// The run was stopped and nobody could go on with it; events that came before.
    Lost(Bytes),
}

/// Waits until the server that is followed is leaving; for ever where none is.
pub(super) async fn leaving_of(
    following: &mut Option<watch::Receiver<Option<Leaving>>>,
) -> Leaving {
    let Some(following) = following else {
        return std::future::pending().await;
    };
    loop {
        if let Some(leaving) = *following.borrow_and_update() {
            return leaving;
        }
        if following.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Whether a stream is better moved than finished where it is.
pub(super) fn is_worth(
    relay: &Relay,
    call: &Call,
    service: &ServiceName,
    source: &Source,
    events: u64,
    leaving: &Leaving,
) -> bool {
    let spec = relay.engine_spec(service).filter(|spec| spec.moves);
    let (Some(spec), Some(size)) = (spec, call.head.generation) else {
        return false;
    };
    let delivered = events * spec.event.0;
    let likely = (size.max_output_tokens as f64 * LIKELY_PART) as u64;
    let facts = StreamFacts {
        notice: leaving.gone.saturating_duration_since(Instant::now()),
        prompt: Tokens(size.prompt_tokens),
        delivered: Tokens(delivered),
        remaining: Tokens(likely).less(Tokens(delivered)),
        between: source.began.elapsed() / u32::try_from(delivered.max(1)).unwrap_or(u32::MAX),
        export: export_time(&spec, size.prompt_tokens + delivered),
        // The move keeps it one run.
        repeatable: true,
    };
    reclaim::choose(&facts) == Way::Export
}

fn export_time(spec: &EngineSpec, tokens: u64) -> Duration {
    match spec.copy_rate > 0.0 {
        true => Duration::from_secs_f64((tokens as f64 / spec.copy_rate * COPIES_AHEAD).min(60.0)),
        false => Duration::MAX,
    }
}

/// Moves a stream to another server.
pub(super) async fn move_away(
    relay: &Relay,
    call: &Call,
    route: &Route,
    attempts: &CallAttempts,
    source: &mut Source,
    progress: &mut Progress,
) -> Moved {
    let known = source.flight.known().clone();
    if quarantine::check(relay, call).is_err() {
        return Moved::Stays(Bytes::new());
    }
    let Some(target) = attempts.target(relay, &known) else {
        return Moved::Stays(Bytes::new());
    };
    let mut ready = BytesMut::new();
    let mut answer = None;
    let mut end = None;
    {
        let mut asking = std::pin::pin!(ask(relay, call, &known, target.server.addr));
        while answer.is_none() || end.is_none() {
            tokio::select! {
                answered = &mut asking, if answer.is_none() => answer = Some(answered),
                came = next(source, progress, MOVE_TIME), if end.is_none() => match came {
                    Ok(Some(events)) => ready.extend_from_slice(&events),
                    Ok(None) => return Moved::Ended(ready.freeze()),
                    Err(fault) => end = Some(fault),
                },
            }
            if let Some(None) = answer {
                break;
            }
        }
    }
    let Some(Some((status, handle))) = answer else {
        return match end {
            None => Moved::Stays(ready.freeze()),
            Some(_) => Moved::Lost(ready.freeze()),
        };
    };
    tracing::info!(
        event = "stream_stopped_to_move", id = call.head.id, from = %known.server.id,
        to = %target.server.id, status = status.as_u16(), last = progress.last,
        end = end.as_ref().map(SendFault::to_string),
    );
    let export = KvCacheExport { source: known.server.addr, handle };
    // Without room at the target, the source keeps the memory and may go on itself.
    let places = match status.is_success() {
        true => [&target, &known],
        false => [&known, &known],
    };
    for place in places {
        let start = StartState {
            last_event_id: progress.last,
            prefix_source: None,
            kv_export: Some(&export),
        };
        match open(relay, call, route, place, start).await {
            Ok(Opening::Stream(opened)) => {
                relay.context.metrics.count_resume("moved");
                tracing::info!(
                    event = "stream_moved", id = call.head.id, backend_server = %place.server.id,
                    last = progress.last,
                );
                let (mut moved, first) = opened.into_parts();
                if progress.pass(&first) {
                    ready.extend_from_slice(&first);
                }
                return match progress.take(&mut moved) {
                    Ok(events) => {
                        ready.extend_from_slice(&events);
                        Moved::Elsewhere(ready.freeze(), Box::new(moved))
                    }
                    Err(_) => Moved::Lost(ready.freeze()),
                };
            }
            Ok(Opening::Whole(response, _)) => tracing::info!(
                event = "move_refused", id = call.head.id, backend_server = %place.server.id,
                status = response.status().as_u16(),
            ),
            Err(failure) => tracing::info!(
                event = "move_refused", id = call.head.id, backend_server = %place.server.id, ?failure,
            ),
        }
    }
    Moved::Lost(ready.freeze())
}

/// Asks a server to stop the run and copy it; the status and the copy's handle, if it names one.
async fn ask(
    relay: &Relay,
    call: &Call,
    source: &Known,
    target: SocketAddr,
) -> Option<(StatusCode, String)> {
    let (path, headers, body) = relay.context.dialect.write_move(call, &source.server.id, target);
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header(HOST, source.server.addr.to_string())
        .header(CONTENT_TYPE, HeaderValue::from_static("application/json"))
        .body(Full::new(Bytes::from(body)))
        .ok()?;
    request.headers_mut().extend(headers);
    let answered = async {
        let addr = source.server.addr;
        let exchange = relay.context.pool.send(addr, request, MOVE_TIME, Reuse::Any).await?;
        let status = exchange.status;
        let body = exchange.read_whole(ANSWER_LIMIT, MOVE_TIME).await?;
        Ok::<_, SendFault>((status, body))
    };
    match answered.await {
        Ok((status, body)) => {
            let MoveReply { incarnation, handle } = relay.context.dialect.read_move_reply(&body);
            // Another server may have its address by now: one that is not meant says so.
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
            handle.map(|handle| (status, handle))
        }
        Err(fault) => {
            tracing::info!(event = "move_not_made", id = call.head.id, detail = %fault);
            None
        }
    }
}
