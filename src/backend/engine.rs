//! How model engines are spoken to: the OpenAI completion interface with streaming, and an
//! `emberturn` object for what that lacks (priority, resume, KV cache).

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};

use super::fields::Fields;
use super::pool::{Exchange, Pool, Reuse, SendFault};
use super::sse::EventReader;
use crate::ids::{AttemptId, Incarnation};
use crate::telemetry::TraceContext;
use crate::telemetry::hops::HEADER;
use crate::units::Tokens;

/// The header with which a backend server says that it did not run a request.
pub const RUN_HEADER: &str = "emberturn-run";

/// What closes a stream.
const DONE: &str = "[DONE]";

/// Bytes of a report or an exported cache at most.
const SMALL_BODY: usize = 4 << 20;

/// What goes along with a request besides the caller's body.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Extra {
    /// Lower runs first.
    pub priority: u32,
    /// 0 for the first attempt.
    pub attempt: u32,
    /// Tokens already delivered.
    pub resume_tokens: usize,
    /// Their text.
    pub resume_text: String,
    /// Tokens an earlier attempt generated.
    pub earlier_tokens: usize,
    /// An exported KV cache.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub kv: Option<String>,
}

/// One piece of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// Its text.
    pub text: String,
    /// Why generation ended, on the last piece.
    pub finish: Option<String>,
}

/// Why an engine's stream cannot be read on.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EngineFault {
    /// The request did not run: it was not sent, or the engine says so.
    #[error("not run: {0}")]
    NotRun(String),
    /// The connection broke, or ended without its closing event.
    #[error("broke off: {0}")]
    Broke(String),
    /// The engine is silent.
    #[error("the engine is silent")]
    Silent,
    /// The engine breaks the protocol: another request's chunk, a token out of place.
    #[error("invalid: {0}")]
    Invalid(String),
    /// The engine refuses the request itself.
    #[error("status {0}: {1}")]
    Refused(u16, String),
}

impl From<SendFault> for EngineFault {
    fn from(fault: SendFault) -> Self {
        match fault {
            SendFault::NotSent(text) | SendFault::Refused(text) => Self::NotRun(text),
            SendFault::Broke(text) => Self::Broke(text),
            SendFault::TimedOut => Self::Silent,
            SendFault::TooLarge(_) | SendFault::Endless(_) | SendFault::Status(_) => {
                Self::Invalid(fault.to_string())
            }
        }
    }
}

#[derive(Debug, Deserialize)]
struct Chunk {
    id: String,
    #[serde(default)]
    token: Option<usize>,
    #[serde(default)]
    choices: Vec<Choice>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    #[serde(default)]
    text: Option<String>,
    #[serde(default)]
    delta: Delta,
    #[serde(default)]
    finish_reason: Option<String>,
}

#[derive(Debug, Default, Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
}

/// One attempt's stream from an engine.
pub struct EngineStream {
    attempt: AttemptId,
    exchange: Exchange,
    events: EventReader,
    next: usize,
    silence: Duration,
    closed: bool,
}

/// Where and how to send.
pub struct Target<'a> {
    /// The engine.
    pub addr: SocketAddr,
    /// The path, as the caller used it.
    pub path: &'a str,
    /// How long the engine may be silent.
    pub silence: Duration,
    /// Whether a new connection is asked for.
    pub reuse: Reuse,
    /// The hop's place in the trace.
    pub trace: TraceContext,
}

/// Sends a request to an engine and gives its stream.
///
/// # Errors
/// What is known of the attempt then.
pub async fn start(
    pool: &Pool,
    target: &Target<'_>,
    body: &Map<String, Value>,
    attempt: &AttemptId,
    extra: &Extra,
) -> Result<EngineStream, EngineFault> {
    let mut body = body.clone();
    body.insert("stream".to_owned(), Value::Bool(true));
    body.insert("request_id".to_owned(), Value::String(attempt.to_string()));
    body.insert("emberturn".to_owned(), json!(extra));
    let request = post(target, Value::Object(body).to_string())?;
    let exchange = pool.send(target.addr, request, target.silence, target.reuse).await?;
    if exchange.status != StatusCode::OK {
        return Err(refusal(exchange, target.silence).await);
    }
    Ok(EngineStream {
        attempt: attempt.clone(),
        exchange,
        events: EventReader::default(),
        next: extra.resume_tokens,
        silence: target.silence,
        closed: false,
    })
}

fn post(target: &Target<'_>, body: String) -> Result<Request<Full<Bytes>>, EngineFault> {
    Request::post(target.path)
        .header("host", target.addr.to_string())
        .header("content-type", "application/json")
        .header(HEADER, target.trace.to_string())
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| EngineFault::NotRun(error.to_string()))
}

async fn refusal(exchange: Exchange, silence: Duration) -> EngineFault {
    let status = exchange.status.as_u16();
    let not_run = exchange.headers.get(RUN_HEADER).is_some_and(|value| value == "not_run");
    let body = exchange.read_whole(SMALL_BODY, silence).await.unwrap_or_default();
    let text: String = String::from_utf8_lossy(&body).chars().take(200).collect();
    match not_run {
        true => EngineFault::NotRun(format!("status {status}: {text}")),
        false => EngineFault::Refused(status, text),
    }
}

impl EngineStream {
    /// The next piece; `None` after the closing event. Each chunk must belong to this attempt and
    /// follow the one before.
    ///
    /// # Errors
    /// What is known of the attempt then. An end without the closing event is a failure.
    pub async fn next(&mut self) -> Result<Option<Piece>, EngineFault> {
        loop {
            let event = self.events.next_event();
            match event.map_err(|error| EngineFault::Invalid(error.to_string()))? {
                Some(data) if data == DONE => {
                    self.closed = true;
                    return self.finish().await;
                }
                Some(data) => {
                    if let Some(piece) = self.read_chunk(&data)? {
                        return Ok(Some(piece));
                    }
                }
                None => match self.exchange.next(self.silence).await? {
                    Some(bytes) => self.events.push(&bytes),
                    None => {
                        return Err(EngineFault::Broke("no closing event".to_owned()));
                    }
                },
            }
        }
    }

    /// Reads the body's end, so that the connection can be used again.
    async fn finish(&mut self) -> Result<Option<Piece>, EngineFault> {
        let _ = self.exchange.next(Duration::from_millis(50)).await;
        Ok(None)
    }

    fn read_chunk(&mut self, data: &str) -> Result<Option<Piece>, EngineFault> {
        let chunk: Chunk = serde_json::from_str(data)
            .map_err(|error| EngineFault::Invalid(format!("a chunk is not readable: {error}")))?;
        if chunk.id != self.attempt.as_str() {
            return Err(EngineFault::Invalid(format!("a chunk belongs to {}", chunk.id)));
        }
        if let Some(token) = chunk.token
            && token != self.next
        {
            let text = format!("token {token} came where {} was due", self.next);
            return Err(EngineFault::Invalid(text));
        }
        let Some(choice) = chunk.choices.into_iter().next() else {
            return Ok(None);
        };
        let text = choice.text.or(choice.delta.content).unwrap_or_default();
        if text.is_empty() && choice.finish_reason.is_none() {
            return Ok(None);
        }
        self.next += 1;
        Ok(Some(Piece { text, finish: choice.finish_reason }))
    }
}

/// An engine's load report.
#[derive(Debug, Clone)]
pub struct Load {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// How old the report is, in milliseconds.
    pub age_ms: u64,
    /// Milliseconds until its box goes, when the engine knows that it does.
    pub leaving_ms: Option<u64>,
    /// Which life of its box it runs in, when it knows.
    pub incarnation: Option<Incarnation>,
}

impl Load {
    /// Reads a report. What cannot be read beside the load itself is not told.
    pub fn read(body: &[u8]) -> Option<Self> {
        let fields = Fields::of(body)?;
        Some(Self {
            running: fields.get("running")?,
            waiting: fields.get("waiting")?,
            age_ms: fields.get("age_ms").unwrap_or(0),
            leaving_ms: fields.get("leaving_ms"),
            incarnation: fields.get("incarnation"),
        })
    }
}

/// Asks an engine for its load.
///
/// # Errors
/// When it does not answer, or not with a report: one beside a failure is none.
pub async fn load(pool: &Pool, addr: SocketAddr, limit: Duration) -> Result<Load, EngineFault> {
    let request = Request::get("/load")
        .header("host", addr.to_string())
        .body(Full::new(Bytes::new()))
        .map_err(|error| EngineFault::NotRun(error.to_string()))?;
    let exchange = pool.send(addr, request, limit, Reuse::Any).await?;
    if !exchange.status.is_success() {
        return Err(EngineFault::Invalid(format!("a load report with status {}", exchange.status)));
    }
    let body = exchange.read_whole(SMALL_BODY, limit).await?;
    Load::read(&body).ok_or_else(|| EngineFault::Invalid("it is no load report".to_owned()))
}

#[derive(Debug, Deserialize)]
struct Exported {
    kv: String,
}

/// Asks an engine for the KV cache of a stream.
///
/// # Errors
/// When it does not answer in time, or has no such stream.
pub async fn export(
    pool: &Pool,
    target: &Target<'_>,
    attempt: &AttemptId,
) -> Result<String, EngineFault> {
    let target = Target { path: "/kv/export", ..*target };
    let request = post(&target, json!({ "request_id": attempt }).to_string())?;
    let exchange = pool.send(target.addr, request, target.silence, Reuse::Never).await?;
    if exchange.status != StatusCode::OK {
        return Err(refusal(exchange, target.silence).await);
    }
    let body = exchange.read_whole(SMALL_BODY, target.silence).await?;
    let exported: Exported =
        serde_json::from_slice(&body).map_err(|error| EngineFault::Invalid(error.to_string()))?;
    Ok(exported.kv)
}

/// The tokens a body reserves: the estimated prompt, and the most it may generate.
pub fn reserved(prompt: &str, output: Tokens) -> Tokens {
    Tokens::estimate(prompt) + output
}
