//! Servers in trouble that send interim answers, or bytes that are no answer, without end.

#[path = "support/platform.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod platform;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use emberturn::backend::head::{MAX_HEAD_BYTES, MAX_INTERIM_ANSWERS};
use platform::{Act, StandIn, TestRelay, listed_server, read_request};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use yare::parameterized;

const INTERIM: &str = "HTTP/1.1 102 Processing\r\n\r\n";

/// More than the buffers of both ends of a connection take.
const BUFFERED_BYTES: u64 = 16 << 20;

/// A server that runs each call and answers with a piece of bytes, again and again until its connection is closed.
struct EndlessServer {
    addr: SocketAddr,
    /// Calls that ran.
    runs: Arc<AtomicUsize>,
    /// Bytes written on each connection, told when it is closed.
    written: mpsc::UnboundedReceiver<u64>,
}

impl EndlessServer {
    async fn start(piece: &'static str, pause: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let runs = Arc::new(AtomicUsize::new(0));
        let (tell, written) = mpsc::unbounded_channel();
        let counted = runs.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(answer_endlessly(stream, piece, pause, counted.clone(), tell.clone()));
            }
        });
        Self { addr, runs, written }
    }

    fn runs(&self) -> usize {
        self.runs.load(Ordering::SeqCst)
    }
}

async fn answer_endlessly(
    mut stream: TcpStream,
    piece: &str,
    pause: Duration,
    runs: Arc<AtomicUsize>,
    tell: mpsc::UnboundedSender<u64>,
) {
    while let Ok(Some(request)) = read_request(&mut stream).await {
        if request.line.contains("/report") {
            let missing = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
            stream.write_all(missing).await.unwrap();
            continue;
        }
        runs.fetch_add(1, Ordering::SeqCst);
        let mut written = 0;
        while stream.write_all(piece.as_bytes()).await.is_ok() {
            written += piece.len() as u64;
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
        }
        tell.send(written).unwrap();
        return;
    }
}

/// Guards against requests that wait for their timeout, while a box reads without a bound, at a server that sends no head.
#[parameterized(
    interim_answers = { INTERIM, Duration::ZERO },
    interim_answers_now_and_then = { INTERIM, Duration::from_millis(1) },
    interim_answers_with_headers = { "HTTP/1.1 103 Early Hints\r\nLink: </style.css>; rel=preload\r\n\r\n", Duration::ZERO },
    empty_lines = { "\r\n", Duration::ZERO },
    one_line = { "x", Duration::ZERO },
)]
fn request_ends_soon_at_a_server_that_sends_no_head_without_end(piece: &str, pause: Duration) {
    let piece: &'static str = piece.to_owned().leak();
    tokio::runtime::Builder::new_multi_thread().enable_all().build().unwrap().block_on(async {
        let mut server = EndlessServer::start(piece, pause).await;
        let second = StandIn::start("i-2", &[Act::Answer]).await;
        let relay = TestRelay::start(&[]).await;
        let first = listed_server("i-1", "svc", server.addr);
        relay.list_as(vec![first.clone()]);
        let reply = relay.ask("POST", "once").await;
        assert_eq!((reply.status, server.runs()), (502, 1), "{reply:?}");
        let written = server.written.recv().await.unwrap();
        assert!(written <= MAX_HEAD_BYTES + BUFFERED_BYTES, "{written}");
        relay.list_as(vec![first, second.listed("svc")]);
        relay.set_aside("i-2");
        assert_eq!(relay.ask("GET", "safe").await.status, 200);
        assert_eq!((server.runs(), second.seen().len()), (2, 1));
    });
}

/// A server sends a few interim answers while it works.
#[tokio::test]
async fn answer_behind_a_few_interim_answers_is_whole() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                while let Ok(Some(_)) = read_request(&mut stream).await {
                    let interim = INTERIM.repeat(MAX_INTERIM_ANSWERS as usize);
                    let answer = "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nResponse-Signature: sig\r\n\
                                  Content-Length: 4\r\n\r\ndone";
                    stream.write_all((interim + answer).as_bytes()).await.unwrap();
                }
            });
        }
    });
    let relay = TestRelay::start(&[]).await;
    relay.list_as(vec![listed_server("i-1", "svc", addr)]);
    for _ in 0..3 {
        let reply = relay.ask("POST", "once").await;
        assert_eq!((reply.status, reply.body.as_str()), (200, "done"));
    }
}
