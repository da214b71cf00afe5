//! A server whose answer ends at a chosen place and in a chosen way.

use std::net::SocketAddr;
use std::time::Duration;

use emberturn::decide::completeness::Framing;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::platform::{PATIENCE, Seen, read_request};

/// How a connection ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// It is closed in order.
    Close,
    /// It is reset.
    Reset,
    /// It stays open, and nothing more comes.
    Silence,
}

/// An answer, and how much of it is sent.
#[derive(Debug, Clone)]
pub struct Script {
    /// The protocol in the first line.
    pub version: &'static str,
    /// What marks the end.
    pub framing: Framing,
    /// Further lines of the head.
    pub headers: &'static str,
    /// The body.
    pub body: String,
    /// Bytes of the body that are sent with the head.
    pub first: usize,
    /// Bytes of the body that are sent in all.
    pub sent: usize,
    /// What follows on them.
    pub end: End,
}

impl Script {
    /// Whether all of the body is sent.
    pub fn is_whole(&self) -> bool {
        self.sent == self.body.len()
    }

    /// Whether the caller can tell that nothing is missing.
    pub fn looks_complete(&self) -> bool {
        match self.framing {
            Framing::Length | Framing::Chunked => self.is_whole(),
            Framing::Close => self.end == End::Close,
        }
    }

    fn head(&self, request: &Seen) -> String {
        let framing = match self.framing {
            Framing::Length => format!("Content-Length: {}\r\n", self.body.len()),
            Framing::Chunked => "Transfer-Encoding: chunked\r\n".to_owned(),
            Framing::Close => String::new(),
        };
        let id = request.headers.get("request-id").cloned().unwrap_or_default();
        let Self { version, headers, .. } = self;
        format!(
            "{version} 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: sig\r\n\
             Instance-Load: 1,0,8\r\n{headers}{framing}\r\n"
        )
    }

    fn piece(&self, text: &str) -> String {
        match self.framing {
            Framing::Chunked if text.is_empty() => String::new(),
            Framing::Chunked => format!("{:x}\r\n{text}\r\n", text.len()),
            Framing::Length | Framing::Close => text.to_owned(),
        }
    }

    fn rest(&self) -> String {
        let mut rest = self.piece(&self.body[self.first..self.sent]);
        if self.framing == Framing::Chunked && self.is_whole() {
            rest.push_str("0\r\n\r\n");
        }
        rest
    }
}

/// A running server, which gives one answer for each connection.
pub struct Breaking {
    /// Where it listens.
    pub addr: SocketAddr,
    seen: watch::Receiver<usize>,
    released: watch::Sender<bool>,
}

impl Breaking {
    /// Starts one that sends what follows on the first piece once it is released.
    pub async fn start(script: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let (count, seen) = watch::channel(0);
        let released = watch::Sender::new(false);
        let release = released.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(talk(stream, script.clone(), count.clone(), release.subscribe()));
            }
        });
        Self { addr, seen, released }
    }

    /// Has it send the rest.
    pub fn release(&self) {
        self.released.send_replace(true);
    }

    /// Waits for a request.
    pub async fn wait_seen(&self) {
        let mut seen = self.seen.clone();
        let waiting = seen.wait_for(|count| *count > 0);
        tokio::time::timeout(PATIENCE, waiting).await.unwrap().unwrap();
    }

    /// The number of requests so far.
    pub fn seen(&self) -> usize {
        *self.seen.borrow()
    }
}

async fn talk(
    mut stream: TcpStream,
    script: Script,
    seen: watch::Sender<usize>,
    mut released: watch::Receiver<bool>,
) -> std::io::Result<()> {
    let request = match read_request(&mut stream).await? {
        // Questions about the server get no answer, which would count like the one of the script.
        Some(request) if !request.line.starts_with("GET /report ") => request,
        Some(_) | None => return Ok(()),
    };
    seen.send_modify(|count| *count += 1);
    let first = script.piece(&script.body[..script.first]);
    stream.write_all(format!("{}{first}", script.head(&request)).as_bytes()).await?;
    let _ = released.wait_for(|released| *released).await;
    stream.write_all(script.rest().as_bytes()).await?;
    match script.end {
        End::Close => {}
        End::Reset => socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO))?,
        End::Silence => while read_request(&mut stream).await?.is_some() {},
    }
    Ok(())
}
