//! Tests a relay with large bodies, slow callers, and more connections than it can hold.

#[path = "support/platform.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod platform;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use emberturn::backend::{IDLE_TOTAL, Pool, Reuse};
use emberturn::decide::memory::Purpose;
use futures_util::future::join_all;
use http_body_util::Full;
use hyper::Request;
use platform::{
    Act, PATIENCE, Reply, StandIn, TestRelay, document, large_event, until, usual_routes,
};
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

const BODY: usize = 4 << 20;

/// The usual document with a body limit of 4 MB.
fn large_bodies() -> Value {
    let mut value = document(1, &usual_routes());
    value["limits"]["max_body_bytes"] = BODY.into();
    value
}

async fn relay_with(extra: &str, value: &Value, servers: &[&StandIn]) -> TestRelay {
    let relay = TestRelay::empty_with(extra).await;
    relay.publish(value);
    relay.list(servers);
    relay
}

fn head(route: &str, headers: &str) -> String {
    format!(
        "POST /{route}/x HTTP/1.1\r\nHost: app.example\r\nRequest-Id: r-1\r\nApi-Key: key-a\r\n{headers}\r\n"
    )
}

/// Reads until the connection is closed.
async fn rest(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    let reading = stream.read_to_end(&mut answer);
    let _ = tokio::time::timeout(PATIENCE, reading).await.expect("not closed in time");
    String::from_utf8_lossy(&answer).into_owned()
}

/// Writes a whole request before reading anything of the answer.
async fn send_whole(relay: &TestRelay, body: &[u8]) -> Reply {
    let mut stream = TcpStream::connect(relay.addr).await.unwrap();
    let length = body.len();
    let head = head("once", &format!("Content-Length: {length}\r\nConnection: close\r\n"));
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(body).await.expect("connection closed during the write");
    Reply::parse(&rest(&mut stream).await)
}

/// Writes a request while reading the answer. Stops writing once the answer is complete.
async fn send(relay: &TestRelay, body: &[u8]) -> Reply {
    let mut stream = TcpStream::connect(relay.addr).await.unwrap();
    let length = body.len();
    let head = head("once", &format!("Content-Length: {length}\r\nConnection: close\r\n"));
    let (mut reading, mut writing) = stream.split();
    let writing = async {
        let _ = writing.write_all(head.as_bytes()).await;
        let _ = writing.write_all(body).await;
        std::future::pending::<()>().await;
    };
    let mut answer = Vec::new();
    let answered = async {
        loop {
            let reply = Reply::parse(&String::from_utf8_lossy(&answer));
            if reply.whole || reading.read_buf(&mut answer).await.unwrap_or(0) == 0 {
                return reply;
            }
        }
    };
    let answered = tokio::time::timeout(PATIENCE, answered);
    tokio::select! {
        () = writing => unreachable!(),
        reply = answered => reply.expect("no answer in time"),
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_beyond_the_memory_are_refused_in_truth_and_the_others_served() {
    let server = StandIn::start("i-1", &[Act::Answer]).await;
    let relay = relay_with("memory = 160MB\n", &large_bodies(), &[&server]).await;
    let body = vec![b'x'; BODY];
    let replies = join_all((0..200).map(|_| send(&relay, &body))).await;
    let refused: Vec<_> = replies.iter().filter(|reply| reply.status == 503).collect();
    let served = replies.iter().filter(|reply| reply.status == 200 && reply.whole).count();
    assert_eq!(
        served + refused.len(),
        200,
        "{:?}",
        replies.iter().map(|it| it.status).collect::<Vec<_>>()
    );
    assert!(served > 0 && !refused.is_empty(), "{served} served");
    assert_eq!(server.seen().len(), served);
    let said = |reply: &&Reply| reply.whole && reply.headers.contains_key("retry-after");
    assert!(refused.iter().all(said) && refused.iter().all(|it| it.body.contains("no_memory")));
    assert!(relay.relay.memory.peak() <= relay.relay.memory.size());
    until("all memory is released", || relay.relay.memory.reserved_for(Purpose::Bodies) == 0).await;
}

#[tokio::test]
async fn body_length_is_reserved_ahead_and_released_when_the_caller_leaves() {
    let server = StandIn::start("i-1", &[Act::Answer]).await;
    let relay = relay_with("", &large_bodies(), &[&server]).await;
    let mut stream = TcpStream::connect(relay.addr).await.unwrap();
    let text = head("once", &format!("Content-Length: {BODY}\r\n"));
    stream.write_all(text.as_bytes()).await.unwrap();
    let memory = &relay.relay.memory;
    until("memory is reserved", || memory.reserved_for(Purpose::Bodies) >= BODY as u64).await;
    drop(stream);
    until("all memory is released", || memory.reserved() == 0).await;
    assert!(server.seen().is_empty());
}

#[tokio::test]
async fn body_of_no_end_is_refused_at_the_limit() {
    let server = StandIn::start("i-1", &[Act::Answer]).await;
    let relay = relay_with("", &document(1, &usual_routes()), &[&server]).await;
    let mut stream = TcpStream::connect(relay.addr).await.unwrap();
    let text = head("once", "Transfer-Encoding: chunked\r\n");
    stream.write_all(text.as_bytes()).await.unwrap();
    let piece = format!("4000\r\n{}\r\n", "x".repeat(0x4000));
    let (mut reading, mut writing) = stream.split();
    let endless = async {
        while writing.write_all(piece.as_bytes()).await.is_ok() {}
        std::future::pending::<()>().await;
    };
    let mut answer = [0; 12];
    tokio::select! {
        () = endless => {}
        read = reading.read_exact(&mut answer) => { read.unwrap(); }
    }
    assert_eq!(&answer, b"HTTP/1.1 413");
    assert!(server.seen().is_empty());
}

#[tokio::test]
async fn body_that_cannot_arrive_in_time_is_refused_before_its_time_is_over() {
    let server = StandIn::start("i-1", &[Act::Answer]).await;
    let relay = relay_with("", &large_bodies(), &[&server]).await;
    let mut stream = TcpStream::connect(relay.addr).await.unwrap();
    let text = head("once", &format!("Deadline-Ms: 2000\r\nContent-Length: {BODY}\r\n"));
    stream.write_all(text.as_bytes()).await.unwrap();
    stream.write_all(b"a first piece").await.unwrap();
    let reply = Reply::parse(&rest(&mut stream).await);
    assert_eq!(reply.status, 408, "{reply:?}");
    assert!(reply.body.contains("cannot arrive in time"), "{reply:?}");
    assert!(server.seen().is_empty());
    until("all memory is released", || relay.relay.memory.reserved() == 0).await;
}

#[tokio::test]
async fn head_that_trickles_is_held_to_the_operators_time() {
    let mut value = document(1, &usual_routes());
    value["limits"]["header_timeout_ms"] = 300.into();
    let relay = relay_with("", &value, &[]).await;
    let mut stream = TcpStream::connect(relay.addr).await.unwrap();
    stream.write_all(b"POST /once/x HTTP/1.1\r\nHost: app.exam").await.unwrap();
    assert_eq!(rest(&mut stream).await, "");
}

#[tokio::test]
async fn connection_that_stays_silent_is_closed() {
    let mut value = document(1, &usual_routes());
    value["limits"]["header_timeout_ms"] = 300.into();
    let relay = relay_with("", &value, &[]).await;
    let mut stream = TcpStream::connect(relay.addr).await.unwrap();
    assert_eq!(rest(&mut stream).await, "");
    until("its slot is free", || relay.relay.gate.counts() == (0, 0)).await;
}

#[tokio::test]
async fn idle_connection_is_not_subject_to_the_head_timeout() {
    let server = StandIn::start("i-1", &[Act::Answer]).await;
    let mut value = document(1, &usual_routes());
    value["limits"]["header_timeout_ms"] = 500.into();
    let relay = relay_with("", &value, &[&server]).await;
    let mut stream = TcpStream::connect(relay.addr).await.unwrap();
    ask_on(&mut stream).await;
    // Wait until a silent connection is closed, so that the time limit for a head has passed.
    rest(&mut TcpStream::connect(relay.addr).await.unwrap()).await;
    ask_on(&mut stream).await;
}

/// Sends a request on a connection that stays open.
async fn ask_on(stream: &mut TcpStream) {
    let text = head("once", "Content-Length: 0\r\n");
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    while !answer.ends_with(b"\r\n\r\nanswer") {
        assert_ne!(stream.read_buf(&mut answer).await.unwrap(), 0, "closed");
    }
}

#[tokio::test]
async fn longest_idle_connection_is_closed_when_slots_run_out() {
    let server = StandIn::start("i-1", &[Act::Answer]).await;
    // Slots for 56 callers.
    let relay = relay_with("descriptors = 1024\n", &document(1, &usual_routes()), &[&server]).await;
    let mut streams = Vec::new();
    for _ in 0..56 {
        let mut stream = TcpStream::connect(relay.addr).await.unwrap();
        ask_on(&mut stream).await;
        streams.push(stream);
    }
    until("all are idle", || relay.relay.gate.counts() == (56, 56)).await;
    ask_on(&mut streams[0]).await;
    until("all are idle", || relay.relay.gate.counts() == (56, 56)).await;
    ask_on(&mut TcpStream::connect(relay.addr).await.unwrap()).await;
    assert_eq!(rest(&mut streams[1]).await, "");
    ask_on(&mut streams[0]).await;
    ask_on(&mut streams[2]).await;
}

#[tokio::test]
async fn idle_connections_are_closed_under_memory_pressure() {
    let server = StandIn::start("i-1", &[Act::Answer]).await;
    let relay = relay_with("memory = 32MB\n", &large_bodies(), &[&server]).await;
    let mut idle = TcpStream::connect(relay.addr).await.unwrap();
    ask_on(&mut idle).await;
    let relay = Arc::new(relay);
    let mut held = Vec::new();
    while !relay.relay.memory.is_under_pressure() {
        let mut stream = TcpStream::connect(relay.addr).await.unwrap();
        let text = head("once", "Content-Length: 1000000\r\n");
        stream.write_all(text.as_bytes()).await.unwrap();
        held.push(stream);
        let memory = relay.relay.memory.clone();
        let wanted = held.len() as u64 * 1_000_000;
        until("memory is reserved", || memory.reserved_for(Purpose::Bodies) >= wanted).await;
    }
    relay.ask("POST", "once").await;
    assert_eq!(rest(&mut idle).await, "");
}

#[tokio::test]
async fn refused_caller_that_writes_all_before_it_reads_has_its_refusal() {
    let server = StandIn::start("i-1", &[Act::Answer]).await;
    let relay = relay_with("memory = 32MB\n", &large_bodies(), &[&server]).await;
    let mut held = TcpStream::connect(relay.addr).await.unwrap();
    let text = head("once", "Content-Length: 3000000\r\n");
    held.write_all(text.as_bytes()).await.unwrap();
    let memory = &relay.relay.memory;
    until("memory is reserved", || memory.reserved_for(Purpose::Bodies) >= 3_000_000).await;
    let reply = send_whole(&relay, &vec![b'x'; BODY]).await;
    assert_eq!((reply.status, reply.whole), (503, true), "{reply:?}");
    assert!(reply.headers.contains_key("retry-after"));
    assert!(server.seen().is_empty());
}

/// Sends a request on a connection with a minimal receive buffer, and reads the given number of bytes.
async fn ask_and_stop(relay: &TestRelay, route: &str, bytes: usize) -> (TcpStream, Vec<u8>) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4 << 10).unwrap();
    let mut stream = socket.connect(relay.addr).await.unwrap();
    let text = head(route, "Deadline-Ms: 60000\r\nContent-Length: 0\r\n");
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut received = vec![0; bytes];
    stream.read_exact(&mut received).await.unwrap();
    (stream, received)
}

/// The usual document with routes whose time limit exceeds the duration of any test.
fn patient() -> Value {
    let mut value = document(1, &usual_routes());
    for route in value["routes"].as_array_mut().unwrap() {
        route["timeout_ms"] = 60_000.into();
    }
    value
}

fn in_flight(relay: &TestRelay) -> u32 {
    let servers = relay.relay.servers.for_service(&"svc".parse().unwrap());
    servers.iter().map(|known| known.state.in_flight()).sum()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_is_read_to_its_end_while_its_caller_takes_nothing() {
    // More than the sockets buffer, less than the relay buffers for one answer.
    let server = StandIn::start("i-1", &[Act::Large(2_500, 100)]).await;
    let relay = TestRelay::start(&[&server]).await;
    let (_stream, _) = ask_and_stop(&relay, "stream", 100).await;
    until("the engine is free", || in_flight(&relay) == 0).await;
    let kept = relay.relay.memory.reserved_for(Purpose::Answers);
    assert!(kept > 0 && !relay.has_counted("caller_slow"), "{kept}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn caller_that_takes_nothing_is_let_go_and_its_engine_told() {
    let mut server = StandIn::start("i-1", &[Act::Large(u64::MAX, 100)]).await;
    let relay = TestRelay::start(&[&server]).await;
    let (mut stream, _) = ask_and_stop(&relay, "stream", 100).await;
    server.wait_gone(1).await;
    assert!(relay.has_counted("caller_slow"));
    assert!(!rest(&mut stream).await.ends_with("0\r\n\r\n"));
    until("all memory is released", || relay.relay.memory.reserved() == 0).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn caller_that_leaves_in_mid_stream_frees_its_engine() {
    let mut server = StandIn::start("i-1", &[Act::Large(u64::MAX, 100)]).await;
    let relay = relay_with("", &patient(), &[&server]).await;
    let (stream, _) = ask_and_stop(&relay, "stream", 100).await;
    drop(stream);
    server.wait_gone(1).await;
    assert!(!relay.has_counted("caller_slow"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn caller_that_was_let_go_takes_its_stream_up_behind_its_last_event() {
    let last = 20_000;
    let server = StandIn::start("i-1", &[Act::Large(last, 100)]).await;
    let relay = TestRelay::start(&[&server]).await;
    let (mut stream, received) = ask_and_stop(&relay, "resumable", 4_000).await;
    until("the caller is disconnected", || relay.has_counted("caller_slow")).await;
    let received = String::from_utf8(received).unwrap();
    let text = format!("{received}{}", rest(&mut stream).await);
    let reply = Reply::parse(&text);
    assert!(!reply.whole);
    let had = reply.body.matches("\n\n").count() as u64;
    assert!(had > 0 && had < last, "{had}");
    let headers = format!("Api-Key: key-a\r\nLast-Event-Id: {had}\r\n");
    let again = relay.ask_with("POST", "resumable", &headers).await;
    let missing: String = (had + 1..=last).map(|number| large_event(number, 100)).collect();
    assert!(again.whole && again.body == missing);
}

/// Reads one kilobyte per second until the other side closes the connection.
async fn trickle(relay: &TestRelay, started: &AtomicUsize) {
    let (mut stream, _) = ask_and_stop(relay, "stream", 100).await;
    started.fetch_add(1, Ordering::SeqCst);
    let mut piece = [0; 100];
    while stream.read(&mut piece).await.is_ok_and(|read| read > 0) {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Runs slow callers next to normal ones: half of the slow callers read nothing, the other half one kilobyte
/// per second. The box shuts down meanwhile.
async fn slow_callers_beside_others(slow: usize, others: usize, memory: &str) {
    let slow_server = StandIn::start("i-1", &[Act::Large(u64::MAX, 1_000)]).await;
    let server = StandIn::start("i-2", &[Act::Large(1_000, 100)]).await;
    let mut value = patient();
    let mut quick = platform::route("quick", "streaming", 1);
    quick["service"] = "svc-2".into();
    quick["timeout_ms"] = 60_000.into();
    value["routes"].as_array_mut().unwrap().push(quick);
    let mut service = value["services"][0].clone();
    service["name"] = "svc-2".into();
    value["services"].as_array_mut().unwrap().push(service);
    let mut team = value["tenants"][0].clone();
    (team["name"], team["api_keys"]) = ("team-b".into(), serde_json::json!(["key-b"]));
    value["tenants"].as_array_mut().unwrap().push(team);
    let extra = format!("memory = {memory}\ndescriptors = 8000\nrevoke_time = 60s\n");
    let relay = Arc::new(TestRelay::empty_with(&extra).await);
    relay.publish(&value);
    relay.list_as(vec![slow_server.listed("svc"), server.listed("svc-2")]);
    let started = Arc::new(AtomicUsize::new(0));
    for _ in 0..slow / 2 {
        let (relay, started) = (relay.clone(), started.clone());
        tokio::spawn(async move { trickle(&relay, &started).await });
    }
    let silent = (0..slow - slow / 2).map(|_| ask_and_stop(&relay, "stream", 100));
    let _held = join_all(silent).await;
    until("all have started", || started.load(Ordering::SeqCst) == slow / 2).await;
    // The other callers have a long deadline: on a busy machine, eight seconds are too short for all of
    // their answers.
    let text = head("quick", "Deadline-Ms: 60000\r\nContent-Length: 0\r\nConnection: close\r\n");
    let text = text.replace("key-a", "key-b");
    let ask = async || Reply::parse(&relay.raw(&text).await);
    // No leader renews the allowances, which expire after 5.9 s.
    relay.allow(1e9);
    let first = join_all((0..others).map(|_| ask())).await;
    let refused = first.iter().filter(|reply| !reply.whole || reply.status != 200);
    assert_eq!(refused.count(), 0, "{first:?}");
    relay.allow(1e9);
    let last = join_all((0..others).map(|_| ask()));
    let closing = async {
        until("the requests are in progress", || server.seen().len() >= 2 * others).await;
        relay.close();
    };
    let (last, ()) = tokio::join!(last, closing);
    let whole: String = (1..=1_000).map(|number| large_event(number, 100)).collect();
    assert!(first.iter().chain(&last).all(|reply| reply.whole && reply.body == whole));
    until("slow callers are disconnected", || relay.has_counted("caller_slow")).await;
    until("all memory is released", || relay.relay.memory.reserved() == 0).await;
    let memory = &relay.relay.memory;
    assert!(memory.peak() <= memory.size());
    println!(
        "{slow} slow callers, {} requests at the engine: peak of {} of {} bytes reserved",
        slow_server.seen().len(),
        memory.peak(),
        memory.size(),
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_callers_cost_the_others_nothing_while_the_box_closes() {
    slow_callers_beside_others(200, 50, "64MB").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
#[ignore = "thousands of connections, run manually"]
async fn thousands_of_slow_callers_do_not_affect_others() {
    slow_callers_beside_others(2_000, 50, "160MB").await;
}

#[tokio::test]
async fn engine_that_would_be_filled_beyond_its_memory_is_passed_over() {
    let mut value = document(1, &usual_routes());
    value["services"][0]["engine"]["kv_capacity_tokens"] = 12_000.into();
    let mut first = StandIn::start("i-1", &[Act::UntilMoved(2)]).await;
    let mut second = StandIn::start("i-2", &[Act::UntilMoved(2)]).await;
    let relay = relay_with("", &value, &[&first]).await;
    // The first engine has the shared prefix cached and would be preferred if it had memory left.
    let headers =
        "Token-Usage: 5000,4000\r\nPrompt-Prefix: aa:4900,bb:100\r\nContent-Length: 0\r\n";
    let text = head("stream", headers);
    let ask = async || {
        let mut stream = TcpStream::connect(relay.addr).await.unwrap();
        stream.write_all(text.as_bytes()).await.unwrap();
        stream.read_exact(&mut [0; 12]).await.unwrap();
        stream
    };
    let _one = ask().await;
    first.wait_seen(1).await;
    relay.list(&[&first, &second]);
    let _two = ask().await;
    second.wait_seen(1).await;
    // Neither engine has memory left, so the third request is sent all the same.
    let _three = ask().await;
    assert_eq!(first.seen().len() + second.seen().len(), 3);
}

#[tokio::test]
async fn idle_server_connections_are_bounded_in_total() {
    let servers = join_all((0..12).map(|_| StandIn::start("i-1", &[Act::Answer]))).await;
    let pool = Pool::default();
    let addrs = servers.iter().flat_map(|server| std::iter::repeat_n(server.addr, 50));
    let sends = addrs.map(|addr| {
        let request = Request::get("/x").header("host", "x").body(Full::default()).unwrap();
        pool.send(addr, request, PATIENCE, Reuse::Any)
    });
    // Each request has its own connection until its answer is read.
    let exchanges = join_all(sends).await;
    assert_eq!(pool.idle(), 0);
    let reads = exchanges.into_iter().map(|exchange| exchange.unwrap().read_whole(64, PATIENCE));
    join_all(reads).await;
    assert_eq!(pool.idle(), IDLE_TOTAL);
}
