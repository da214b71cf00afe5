//! Tests of the leg from the box to its caller: an answer that broke off is seen as broken off, and a complete one
//! as complete, whatever marks its end and however the caller reads.

#[path = "support/platform.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod platform;

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use emberturn::error::{Failure, Kind};
use emberturn::http::channel::{BodyWriter, channel};
use emberturn::http::gate::Gate;
use emberturn::http::server::{self, Limits};
use emberturn::http::{Body, answer};
use hyper::body::Incoming;
use hyper::{Request, Response};
use platform::{PATIENCE, Reply, event, events};
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
    fn request(self) -> String {
        let (version, connection) = match self {
            Self::Kept => ("1.1", ""),
            Self::Closing => ("1.1", "Connection: close\r\n"),
            Self::Http10 => ("1.0", ""),
            Self::Http10Kept => ("1.0", "Connection: keep-alive\r\n"),
        };
        format!("GET / HTTP/{version}\r\nHost: x\r\n{connection}\r\n")
    }
}

/// A server of callers whose answers have the bodies that a test hands it.
struct Server {
    addr: SocketAddr,
    _closing: watch::Sender<bool>,
    bodies: mpsc::UnboundedSender<Body>,
}

impl Server {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let (closing, follow) = watch::channel(false);
        let (bodies, given) = mpsc::unbounded_channel();
        let given = Arc::new(Mutex::new(given));
        let handler = move |_: Request<Incoming>| {
            let given = given.clone();
            async move { Response::new(given.lock().await.recv().await.unwrap()) }
        };
        tokio::spawn(server::run(listener, Gate::new(LIMITS), follow, handler, too_many));
        Self { addr, _closing: closing, bodies }
    }

    /// Asks, and hands the server the body of the answer.
    async fn ask(&self, caller: Caller) -> (Connection, BodyWriter) {
        let mut stream = TcpStream::connect(self.addr).await.unwrap();
        stream.write_all(caller.request().as_bytes()).await.unwrap();
        let (writer, body) = channel();
        self.bodies.send(body).unwrap();
        (Connection { stream, bytes: Vec::new() }, writer)
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
    for caller in [Caller::Kept, Caller::Closing] {
        let server = Server::start().await;
        let (mut connection, writer) = server.ask(caller).await;
        send_events(&writer, 1);
        connection.read_first_event().await;
        drop(writer);
        let seen = connection.read_answer().await;
        assert!(!seen.is_complete, "{caller:?}: {seen:?}");
    }
}

#[tokio::test]
async fn body_whose_writer_is_dropped_before_anything_was_written_is_not_complete() {
    for caller in [Caller::Kept, Caller::Closing] {
        let server = Server::start().await;
        let (mut connection, writer) = server.ask(caller).await;
        drop(writer);
        let seen = connection.read_answer().await;
        assert!(!seen.is_complete, "{caller:?}: {seen:?}");
    }
}

#[tokio::test]
async fn body_whose_writer_panics_is_not_complete() {
    for caller in [Caller::Kept, Caller::Closing] {
        let server = Server::start().await;
        let (mut connection, writer) = server.ask(caller).await;
        send_events(&writer, 1);
        connection.read_first_event().await;
        let task = tokio::spawn(async move {
            let _writer = writer;
            panic!("the task ends without a word");
        });
        assert!(task.await.unwrap_err().is_panic());
        let seen = connection.read_answer().await;
        assert!(!seen.is_complete, "{caller:?}: {seen:?}");
    }
}
