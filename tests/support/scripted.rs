//! Backend servers that do with each send what a plan says, and that record what truly became of it.

use std::collections::HashMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::platform::{PATIENCE, event};

/// Events of a whole stream.
pub const EVENTS: u64 = 3;

/// The statuses with which a server refuses.
pub const REFUSALS: [&str; 4] = [
    "503 Service Unavailable",
    "429 Too Many Requests",
    "421 Misdirected Request",
    "400 Bad Request",
];

/// One attempt of a caller at its request: the number stands in a header of its own, as several may have the same id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Attempt(pub u64);

/// The refusal of a send.
#[derive(Debug, Clone, Copy)]
pub struct Refusal {
    /// The status line behind the version.
    pub status: &'static str,
    /// Whether it names the request.
    pub is_named: bool,
}

/// Which earlier answer of a connection is copied.
#[derive(Debug, Clone, Copy)]
pub enum Which {
    /// The one at this place, counted around.
    At(usize),
    /// The last one to a request with the same id; the last one if there is none.
    SameId,
}

/// An answer that is not the one to the request in whose place it comes.
#[derive(Debug, Clone, Copy)]
pub enum Extra {
    /// Copies of an earlier answer of the connection, with or without the id.
    Copy { which: Which, is_named: bool, times: usize },
    /// A refusal that the server never gave, named for another request or unnamed.
    Invented(Refusal),
}

/// What a server does with a send.
#[derive(Debug, Clone, Copy)]
pub enum Act {
    /// Runs it and answers whole.
    Answer,
    /// The same behind interim answers.
    Interim,
    /// The same, but the answer is written before the body is read.
    Early,
    /// The same, then closes.
    AnswerClose,
    /// Refuses it, and never runs it.
    Refuse(Refusal),
    /// The same, but the refusal is written before the body is read.
    RefuseEarly(Refusal),
    /// Runs it and answers with a failure.
    Fail(Refusal),
    /// Writes another answer in its place. It runs before or after that, and its own answer follows.
    Foreign { extra: Extra, runs_first: bool },
    /// Runs it and answers whole, with another answer at once behind.
    Behind(Extra),
    /// Refuses it, with another answer at once behind.
    RefuseBehind(Refusal, Extra),
    /// Runs it, writes half of the answer and closes.
    Half,
    /// Says nothing until the other side closes, then runs it.
    Late,
    /// Closes without reading it.
    CloseUnread,
    /// Reads it and closes.
    CloseRead,
    /// Reads it, runs it and closes.
    CloseRun,
}

impl Act {
    /// Whether it leaves nothing to be desired.
    pub fn is_sound(self) -> bool {
        matches!(self, Self::Answer | Self::Interim)
    }
}

/// How far an attempt has come at the servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// No server has read a send of it.
    Unread,
    /// A server has read a send of it.
    Read,
    /// It ran.
    Ran,
}

/// What truly happened to a send, or what a caller was told.
#[derive(Debug, Clone)]
pub struct Note {
    /// The connection to a server; `None` for what a caller was told.
    pub connection: Option<u64>,
    /// The attempt.
    pub attempt: Attempt,
    /// What happened.
    pub text: String,
}

struct Planned {
    acts: Vec<Act>,
    taken: Vec<Act>,
    stage: watch::Sender<Stage>,
}

/// What the servers of one run of the model share.
pub struct World {
    planned: Mutex<HashMap<Attempt, Planned>>,
    runs: Mutex<Vec<(Attempt, u64)>>,
    notes: Mutex<Vec<Note>>,
    /// Sends that are in work.
    busy: watch::Sender<usize>,
    connections: AtomicU64,
    /// Extra answers that were written.
    extras: AtomicU64,
    reports: AtomicU64,
    has_misdirected: AtomicBool,
}

impl World {
    /// A world in which nothing is planned.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            planned: Mutex::default(),
            runs: Mutex::default(),
            notes: Mutex::default(),
            busy: watch::Sender::new(0),
            connections: AtomicU64::new(0),
            extras: AtomicU64::new(0),
            reports: AtomicU64::new(0),
            has_misdirected: AtomicBool::new(false),
        })
    }

    /// Plans what becomes of the sends of an attempt, in their order; sends beyond that are answered. Gives how far the
    /// attempt has come.
    pub fn plan(&self, attempt: Attempt, acts: Vec<Act>) -> watch::Receiver<Stage> {
        let stage = watch::Sender::new(Stage::Unread);
        let follow = stage.subscribe();
        let planned = Planned { acts, taken: Vec::new(), stage };
        self.planned.lock().unwrap().insert(attempt, planned);
        follow
    }

    /// What was done with the sends of an attempt that reached a server.
    pub fn taken(&self, attempt: Attempt) -> Vec<Act> {
        self.planned.lock().unwrap()[&attempt].taken.clone()
    }

    /// The connections on which an attempt ran.
    pub fn runs(&self, attempt: Attempt) -> Vec<u64> {
        let runs = self.runs.lock().unwrap();
        runs.iter().filter(|(it, _)| *it == attempt).map(|(_, connection)| *connection).collect()
    }

    /// Records what happened.
    pub fn note(&self, connection: Option<u64>, attempt: Attempt, text: impl Into<String>) {
        self.notes.lock().unwrap().push(Note { connection, attempt, text: text.into() });
    }

    /// What happened to these attempts, and on the connections that carried them.
    pub fn story(&self, attempts: &[Attempt]) -> String {
        let notes = self.notes.lock().unwrap();
        let is_of = |note: &&Note| attempts.contains(&note.attempt);
        let connections: Vec<u64> =
            notes.iter().filter(is_of).filter_map(|it| it.connection).collect();
        let mut story = String::new();
        for note in notes.iter() {
            if is_of(&note) || note.connection.is_some_and(|it| connections.contains(&it)) {
                let connection =
                    note.connection.map_or("caller".to_owned(), |it| format!("connection {it}"));
                let _ =
                    writeln!(story, "  {connection}: attempt {}: {}", note.attempt.0, note.text);
            }
        }
        story
    }

    /// Waits until no send is in work.
    pub async fn wait_idle(&self) {
        let mut busy = self.busy.subscribe();
        let waiting = busy.wait_for(|count| *count == 0);
        tokio::time::timeout(PATIENCE, waiting).await.expect("sends in work").unwrap();
    }

    /// Connections that servers accepted.
    pub fn connections(&self) -> u64 {
        self.connections.load(Ordering::SeqCst)
    }

    /// Extra answers that were written.
    pub fn extras(&self) -> u64 {
        self.extras.load(Ordering::SeqCst)
    }

    /// Sends that reached a server.
    pub fn sends(&self) -> usize {
        self.planned.lock().unwrap().values().map(|it| it.taken.len()).sum()
    }

    /// Whether a server has said since the last question that another one is meant.
    pub fn take_misdirected(&self) -> bool {
        self.has_misdirected.swap(false, Ordering::SeqCst)
    }

    /// Starts a server.
    pub async fn serve(self: &Arc<Self>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let world = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let number = world.connections.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(Connection::new(world.clone(), number, stream).talk());
            }
        });
        addr
    }

    fn is_next(&self, attempt: Attempt, is_meant: impl Fn(Act) -> bool) -> bool {
        let planned = self.planned.lock().unwrap();
        let planned = planned.get(&attempt).expect("an attempt that was planned");
        planned.acts.get(planned.taken.len()).copied().is_some_and(is_meant)
    }

    fn next_act(&self, attempt: Attempt) -> Act {
        let mut planned = self.planned.lock().unwrap();
        let planned = planned.get_mut(&attempt).expect("an attempt that was planned");
        let act = planned.acts.get(planned.taken.len()).copied().unwrap_or(Act::Answer);
        planned.taken.push(act);
        act
    }

    fn reach(&self, attempt: Attempt, stage: Stage) {
        let planned = self.planned.lock().unwrap();
        planned[&attempt].stage.send_if_modified(|held| {
            let is_further = stage > *held;
            *held = stage.max(*held);
            is_further
        });
    }
}

/// A send that is in work until it is dropped.
struct Work(Arc<World>);

impl Work {
    fn begin(world: &Arc<World>) -> Self {
        world.busy.send_modify(|count| *count += 1);
        Self(world.clone())
    }
}

impl Drop for Work {
    fn drop(&mut self) {
        self.0.busy.send_modify(|count| *count -= 1);
    }
}

/// An answer as it is written.
#[derive(Debug, Clone)]
struct Written {
    status: &'static str,
    id: Option<String>,
    lines: &'static str,
    body: String,
}

impl Written {
    fn text(&self) -> String {
        let Self { status, id, lines, body } = self;
        let id = id.as_ref().map(|id| format!("Request-Id: {id}\r\n")).unwrap_or_default();
        format!("HTTP/1.1 {status}\r\n{id}{lines}Content-Length: {}\r\n\r\n{body}", body.len())
    }
}

/// The head of a request.
struct Head {
    line: String,
    headers: HashMap<String, String>,
}

impl Head {
    fn header<T: std::str::FromStr>(&self, name: &str) -> Option<T> {
        self.headers.get(name)?.parse().ok()
    }

    fn id(&self) -> &str {
        &self.headers["request-id"]
    }

    fn is_stream(&self) -> bool {
        self.line.starts_with("POST /stream") || self.line.starts_with("POST /resumable")
    }
}

/// Whether the connection goes on.
type GoesOn = std::io::Result<bool>;

/// A connection to a server.
struct Connection {
    world: Arc<World>,
    number: u64,
    stream: TcpStream,
    /// Bytes that were read and not used.
    held: Vec<u8>,
    /// The server's own answers so far.
    written: Vec<Written>,
}

impl Connection {
    fn new(world: Arc<World>, number: u64, stream: TcpStream) -> Self {
        Self { world, number, stream, held: Vec::new(), written: Vec::new() }
    }

    async fn talk(mut self) -> std::io::Result<()> {
        while !self.closes_unread().await? {
            let Some(head) = self.read_head().await? else {
                break;
            };
            let goes_on = match head.header("attempt").map(Attempt) {
                Some(attempt) => {
                    let _work = Work::begin(&self.world);
                    let act = self.world.next_act(attempt);
                    self.note(attempt, format!("{} {}: {act:?}", head.line, head.id()));
                    self.perform(&head, attempt, act).await?
                }
                None => self.refuse_report(&head).await?,
            };
            if !goes_on {
                break;
            }
        }
        Ok(())
    }

    /// Looks at the next request without reading it. Whether the connection is to be closed now, which is a reset.
    async fn closes_unread(&mut self) -> GoesOn {
        let mut head = [0; 1024];
        let seen = self.stream.peek(&mut head).await?;
        let text = String::from_utf8_lossy(&head[..seen]).into_owned();
        let named = text.split("\r\n").find_map(|line| line.strip_prefix("attempt: "));
        let Some(attempt) = named.and_then(|text| text.parse().ok()).map(Attempt) else {
            return Ok(false);
        };
        let closes = self.world.is_next(attempt, |act| matches!(act, Act::CloseUnread));
        if closes {
            self.world.next_act(attempt);
            self.note(attempt, "closes unread");
        }
        Ok(closes)
    }

    fn note(&self, attempt: Attempt, text: impl Into<String>) {
        self.world.note(Some(self.number), attempt, text);
    }

    async fn fill(&mut self) -> GoesOn {
        let read = self.stream.read_buf(&mut self.held).await?;
        Ok(read > 0)
    }

    async fn read_head(&mut self) -> std::io::Result<Option<Head>> {
        let end = loop {
            if let Some(place) = self.held.windows(4).position(|four| four == b"\r\n\r\n") {
                break place;
            }
            if !self.fill().await? {
                return Ok(None);
            }
        };
        let text = String::from_utf8_lossy(&self.held[..end]).into_owned();
        self.held.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let line = lines.next().unwrap_or_default().to_owned();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        Ok(Some(Head { line, headers }))
    }

    async fn read_body(&mut self, head: &Head) -> GoesOn {
        let length = head.header("content-length").unwrap_or(0);
        while self.held.len() < length {
            if !self.fill().await? {
                return Ok(false);
            }
        }
        self.held.drain(..length);
        Ok(true)
    }

    /// Answers a request for a report or a move: refused, as if the server were full, or unknown.
    async fn refuse_report(&mut self, head: &Head) -> GoesOn {
        if !self.read_body(head).await? {
            return Ok(false);
        }
        let (status, lines) = match self.world.reports.fetch_add(1, Ordering::SeqCst) % 3 {
            0 => ("404 Not Found", ""),
            _ => (REFUSALS[0], "Not-Executed: 1\r\n"),
        };
        let answer = Written { status, id: None, lines, body: String::new() };
        self.stream.write_all(answer.text().as_bytes()).await?;
        Ok(true)
    }

    fn run(&self, attempt: Attempt) {
        self.world.runs.lock().unwrap().push((attempt, self.number));
        self.note(attempt, "runs");
        self.world.reach(attempt, Stage::Ran);
    }

    fn whole(head: &Head) -> Written {
        let id = head.id().to_owned();
        let (lines, body) = if head.is_stream() {
            let first = head.header("last-event-id").unwrap_or(0) + 1;
            let events: String = (first..=EVENTS).map(event).collect();
            let lines = "Response-Signature: sig\r\nContent-Type: text/event-stream\r\n";
            (lines, events.replace("piece", &format!("whose={id};")))
        } else {
            ("Response-Signature: sig\r\n", format!("whose={id};"))
        };
        Written { status: "200 OK", id: Some(id), lines, body }
    }

    fn refusal(head: &Head, refusal: Refusal) -> Written {
        let id = refusal.is_named.then(|| head.id().to_owned());
        Written { status: refusal.status, id, lines: "Not-Executed: 1\r\n", body: String::new() }
    }

    fn failure(head: &Head, refusal: Refusal) -> Written {
        let id = refusal.is_named.then(|| head.id().to_owned());
        let body = format!("whose={};", head.id());
        Written { status: refusal.status, id, lines: "Response-Signature: sig\r\n", body }
    }

    /// The text of an extra answer; empty if the connection has carried no answer that could be copied.
    fn extra(&self, head: &Head, extra: Extra) -> String {
        let (found, times) = match extra {
            _ if self.written.is_empty() => return String::new(),
            Extra::Copy { which: Which::At(place), is_named, times } => {
                (self.named(&self.written[place % self.written.len()], is_named), times)
            }
            Extra::Copy { which: Which::SameId, is_named, times } => {
                let same = self.written.iter().rev().find(|it| it.id.as_deref() == Some(head.id()));
                (self.named(same.or(self.written.last()).unwrap(), is_named), times)
            }
            Extra::Invented(refusal) => {
                let id = refusal.is_named.then(|| "r-none".to_owned());
                let lines = "Not-Executed: 1\r\n";
                (Written { status: refusal.status, id, lines, body: String::new() }, 1)
            }
        };
        self.world.extras.fetch_add(1, Ordering::SeqCst);
        found.text().repeat(times)
    }

    fn named(&self, written: &Written, is_named: bool) -> Written {
        Written { id: written.id.clone().filter(|_| is_named), ..written.clone() }
    }

    async fn write(&mut self, attempt: Attempt, text: &str) -> std::io::Result<()> {
        self.note(attempt, format!("writes {text:?}"));
        self.stream.write_all(text.as_bytes()).await
    }

    async fn answer(
        &mut self,
        attempt: Attempt,
        before: &str,
        own: Written,
        behind: &str,
    ) -> GoesOn {
        let text = format!("{before}{}{behind}", own.text());
        self.written.push(own);
        self.write(attempt, &text).await?;
        Ok(true)
    }

    async fn perform(&mut self, head: &Head, attempt: Attempt, act: Act) -> GoesOn {
        let is_read = match act {
            Act::CloseUnread => return Ok(false),
            Act::Early | Act::RefuseEarly(_) => true,
            _ => self.read_body(head).await?,
        };
        if !is_read {
            return Ok(false);
        }
        self.world.reach(attempt, Stage::Read);
        let whole = Self::whole(head);
        match act {
            Act::Answer => {
                self.run(attempt);
                self.answer(attempt, "", whole, "").await
            }
            Act::Interim => {
                self.run(attempt);
                let interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nRequest-Id: r-none\r\n\r\n";
                self.answer(attempt, interim, whole, "").await
            }
            Act::Early => {
                self.run(attempt);
                self.answer(attempt, "", whole, "").await?;
                self.read_body(head).await
            }
            Act::AnswerClose => {
                self.run(attempt);
                self.answer(attempt, "", whole, "").await?;
                Ok(false)
            }
            Act::Refuse(refusal) => {
                self.record_refusal(refusal);
                self.answer(attempt, "", Self::refusal(head, refusal), "").await
            }
            Act::RefuseEarly(refusal) => {
                self.record_refusal(refusal);
                self.answer(attempt, "", Self::refusal(head, refusal), "").await?;
                self.read_body(head).await
            }
            Act::Fail(refusal) => {
                self.run(attempt);
                self.answer(attempt, "", Self::failure(head, refusal), "").await
            }
            Act::Foreign { extra, runs_first } => {
                let extra = self.extra(head, extra);
                if runs_first {
                    self.run(attempt);
                }
                let written = self.write(attempt, &extra).await;
                if !runs_first {
                    self.run(attempt);
                }
                written?;
                self.answer(attempt, "", whole, "").await
            }
            Act::Behind(extra) => {
                self.run(attempt);
                self.written.push(whole.clone());
                let extra = self.extra(head, extra);
                self.written.pop();
                self.answer(attempt, "", whole, &extra).await
            }
            Act::RefuseBehind(refusal, extra) => {
                self.record_refusal(refusal);
                let own = Self::refusal(head, refusal);
                self.written.push(own.clone());
                let extra = self.extra(head, extra);
                self.written.pop();
                self.answer(attempt, "", own, &extra).await
            }
            Act::Half => {
                self.run(attempt);
                let text = whole.text();
                self.write(attempt, &text[..text.len() - 4]).await?;
                Ok(false)
            }
            Act::Late => {
                while self.fill().await.unwrap_or(false) {}
                self.run(attempt);
                Ok(false)
            }
            Act::CloseUnread | Act::CloseRead => Ok(false),
            Act::CloseRun => {
                self.run(attempt);
                Ok(false)
            }
        }
    }

    fn record_refusal(&self, refusal: Refusal) {
        if refusal.status.starts_with("421") {
            self.world.has_misdirected.store(true, Ordering::SeqCst);
        }
    }
}
