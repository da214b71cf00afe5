//! A server that writes given bytes for a request and then ends the connection in a given way. It runs in a thread of
//! its own, so that a test can hold everything else meanwhile.

use std::net::SocketAddr;
use std::sync::mpsc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use emberturn::relay::list::Server;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};

use super::platform::{PATIENCE, Seen, listed_server, read_request};

/// What the server does once the bytes are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// It closes the connection in order.
    Close,
    /// It resets the connection.
    Reset,
    /// It keeps the connection open until the other side closes it.
    Silence,
    /// It closes the connection in order as soon as the test says so.
    CloseWhenTold,
}

/// The bytes that are written for a request, and what follows.
#[derive(Debug, Clone)]
pub struct Written {
    pub bytes: Vec<u8>,
    pub end: End,
}

type Script = Arc<dyn Fn(&Seen, usize) -> Written + Send + Sync>;

/// What the server's connections share.
struct Shared {
    script: Mutex<Script>,
    seen: watch::Sender<usize>,
    told: watch::Sender<bool>,
    /// What it answers when it is asked for its load.
    load: Mutex<String>,
    closed: mpsc::Sender<()>,
    alarm: Mutex<Option<std::net::TcpStream>>,
}

/// Something that becomes readable no earlier than a connection has been closed.
pub struct Alarm {
    stream: TcpStream,
}

impl Alarm {
    /// Waits for it.
    pub async fn ring(&mut self) {
        self.stream.read_u8().await.unwrap();
    }
}

/// A running server; dropping it closes all its connections.
pub struct RawServer {
    pub addr: SocketAddr,
    _stop: oneshot::Sender<()>,
    shared: Arc<Shared>,
    closed: mpsc::Receiver<()>,
}

impl RawServer {
    /// Starts a server with a script: what is written for a request by POST, by its number from 0 on.
    pub fn start(script: impl Fn(&Seen, usize) -> Written + Send + Sync + 'static) -> Self {
        let (ended, closed) = mpsc::channel();
        let shared = Arc::new(Shared {
            script: Mutex::new(Arc::new(script)),
            seen: watch::Sender::new(0),
            told: watch::Sender::new(false),
            load: Mutex::new("{\"running\":0,\"waiting\":0}".to_owned()),
            closed: ended,
            alarm: Mutex::default(),
        });
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let addr = listener.local_addr().unwrap();
        let held = shared.clone();
        let (stop, stopped) = oneshot::channel::<()>();
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            runtime.unwrap().block_on(async {
                tokio::select! {
                    () = serve(listener, held) => {}
                    _ = stopped => {}
                }
            });
        });
        Self { addr, _stop: stop, shared, closed }
    }

    /// Has the next requests answered by another script, and counts them from 0 on.
    pub fn follow(&self, script: impl Fn(&Seen, usize) -> Written + Send + Sync + 'static) {
        *self.shared.script.lock().unwrap() = Arc::new(script);
        self.shared.told.send_replace(false);
        self.shared.seen.send_replace(0);
    }

    /// Answers with this when it is asked for its load.
    pub fn report_load(&self, load: &str) {
        load.clone_into(&mut self.shared.load.lock().unwrap());
    }

    /// How many requests came since the script began, besides those for its load or a report.
    pub fn seen(&self) -> usize {
        *self.shared.seen.borrow()
    }

    /// Waits for so many requests.
    pub async fn wait_seen(&self, wanted: usize) {
        let mut seen = self.shared.seen.subscribe();
        let waiting = seen.wait_for(|count| *count >= wanted);
        tokio::time::timeout(PATIENCE, waiting).await.unwrap().unwrap();
    }

    /// Has [`End::CloseWhenTold`] close.
    pub fn tell(&self) {
        self.shared.told.send_replace(true);
    }

    /// What rings when [`End::CloseWhenTold`] has closed.
    pub async fn alarm(&self) -> Alarm {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let (near, accepted) = tokio::join!(TcpStream::connect(addr), listener.accept());
        let far = accepted.unwrap().0.into_std().unwrap();
        *self.shared.alarm.lock().unwrap() = Some(far);
        Alarm { stream: near.unwrap() }
    }

    /// The same, and blocks the thread until the connection is closed.
    pub fn tell_and_wait(&self) {
        self.tell();
        self.closed.recv_timeout(PATIENCE).unwrap();
    }

    /// How the platform lists it.
    pub fn listed(&self, id: &str) -> Server {
        listed_server(id, "svc", self.addr)
    }
}

async fn serve(listener: std::net::TcpListener, shared: Arc<Shared>) {
    let listener = TcpListener::from_std(listener).unwrap();
    while let Ok((stream, _)) = listener.accept().await {
        let shared = shared.clone();
        tokio::spawn(async move {
            // A connection that the other side broke off is over.
            let _ = talk(stream, &shared).await;
        });
    }
}

async fn talk(mut stream: TcpStream, shared: &Shared) -> std::io::Result<()> {
    while let Some(request) = read_request(&mut stream).await? {
        if request.line.starts_with("GET /load ") {
            let body = shared.load.lock().unwrap().clone();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            stream.write_all(format!("{head}{body}").as_bytes()).await?;
            continue;
        }
        // Reports, and what another test's process asks at an address that it still takes for another server's.
        if !request.line.starts_with("POST ") {
            stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n").await?;
            continue;
        }
        let script = shared.script.lock().unwrap().clone();
        let number = *shared.seen.borrow();
        let Written { bytes, end } = script(&request, number);
        let mut told = shared.told.subscribe();
        shared.seen.send_modify(|count| *count += 1);
        stream.write_all(&bytes).await?;
        match end {
            End::Close => {}
            End::Reset => socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO))?,
            End::Silence => drop(stream.read(&mut [0]).await?),
            End::CloseWhenTold => {
                let _ = told.wait_for(|told| *told).await;
                drop(stream);
                if let Some(mut alarm) = shared.alarm.lock().unwrap().take() {
                    std::io::Write::write_all(&mut alarm, b"!")?;
                }
                let _ = shared.closed.send(());
            }
        }
        return Ok(());
    }
    Ok(())
}
