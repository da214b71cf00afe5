//! Every bad input has a clear answer, nothing of it runs, and the node goes on.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use emberturn_fakes::engine::{Engine, Options};
use emberturn_fakes::http::{self, Answer};
use emberturn_fakes::tokens;
use http_body_util::Full;
use hyper::Request;
use support::{BoxPlan, Cluster, KEY, base_change, prompt, streamed_text};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Method, path, headers, body; the status and code of the answer.
type Case<'a> = (&'a str, &'a str, Vec<(&'a str, &'a str)>, &'a str, u16, &'a str);

async fn one_box(extra: &str) -> (Engine, Cluster) {
    let (engine, addr) = Engine::start(Options::default()).await.unwrap();
    let cluster = Cluster::start(&[BoxPlan::replica("a").extra(extra)]).await;
    cluster.apply(&base_change(&[("e1", "small", addr)])).await;
    cluster.wait_revision("a", 1).await;
    (engine, cluster)
}

async fn send(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Answer {
    let mut builder = Request::builder().method(method).uri(path).header("host", "x");
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    let request = builder.body(Full::new(Bytes::from(body.to_owned()))).unwrap();
    http::call(addr, request).await.unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn each_bad_request_has_its_answer_and_nothing_runs() {
    let (engine, cluster) = one_box("body_limit = 4096\n").await;
    let bearer = format!("Bearer {KEY}");
    let auth = ("authorization", bearer.as_str());
    let good = r#"{"model":"small","prompt":"x","max_tokens":2}"#;
    let path = "/v1/completions";
    let long = format!(r#"{{"model":"small","prompt":"{}"}}"#, "x".repeat(5000));
    let long_key = "k".repeat(300);
    let cases: Vec<Case> = vec![
        ("POST", path, vec![auth], "{", 400, "bad_request"),
        ("POST", path, vec![auth], "[]", 400, "bad_request"),
        ("POST", path, vec![auth], r#"{"prompt":"x"}"#, 400, "bad_request"),
        ("POST", path, vec![auth], r#"{"model":"no space"}"#, 400, "bad_request"),
        ("POST", path, vec![auth], r#"{"model":"small"}"#, 400, "bad_request"),
        ("POST", path, vec![auth], r#"{"model":"small","prompt":7}"#, 400, "bad_request"),
        (
            "POST",
            path,
            vec![auth],
            r#"{"model":"small","prompt":"x","max_tokens":0}"#,
            400,
            "bad_request",
        ),
        (
            "POST",
            path,
            vec![auth],
            r#"{"model":"small","prompt":"x","max_tokens":"2"}"#,
            400,
            "bad_request",
        ),
        (
            "POST",
            path,
            vec![auth],
            r#"{"model":"small","prompt":"x","stream":1}"#,
            400,
            "bad_request",
        ),
        ("POST", path, vec![auth], r#"{"model":"small","prompt":"x","n":2}"#, 400, "bad_request"),
        ("POST", "/v1/chat/completions", vec![auth], good, 400, "bad_request"),
        (
            "POST",
            "/v1/chat/completions",
            vec![auth],
            r#"{"model":"small","messages":[{"content":1}]}"#,
            400,
            "bad_request",
        ),
        ("POST", path, vec![auth], r#"{"model":"large","prompt":"x"}"#, 404, "not_found"),
        ("POST", path, vec![auth], &long, 413, "too_large"),
        ("POST", path, vec![], good, 401, "unknown_key"),
        ("POST", path, vec![("authorization", "Bearer wrong")], good, 401, "unknown_key"),
        ("POST", path, vec![("authorization", "Basic abc")], good, 400, "bad_request"),
        ("POST", path, vec![auth, ("emberturn-deadline-ms", "soon")], good, 400, "bad_request"),
        ("POST", path, vec![auth, ("emberturn-repeatable", "maybe")], good, 400, "bad_request"),
        ("POST", path, vec![auth, ("idempotency-key", &long_key)], good, 400, "bad_request"),
        ("GET", path, vec![auth], "", 405, "bad_method"),
        ("POST", "/v1/embeddings", vec![auth], good, 404, "not_found"),
        ("POST", "/services/nowhere/x", vec![auth], good, 404, "not_found"),
        ("POST", "/services/small/x", vec![auth], good, 404, "not_found"),
        ("GET", "/kept/xyz", vec![auth], "", 404, "not_found"),
        (
            "POST",
            path,
            vec![auth, ("emberturn-deadline-ms", "0")],
            good,
            503,
            "deadline_unreachable",
        ),
    ];
    for (method, path, headers, body, status, code) in &cases {
        let answer = send(cluster.entry("a"), method, path, headers, body).await;
        let shown: String = body.chars().take(60).collect();
        assert_eq!(answer.status.as_u16(), *status, "{method} {path} {shown}: {}", answer.text());
        assert_eq!(answer.json()["error"]["code"], *code, "{method} {path} {shown}");
        assert_eq!(answer.header("emberturn-run"), "not_run", "{method} {path} {shown}");
    }
    assert_eq!(engine.runs().len(), 0);
    let answer = cluster.complete("a", &[], &prompt("x", 2, false)).await;
    assert_eq!(answer.json()["choices"][0]["text"], tokens::answer("x", 2));
}

/// Sends raw bytes and reads until the node closes.
async fn raw(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut read = Vec::new();
    let reading = tokio::time::timeout(support::PATIENCE, stream.read_to_end(&mut read)).await;
    let _ = reading.expect("the node closes");
    String::from_utf8_lossy(&read).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_huge_and_malformed_callers_are_answered_and_closed() {
    let (engine, cluster) =
        one_box("head_time = 200ms\nbody_time = 200ms\nhead_limit = 8192\n").await;
    let addr = cluster.entry("a");
    let head = raw(addr, b"POST /v1/completions HTTP/1.1\r\nhost:").await;
    assert!(head.is_empty() || head.starts_with("HTTP/1.1 408"), "{head}");
    let slow = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         connection: close\r\ncontent-length: 50\r\n\r\n{{\"model\""
    );
    let slow = raw(addr, slow.as_bytes()).await;
    assert!(slow.starts_with("HTTP/1.1 408") && slow.contains("slow_caller"), "{slow}");
    assert!(slow.contains("emberturn-run: not_run"), "{slow}");
    let huge = format!("GET / HTTP/1.1\r\nhost: x\r\nlong: {}\r\n\r\n", "x".repeat(20_000));
    let huge = raw(addr, huge.as_bytes()).await;
    assert!(huge.is_empty() || huge.starts_with("HTTP/1.1 431"), "{huge}");
    let garbage = raw(addr, b"\x16\x03\x01 not http\r\n\r\n").await;
    assert!(garbage.is_empty() || garbage.starts_with("HTTP/1.1 400"), "{garbage}");
    assert_eq!(engine.runs().len(), 0);
    let answer = cluster.complete("a", &[], &prompt("x", 2, false)).await;
    assert_eq!(answer.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_beyond_the_limit_are_told_that_nothing_ran() {
    let (_engine, cluster) = one_box("callers = 3\n").await;
    let addr = cluster.entry("a");
    let mut held = Vec::new();
    for _ in 0..3 {
        let mut stream = TcpStream::connect(addr).await.unwrap();
        stream.write_all(b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n").await.unwrap();
        let mut byte = [0];
        stream.read_exact(&mut byte).await.unwrap();
        held.push(stream);
    }
    let answer = cluster.complete("a", &[], &prompt("x", 2, false)).await;
    assert_eq!(answer.json()["error"]["code"], "too_many_callers");
    assert_eq!(answer.header("emberturn-run"), "not_run");
    drop(held);
    support::wait_for("room again", || async {
        let answer = cluster.try_complete("a", &[], &prompt("x", 2, false)).await.ok()?;
        (answer.status == 200).then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn team_limits_refuse_at_once_and_are_given_back() {
    let options = Options { decode: Duration::from_millis(5), ..Options::default() };
    let (engine, addr) = Engine::start(options).await.unwrap();
    let cluster = Cluster::start(&[BoxPlan::replica("a")]).await;
    let mut change = base_change(&[("e1", "small", addr)]);
    // One box: 2 requests are its own without asking, 2 more may be leased; of 40,000 tokens likewise.
    change +=
        "[limits]\nentry_boxes = 1\n[team tight]\nkey = tight\nconcurrent = 4\nbudget = 40000\n";
    cluster.apply(&change).await;
    cluster.wait_revision("a", 1).await;
    let tight = [("authorization", "Bearer tight")];
    let ask = |tokens: usize| {
        let addr = cluster.entry("a");
        async move {
            let body = prompt("q", tokens, false).to_string();
            send(addr, "POST", "/v1/completions", &tight, &body).await
        }
    };
    let large = ask(50_000).await;
    assert_eq!(large.json()["error"]["code"], "budget_limit");
    assert_eq!(large.header("emberturn-run"), "not_run");
    let answers = futures_util::future::join_all((0..24).map(|_| ask(60))).await;
    let refused = answers.iter().filter(|answer| answer.status == 429);
    for answer in refused.clone() {
        assert_eq!(answer.json()["error"]["code"], "concurrency_limit");
        assert_eq!(answer.header("emberturn-run"), "not_run");
    }
    let done = answers.iter().filter(|answer| answer.status == 200).count();
    assert_eq!(refused.count() + done, 24);
    assert!(done >= 2 && engine.counters().peak <= 4, "{done} done, {:?}", engine.counters());
    assert_eq!(ask(1).await.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn chat_is_streamed_and_whole() {
    let (_engine, cluster) = one_box("").await;
    let body = serde_json::json!({
        "model": "small", "max_tokens": 9,
        "messages": [{ "role": "system", "content": "be brief" }, { "role": "user", "content": "hi" }],
    });
    let answer =
        support::call(cluster.entry("a"), "/v1/chat/completions", &[], &body).await.unwrap();
    let text = tokens::answer("be brief\nhi", 9);
    assert_eq!(answer.json()["choices"][0]["message"]["content"], text);
    assert_eq!(answer.json()["usage"]["completion_tokens"], 9);
    let mut streamed = body.clone();
    streamed["stream"] = true.into();
    let answer =
        support::call(cluster.entry("a"), "/v1/chat/completions", &[], &streamed).await.unwrap();
    assert!(streamed_text(&answer).1);
    let pieces: String = answer
        .text()
        .lines()
        .filter_map(|line| line.strip_prefix("data: {").map(|rest| format!("{{{rest}")))
        .map(|line| {
            let value: serde_json::Value = serde_json::from_str(&line).unwrap();
            value["choices"][0]["delta"]["content"].as_str().unwrap().to_owned()
        })
        .collect();
    assert_eq!(pieces, text);
}
