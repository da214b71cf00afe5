//! A request as the relay sees it, and the parsed heads of backend servers' replies.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::header::{HOST, HeaderValue};
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method};
use sha2::{Digest, Sha256};

use crate::backend::Exchange;
use crate::decide::sends::NamedRequest;
use crate::decide::throttle::LimitNotice;
use crate::ids::{BackendId, Fingerprint, Incarnation, SegmentKey, ServiceName, TeamName};

/// Size of a generation in tokens, as stated by the caller.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GenerationSize {
    /// Tokens in the prompt.
    pub prompt_tokens: u64,
    /// Upper bound on generated tokens.
    pub max_output_tokens: u64,
}

/// A segment of a prompt. Requests can have segments in common; the last one belongs to this
/// request or its session alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptSegment {
    /// Identifies the segment's content.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// The request headers that the relay interprets.
#[derive(Debug, Clone, Default)]
pub struct CallHead {
    /// The caller's id for this request; empty if it sent none.
    pub id: String,
    /// The caller's API key.
    pub api_key: Option<String>,
    /// How long the caller waits for the answer.
    pub timeout: Option<Duration>,
    /// Size of the generation, if the caller states it.
    pub generation: Option<GenerationSize>,
    /// The prompt's segments, in order.
    pub prompt_segments: Vec<PromptSegment>,
    /// Id of the last event the caller has received, if it resumes a stream.
    pub last_event_id: Option<u64>,
    /// The id of the request that brought the first event of that stream, if the caller names it.
    pub first_request: Option<String>,
}

/// A request with its complete body.
#[derive(Debug, Clone)]
pub struct Call {
    /// The interpreted headers.
    pub head: CallHead,
    /// The request method.
    pub method: Method,
    /// Path and query, unchanged.
    pub path: PathAndQuery,
    /// Headers forwarded to the backend server, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// The request body.
    pub body: Bytes,
    /// The team that owns the API key.
    pub team: Option<TeamName>,
    /// Urgency; 0 is served first.
    pub urgency: u8,
    /// When the request arrived.
    pub arrived: Instant,
    /// When the request times out for the caller or by its route.
    pub deadline: Instant,
}

impl Call {
    /// Identifies a request by its content rather than by the caller's request id: the same bytes
    /// sent to the same path with a key of the same team are the same request.
    pub fn fingerprint(&self) -> Fingerprint {
        let caller = self.team.as_ref().map(TeamName::as_str).or(self.head.api_key.as_deref());
        let host = self.headers.get(HOST).map_or(&b""[..], HeaderValue::as_bytes);
        let parts = [
            caller.unwrap_or_default().as_bytes(),
            self.method.as_str().as_bytes(),
            host,
            self.path.as_str().as_bytes(),
            &self.body,
        ];
        let mut hash = Sha256::new();
        for part in parts {
            // Including the length keeps different lists of parts from hashing the same bytes.
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        let mut fingerprint = Fingerprint::default();
        fingerprint.0.copy_from_slice(&hash.finalize()[..size_of::<Fingerprint>()]);
        fingerprint
    }

    /// The prompt's segments that other requests can have in common: all but the last.
    pub fn shared_segments(&self) -> &[PromptSegment] {
        self.head.prompt_segments.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// The shared segments as those of the prompts that a service is sent.
    pub fn segment_keys(&self, service: &ServiceName) -> impl Iterator<Item = SegmentKey> {
        let key = |it: &PromptSegment| SegmentKey { service: service.clone(), id: it.id };
        self.shared_segments().iter().map(key)
    }

    /// The ids of the shared segments as logged; `None` if there are none.
    pub fn segments_text(&self) -> Option<String> {
        let ids: Vec<_> =
            self.shared_segments().iter().map(|segment| format!("{:x}", segment.id)).collect();
        (!ids.is_empty()).then(|| ids.join(","))
    }

    /// Time until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Tokens in the prompt; 0 if unknown.
    pub fn prompt_tokens(&self) -> u64 {
        self.head.generation.map_or(0, |generation| generation.prompt_tokens)
    }

    /// Upper bound on the tokens that an engine holds in memory for this call; 0 if unknown.
    pub fn max_tokens(&self) -> u64 {
        self.head
            .generation
            .map_or(0, |generation| generation.prompt_tokens + generation.max_output_tokens)
    }

    /// The longest prefix of the prompt that other requests can have in common: the id of its last
    /// segment and the length of the whole prefix in tokens.
    pub fn shared_prefix(&self) -> Option<PromptSegment> {
        let shared = self.shared_segments();
        let tokens = shared.iter().map(|segment| segment.tokens).sum();
        shared.last().map(|segment| PromptSegment { id: segment.id, tokens })
    }
}

/// What a send adds to the call's own headers.
#[derive(Debug, Clone)]
pub struct SendContext<'a> {
    /// The intended backend server. Any other server must not run the request.
    pub server: &'a BackendId,
    /// How long the backend server may take.
    pub timeout: Duration,
    /// Id of the last event the caller has received, if a stream is resumed.
    pub last_event_id: Option<u64>,
    /// A backend server that probably has part of the prompt in its KV cache, from which it is
    /// copied.
    pub prefix_source: Option<SocketAddr>,
    /// The exported KV cache of this run, if the run was moved.
    pub kv_export: Option<&'a KvCacheExport>,
}

/// The KV cache of a run that was stopped so that it can continue on another server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvCacheExport {
    /// The backend server that holds the export.
    pub source: SocketAddr,
    /// The server's handle for the export.
    pub handle: String,
}

/// Load that a backend server reports with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
}

/// A backend server's answer to a status query.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerReport {
    /// The server's incarnation; 0 if it reports none.
    pub incarnation: Incarnation,
    /// The server's load, if it reports it.
    pub load: Option<ServerLoad>,
    /// Whether the server is shutting down, if it reports it.
    pub leaving: Option<bool>,
    /// Time from this answer until the server shuts down, if it reports it.
    pub time_left: Option<Duration>,
}

/// A backend server's answer to the request to stop and export a run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MoveReply {
    /// The server's incarnation; 0 if it reports none.
    pub incarnation: Incarnation,
    /// The server's handle for the export; `None` if it made none.
    pub handle: Option<String>,
}

/// A backend server's reply. A server may send a copy of an earlier reply in the place where the next one is due, so
/// the head can be read only once it is known which request the reply answers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerReply {
    /// The request that it names.
    pub named: NamedRequest,
    head: ReplyHead,
}

impl ServerReply {
    /// A reply with its head.
    pub fn new(named: NamedRequest, head: ReplyHead) -> Self {
        Self { named, head }
    }

    /// The head, if this answers the call that was sent. A failure may come without an id, but only as the first answer
    /// on a connection of this box. As a copy of it would have none either, that connection is not used again.
    pub fn to_call(self, exchange: &mut Exchange) -> Option<ReplyHead> {
        let is_own = match self.named {
            NamedRequest::Sent => true,
            NamedRequest::Other => false,
            NamedRequest::None => exchange.connect.is_some() && !exchange.status.is_success(),
        };
        if self.named == NamedRequest::None {
            exchange.close_after();
        }
        is_own.then_some(self.head)
    }

    /// The head, if this answers a request that was sent without an id: only a new connection shows that.
    pub fn to_unnamed(self, exchange: &mut Exchange) -> Option<ReplyHead> {
        let is_first = exchange.is_first();
        self.unless_other(exchange).filter(|_| is_first)
    }

    /// The head, unless this names another request: for a request without an id that a box sends for another one,
    /// which asks for a new connection where it needs one.
    pub fn unless_other(self, exchange: &mut Exchange) -> Option<ReplyHead> {
        if !exchange.status.is_success() {
            exchange.close_after();
        }
        (self.named != NamedRequest::Other).then_some(self.head)
    }
}

/// The interpreted head of a backend server's reply.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReplyHead {
    /// Whether the backend server signed its reply.
    pub signed: bool,
    /// Whether the backend server reports that it did not run the request.
    pub not_run: bool,
    /// The server's load, if it reports it.
    pub load: Option<ServerLoad>,
    /// The rate limit that the reply announces.
    pub limit_notice: LimitNotice,
    /// How many requests a second the server may turn away, from all boxes together, before it falls over.
    pub rejection_limit: Option<f64>,
    /// How long the server asks this box not to send to it, if it refused the request.
    pub requested_pause: Option<Duration>,
    /// Whether the server reports that it is shutting down.
    pub leaving: bool,
}
