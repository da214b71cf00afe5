//! Connections on which a request arrives while their box closes.

#[path = "support/platform.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod platform;

use platform::{Act, PATIENCE, Reply, StandIn, TestRelay, run};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use yare::parameterized;

const REQUEST: &str = "POST /once/x HTTP/1.1\r\nHost: app.example\r\nRequest-Id: r-1\r\nDeadline-Ms: 8000\r\n\
                       Api-Key: key-a\r\nContent-Length: 0\r\n\r\n";

async fn read_reply(stream: &mut TcpStream) -> Reply {
    let mut text = Vec::new();
    let reading = async {
        while !Reply::parse(&String::from_utf8_lossy(&text)).whole {
            if stream.read_buf(&mut text).await.unwrap_or(0) == 0 {
                break;
            }
        }
    };
    tokio::time::timeout(PATIENCE, reading).await.unwrap();
    Reply::parse(&String::from_utf8_lossy(&text))
}

/// Guards against a bare close in place of a refusal where a head arrives while its box closes.
#[parameterized(
    new_connection = { false, 0 },
    new_connection_part_of_a_head = { false, 40 },
    kept_connection_part_of_a_head = { true, 40 },
    kept_connection_first_byte = { true, 1 },
)]
fn head_that_arrives_while_the_box_closes_is_answered(is_kept: bool, before: usize) {
    run(async move {
        let server = StandIn::start("i-1", &[Act::Answer]).await;
        let relay = TestRelay::start(&[&server]).await;
        let mut stream = TcpStream::connect(relay.addr).await.unwrap();
        if is_kept {
            stream.write_all(REQUEST.as_bytes()).await.unwrap();
            assert_eq!(read_reply(&mut stream).await.status, 200);
        }
        let (first, rest) = REQUEST.split_at(before);
        stream.write_all(first.as_bytes()).await.unwrap();
        // What another connection is told shows that this one has been read.
        assert_eq!(relay.ask("POST", "once").await.status, 200);
        let ran = server.seen().len();
        relay.close();
        assert_eq!(relay.ask("POST", "once").await.status, 503);
        stream.write_all(rest.as_bytes()).await.unwrap();
        let reply = read_reply(&mut stream).await;
        assert_eq!((reply.status, reply.headers["connection"].as_str()), (503, "close"));
        assert_eq!(stream.read(&mut [0; 1]).await.unwrap(), 0);
        assert_eq!(server.seen().len(), ran);
    });
}

/// Guards against kept connections that a box that closes leaves open until its end.
#[test]
fn connection_at_rest_is_closed_with_its_box() {
    run(async {
        let server = StandIn::start("i-1", &[Act::Answer]).await;
        let relay = TestRelay::start(&[&server]).await;
        let mut stream = TcpStream::connect(relay.addr).await.unwrap();
        stream.write_all(REQUEST.as_bytes()).await.unwrap();
        assert_eq!(read_reply(&mut stream).await.status, 200);
        relay.close();
        let read = tokio::time::timeout(PATIENCE, stream.read(&mut [0; 1])).await.unwrap();
        assert_eq!(read.unwrap(), 0);
    });
}
