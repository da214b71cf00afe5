//! Tests that an answer that ends early reaches its caller as broken off, and a complete one as complete: for every
//! framing of the server's answer, every way in which its connection ends, and every place in the answer.

#[path = "support/platform.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod platform;
#[path = "support/raw.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod raw;

use std::time::Duration;

use emberturn::backend::{Pool, Reuse};
use emberturn::decide::completeness;
use futures_util::future::join_all;
use platform::{PATIENCE, Reply, TestRelay, document, route};
use raw::{End, RawServer, Written};

/// How a server marks the end of its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    Length,
    Chunked,
    Close,
}

/// The form of a server's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Form {
    version: &'static str,
    framing: Framing,
}

/// Chunks exist since HTTP/1.1.
const FORMS: [Form; 5] = [
    Form { version: "HTTP/1.1", framing: Framing::Length },
    Form { version: "HTTP/1.1", framing: Framing::Chunked },
    Form { version: "HTTP/1.1", framing: Framing::Close },
    Form { version: "HTTP/1.0", framing: Framing::Length },
    Form { version: "HTTP/1.0", framing: Framing::Close },
];

const BODY: &str = "0123456789";

/// An answer as a server writes it.
struct Wire {
    bytes: Vec<u8>,
    /// Where its body begins.
    body_at: usize,
}

impl Form {
    /// An answer with these headers, whose body has two chunks if it has any.
    fn write(self, headers: &str, body: &str) -> Wire {
        let Self { version, framing } = self;
        let (mark, body) = match framing {
            Framing::Length => (format!("Content-Length: {}\r\n", body.len()), body.to_owned()),
            Framing::Chunked => {
                let (first, second) = body.split_at(body.len() / 2);
                let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
                let chunks = format!("{}{}0\r\n\r\n", chunk(first), chunk(second));
                ("Transfer-Encoding: chunked\r\n".to_owned(), chunks)
            }
            Framing::Close => (String::new(), body.to_owned()),
        };
        let head = format!("{version} 200 OK\r\n{headers}{mark}\r\n");
        Wire { body_at: head.len(), bytes: format!("{head}{body}").into_bytes() }
    }

    /// Whether an answer that ends behind so many bytes is complete as far as HTTP can tell.
    fn is_complete(self, wire: &Wire, place: usize, end: End) -> bool {
        match self.framing {
            Framing::Length | Framing::Chunked => place == wire.bytes.len(),
            Framing::Close => place >= wire.body_at && end == End::Close,
        }
    }
}

impl Wire {
    /// Places in the head, and every place from its last byte on.
    fn places(&self) -> Vec<usize> {
        let in_head = [0, 1, 12, self.body_at / 2];
        in_head.into_iter().chain(self.body_at - 1..=self.bytes.len()).collect()
    }

    /// The same without all but one inside the body: each costs a time-out.
    fn few_places(&self) -> Vec<usize> {
        let (body, end) = (self.body_at, self.bytes.len());
        vec![0, body / 2, body, body + 4, end - 1, end]
    }

    fn cut(&self, place: usize, end: End) -> Written {
        Written { bytes: self.bytes[..place].to_vec(), end }
    }
}

fn signed(id: &str) -> String {
    format!("Request-Id: {id}\r\nResponse-Signature: sig\r\nContent-Type: text/plain\r\n")
}

/// A relay that knows these servers, with short time-outs.
async fn relay_of(servers: &[&RawServer]) -> TestRelay {
    let relay = TestRelay::empty().await;
    let mut routes = vec![route("safe", "safe", 2), route("once", "unsafe", 1)];
    for route in &mut routes {
        route["target_latency_ms"] = 500.into();
    }
    relay.publish(&document(1, &routes));
    let listed = servers.iter().enumerate();
    relay.list_as(listed.map(|(place, it)| it.listed(&format!("i-{place}"))).collect());
    relay
}

async fn ask_relay(relay: &TestRelay, route: &str, deadline: Duration) -> Reply {
    let text = format!(
        "POST /{route}/x HTTP/1.1\r\nHost: app.example\r\nRequest-Id: r-1\r\nApi-Key: key-a\r\n\
         Deadline-Ms: {}\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody",
        deadline.as_millis()
    );
    Reply::parse(&relay.raw(&text).await)
}

const LONG: Duration = Duration::from_secs(8);

/// Longer than the smallest part of a time-out that a request is sent with.
const SHORT: Duration = Duration::from_millis(1_200);

/// Asserts that a relay's caller and the relay itself take an answer for what it is.
fn assert_relayed(relay: &TestRelay, reply: &Reply, sent: Option<&[u8]>, cell: &str) {
    let counted: u64 = relay.relay.usage().counts().values().flat_map(|it| it.values()).sum();
    let latencies: Vec<_> = relay
        .relay
        .servers
        .for_service(&"svc".parse().unwrap())
        .iter()
        .filter_map(|known| known.state.service_time())
        .collect();
    match sent {
        Some(sent) => {
            assert_eq!((reply.status, reply.whole), (200, true), "{cell}: {reply:?}");
            assert_eq!(reply.body.as_bytes(), sent, "{cell}");
            assert_eq!((counted, latencies.len()), (1, 1), "{cell}");
        }
        None => {
            assert!(matches!(reply.status, 502 | 504), "{cell}: {reply:?}");
            assert_eq!((counted, latencies), (0, vec![]), "{cell}");
        }
    }
}

/// Walks an answer that is cut off at a place and by an end, once for each route.
async fn walk_relay(form: Form, place: usize, end: End, deadline: Duration) {
    let wire = move |id: &str| form.write(&signed(id), BODY);
    let whole = wire("r-1");
    let is_complete = form.is_complete(&whole, place, end);
    for name in ["once", "safe"] {
        let cell = format!("{form:?} {end:?} behind {place} of {}, {name}", whole.bytes.len());
        let script =
            move |seen: &platform::Seen, _| wire(&seen.headers["request-id"]).cut(place, end);
        let (first, second) = (RawServer::start(script), RawServer::start(script));
        let relay = relay_of(&[&first, &second]).await;
        let reply = ask_relay(&relay, name, deadline).await;
        let sent = is_complete.then(|| match form.framing {
            Framing::Length | Framing::Chunked => BODY.as_bytes(),
            Framing::Close => &whole.bytes[whole.body_at..place],
        });
        assert_relayed(&relay, &reply, sent, &cell);
        let sends = if name == "safe" && !is_complete && end != End::Silence { 2 } else { 1 };
        if end != End::Silence {
            assert_eq!(first.seen() + second.seen(), sends, "{cell}");
        }
    }
}

async fn walk_relay_everywhere(end: End) {
    for form in FORMS {
        for place in form.write(&signed("r-1"), BODY).places() {
            walk_relay(form, place, end, LONG).await;
        }
    }
}

#[tokio::test]
async fn plain_answer_of_the_relay_closed_at_any_place_is_complete_only_at_its_end() {
    walk_relay_everywhere(End::Close).await;
}

#[tokio::test]
async fn plain_answer_of_the_relay_reset_at_any_place_is_complete_only_at_its_end() {
    walk_relay_everywhere(End::Reset).await;
}

#[tokio::test]
async fn plain_answer_of_the_relay_that_falls_silent_is_complete_only_at_its_end() {
    let cells = FORMS.into_iter().flat_map(|form| {
        let places = form.write(&signed("r-1"), BODY).few_places();
        places.into_iter().map(move |place| walk_relay(form, place, End::Silence, SHORT))
    });
    join_all(cells).await;
}

/// Lets a relay read the end of an answer in the same step in which it learns that the server is over: everything else
/// waits while both happen, as the test has a single thread.
async fn ask_of_restarted(form: Form) -> (TestRelay, Reply) {
    let script = move |seen: &platform::Seen, _| {
        let wire = form.write(&signed(&seen.headers["request-id"]), BODY);
        wire.cut(wire.bytes.len(), End::CloseWhenTold)
    };
    let server = RawServer::start(script);
    let relay = relay_of(&[&server]).await;
    let known = relay.known("i-0");
    let restart = async {
        server.wait_seen(1).await;
        let held = known.clone();
        platform::until("an answer's head", move || held.state.heard_at().is_some()).await;
        let mut alarm = server.alarm().await;
        server.tell_and_wait();
        alarm.ring().await;
        known.state.end();
    };
    let (reply, ()) = tokio::join!(ask_relay(&relay, "once", LONG), restart);
    (relay, reply)
}

/// A process that ends has its connections closed in order, as one that ends its answer does.
#[tokio::test]
async fn plain_answer_without_length_whose_server_has_restarted_is_not_complete() {
    for version in ["HTTP/1.1", "HTTP/1.0"] {
        let form = Form { version, framing: Framing::Close };
        let (relay, reply) = ask_of_restarted(form).await;
        assert_relayed(&relay, &reply, None, version);
    }
}

#[tokio::test]
async fn plain_answer_with_its_end_marked_is_complete_although_its_server_has_restarted() {
    for form in FORMS.into_iter().filter(|form| form.framing != Framing::Close) {
        let (relay, reply) = ask_of_restarted(form).await;
        assert_relayed(&relay, &reply, Some(BODY.as_bytes()), &format!("{form:?}"));
    }
}

/// A server that breaks off one answer after the other would otherwise be chosen like any other.
#[tokio::test]
async fn plain_answer_that_breaks_off_in_its_body_counts_against_its_server() {
    for end in [End::Close, End::Reset] {
        let form = Form { version: "HTTP/1.1", framing: Framing::Length };
        let script = move |seen: &platform::Seen, _| {
            let wire = form.write(&signed(&seen.headers["request-id"]), BODY);
            wire.cut(wire.body_at + 4, end)
        };
        let server = RawServer::start(script);
        let relay = relay_of(&[&server]).await;
        for _ in 0..2 {
            assert_eq!(ask_relay(&relay, "once", LONG).await.status, 502);
        }
        assert!(relay.known("i-0").state.fail(), "{end:?}: two failures were not counted");
    }
}

/// RFC 9112, section 6.3: only chunks mark the end, whatever other transfer coding is named.
#[tokio::test]
async fn answer_whose_last_transfer_coding_is_not_chunked_ends_with_its_connection() {
    let coded = [
        ("gzip", completeness::Framing::Close),
        ("chunked, gzip", completeness::Framing::Close),
        ("gzip, Chunked", completeness::Framing::Chunked),
    ];
    for (coding, framing) in coded {
        let server = RawServer::start(move |_, _| {
            let head = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: {coding}\r\n\r\n");
            let bytes = format!("{head}5\r\n01234\r\n0\r\n\r\n").into_bytes();
            Written { bytes, end: End::Close }
        });
        let request = hyper::Request::get("/x").header("host", "x");
        let request = request.body(http_body_util::Full::new(bytes::Bytes::new())).unwrap();
        let sent = Pool::default().send(server.addr, request, PATIENCE, Reuse::Never).await;
        assert_eq!(sent.unwrap().framing, framing, "{coding}");
    }
}
