//! One request of the load, through emberturn or directly.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use emberturn_fakes::{http, tokens};
use http_body_util::BodyExt;
use rand::seq::IndexedRandom;
use serde_json::{Value, json};

use super::outcome::Answer;
use crate::workload::{Kind, Planned, TeamLoad};

/// Reads a streamed answer; `None` when it broke off. The pieces' times count from `due`.
async fn read_stream(
    response: hyper::Response<hyper::body::Incoming>,
    text: &mut String,
    times: &mut Vec<Instant>,
) -> bool {
    let mut body = response.into_body();
    let mut held = String::new();
    let mut bytes: Vec<u8> = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return false;
        };
        let Some(data) = frame.data_ref() else {
            continue;
        };
        bytes.extend_from_slice(data);
        let now = Instant::now();
        while let Some(end) = bytes.windows(2).position(|pair| pair == b"\n\n") {
            held.clear();
            held.push_str(&String::from_utf8_lossy(&bytes[..end]));
            bytes.drain(..end + 2);
            let Some(line) = held.lines().find_map(|line| line.strip_prefix("data: ")) else {
                continue;
            };
            if line == "[DONE]" {
                return true;
            }
            let value: Value = serde_json::from_str(line).unwrap_or(Value::Null);
            let Some(piece) = value["choices"][0]["text"].as_str() else {
                return false;
            };
            text.push_str(piece);
            times.push(now);
        }
    }
    false
}

fn judge(
    prompt: &str,
    count: usize,
    text: &str,
    times: &[Instant],
    due: Instant,
    away: Duration,
) -> Answer {
    if text != tokens::answer(prompt, count) {
        return Answer::Wrong;
    }
    let Some(first) = times.first() else {
        return Answer::Lost;
    };
    let first = *first + away - due;
    let gaps = times.windows(2).map(|pair| pair[1] - pair[0]).collect();
    Answer::Whole { first, gaps, tokens: count }
}

/// Asks an entry node, as a caller does.
pub(super) async fn ask_emberturn(
    entry: SocketAddr,
    team: TeamLoad,
    planned: Planned,
    away: Duration,
) -> Answer {
    let due = Instant::now();
    tokio::time::sleep(away).await;
    let bearer = format!("Bearer {}-key", team.name);
    match planned.kind {
        Kind::Filing => {
            let key = format!("filing-{}", planned.number);
            let headers = [("authorization", bearer.as_str()), ("idempotency-key", key.as_str())];
            let body = json!({ "filing": planned.number });
            let request = http::post("/services/desk/file", &headers, &body);
            match http::call(entry, request).await {
                Ok(answer) if answer.status == 200 => Answer::Filed,
                Ok(answer) if answer.header("emberturn-run") == "not_run" => Answer::Refused,
                _ => Answer::Lost,
            }
        }
        Kind::Completion { prompt, tokens } => {
            let body =
                json!({ "model": "small", "prompt": prompt, "max_tokens": tokens, "stream": true });
            let request = http::post("/v1/completions", &[("authorization", &bearer)], &body);
            let Ok(response) = http::open(entry, request).await else {
                return Answer::Lost;
            };
            if response.status() != 200 {
                let run = response.headers().get("emberturn-run").cloned();
                return if run.is_some_and(|run| run == "not_run") {
                    Answer::Refused
                } else {
                    Answer::Lost
                };
            }
            let (mut text, mut times) = (String::new(), Vec::new());
            match read_stream(response, &mut text, &mut times).await {
                true => judge(&prompt, tokens, &text, &times, due, away),
                false => Answer::Lost,
            }
        }
    }
}

/// Attempts of the baseline at one request.
const ATTEMPTS: u32 = 20;

/// Asks engines at random, from the start again when one is lost.
pub(super) async fn ask_directly(
    engines: Vec<SocketAddr>,
    services: Vec<SocketAddr>,
    planned: Planned,
    away: Duration,
) -> Answer {
    let due = Instant::now();
    tokio::time::sleep(away).await;
    let (prompt, count) = match planned.kind {
        Kind::Completion { prompt, tokens } => (prompt, tokens),
        Kind::Filing => {
            let service = *services.choose(&mut rand::rng()).expect("there are services");
            let request = http::post("/file", &[], &json!({ "filing": planned.number }));
            return if http::call(service, request).await.is_ok() {
                Answer::Filed
            } else {
                Answer::Lost
            };
        }
    };
    let mut earlier = 0;
    let mut shown: Option<Instant> = None;
    for attempt in 0..ATTEMPTS {
        let engine = *engines.choose(&mut rand::rng()).expect("there are engines");
        let body = json!({
            "prompt": prompt, "max_tokens": count, "request_id": planned.number.to_string(),
            "emberturn": { "attempt": attempt.min(earlier as u32), "earlier_tokens": earlier },
        });
        let Ok(response) = http::open(engine, http::post("/v1/completions", &[], &body)).await
        else {
            continue;
        };
        let (mut text, mut times) = (String::new(), Vec::new());
        let whole = read_stream(response, &mut text, &mut times).await;
        // The caller sees the first token when it first came; the gap of the restart counts as one.
        shown = shown.or(times.first().copied());
        if whole {
            if let Some(first) = shown.filter(|first| times.first().is_some_and(|it| it != first)) {
                times.insert(0, first);
            }
            return judge(&prompt, count, &text, &times, due, away);
        }
        earlier += times.len();
    }
    Answer::Lost
}
