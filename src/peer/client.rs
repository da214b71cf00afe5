//! Calls to other nodes, over one standing connection to each address.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex as SyncMutex};
use std::time::{Duration, Instant};

use jsonrpsee::core::client::{ClientT, Error};
use jsonrpsee::core::params::ArrayParams;
use jsonrpsee::types::error::INVALID_PARAMS_CODE;
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::value::{RawValue, to_raw_value};
use tokio::sync::Mutex;

use super::method::Call;

use crate::sync::lock;

/// Largest message between nodes, in bytes.
pub(crate) const MESSAGE_LIMIT: u32 = 16 << 20;

/// How long a connection may take to stand. A first packet that is lost, as to a box without power,
/// is sent again only after a second: a new connection is sooner there.
const CONNECT_TIME: Duration = Duration::from_millis(300);

/// The same for a command, which does not come back: longer than a first packet that is sent again takes.
const PATIENT_CONNECT_TIME: Duration = Duration::from_secs(2);

/// Why a call has no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// No connection; the call was not sent.
    #[error("{addr} cannot be reached: {detail}")]
    Unreachable {
        /// Whom.
        addr: SocketAddr,
        /// Why.
        detail: String,
    },
    /// The call was sent and no answer came, in time or at all.
    #[error("{addr} did not answer: {detail}")]
    NoAnswer {
        /// Who.
        addr: SocketAddr,
        /// Why.
        detail: String,
    },
    /// One side can't read what the other sent: they are of different releases.
    #[error("{addr} and this node do not understand each other: {detail}")]
    Unreadable {
        /// Who.
        addr: SocketAddr,
        /// What could not be read.
        detail: String,
    },
    /// The other side answered that it will not.
    #[error("{0}")]
    Refused(String),
}

struct Peer {
    addr: SocketAddr,
    connect_time: Duration,
    client: Mutex<Option<Arc<WsClient>>>,
    /// Whether the last call failed as one side could not read the other.
    is_unreadable: AtomicBool,
    /// Whether the last call that was sent had no answer.
    is_silent: AtomicBool,
    /// Bytes of the calls made and of their answers.
    sent: AtomicU64,
    heard: AtomicU64,
}

impl Peer {
    async fn client(&self) -> Result<Arc<WsClient>, PeerError> {
        let mut held = self.client.lock().await;
        if let Some(client) = held.as_ref().filter(|client| client.is_connected()) {
            return Ok(client.clone());
        }
        let builder = WsClientBuilder::new()
            .connection_timeout(self.connect_time)
            .max_request_size(MESSAGE_LIMIT)
            .max_response_size(MESSAGE_LIMIT)
            .request_timeout(Duration::from_secs(30));
        let built = builder.build(format!("ws://{}", self.addr)).await;
        let client = Arc::new(built.map_err(|error| self.unreachable(&error))?);
        *held = Some(client.clone());
        Ok(client)
    }

    fn unreachable(&self, error: &Error) -> PeerError {
        PeerError::Unreachable { addr: self.addr, detail: error.to_string() }
    }

    /// Reads an answer.
    fn read<R: DeserializeOwned>(&self, method: &str, answer: &RawValue) -> Result<R, PeerError> {
        self.heard.fetch_add(answer.get().len() as u64, Ordering::Relaxed);
        let value = serde_json::from_str(answer.get());
        if value.is_ok() {
            self.note_readable(method, None);
        }
        value.map_err(|error| self.unreadable(method, &error.to_string()))
    }

    fn unreadable(&self, method: &str, detail: &str) -> PeerError {
        self.note_readable(method, Some(detail));
        PeerError::Unreadable { addr: self.addr, detail: detail.to_owned() }
    }

    /// Notes whether both sides understand each other: one line when they cease to.
    fn note_readable(&self, method: &str, unreadable: Option<&str>) {
        let was = self.is_unreadable.swap(unreadable.is_some(), Ordering::Relaxed);
        if let Some(detail) = unreadable.filter(|_| !was) {
            tracing::warn!(event = "call_unreadable", addr = %self.addr, method, detail);
        }
    }

    /// Notes that a call which was sent had no answer: one line when that begins, as an answer that is too
    /// large for its time leaves no other trace.
    fn unanswered(&self, method: &str, waited: Duration, detail: String) -> PeerError {
        if !self.is_silent.swap(true, Ordering::Relaxed) {
            let waited = waited.as_millis() as u64;
            tracing::warn!(
                event = "call_unanswered", addr = %self.addr, method, waited_ms = waited, detail,
            );
        }
        PeerError::NoAnswer { addr: self.addr, detail }
    }

    /// Drops the connection, if it is still the one that failed.
    async fn forget(&self, failed: &Arc<WsClient>) {
        let mut held = self.client.lock().await;
        if held.as_ref().is_some_and(|client| Arc::ptr_eq(client, failed)) {
            *held = None;
        }
    }
}

/// The connections to other nodes.
#[derive(Clone)]
pub struct Peers {
    secret: Arc<str>,
    connect_time: Duration,
    peers: Arc<SyncMutex<HashMap<SocketAddr, Arc<Peer>>>>,
}

impl Peers {
    /// No connections yet; `secret` is sent with every call.
    pub fn new(secret: &str) -> Self {
        Self { secret: secret.into(), connect_time: CONNECT_TIME, peers: Arc::default() }
    }

    /// Connections of a command, which makes each of them once.
    pub fn patient(secret: &str) -> Self {
        Self { connect_time: PATIENT_CONNECT_TIME, ..Self::new(secret) }
    }

    fn peer(&self, addr: SocketAddr) -> Arc<Peer> {
        let mut peers = lock(&self.peers);
        let connect_time = self.connect_time;
        let new = || {
            let client = Mutex::new(None);
            let (is_unreadable, is_silent) = (AtomicBool::new(false), AtomicBool::new(false));
            let (sent, heard) = (AtomicU64::new(0), AtomicU64::new(0));
            Arc::new(Peer { addr, connect_time, client, is_unreadable, is_silent, sent, heard })
        };
        peers.entry(addr).or_insert_with(new).clone()
    }

    /// Bytes of all calls made to each address, and of their answers, without what frames them.
    pub fn traffic(&self) -> Vec<(SocketAddr, u64, u64)> {
        let peers = lock(&self.peers);
        let of_peer = |peer: &Arc<Peer>| {
            let of = |count: &AtomicU64| count.load(Ordering::Relaxed);
            (peer.addr, of(&peer.sent), of(&peer.heard))
        };
        peers.values().map(of_peer).collect()
    }

    /// Calls a method and waits at most `limit` for its answer.
    ///
    /// # Errors
    /// As [`PeerError`]; only [`PeerError::Unreachable`] proves that the call was not made.
    pub async fn call<T, R>(
        &self,
        addr: SocketAddr,
        method: &str,
        body: &T,
        limit: Duration,
    ) -> Result<R, PeerError>
    where
        T: Serialize + Sync,
        R: DeserializeOwned,
    {
        let peer = self.peer(addr);
        let connecting = tokio::time::timeout(limit, peer.client()).await;
        let client = connecting.unwrap_or_else(|_| {
            Err(PeerError::Unreachable { addr, detail: "timed out".to_owned() })
        })?;
        let mut params = ArrayParams::new();
        let call = Call { secret: self.secret.to_string(), body };
        let call = to_raw_value(&call).map_err(|error| PeerError::Refused(error.to_string()))?;
        peer.sent.fetch_add(call.get().len() as u64, Ordering::Relaxed);
        params.insert(call).map_err(|error| PeerError::Refused(error.to_string()))?;
        let asking = client.request::<Box<RawValue>, _>(method, params);
        let asked = Instant::now();
        match tokio::time::timeout(limit, asking).await {
            Ok(Ok(answer)) => {
                peer.is_silent.store(false, Ordering::Relaxed);
                peer.read(method, &answer)
            }
            Ok(Err(Error::Call(error))) if error.code() == INVALID_PARAMS_CODE => {
                let detail = error.data().map_or(error.message(), RawValue::get);
                Err(peer.unreadable(method, detail))
            }
            Ok(Err(Error::Call(error))) => Err(PeerError::Refused(error.message().to_owned())),
            Ok(Err(error)) => {
                peer.forget(&client).await;
                Err(peer.unanswered(method, asked.elapsed(), error.to_string()))
            }
            Err(_) => {
                peer.forget(&client).await;
                Err(peer.unanswered(method, asked.elapsed(), "timed out".to_owned()))
            }
        }
    }
}
