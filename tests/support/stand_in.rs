//! A stand-in for a backend server that speaks the users' platform's words.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use emberturn::relay::list::Server;
use emberturn::units::Millis;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

use super::PATIENCE;

#[path = "reserved.rs"]
mod reserved;

pub use reserved::ReservedAddr;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// What a stand-in does with a request.
#[derive(Debug, Clone)]
pub enum Act {
    /// Answers whole and signed.
    Answer,
    /// Answers whole and signed, and names this limit.
    Naming(&'static str),
    /// Answers whole, signed, with this id in place of the request's.
    AnswerAs(&'static str),
    /// Answers whole without a signature.
    Unsigned,
    /// Answers with this status, signed, as run.
    Fail(u16),
    /// Says that it has not run the request.
    Refuse,
    /// Says that it has not run the request, that it is idle, and asks for a pause of so many seconds.
    Pause(&'static str),
    /// Says that it has not run the request, that it is full, and how many rejections it bears.
    Brittle(&'static str),
    /// Answers whole and signed, and says that it is leaving.
    Leaving,
    /// Another engine has the address.
    Misdirected,
    /// Reads the request and closes.
    Close,
    /// Reads the request and says nothing until the caller goes.
    Silent,
    /// A stream of events from the one after the last the caller has, up to this one.
    Events(u64),
    /// The same, but cut inside the event behind this one.
    CutAfter(u64),
    /// Events up to this one, then nothing until its run is moved, which cuts the stream.
    UntilMoved(u64),
    /// Events up to this one without a length or chunks, then the connection closes.
    Unframed(u64),
    /// The same, but the connection closes once the run was asked to move.
    UnframedUntilMoved(u64),
    /// The same, but it closes this long after that.
    UnframedLongAfterMove(u64, Duration),
    /// Events up to this one in chunks, with a further blank line behind the last one.
    BlankLineBehind(u64),
    /// Events up to this one, of so many bytes and more, as fast as they are taken.
    Large(u64, usize),
    /// One event, then the rest up to this one after a pause.
    PauseAfterFirst(u64, Duration),
    /// The same, but the stream is cut during the pause if its run is moved.
    PauseUnlessMoved(u64, Duration),
}

/// What a stand-in says of its life.
#[derive(Debug, Clone, Copy)]
pub enum Tells {
    /// Nothing, and it moves runs that it is asked to move.
    Nothing,
    /// Its life; it knows no run to move.
    Life(u64),
    /// The same, but it gives no report.
    LifeInMoves(u64),
}

/// What a stand-in answers when it is asked to stop a run and to move it.
#[derive(Debug, Clone, Copy)]
pub enum Moves {
    /// That it has stopped the run and copied it.
    Copied,
    /// That it has stopped the run, but the target has no room.
    NoRoom,
    /// That it knows no such run.
    NotFound,
    /// That a move is under way.
    Busy,
    /// Nothing, and it closes the connection.
    Close,
    /// Nothing.
    Silent,
    /// The head of an answer after this long, and nothing of its body.
    HeadAfter(Duration),
}

/// A request as it reached a stand-in.
#[derive(Debug, Clone)]
pub struct Seen {
    /// The first line.
    pub line: String,
    /// The headers, in lower case.
    pub headers: HashMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
    /// When it was read.
    pub at: Instant,
}

impl Seen {
    /// Whether a box greets another one, which had the address before in a test beside this one.
    pub fn is_greeting(&self) -> bool {
        self.headers.get("upgrade").is_some_and(|upgrade| upgrade == "websocket")
    }
}

/// A stand-in for a backend server.
pub struct StandIn {
    /// Its id.
    pub id: String,
    /// Where it listens.
    pub addr: SocketAddr,
    seen: Arc<Mutex<Vec<Seen>>>,
    count: watch::Receiver<usize>,
    gone: watch::Receiver<usize>,
    reports: watch::Receiver<usize>,
    moves_asked: watch::Receiver<usize>,
    running: JoinHandle<()>,
    reserved: Option<ReservedAddr>,
}

impl StandIn {
    /// Starts one that does the acts in turn, and the last of them from then on.
    pub async fn start(id: &str, acts: &[Act]) -> Self {
        Self::start_at(id, "127.0.0.1:0".parse().unwrap(), Tells::Nothing, acts).await
    }

    /// Starts one that answers so when it is asked to move a run.
    pub async fn start_moving(id: &str, moves: Moves, acts: &[Act]) -> Self {
        let itself = Itself { moves: Some(moves), ..Itself::default() };
        Self::start_as(id, "127.0.0.1:0".parse().unwrap(), itself, acts).await
    }

    /// Starts one in a life that it tells, at an address.
    pub async fn start_at(id: &str, addr: SocketAddr, tells: Tells, acts: &[Act]) -> Self {
        Self::start_as(id, addr, Itself { tells, ..Itself::default() }, acts).await
    }

    async fn start_as(id: &str, addr: SocketAddr, itself: Itself, acts: &[Act]) -> Self {
        let reserved = (addr.port() == 0).then(ReservedAddr::new);
        let listener = match &reserved {
            Some(reserved) => reserved.listen(BACKLOG),
            None => TcpListener::bind(addr).await.unwrap(),
        };
        let addr = listener.local_addr().unwrap();
        let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
        let (counted, count) = watch::channel(0);
        let (left, gone) = watch::channel(0);
        let (acts, held) = (acts.to_vec(), seen.clone());
        let (counted, left) = (Arc::new(counted), Arc::new(left));
        let itself = Arc::new(itself);
        let reports = itself.reports.subscribe();
        let moves_asked = itself.moves_asked.subscribe();
        let running = tokio::spawn(async move {
            // With this task all connections end.
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let (acts, held) = (acts.clone(), held.clone());
                let (counted, left, itself) = (counted.clone(), left.clone(), itself.clone());
                connections.spawn(async move {
                    let _ = talk(stream, &acts, &held, &counted, &itself).await;
                    left.send_modify(|count| *count += 1);
                });
            }
        });
        Self { id: id.to_owned(), addr, seen, count, gone, reports, moves_asked, running, reserved }
    }

    /// Kills it: its connections break, and nobody listens at its address.
    pub async fn kill(self) -> SocketAddr {
        self.running.abort();
        let _ = self.running.await;
        self.addr
    }

    /// Kills it for good: no listener of another test gets its address, at which it would seem to run on.
    pub async fn end(mut self) {
        std::mem::forget(self.reserved.take());
        self.kill().await;
    }

    /// Waits until it was asked for a report so many times.
    pub async fn wait_reports(&mut self, wanted: usize) {
        let waiting = self.reports.wait_for(|count| *count >= wanted);
        tokio::time::timeout(PATIENCE, waiting).await.unwrap().unwrap();
    }

    /// How often it was asked to move a run.
    pub fn moves_asked(&self) -> usize {
        *self.moves_asked.borrow()
    }

    /// The requests so far.
    pub fn seen(&self) -> Vec<Seen> {
        self.seen.lock().unwrap().clone()
    }

    /// Waits for so many requests.
    pub async fn wait_seen(&mut self, wanted: usize) {
        let waiting = self.count.wait_for(|count| *count >= wanted);
        tokio::time::timeout(PATIENCE, waiting).await.unwrap().unwrap();
    }

    /// Waits until so many connections have ended.
    pub async fn wait_gone(&mut self, wanted: usize) {
        let waiting = self.gone.wait_for(|count| *count >= wanted);
        tokio::time::timeout(PATIENCE, waiting).await.unwrap().unwrap();
    }

    /// How the platform lists it.
    pub fn listed(&self, service: &str) -> Server {
        listed_server(&self.id, service, self.addr)
    }
}

/// How the platform lists a server.
pub fn listed_server(id: &str, service: &str, addr: SocketAddr) -> Server {
    Server {
        id: id.parse().unwrap(),
        service: service.parse().unwrap(),
        addr,
        data_centre: "here".parse().unwrap(),
        release: "v1".parse().unwrap(),
        slots: 8,
        leaving: false,
        leaves_in: None,
        spot: false,
    }
}

/// How the platform lists a server that leaves in 2.5 s.
pub fn as_leaving(server: Server) -> Server {
    Server { leaving: true, leaves_in: Some(Millis(2_500)), ..server }
}

/// What a stand-in says of itself.
struct Itself {
    /// Its life, where it tells it.
    tells: Tells,
    /// What it answers to a move, if that does not follow from its life.
    moves: Option<Moves>,
    /// Whether a run was moved.
    moved: watch::Sender<bool>,
    /// How often it was asked to move a run.
    moves_asked: watch::Sender<usize>,
    /// The streams that end once a run was moved. The answer to the move comes after their end.
    ending: watch::Sender<usize>,
    /// Reports it was asked for.
    reports: watch::Sender<usize>,
}

impl Default for Itself {
    fn default() -> Self {
        let (moved, reports) = (watch::Sender::new(false), watch::Sender::new(0));
        Self {
            tells: Tells::Nothing,
            moves: None,
            moved,
            ending: watch::Sender::new(0),
            moves_asked: watch::Sender::new(0),
            reports,
        }
    }
}

impl Itself {
    /// Its report, or a word that there is none.
    fn report(&self) -> String {
        self.reports.send_modify(|count| *count += 1);
        let Tells::Life(born) = self.tells else {
            return "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n".to_owned();
        };
        let body = json!({"born": born, "state": "ready", "num_running": 1, "num_waiting": 0});
        Self::answer("200 OK", &body)
    }

    /// Its answer to a move, if it gives one: in a life that it tells, it knows no run.
    fn moved(&self) -> Option<String> {
        let handle = json!({"handle": "h-1", "made": 2});
        let (status, body) = match self.moves {
            None => return Some(self.moved_in_its_life()),
            Some(Moves::Copied) => ("200 OK", handle),
            Some(Moves::NoRoom) => ("503 Service Unavailable", handle),
            Some(Moves::NotFound) => ("404 Not Found", json!({})),
            Some(Moves::Busy) => ("409 Conflict", json!({})),
            Some(Moves::Close | Moves::Silent | Moves::HeadAfter(_)) => return None,
        };
        Some(Self::answer(status, &body))
    }

    async fn wait_moved(&self) {
        let _ = self.moved.subscribe().wait_for(|moved| *moved).await;
    }

    fn moved_in_its_life(&self) -> String {
        match self.tells {
            Tells::Nothing => Self::answer("200 OK", &json!({"handle": "h-1", "made": 2})),
            Tells::Life(born) | Tells::LifeInMoves(born) => {
                Self::answer("404 Not Found", &json!({ "born": born }))
            }
        }
    }

    fn answer(status: &str, body: &Value) -> String {
        let body = body.to_string();
        format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
    }
}

/// Reads one request; `None` at the end of the connection.
pub async fn read_request(stream: &mut TcpStream) -> std::io::Result<Option<Seen>> {
    let mut held = Vec::new();
    let end = loop {
        if let Some(place) = held.windows(4).position(|four| four == b"\r\n\r\n") {
            break place;
        }
        let mut piece = [0; 4096];
        let read = stream.read(&mut piece).await?;
        if read == 0 {
            return Ok(None);
        }
        held.extend_from_slice(&piece[..read]);
    };
    let head = String::from_utf8_lossy(&held[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let line = lines.next().unwrap_or_default().to_owned();
    let headers: HashMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length: usize = headers.get("content-length").map_or(0, |text| text.parse().unwrap());
    let mut body = held[end + 4..].to_vec();
    while body.len() < length {
        let mut piece = [0; 4096];
        let read = stream.read(&mut piece).await?;
        if read == 0 {
            return Ok(None);
        }
        body.extend_from_slice(&piece[..read]);
    }
    Ok(Some(Seen { line, headers, body, at: Instant::now() }))
}

async fn talk(
    mut stream: TcpStream,
    acts: &[Act],
    seen: &Mutex<Vec<Seen>>,
    counted: &watch::Sender<usize>,
    itself: &Itself,
) -> std::io::Result<()> {
    while let Some(request) = read_request(&mut stream).await? {
        if request.is_greeting() {
            return Ok(());
        }
        if request.line.starts_with("GET /report ") {
            stream.write_all(itself.report().as_bytes()).await?;
            continue;
        }
        if request.line.starts_with("POST /kv-move ") {
            itself.moves_asked.send_modify(|count| *count += 1);
            itself.moved.send_replace(true);
            let _ = itself.ending.subscribe().wait_for(|count| *count == 0).await;
            match (itself.moved(), itself.moves) {
                (Some(text), _) => stream.write_all(text.as_bytes()).await?,
                (None, Some(Moves::Silent)) => return wait_for_end(&mut stream).await,
                (None, Some(Moves::HeadAfter(delay))) => {
                    tokio::time::sleep(delay).await;
                    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n").await?;
                    return wait_for_end(&mut stream).await;
                }
                (None, _) => return Ok(()),
            }
            continue;
        }
        let place = {
            let mut seen = seen.lock().unwrap();
            seen.push(request.clone());
            seen.len()
        };
        counted.send_replace(place);
        let act = acts.get(place - 1).or(acts.last()).unwrap();
        if !perform(&mut stream, act, &request, itself).await? {
            return Ok(());
        }
    }
    Ok(())
}

/// Waits until the other side closes.
async fn wait_for_end(stream: &mut TcpStream) -> std::io::Result<()> {
    let mut rest = [0; 64];
    while stream.read(&mut rest).await? > 0 {}
    Ok(())
}

/// The text of one event.
pub fn event(number: u64) -> String {
    format!("id: {number}\ndata: piece {number}\n\n")
}

/// The text of an event of `size` bytes and more.
pub fn large_event(number: u64, size: usize) -> String {
    format!("id: {number}\ndata: {}\n\n", "x".repeat(size))
}

/// The text of a stream up to an event.
pub fn events(last: u64) -> String {
    (1..=last).map(event).collect()
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Performs an act; whether the connection goes on.
async fn perform(
    stream: &mut TcpStream,
    act: &Act,
    request: &Seen,
    itself: &Itself,
) -> std::io::Result<bool> {
    let id = request.headers.get("request-id").cloned().unwrap_or_default();
    let whole = |status: &str, id: &str, extra: &str, body: &str| {
        format!(
            "HTTP/1.1 {status}\r\nRequest-Id: {id}\r\n{extra}Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    let signed = "Response-Signature: sig\r\nInstance-Load: 1,0,8\r\n";
    let stream_head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nContent-Type: text/event-stream\r\n{signed}Transfer-Encoding: chunked\r\n\r\n"
    );
    let unframed_head = stream_head.replace("Transfer-Encoding: chunked\r\n", "");
    let resumed = request.headers.get("last-event-id").map_or(0, |text| text.parse().unwrap());
    match act {
        Act::Answer => stream.write_all(whole("200 OK", &id, signed, "answer").as_bytes()).await?,
        Act::Naming(limit) => {
            let named = format!("{signed}Server-Limit: {limit}\r\n");
            stream.write_all(whole("200 OK", &id, &named, "answer").as_bytes()).await?;
        }
        Act::AnswerAs(other) => {
            stream.write_all(whole("200 OK", other, signed, "answer").as_bytes()).await?;
        }
        Act::Unsigned => stream.write_all(whole("200 OK", &id, "", "answer").as_bytes()).await?,
        Act::Fail(status) => {
            let status = format!("{status} Failed");
            stream.write_all(whole(&status, &id, signed, "failed").as_bytes()).await?;
        }
        Act::Refuse => {
            let text = whole("503 Service Unavailable", &id, "Not-Executed: 1\r\n", "");
            stream.write_all(text.as_bytes()).await?;
        }
        Act::Pause(seconds) => {
            let asked =
                format!("Not-Executed: 1\r\nInstance-Load: 0,0,8\r\nRetry-After: {seconds}\r\n");
            let text = whole("503 Service Unavailable", &id, &asked, "");
            stream.write_all(text.as_bytes()).await?;
        }
        Act::Brittle(rejections) => {
            let named = format!(
                "Not-Executed: 1\r\nInstance-Load: 8,4,8\r\nServer-Brittle: {rejections}\r\n"
            );
            let text = whole("503 Service Unavailable", &id, &named, "");
            stream.write_all(text.as_bytes()).await?;
        }
        Act::Leaving => {
            let leaving = format!("{signed}Server-Leaving: 1\r\n");
            stream.write_all(whole("200 OK", &id, &leaving, "answer").as_bytes()).await?;
        }
        Act::Misdirected => {
            let text = whole("421 Misdirected Request", "", "Instance-Id: other\r\n", "");
            stream.write_all(text.as_bytes()).await?;
        }
        Act::Close => return Ok(false),
        Act::Silent => {
            wait_for_end(stream).await?;
            return Ok(false);
        }
        Act::Events(last) => {
            let mut text = stream_head;
            (resumed + 1..=*last).for_each(|number| text.push_str(&chunk(&event(number))));
            text.push_str("0\r\n\r\n");
            stream.write_all(text.as_bytes()).await?;
        }
        Act::CutAfter(last) => {
            let mut text = stream_head;
            (resumed + 1..=*last).for_each(|number| text.push_str(&chunk(&event(number))));
            text.push_str(&chunk(&event(last + 1)[..6]));
            stream.write_all(text.as_bytes()).await?;
            return Ok(false);
        }
        Act::UntilMoved(last) => {
            let mut text = stream_head;
            (resumed + 1..=*last).for_each(|number| text.push_str(&chunk(&event(number))));
            stream.write_all(text.as_bytes()).await?;
            itself.wait_moved().await;
            return Ok(false);
        }
        Act::Unframed(last) => {
            let text: String = (resumed + 1..=*last).map(event).collect();
            stream.write_all(format!("{unframed_head}{text}").as_bytes()).await?;
            return Ok(false);
        }
        Act::UnframedUntilMoved(last) => {
            itself.ending.send_modify(|count| *count += 1);
            let text: String = (resumed + 1..=*last).map(event).collect();
            stream.write_all(format!("{unframed_head}{text}").as_bytes()).await?;
            itself.wait_moved().await;
            // The box closes its side once it has read the end.
            let ended = async {
                stream.shutdown().await?;
                wait_for_end(stream).await
            };
            let ended = ended.await;
            itself.ending.send_modify(|count| *count -= 1);
            ended?;
            return Ok(false);
        }
        Act::UnframedLongAfterMove(last, pause) => {
            let text: String = (resumed + 1..=*last).map(event).collect();
            stream.write_all(format!("{unframed_head}{text}").as_bytes()).await?;
            itself.wait_moved().await;
            tokio::time::sleep(*pause).await;
            return Ok(false);
        }
        Act::BlankLineBehind(last) => {
            let mut text = stream_head;
            (resumed + 1..=*last).for_each(|number| text.push_str(&chunk(&event(number))));
            text.push_str(&chunk("\n"));
            text.push_str("0\r\n\r\n");
            stream.write_all(text.as_bytes()).await?;
        }
        Act::Large(last, size) => {
            stream.write_all(stream_head.as_bytes()).await?;
            for number in resumed + 1..=*last {
                stream.write_all(chunk(&large_event(number, *size)).as_bytes()).await?;
            }
            stream.write_all(b"0\r\n\r\n").await?;
        }
        Act::PauseAfterFirst(last, pause) | Act::PauseUnlessMoved(last, pause) => {
            stream.write_all((format!("{stream_head}{}", chunk(&event(1)))).as_bytes()).await?;
            let mut waiting = itself.moved.subscribe();
            tokio::select! {
                () = tokio::time::sleep(*pause) => {}
                _ = waiting.wait_for(|moved| *moved), if matches!(act, Act::PauseUnlessMoved(..)) => {
                    return Ok(false);
                }
            }
            let mut text = String::new();
            (2..=*last).for_each(|number| text.push_str(&chunk(&event(number))));
            text.push_str("0\r\n\r\n");
            stream.write_all(text.as_bytes()).await?;
        }
    }
    Ok(true)
}
