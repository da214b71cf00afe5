//! Servers in trouble that send interim answers, or bytes that are no answer, without end.

#[path = "support/endless.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod endless;
#[path = "support/platform.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod platform;

use emberturn::backend::head::{MAX_HEAD_BYTES, MAX_INTERIM_ANSWERS};
use endless::{Asked, BUFFERED_BYTES, Endless, EndlessServer, Pace};
use platform::{Act, StandIn, TestRelay, listed_server, read_request, run};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use yare::parameterized;

const INTERIM: &str = "HTTP/1.1 102 Processing\r\n\r\n";

/// Guards against requests that wait for their timeout, while a box reads without a bound, at a server that sends no head.
#[parameterized(
    interim_answers = { INTERIM, Pace::Fast },
    interim_answers_now_and_then = { INTERIM, Pace::Slow },
    interim_answers_with_headers = { "HTTP/1.1 103 Early Hints\r\nLink: </style.css>; rel=preload\r\n\r\n", Pace::Fast },
    empty_lines = { "\r\n", Pace::Fast },
    one_line = { "x", Pace::Fast },
)]
fn request_ends_soon_at_a_server_that_sends_no_head_without_end(piece: &str, pace: Pace) {
    run(async {
        let mut server = EndlessServer::start(Asked::Calls, Endless::raw(piece, pace)).await;
        let second = StandIn::start("i-2", &[Act::Answer]).await;
        let relay = TestRelay::start(&[]).await;
        relay.list_as(vec![server.listed()]);
        let reply = relay.ask("POST", "once").await;
        assert_eq!((reply.status, server.runs()), (502, 1), "{reply:?}");
        let written = server.written().await;
        assert!(written <= MAX_HEAD_BYTES + BUFFERED_BYTES, "{written}");
        relay.list_as(vec![server.listed(), second.listed("svc")]);
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
