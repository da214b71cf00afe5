//! A network link between a box and a backend server that can fail in different ways.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use super::platform::ReservedAddr;

/// How long a connect attempt may take that fills the queue of a listener.
const FILL_TIME: Duration = Duration::from_millis(100);

/// How a link fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    /// New and open connections hang.
    Hang,
    /// Open connections are reset, and new ones refused.
    Reset,
    /// New connections are refused; open ones rest and are closed by nobody.
    Refuse,
    /// New connections are refused; open ones go on.
    Live,
}

/// The tasks that forward bytes, each with the connection of the box.
type Pumps = Arc<Mutex<Vec<(JoinHandle<()>, Arc<TcpStream>)>>>;

/// A link to one server.
pub struct Link {
    /// Where the box reaches the server.
    pub addr: SocketAddr,
    upstream: SocketAddr,
    accepting: Option<JoinHandle<TcpListener>>,
    stop: Arc<tokio::sync::Notify>,
    pumps: Pumps,
    /// Connections that fill a listener's queue, and the listener.
    held: Vec<TcpStream>,
    listener: Option<TcpListener>,
    /// A listener of another test must not get the address while nobody listens there.
    reserved: ReservedAddr,
}

impl Link {
    /// A link that works.
    pub async fn start(upstream: SocketAddr) -> Self {
        let reserved = ReservedAddr::new();
        let listener = reserved.listen(1);
        let mut link = Self {
            addr: reserved.addr,
            upstream,
            accepting: None,
            stop: Arc::default(),
            pumps: Arc::default(),
            held: Vec::new(),
            listener: None,
            reserved,
        };
        link.accept(listener);
        link
    }

    fn accept(&mut self, listener: TcpListener) {
        let (upstream, pumps, stop) = (self.upstream, self.pumps.clone(), self.stop.clone());
        self.accepting = Some(tokio::spawn(async move {
            loop {
                let stream = tokio::select! {
                    accepted = listener.accept() => accepted.unwrap().0,
                    () = stop.notified() => return listener,
                };
                let Ok(server) = TcpStream::connect(upstream).await else {
                    continue;
                };
                let (near, far) = (Arc::new(stream), Arc::new(server));
                let pump = tokio::spawn(pump(near.clone(), far));
                pumps.lock().unwrap().push((pump, near));
            }
        }));
    }

    /// Has the link fail.
    pub async fn fail(&mut self, fault: LinkFault) {
        self.stop.notify_one();
        let listener = self.accepting.take().unwrap().await.unwrap();
        match fault {
            LinkFault::Hang => {
                self.abort_pumps(false);
                self.fill(listener).await;
            }
            LinkFault::Reset => self.abort_pumps(true),
            LinkFault::Refuse => self.abort_pumps(false),
            LinkFault::Live => {}
        }
    }

    /// Has the link work again.
    pub async fn heal(&mut self) {
        self.held.clear();
        self.abort_pumps(true);
        let listener = self.listener.take().unwrap_or_else(|| self.reserved.listen(1));
        self.accept(listener);
    }

    /// Ends the forwarding of bytes, with a reset or in silence.
    fn abort_pumps(&self, resets: bool) {
        for (pump, near) in self.pumps.lock().unwrap().drain(..) {
            pump.abort();
            if resets {
                socket2::SockRef::from(&*near).set_linger(Some(Duration::ZERO)).unwrap();
            } else {
                std::mem::forget(near);
            }
        }
    }

    /// Fills the queue of a listener, so that further connects get no answer.
    async fn fill(&mut self, listener: TcpListener) {
        while let Ok(Ok(stream)) =
            tokio::time::timeout(FILL_TIME, TcpStream::connect(self.addr)).await
        {
            self.held.push(stream);
        }
        self.listener = Some(listener);
    }
}

/// Forwards bytes both ways until one side ends.
async fn pump(near: Arc<TcpStream>, far: Arc<TcpStream>) {
    tokio::select! {
        () = copy(&near, &far) => {}
        () = copy(&far, &near) => {}
    }
}

async fn copy(from: &TcpStream, to: &TcpStream) {
    let mut buffer = [0; 16 << 10];
    loop {
        from.readable().await.unwrap();
        let read = match from.try_read(&mut buffer) {
            Ok(0) => return,
            Ok(read) => read,
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => continue,
            Err(_) => return,
        };
        let mut sent = 0;
        while sent < read {
            if to.writable().await.is_err() {
                return;
            }
            match to.try_write(&buffer[sent..read]) {
                Ok(count) => sent += count,
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }
}
