//! Connections to backend servers.
//!
//! A connection carries one request at a time and goes back to the pool only after the answer was
//! read to its end. Whoever drops an [`Exchange`] earlier closes its connection, which is how an
//! engine learns that a stream is cancelled.

use std::collections::HashMap;
use std::fmt::Display;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::TRANSFER_ENCODING;
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::head::HeadExcess;
use super::joined::is_joined;
use super::limited::{AnswerBounds, AnswerExcess, LimitedStream};
use crate::decide::completeness::{BreakCause, Framing};
use crate::decide::proxies::ProxyLease;
use crate::http::silence::limit_silence;
use crate::http::status::{InvalidStatus, answer_status};
use crate::sync::lock;

/// How long a connection may take to stand.
const CONNECT_TIME: Duration = Duration::from_millis(1_000);

/// Bytes of an answer that are buffered before they are asked for: enough for an answer's head, and little
/// beside what a request takes in all.
const BUFFER_BYTES: usize = 16 << 10;

/// Idle connections kept for one address.
const IDLE_LIMIT: usize = 64;

/// Idle connections kept for all addresses together: each has a descriptor, of which callers need most.
pub const IDLE_TOTAL: usize = 512;

/// How long an idle connection is kept.
const IDLE_TIME: Duration = Duration::from_secs(20);

/// Subtracted from the time for which the other side says it keeps an idle connection.
const KEEP_MARGIN: Duration = Duration::from_millis(1_000);

/// Failure answers that a connection carries before it is closed: each is remembered as long as it is open.
const MAX_FAILURES: usize = 64;

type Sender = SendRequest<Full<Bytes>>;

/// Whether a request may go on a pooled connection. The other side may close such a connection at
/// the very moment it is used, which leaves open whether the request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// On any that is not known to be closed.
    Any,
    /// On one that has rested for no longer than this.
    Rested(Duration),
    /// On none.
    Never,
}

/// Stands for the id of a request. The same for all of its sends, and for others only by chance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestTag(u64);

impl RequestTag {
    /// The tag of an id; `None` if it is empty.
    pub fn of(id: &str) -> Option<Self> {
        let mut hasher = DefaultHasher::new();
        id.hash(&mut hasher);
        (!id.is_empty()).then(|| Self(hasher.finish()))
    }
}

/// Which connection may carry a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionUse {
    /// Whether it may be a pooled one.
    pub reuse: Reuse,
    /// The request, if answers name it. Such requests have connections of their own, where each answer has to name one. None
    /// of them gets a failure answer to two sends of the same request: a copy of the first one would pass for the second.
    pub tag: Option<RequestTag>,
}

impl From<Reuse> for ConnectionUse {
    fn from(reuse: Reuse) -> Self {
        Self { reuse, tag: None }
    }
}

/// Why there is no answer, and what that proves.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SendFault {
    /// No byte of the request was sent.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The same, as nobody listens at the address: what ran there has ended.
    #[error("not sent: {0}")]
    Refused(String),
    /// The connection broke after bytes may have been sent.
    #[error("broke off: {0}")]
    Broke(String),
    /// No answer in time after bytes may have been sent.
    #[error("no answer in time")]
    TimedOut,
    /// The answer is larger than allowed.
    #[error("the answer is larger than {0} bytes")]
    TooLarge(usize),
    /// More came than any answer needs.
    #[error(transparent)]
    Endless(AnswerExcess),
    /// The answer has a status that none may have.
    #[error(transparent)]
    Status(InvalidStatus),
}

impl SendFault {
    /// Whether no byte of the request was sent.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Self::NotSent(_) | Self::Refused(_))
    }
}

impl From<BreakCause> for SendFault {
    fn from(cause: BreakCause) -> Self {
        Self::Broke(cause.to_string())
    }
}

/// A request without an answer.
#[derive(Debug)]
pub struct Unsent {
    /// What is known of it.
    pub fault: SendFault,
    /// The request, if no byte of it was sent.
    pub request: Option<Request<Full<Bytes>>>,
}

/// A request that has been answered with a head; the body follows.
pub struct Exchange {
    /// The status, one that an answer may have.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// How the end of the body is marked.
    pub framing: Framing,
    /// How long the connect took; `None` on a connection that stood already.
    pub connect: Option<Duration>,
    /// The box that forwarded the request, if this one has no path to the server.
    pub lease: Option<ProxyLease>,
    body: Incoming,
    home: Option<(Pool, Lane, Connection)>,
    progress: Arc<AnswerBounds>,
    keep: Duration,
    counter: Arc<AtomicU64>,
}

impl Exchange {
    /// Whether no other answer can have been due on the connection. A box that forwards an answer vouches for it.
    pub fn is_first(&self) -> bool {
        self.connect.is_some() || self.lease.is_some()
    }

    /// Has the connection closed behind the answer, as a copy of it could come in the place of the next one.
    pub fn close_after(&mut self) {
        self.home = None;
    }

    /// Has the bytes of the body counted as they come.
    pub fn count_into(&mut self, counter: Arc<AtomicU64>) {
        self.counter = counter;
    }

    /// The next piece of the body; `None` at its end, after which the connection is pooled again.
    ///
    /// # Errors
    /// [`SendFault::Broke`] when the connection breaks, [`SendFault::TimedOut`] when no piece comes
    /// within `silence`.
    pub async fn next(&mut self, silence: Duration) -> Result<Option<Bytes>, SendFault> {
        match tokio::time::timeout(silence, self.next_piece()).await {
            Ok(piece) => piece,
            Err(_) => Err(SendFault::TimedOut),
        }
    }

    async fn next_piece(&mut self) -> Result<Option<Bytes>, SendFault> {
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.count(data.len());
                        return Ok(Some(data));
                    }
                }
                Some(Err(error)) => return Err(break_fault(&self.progress, &error)),
                None => {
                    self.give_back();
                    return Ok(None);
                }
            }
        }
    }

    /// Reads the body whole.
    ///
    /// # Errors
    /// As [`Exchange::next`], and when the body is larger than `limit` bytes.
    pub async fn read_whole(mut self, limit: usize, silence: Duration) -> Result<Bytes, SendFault> {
        let reading = async {
            let mut held = BytesMut::new();
            while let Some(piece) = self.next_piece().await? {
                if held.len() + piece.len() > limit {
                    return Err(SendFault::TooLarge(limit));
                }
                held.extend_from_slice(&piece);
            }
            Ok(held.freeze())
        };
        match tokio::time::timeout(silence, reading).await {
            Ok(read) => read,
            Err(_) => Err(SendFault::TimedOut),
        }
    }

    fn count(&self, bytes: usize) {
        self.progress.body.count_data(bytes as u64);
        self.counter.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn give_back(&mut self) {
        self.progress.body.end();
        if let Some((pool, lane, connection)) = self.home.take() {
            pool.put(lane, connection, self.keep);
        }
    }
}

/// A connection, and which requests got a failure answer on it.
struct Connection {
    sender: Sender,
    progress: Arc<AnswerBounds>,
    failed: Vec<RequestTag>,
}

impl Connection {
    fn new(sender: Sender, progress: Arc<AnswerBounds>) -> Self {
        Self { sender, progress, failed: Vec::new() }
    }

    fn may_carry(&self, tag: Option<RequestTag>) -> bool {
        tag.is_none_or(|tag| !self.failed.contains(&tag))
    }
}

/// The connections to an address that carry requests with ids, or those that carry requests without.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Lane {
    addr: SocketAddr,
    is_named: bool,
}

struct Idle {
    connection: Connection,
    since: Instant,
    until: Instant,
}

impl Idle {
    fn is_usable(&self, now: Instant) -> bool {
        !self.connection.sender.is_closed() && now < self.until
    }
}

/// The idle connections, and their number.
#[derive(Default)]
struct IdleLists {
    by_lane: HashMap<Lane, Vec<Idle>>,
    count: usize,
}

impl IdleLists {
    /// Drops what can't be used any more, everywhere.
    fn clear_out(&mut self, now: Instant) {
        self.by_lane.retain(|_, list| {
            list.retain(|held| held.is_usable(now));
            !list.is_empty()
        });
        self.count = self.by_lane.values().map(Vec::len).sum();
    }
}

/// All connections.
#[derive(Clone)]
pub struct Pool {
    idle: Arc<Mutex<IdleLists>>,
    connect_time: Duration,
}

impl Default for Pool {
    fn default() -> Self {
        Self::new(CONNECT_TIME)
    }
}

impl Pool {
    /// No connections yet; a new one may take `connect_time` to stand.
    pub fn new(connect_time: Duration) -> Self {
        Self { idle: Arc::default(), connect_time }
    }

    /// Sends a request and waits for the head of its answer, at most `silence`.
    ///
    /// # Errors
    /// What is known of the request then.
    pub async fn send(
        &self,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
        silence: Duration,
        connection: impl Into<ConnectionUse>,
    ) -> Result<Exchange, SendFault> {
        let sent = self.send_or_return(addr, request, silence, connection.into()).await;
        sent.map_err(|unsent| unsent.fault)
    }

    /// The same, but gives the request back when no byte of it was sent.
    ///
    /// # Errors
    /// What is known of the request then.
    pub async fn send_or_return(
        &self,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
        silence: Duration,
        connection: ConnectionUse,
    ) -> Result<Exchange, Box<Unsent>> {
        let mut request = request;
        let ConnectionUse { reuse, tag } = connection;
        let lane = Lane { addr, is_named: tag.is_some() };
        let rest = match reuse {
            Reuse::Any => Some(Duration::MAX),
            Reuse::Rested(rest) => Some(rest),
            Reuse::Never => None,
        };
        if let Some(rest) = rest {
            while let Some(held) = self.take(lane, rest, tag) {
                match self.send_on(lane, held, request, silence, tag).await {
                    Ok(exchange) => return Ok(exchange),
                    Err(Unsent { fault: SendFault::NotSent(_), request: Some(unsent) }) => {
                        request = unsent;
                    }
                    Err(unsent) => return Err(Box::new(unsent)),
                }
            }
        }
        let began = Instant::now();
        let opened = match connect(addr, self.connect_time.min(silence)).await {
            Ok(opened) => opened,
            Err(fault) => return Err(Box::new(Unsent { fault, request: Some(request) })),
        };
        let connect = Some(began.elapsed());
        let sent = self.send_on(lane, opened, request, silence, tag).await;
        sent.map(|exchange| Exchange { connect, ..exchange }).map_err(Box::new)
    }

    /// Closes the idle connections to an address.
    pub fn forget(&self, addr: SocketAddr) {
        let mut lists = self.lists();
        for is_named in [true, false] {
            let closed =
                lists.by_lane.remove(&Lane { addr, is_named }).map_or(0, |list| list.len());
            lists.count -= closed;
        }
    }

    /// Asks whether anybody listens at an address.
    ///
    /// # Errors
    /// [`SendFault::Refused`] where nobody does, [`SendFault::NotSent`] where that can't be told.
    pub async fn probe(&self, addr: SocketAddr) -> Result<(), SendFault> {
        open(addr, self.connect_time).await.map(drop)
    }

    async fn send_on(
        &self,
        lane: Lane,
        mut connection: Connection,
        mut request: Request<Full<Bytes>>,
        silence: Duration,
        tag: Option<RequestTag>,
    ) -> Result<Exchange, Unsent> {
        connection.progress.head.begin(&mut request);
        let sending = connection.sender.try_send_request(request);
        match tokio::time::timeout(silence, sending).await {
            Err(_) => Err(Unsent { fault: SendFault::TimedOut, request: None }),
            Ok(Ok(response)) => {
                let begun = self.begin_exchange(lane, connection, response, tag);
                begun.map_err(|fault| Unsent { fault, request: None })
            }
            Ok(Err(mut error)) => match error.take_message() {
                // The library gives the request back only when it wrote nothing of it.
                Some(unsent) => {
                    let fault = SendFault::NotSent(error.into_error().to_string());
                    Err(Unsent { fault, request: Some(unsent) })
                }
                None => {
                    let fault = break_fault(&connection.progress, &error.into_error());
                    log_headless(lane.addr, &fault);
                    Err(Unsent { fault, request: None })
                }
            },
        }
    }

    /// The exchange that an answer's head begins, on a connection that stood already.
    fn begin_exchange(
        &self,
        lane: Lane,
        mut connection: Connection,
        response: Response<Incoming>,
        tag: Option<RequestTag>,
    ) -> Result<Exchange, SendFault> {
        let progress = connection.progress.clone();
        progress.head.end();
        progress.body.begin();
        let (parts, body) = response.into_parts();
        if progress.head.is_line_joined() || is_joined(&parts) {
            let text = "the head of an answer holds the beginning of another one";
            return Err(SendFault::Broke(text.to_owned()));
        }
        let status = answer_status(parts.status.as_u16()).map_err(SendFault::Status)?;
        if !status.is_success() {
            connection.failed.extend(tag);
        }
        let is_kept = connection.failed.len() < MAX_FAILURES;
        Ok(Exchange {
            status,
            framing: framing(&parts.headers, &body),
            keep: keep_time(&parts.headers),
            headers: parts.headers,
            connect: None,
            lease: None,
            body,
            home: is_kept.then(|| (self.clone(), lane, connection)),
            progress,
            counter: Arc::default(),
        })
    }

    fn lists(&self) -> MutexGuard<'_, IdleLists> {
        lock(&self.idle)
    }

    /// Idle connections.
    pub fn idle(&self) -> usize {
        self.lists().count
    }

    /// The connection that was used last, as the others may rest until they are closed.
    fn take(&self, lane: Lane, rest: Duration, tag: Option<RequestTag>) -> Option<Connection> {
        let mut lists = self.lists();
        let list = lists.by_lane.get_mut(&lane)?;
        let now = Instant::now();
        let before = list.len();
        list.retain(|held| held.is_usable(now));
        let is_fit =
            |held: &Idle| now < held.since + rest.min(IDLE_TIME) && held.connection.may_carry(tag);
        let at = list.iter().rposition(is_fit);
        let taken = at.map(|at| list.remove(at).connection);
        let gone = before - list.len();
        lists.count -= gone;
        taken
    }

    fn put(&self, lane: Lane, connection: Connection, keep: Duration) {
        if connection.sender.is_closed() {
            return;
        }
        let mut lists = self.lists();
        let since = Instant::now();
        if lists.count >= IDLE_TOTAL {
            lists.clear_out(since);
        }
        let is_full = lists.count >= IDLE_TOTAL;
        let list = lists.by_lane.entry(lane).or_default();
        if list.len() < IDLE_LIMIT && !is_full {
            list.push(Idle { connection, since, until: since + keep });
            lists.count += 1;
        }
    }
}

fn framing(headers: &HeaderMap, body: &Incoming) -> Framing {
    match body.size_hint().exact() {
        Some(_) => Framing::Length,
        None if is_chunked(headers) => Framing::Chunked,
        None => Framing::Close,
    }
}

/// Whether the last transfer coding is chunked. Behind any other, the body ends with its connection.
fn is_chunked(headers: &HeaderMap) -> bool {
    let last_field = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let codings = last_field.and_then(|value| value.to_str().ok());
    let last = codings.and_then(|codings| codings.rsplit(',').next());
    last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}

/// How long an idle connection is kept, by the other side's word where it gives one.
fn keep_time(headers: &HeaderMap) -> Duration {
    let word = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let seconds = word.and_then(|text| {
        let parameters = text.split(',').map(str::trim);
        parameters.filter_map(|it| it.strip_prefix("timeout=")).next()?.trim().parse().ok()
    });
    match seconds.map(Duration::from_secs) {
        Some(kept) => kept.saturating_sub(KEEP_MARGIN).min(IDLE_TIME),
        None => IDLE_TIME,
    }
}

async fn open(addr: SocketAddr, limit: Duration) -> Result<TcpStream, SendFault> {
    let text = |reason: &dyn Display| format!("connect to {addr}: {reason}");
    match tokio::time::timeout(limit, TcpStream::connect(addr)).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            Err(SendFault::Refused(text(&error)))
        }
        Ok(Err(error)) => Err(SendFault::NotSent(text(&error))),
        Err(_) => Err(SendFault::NotSent(text(&"timed out"))),
    }
}

/// Why a connection broke: it is this side that ends an answer which has no end.
fn break_fault(progress: &AnswerBounds, error: &hyper::Error) -> SendFault {
    match progress.excess() {
        Some(excess) => SendFault::Endless(excess),
        None => SendFault::Broke(error.to_string()),
    }
}

fn log_headless(addr: SocketAddr, fault: &SendFault) {
    if let SendFault::Endless(AnswerExcess::Head(HeadExcess { bytes, interim })) = fault {
        tracing::warn!(event = "answer_headless", %addr, bytes, interim);
    }
}

async fn connect(addr: SocketAddr, limit: Duration) -> Result<Connection, SendFault> {
    let stream = open(addr, limit).await?;
    let options = stream.set_nodelay(true).and_then(|()| limit_silence(&stream));
    if let Err(error) = options {
        tracing::warn!(event = "connection_options_refused", %addr, %error);
    }
    let mut library = http1::Builder::new();
    library.max_buf_size(BUFFER_BYTES);
    let progress = Arc::new(AnswerBounds::default());
    let limited = LimitedStream::new(stream, progress.clone());
    let shaken = library.handshake(TokioIo::new(limited)).await;
    let not_sent = |error| SendFault::NotSent(format!("connect to {addr}: {error}"));
    let (sender, connection) = shaken.map_err(not_sent)?;
    tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(Connection::new(sender, progress))
}
