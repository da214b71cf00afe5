//! A fake plain service: every call appends to its journal, so that a test can count what ran.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

use crate::http::{self, Reply};

/// A running fake service.
#[derive(Clone)]
pub struct Service {
    journal: Arc<Mutex<Vec<String>>>,
    delay: Duration,
    gate: Arc<Semaphore>,
}

impl Service {
    /// Creates a service that takes `delay` for each call.
    pub fn new(delay: Duration) -> Self {
        let gate = Arc::new(Semaphore::new(Semaphore::MAX_PERMITS));
        Self { journal: Arc::default(), delay, gate }
    }

    /// Starts a service on a free loopback port.
    ///
    /// # Errors
    /// When no port can be bound.
    pub async fn start(delay: Duration) -> std::io::Result<(Self, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let service = Self::new(delay);
        tokio::spawn(service.clone().serve(listener));
        Ok((service, addr))
    }

    /// Serves on `listener` until the future is dropped.
    pub async fn serve(self, listener: TcpListener) {
        http::serve(listener, move |request| self.clone().handle(request)).await;
    }

    /// The bodies of every call that ran, in order.
    pub fn journal(&self) -> Vec<String> {
        self.journal.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Keeps calls that ran from being answered until [`Service::release`].
    pub fn hold(&self) {
        self.gate.forget_permits(Semaphore::MAX_PERMITS);
    }

    /// Lets held calls be answered.
    pub fn release(&self) {
        self.gate.add_permits(1024);
    }

    async fn handle(self, request: Request<Incoming>) -> Reply {
        if request.uri().path() == "/journal" {
            return http::json(StatusCode::OK, &self.journal());
        }
        let path = request.uri().path().to_owned();
        let body = http::read_body(request).await;
        let text = String::from_utf8_lossy(&body).into_owned();
        let number = {
            let mut journal = self.journal.lock().unwrap_or_else(PoisonError::into_inner);
            journal.push(text.clone());
            journal.len()
        };
        tokio::time::sleep(self.delay).await;
        let _permit = self.gate.acquire().await;
        http::json(StatusCode::OK, &json!({ "path": path, "number": number, "echo": text }))
    }
}
