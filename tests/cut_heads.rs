//! Servers that stop in the middle of an answer's head and close: whoever reads it takes nothing for an answer, on each way
//! that an answer may take.

#[path = "support/endless.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod endless;
#[path = "support/fleet.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod fleet;
#[path = "support/link.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod link;
#[path = "support/platform.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod platform;
#[path = "support/raw.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod raw;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use emberturn::backend::engine::{self, EngineFault, Extra, Target};
use emberturn::backend::{Pool, Reuse, SendFault};
use emberturn::boxlist::{self, ListError};
use emberturn::ids::AttemptId;
use emberturn::relay::list::Server;
use emberturn::telemetry::TraceContext;
use endless::{Asked, Endless, EndlessServer};
use fleet::Fleet;
use link::LinkFault;
use platform::{
    Act, Moves, PATIENCE, Reply, StandIn, TestRelay, as_leaving, events, read_request, run, until,
};
use raw::{End, RawServer, Written};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use yare::parameterized;

/// Answers as servers write them, up to the end of their heads: the length early and late, chunks, neither, lines that end
/// in LF alone, a folded line, streams.
const HEADS: [&str; 8] = [
    "HTTP/1.1 200 OK\r\nContent-Length: 6\r\nRequest-Id: r-1\r\nResponse-Signature: sig\r\n\r\n",
    "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nResponse-Signature: sig\r\nContent-Length: 16\r\n\r\n",
    "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nResponse-Signature: sig\r\nTransfer-Encoding: chunked\r\n\r\n",
    "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nResponse-Signature: sig\r\n\r\n",
    "HTTP/1.1 200 OK\nRequest-Id: r-1\nResponse-Signature: sig\nContent-Length: 6\n\n",
    "HTTP/1.0 200 OK\r\nRequest-Id: r-1\r\nResponse-Signature: sig\r\nX-Folded: a\r\n b\r\n\r\n",
    "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nResponse-Signature: sig\r\nContent-Type: text/event-stream\r\n\
     Transfer-Encoding: chunked\r\n\r\n",
    "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nResponse-Signature: sig\r\nContent-Type: text/event-stream\r\n\r\n",
];

/// The first head of a stream.
const STREAM_HEAD: usize = 6;

const INTERIM: &str = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";

const WHOLE: &str = "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nResponse-Signature: sig\r\nContent-Length: 4\r\n\r\ndone";

/// Every part of a head, with the place at which it is cut.
fn parts(head: &'static str) -> impl Iterator<Item = (usize, &'static str)> {
    (0..head.len()).map(move |place| (place, &head[..place]))
}

/// Places in all regions of a head: its lines, their ends, and all of its last bytes.
fn few_parts(head: &'static str) -> impl Iterator<Item = (usize, &'static str)> {
    let last = head.len() - 6;
    parts(head).filter(move |(place, _)| place % 9 == 0 || *place >= last)
}

/// A server that answers the requests on each connection with the same texts, one after the other, and ends it behind the
/// last one.
struct TextServer {
    addr: SocketAddr,
    texts: Arc<Mutex<Vec<String>>>,
}

impl TextServer {
    async fn start(end: End) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let texts = Arc::<Mutex<Vec<String>>>::default();
        let held = texts.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let texts = held.lock().unwrap().clone();
                // A connection that the other side broke off is over.
                tokio::spawn(async move { drop(answer_with(stream, &texts, end).await) });
            }
        });
        Self { addr, texts }
    }

    /// Has new connections get these texts.
    fn write(&self, texts: Vec<String>) {
        *self.texts.lock().unwrap() = texts;
    }
}

async fn answer_with(mut stream: TcpStream, texts: &[String], end: End) -> std::io::Result<()> {
    for text in texts {
        if read_request(&mut stream).await?.is_some() {
            stream.write_all(text.as_bytes()).await?;
        }
    }
    if end == End::Reset {
        socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
    }
    Ok(())
}

/// Sends a request, and gives the body of its answer.
async fn ask_pool(pool: &Pool, addr: SocketAddr) -> Result<Bytes, SendFault> {
    let request = hyper::Request::post("/once/x").header("host", "x");
    let request = request.body(http_body_util::Full::default()).unwrap();
    pool.send(addr, request, PATIENCE, Reuse::Any).await?.read_whole(100, PATIENCE).await
}

/// Guards against a head that counts as complete because its connection has ended: everything that the boxes read by HTTP
/// goes through the pool.
#[parameterized(
    alone_closed = { "", &[], End::Close },
    alone_reset = { "", &[], End::Reset },
    behind_an_interim_answer = { INTERIM, &[], End::Close },
    behind_an_answer = { "", &[WHOLE], End::Close },
    behind_an_answer_reset = { "", &[WHOLE], End::Reset },
    behind_two_answers = { "", &[WHOLE, WHOLE], End::Close },
)]
fn no_part_of_a_head_is_an_answer(before: &str, answers: &[&str], end: End) {
    let is_alone = before.is_empty() && answers.is_empty() && end == End::Close;
    // Each place costs a port for a while.
    let places = move |head| parts(head).filter(move |(place, _)| is_alone || place % 7 == 0);
    let answers: Vec<_> = answers.iter().map(|it| (*it).to_owned()).collect();
    let before = before.to_owned();
    run(async move {
        let server = TextServer::start(end).await;
        for (place, part) in HEADS.into_iter().flat_map(places) {
            let cut = format!("{before}{part}");
            server.write(answers.iter().cloned().chain([cut]).collect());
            let pool = Pool::default();
            // A connection may not have been ready for the next request, which opens another one then.
            let fault = loop {
                match ask_pool(&pool, server.addr).await {
                    Ok(body) => assert!(!answers.is_empty() && body == "done", "{place}: {body:?}"),
                    Err(fault) => break fault,
                }
            };
            assert!(matches!(fault, SendFault::Broke(_)), "{place}: {fault}");
        }
    });
}

/// Guards against part of a head that came with a whole answer and is read as the beginning of the next one.
#[test]
fn part_of_a_head_behind_an_answer_is_not_read_as_the_next_one() {
    run(async {
        let server = TextServer::start(End::Close).await;
        for (place, part) in HEADS.into_iter().flat_map(few_parts) {
            server.write(vec![format!("{WHOLE}{part}")]);
            let pool = Pool::default();
            assert_eq!(ask_pool(&pool, server.addr).await.unwrap(), "done", "{place}");
            // The connection may be used before its end has been seen.
            let next = ask_pool(&pool, server.addr).await;
            let is_unknown = matches!(next, Err(SendFault::Broke(_)));
            assert!(is_unknown || next.as_deref() == Ok(b"done"), "{place}: {next:?}");
        }
    });
}

/// Asks a box that has just heard from its leader. Requests differ: one that breaks off again and again counts as the cause.
async fn ask(relay: &TestRelay, route: &str) -> Reply {
    static ASKED: AtomicU32 = AtomicU32::new(0);
    relay.allow(1e9);
    let number = ASKED.fetch_add(1, Ordering::Relaxed);
    let text = format!(
        "POST /{route}/{number} HTTP/1.1\r\nHost: app.example\r\nRequest-Id: r-1\r\nDeadline-Ms: 8000\r\n\
         Api-Key: key-a\r\nToken-Usage: 1000,100000\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    );
    Reply::parse(&relay.raw(&text).await)
}

/// A server that answers each request with part of a head.
fn cutting(part: &'static str, end: End) -> RawServer {
    RawServer::start(move |_, _| Written { bytes: part.as_bytes().to_vec(), end })
}

/// Guards against an answer that another box forwards as whole although its server stopped inside its head.
#[parameterized(
    plain = { "once", 0, End::Close },
    plain_late_length = { "once", 1, End::Close },
    plain_chunked = { "once", 2, End::Close },
    plain_to_close = { "once", 3, End::Close },
    plain_by_1_0 = { "once", 5, End::Close },
    plain_reset = { "once", 1, End::Reset },
    stream = { "stream", STREAM_HEAD, End::Close },
    stream_to_close = { "stream", STREAM_HEAD + 1, End::Close },
    stream_reset = { "stream", STREAM_HEAD, End::Reset },
    resumable = { "resumable", STREAM_HEAD, End::Close },
)]
fn part_of_a_head_behind_another_box_is_no_answer(route: &'static str, head: usize, end: End) {
    run(async move {
        let mut fleet = Fleet::start(&[Act::Answer]).await;
        fleet.lose(LinkFault::Reset).await;
        // Nobody listens there, so that the path stays lost.
        let dead = "127.0.0.1:1".parse().unwrap();
        for (place, part) in few_parts(HEADS[head]) {
            let server = cutting(part, end);
            let id = format!("i-c{place}");
            fleet.other.list_as(vec![server.listed(&id)]);
            fleet.cut.list_as(vec![Server { addr: dead, ..server.listed(&id) }]);
            fleet.refresh();
            let reply = ask(&fleet.cut, route).await;
            assert!(matches!(reply.status, 502..=504), "{place}: {reply:?}");
            assert!(server.seen() > 0, "{place}: not reached");
            assert_eq!(fleet.cut.known(&id).state.service_time(), None, "{place}");
        }
    });
}

/// Guards against a stream that its caller takes for whole because the server that went on with it stopped inside its
/// head: the caller has a 200 by then.
#[parameterized(
    moved = { "stream", Act::UntilMoved(2), STREAM_HEAD },
    moved_to_close = { "stream", Act::UnframedUntilMoved(2), STREAM_HEAD + 1 },
    moved_resumable = { "resumable", Act::UnframedUntilMoved(2), STREAM_HEAD + 1 },
    moved_plain_head = { "stream", Act::UntilMoved(2), 3 },
)]
fn stream_moved_to_a_server_that_stops_inside_its_head_is_not_whole(
    route: &'static str,
    act: Act,
    head: usize,
) {
    run(async move {
        for (place, part) in few_parts(HEADS[head]).step_by(3) {
            let first =
                StandIn::start_moving("i-1", Moves::Copied, std::slice::from_ref(&act)).await;
            let second = cutting(part, End::Close);
            let relay = TestRelay::start(&[&first]).await;
            let leaving = async {
                until("the stream has begun", || relay.known("i-1").state.heard_at().is_some())
                    .await;
                let second = || second.listed("i-2");
                relay.list_as(vec![first.listed("svc"), second()]);
                relay.list_as(vec![as_leaving(first.listed("svc")), second()]);
            };
            let (reply, ()) = tokio::join!(ask(&relay, route), leaving);
            assert_eq!((reply.status, reply.whole), (200, false), "{place}: {reply:?}");
            assert!(events(2).starts_with(&reply.body), "{place}: {reply:?}");
            assert!(second.seen() > 0, "{place}: not moved");
        }
    });
}

/// Guards against the same where a stream broke off and is resumed.
#[parameterized(
    chunked = { STREAM_HEAD },
    to_close = { STREAM_HEAD + 1 },
)]
fn stream_resumed_at_a_server_that_stops_inside_its_head_is_not_whole(head: usize) {
    run(async move {
        for (place, part) in few_parts(HEADS[head]).step_by(2) {
            let first = StandIn::start("i-1", &[Act::CutAfter(2)]).await;
            let second = cutting(part, End::Close);
            let relay = TestRelay::start(&[&first]).await;
            relay.list_as(vec![first.listed("svc"), second.listed("i-2")]);
            relay.set_aside("i-2");
            let reply = ask(&relay, "resumable").await;
            assert_eq!((reply.status, reply.whole), (200, false), "{place}: {reply:?}");
            assert_eq!(reply.body, events(2), "{place}");
            assert!(second.seen() > 0, "{place}: not resumed");
        }
    });
}

/// Guards against a run that counts as stopped, so that its end passes for a break or a break for its end, by part of the
/// reply to the request to stop it.
#[test]
fn part_of_a_reply_to_the_request_to_stop_a_run_stops_nothing() {
    run(async {
        for (_, part) in few_parts(HEADS[1]) {
            let server = EndlessServer::start(Asked::Moves, Endless::stopped(part)).await;
            let second = StandIn::start("i-2", &[Act::Events(6)]).await;
            let relay = TestRelay::start(&[]).await;
            relay.list_as(vec![server.listed()]);
            let leaving = async {
                server.wait_began().await;
                relay.list_as(vec![server.listed(), second.listed("svc")]);
                relay.list_as(vec![as_leaving(server.listed()), second.listed("svc")]);
            };
            let (reply, ()) = tokio::join!(ask(&relay, "stream"), leaving);
            assert_eq!((reply.status, reply.body, reply.whole), (200, events(2), true));
            assert!(second.seen().is_empty());
        }
    });
}

/// Guards against a server that counts as ended or as another one by part of its report.
#[test]
fn part_of_a_report_says_nothing() {
    run(async {
        for (place, part) in few_parts(HEADS[0]) {
            let server = EndlessServer::start(Asked::Reports, Endless::stopped(part)).await;
            let relay = TestRelay::start(&[]).await;
            relay.list_as(vec![server.listed()]);
            server.break_off(1);
            assert_eq!(ask(&relay, "once").await.status, 502, "{place}");
            assert_eq!(ask(&relay, "once").await.status, 200, "{place}");
            assert_eq!(server.runs(), 2, "{place}");
        }
    });
}

/// Guards against the same in what the own interface and the box list read.
#[test]
fn part_of_a_head_is_no_stream_load_export_or_list() {
    run(async {
        let (attempt, body) = (AttemptId::random(), serde_json::Map::new());
        for (place, part) in HEADS.into_iter().flat_map(few_parts) {
            let server = EndlessServer::start(Asked::Everything, Endless::stopped(part)).await;
            let (pool, trace) = (Pool::default(), TraceContext::root());
            let (addr, silence) = (server.addr, PATIENCE);
            let path = "/v1/completions";
            let target = Target { addr, path, silence, reuse: Reuse::Never, trace };
            let started = engine::start(&pool, &target, &body, &attempt, &Extra::default()).await;
            assert!(matches!(started, Err(EngineFault::Broke(_))), "{place}");
            let load = engine::load(&pool, addr, silence).await;
            assert!(matches!(load, Err(EngineFault::Broke(_))), "{place}: {load:?}");
            let export = engine::export(&pool, &target, &attempt).await;
            assert!(matches!(export, Err(EngineFault::Broke(_))), "{place}: {export:?}");
            let listed = boxlist::list(&pool, addr, silence).await;
            let is_broken = matches!(listed, Err(ListError::Exchange(SendFault::Broke(_))));
            assert!(is_broken, "{place}: {listed:?}");
        }
    });
}

/// Guards against a call to another box, as for the configuration that a follower passes on, that counts as done by part of
/// the head that should open its connection.
#[test]
fn call_to_a_box_that_stops_inside_its_head_has_failed() {
    const HEAD: &str =
        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\r\n";
    run(async {
        let server = TextServer::start(End::Close).await;
        for (place, part) in parts(HEAD).step_by(8) {
            server.write(vec![part.to_owned()]);
            let mut command = tokio::process::Command::new(env!("CARGO_BIN_EXE_emberturn"));
            command.env_remove("EMBERTURN_NODE").args(["get", "--node", &server.addr.to_string()]);
            let output = tokio::time::timeout(PATIENCE, command.output()).await.unwrap().unwrap();
            assert_eq!(output.status.code(), Some(1), "{place}: {output:?}");
        }
    });
}
