//! Answers that another box forwards: one that broke off anywhere reaches its caller as broken off, and a complete
//! one as complete.

#[path = "support/breaking.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod breaking;
#[path = "support/fleet.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod fleet;
#[path = "support/link.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod link;
#[path = "support/platform.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod platform;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};

use breaking::{Breaking, End, Script};
use emberturn::decide::completeness::Framing;
use emberturn::decide::memory::{MemoryClaim, Purpose};
use emberturn::decide::proxies::Proxy;
use emberturn::decide::retry_budgets::RetryLimit;
use emberturn::relay::list::Server;
use emberturn_fakes::proxy::{Fault, Proxy as FaultProxy};
use fleet::{Fleet, proxy};
use link::{Link, LinkFault};
use platform::{
    Act, Moves, PATIENCE, Reply, StandIn, TestRelay, as_leaving, event, events, run, until,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use yare::parameterized;

/// Events of a whole stream.
const EVENTS: u64 = 4;

/// The time a caller gives, in milliseconds: that of each answer that falls silent.
const DEADLINE_MS: u32 = 1_500;

/// More time than a test has, in milliseconds.
const LONG_MS: u32 = 60_000;

/// A whole stream.
fn stream() -> Script {
    Script {
        version: "HTTP/1.1",
        framing: Framing::Close,
        headers: "Content-Type: text/event-stream\r\n",
        body: events(EVENTS),
        first: event(1).len(),
        sent: events(EVENTS).len(),
        end: End::Close,
    }
}

/// A whole answer that is no stream.
fn plain() -> Script {
    Script { headers: "", body: "answer".to_owned(), first: 2, sent: 6, ..stream() }
}

/// A box without paths, one that sends for it, and servers that only the latter reaches.
struct Hop {
    fleet: Fleet,
    /// Where the box without paths looks for servers. A port that the system hands out could be taken by a listener of
    /// another test, behind which the path would seem to be back.
    dead: SocketAddr,
    /// Requests so far. They differ: one that breaks off again and again counts as the cause.
    asked: AtomicU32,
}

impl Hop {
    async fn start() -> Self {
        let mut fleet = Fleet::start(&[Act::Answer]).await;
        fleet.lose(LinkFault::Reset).await;
        let dead = "127.0.0.1:1".parse().unwrap();
        Self { fleet, dead, asked: AtomicU32::new(0) }
    }

    /// Has both boxes know just these servers.
    fn list(&self, servers: &[(&str, SocketAddr)]) {
        let listed = |id: &str, addr| Server {
            id: id.parse().unwrap(),
            addr,
            ..self.fleet.servers[0].listed("svc")
        };
        let at_other = servers.iter().map(|(id, addr)| listed(id, *addr));
        self.fleet.other.list_as(at_other.collect());
        let at_cut = servers.iter().map(|(id, _)| listed(id, self.dead));
        self.fleet.cut.list_as(at_cut.collect());
    }

    /// Sends a request, and does something once part of the answer has come. Reads the answer to its end.
    async fn ask(&self, route: &str, part: &str, then: impl Future<Output = ()>) -> Reply {
        self.ask_within(DEADLINE_MS, route, part, then).await
    }

    async fn ask_within(
        &self,
        deadline_ms: u32,
        route: &str,
        part: &str,
        then: impl Future<Output = ()>,
    ) -> Reply {
        self.fleet.refresh();
        let mut caller = TcpStream::connect(self.fleet.cut.addr).await.unwrap();
        let number = self.asked.fetch_add(1, Ordering::Relaxed);
        let text = format!(
            "POST /{route}/{number} HTTP/1.1\r\nHost: app.example\r\nRequest-Id: r-1\r\n\
             Deadline-Ms: {deadline_ms}\r\nApi-Key: key-a\r\nToken-Usage: 1000,100000\r\nContent-Length: 0\r\n\
             Connection: close\r\n\r\n"
        );
        caller.write_all(text.as_bytes()).await.unwrap();
        let mut answer = Vec::new();
        let reading = async {
            while !String::from_utf8_lossy(&answer).contains(part) {
                if caller.read_buf(&mut answer).await? == 0 {
                    return Ok(0);
                }
            }
            then.await;
            caller.read_to_end(&mut answer).await
        };
        // A reset is an end as well.
        let _ = tokio::time::timeout(PATIENCE, reading).await.expect("no end in time");
        Reply::parse(&String::from_utf8_lossy(&answer))
    }

    /// Has a server give an answer, and reads what comes of it.
    async fn play(&self, route: &str, script: &Script) -> Reply {
        let server = Breaking::start(script.clone()).await;
        self.list(&[("i-9", server.addr)]);
        let part = if script.headers.is_empty() { "" } else { "piece 1" };
        let reply = self.ask(route, part, async { server.release() }).await;
        assert_eq!(server.seen(), 1, "{script:?} {reply:?}");
        reply
    }

    /// Has the first box give requests more time than a test has.
    fn allow_long_requests(&self) {
        let mut routes = platform::usual_routes();
        routes.iter_mut().for_each(|route| route["timeout_ms"] = LONG_MS.into());
        self.fleet.cut.publish(&platform::document(2, &routes));
    }

    /// Has only the other box learn that the server has restarted: it is listed there at another address.
    async fn restart_at_other(&self) {
        let at = self.fleet.servers[0].listed("svc");
        self.fleet.other.list_as(vec![Server { id: "i-9".parse().unwrap(), ..at }]);
    }

    /// Has the first box's budget of retries grow by one at least.
    fn allow_retry(&self) {
        let limit = RetryLimit { ratio: 2.0, floor: 100.0, boxes: Some(1) };
        self.fleet.cut.relay.retries().deposit(&"svc".parse().unwrap(), &limit);
    }
}

/// A counter of a box by its name and first labels; 0 if it was never raised.
fn count(relay: &TestRelay, labelled: &str) -> u64 {
    let text = relay.relay.context.metrics.render().unwrap();
    let text = String::from_utf8(text).unwrap();
    let line = text.lines().find(|line| line.starts_with(labelled));
    line.map_or(0, |line| line.rsplit(' ').next().unwrap().parse().unwrap())
}

/// The name of the counter of ends with these labels.
fn ends_counter(framing: Framing, outcome: &str) -> String {
    format!("emberturn_answer_ends_total{{framing=\"{framing}\",outcome=\"{outcome}\"")
}

/// All places and ways in which an answer of a kind may end.
fn ends(whole: &Script) -> Vec<Script> {
    let between = whole.first;
    let places = [whole.sent, between, between + 3];
    let ends = [End::Close, End::Reset, End::Silence];
    let all = places.into_iter().flat_map(|sent| ends.map(|end| (sent, end)));
    all.map(|(sent, end)| Script { sent, end, ..whole.clone() }).collect()
}

/// Whether an event was begun and not ended, which shows that something is missing.
fn is_inside_event(script: &Script) -> bool {
    !script.body[..script.sent].ends_with("\n\n")
}

#[parameterized(
    length = { Framing::Length, "HTTP/1.1" },
    chunked = { Framing::Chunked, "HTTP/1.1" },
    close = { Framing::Close, "HTTP/1.1" },
    close_by_1_0 = { Framing::Close, "HTTP/1.0" },
)]
fn stream_is_complete_only_if_its_end_was_seen(framing: Framing, version: &'static str) {
    run(async move {
        let hop = Hop::start().await;
        for script in ends(&Script { framing, version, ..stream() }) {
            let reply = hop.play("stream", &script).await;
            let is_complete = script.looks_complete() && !is_inside_event(&script);
            assert_eq!((reply.status, reply.whole), (200, is_complete), "{script:?} {reply:?}");
            if is_complete {
                assert_eq!(reply.body, script.body[..script.sent], "{script:?}");
            }
        }
    });
}

#[parameterized(
    length = { Framing::Length, "HTTP/1.1" },
    chunked = { Framing::Chunked, "HTTP/1.1" },
    close = { Framing::Close, "HTTP/1.1" },
    close_by_1_0 = { Framing::Close, "HTTP/1.0" },
)]
fn resumable_stream_whose_end_was_not_seen_is_resumed(framing: Framing, version: &'static str) {
    run(async move {
        let hop = Hop::start().await;
        for script in ends(&Script { framing, version, ..stream() }) {
            let server = Breaking::start(script.clone()).await;
            // It has one event more, so that a stream that broke off behind its last one can be resumed as well.
            let second = StandIn::start("i-8", &[Act::Events(EVENTS + 1)]).await;
            hop.list(&[("i-9", server.addr)]);
            let then = async {
                hop.list(&[("i-9", server.addr), ("i-8", second.addr)]);
                server.release();
            };
            hop.allow_retry();
            let reply = hop.ask_within(8_000, "resumable", "piece 1", then).await;
            assert_eq!((reply.status, reply.whole), (200, true), "{script:?} {reply:?}");
            if script.looks_complete() && !is_inside_event(&script) {
                assert_eq!(reply.body, script.body[..script.sent], "{script:?}");
                assert!(second.seen().is_empty(), "{script:?}");
            } else {
                assert_eq!(reply.body, events(EVENTS + 1), "{script:?}");
                assert_eq!(second.seen().len(), 1, "{script:?}");
            }
        }
    });
}

#[parameterized(
    length = { Framing::Length, "HTTP/1.1" },
    chunked = { Framing::Chunked, "HTTP/1.1" },
    close = { Framing::Close, "HTTP/1.1" },
    close_by_1_0 = { Framing::Close, "HTTP/1.0" },
)]
fn plain_answer_is_complete_only_if_its_end_was_seen(framing: Framing, version: &'static str) {
    run(async move {
        let hop = Hop::start().await;
        for script in ends(&Script { framing, version, ..plain() }) {
            if framing == Framing::Close && script.end == End::Close && !script.is_whole() {
                // Nothing tells this one from a complete answer.
                continue;
            }
            let reply = hop.play("once", &script).await;
            match script.looks_complete() {
                true => {
                    assert_eq!((reply.status, reply.body.as_str()), (200, "answer"), "{script:?}")
                }
                false => assert!(matches!(reply.status, 502 | 504), "{script:?} {reply:?}"),
            }
        }
    });
}

#[parameterized(length = { Framing::Length }, chunked = { Framing::Chunked }, close = { Framing::Close })]
fn box_that_asked_knows_what_marked_the_end_at_the_server(framing: Framing) {
    run(async move {
        let hop = Hop::start().await;
        // A server that names another framing in the other box's header has no say.
        let headers = "Content-Type: text/event-stream\r\nEmberturn-Hop-Forwarded: 1\r\n\
                       Emberturn-Hop-Forwarded: length\r\n";
        let ends = ends_counter(framing, "complete");
        let before = count(&hop.fleet.cut, &ends);
        let reply = hop.play("stream", &Script { framing, headers, ..stream() }).await;
        assert!(reply.whole, "{reply:?}");
        assert!(!reply.headers.keys().any(|name| name.starts_with("emberturn")), "{reply:?}");
        assert_eq!(count(&hop.fleet.cut, &ends), before + 1);
    });
}

/// The other box says "chunked" of its own answer, and nothing of the server's.
#[tokio::test]
async fn end_that_a_box_of_the_former_release_forwarded_is_vouched_for_by_nothing() {
    let hop = Hop::start().await;
    let headers = "Content-Type: text/event-stream\r\nEmberturn-Hop-Forwarded: 1\r\n";
    let former = Breaking::start(Script { framing: Framing::Chunked, headers, ..stream() }).await;
    former.release();
    hop.list(&[("i-9", former.addr)]);
    let (box_id, addr) = ("former".parse().unwrap(), former.addr);
    hop.fleet.cut.relay.proxies().assign(vec![Proxy { box_id, addr }]);
    let reply = hop.ask("stream", "", async {}).await;
    assert!(reply.whole, "{reply:?}");
    assert_eq!(count(&hop.fleet.cut, &ends_counter(Framing::Close, "complete")), 1);
}

/// It reads the first value of the header, removes both, and passes on headers of any other name.
#[tokio::test]
async fn box_of_the_former_release_is_answered_in_a_form_that_it_reads() {
    let hop = Hop::start().await;
    let server = Breaking::start(stream()).await;
    server.release();
    hop.list(&[("i-9", server.addr)]);
    let forward = *hop.fleet.other.relay.forward_addr.get().unwrap();
    let mut former = TcpStream::connect(forward).await.unwrap();
    let text = "POST /stream/x HTTP/1.1\r\nHost: app.example\r\nRequest-Id: r-1\r\nDeadline-Ms: 8000\r\n\
                Emberturn-Hop: 1\r\nEmberturn-Hop-Secret: \r\nEmberturn-Hop-Action: send\r\n\
                Emberturn-Hop-Server: i-9\r\nEmberturn-Hop-Time-Left: 8000\r\n\
                Content-Length: 0\r\nConnection: close\r\n\r\n";
    former.write_all(text.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    former.read_to_end(&mut answer).await.unwrap();
    let answer = String::from_utf8(answer).unwrap();
    let reply = Reply::parse(&answer);
    assert_eq!((reply.status, reply.whole), (200, true), "{answer}");
    let ours: Vec<_> = answer.lines().filter(|line| line.starts_with("emberturn")).collect();
    assert_eq!(ours[0], "emberturn-hop-forwarded: 1", "{answer}");
    assert!(ours.iter().all(|line| line.starts_with("emberturn-hop-forwarded: ")), "{answer}");
}

#[parameterized(length = { Framing::Length }, chunked = { Framing::Chunked }, close = { Framing::Close })]
fn answer_of_a_server_that_only_the_other_box_knows_to_have_restarted_is_not_complete(
    framing: Framing,
) {
    run(async move {
        let hop = Hop::start().await;
        let script = Script { framing, sent: events(2).len(), end: End::Silence, ..stream() };
        let server = Breaking::start(script).await;
        hop.list(&[("i-9", server.addr)]);
        hop.allow_long_requests();
        let reply = hop.ask_within(LONG_MS, "stream", "piece 1", hop.restart_at_other()).await;
        assert_eq!((reply.status, reply.whole), (200, false), "{reply:?}");
    });
}

#[tokio::test]
async fn request_to_a_server_that_only_the_other_box_knows_to_have_restarted_is_given_up() {
    let hop = Hop::start().await;
    let mut server = StandIn::start("i-9", &[Act::Silent]).await;
    hop.list(&[("i-9", server.addr)]);
    hop.allow_long_requests();
    let restart = async {
        server.wait_seen(1).await;
        hop.restart_at_other().await;
    };
    let (reply, ()) = tokio::join!(hop.ask_within(LONG_MS, "once", "", async {}), restart);
    assert_eq!(reply.status, 502, "{reply:?}");
}

#[parameterized(length = { Framing::Length }, chunked = { Framing::Chunked }, close = { Framing::Close })]
fn stream_of_a_box_that_is_killed_is_not_complete(framing: Framing) {
    run(async move {
        let hop = Hop::start().await;
        let own = tokio::runtime::Runtime::new().unwrap();
        let killed = own.spawn(TestRelay::empty()).await.unwrap();
        killed.publish(&platform::document(1, &platform::usual_routes()));
        let server = Breaking::start(Script { framing, ..stream() }).await;
        hop.list(&[("i-9", server.addr)]);
        let at = Server {
            id: "i-9".parse().unwrap(),
            addr: server.addr,
            ..hop.fleet.servers[0].listed("svc")
        };
        killed.list_as(vec![at]);
        hop.fleet.cut.relay.proxies().assign(vec![proxy(&killed, "killed")]);
        let reply = hop.ask("stream", "piece 1", async { own.shutdown_background() }).await;
        assert_eq!((reply.status, reply.whole), (200, false), "{reply:?}");
    });
}

#[parameterized(length = { Framing::Length }, chunked = { Framing::Chunked }, close = { Framing::Close })]
fn answer_that_a_stopping_or_full_box_forwards_is_finished(framing: Framing) {
    run(async move {
        let hop = Hop::start().await;
        let server = Breaking::start(Script { framing, ..stream() }).await;
        hop.list(&[("i-9", server.addr)]);
        let other = &hop.fleet.other;
        let memory = &other.relay.memory;
        let held = std::cell::OnceCell::new();
        let stop = async {
            let rest = memory.size() - memory.reserved();
            held.set(memory.reserve(Purpose::Answers, rest, MemoryClaim::Accepted)).unwrap();
            other.close();
            server.release();
        };
        let reply = hop.ask("stream", "piece 1", stop).await;
        assert_eq!((reply.status, reply.body, reply.whole), (200, events(EVENTS), true));
    });
}

#[parameterized(reset = { LinkFault::Reset }, hang = { LinkFault::Hang })]
fn stream_of_a_box_that_loses_its_own_path_is_not_complete(fault: LinkFault) {
    run(async move {
        let hop = Hop::start().await;
        for framing in [Framing::Length, Framing::Chunked, Framing::Close] {
            let server = Breaking::start(Script { framing, ..stream() }).await;
            let mut link = Link::start(server.addr).await;
            hop.list(&[("i-9", link.addr)]);
            let reply = hop.ask("stream", "piece 1", link.fail(fault)).await;
            assert_eq!((reply.status, reply.whole), (200, false), "{framing} {reply:?}");
        }
    });
}

#[parameterized(
    refuse = { Fault::Refuse },
    silent = { Fault::Silent },
)]
fn stream_whose_link_between_boxes_fails_is_not_complete(fault: Fault) {
    run(async move {
        let hop = Hop::start().await;
        for framing in [Framing::Length, Framing::Chunked, Framing::Close] {
            let server = Breaking::start(Script { framing, ..stream() }).await;
            hop.list(&[("i-9", server.addr)]);
            let between = between(&hop).await;
            let reply = hop.ask("stream", "piece 1", async {
                between.set(fault);
                if fault == Fault::Silent {
                    server.release();
                }
            });
            let reply = reply.await;
            assert_eq!((reply.status, reply.whole), (200, false), "{framing} {reply:?}");
        }
    });
}

/// The link between the two boxes breaks behind each number of bytes of the answer.
#[tokio::test]
async fn stream_whose_link_between_boxes_breaks_anywhere_is_not_complete() {
    let hop = Hop::start().await;
    for framing in [Framing::Length, Framing::Chunked, Framing::Close] {
        for bytes in (0..400).step_by(7) {
            let server = Breaking::start(Script { framing, ..stream() }).await;
            server.release();
            hop.list(&[("i-9", server.addr)]);
            let between = between(&hop).await;
            between.set(Fault::CutAnswer(bytes));
            let reply = hop.ask("stream", "", async {}).await;
            let is_whole = reply.status == 200 && reply.whole;
            assert!(!is_whole || reply.body == events(EVENTS), "{bytes} {framing} {reply:?}");
        }
    }
}

#[parameterized(
    stream_length = { "stream", Script { framing: Framing::Length, ..stream() } },
    stream_chunked = { "stream", Script { framing: Framing::Chunked, ..stream() } },
    stream_close = { "stream", Script { framing: Framing::Close, ..stream() } },
    plain_length = { "once", Script { framing: Framing::Length, ..plain() } },
    plain_chunked = { "once", Script { framing: Framing::Chunked, ..plain() } },
    plain_close = { "once", Script { framing: Framing::Close, ..plain() } },
)]
fn end_that_broke_off_is_no_success_of_either_box(route: &'static str, whole: Script) {
    run(async move {
        let hop = Hop::start().await;
        let (cut, other) = (&hop.fleet.cut, &hop.fleet.other);
        let usage = || cut.relay.usage().counts();
        let used = usage();
        let complete = ends_counter(whole.framing, "complete");
        let broken_off = ends_counter(whole.framing, "broken_off");
        let before = count(other, &complete);
        let broken = Script { sent: whole.first, end: End::Reset, ..whole.clone() };
        hop.play(route, &broken).await;
        until("the break is counted", || {
            count(other, &broken_off) == 1
                && count(other, "emberturn_forwards_total{outcome=\"broken_off\"") == 1
        })
        .await;
        assert_eq!(count(other, &complete), before);
        assert_eq!(cut.known("i-9").state.service_time(), None);
        if route == "once" {
            assert_eq!(usage(), used);
        }
        hop.play(route, &whole).await;
        until("the end is counted", || count(other, &complete) == before + 1).await;
        assert!(cut.known("i-9").state.service_time().is_some());
    });
}

#[parameterized(length = { Framing::Length }, chunked = { Framing::Chunked }, close = { Framing::Close })]
fn hedge_whose_answer_broke_off_behind_another_box_does_not_win(framing: Framing) {
    run(async move {
        let hop = Hop::start().await;
        let first = Breaking::start(Script { framing, ..plain() }).await;
        let hedge =
            Script { framing, body: "broken".to_owned(), sent: 4, end: End::Reset, ..plain() };
        let hedge = Breaking::start(hedge).await;
        hedge.release();
        hop.list(&[("i-9", first.addr)]);
        let mut routes = platform::usual_routes();
        routes.iter_mut().for_each(|route| route["target_latency_ms"] = 100.into());
        let cut = &hop.fleet.cut;
        cut.publish(&platform::document(2, &routes));
        hop.allow_retry();
        let hedging = async {
            first.wait_seen().await;
            hop.list(&[("i-9", first.addr), ("i-8", hedge.addr)]);
            hedge.wait_seen().await;
            until("the hedge is over", || cut.known("i-8").state.in_flight() == 0).await;
            first.release();
        };
        let (reply, ()) = tokio::join!(hop.ask_within(8_000, "safe", "", async {}), hedging);
        assert_eq!((reply.status, reply.body.as_str()), (200, "answer"), "{reply:?}");
        assert_eq!(cut.known("i-8").state.service_time(), None);
        assert!(cut.known("i-9").state.service_time().is_some());
    });
}

/// Asks for a stream at a server that is asked to stop its run as soon as it has sent two events, beside a second one.
async fn ask_while_leaving(route: &str, moves: Moves, act: Act) -> (Reply, StandIn, StandIn) {
    let hop = Hop::start().await;
    let first = StandIn::start_moving("i-9", moves, &[act, Act::Events(6)]).await;
    let second = StandIn::start("i-8", &[Act::Events(6)]).await;
    hop.list(&[("i-9", first.addr)]);
    let leaving = async {
        hop.list(&[("i-9", first.addr), ("i-8", second.addr)]);
        // The other box does not know yet that the server leaves: it takes nothing for one that does.
        let listed = |server: &StandIn| Server { addr: hop.dead, ..server.listed("svc") };
        hop.fleet.cut.list_as(vec![as_leaving(listed(&first)), listed(&second)]);
    };
    let reply = hop.ask_within(8_000, route, "piece 2", leaving).await;
    (reply, first, second)
}

#[parameterized(
    stream = { "stream", Act::UnframedUntilMoved(2) },
    resumable = { "resumable", Act::UnframedUntilMoved(2) },
    chunked = { "stream", Act::UntilMoved(2) },
)]
fn stream_behind_another_box_that_stops_to_be_moved_is_not_complete(route: &'static str, act: Act) {
    run(async move {
        let (reply, _, second) = ask_while_leaving(route, Moves::Copied, act).await;
        assert_eq!((reply.status, reply.body, reply.whole), (200, events(6), true));
        let moved = &second.seen()[0];
        assert!(moved.headers["kv-from"].ends_with("/h-1"), "{moved:?}");
        assert_eq!(moved.headers["last-event-id"], "2");
    });
}

#[parameterized(close = { Moves::Close }, busy = { Moves::Busy }, silent = { Moves::Silent })]
fn stream_behind_another_box_that_may_have_been_stopped_is_not_complete(moves: Moves) {
    run(async move {
        let (reply, _, second) =
            ask_while_leaving("stream", moves, Act::UnframedUntilMoved(2)).await;
        assert_eq!((reply.status, reply.body, reply.whole), (200, events(2), false));
        assert!(second.seen().is_empty());
    });
}

#[tokio::test]
async fn stream_behind_another_box_that_found_no_room_elsewhere_continues_on_its_server() {
    let (reply, first, second) =
        ask_while_leaving("stream", Moves::NoRoom, Act::UnframedUntilMoved(2)).await;
    assert_eq!((reply.status, reply.body, reply.whole), (200, events(6), true));
    assert_eq!(first.seen()[1].headers["last-event-id"], "2");
    assert!(second.seen().is_empty());
}

#[tokio::test]
async fn stream_behind_another_box_that_ended_before_its_move_is_complete() {
    let (reply, _, second) =
        ask_while_leaving("stream", Moves::NotFound, Act::UnframedUntilMoved(2)).await;
    assert_eq!((reply.status, reply.body, reply.whole), (200, events(2), true));
    assert!(second.seen().is_empty());
}

/// Has the first box reach the other one through a link that can fail.
async fn between(hop: &Hop) -> FaultProxy {
    let forward = hop.fleet.other.relay.forward_addr.get().copied();
    let between = FaultProxy::start(forward).await.unwrap();
    let (box_id, addr) =
        (format!("between-{}", between.addr.port()).parse().unwrap(), between.addr);
    hop.fleet.cut.relay.proxies().assign(vec![Proxy { box_id, addr }]);
    between
}
