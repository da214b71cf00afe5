//! The third edge: the platform. Nothing is decided here.
//!
//! The box list is read over HTTP: `GET /boxes` gives an object from a box's name to its `state`
//! (`live` or `leaving`), its `incarnation`, which grows with every life of the box, and `notice_ms`,
//! the time left when it is leaving. A backend server has the name of its box. The list lags: that a
//! box is listed as live proves nothing about a life that is known to be leaving.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use serde::Deserialize;

use crate::backend::{Pool, Reuse, SendFault};
use crate::ids::Incarnation;

/// Bytes of the list at most.
const LIST_LIMIT: usize = 4 << 20;

/// A box's state in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// It runs.
    Live,
    /// It is taken back.
    Leaving,
}

/// One line of the list.
#[derive(Debug, Clone, Deserialize)]
pub struct Listed {
    /// The state.
    pub state: ListedState,
    /// Which life of the box.
    pub incarnation: Incarnation,
    /// Milliseconds until the box goes, when it is leaving.
    #[serde(default)]
    pub notice_ms: u64,
}

/// Why there is no list.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ListFault {
    /// The platform did not answer.
    #[error("the platform did not answer: {0}")]
    Silent(#[from] SendFault),
    /// It answered with something else.
    #[error("the box list cannot be read: {0}")]
    Unreadable(String),
}

/// Reads the box list.
///
/// # Errors
/// When the platform does not answer within `limit`, or not with a list.
pub async fn list(
    pool: &Pool,
    addr: SocketAddr,
    limit: Duration,
) -> Result<BTreeMap<String, Listed>, ListFault> {
    let request = Request::get("/boxes")
        .header("host", addr.to_string())
        .body(Full::new(Bytes::new()))
        .map_err(|error| ListFault::Unreadable(error.to_string()))?;
    let exchange = pool.send(addr, request, limit, Reuse::Any).await?;
    let status = exchange.status;
    let body = exchange.read_whole(LIST_LIMIT, limit).await?;
    if !status.is_success() {
        return Err(ListFault::Unreadable(format!("status {status}")));
    }
    serde_json::from_slice(&body).map_err(|error| ListFault::Unreadable(error.to_string()))
}
