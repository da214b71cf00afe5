//! Planned stops of a relay while callers go on: what it passes on is answered, and what it cannot answer in its grace is
//! refused, as not run.

#[path = "support/platform.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod platform;
#[path = "support/system.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod system;
#[path = "support/timed.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod timed;

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use emberturn::decide::stop::{AnswerTimes, LateRequest};
use futures_util::future::join_all;
use platform::{Reply, document, route, run};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use system::System;
use timed::{Run, TimedRequest, TimedServer};
use tokio::net::TcpStream;
use yare::parameterized;

/// The relay that stops, and the one that stays.
const STOPPING: u8 = 11;
const STAYING: u8 = 12;

/// The platform's grace in the settings of [`System`].
const GRACE: Duration = Duration::from_secs(8);

/// Times that servers take.
const TIMES_MS: [u64; 5] = [20, 1_000, 3_000, 5_000, 7_000];

/// A time that outlasts the grace.
const LONG_MS: u64 = 9_000;

/// Kinds of routes: their names, the kind in the document, and whether their requests may not be repeated.
const KINDS: [(&str, &str, bool); 4] = [
    ("safe", "safe", false),
    ("once", "unsafe", true),
    ("stream", "streaming", true),
    ("resumable", "streaming", false),
];

/// Requests of each route that were answered before the stop.
const ANSWERED_BEFORE: usize = 10;

const DRAWN_REQUESTS: usize = 260;

/// A request of the time around the stop.
#[derive(Debug)]
struct Drawn {
    request: TimedRequest,
    /// From the signal on; requests of the first group are sent before it.
    at: Option<Duration>,
    is_unrepeatable: bool,
    is_kept: bool,
}

impl Drawn {
    fn draw(rng: &mut SmallRng, number: usize) -> Self {
        let (name, _, is_unrepeatable) = KINDS[rng.random_range(0..KINDS.len())];
        let is_early = number.is_multiple_of(10);
        let time = match is_early {
            true => LONG_MS,
            false => TIMES_MS[rng.random_range(0..TIMES_MS.len())],
        };
        // Nothing is known of a route to which nobody has sent.
        let is_known = !is_early && rng.random_bool(0.8);
        let route = if is_known { format!("{name}-{time}") } else { format!("{name}-unknown") };
        let deadline = if !is_early && rng.random_bool(0.2) { 2_000 } else { 9_500 };
        let body_delay =
            if !is_early && rng.random_bool(0.2) { rng.random_range(0..2_500) } else { 0 };
        let at = (!is_early).then(|| GRACE.mul_f64(rng.random_range(0.0..0.95)));
        let request = TimedRequest {
            id: format!("r-{number}"),
            route,
            time: Duration::from_millis(time),
            deadline: Duration::from_millis(deadline),
            body_delay: Duration::from_millis(body_delay),
        };
        Self { request, at, is_unrepeatable, is_kept: rng.random_bool(0.5) }
    }

    /// Connects, where it is sent on a kept connection, which has then carried a request before.
    async fn connect(&self, addr: SocketAddr) -> Option<TcpStream> {
        if !self.is_kept {
            return None;
        }
        let mut stream = TcpStream::connect(addr).await.unwrap();
        let first = quick(&format!("{}-first", self.request.id));
        assert_eq!(first.ask_on(&mut stream).await.status, 200);
        Some(stream)
    }

    /// Sends it, on a new connection if the kept one has been closed.
    async fn ask(&self, addr: SocketAddr, kept: Option<TcpStream>) -> Option<Reply> {
        match kept.filter(is_open) {
            Some(mut stream) => Some(self.request.ask_on(&mut stream).await),
            None => self.request.ask(addr).await,
        }
    }
}

/// Whether the other side has not closed a connection on which nothing is due.
fn is_open(stream: &TcpStream) -> bool {
    let read = stream.try_read(&mut [0; 1]);
    read.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

fn quick(id: &str) -> TimedRequest {
    TimedRequest {
        id: id.to_owned(),
        route: "safe-20".to_owned(),
        time: Duration::from_millis(20),
        deadline: Duration::from_secs(8),
        body_delay: Duration::ZERO,
    }
}

/// Two relays and a server; every route but the unknown ones has been answered at the relay that is to stop.
async fn start() -> (System, TimedServer) {
    let system = System::start(2).await;
    let server = TimedServer::start().await;
    system.cloud.list_entries(vec![server.entry("svc")]);
    let names = TIMES_MS.iter().map(u64::to_string).chain(["unknown".to_owned()]);
    let routes = names.flat_map(|time| {
        KINDS.map(|(name, kind, _)| {
            let mut route = route(&format!("{name}-{time}"), kind, 2);
            route["resumable"] = json!(name == "resumable");
            route
        })
    });
    system.publish(1, &document(3, &routes.collect::<Vec<_>>())).await;
    for relay in [STOPPING, STAYING] {
        system
            .until("the routes and the server are known", || async {
                let reply = quick("r-known").ask(system.front(relay)).await?;
                (reply.status == 200).then_some(())
            })
            .await;
    }
    let addr = system.front(STOPPING);
    let mut asked = Vec::new();
    for time in TIMES_MS {
        for (name, ..) in KINDS {
            asked.extend((0..ANSWERED_BEFORE).map(|number| TimedRequest {
                id: format!("w-{name}-{time}-{number}"),
                route: format!("{name}-{time}"),
                time: Duration::from_millis(time),
                deadline: Duration::from_millis(9_500),
                body_delay: Duration::ZERO,
            }));
        }
    }
    // A box that has just started may not know yet what the team may use.
    join_all(asked.iter().map(|request| {
        system.until("the route has answered", || async {
            let reply = request.ask(addr).await?;
            (reply.status == 200 && reply.whole).then_some(())
        })
    }))
    .await;
    (system, server)
}

/// Whether an answer promises that its request did not run and never will.
fn is_refusal(reply: &Reply) -> bool {
    matches!(reply.status, 408 | 421 | 429 | 503)
}

/// What is wrong with the reply to a request, if anything.
fn judge(drawn: &Drawn, reply: &Reply, run: Option<Run>) -> Option<&'static str> {
    let is_whole = reply.status > 0 && reply.whole;
    let says_close = reply.headers.get("connection").is_some_and(|it| it == "close");
    let is_stream_cut = reply.status == 200 && !reply.whole;
    let is_late = drawn.at.is_some();
    match run {
        Some(_) if is_refusal(reply) => Some("told as not run, and ran"),
        Some(_) if reply.status == 0 => Some("ran, and got no answer"),
        Some(_) if !is_whole && !is_stream_cut => Some("ran, and its answer is not complete"),
        // Whoever waits less than the answer takes gets none from any box.
        Some(_) if drawn.gives_up_first() => None,
        Some(_) if is_late && drawn.is_unrepeatable && is_stream_cut => {
            Some("an unrepeatable stream was passed on in the stop and was cut")
        }
        Some(_) if is_late && drawn.is_unrepeatable && reply.status != 200 => {
            Some("unrepeatable, was passed on in the stop, and its outcome is unknown")
        }
        Some(_) => None,
        None if reply.status == 0 && drawn.at.is_none() => Some("sent before the stop, no answer"),
        // Without an answer nothing is said of it, and it was not passed on.
        None if reply.status == 0 => None,
        None if !is_refusal(reply) => Some("did not run, and is not told so"),
        None if !says_close => Some("refused, and the connection stays open"),
        None if reply.status == 503 && !reply.headers.contains_key("retry-after") => {
            Some("refused without Retry-After")
        }
        None => None,
    }
}

impl Drawn {
    /// Whether its deadline passes before its answer is due.
    fn gives_up_first(&self) -> bool {
        self.request.deadline <= self.request.time + self.request.body_delay
    }
}

/// Guards against requests that a stopping relay passes on late and cuts off at the end of its grace without an answer.
#[parameterized(first = { 1 }, second = { 2 }, third = { 3 })]
fn request_that_a_stopping_relay_passes_on_is_answered(seed: u64) {
    run(async move {
        let (mut system, server) = start().await;
        let addr = system.front(STOPPING);
        let mut rng = SmallRng::seed_from_u64(seed);
        let drawn: Vec<_> =
            (0..DRAWN_REQUESTS).map(|number| Drawn::draw(&mut rng, number)).collect();
        let kept = join_all(drawn.iter().map(|it| it.connect(addr))).await;
        let (stopped, stop) = tokio::sync::watch::channel(false);
        let asking = drawn.iter().zip(kept).map(|(it, kept)| {
            let mut stop = stop.clone();
            async move {
                if let Some(at) = it.at {
                    stop.wait_for(|stopped| *stopped).await.unwrap();
                    tokio::time::sleep(at).await;
                }
                it.ask(addr, kept).await
            }
        });
        let early = drawn.iter().filter(|it| it.at.is_none()).count();
        let stopping = async {
            system
                .until("the first requests run", || async {
                    (server.open() >= early).then_some(())
                })
                .await;
            system.signal(STOPPING, "TERM");
            stopped.send_replace(true);
        };
        let (replies, ()) = tokio::join!(join_all(asking), stopping);
        assert_eq!(system.ended(STOPPING).await, Some(0));
        let faults: Vec<_> = drawn
            .iter()
            .zip(&replies)
            .filter_map(|(it, reply)| {
                let run = server.run(&it.request.id);
                judge(it, reply.as_ref()?, run).map(|fault| format!("{fault}: {it:?} {reply:?}"))
            })
            .collect();
        let replies: Vec<_> = drawn
            .iter()
            .zip(&replies)
            .filter_map(|(it, reply)| Some((it, reply.as_ref()?)))
            .collect();
        let count =
            |is_one: fn(&Reply) -> bool| replies.iter().filter(|(_, reply)| is_one(reply)).count();
        let ran = drawn.iter().filter(|it| server.run(&it.request.id).is_some()).count();
        let (refused, unknown) = (count(is_refusal), count(|reply| reply.status == 504));
        let silent = count(|reply| reply.status == 0);
        println!(
            "seed {seed}: {} of {DRAWN_REQUESTS} connected, {ran} ran, {refused} were refused, {unknown} got 504, \
             {silent} no answer",
            replies.len(),
        );
        let silent = replies.iter().filter(|(_, reply)| reply.status == 0);
        silent.for_each(|(it, _)| println!("no answer: {it:?}"));
        assert!(faults.is_empty(), "seed {seed}, {} faults: {faults:#?}", faults.len());
        assert!(ran > 0 && refused > 0 && unknown > 0);
        // The other relay answers what this one refused. It has had no requests of the team for a while, and may have to
        // ask first what the team may use.
        let again = replies.iter().filter(|(_, reply)| is_refusal(reply)).take(8);
        let again = again.map(|(it, _)| TimedRequest {
            id: format!("{}-again", it.request.id),
            time: Duration::from_millis(20),
            body_delay: Duration::ZERO,
            ..it.request.clone()
        });
        let again: Vec<_> = again.collect();
        let staying = system.front(STAYING);
        join_all(again.iter().map(|it| {
            system.until("the other relay has answered", move || async move {
                let reply = it.ask(staying).await?;
                assert!(reply.status == 200 || is_refusal(&reply), "{it:?} {reply:?}");
                (reply.status == 200 && reply.whole).then_some(())
            })
        }))
        .await;
    });
}

fn times(answers: &[u64]) -> AnswerTimes {
    let mut times = AnswerTimes::default();
    for answer in answers {
        times.record("route", Duration::from_millis(*answer));
    }
    times
}

/// Guards against requests that are accepted although nothing says that they end before the box does.
#[parameterized(
    once_of_unknown_time = { false, 9_000, &[], 7_000, false },
    once_of_too_few_answers = { false, 9_000, &[10, 10, 10], 7_000, false },
    once_that_gives_up_before_the_end = { false, 6_900, &[], 7_000, true },
    once_that_ends = { false, 9_000, &[20, 20, 3_000, 20], 4_000, true },
    once_that_may_take_longer_than_any = { false, 9_000, &[20, 20, 3_000, 20], 3_500, false },
    safe_of_unknown_time = { true, 9_000, &[], 2_100, true },
    safe_of_unknown_time_near_the_end = { true, 9_000, &[], 1_900, false },
    safe_whose_usual_answer_ends = { true, 9_000, &[3_000; 10], 3_100, true },
    safe_whose_usual_answer_does_not = { true, 9_000, &[3_000; 10], 2_900, false },
    safe_with_one_slow_answer = {
        true, 9_000,
        &[20, 20, 20, 20, 20, 20, 20, 20, 20, 20, 20, 20, 20, 20, 20, 20, 20, 20, 20, 5_000],
        1_000, true
    },
)]
fn late_request_is_accepted_only_if_it_is_expected_to_end(
    is_repeatable: bool,
    deadline_ms: u64,
    answers: &[u64],
    stop_ms: u64,
    is_accepted: bool,
) {
    let late = LateRequest {
        is_repeatable,
        time_left: Duration::from_millis(deadline_ms),
        expected: times(answers).expected("route"),
        objective: Duration::from_secs(2),
    };
    assert_eq!(late.ends_within(Duration::from_millis(stop_ms)), is_accepted, "{late:?}");
}

#[test]
fn times_of_a_route_that_is_published_no_longer_are_dropped() {
    let mut known = times(&[10; 4]);
    assert!(known.expected("route").is_some());
    known.retain(|route| route != "route");
    assert_eq!(known.expected("route"), None);
}
