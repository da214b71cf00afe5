//! A server that sends bytes without end, and counts those that it could write until its connection was closed; or one that
//! stops in the middle and closes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use emberturn::relay::list::Server;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

use super::platform::{PATIENCE, Seen, event, listed_server, read_request};

/// What the buffers of both ends of a connection take at most.
pub const BUFFERED_BYTES: u64 = 16 << 20;

/// Time between two pieces that come now and then.
const SLOW_PAUSE: Duration = Duration::from_millis(5);

/// Bytes written at once where they come fast.
const BLOCK_BYTES: usize = 64 << 10;

/// Bytes of a chunk of a body.
const CHUNK_BYTES: usize = 1 << 10;

/// An answer up to the end of its head, without the headers that say where its body ends.
const HEAD: &str = "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nResponse-Signature: sig\r\n";

const CHUNKED: &str = "Transfer-Encoding: chunked\r\n\r\n";

const MISSING: &str = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";

/// Where the bytes of a whole answer have no end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    Interim,
    EmptyLines,
    StatusLine,
    HeaderLines,
    Header,
    ChunkSize,
    ChunkSizeBlanks,
    ChunkExtension,
    ChunkExtensions,
    TrailerLines,
    Trailer,
    BodyWithLength,
    BodyInChunks,
    BodyToClose,
}

impl Place {
    /// What comes once, and what comes again and again.
    fn bytes(self) -> (String, String) {
        let chunked = |text: &str| format!("{HEAD}{CHUNKED}{text}");
        let (once, again) = match self {
            Self::Interim => (String::new(), "HTTP/1.1 102 Processing\r\n\r\n"),
            Self::EmptyLines => (String::new(), "\r\n"),
            Self::StatusLine => ("HTTP/1.1 200 ".to_owned(), "x"),
            Self::HeaderLines => (HEAD.to_owned(), "X-Line: x\r\n"),
            Self::Header => (format!("{HEAD}X-Line: "), "x"),
            Self::ChunkSize => (chunked(""), "0"),
            Self::ChunkSizeBlanks => (chunked("1"), " "),
            Self::ChunkExtension => (chunked("1;"), "x"),
            Self::ChunkExtensions => (chunked(""), "1;x=123456789012345678901234567890\r\nx\r\n"),
            Self::TrailerLines => (chunked("0\r\n"), "X-Line: x\r\n"),
            Self::Trailer => (chunked("0\r\nX-Line: "), "x"),
            Self::BodyWithLength => (format!("{HEAD}Content-Length: {}\r\n\r\n", 1_u64 << 40), "x"),
            Self::BodyInChunks => return (chunked(""), chunk(&"x".repeat(CHUNK_BYTES))),
            Self::BodyToClose => (format!("{HEAD}\r\n"), "x"),
        };
        (once, again.to_owned())
    }
}

/// How fast the bytes come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pace {
    /// As fast as they are taken.
    Fast,
    /// A piece now and then.
    Slow,
}

/// What a server sends without end.
#[derive(Debug, Clone)]
pub struct Endless {
    once: String,
    again: String,
    pace: Pace,
}

impl Endless {
    /// Of an event, lines; of a line, bytes; and what is no event.
    pub const EVENT: (&str, &str) =
        ("", "40\r\ndata:xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\n\r\n");
    pub const LINE: (&str, &str) = (
        "6\r\ndata: \r\n",
        "40\r\nxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\n",
    );
    pub const BLANK_LINES: (&str, &str) = ("", "10\r\n\n\n\n\n\n\n\n\n\n\n\n\n\n\n\n\n\r\n");
    pub const COMMENTS: (&str, &str) =
        ("", "40\r\n:xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\n\n\r\n");
    /// Between two chunks.
    pub const CHUNK_SIZE: (&str, &str) = ("", "0");
    pub const EXTENSIONS: (&str, &str) = ("", "1;x=123456789012345678901234567890\r\n:\r\n");
    pub const TRAILER: (&str, &str) = ("0\r\nX-Line: ", "x");

    /// A whole answer.
    pub fn whole(place: Place, pace: Pace) -> Self {
        let (once, again) = place.bytes();
        Self { once, again, pace }
    }

    /// One piece again and again, in place of an answer.
    pub fn raw(piece: &str, pace: Pace) -> Self {
        Self { once: String::new(), again: piece.to_owned(), pace }
    }

    /// What follows a whole answer.
    pub fn behind(pace: Pace) -> Self {
        Self { once: served(), again: "x".to_owned(), pace }
    }

    /// Part of an answer, behind which the connection is closed.
    pub fn stopped(part: &str) -> Self {
        Self { once: part.to_owned(), again: String::new(), pace: Pace::Slow }
    }

    /// An answer that states its length, begins with so many bytes and then comes slowly.
    pub fn within(length: usize, begun: usize) -> Self {
        let begun = "x".repeat(begun);
        let once = format!("{HEAD}Content-Length: {length}\r\n\r\n{begun}");
        Self { once, again: "x".to_owned(), pace: Pace::Slow }
    }

    /// The same without a length: it ends with its connection.
    pub fn to_close(begun: usize) -> Self {
        let once = format!("{HEAD}\r\n{}", "x".repeat(begun));
        Self { once, again: "x".to_owned(), pace: Pace::Slow }
    }

    /// A stream that has begun with an event, and with so many bytes of another one that then comes slowly.
    pub fn inside_event(begun: usize) -> Self {
        let begun = chunk(&format!("data: {}", "x".repeat(begun)));
        Self::stream(1, &begun, &chunk("x"), Pace::Slow)
    }

    /// A whole answer of so many bytes.
    pub fn whole_of(length: usize) -> Self {
        let once = format!("{HEAD}Content-Length: {length}\r\n\r\n{}", "x".repeat(length));
        Self { once, again: String::new(), pace: Pace::Slow }
    }

    /// A stream in chunks that has begun with some events.
    pub fn stream(events: u64, once: &str, again: &str, pace: Pace) -> Self {
        let begun: String = (1..=events).map(event).map(|text| chunk(&text)).collect();
        let once = format!("{HEAD}Content-Type: text/event-stream\r\n{CHUNKED}{begun}{once}");
        Self { once, again: again.to_owned(), pace }
    }
}

/// Which requests get bytes without end. Others are answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Asked {
    Everything,
    Calls,
    Reports,
    /// Requests to stop a run.
    Moves,
}

impl Asked {
    fn of(request: &Seen) -> Self {
        match request.line.as_str() {
            line if line.starts_with("POST /kv-move ") => Self::Moves,
            line if line.starts_with("GET /report ") || line.starts_with("GET /load ") => {
                Self::Reports
            }
            _ => Self::Calls,
        }
    }
}

struct Shared {
    asked: Asked,
    endless: Endless,
    /// Calls that ran.
    runs: AtomicUsize,
    is_well: AtomicBool,
    /// Calls that are broken off before others are answered.
    breaks: AtomicUsize,
    began: watch::Sender<bool>,
    /// Whether the endless answer to a request to stop a run has been given up.
    given_up: watch::Sender<bool>,
    written: mpsc::UnboundedSender<u64>,
}

/// A server that sends bytes without end to some requests.
pub struct EndlessServer {
    pub addr: SocketAddr,
    shared: Arc<Shared>,
    written: mpsc::UnboundedReceiver<u64>,
}

impl EndlessServer {
    pub async fn start(asked: Asked, endless: Endless) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let (tell, written) = mpsc::unbounded_channel();
        let shared = Arc::new(Shared {
            asked,
            endless,
            runs: AtomicUsize::new(0),
            is_well: AtomicBool::new(false),
            breaks: AtomicUsize::new(0),
            began: watch::Sender::new(false),
            given_up: watch::Sender::new(false),
            written: tell,
        });
        let held = shared.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let shared = held.clone();
                tokio::spawn(async move {
                    // A connection that the other side broke off is over.
                    let _ = talk(stream, &shared).await;
                });
            }
        });
        Self { addr, shared, written }
    }

    /// How the platform lists it.
    pub fn listed(&self) -> Server {
        listed_server("i-1", "svc", self.addr)
    }

    /// Calls that ran.
    pub fn runs(&self) -> usize {
        self.shared.runs.load(Ordering::SeqCst)
    }

    /// Has it answer everything from now on.
    pub fn recover(&self) {
        self.shared.is_well.store(true, Ordering::SeqCst);
    }

    /// Has it break the next calls off.
    pub fn break_off(&self, calls: usize) {
        self.shared.breaks.store(calls, Ordering::SeqCst);
    }

    /// Waits until a stream has begun.
    pub async fn wait_began(&self) {
        let mut began = self.shared.began.subscribe();
        tokio::time::timeout(PATIENCE, began.wait_for(|began| *began)).await.unwrap().unwrap();
    }

    /// Waits until a connection is closed, and gives the bytes written on it.
    pub async fn written(&mut self) -> u64 {
        let closed = tokio::time::timeout(PATIENCE, self.written.recv()).await;
        closed.expect("the connection is closed in time").unwrap()
    }
}

async fn talk(mut stream: TcpStream, shared: &Shared) -> std::io::Result<()> {
    while let Some(request) = read_request(&mut stream).await? {
        if request.is_greeting() && shared.asked != Asked::Everything {
            return Ok(());
        }
        let asked = Asked::of(&request);
        if asked == Asked::Calls {
            shared.runs.fetch_add(1, Ordering::SeqCst);
        }
        let is_meant = shared.asked == Asked::Everything || asked == shared.asked;
        if is_meant && !shared.is_well.load(Ordering::SeqCst) {
            let written = write_endlessly(&mut stream, &shared.endless).await;
            // The test may be over.
            let _ = shared.written.send(written);
            shared.given_up.send_replace(true);
            return Ok(());
        }
        match asked {
            Asked::Calls if request.line.starts_with("POST /stream/") => {
                let text = format!("{HEAD}Content-Type: text/event-stream\r\n{CHUNKED}");
                stream.write_all(format!("{text}{}", chunk(&event(1))).as_bytes()).await?;
                shared.began.send_replace(true);
                let mut given_up = shared.given_up.subscribe();
                given_up.wait_for(|given_up| *given_up).await.unwrap();
                stream.write_all((chunk(&event(2)) + "0\r\n\r\n").as_bytes()).await?;
            }
            Asked::Calls => {
                let is_left = |left: usize| left.checked_sub(1);
                let (set, get) = (Ordering::SeqCst, Ordering::SeqCst);
                if shared.breaks.fetch_update(set, get, is_left).is_ok() {
                    return Ok(());
                }
                stream.write_all(served().as_bytes()).await?;
            }
            Asked::Everything | Asked::Reports | Asked::Moves => {
                stream.write_all(MISSING.as_bytes()).await?;
            }
        }
    }
    Ok(())
}

fn served() -> String {
    format!("{HEAD}Content-Length: 4\r\n\r\ndone")
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Writes until the other side closes. Gives the bytes that were written.
async fn write_endlessly(stream: &mut TcpStream, endless: &Endless) -> u64 {
    if stream.write_all(endless.once.as_bytes()).await.is_err() {
        return 0;
    }
    let mut written = endless.once.len() as u64;
    if endless.again.is_empty() {
        return written;
    }
    let count = match endless.pace {
        Pace::Fast => (BLOCK_BYTES / endless.again.len()).max(1),
        Pace::Slow => 1,
    };
    let block = endless.again.repeat(count).into_bytes();
    loop {
        let mut left = block.as_slice();
        while !left.is_empty() {
            match stream.write(left).await {
                Ok(0) | Err(_) => return written,
                Ok(count) => {
                    written += count as u64;
                    left = &left[count..];
                }
            }
        }
        if endless.pace == Pace::Slow {
            tokio::time::sleep(SLOW_PAUSE).await;
        }
    }
}
