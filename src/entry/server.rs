//! Accepts callers' connections and holds the limits against slow and many callers.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use eyre::{Result, WrapErr};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio_io_timeout::TimeoutStream;

use super::{answer, serve};
use crate::error::{Failure, Kind};
use crate::node::Node;

/// Headers of one request at most.
const HEADER_COUNT: usize = 64;

/// How long a refused caller may take to be told so.
const REFUSAL_TIME: Duration = Duration::from_millis(500);

/// Refusals written at the same time at most; callers beyond are cut off.
const REFUSALS: usize = 64;

/// Listens for callers.
///
/// # Errors
/// When the address cannot be listened on.
pub async fn listen(addr: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(addr).await.wrap_err_with(|| format!("listen for callers on {addr}"))
}

/// Accepts callers until the node has drained.
pub async fn run(node: Arc<Node>, listener: TcpListener) {
    let places = Arc::new(Semaphore::new(node.settings.entry.callers));
    let refusals = Arc::new(Semaphore::new(REFUSALS));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        match places.clone().try_acquire_owned() {
            Ok(place) => drop(tokio::spawn(converse(node.clone(), stream, place))),
            Err(_) => {
                if let Ok(permit) = refusals.clone().try_acquire_owned() {
                    tokio::spawn(refuse(stream, permit));
                }
            }
        }
    }
}

/// Serves one connection. Once the node drains, the connection closes behind the request it is at.
async fn converse(node: Arc<Node>, stream: TcpStream, _place: OwnedSemaphorePermit) {
    let settings = &node.settings.entry;
    let mut stream = TimeoutStream::new(stream);
    stream.set_write_timeout(Some(settings.body_time.duration()));
    let io = TokioIo::new(Box::pin(stream));
    let serving = node.clone();
    let service = service_fn(move |request| {
        let node = serving.clone();
        async move { Ok::<_, Infallible>(serve::handle(node, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(settings.head_time.duration())
        .max_buf_size(settings.head_limit)
        .max_headers(HEADER_COUNT)
        .serve_connection(io, service);
    let mut connection = pin!(connection);
    let mut closing = node.follow_closing();
    tokio::select! {
        result = connection.as_mut() => note_end(result),
        () = closed(&mut closing) => {
            connection.as_mut().graceful_shutdown();
            note_end(connection.await);
        }
    }
}

async fn closed(closing: &mut watch::Receiver<bool>) {
    if closing.wait_for(|closing| *closing).await.is_err() {
        std::future::pending::<()>().await;
    }
}

fn note_end(result: hyper::Result<()>) {
    if let Err(error) = result {
        tracing::debug!(event = "caller_connection_ended", %error);
    }
}

/// Tells a caller beyond the limit that its request was not run.
async fn refuse(stream: TcpStream, _permit: OwnedSemaphorePermit) {
    let service = service_fn(|_| async {
        let failure = Failure::new(Kind::TooManyCallers, "the node has as many callers as it may");
        Ok::<_, Infallible>(answer::failed(&failure))
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .keep_alive(false)
        .serve_connection(TokioIo::new(stream), service);
    let _ = tokio::time::timeout(REFUSAL_TIME, connection).await;
}
