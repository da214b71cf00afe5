//! A fault-injecting TCP proxy: forwards bytes, and on command refuses, cuts, holds, delays or thins them.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What the proxy does to connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Forward.
    None,
    /// Close new connections at once and cut those that stand.
    Refuse,
    /// Accept, and forward nothing in either direction; what stands is held as well.
    Silent,
    /// Cut the connection when this many bytes have gone towards the server, before passing on the
    /// byte that would exceed it.
    CutRequest(u64),
    /// Cut the connection when this many bytes have come back from the server.
    CutAnswer(u64),
}

/// A link of some bandwidth, with the times from which on each direction is free.
#[derive(Debug, Clone, Copy)]
struct Link {
    /// Bytes a second.
    rate: f64,
    free: [Instant; 2],
}

/// A running proxy.
#[derive(Clone)]
pub struct Proxy {
    /// Where the proxy listens.
    pub addr: SocketAddr,
    upstream: Arc<Mutex<Option<SocketAddr>>>,
    fault: watch::Sender<Fault>,
    delay: Arc<Mutex<Duration>>,
    link: Arc<Mutex<Option<Link>>>,
    towards: Arc<AtomicU64>,
    back: Arc<AtomicU64>,
}

impl Proxy {
    /// Starts a proxy on a free loopback port; without an upstream it closes every connection.
    ///
    /// # Errors
    /// When no port can be bound.
    pub async fn start(upstream: Option<SocketAddr>) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let proxy = Self {
            addr: listener.local_addr()?,
            upstream: Arc::new(Mutex::new(upstream)),
            fault: watch::Sender::new(Fault::None),
            delay: Arc::default(),
            link: Arc::default(),
            towards: Arc::default(),
            back: Arc::default(),
        };
        tokio::spawn(proxy.clone().accept(listener));
        Ok(proxy)
    }

    /// Sets the address connections are forwarded to; those that stand keep theirs.
    pub fn forward_to(&self, addr: SocketAddr) {
        *self.upstream.lock().unwrap_or_else(PoisonError::into_inner) = Some(addr);
    }

    /// The address connections are forwarded to.
    pub fn upstream(&self) -> Option<SocketAddr> {
        *self.upstream.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets what happens to connections, standing ones included.
    pub fn set(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }

    /// Sets the one-way delay added to each chunk of bytes.
    pub fn delay(&self, delay: Duration) {
        *self.delay.lock().unwrap_or_else(PoisonError::into_inner) = delay;
    }

    /// Lets all connections together carry so many bytes a second in each direction.
    pub fn thin(&self, rate: f64) {
        let free = [Instant::now(); 2];
        *self.link.lock().unwrap_or_else(PoisonError::into_inner) = Some(Link { rate, free });
    }

    /// How long bytes wait for the link, and for their own way through it.
    fn wait(&self, direction: Direction, count: usize) -> Duration {
        let mut link = self.link.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(link) = link.as_mut() else {
            return Duration::ZERO;
        };
        let now = Instant::now();
        let free = &mut link.free[direction as usize];
        *free = (*free).max(now) + Duration::from_secs_f64(count as f64 / link.rate);
        *free - now
    }

    /// Bytes forwarded so far: towards the server, and back.
    pub fn bytes(&self) -> (u64, u64) {
        (self.towards.load(Ordering::Relaxed), self.back.load(Ordering::Relaxed))
    }

    async fn accept(self, listener: TcpListener) {
        while let Ok((caller, _)) = listener.accept().await {
            let proxy = self.clone();
            tokio::spawn(async move { proxy.carry(caller).await });
        }
    }

    async fn carry(self, caller: TcpStream) {
        let mut fault = self.fault.subscribe();
        if *fault.borrow() == Fault::Refuse {
            reset(&caller);
            return;
        }
        let Some(upstream) = self.upstream() else {
            return;
        };
        let Ok(server) = TcpStream::connect(upstream).await else {
            reset(&caller);
            return;
        };
        let _ = caller.set_nodelay(true);
        let _ = server.set_nodelay(true);
        let (caller_in, caller_out) = caller.into_split();
        let (server_in, server_out) = server.into_split();
        let towards = self.clone().pump(caller_in, server_out, Direction::Towards);
        let back = self.clone().pump(server_in, caller_out, Direction::Back);
        tokio::select! {
            () = async { tokio::join!(towards, back); } => {}
            () = refused(&mut fault) => {}
        }
    }

    async fn pump(
        self,
        mut from: tokio::net::tcp::OwnedReadHalf,
        mut to: tokio::net::tcp::OwnedWriteHalf,
        direction: Direction,
    ) {
        let mut fault = self.fault.subscribe();
        let mut buffer = vec![0; 16 * 1024];
        let mut passed = 0;
        while let Ok(count) = from.read(&mut buffer).await {
            if count == 0 {
                let _ = to.shutdown().await;
                return;
            }
            let delay = *self.delay.lock().unwrap_or_else(PoisonError::into_inner);
            let delay = delay + self.wait(direction, count);
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
            }
            if fault.wait_for(|fault| *fault != Fault::Silent).await.is_err() {
                return;
            }
            let allowed = direction.allowed(*fault.borrow(), passed, count);
            if to.write_all(&buffer[..allowed]).await.is_err() {
                return;
            }
            passed += allowed as u64;
            self.counter(direction).fetch_add(allowed as u64, Ordering::Relaxed);
            if allowed < count {
                self.cut(&from, &to);
                return;
            }
        }
    }

    fn counter(&self, direction: Direction) -> &AtomicU64 {
        match direction {
            Direction::Towards => &self.towards,
            Direction::Back => &self.back,
        }
    }

    /// Resets both halves, so that neither side takes the cut for an orderly end.
    fn cut(&self, from: &tokio::net::tcp::OwnedReadHalf, to: &tokio::net::tcp::OwnedWriteHalf) {
        reset(from.as_ref());
        reset(to.as_ref());
        for stream in [from.as_ref(), to.as_ref()] {
            let socket = socket2::SockRef::from(stream);
            let _ = socket.shutdown(std::net::Shutdown::Both);
        }
    }
}

#[derive(Debug, Clone, Copy)]
enum Direction {
    Towards,
    Back,
}

impl Direction {
    /// How many of `count` bytes may pass when `passed` have.
    fn allowed(self, fault: Fault, passed: u64, count: usize) -> usize {
        let limit = match (self, fault) {
            (Self::Towards, Fault::CutRequest(limit)) => limit,
            (Self::Back, Fault::CutAnswer(limit)) => limit,
            _ => return count,
        };
        limit.saturating_sub(passed).min(count as u64) as usize
    }
}

async fn refused(fault: &mut watch::Receiver<Fault>) {
    if fault.wait_for(|fault| *fault == Fault::Refuse).await.is_err() {
        std::future::pending::<()>().await;
    }
}

fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
