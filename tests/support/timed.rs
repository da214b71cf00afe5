//! A stand-in for a backend server whose answers take as long as their requests say, and callers of such requests.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::platform::{PATIENCE, Reply, event, read_request};

/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(50);

/// What became of a request at the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Run {
    /// It was read, and nothing more is known.
    Begun,
    /// Its answer was written to the end.
    Answered,
}

/// A server that takes the time named in each request's query (`?ms=`) for its answer.
pub struct TimedServer {
    /// Where it listens.
    pub addr: SocketAddr,
    runs: Arc<Mutex<BTreeMap<String, Run>>>,
}

impl TimedServer {
    /// Starts one.
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let runs: Arc<Mutex<BTreeMap<String, Run>>> = Arc::default();
        let held = runs.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let runs = held.clone();
                // A connection that the other side broke off is over.
                tokio::spawn(async move { drop(answer(stream, &runs).await) });
            }
        });
        Self { addr, runs }
    }

    /// How the platform lists it.
    pub fn entry(&self, service: &str) -> Value {
        json!({
            "id": "i-1", "service": service, "address": self.addr, "zone": "here", "version": "v1",
            "slots": 200, "state": "ready", "cold_remaining_ms": 0,
        })
    }

    /// What became of a request; `None` if it did not reach the server.
    pub fn run(&self, id: &str) -> Option<Run> {
        self.runs.lock().unwrap().get(id).copied()
    }

    /// How many requests have begun and are not answered.
    pub fn open(&self) -> usize {
        self.runs.lock().unwrap().values().filter(|run| **run == Run::Begun).count()
    }
}

async fn answer(mut stream: TcpStream, runs: &Mutex<BTreeMap<String, Run>>) -> io::Result<()> {
    while let Some(seen) = read_request(&mut stream).await? {
        let path = seen.line.split(' ').nth(1).unwrap_or_default();
        let Some((path, time)) = path.split_once("?ms=") else {
            stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").await?;
            continue;
        };
        let time = Duration::from_millis(time.parse().unwrap());
        let id = seen.headers["request-id"].clone();
        runs.lock().unwrap().insert(id.clone(), Run::Begun);
        let head = format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\n");
        match path.contains("stream") || path.contains("resumable") {
            true => write_events(&mut stream, &head, time).await?,
            false => {
                tokio::time::sleep(time).await;
                let text = format!("{head}Content-Length: 6\r\n\r\nanswer");
                stream.write_all(text.as_bytes()).await?;
            }
        }
        runs.lock().unwrap().insert(id, Run::Answered);
    }
    Ok(())
}

async fn write_events(stream: &mut TcpStream, head: &str, time: Duration) -> io::Result<()> {
    let head =
        format!("{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    stream.write_all(head.as_bytes()).await?;
    let began = tokio::time::Instant::now();
    let mut number = 0;
    while began.elapsed() < time || number == 0 {
        number += 1;
        let text = event(number);
        stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).await?;
        tokio::time::sleep(EVENT_INTERVAL).await;
    }
    stream.write_all(b"0\r\n\r\n").await
}

/// A request for a [`TimedServer`].
#[derive(Debug, Clone)]
pub struct TimedRequest {
    /// The request's id.
    pub id: String,
    /// The route's name.
    pub route: String,
    /// Time that the server takes.
    pub time: Duration,
    /// How long the caller waits.
    pub deadline: Duration,
    /// How long the body comes behind the head.
    pub body_delay: Duration,
}

impl TimedRequest {
    fn head(&self) -> String {
        format!(
            "POST /{}/x?ms={} HTTP/1.1\r\nHost: app.example\r\nRequest-Id: {}\r\nDeadline-Ms: {}\r\n\
             Api-Key: key-a\r\nContent-Length: 4\r\n\r\n",
            self.route,
            self.time.as_millis(),
            self.id,
            self.deadline.as_millis(),
        )
    }

    /// Sends it on a connection and reads the answer, as far as one comes.
    pub async fn ask_on(&self, stream: &mut TcpStream) -> Reply {
        let mut text = Vec::new();
        // Whatever breaks off the exchange, what was read before counts.
        let _ = tokio::time::timeout(PATIENCE, self.exchange(stream, &mut text)).await;
        Reply::parse(&String::from_utf8_lossy(&text))
    }

    async fn exchange(&self, stream: &mut TcpStream, text: &mut Vec<u8>) -> io::Result<()> {
        stream.write_all(self.head().as_bytes()).await?;
        let mut has_body = false;
        let delay = tokio::time::sleep(self.body_delay);
        tokio::pin!(delay);
        loop {
            let mut piece = [0; 4096];
            let read = tokio::select! {
                () = &mut delay, if !has_body => {
                    has_body = true;
                    // An answer may have come before the body.
                    let _ = stream.write_all(b"body").await;
                    continue;
                }
                read = stream.read(&mut piece) => read?,
            };
            text.extend_from_slice(&piece[..read]);
            if read == 0 || Reply::parse(&String::from_utf8_lossy(text)).whole {
                return Ok(());
            }
        }
    }

    /// Sends it on a connection of its own; `None` if nobody listens.
    pub async fn ask(&self, addr: SocketAddr) -> Option<Reply> {
        let mut stream = TcpStream::connect(addr).await.ok()?;
        Some(self.ask_on(&mut stream).await)
    }
}
