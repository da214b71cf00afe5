//! Ends of streams that the box takes for something else than they are.

#[path = "support/link.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod link;
#[path = "support/platform.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod platform;

use std::net::SocketAddr;

use emberturn::decide::proxies::Proxy;
use emberturn::relay::list::Server;
use link::{Link, LinkFault};
use platform::{
    Act, Moves, Reply, StandIn, TestRelay, as_leaving, event, events, listed_server, read_request,
};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

const HEADERS: &str = "Api-Key: key-a\r\nToken-Usage: 1000,100000\r\n";

/// Asks for a stream that reaches its server through another box, and has the server listed as leaving meanwhile.
/// The other box has not heard of that yet.
async fn ask_through_another_box(moves: Moves) -> Reply {
    let acts = [Act::UnframedUntilMoved(2), Act::Events(6)];
    let mut first = StandIn::start_moving("i-1", moves, &acts).await;
    let second = StandIn::start("i-2", &[Act::Events(6)]).await;
    let mut link = Link::start(first.addr).await;
    link.fail(LinkFault::Refuse).await;
    let other = TestRelay::start(&[&first, &second]).await;
    let cut = TestRelay::start(&[]).await;
    let addr = *other.relay.forward_addr.get().unwrap();
    cut.relay.proxies().assign(vec![Proxy { box_id: "other".parse().unwrap(), addr }]);
    let listed = Server { addr: link.addr, ..first.listed("svc") };
    cut.list_as(vec![listed.clone()]);
    let request = cut.ask_with("POST", "stream", HEADERS);
    let notice = async {
        first.wait_seen(1).await;
        cut.list_as(vec![as_leaving(listed), second.listed("svc")]);
    };
    let (reply, ()) = tokio::join!(request, notice);
    reply
}

/// The box in between marks the end of the stream that the server only closed.
#[tokio::test]
async fn stream_through_another_box_that_may_have_been_stopped_is_not_complete() {
    let reply = ask_through_another_box(Moves::Close).await;
    assert_eq!((reply.status, reply.body, reply.whole), (200, events(2), false));
}

#[tokio::test]
async fn stream_through_another_box_that_is_stopped_continues_elsewhere() {
    let reply = ask_through_another_box(Moves::Copied).await;
    assert_eq!((reply.status, reply.body, reply.whole), (200, events(6), true));
}

/// A server whose stream has this header and ends with its connection, once it has replied so to a request to move
/// the run.
struct ClosingServer {
    addr: SocketAddr,
    seen: watch::Receiver<usize>,
    _running: JoinHandle<()>,
}

impl ClosingServer {
    async fn start(header: &'static str, move_reply: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let (count, seen) = watch::channel(0);
        let running = tokio::spawn(async move {
            let replied = watch::Sender::new(false);
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(Self::talk(
                    stream,
                    header,
                    move_reply,
                    count.clone(),
                    replied.clone(),
                ));
            }
        });
        Self { addr, seen, _running: running }
    }

    async fn talk(
        mut stream: TcpStream,
        header: &str,
        move_reply: &str,
        count: watch::Sender<usize>,
        replied: watch::Sender<bool>,
    ) {
        while let Ok(Some(request)) = read_request(&mut stream).await {
            if request.line.starts_with("POST /kv-move ") {
                stream.write_all(move_reply.as_bytes()).await.unwrap();
                replied.send_replace(true);
                continue;
            }
            let head = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nContent-Type: text/event-stream\r\n\
                 Response-Signature: sig\r\n{header}\r\n{}",
                request.headers["request-id"],
                event(1),
            );
            stream.write_all(head.as_bytes()).await.unwrap();
            count.send_modify(|count| *count += 1);
            replied.subscribe().wait_for(|replied| *replied).await.unwrap();
            stream.write_all(event(2).as_bytes()).await.unwrap();
            return;
        }
    }

    fn listed(&self) -> Server {
        listed_server("i-1", "svc", self.addr)
    }

    /// Asks for a stream and has the server listed as leaving meanwhile, beside a second one.
    async fn ask(&mut self) -> (Reply, TestRelay) {
        let second = StandIn::start("i-2", &[Act::Events(6)]).await;
        let relay = TestRelay::start(&[]).await;
        relay.list_as(vec![self.listed()]);
        let listed = vec![as_leaving(self.listed()), second.listed("svc")];
        let notice = async {
            self.seen.wait_for(|seen| *seen > 0).await.unwrap();
            relay.list_as(listed);
        };
        let request = relay.ask_with("POST", "stream", HEADERS);
        let (reply, ()) = tokio::join!(request, notice);
        (reply, relay)
    }
}

/// A transfer coding other than chunks leaves the end to the connection (RFC 9112, section 6.3).
#[tokio::test]
async fn stream_with_another_coding_that_may_have_been_stopped_is_not_complete() {
    let unclear = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n";
    let mut server = ClosingServer::start("Transfer-Encoding: identity\r\n", unclear).await;
    let (reply, _) = server.ask().await;
    assert_eq!((reply.status, reply.body, reply.whole), (200, events(2), false));
}

/// `Not-Executed` says that the server has not run the request to stop, so its stream ends by itself.
#[tokio::test]
async fn stream_whose_server_turned_the_move_away_is_complete() {
    let turned_away =
        "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    let mut server = ClosingServer::start("", turned_away).await;
    let (reply, _) = server.ask().await;
    assert_eq!((reply.status, reply.body, reply.whole), (200, events(2), true));
}

fn counts_answer_ends(relay: &TestRelay) -> bool {
    let metrics = relay.relay.context.metrics.render().unwrap();
    String::from_utf8(metrics).unwrap().contains("emberturn_answer_ends")
}

#[tokio::test]
async fn stream_that_ended_is_counted() {
    let server = StandIn::start("i-1", &[Act::Unframed(2)]).await;
    let relay = TestRelay::start(&[&server]).await;
    let reply = relay.ask_with("POST", "stream", HEADERS).await;
    assert!(reply.status == 200 && reply.whole, "{reply:?}");
    assert!(counts_answer_ends(&relay));
}

/// The stream reaches its length while the server is silent about the move.
#[tokio::test]
async fn stream_that_ended_before_its_move_is_counted() {
    assert_eq!(events(2).len(), 42);
    let mut server = ClosingServer::start("Content-Length: 42\r\n", "").await;
    let (reply, relay) = server.ask().await;
    assert_eq!((reply.status, reply.body, reply.whole), (200, events(2), true));
    assert!(counts_answer_ends(&relay), "the end is not counted");
}
