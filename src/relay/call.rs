//! A request as the relay sees it, and what is known of an answer's head.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::header::{HOST, HeaderValue};
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method};
use sha2::{Digest, Sha256};

use crate::decide::throttle::LimitNotice;
use crate::ids::{BackendId, Fingerprint, Incarnation, TeamName};

/// Tokens of a generation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GenerationSize {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens that come out at most.
    pub max_output_tokens: u64,
}

/// A part of a prompt. Requests share parts; the last one is the request's or its session's own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptSegment {
    /// Its id.
    pub id: u64,
    /// Its tokens.
    pub tokens: u64,
}

/// What a request's headers say.
#[derive(Debug, Clone, Default)]
pub struct CallHead {
    /// The caller's id for this request.
    pub id: String,
    /// The key it came with.
    pub api_key: Option<String>,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// What is generated, where the caller says so.
    pub generation: Option<GenerationSize>,
    /// The parts of the prompt.
    pub prompt_segments: Vec<PromptSegment>,
    /// The last event the caller has of a stream it takes up.
    pub last_event_id: Option<u64>,
}

/// A request, read whole.
#[derive(Debug, Clone)]
pub struct Call {
    /// What its headers say.
    pub head: CallHead,
    /// The method.
    pub method: Method,
    /// The path and query, as they came.
    pub path: PathAndQuery,
    /// The headers that go on to a backend server, without those of one connection.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The team whose key it came with.
    pub team: Option<TeamName>,
    /// How urgent it is; 0 goes first.
    pub urgency: u8,
    /// When it arrived.
    pub arrived: Instant,
    /// When the caller or the route gives it up.
    pub deadline: Instant,
}

impl Call {
    /// Which request it is, whatever id its caller gives an attempt: those who send the same bytes to the same
    /// place with a key of the same team send the same request.
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
            // With its length, so that no two lists of parts read the same.
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        let mut short = Fingerprint::default();
        short.0.copy_from_slice(&hash.finalize()[..size_of::<Fingerprint>()]);
        short
    }

    /// The time left.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Tokens of the prompt, where known.
    pub fn prompt_tokens(&self) -> u64 {
        self.head.generation.map_or(0, |size| size.prompt_tokens)
    }

    /// Tokens that an engine keeps for it at most, where known.
    pub fn max_tokens(&self) -> u64 {
        self.head.generation.map_or(0, |size| size.prompt_tokens + size.max_output_tokens)
    }

    /// The id of the longest part that other requests share, and the tokens up to its end.
    pub fn shared_prefix(&self) -> Option<PromptSegment> {
        let shared = self.head.prompt_segments.split_last()?.1;
        let tokens = shared.iter().map(|part| part.tokens).sum();
        shared.last().map(|part| PromptSegment { id: part.id, tokens })
    }
}

/// What one send adds to a request.
#[derive(Debug, Clone)]
pub struct SendContext<'a> {
    /// The backend server that is meant; any other must not run the request.
    pub server: &'a BackendId,
    /// How long the backend server may work.
    pub timeout: Duration,
    /// The last event that the caller has, when a stream is taken up.
    pub last_event_id: Option<u64>,
    /// A backend server that likely keeps a part of the prompt: it is copied from there.
    pub prefix_source: Option<SocketAddr>,
    /// The memory of the request's run, where it was moved.
    pub kv_export: Option<&'a KvCacheExport>,
}

/// The memory of a run that was stopped to be moved.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvCacheExport {
    /// The backend server on which it ran.
    pub source: SocketAddr,
    /// What that server calls it.
    pub handle: String,
}

/// The load that a backend server tells with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
}

/// What a backend server says of itself when it is asked.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerReport {
    /// Its life; 0 where it tells none.
    pub incarnation: Incarnation,
    /// Its load, where it tells it.
    pub load: Option<ServerLoad>,
    /// Whether it is leaving, where it tells it.
    pub leaving: Option<bool>,
    /// When it goes, counted from the answer, where it tells it.
    pub time_left: Option<Duration>,
}

/// What a backend server answers when it is asked to move a run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MoveReply {
    /// Its life; 0 where it tells none.
    pub incarnation: Incarnation,
    /// What it calls the copy; `None` when there is none.
    pub handle: Option<String>,
}

/// What an answer's head says.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReplyHead {
    /// Whether it answers the request that was sent.
    pub matches_request: bool,
    /// Whether the backend server vouches for the body.
    pub signed: bool,
    /// Whether the backend server says that it has not run the request.
    pub not_run: bool,
    /// The load it tells.
    pub load: Option<ServerLoad>,
    /// The limit that it names.
    pub limit_notice: LimitNotice,
    /// The pause that it asks this box for, where it turned the request away.
    pub requested_pause: Option<Duration>,
    /// Whether it says that it is leaving.
    pub leaving: bool,
}
