//! Loopback addresses that no other test gets while they are held, whether or not anybody listens at them.

use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

/// A loopback address that is held.
pub struct ReservedAddr {
    /// The address.
    pub addr: SocketAddr,
    /// Bound and never listening. Another socket can bind the address only while both allow it.
    socket: TcpSocket,
}

impl ReservedAddr {
    /// An address that the system selects.
    pub fn new() -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        Self { addr: socket.local_addr().unwrap(), socket }
    }

    /// Listens at the address, at which no other listener may be.
    pub fn listen(&self, backlog: u32) -> TcpListener {
        self.socket.set_reuseaddr(true).unwrap();
        let listening = TcpSocket::new_v4().unwrap();
        listening.set_reuseaddr(true).unwrap();
        listening.bind(self.addr).unwrap();
        let listener = listening.listen(backlog).unwrap();
        self.socket.set_reuseaddr(false).unwrap();
        listener
    }
}
