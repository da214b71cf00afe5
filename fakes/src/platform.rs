//! A fake platform: a lagging list of live and leaving boxes, and a cloud API that orders boxes and
//! may refuse.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;

use crate::http::{self, Reply};

/// One line of the box list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Listed {
    /// `live` or `leaving`.
    pub state: String,
    /// Counts the box's lives; a returning box has a higher one.
    pub incarnation: u64,
    /// Seconds of notice left, when leaving.
    pub notice_ms: u64,
}

#[derive(Default)]
struct Inner {
    list: BTreeMap<String, Listed>,
}

/// A running fake platform.
#[derive(Clone, Default)]
pub struct Platform {
    inner: Arc<Mutex<Inner>>,
}

impl Platform {
    /// Starts a platform on a free loopback port.
    ///
    /// # Errors
    /// When no port can be bound.
    pub async fn start() -> std::io::Result<(Self, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let platform = Self::default();
        tokio::spawn(platform.clone().serve(listener));
        Ok((platform, addr))
    }

    /// Serves on `listener` until the future is dropped.
    pub async fn serve(self, listener: TcpListener) {
        http::serve(listener, move |request| self.clone().handle(request)).await;
    }

    /// Sets one line of the list.
    pub fn list(&self, name: &str, state: &str, incarnation: u64, notice_ms: u64) {
        let listed = Listed { state: state.to_owned(), incarnation, notice_ms };
        self.lock().list.insert(name.to_owned(), listed);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(self, request: Request<Incoming>) -> Reply {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/boxes") => http::json(StatusCode::OK, &self.lock().list),
            (&Method::POST, "/boxes") => {
                let body = http::read_body(request).await;
                match serde_json::from_slice::<BTreeMap<String, Listed>>(&body) {
                    Ok(lines) => {
                        self.lock().list.extend(lines);
                        http::text(StatusCode::OK, "listed")
                    }
                    Err(error) => http::text(StatusCode::BAD_REQUEST, &error.to_string()),
                }
            }
            _ => http::text(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}
