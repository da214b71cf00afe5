//! A fake model engine: batches continuously, caches prompt prefixes in limited memory, honours
//! priorities, resumes and cancels streams, exports and imports KV cache, and reports load late.
//!
//! Protocol: `POST /v1/completions` and `/v1/chat/completions` as in the OpenAI API, plus an
//! `emberturn` object in the body ([`Extra`]). Every streamed chunk carries the request's
//! `request_id` as its `id` and its place as `token`.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::channel::{Channel, Sender};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::Notify;

use crate::http::{self, BodyError, Reply};
use crate::tokens;

/// Tokens of one cached block of a prompt.
const BLOCK_TOKENS: usize = 16;

/// How a fake engine behaves.
#[derive(Debug, Clone)]
pub struct Options {
    /// Streams that generate at the same time.
    pub slots: usize,
    /// Time to compute one uncached prompt token.
    pub prefill: Duration,
    /// Time between two tokens of one stream when it runs alone.
    pub decode: Duration,
    /// Blocks of 16 tokens the prefix cache holds.
    pub cache_blocks: usize,
    /// How old the load report is.
    pub load_lag: Duration,
    /// One-way network time between the engine and whoever asks it.
    pub distance: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            slots: 16,
            prefill: Duration::from_micros(50),
            decode: Duration::from_millis(2),
            cache_blocks: 4096,
            load_lag: Duration::from_millis(500),
            distance: Duration::ZERO,
        }
    }
}

/// What emberturn adds to a request's body.
#[derive(Debug, Clone, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Extra {
    /// Lower runs first.
    pub priority: u32,
    /// 0 for the first attempt at a request.
    pub attempt: u32,
    /// Tokens already delivered; generation goes on behind them.
    pub resume_tokens: usize,
    /// The text of those tokens, computed again as prompt unless `kv` covers it.
    pub resume_text: String,
    /// Tokens an earlier attempt generated, for the count of recomputed tokens.
    pub earlier_tokens: usize,
    /// An exported KV cache, as given by `/kv/export`.
    pub kv: Option<String>,
}

#[derive(Debug, Deserialize)]
struct Body {
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default = "default_tokens")]
    max_tokens: usize,
    #[serde(default)]
    request_id: String,
    #[serde(default)]
    emberturn: Extra,
}

#[derive(Debug, Deserialize)]
struct Message {
    #[serde(default)]
    content: String,
}

fn default_tokens() -> usize {
    16
}

/// What became of one request, as the engine saw it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Run {
    /// The caller's id for the attempt.
    pub request_id: String,
    /// The place of the first token generated.
    pub first: usize,
    /// Tokens generated in this run.
    pub generated: usize,
    /// Whether the last token was sent.
    pub finished: bool,
}

/// Counters since the engine started.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Counters {
    /// Prompt tokens computed.
    pub prefilled: usize,
    /// Prompt tokens found in the prefix cache or imported.
    pub cached: usize,
    /// Tokens generated.
    pub decoded: usize,
    /// Tokens computed again because earlier work was lost.
    pub recomputed: usize,
    /// Requests taken.
    pub requests: usize,
    /// The most streams that ran at the same time.
    pub peak: usize,
}

#[derive(Default)]
struct Inner {
    running: usize,
    waiting: BTreeSet<(u32, u64)>,
    next_ticket: u64,
    blocks: VecDeque<u64>,
    runs: HashMap<u64, Run>,
    live: HashMap<String, (String, usize)>,
    counters: Counters,
    reports: VecDeque<(Instant, usize, usize)>,
    refusing: bool,
    frozen: bool,
    leaving: Option<Instant>,
}

/// A running fake engine.
#[derive(Clone)]
pub struct Engine {
    options: Options,
    inner: Arc<Mutex<Inner>>,
    freed: Arc<Notify>,
}

impl Engine {
    /// Creates an engine that serves nothing yet.
    pub fn new(options: Options) -> Self {
        Self { options, inner: Arc::default(), freed: Arc::default() }
    }

    /// Serves on `listener` until the future is dropped.
    pub async fn serve(self, listener: TcpListener) {
        http::serve(listener, move |request| self.clone().handle(request)).await;
    }

    /// Starts an engine on a free loopback port.
    ///
    /// # Errors
    /// When no port can be bound.
    pub async fn start(options: Options) -> std::io::Result<(Self, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let engine = Self::new(options);
        tokio::spawn(engine.clone().serve(listener));
        Ok((engine, addr))
    }

    /// Starts an engine that dies, with all its connections, when the handle is aborted.
    ///
    /// # Errors
    /// When no port can be bound.
    pub async fn start_mortal(
        options: Options,
    ) -> std::io::Result<(Self, SocketAddr, tokio::task::AbortHandle)> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let engine = Self::new(options);
        let task = tokio::spawn(engine.clone().serve(listener));
        Ok((engine, addr, task.abort_handle()))
    }

    /// Every run so far, in the order they began.
    pub fn runs(&self) -> Vec<Run> {
        let inner = self.lock();
        let mut numbers: Vec<_> = inner.runs.keys().copied().collect();
        numbers.sort_unstable();
        numbers.iter().filter_map(|number| inner.runs.get(number).cloned()).collect()
    }

    /// The counters so far.
    pub fn counters(&self) -> Counters {
        self.lock().counters.clone()
    }

    /// Makes the engine refuse new requests with 503 and `Emberturn-Run: not_run`.
    pub fn refuse(&self, refusing: bool) {
        self.lock().refusing = refusing;
    }

    /// Has the engine say in its load report that its box goes within `notice`.
    pub fn leave(&self, notice: Duration) {
        self.lock().leaving = Some(Instant::now() + notice);
    }

    /// Holds every stream before its next token while `frozen`.
    pub fn freeze(&self, frozen: bool) {
        self.lock().frozen = frozen;
        self.freed.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(self, request: Request<Incoming>) -> Reply {
        let path = request.uri().path().to_owned();
        match (request.method().clone(), path.as_str()) {
            (Method::POST, "/v1/completions" | "/v1/chat/completions") => {
                self.generate(request).await
            }
            (Method::GET, "/load") => http::json(StatusCode::OK, &self.load_report()),
            (Method::GET, "/runs") => http::json(StatusCode::OK, &self.runs()),
            (Method::GET, "/counters") => http::json(StatusCode::OK, &self.counters()),
            (Method::POST, "/kv/export") => self.export(request).await,
            _ => http::text(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn load_report(&self) -> Value {
        let mut inner = self.lock();
        let now = Instant::now();
        let newest = (now, inner.running, inner.waiting.len());
        inner.reports.push_back(newest);
        let lag = self.options.load_lag;
        while inner.reports.len() > 1 && now - inner.reports[1].0 >= lag {
            inner.reports.pop_front();
        }
        let (at, running, waiting) = inner.reports[0];
        let leaving = inner.leaving.map(|gone| gone.saturating_duration_since(now));
        json!({
            "running": running, "waiting": waiting, "slots": self.options.slots,
            "age_ms": (now - at).as_millis() as u64,
            "leaving_ms": leaving.map(|left| left.as_millis() as u64),
        })
    }

    async fn export(&self, request: Request<Incoming>) -> Reply {
        let body = http::read_body(request).await;
        let value: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        let id = value["request_id"].as_str().unwrap_or("").to_owned();
        let found = self.lock().live.get(&id).cloned();
        match found {
            Some((prompt, sent)) => {
                let blob = format!("{:016x}:{sent}", tokens::fingerprint(&prompt));
                http::json(StatusCode::OK, &json!({ "kv": blob }))
            }
            None => http::text(StatusCode::NOT_FOUND, "no such stream"),
        }
    }

    async fn generate(self, request: Request<Incoming>) -> Reply {
        let chat = request.uri().path().contains("chat");
        let bytes = http::read_body(request).await;
        // There and back again.
        tokio::time::sleep(self.options.distance * 2).await;
        let Ok(body) = serde_json::from_slice::<Body>(&bytes) else {
            return http::text(StatusCode::BAD_REQUEST, "malformed body");
        };
        if self.lock().refusing {
            let mut reply = http::text(StatusCode::SERVICE_UNAVAILABLE, "refused");
            let value = hyper::header::HeaderValue::from_static("not_run");
            reply.headers_mut().insert("emberturn-run", value);
            return reply;
        }
        let (sender, channel) = Channel::<Bytes, BodyError>::new(64);
        tokio::spawn(self.run(body, chat, sender));
        let mut reply = Response::new(channel.boxed_unsync());
        let kind = hyper::header::HeaderValue::from_static("text/event-stream");
        reply.headers_mut().insert(hyper::header::CONTENT_TYPE, kind);
        reply
    }

    async fn run(self, body: Body, chat: bool, mut sender: Sender<Bytes, BodyError>) {
        let prompt = match chat {
            true => body.messages.iter().map(|m| m.content.as_str()).collect::<Vec<_>>().join("\n"),
            false => body.prompt.clone(),
        };
        let extra = body.emberturn.clone();
        let number = self.begin(&body);
        let _slot = self.take_slot(extra.priority).await;
        let missing = self.look_up(&prompt, &extra);
        tokio::time::sleep(self.options.prefill * missing as u32).await;
        self.lock().live.insert(body.request_id.clone(), (prompt.clone(), extra.resume_tokens));
        let mut due = tokio::time::Instant::now();
        for index in extra.resume_tokens..body.max_tokens {
            due += self.step_time();
            tokio::time::sleep_until(due).await;
            self.wait_thawed().await;
            let piece = tokens::token(&prompt, index);
            let last = index + 1 == body.max_tokens;
            let chunk = chunk(&body.request_id, chat, index, &piece, last);
            if sender.send_data(Bytes::from(chunk)).await.is_err() {
                self.end(number, &body.request_id, false);
                return;
            }
            self.count_token(number, &body.request_id, index);
        }
        let whole = sender.send_data(Bytes::from_static(b"data: [DONE]\n\n")).await.is_ok();
        self.end(number, &body.request_id, whole);
    }

    fn begin(&self, body: &Body) -> u64 {
        let mut inner = self.lock();
        inner.next_ticket += 1;
        inner.counters.requests += 1;
        let number = inner.next_ticket;
        let first = body.emberturn.resume_tokens;
        let run = Run { request_id: body.request_id.clone(), first, generated: 0, finished: false };
        inner.runs.insert(number, run);
        number
    }

    fn count_token(&self, number: u64, id: &str, index: usize) {
        let mut inner = self.lock();
        inner.counters.decoded += 1;
        if let Some(run) = inner.runs.get_mut(&number) {
            run.generated += 1;
        }
        if let Some(live) = inner.live.get_mut(id) {
            live.1 = index + 1;
        }
    }

    fn end(&self, number: u64, id: &str, finished: bool) {
        let mut inner = self.lock();
        inner.live.remove(id);
        if let Some(run) = inner.runs.get_mut(&number) {
            run.finished = finished;
        }
    }

    /// Prompt tokens that have to be computed, and the cache brought up to date.
    fn look_up(&self, prompt: &str, extra: &Extra) -> usize {
        let mut inner = self.lock();
        let total = tokens::count(prompt);
        let hashes = block_hashes(prompt);
        let hit = hashes.iter().take_while(|hash| inner.blocks.contains(hash)).count();
        for hash in hashes {
            inner.blocks.retain(|held| *held != hash);
            inner.blocks.push_back(hash);
        }
        while inner.blocks.len() > self.options.cache_blocks {
            inner.blocks.pop_front();
        }
        let imported = extra.kv.as_deref().is_some_and(|blob| covers(blob, prompt, extra));
        let cached = if imported { total } else { (hit * BLOCK_TOKENS).min(total) };
        let resumed = if imported { 0 } else { extra.resume_tokens };
        let missing = total - cached + resumed;
        inner.counters.prefilled += missing;
        inner.counters.cached += cached;
        if extra.attempt > 0 {
            let again = extra.earlier_tokens.saturating_sub(extra.resume_tokens);
            inner.counters.recomputed += missing + again;
        }
        missing
    }

    fn step_time(&self) -> Duration {
        let running = self.lock().running.max(1);
        let share = running as f64 / self.options.slots.max(1) as f64;
        self.options.decode.mul_f64(1.0 + share)
    }

    async fn wait_thawed(&self) {
        loop {
            let freed = self.freed.notified();
            if !self.lock().frozen {
                return;
            }
            freed.await;
        }
    }

    async fn take_slot(&self, priority: u32) -> Slot {
        let ticket = {
            let mut inner = self.lock();
            inner.next_ticket += 1;
            let ticket = (priority, inner.next_ticket);
            inner.waiting.insert(ticket);
            ticket
        };
        loop {
            let notified = self.freed.notified();
            tokio::pin!(notified);
            notified.as_mut().enable();
            {
                let mut inner = self.lock();
                let first = inner.waiting.first() == Some(&ticket);
                if first && inner.running < self.options.slots {
                    inner.waiting.remove(&ticket);
                    inner.running += 1;
                    inner.counters.peak = inner.counters.peak.max(inner.running);
                    break;
                }
            }
            notified.await;
        }
        self.freed.notify_waiters();
        Slot { engine: self.clone() }
    }
}

struct Slot {
    engine: Engine,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.engine.lock().running -= 1;
        self.engine.freed.notify_waiters();
    }
}

fn covers(blob: &str, prompt: &str, extra: &Extra) -> bool {
    let Some((print, sent)) = blob.split_once(':') else {
        return false;
    };
    let same = print == format!("{:016x}", tokens::fingerprint(prompt));
    same && sent.parse::<usize>().is_ok_and(|sent| sent >= extra.resume_tokens)
}

fn block_hashes(prompt: &str) -> Vec<u64> {
    let mut hashes = Vec::new();
    let step = BLOCK_TOKENS * 4;
    for end in (step..=prompt.len()).step_by(step) {
        let prefix = &prompt.as_bytes()[..end];
        hashes.push(tokens::fingerprint(&String::from_utf8_lossy(prefix)));
    }
    hashes
}

fn chunk(id: &str, chat: bool, index: usize, piece: &str, last: bool) -> String {
    let finish = if last { json!("length") } else { Value::Null };
    let choice = match chat {
        true => json!({ "index": 0, "delta": { "content": piece }, "finish_reason": finish }),
        false => json!({ "index": 0, "text": piece, "finish_reason": finish }),
    };
    let value = json!({ "id": id, "token": index, "choices": [choice] });
    format!("data: {value}\n\n")
}
