//! Extra answers of servers: a copy of an earlier answer comes in the place where the next one is due. The id that it
//! names shows whose it is, and nothing in it concerns the request in whose place it came.

#[path = "support/link.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod link;
#[path = "support/platform.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod platform;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use emberturn::decide::proxies::Proxy;
use link::{Link, LinkFault};
use platform::{
    Act, Reply, StandIn, TestRelay, as_leaving, event, events, listed_server, read_request, run,
    until,
};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Barrier, mpsc, watch};
use yare::parameterized;

const SERVED: &str = "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nResponse-Signature: sig\r\n\
                      Content-Length: 4\r\n\r\ndone";

const REFUSED: &str = "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: r-0\r\nNot-Executed: 1\r\n\
                       Content-Length: 0\r\n\r\n";

const UNNAMED: &str =
    "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

/// A server that runs each request, and writes given bytes before one answer.
struct CopyingServer {
    addr: SocketAddr,
    /// Requests that ran.
    runs: Arc<AtomicUsize>,
    /// What comes before the next answer on a connection that has carried another one.
    extra: Arc<Mutex<Option<String>>>,
    /// What every request on a new connection gets, where it is not run.
    first: Arc<Mutex<Option<String>>>,
}

impl CopyingServer {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let server =
            Self { addr, runs: Arc::default(), extra: Arc::default(), first: Arc::default() };
        let (runs, extra) = (server.runs.clone(), server.extra.clone());
        let first = server.first.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(Self::talk(stream, runs.clone(), extra.clone(), first.clone()));
            }
        });
        server
    }

    async fn talk(
        mut stream: TcpStream,
        runs: Arc<AtomicUsize>,
        extra: Arc<Mutex<Option<String>>>,
        first: Arc<Mutex<Option<String>>>,
    ) -> std::io::Result<()> {
        let mut count = 0;
        while let Some(request) = read_request(&mut stream).await? {
            if !request.line.starts_with("POST") {
                stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").await?;
                continue;
            }
            count += 1;
            let refusal = first.lock().unwrap().clone().filter(|_| count == 1);
            if let Some(refusal) = refusal {
                stream.write_all(refusal.as_bytes()).await?;
                continue;
            }
            let copy = if count > 1 { extra.lock().unwrap().take() } else { None };
            runs.fetch_add(1, Ordering::SeqCst);
            stream.write_all((copy.unwrap_or_default() + SERVED).as_bytes()).await?;
        }
        Ok(())
    }

    fn copy(&self, extra: &str) {
        *self.extra.lock().unwrap() = Some(extra.to_owned());
    }

    fn runs(&self) -> usize {
        self.runs.load(Ordering::SeqCst)
    }
}

/// Asserts that what comes in the place of the second answer on a connection says nothing of the request: it runs at
/// its server, is told as unknown, and no other server is asked.
async fn assert_says_nothing(extra: &str) -> (CopyingServer, TestRelay) {
    let server = CopyingServer::start().await;
    let second = StandIn::start("i-2", &[Act::Answer]).await;
    let relay = TestRelay::start(&[]).await;
    let first = listed_server("i-1", "svc", server.addr);
    relay.list_as(vec![first.clone()]);
    assert_eq!(relay.ask("POST", "once").await.status, 200);
    server.copy(extra);
    relay.list_as(vec![first, second.listed("svc")]);
    relay.set_aside("i-2");
    let reply = relay.ask("POST", "once").await;
    assert_eq!(reply.status, 502, "{reply:?}");
    assert_eq!((server.runs(), second.seen().len()), (2, 0));
    (server, relay)
}

/// Asserts that a request runs once whose caller comes back after `refusal`, while the server sends that refusal again in
/// the place of the next answer. Gives the reply to the first attempt.
async fn assert_runs_once_after(refusal: &str) -> Reply {
    let server = CopyingServer::start().await;
    *server.first.lock().unwrap() = Some(refusal.to_owned());
    let second = StandIn::start("i-2", &[Act::Answer]).await;
    let relay = TestRelay::start(&[]).await;
    relay.list_as(vec![listed_server("i-1", "svc", server.addr)]);
    let refused = relay.ask("POST", "once").await;
    *server.first.lock().unwrap() = None;
    server.copy(refusal);
    // Nothing is held against a server that is new.
    relay.list_as(vec![listed_server("i-3", "svc", server.addr), second.listed("svc")]);
    relay.set_aside("i-2");
    let reply = relay.ask("POST", "once").await;
    assert_eq!(reply.status, 200, "{reply:?}");
    assert_eq!((server.runs(), second.seen().len()), (1, 0));
    refused
}

fn refusal(status: &str, lines: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nRequest-Id: r-0\r\nNot-Executed: 1\r\n{lines}\r\n{body}")
}

/// Guards against a request that runs twice, or that runs although its caller was told that it did not: the copy of
/// another request's refusal was taken for its own.
#[parameterized(
    full = { refusal("503 Service Unavailable", "Content-Length: 0\r\n", "") },
    with_a_body = { refusal("503 Service Unavailable", "Content-Length: 4\r\n", "full") },
    chunked = { refusal("503 Service Unavailable", "Transfer-Encoding: chunked\r\n", "4\r\nfull\r\n0\r\n\r\n") },
    limited = { refusal("429 Too Many Requests", "Content-Length: 0\r\n", "") },
    of_another_server = { refusal("421 Misdirected Request", "Content-Length: 0\r\n", "") },
    misdirected_without_more = {
        "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: r-0\r\nContent-Length: 0\r\n\r\n".to_owned()
    },
    invalid = { refusal("400 Bad Request", "Content-Length: 0\r\n", "") },
    that_leaves_and_pauses = {
        refusal("503 Service Unavailable", "Server-Leaving: 1\r\nRetry-After: 30\r\nContent-Length: 0\r\n", "")
    },
    twice = { format!("{REFUSED}{REFUSED}") },
    behind_an_interim_answer = { format!("HTTP/1.1 100 Continue\r\n\r\n{REFUSED}") },
    success = { SERVED.replace("r-1", "r-0") },
)]
fn copy_of_another_answer_says_nothing_of_the_request_in_whose_place_it_comes(extra: String) {
    run(async {
        let (server, relay) = assert_says_nothing(&extra).await;
        // The server neither leaves nor is gone, full or paused, and its next answer is the next request's own.
        relay.list_as(vec![listed_server("i-1", "svc", server.addr)]);
        let reply = relay.ask("POST", "once").await;
        assert_eq!((reply.status, reply.body.as_str()), (200, "done"));
        assert_eq!(server.runs(), 3);
    });
}

#[tokio::test]
async fn repeatable_request_in_whose_place_another_answer_came_is_repeated() {
    let server = CopyingServer::start().await;
    let relay = TestRelay::start(&[]).await;
    let second = StandIn::start("i-2", &[Act::Answer]).await;
    let first = listed_server("i-1", "svc", server.addr);
    relay.list_as(vec![first.clone()]);
    assert_eq!(relay.ask("POST", "safe").await.status, 200);
    server.copy(REFUSED);
    relay.list_as(vec![first, second.listed("svc")]);
    relay.set_aside("i-2");
    assert_eq!(relay.ask("POST", "safe").await.status, 200);
    assert_eq!((server.runs(), second.seen().len()), (2, 1));
}

/// A refusal without an id is the request's own. Its copy would have none either, so nothing else is sent on its
/// connection.
#[tokio::test]
async fn connection_that_carried_a_refusal_without_an_id_is_not_used_again() {
    let server = CopyingServer::start().await;
    *server.first.lock().unwrap() = Some(UNNAMED.to_owned());
    let second = StandIn::start("i-2", &[Act::Answer]).await;
    let relay = TestRelay::start(&[&second]).await;
    let first = listed_server("i-1", "svc", server.addr);
    relay.list_as(vec![first.clone(), second.listed("svc")]);
    relay.set_aside("i-2");
    assert_eq!(relay.ask("POST", "once").await.status, 200);
    assert_eq!((server.runs(), second.seen().len()), (0, 1));
    *server.first.lock().unwrap() = None;
    server.copy(UNNAMED);
    relay.list_as(vec![first]);
    assert_eq!(relay.ask("POST", "once").await.status, 200);
    assert_eq!(server.runs(), 1);
}

/// Guards against a request that ran although its caller was told that it did not, or whose caller got another one's
/// failure: bytes behind a whole answer made an answer that names no request.
#[parameterized(
    full = { UNNAMED.to_owned() },
    limited = { "HTTP/1.1 429 Too Many Requests\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n".to_owned() },
    of_another_server = { "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n".to_owned() },
    invalid = { "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n".to_owned() },
    missing = { "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n".to_owned() },
    failed = { "HTTP/1.1 500 Internal Server Error\r\nResponse-Signature: sig\r\nContent-Length: 0\r\n\r\n".to_owned() },
    with_an_empty_name = {
        "HTTP/1.1 503 Service Unavailable\r\nRequest-Id:\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n".to_owned()
    },
)]
fn answer_without_an_id_on_a_used_connection_says_nothing_of_the_request(extra: String) {
    run(async {
        assert_says_nothing(&extra).await;
    });
}

/// Guards against a request that runs twice after its caller came back: the copy of the refusal of its first send was
/// taken for the answer to the next one.
#[parameterized(
    full = { "503 Service Unavailable" },
    limited = { "429 Too Many Requests" },
    of_another_server = { "421 Misdirected Request" },
    invalid = { "400 Bad Request" },
)]
fn refusal_of_one_send_is_not_taken_for_the_answer_to_the_next_one(status: &str) {
    run(async {
        let refusal = refusal(status, "Content-Length: 0\r\n", "").replace("r-0", "r-1");
        assert_eq!(assert_runs_once_after(&refusal).await.status, 503);
    });
}

/// The box that sends for another one judges whose the answer is, on the connection that it came on.
#[tokio::test]
async fn copy_of_another_answer_that_reaches_the_other_box_says_nothing_either() {
    let server = CopyingServer::start().await;
    let second = StandIn::start("i-2", &[Act::Answer]).await;
    let mut link = Link::start(server.addr).await;
    link.fail(LinkFault::Refuse).await;
    let other = TestRelay::start(&[]).await;
    other.list_as(vec![listed_server("i-1", "svc", server.addr)]);
    let cut = TestRelay::start(&[]).await;
    let addr = *other.relay.forward_addr.get().unwrap();
    cut.relay.proxies().assign(vec![Proxy { box_id: "other".parse().unwrap(), addr }]);
    let first = listed_server("i-1", "svc", link.addr);
    cut.list_as(vec![first.clone()]);
    assert_eq!(cut.ask("POST", "once").await.status, 200);
    server.copy(REFUSED);
    cut.list_as(vec![first, second.listed("svc")]);
    cut.set_aside("i-2");
    let reply = cut.ask("POST", "once").await;
    assert_eq!(reply.status, 502, "{reply:?}");
    assert_eq!((server.runs(), second.seen().len()), (2, 0));
}

/// A server with two connections that rest, which holds a stream until it is asked to stop it. Gives how many requests
/// its connection had carried before that one.
async fn hold_stream(
    listener: TcpListener,
    began: mpsc::UnboundedSender<()>,
    asked: mpsc::UnboundedSender<usize>,
) {
    let both = Arc::new(Barrier::new(2));
    let stopped = watch::Sender::new(false);
    while let Ok((mut stream, _)) = listener.accept().await {
        let (both, stopped) = (both.clone(), stopped.clone());
        let (began, asked) = (began.clone(), asked.clone());
        tokio::spawn(async move {
            let mut count = 0;
            while let Ok(Some(request)) = read_request(&mut stream).await {
                let answer = if request.line.starts_with("POST /kv-move") {
                    asked.send(count).unwrap();
                    stopped.send_replace(true);
                    "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n".to_owned()
                } else if request.line.starts_with("POST /once") {
                    both.wait().await;
                    SERVED.to_owned()
                } else if request.line.starts_with("POST /stream") {
                    let head = "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nResponse-Signature: sig\r\n\
                                Content-Type: text/event-stream\r\nContent-Length: ";
                    let text = format!("{head}{}\r\n\r\n{}", events(2).len(), event(1));
                    stream.write_all(text.as_bytes()).await.unwrap();
                    began.send(()).unwrap();
                    stopped.subscribe().wait_for(|stopped| *stopped).await.unwrap();
                    event(2)
                } else {
                    "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n".to_owned()
                };
                stream.write_all(answer.as_bytes()).await.unwrap();
                count += 1;
            }
        });
    }
}

/// The reply to a request to stop a run names nothing: on a connection that has carried another answer it could be
/// the copy of one.
#[tokio::test]
async fn request_to_stop_a_run_is_the_first_on_its_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let first = listed_server("i-1", "svc", listener.local_addr().unwrap());
    let (asked, mut counts) = mpsc::unbounded_channel();
    let (began, mut streams) = mpsc::unbounded_channel();
    tokio::spawn(hold_stream(listener, began, asked));
    let second = StandIn::start("i-2", &[Act::Events(6)]).await;
    let relay = TestRelay::start(&[]).await;
    relay.list_as(vec![first.clone()]);
    let both = tokio::join!(relay.ask("POST", "once"), relay.ask("POST", "once"));
    assert_eq!((both.0.status, both.1.status), (200, 200));
    let headers = "Api-Key: key-a\r\nToken-Usage: 1000,100000\r\n";
    let asking = relay.ask_with("POST", "stream", headers);
    let leaving = async {
        streams.recv().await.unwrap();
        relay.list_as(vec![as_leaving(first), second.listed("svc")]);
        counts.recv().await
    };
    let (reply, before) = tokio::join!(asking, leaving);
    assert_eq!(before, Some(0));
    assert_eq!((reply.status, reply.body, reply.whole), (200, events(2), true));
}

/// Guards against a request that runs twice, or whose caller gets a status that its server did not give: bytes behind a
/// whole answer ended inside a line, and the head of the next answer ran into them.
#[parameterized(
    full = { "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nInstance-Load: 8,2" },
    limited = { "HTTP/1.1 429 Too Many Requests\r\nNot-Executed: " },
    of_another_server = { "HTTP/1.1 421 Misdir" },
    with_a_reason_that_is_no_ascii = { "HTTP/1.1 421 Misdirig\u{e9}e " },
    failed = { "HTTP/1.1 500 Internal " },
    missing = { "HTTP/1.1 404 Not" },
    empty = { "HTTP/1.1 204 No" },
    success_for_a_failure = {
        "HTTP/1.1 200 OHTTP/1.1 500 Internal Server Error\r\nRequest-Id: r-1\r\nResponse-Signature: sig\r\n\
         Content-Length: 4\r\n\r\nfail"
    },
)]
fn head_that_was_cut_off_is_not_joined_with_that_of_the_next_answer(cut: &str) {
    run(async {
        assert_says_nothing(cut).await;
    });
}

/// Guards against a request that runs twice after its caller came back: a success that says that it was not executed is
/// believed as a refusal, but its connection is used again for the same request.
#[parameterized(
    unsigned = { "" },
    signed = { "Response-Signature: sig\r\n" },
)]
fn success_that_says_it_was_not_executed_is_not_taken_for_the_answer_to_the_next_send(lines: &str) {
    run(async {
        let refusal = refusal("200 OK", &format!("{lines}Content-Length: 0\r\n"), "");
        let refused = assert_runs_once_after(&refusal.replace("r-0", "r-1")).await;
        assert!(matches!(refused.status, 502 | 503), "{refused:?}");
    });
}

/// A server that gives reports, runs each request, and writes a refusal without an id before an answer on a connection
/// that has carried another one.
async fn refuse_behind_reports(listener: TcpListener, runs: Arc<AtomicUsize>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let runs = runs.clone();
        tokio::spawn(async move {
            let mut extra = "";
            while let Ok(Some(request)) = read_request(&mut stream).await {
                let body = if request.line.starts_with("POST") {
                    runs.fetch_add(1, Ordering::SeqCst);
                    "done"
                } else {
                    extra = "";
                    "{}"
                };
                let head = "HTTP/1.1 200 OK\r\nResponse-Signature: sig\r\nContent-Length: ";
                let answer = format!("{extra}{head}{}\r\n\r\n{body}", body.len());
                stream.write_all(answer.as_bytes()).await.unwrap();
                extra = UNNAMED;
            }
        });
    }
}

/// Guards against a request without an id that runs twice: the box that sends for another one takes a refusal without
/// an id on a used connection for its own, and the box that asked takes it for the first answer.
#[tokio::test]
async fn request_without_an_id_is_not_refused_by_the_other_box_on_a_used_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let runs = Arc::new(AtomicUsize::new(0));
    tokio::spawn(refuse_behind_reports(listener, runs.clone()));
    let second = StandIn::start("i-2", &[Act::Answer]).await;
    let mut link = Link::start(addr).await;
    link.fail(LinkFault::Refuse).await;
    let other = TestRelay::start(&[]).await;
    other.list_as(vec![listed_server("i-1", "svc", addr)]);
    other.relay.servers.mark_suspect(&other.known("i-1"));
    until("the report was read", || other.relay.context.pool.idle() == 1).await;
    let cut = TestRelay::start(&[]).await;
    let proxy =
        Proxy { box_id: "other".parse().unwrap(), addr: *other.relay.forward_addr.get().unwrap() };
    cut.relay.proxies().assign(vec![proxy]);
    cut.list_as(vec![listed_server("i-1", "svc", link.addr), second.listed("svc")]);
    cut.set_aside("i-2");
    let text = "POST /once/x HTTP/1.1\r\nHost: app.example\r\nDeadline-Ms: 8000\r\nApi-Key: key-a\r\n\
                Content-Length: 4\r\nConnection: close\r\n\r\nbody";
    let reply = Reply::parse(&cut.raw(text).await);
    assert_eq!(reply.status, 502, "{reply:?}");
    assert_eq!((runs.load(Ordering::SeqCst), second.seen().len()), (1, 0));
}

/// A box of the release before this one, which forwards a refusal without an id whatever its connection has carried.
async fn forward_unjudged(listener: TcpListener) {
    while let Ok((mut stream, _)) = listener.accept().await {
        tokio::spawn(async move {
            while let Ok(Some(_)) = read_request(&mut stream).await {
                let marked = UNNAMED.replacen(
                    "\r\n",
                    "\r\nEmberturn-Hop-Forwarded: 1\r\nEmberturn-Hop-Forwarded: length\r\n",
                    1,
                );
                stream.write_all(marked.as_bytes()).await.unwrap();
            }
        });
    }
}

/// Guards against a request that runs twice while boxes of two releases run: what a box forwards is taken for the first
/// answer on a connection that it does not know.
#[tokio::test]
async fn refusal_without_an_id_that_another_box_forwards_proves_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let proxy = Proxy { box_id: "other".parse().unwrap(), addr: listener.local_addr().unwrap() };
    tokio::spawn(forward_unjudged(listener));
    let second = StandIn::start("i-2", &[Act::Answer]).await;
    let dead = "127.0.0.1:1".parse().unwrap();
    let cut = TestRelay::start(&[]).await;
    cut.relay.proxies().assign(vec![proxy]);
    cut.list_as(vec![listed_server("i-1", "svc", dead), second.listed("svc")]);
    cut.set_aside("i-2");
    let reply = cut.ask("POST", "once").await;
    assert_eq!(reply.status, 502, "{reply:?}");
    assert!(second.seen().is_empty(), "{:?}", second.seen());
}
