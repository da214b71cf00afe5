//! Tests of the leg from the box to its caller: an answer that broke off is seen as broken off, and a complete one
//! as complete, whatever marks its end and however the caller reads.

#[path = "support/platform.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod platform;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use emberturn::error::{Failure, Kind};
use emberturn::http::channel::{BodyWriter, channel};
use emberturn::http::gate::{Busy, Gate, Link};
use emberturn::http::server::{self, Limits};
use emberturn::http::{Body, answer, whole};
use hyper::body::Incoming;
use hyper::{Request, Response};
use platform::{Act, PATIENCE, Reply, StandIn, TestRelay, event, events};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Mutex, mpsc, watch};

const LIMITS: Limits = Limits {
    callers: 16,
    head: 8_192,
    head_time: PATIENCE,
    rest_time: PATIENCE,
    write_time: PATIENCE,
};

/// A piece of an answer, and how many of them are more than the sockets buffer.
const LARGE_PIECE: usize = 64 << 10;
const LARGE_PIECES: usize = 256;

/// How a caller asks, which decides what marks the end of its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Caller {
    Kept,
    Closing,
    Http10,
    Http10Kept,
}

const CALLERS: [Caller; 4] = [Caller::Kept, Caller::Closing, Caller::Http10, Caller::Http10Kept];

impl Caller {
    fn request(self, method: &str) -> String {
        let (version, connection) = match self {
            Self::Kept => ("1.1", ""),
            Self::Closing => ("1.1", "Connection: close\r\n"),
            Self::Http10 => ("1.0", ""),
            Self::Http10Kept => ("1.0", "Connection: keep-alive\r\n"),
        };
        format!("{method} / HTTP/{version}\r\nHost: x\r\n{connection}\r\n")
    }
}

/// A server of callers whose answers have the bodies that a test hands it.
struct Server {
    addr: SocketAddr,
    gate: Arc<Gate>,
    closing: watch::Sender<bool>,
    bodies: mpsc::UnboundedSender<Body>,
    links: mpsc::UnboundedReceiver<Arc<Link>>,
}

impl Server {
    async fn start() -> Self {
        Self::start_with(LIMITS).await
    }

    async fn start_with(limits: Limits) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let (closing, follow) = watch::channel(false);
        let (bodies, given) = mpsc::unbounded_channel();
        let (seen, links) = mpsc::unbounded_channel();
        let given = Arc::new(Mutex::new(given));
        let handler = move |request: Request<Incoming>| {
            let busy = request.extensions().get::<Arc<Busy>>().unwrap();
            seen.send(busy.link().clone()).unwrap();
            let given = given.clone();
            async move { Response::new(given.lock().await.recv().await.unwrap()) }
        };
        let gate = Gate::new(limits);
        tokio::spawn(server::run(listener, gate.clone(), follow, handler, too_many));
        Self { addr, gate, closing, bodies, links }
    }

    /// Asks, and hands the server the body of the answer.
    async fn ask(&self, caller: Caller) -> (Connection, BodyWriter) {
        let connection = Connection::open(self.addr, &caller.request("GET")).await;
        let (writer, body) = channel();
        self.bodies.send(body).unwrap();
        (connection, writer)
    }

    /// Asks, and has read the first event of the answer.
    async fn ask_and_begin(&self, caller: Caller) -> (Connection, BodyWriter) {
        let (mut connection, writer) = self.ask(caller).await;
        send_events(&writer, 1);
        connection.read_first_event().await;
        (connection, writer)
    }

    /// Asks, and lets the answer be more than the sockets buffer.
    async fn ask_and_fill(&self, caller: Caller) -> (Connection, BodyWriter) {
        let (connection, writer) = self.ask_and_begin(caller).await;
        (0..LARGE_PIECES).for_each(|_| writer.send(Bytes::from(vec![b'x'; LARGE_PIECE])));
        (connection, writer)
    }

    /// Waits until the server has closed every connection.
    async fn wait_idle(&self) {
        platform::until("all connections are over", || self.gate.counts().0 == 0).await;
    }
}

fn too_many() -> Response<Body> {
    answer::failed(&Failure::new(Kind::TooManyCallers, "too many connections"))
}

/// An answer as a caller sees it.
#[derive(Debug)]
struct Answer {
    body: String,
    is_complete: bool,
}

impl Answer {
    /// Reads an answer from its bytes. `closed` says whether the connection was closed in order.
    fn parse(bytes: &[u8], closed: bool) -> Self {
        let text = String::from_utf8_lossy(bytes);
        let reply = Reply::parse(&text);
        let framed = ["content-length", "transfer-encoding"];
        if framed.iter().any(|name| reply.headers.contains_key(*name)) {
            return Self { body: reply.body, is_complete: reply.whole };
        }
        match text.split_once("\r\n\r\n") {
            Some((_, body)) => Self { body: body.to_owned(), is_complete: closed },
            None => Self { body: String::new(), is_complete: false },
        }
    }
}

/// A caller's connection, and what has been read of its answer.
struct Connection {
    stream: TcpStream,
    bytes: Vec<u8>,
}

impl Connection {
    async fn open(addr: SocketAddr, request: &str) -> Self {
        let mut stream = TcpStream::connect(addr).await.unwrap();
        stream.write_all(request.as_bytes()).await.unwrap();
        Self { stream, bytes: Vec::new() }
    }

    /// Reads until the first event has come.
    async fn read_first_event(&mut self) {
        let reading = async {
            while !String::from_utf8_lossy(&self.bytes).contains(&event(1)) {
                assert!(self.stream.read_buf(&mut self.bytes).await.unwrap() > 0, "no first event");
            }
        };
        tokio::time::timeout(PATIENCE, reading).await.expect("no first event in time");
    }

    /// Reads an answer to its end, which on a kept connection comes before the end of the connection.
    async fn read_answer(&mut self) -> Answer {
        loop {
            let answer = Answer::parse(&self.bytes, false);
            if answer.is_complete {
                return answer;
            }
            let reading = self.stream.read_buf(&mut self.bytes);
            match tokio::time::timeout(PATIENCE, reading).await.expect("no end in time") {
                Ok(0) => return Answer::parse(&self.bytes, true),
                Ok(_) => {}
                Err(_) => return Answer::parse(&self.bytes, false),
            }
        }
    }
}

fn send_events(writer: &BodyWriter, count: u64) {
    (1..=count).for_each(|number| writer.send(Bytes::from(event(number))));
}

#[tokio::test]
async fn body_that_was_finished_is_complete() {
    for caller in CALLERS {
        let server = Server::start().await;
        let (mut connection, writer) = server.ask(caller).await;
        send_events(&writer, 3);
        writer.finish();
        let seen = connection.read_answer().await;
        assert_eq!((seen.body, seen.is_complete), (events(3), true), "{caller:?}");
    }
}

#[tokio::test]
async fn body_whose_writer_is_dropped_is_not_complete() {
    for caller in CALLERS {
        let server = Server::start().await;
        let (mut connection, writer) = server.ask_and_begin(caller).await;
        drop(writer);
        let seen = connection.read_answer().await;
        assert!(!seen.is_complete, "{caller:?}: {seen:?}");
    }
}

#[tokio::test]
async fn body_whose_writer_is_dropped_before_anything_was_written_is_not_complete() {
    for caller in CALLERS {
        let server = Server::start().await;
        let (mut connection, writer) = server.ask(caller).await;
        drop(writer);
        let seen = connection.read_answer().await;
        assert!(!seen.is_complete, "{caller:?}: {seen:?}");
    }
}

#[tokio::test]
async fn body_whose_writer_panics_is_not_complete() {
    for caller in CALLERS {
        let server = Server::start().await;
        let (mut connection, writer) = server.ask_and_begin(caller).await;
        let task = tokio::spawn(async move {
            let _writer = writer;
            panic!("the task ends without a word");
        });
        assert!(task.await.unwrap_err().is_panic());
        let seen = connection.read_answer().await;
        assert!(!seen.is_complete, "{caller:?}: {seen:?}");
    }
}

#[tokio::test]
async fn body_that_fails_is_not_complete() {
    for caller in CALLERS {
        let server = Server::start().await;
        let (mut connection, writer) = server.ask_and_begin(caller).await;
        writer.fail(io::Error::other("the stream broke off"));
        let seen = connection.read_answer().await;
        assert_eq!((seen.body, seen.is_complete), (events(1), false), "{caller:?}");
    }
}

#[tokio::test]
async fn body_that_fails_before_its_caller_reads_is_not_complete() {
    for caller in CALLERS {
        let server = Server::start().await;
        let (mut connection, writer) = server.ask_and_fill(caller).await;
        writer.fail(io::Error::other("the stream broke off"));
        let seen = connection.read_answer().await;
        assert!(!seen.is_complete, "{caller:?}");
    }
}

#[tokio::test]
async fn body_that_was_finished_before_its_caller_reads_is_complete() {
    for caller in CALLERS {
        let server = Server::start().await;
        let (mut connection, writer) = server.ask_and_fill(caller).await;
        writer.finish();
        let seen = connection.read_answer().await;
        let length = events(1).len() + LARGE_PIECES * LARGE_PIECE;
        assert_eq!((seen.body.len(), seen.is_complete), (length, true), "{caller:?}");
    }
}

/// All of it is in the buffers of the sockets when the server closes.
#[tokio::test]
async fn finished_body_stays_complete_for_a_caller_that_reads_after_the_close() {
    for caller in [Caller::Closing, Caller::Http10, Caller::Http10Kept] {
        let server = Server::start().await;
        let (mut connection, writer) = server.ask(caller).await;
        send_events(&writer, 3);
        writer.finish();
        server.wait_idle().await;
        let seen = connection.read_answer().await;
        assert_eq!((seen.body, seen.is_complete), (events(3), true), "{caller:?}");
    }
}

#[tokio::test]
async fn empty_body_that_was_finished_is_complete() {
    for caller in CALLERS {
        let server = Server::start().await;
        let (mut connection, writer) = server.ask(caller).await;
        writer.finish();
        let seen = connection.read_answer().await;
        assert_eq!((seen.body, seen.is_complete), (String::new(), true), "{caller:?}");
    }
}

#[tokio::test]
async fn body_whose_connection_is_cut_is_not_complete() {
    for caller in CALLERS {
        let mut server = Server::start().await;
        let (mut connection, _writer) = server.ask_and_begin(caller).await;
        server.links.recv().await.unwrap().cut();
        let seen = connection.read_answer().await;
        assert_eq!((seen.body, seen.is_complete), (events(1), false), "{caller:?}");
    }
}

/// Not all of it has been written.
#[tokio::test]
async fn finished_body_whose_connection_is_cut_is_not_complete() {
    for caller in CALLERS {
        let mut server = Server::start().await;
        let (mut connection, writer) = server.ask_and_fill(caller).await;
        writer.finish();
        server.links.recv().await.unwrap().cut();
        server.wait_idle().await;
        let seen = connection.read_answer().await;
        assert!(!seen.is_complete, "{caller:?}");
    }
}

#[tokio::test]
async fn body_whose_caller_took_nothing_in_time_is_not_complete() {
    for caller in CALLERS {
        let write_time = Duration::from_millis(50);
        let server = Server::start_with(Limits { write_time, ..LIMITS }).await;
        let (mut connection, writer) = server.ask_and_fill(caller).await;
        writer.finish();
        server.wait_idle().await;
        let seen = connection.read_answer().await;
        assert!(!seen.is_complete, "{caller:?}");
    }
}

#[tokio::test]
async fn body_that_is_finished_while_its_server_drains_is_complete() {
    for caller in CALLERS {
        let server = Server::start().await;
        let (mut connection, writer) = server.ask_and_begin(caller).await;
        server.closing.send_replace(true);
        writer.send(Bytes::from(event(2)));
        writer.finish();
        let seen = connection.read_answer().await;
        assert_eq!((seen.body, seen.is_complete), (events(2), true), "{caller:?}");
    }
}

#[tokio::test]
async fn body_that_fails_while_its_server_drains_is_not_complete() {
    for caller in CALLERS {
        let server = Server::start().await;
        let (mut connection, writer) = server.ask_and_begin(caller).await;
        server.closing.send_replace(true);
        writer.fail(io::Error::other("the stream broke off"));
        let seen = connection.read_answer().await;
        assert_eq!((seen.body, seen.is_complete), (events(1), false), "{caller:?}");
    }
}

#[tokio::test]
async fn body_whose_server_stops_is_not_complete() {
    for caller in CALLERS {
        let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().unwrap();
        let server = runtime.spawn(Server::start()).await.unwrap();
        let (mut connection, _writer) = server.ask_and_begin(caller).await;
        runtime.shutdown_background();
        let seen = connection.read_answer().await;
        assert_eq!((seen.body, seen.is_complete), (events(1), false), "{caller:?}");
    }
}

/// A body that is not written has no end to wait for.
#[tokio::test]
async fn head_of_an_unframed_answer_is_complete() {
    for caller in CALLERS {
        let server = Server::start().await;
        let (_writer, body) = channel();
        server.bodies.send(body).unwrap();
        let mut connection = Connection::open(server.addr, &caller.request("HEAD")).await;
        let mut byte = [0; 4];
        connection.stream.read_exact(&mut byte).await.unwrap();
        assert_eq!(&byte, b"HTTP", "{caller:?}");
        if caller == Caller::Http10 {
            connection.stream.read_to_end(&mut connection.bytes).await.expect("an orderly close");
        }
    }
}

#[tokio::test]
async fn answer_with_a_length_is_complete() {
    for caller in CALLERS {
        let server = Server::start().await;
        server.bodies.send(whole("answer")).unwrap();
        let mut connection = Connection::open(server.addr, &caller.request("GET")).await;
        let seen = connection.read_answer().await;
        assert_eq!((seen.body.as_str(), seen.is_complete), ("answer", true), "{caller:?}");
    }
}

/// A reset could take events that were delivered and not yet read from a caller that sees the break without it.
#[tokio::test]
async fn connection_of_a_chunked_body_that_fails_is_closed_in_order() {
    for caller in [Caller::Kept, Caller::Closing] {
        let server = Server::start().await;
        let (mut connection, writer) = server.ask_and_begin(caller).await;
        writer.fail(io::Error::other("the stream broke off"));
        connection.stream.read_to_end(&mut connection.bytes).await.expect("an orderly close");
        assert!(!Answer::parse(&connection.bytes, true).is_complete, "{caller:?}");
    }
}

/// Asks a relay as a caller of HTTP/1.0 does.
async fn ask_relay(act: Act) -> Answer {
    let server = StandIn::start("i-1", &[act]).await;
    let relay = TestRelay::start(&[&server]).await;
    let request = "POST /stream/x HTTP/1.0\r\nHost: app.example\r\nRequest-Id: r-1\r\n\
                   Deadline-Ms: 8000\r\nApi-Key: key-a\r\nContent-Length: 4\r\n\r\nbody";
    Connection::open(relay.addr, request).await.read_answer().await
}

#[tokio::test]
async fn stream_that_broke_off_is_not_complete_for_a_caller_of_http_1_0() {
    let seen = ask_relay(Act::CutAfter(2)).await;
    assert!(!seen.is_complete && events(2).starts_with(&seen.body), "{seen:?}");
}

#[tokio::test]
async fn stream_that_ended_is_complete_for_a_caller_of_http_1_0() {
    for act in [Act::Events(3), Act::Unframed(3)] {
        let seen = ask_relay(act).await;
        assert_eq!((seen.body, seen.is_complete), (events(3), true));
    }
}

/// The library drops what it has not written when a body fails.
#[tokio::test]
async fn events_before_a_break_reach_the_caller() {
    for caller in CALLERS {
        let server = Server::start().await;
        let (mut connection, writer) = server.ask(caller).await;
        send_events(&writer, 3);
        writer.fail(io::Error::other("the stream broke off"));
        let seen = connection.read_answer().await;
        assert_eq!((seen.body, seen.is_complete), (events(3), false), "{caller:?}");
    }
}
