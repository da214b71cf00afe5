//! The client of the platform's box list. It only reads the list; decisions are made elsewhere.
//!
//! `GET /boxes` returns a JSON object that maps the name of each box to its `state` (`live` or `leaving`), its
//! `incarnation`, which grows with each restart of the box, and `notice_ms`, the time left to a leaving box. A
//! backend server has the name of its box. The list lags: an entry that says `live` does not contradict an earlier
//! notice that the same incarnation is leaving.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use serde::Deserialize;

use crate::backend::{Pool, Reuse, SendFault};
use crate::ids::Incarnation;

/// Maximum size of the list in bytes.
const MAX_LIST_BYTES: usize = 4 << 20;

/// A box's state in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// The box is running.
    Live,
    /// The platform is about to reclaim the box.
    Leaving,
}

/// One entry of the list.
#[derive(Debug, Clone, Deserialize)]
pub struct ListedBox {
    /// The state of the box.
    pub state: ListedState,
    /// The incarnation that the state applies to.
    pub incarnation: Incarnation,
    /// Milliseconds until a leaving box is stopped; 0 for a running box.
    #[serde(default)]
    pub notice_ms: u64,
}

/// An error while reading the box list.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ListError {
    /// The exchange with the platform failed.
    #[error("the exchange with the platform failed: {0}")]
    Exchange(#[from] SendFault),
    /// The answer is not a valid list.
    #[error("the box list cannot be read: {0}")]
    Unreadable(String),
}

/// Reads the box list.
///
/// # Errors
/// [`ListError::Exchange`] if the head or the body of the answer does not arrive within `timeout` each or the
/// body is too large, [`ListError::Unreadable`] if the answer is not a list.
pub async fn list(
    pool: &Pool,
    addr: SocketAddr,
    timeout: Duration,
) -> Result<BTreeMap<String, ListedBox>, ListError> {
    let request = Request::get("/boxes")
        .header("host", addr.to_string())
        .body(Full::new(Bytes::new()))
        .map_err(|error| ListError::Unreadable(error.to_string()))?;
    let exchange = pool.send(addr, request, timeout, Reuse::Any).await?;
    let status = exchange.status;
    let body = exchange.read_whole(MAX_LIST_BYTES, timeout).await?;
    if !status.is_success() {
        return Err(ListError::Unreadable(format!("status {status}")));
    }
    serde_json::from_slice(&body).map_err(|error| ListError::Unreadable(error.to_string()))
}
