//! What an entry node adds to a direct connection to the same engine, in the same run.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use emberturn_fakes::cluster::{BoxPlan, Cluster, KEY, base_change};
use emberturn_fakes::engine::{Engine, Options};
use emberturn_fakes::http;
use eyre::{Result, ensure};
use http_body_util::BodyExt;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::process::{cpu_time, resident_kib};
use crate::report::{Table, Times, one, three};

/// What to measure with.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct Arguments {
    /// Requests a second
    #[bpaf(argument("N"), fallback(200.0), display_fallback)]
    rate: f64,
    /// Seconds of each part
    #[bpaf(argument("S"), fallback(10), display_fallback)]
    seconds: u64,
    /// Print JSON
    json: bool,
}

/// Tokens of a short and of a long answer, for the slope per token.
const SHORT: usize = 16;
const LONG: usize = 256;

/// Connections opened for the memory of one.
const CONNECTIONS: usize = 1_000;

/// Streams opened for the memory of one.
const STREAMS: usize = 500;

/// Measures and prints.
pub(crate) async fn execute(arguments: Arguments) -> Result<()> {
    let quick = Duration::from_micros(200);
    let options =
        Options { slots: 4_096, prefill: Duration::ZERO, decode: quick, ..Options::default() };
    let (_engine, engine) = Engine::start(options).await?;
    let slow = Options { slots: 4_096, decode: Duration::from_secs(2), ..Options::default() };
    let (_slow, slow) = Engine::start(slow).await?;
    let cluster = Cluster::start(&[BoxPlan::replica("a")]).await;
    let mut change = base_change(&[("e1", "small", engine), ("s1", "slow", slow)]);
    change = change.replace("slots = 64", "slots = 4096");
    change += "[service slow]\nkind = engine\n[limits]\nentry_boxes = 1\n";
    cluster.apply(&change).await;
    cluster.wait_revision("a", 1).await;
    let process = cluster.process("a").expect("the node runs");
    // Past the proxy: it would count as the node's own time.
    let entry = cluster.entry_behind("a");

    let mut table = Table::new(
        format!("An entry node beside a direct connection, {} requests/s", arguments.rate),
        &["what", "value", "goal"],
    );
    let length = Duration::from_secs(arguments.seconds);
    offer(engine, arguments.rate, Duration::from_secs(1), SHORT).await?;
    offer(entry, arguments.rate, Duration::from_secs(2), SHORT).await?;
    // What the node spends on its own, engines' load and the group included, is not a request's.
    let before = cpu_time(process);
    tokio::time::sleep(length).await;
    let idle = cpu_time(process) - before;
    let direct = offer(engine, arguments.rate, length, SHORT).await?;
    let before = cpu_time(process);
    let through = offer(entry, arguments.rate, length, SHORT).await?;
    let short = (cpu_time(process) - before).saturating_sub(idle);
    let before = cpu_time(process);
    let long_run = offer(entry, arguments.rate / 4.0, length, LONG).await?;
    let long = (cpu_time(process) - before).saturating_sub(idle);
    for percentile in [50.0, 95.0, 99.0] {
        let (a, b) = (direct.millis(percentile), through.millis(percentile));
        let text = format!("{} - {} = {}", three(b), three(a), three(b - a));
        table.row(vec![format!("first token, p{percentile}, ms added"), text, "< 1 (p99)".into()]);
    }
    let per_short = short.as_secs_f64() * 1e6 / through.len() as f64;
    let per_long = long.as_secs_f64() * 1e6 / long_run.len() as f64;
    let per_token = (per_long - per_short) / (LONG - SHORT) as f64;
    let per_request = per_short - per_token * SHORT as f64;
    let share = idle.as_secs_f64() / length.as_secs_f64() * 100.0;
    table.row(vec!["processor without requests, % of a core".into(), one(share), "".into()]);
    table.row(vec!["processor time a request, us".into(), one(per_request), "< 150".into()]);
    table.row(vec!["processor time a token, us".into(), one(per_token), "< 5".into()]);
    memory(&mut table, entry, process).await?;
    table.print(arguments.json);
    Ok(())
}

/// Offers requests at an even rate and records the time to the first token of each.
async fn offer(addr: SocketAddr, rate: f64, length: Duration, tokens: usize) -> Result<Times> {
    let began = tokio::time::Instant::now();
    let count = (rate * length.as_secs_f64()) as usize;
    let mut tasks = Vec::new();
    for number in 0..count {
        let due = began + Duration::from_secs_f64(number as f64 / rate);
        tokio::time::sleep_until(due).await;
        tasks.push(tokio::spawn(ask(addr, due.into_std(), number, tokens)));
    }
    let mut times = Times::new();
    for task in tasks {
        times.record(task.await??);
    }
    Ok(times)
}

/// One request: the time from when it was due to its first token. The rest is read as well.
async fn ask(addr: SocketAddr, due: Instant, number: usize, tokens: usize) -> Result<Duration> {
    let body = json!({
        "model": "small", "prompt": format!("question {number}"), "max_tokens": tokens,
        "stream": true, "request_id": number.to_string(),
    });
    let bearer = format!("Bearer {KEY}");
    let request = http::post("/v1/completions", &[("authorization", &bearer)], &body);
    let response = http::open(addr, request).await?;
    ensure!(response.status() == 200, "status {}", response.status());
    let mut body = response.into_body();
    body.frame().await.transpose()?;
    let first = due.elapsed();
    let rest = body.collect().await?.to_bytes();
    ensure!(rest.ends_with(b"[DONE]\n\n"), "the stream was not closed");
    Ok(first)
}

async fn memory(table: &mut Table, entry: SocketAddr, process: u32) -> Result<()> {
    let empty = resident_kib(process);
    let mut held = Vec::new();
    for _ in 0..CONNECTIONS {
        let mut stream = TcpStream::connect(entry).await?;
        stream.write_all(b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n").await?;
        let mut byte = [0];
        stream.read_exact(&mut byte).await?;
        held.push(stream);
    }
    let idle = resident_kib(process).saturating_sub(empty) as f64 / CONNECTIONS as f64;
    drop(held);
    let before = resident_kib(process);
    let mut streams = Vec::new();
    for number in 0..STREAMS {
        let body = json!({ "model": "slow", "prompt": format!("q{number}"), "max_tokens": 50, "stream": true });
        let bearer = format!("Bearer {KEY}");
        let request = http::post("/v1/completions", &[("authorization", &bearer)], &body);
        streams.push(tokio::spawn(async move { http::open(entry, request).await }));
    }
    let opened = futures_util::future::join_all(streams).await;
    let streaming = resident_kib(process).saturating_sub(before) as f64 / STREAMS as f64;
    ensure!(opened.iter().all(|it| it.as_ref().is_ok_and(Result::is_ok)), "a stream did not begin");
    table.row(vec!["memory, node without callers, KiB".into(), empty.to_string(), "".into()]);
    table.row(vec!["memory, idle connection, KiB".into(), one(idle), "".into()]);
    table.row(vec!["memory, streaming connection, KiB".into(), one(streaming), "".into()]);
    Ok(())
}
