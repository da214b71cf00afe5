//! Reads a caller's request; every way in which it can be wrong has its answer.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HeaderValue};
use hyper::{HeaderMap, Method, Request};
use serde_json::{Map, Value};

use crate::error::{Failure, Kind};
use crate::ids::{RequestKey, ServiceName};
use crate::settings::EntrySettings;
use crate::state::config::KeyDigest;
use crate::telemetry::TraceContext;
use crate::telemetry::hops::HEADER;
use crate::units::Tokens;

/// The caller's identity for the request.
const KEY_HEADER: &str = "idempotency-key";

/// Marks the request as not repeatable: `no`.
const REPEATABLE_HEADER: &str = "emberturn-repeatable";

/// The caller's deadline, in milliseconds from now.
const DEADLINE_HEADER: &str = "emberturn-deadline-ms";

/// The last event a caller has of a stream it comes back for.
const LAST_EVENT_HEADER: &str = "last-event-id";

/// Set on a request one node passes to another that holds its stream.
pub const PASSED_HEADER: &str = "emberturn-passed";

/// The longest deadline, whatever the caller asks for.
pub(crate) const DEADLINE_LIMIT: Duration = Duration::from_secs(3_600);

/// Tokens generated when the caller does not say.
const DEFAULT_OUTPUT: Tokens = Tokens(256);

/// The most tokens a request may ask for.
const OUTPUT_LIMIT: Tokens = Tokens(65_536);

/// What every request has, whichever way it goes.
#[derive(Debug, Clone)]
pub struct Head {
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// All headers.
    pub headers: HeaderMap,
    /// Whose request: the digest of the bearer key.
    pub digest: Option<KeyDigest>,
    /// The caller's key for the request.
    pub key: Option<RequestKey>,
    /// Whether the caller allows more than one run; the stricter of this and the service counts.
    pub repeatable: bool,
    /// When the answer is too late.
    pub deadline: Instant,
    /// Whether the caller takes the answer later.
    pub may_wait: bool,
    /// The last event the caller has, when it comes back.
    pub last_event: Option<u64>,
    /// Whether another node passed the request on.
    pub passed: bool,
    /// Where in a trace the request stands.
    pub trace: TraceContext,
    /// When the request arrived.
    pub arrived: Instant,
}

impl Head {
    /// Reads a request's head.
    ///
    /// # Errors
    /// [`Kind::BadRequest`] naming the header at fault.
    pub fn read(request: &Request<Incoming>, settings: &EntrySettings) -> Result<Self, Failure> {
        let headers = request.headers();
        let arrived = Instant::now();
        let wait = read_number(headers, DEADLINE_HEADER)?.map(Duration::from_millis);
        let wait = wait.unwrap_or(settings.deadline.duration()).min(DEADLINE_LIMIT);
        let uri = request.uri();
        let path = uri.path_and_query().map_or("/", |path| path.as_str());
        let trace = text(headers, HEADER)?.and_then(|value| value.parse().ok());
        Ok(Self {
            method: request.method().clone(),
            path: path.to_owned(),
            headers: headers.clone(),
            digest: read_bearer(headers)?,
            key: read_key(headers)?,
            repeatable: read_repeatable(headers)?,
            deadline: arrived + wait,
            may_wait: prefers_async(headers)?,
            last_event: read_number(headers, LAST_EVENT_HEADER)?,
            passed: headers.contains_key(PASSED_HEADER),
            trace: trace.unwrap_or_else(TraceContext::root),
            arrived,
        })
    }

    /// The head of a request that emberturn makes on a caller's behalf.
    pub(crate) fn internal(
        path: &str,
        key: Option<RequestKey>,
        repeatable: bool,
        left: Duration,
    ) -> Self {
        let arrived = Instant::now();
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        Self {
            method: Method::POST,
            path: path.to_owned(),
            headers,
            digest: None,
            key,
            repeatable,
            deadline: arrived + left.min(DEADLINE_LIMIT),
            may_wait: false,
            last_event: None,
            passed: false,
            trace: TraceContext::root(),
            arrived,
        }
    }

    /// The path without its query.
    pub fn bare_path(&self) -> &str {
        self.path.split('?').next().unwrap_or("/")
    }
}

/// Reads a body whole.
///
/// # Errors
/// [`Kind::TooLarge`], [`Kind::SlowCaller`] or [`Kind::CallerGone`].
pub async fn read_body(body: Incoming, settings: &EntrySettings) -> Result<Bytes, Failure> {
    let limited = Limited::new(body, settings.body_limit).collect();
    match tokio::time::timeout(settings.body_time.duration(), limited).await {
        Err(_) => Err(Failure::new(Kind::SlowCaller, "the body did not arrive in time")),
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            let text = format!("the body is larger than {} bytes", settings.body_limit);
            Err(Failure::new(Kind::TooLarge, text))
        }
        Ok(Err(error)) => {
            Err(Failure::new(Kind::CallerGone, format!("the body broke off: {error}")))
        }
    }
}

/// A completion request, checked as far as emberturn needs it. The rest passes through.
#[derive(Debug, Clone)]
pub struct Completion {
    /// The model, which is the service.
    pub service: ServiceName,
    /// Whether it is a chat.
    pub chat: bool,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// The prompt's text, for estimates and cache hits.
    pub prompt: String,
    /// The most tokens to generate.
    pub output: Tokens,
    /// The body as it came.
    pub body: Map<String, Value>,
}

impl Completion {
    /// Reads a completion request's body.
    ///
    /// # Errors
    /// [`Kind::BadRequest`] naming the field at fault.
    pub fn read(path: &str, bytes: &[u8]) -> Result<Self, Failure> {
        let bad = |text: String| Failure::new(Kind::BadRequest, text);
        let mut body: Map<String, Value> = serde_json::from_slice(bytes)
            .map_err(|error| bad(format!("the body is not a JSON object: {error}")))?;
        let model = body.get("model").and_then(Value::as_str);
        let model = model.ok_or_else(|| bad("field model is missing or not a text".to_owned()))?;
        let service = model.parse().map_err(|error| bad(format!("field model: {error}")))?;
        let chat = path.ends_with("/chat/completions");
        let prompt = if chat { chat_prompt(&body) } else { plain_prompt(&body) };
        let prompt = prompt.map_err(bad)?;
        let stream = read_flag(&body, "stream").map_err(bad)?;
        let output = read_output(&body).map_err(bad)?;
        if body.get("n").is_some_and(|n| n != &Value::from(1)) {
            return Err(bad("field n: only 1 answer is served".to_owned()));
        }
        body.insert("max_tokens".to_owned(), Value::from(output.0));
        Ok(Self { service, chat, stream, prompt, output, body })
    }
}

fn plain_prompt(body: &Map<String, Value>) -> Result<String, String> {
    match body.get("prompt") {
        Some(Value::String(text)) => Ok(text.clone()),
        Some(_) => Err("field prompt is not a text".to_owned()),
        None => Err("field prompt is missing".to_owned()),
    }
}

fn chat_prompt(body: &Map<String, Value>) -> Result<String, String> {
    let Some(Value::Array(messages)) = body.get("messages") else {
        return Err("field messages is missing or not a list".to_owned());
    };
    let mut parts = Vec::new();
    for (place, message) in messages.iter().enumerate() {
        let content = message.get("content").and_then(Value::as_str);
        let content = content.ok_or_else(|| format!("messages[{place}].content is not a text"))?;
        parts.push(content);
    }
    match parts.is_empty() {
        true => Err("field messages is empty".to_owned()),
        false => Ok(parts.join("\n")),
    }
}

fn read_flag(body: &Map<String, Value>, name: &str) -> Result<bool, String> {
    match body.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(flag)) => Ok(*flag),
        Some(_) => Err(format!("field {name} is neither true nor false")),
    }
}

fn read_output(body: &Map<String, Value>) -> Result<Tokens, String> {
    let value = body.get("max_completion_tokens").or_else(|| body.get("max_tokens"));
    let output = match value {
        None | Some(Value::Null) => return Ok(DEFAULT_OUTPUT),
        Some(value) => value.as_u64().map(Tokens),
    };
    match output {
        Some(output) if output.0 > 0 && output <= OUTPUT_LIMIT => Ok(output),
        _ => Err(format!("field max_tokens is a number from 1 to {OUTPUT_LIMIT}")),
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Failure> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| bad_header(name, "holds characters outside ASCII"))?;
    Ok(Some(text.trim()))
}

fn bad_header(name: &str, text: &str) -> Failure {
    Failure::new(Kind::BadRequest, format!("header {name} {text}"))
}

fn read_bearer(headers: &HeaderMap) -> Result<Option<KeyDigest>, Failure> {
    let Some(value) = text(headers, AUTHORIZATION.as_str())? else {
        return Ok(None);
    };
    let (scheme, key) = value.split_once(' ').unwrap_or((value, ""));
    match scheme.eq_ignore_ascii_case("bearer") && !key.trim().is_empty() {
        true => Ok(Some(KeyDigest::of(key.trim()))),
        false => Err(bad_header("authorization", "is not of the form: Bearer KEY")),
    }
}

fn read_key(headers: &HeaderMap) -> Result<Option<RequestKey>, Failure> {
    let Some(value) = text(headers, KEY_HEADER)? else {
        return Ok(None);
    };
    // The draft standard has the key as a quoted string; callers send it bare as well.
    let value = value.strip_prefix('"').and_then(|it| it.strip_suffix('"')).unwrap_or(value);
    let key = value.parse().map_err(|error| bad_header(KEY_HEADER, &format!("{error}")))?;
    Ok(Some(key))
}

fn read_repeatable(headers: &HeaderMap) -> Result<bool, Failure> {
    match text(headers, REPEATABLE_HEADER)? {
        None | Some("yes") => Ok(true),
        Some("no") => Ok(false),
        Some(_) => Err(bad_header(REPEATABLE_HEADER, "is yes or no")),
    }
}

fn read_number(headers: &HeaderMap, name: &str) -> Result<Option<u64>, Failure> {
    let Some(value) = text(headers, name)? else {
        return Ok(None);
    };
    let number = value.parse().map_err(|_| bad_header(name, "is not a whole number"))?;
    Ok(Some(number))
}

/// Whether the caller prefers an answer later (RFC 7240, section 4.1).
fn prefers_async(headers: &HeaderMap) -> Result<bool, Failure> {
    let Some(value) = text(headers, "prefer")? else {
        return Ok(false);
    };
    Ok(value.split(',').any(|part| part.trim().eq_ignore_ascii_case("respond-async")))
}
