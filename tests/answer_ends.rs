//! Tests that an answer that ends early reaches its caller as broken off, and a complete one as complete: for every
//! framing of the server's answer, every way in which its connection ends, and every place in the answer.

#[path = "support/platform.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod platform;
#[path = "support/raw.rs"]
mod raw;
mod support;

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use emberturn::backend::{Pool, Reuse};
use emberturn::decide::completeness;
use emberturn::ids::AttemptId;
use emberturn_fakes::http::Answer;
use emberturn_fakes::platform::Platform;
use futures_util::future::join_all;
use platform::{PATIENCE, Reply, Seen, TestRelay, document, route};
use raw::{End, RawServer, Written};
use serde_json::{Value, json};
use support::{BoxPlan, Cluster, base_change, call, streamed_text};
use yare::parameterized;

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
    /// Where each piece of its body begins and ends.
    pieces: Vec<(usize, usize)>,
}

impl Form {
    /// An answer with these headers, and a body of these pieces: a chunk for each if it has any.
    fn write(self, headers: &str, pieces: &[String]) -> Wire {
        let Self { version, framing } = self;
        let length: usize = pieces.iter().map(String::len).sum();
        let mark = match framing {
            Framing::Length => format!("Content-Length: {length}\r\n"),
            Framing::Chunked => "Transfer-Encoding: chunked\r\n".to_owned(),
            Framing::Close => String::new(),
        };
        let mut text = format!("{version} 200 OK\r\n{headers}{mark}\r\n");
        let body_at = text.len();
        let (mut places, is_chunked) = (Vec::new(), framing == Framing::Chunked);
        for piece in pieces {
            if is_chunked {
                text += &format!("{:x}\r\n", piece.len());
            }
            places.push((text.len(), text.len() + piece.len()));
            text += piece;
            if is_chunked {
                text += "\r\n";
            }
        }
        if is_chunked {
            text += "0\r\n\r\n";
        }
        Wire { bytes: text.into_bytes(), body_at, pieces: places }
    }

    /// A plain answer in two pieces.
    fn plain(self, headers: &str) -> Wire {
        let (first, second) = BODY.split_at(5);
        self.write(headers, &[first.to_owned(), second.to_owned()])
    }

    /// The body of a complete plain answer that ends behind so many bytes.
    fn body_until(self, wire: &Wire, place: usize) -> &str {
        match self.framing {
            Framing::Length | Framing::Chunked => BODY,
            Framing::Close => &BODY[..place - wire.body_at],
        }
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
fn assert_relayed(relay: &TestRelay, reply: &Reply, sent: Option<&str>, cell: &str) {
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
            assert_eq!(reply.body, sent, "{cell}");
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
    let wire = move |id: &str| form.plain(&signed(id));
    let whole = wire("r-1");
    let is_complete = form.is_complete(&whole, place, end);
    for name in ["once", "safe"] {
        let cell = format!("{form:?} {end:?} behind {place} of {}, {name}", whole.bytes.len());
        let script = move |seen: &Seen, _| wire(&seen.headers["request-id"]).cut(place, end);
        let (first, second) = (RawServer::start(script), RawServer::start(script));
        let relay = relay_of(&[&first, &second]).await;
        let reply = ask_relay(&relay, name, deadline).await;
        let sent = is_complete.then(|| form.body_until(&whole, place));
        assert_relayed(&relay, &reply, sent, &cell);
        let sends = if name == "safe" && !is_complete && end != End::Silence { 2 } else { 1 };
        if end != End::Silence {
            assert_eq!(first.seen() + second.seen(), sends, "{cell}");
        }
    }
}

/// Runs a part of a walk to its end, so that its relays do not outlive it.
fn run(part: impl Future) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.unwrap().block_on(part);
}

fn walk_relay_everywhere(end: End) {
    for form in FORMS {
        for place in form.plain(&signed("r-1")).places() {
            run(walk_relay(form, place, end, LONG));
        }
    }
}

#[test]
fn plain_answer_of_the_relay_closed_at_any_place_is_complete_only_at_its_end() {
    walk_relay_everywhere(End::Close);
}

#[test]
fn plain_answer_of_the_relay_reset_at_any_place_is_complete_only_at_its_end() {
    walk_relay_everywhere(End::Reset);
}

#[test]
fn plain_answer_of_the_relay_that_falls_silent_is_complete_only_at_its_end() {
    for form in FORMS {
        let places = form.plain(&signed("r-1")).few_places().into_iter();
        let cells = places.map(|place| walk_relay(form, place, End::Silence, SHORT));
        run(join_all(cells));
    }
}

/// Cuts off the answer of whichever server is asked first; the other one answers in full.
async fn walk_second_send(form: Form, place: usize, end: End) {
    let asked = Arc::new(AtomicUsize::new(0));
    let start = || {
        let asked = asked.clone();
        RawServer::start(move |seen, _| {
            let wire = form.plain(&signed(&seen.headers["request-id"]));
            match asked.fetch_add(1, Ordering::SeqCst) {
                0 => wire.cut(place, end),
                _ => wire.cut(wire.bytes.len(), End::Close),
            }
        })
    };
    let servers = [start(), start()];
    let relay = relay_of(&[&servers[0], &servers[1]]).await;
    let reply = ask_relay(&relay, "safe", LONG).await;
    let cell = format!("{form:?} {end:?} behind {place}");
    assert_relayed(&relay, &reply, Some(BODY), &cell);
    assert_eq!(asked.load(Ordering::SeqCst), 2, "{cell}");
}

/// After a break the request is sent again; beside a silent server it is hedged.
#[test]
fn plain_answer_that_breaks_off_is_not_preferred_to_a_second_one_that_is_complete() {
    for (form, end) in FORMS
        .into_iter()
        .flat_map(|form| [End::Close, End::Reset, End::Silence].map(|end| (form, end)))
    {
        let wire = form.plain(&signed("r-1"));
        let places = wire.few_places().into_iter();
        let cut = places.filter(|place| !form.is_complete(&wire, *place, end));
        run(join_all(cut.map(|place| walk_second_send(form, place, end))));
    }
}

/// Lets a relay read the end of an answer in the same step in which it learns that the server is over: everything else
/// waits while both happen, as the test has a single thread.
async fn ask_of_restarted(form: Form) -> (TestRelay, Reply) {
    let script = move |seen: &Seen, _| {
        let wire = form.plain(&signed(&seen.headers["request-id"]));
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
        assert_relayed(&relay, &reply, Some(BODY), &format!("{form:?}"));
    }
}

/// A server that breaks off one answer after the other would otherwise be chosen like any other.
#[tokio::test]
async fn plain_answer_that_breaks_off_in_its_body_counts_against_its_server() {
    for end in [End::Close, End::Reset] {
        let form = Form { version: "HTTP/1.1", framing: Framing::Length };
        let script = move |seen: &Seen, _| {
            let wire = form.plain(&signed(&seen.headers["request-id"]));
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
        let request = hyper::Request::post("/x").header("host", "x");
        let request = request.body(http_body_util::Full::new(bytes::Bytes::new())).unwrap();
        let sent = Pool::default().send(server.addr, request, PATIENCE, Reuse::Never).await;
        assert_eq!(sent.unwrap().framing, framing, "{coding}");
    }
}

const JSON_TYPE: &str = "Content-Type: application/json\r\n";

/// An entry node before one server, which stands for an engine, for a plain service, and for others with other settings.
async fn entry_before(server: &RawServer, plan: BoxPlan) -> Cluster {
    let cluster = Cluster::start(&[plan]).await;
    let services =
        [("e1", "small"), ("e2", "mute"), ("d1", "desk"), ("n1", "notes"), ("q1", "quiet")];
    let servers = services.map(|(id, service)| (id, service, server.addr));
    let settings = "[service notes]\nkind = plain\nrepeatable = true\n\
                    [service quiet]\nkind = plain\nsilence = 1s\n\
                    [service mute]\nkind = engine\nsilence = 1s\n[limits]\nretry_percent = 100\n";
    cluster.apply(&format!("{settings}{}", base_change(&servers))).await;
    cluster.wait_revision("a", 1).await;
    cluster
}

/// Asks a plain service of the entry node.
async fn ask_entry(cluster: &Cluster, service: &str, key: Option<&str>) -> Answer {
    let headers: Vec<_> = key.map(|key| ("idempotency-key", key)).into_iter().collect();
    let path = format!("/services/{service}/x");
    call(cluster.entry_behind("a"), &path, &headers, &json!({})).await.unwrap()
}

fn assert_broken_off(answer: &Answer, cell: &str) {
    assert!(matches!(answer.status.as_u16(), 502 | 504), "{cell}: {}", answer.text());
    assert_eq!(answer.header("emberturn-run"), "unknown", "{cell}");
}

/// Asserts that an answer is given again under its key, and that one that broke off is not: it may have run.
async fn assert_recorded(cluster: &Cluster, service: &str, key: &str, sent: Option<&str>) {
    let again = ask_entry(cluster, service, Some(key)).await;
    match sent {
        Some(sent) => assert_eq!((again.status.as_u16(), &*again.text()), (200, sent), "{key}"),
        None => assert_eq!(again.json()["error"]["code"], "outcome_unknown", "{key}"),
    }
}

/// Walks a plain answer of the entry node that is cut off at a place and by an end.
async fn walk_entry(cluster: &Cluster, server: &RawServer, form: Form, place: usize, end: End) {
    let wire = move || form.plain(JSON_TYPE);
    let is_complete = form.is_complete(&wire(), place, end);
    let whole = wire();
    let sent = is_complete.then(|| form.body_until(&whole, place));
    // Nothing is waited for behind the marked end of an answer.
    let service = if end == End::Silence && !is_complete { "quiet" } else { "desk" };
    let cell = format!("{form:?}-{end:?}-{place}").replace([' ', '"', ':', '/', ','], "");
    // Each silence costs a time-out.
    let keys = [Some(&*cell), None];
    for &key in if end == End::Silence { &keys[..1] } else { &keys } {
        server.follow(move |_, _| wire().cut(place, end));
        let answer = ask_entry(cluster, service, key).await;
        match sent {
            Some(sent) => {
                assert_eq!((answer.status.as_u16(), &*answer.text()), (200, sent), "{cell}")
            }
            None => assert_broken_off(&answer, &cell),
        }
        if let Some(key) = key {
            assert_recorded(cluster, service, key, sent).await;
        }
        // A time-out may pass before the server has read the request.
        server.wait_seen(1).await;
        assert_eq!(server.seen(), 1, "{cell}");
    }
    if end == End::Silence {
        return;
    }
    // A request that may be repeated is answered by the attempt after the one that broke off.
    server.follow(move |_, number| match number {
        0 => wire().cut(place, end),
        _ => FORMS[0].plain(JSON_TYPE).cut(FORMS[0].plain(JSON_TYPE).bytes.len(), End::Close),
    });
    let answer = ask_entry(cluster, "notes", None).await;
    assert_eq!((answer.status.as_u16(), &*answer.text()), (200, sent.unwrap_or(BODY)), "{cell}");
    assert_eq!(server.seen(), if is_complete { 1 } else { 2 }, "{cell}");
}

async fn walk_entry_everywhere(end: End, forms: &[Form]) {
    let server = RawServer::start(|_, _| Written { bytes: Vec::new(), end: End::Close });
    let cluster = entry_before(&server, BoxPlan::replica("a")).await;
    for &form in forms {
        let wire = form.plain(JSON_TYPE);
        let places = if end == End::Silence { wire.few_places() } else { wire.places() };
        for place in places {
            walk_entry(&cluster, &server, form, place, end).await;
        }
    }
}

#[tokio::test]
async fn plain_answer_of_the_entry_closed_at_any_place_is_complete_only_at_its_end() {
    walk_entry_everywhere(End::Close, &FORMS).await;
}

#[tokio::test]
async fn plain_answer_of_the_entry_reset_at_any_place_is_complete_only_at_its_end() {
    walk_entry_everywhere(End::Reset, &FORMS).await;
}

#[parameterized(
    length = { 0 },
    chunks = { 1 },
    neither = { 2 },
    length_by_http_1_0 = { 3 },
    neither_by_http_1_0 = { 4 },
)]
#[test_macro(tokio::test)]
async fn plain_answer_of_the_entry_that_falls_silent_is_complete_only_at_its_end(form: usize) {
    walk_entry_everywhere(End::Silence, &FORMS[form..=form]).await;
}

const TOKENS: usize = 3;

/// The text of the first tokens of a generation.
fn text_of(tokens: usize) -> String {
    (0..tokens).map(|token| format!("t{token} ")).collect()
}

/// The events with which an engine answers a request, from the token that is due on, with this end of a line.
fn generated(form: Form, seen: &Seen, eol: &str) -> Wire {
    let body: Value = serde_json::from_slice(&seen.body).unwrap();
    let first = body["emberturn"]["resume_tokens"].as_u64().unwrap() as usize;
    let tokens = (first..TOKENS).map(|token| {
        let choice = json!({ "index": 0, "text": format!("t{token} ") });
        json!({ "id": body["request_id"], "token": token, "choices": [choice] }).to_string()
    });
    let data = tokens.chain(["[DONE]".to_owned()]);
    let events: Vec<_> = data.map(|data| format!("data: {data}{eol}{eol}")).collect();
    form.write("Content-Type: text/event-stream\r\n", &events)
}

impl Wire {
    /// Places in the head, and in the first and the closing event: two inside it, and each from before its last byte on
    /// to its end; and between the events.
    fn places_of_events(&self, eol: &str) -> Vec<usize> {
        let in_head = [0, self.body_at / 2, self.body_at - 1, self.body_at];
        let of_events =
            [self.pieces[0], self.pieces[TOKENS]].into_iter().flat_map(|(begin, end)| {
                let inside = [begin + 1, begin + 8];
                inside.into_iter().chain(end - 2 * eol.len() - 1..=end)
            });
        let between = self.pieces[1].1;
        in_head.into_iter().chain(of_events).chain([between, self.bytes.len()]).collect()
    }

    /// How many events are complete in so many bytes.
    fn events_until(&self, place: usize) -> usize {
        self.pieces.iter().filter(|(_, end)| *end <= place).count()
    }
}

/// The events of an engine that are cut off at one of their places.
#[derive(Debug, Clone, Copy)]
struct CutEvents {
    form: Form,
    eol: &'static str,
    /// Which of the places.
    place: usize,
    end: End,
}

impl CutEvents {
    fn write(self, seen: &Seen) -> Written {
        let wire = generated(self.form, seen, self.eol);
        wire.cut(wire.places_of_events(self.eol)[self.place], self.end)
    }

    /// The same cut at every place.
    fn at_every_place(self) -> Vec<(Self, usize)> {
        let body =
            json!({ "request_id": AttemptId::random(), "emberturn": { "resume_tokens": 0 } });
        let (line, headers) = (String::new(), HashMap::new());
        let seen = Seen { line, headers, body: body.to_string().into_bytes(), at: Instant::now() };
        let wire = generated(self.form, &seen, self.eol);
        let places = wire.places_of_events(self.eol).into_iter().enumerate();
        let cells = places.map(|(place, at)| (Self { place, ..self }, wire.events_until(at)));
        cells.collect()
    }
}

async fn generate(cluster: &Cluster, model: &str, stream: bool, key: Option<&str>) -> Answer {
    let repeatable = if key.is_some() { "no" } else { "yes" };
    let mut headers = vec![("emberturn-repeatable", repeatable)];
    headers.extend(key.map(|key| ("idempotency-key", key)));
    let body = json!({ "model": model, "prompt": "p", "max_tokens": TOKENS, "stream": stream });
    call(cluster.entry_behind("a"), "/v1/completions", &headers, &body).await.unwrap()
}

/// Asserts that a generation that must not be repeated is told as it came, and given again under its key only if it is
/// complete. So many events of it came.
async fn assert_generated_once(
    cluster: &Cluster,
    model: &str,
    events: usize,
    stream: bool,
    cell: &str,
) {
    let key = format!("{cell}-{stream}").replace(|it: char| !it.is_ascii_alphanumeric(), "-");
    let answer = generate(cluster, model, stream, Some(&key)).await;
    let is_complete = events > TOKENS;
    let tokens = events.min(TOKENS);
    match (is_complete, stream) {
        (true, false) => assert_eq!(answer.json()["choices"][0]["text"], text_of(tokens), "{cell}"),
        (true, true) => assert_eq!(streamed_text(&answer), (text_of(tokens), true), "{cell}"),
        (false, true) if tokens > 0 => {
            assert_eq!(streamed_text(&answer), (text_of(tokens), false), "{cell}");
            assert!(answer.text().contains("event: error"), "{cell}: {}", answer.text());
        }
        (false, _) => assert_broken_off(&answer, cell),
    }
    let again = generate(cluster, model, stream, Some(&key)).await;
    match (is_complete, stream) {
        (true, true) => assert_eq!(streamed_text(&again), streamed_text(&answer), "{cell}"),
        (true, false) => assert_eq!(again.text(), answer.text(), "{cell}"),
        (false, _) => assert_eq!(again.json()["error"]["code"], "outcome_unknown", "{cell}"),
    }
}

async fn walk_generations(end: End, eol: &'static str) {
    let server = RawServer::start(|_, _| Written { bytes: Vec::new(), end: End::Close });
    let cluster = entry_before(&server, BoxPlan::replica("a")).await;
    for form in FORMS {
        for (cut, events) in (CutEvents { form, eol, place: 0, end }).at_every_place() {
            let cell = format!("{cut:?}");
            let kinds = if eol == "\n" { &[true, false][..] } else { &[true] };
            for &stream in kinds {
                server.follow(move |seen, _| cut.write(seen));
                assert_generated_once(&cluster, "small", events, stream, &cell).await;
                assert_eq!(server.seen(), 1, "{cell}");
            }
            // One that may be repeated continues behind the last event that was complete.
            server.follow(move |seen, number| match number {
                0 => cut.write(seen),
                _ => {
                    let wire = generated(FORMS[0], seen, "\n");
                    wire.cut(wire.bytes.len(), End::Close)
                }
            });
            let answer = generate(&cluster, "small", true, None).await;
            assert_eq!(streamed_text(&answer), (text_of(TOKENS), true), "{cell}");
            assert_eq!(server.seen(), if events > TOKENS { 1 } else { 2 }, "{cell}");
        }
    }
}

#[parameterized(
    closed = { End::Close, "\n" },
    closed_with_crlf = { End::Close, "\r\n" },
    reset = { End::Reset, "\n" },
    reset_with_crlf = { End::Reset, "\r\n" },
)]
#[test_macro(tokio::test)]
async fn generation_that_ends_anywhere_is_complete_only_behind_its_closing_event(
    end: End,
    eol: &'static str,
) {
    walk_generations(end, eol).await;
}

#[parameterized(
    length = { 0 },
    chunks = { 1 },
    neither = { 2 },
    length_by_http_1_0 = { 3 },
    neither_by_http_1_0 = { 4 },
)]
#[test_macro(tokio::test)]
async fn generation_that_falls_silent_is_complete_only_behind_its_closing_event(form: usize) {
    let server = RawServer::start(|_, _| Written { bytes: Vec::new(), end: End::Close });
    let cluster = entry_before(&server, BoxPlan::replica("a")).await;
    let cut = CutEvents { form: FORMS[form], eol: "\n", place: 0, end: End::Silence };
    for (cut, events) in cut.at_every_place().into_iter().step_by(3) {
        server.follow(move |seen, _| cut.write(seen));
        let model = if events > TOKENS { "small" } else { "mute" };
        assert_generated_once(&cluster, model, events, true, &format!("{cut:?}")).await;
        // A time-out may pass before the server has read the request.
        server.wait_seen(1).await;
    }
}

/// An engine that writes two events without a length, and closes its connection when it is told to.
fn engine_that_stops() -> RawServer {
    RawServer::start(|seen, _| {
        if seen.line.starts_with("POST /kv/export ") {
            let wire = FORMS[0].write(JSON_TYPE, &["{\"kv\":\"k-1\"}".to_owned()]);
            return wire.cut(wire.bytes.len(), End::Close);
        }
        let wire = generated(FORMS[2], seen, "\n");
        wire.cut(wire.pieces[1].1, End::CloseWhenTold)
    })
}

/// Leaves far earlier than the tokens that are asked for would be generated.
const LEAVING: &str = "{\"running\":1,\"waiting\":0,\"leaving_ms\":2000}";

/// Asks for a generation whose engine leaves meanwhile, and has the engine close its connection then.
async fn ask_while_leaving(
    cluster: &Cluster,
    engine: &RawServer,
    repeatable: &str,
    leave: impl AsyncFnOnce(),
) -> Answer {
    let headers = [("emberturn-repeatable", repeatable)];
    let body = json!({ "model": "small", "prompt": "p", "max_tokens": 20_000, "stream": true });
    let leaving = async {
        engine.wait_seen(1).await;
        leave().await;
        engine.tell();
    };
    tokio::join!(cluster.complete("a", &headers, &body), leaving).0
}

/// The close of a stream that was asked for its KV cache must not pass for its end.
#[tokio::test]
async fn generation_whose_engine_closes_it_to_be_moved_continues_elsewhere() {
    let first = engine_that_stops();
    let cluster = entry_before(&first, BoxPlan::replica("a")).await;
    let kv = Arc::new(Mutex::new(Value::Null));
    let held = kv.clone();
    let second = RawServer::start(move |seen, _| {
        let body: Value = serde_json::from_slice(&seen.body).unwrap();
        *held.lock().unwrap() = body["emberturn"]["kv"].clone();
        let wire = generated(FORMS[2], seen, "\n");
        wire.cut(wire.bytes.len(), End::Close)
    });
    let leave = async || {
        cluster.apply(&support::backend_section("e9", "small", second.addr)).await;
        first.report_load(LEAVING);
        first.wait_seen(2).await;
    };
    let answer = ask_while_leaving(&cluster, &first, "yes", leave).await;
    assert_eq!(streamed_text(&answer), (text_of(TOKENS), true));
    assert_eq!(*kv.lock().unwrap(), "k-1");
}

#[tokio::test]
async fn generation_closed_by_a_leaving_engine_is_not_complete_if_it_must_not_be_repeated() {
    let engine = engine_that_stops();
    let cluster = entry_before(&engine, BoxPlan::replica("a")).await;
    let leave = async || {
        engine.report_load(LEAVING);
        let line = ["event=backend_news", "backend_server=e1"];
        cluster.boxes["a"].log.wait_from(0, &line).await;
    };
    let answer = ask_while_leaving(&cluster, &engine, "no", leave).await;
    assert_eq!(streamed_text(&answer), (text_of(2), false));
    assert!(answer.text().contains("event: error"), "{}", answer.text());
}

/// Asks for a plain answer under a key. Before its connection closes the node learns which incarnation of the server
/// there is; it knew `before`.
async fn ask_entry_of_restarted(form: Form, before: Option<u64>) -> Answer {
    let (platform, watched) = Platform::start().await.unwrap();
    let watching = format!("[platform]\naddr = {watched}\npoll = 20ms\n");
    let server = RawServer::start(move |_, _| {
        let wire = form.plain(JSON_TYPE);
        wire.cut(wire.bytes.len(), End::CloseWhenTold)
    });
    let cluster = entry_before(&server, BoxPlan::replica("a").extra(&watching)).await;
    let list = async |life: u64| {
        platform.list("d1", "live", life, 0);
        let line = ["event=backend_news", "backend_server=d1", &format!("life={life} ")];
        cluster.boxes["a"].log.wait_from(0, &line).await;
    };
    if let Some(life) = before {
        list(life).await;
    }
    let restart = async {
        server.wait_seen(1).await;
        list(8).await;
        server.tell();
    };
    let (answer, ()) = tokio::join!(ask_entry(&cluster, "desk", Some("k-1")), restart);
    let sent = (answer.status == 200).then_some(BODY);
    assert_recorded(&cluster, "desk", "k-1", sent).await;
    answer
}

#[tokio::test]
async fn plain_answer_of_the_entry_without_length_whose_server_has_restarted_is_not_complete() {
    for version in ["HTTP/1.1", "HTTP/1.0"] {
        let form = Form { version, framing: Framing::Close };
        assert_broken_off(&ask_entry_of_restarted(form, Some(7)).await, version);
    }
}

#[tokio::test]
async fn plain_answer_of_the_entry_is_complete_if_no_restart_is_known_or_its_end_is_marked() {
    let unmarked = Form { version: "HTTP/1.1", framing: Framing::Close };
    let marked = FORMS.into_iter().filter(|form| form.framing != Framing::Close);
    let marked = marked.map(|form| (form, Some(7)));
    for (form, before) in marked.chain([(unmarked, None)]) {
        let answer = ask_entry_of_restarted(form, before).await;
        assert_eq!((answer.status.as_u16(), &*answer.text()), (200, BODY), "{form:?}");
    }
}
