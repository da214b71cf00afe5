//! Listening at an address as soon as that is possible.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eyre::{Result, WrapErr};
use tokio::net::{TcpListener, TcpStream};

use crate::obstacle::{Obstacle, Remedy, Wait};

/// Pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Pause after a connection could not be accepted, which happens when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Listens at an address; `whom` says for whom in errors. Waits while a former process still has it.
///
/// # Errors
/// When the process may not listen there.
pub async fn listen(addr: SocketAddr, whom: &str) -> Result<TcpListener> {
    let mut wait = Wait::begin(Instant::now());
    loop {
        let error = match TcpListener::bind(addr).await {
            Ok(listener) => return Ok(listener),
            Err(error) => error,
        };
        let obstacle = Obstacle::of_listening(&error);
        if obstacle.remedy() == Remedy::End {
            return Err(error).wrap_err_with(|| format!("listen for {whom} on {addr}"));
        }
        let now = Instant::now();
        if wait.is_due(now) {
            let ms = wait.lasted(now).as_millis() as u64;
            tracing::warn!(event = "node_waits", %obstacle, %addr, whom, %error, ms);
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Accepts the next connection, however often that fails before.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    let mut wait = Wait::begin(Instant::now());
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                if wait.is_due(Instant::now()) {
                    tracing::warn!(event = "accept_failed", %error);
                }
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
