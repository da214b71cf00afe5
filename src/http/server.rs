//! Accepts callers' connections and holds the limits against slow and many callers.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use eyre::{Result, WrapErr};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio_io_timeout::TimeoutStream;

use super::Body;

/// Headers of one request at most.
const HEADER_COUNT: usize = 64;

/// The least buffer the library takes, in bytes.
const LEAST_BUFFER: usize = 8_192;

/// How long a refused caller may take to be told so.
const REFUSAL_TIME: Duration = Duration::from_millis(500);

/// Refusals written at the same time at most; callers beyond are cut off.
const REFUSALS: usize = 64;

/// Pause after a connection could not be accepted, which happens when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What callers' connections are held to.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Connections at the same time.
    pub callers: usize,
    /// Bytes of a request's head.
    pub head: usize,
    /// Time for a head to arrive. A connection that rests between requests is held to it as well.
    pub head_time: Duration,
    /// Time in which a caller takes a piece of its answer.
    pub write_time: Duration,
}

/// Listens at an address; `whom` says for whom in errors.
///
/// # Errors
/// When the address cannot be listened on.
pub async fn listen(addr: SocketAddr, whom: &str) -> Result<TcpListener> {
    TcpListener::bind(addr).await.wrap_err_with(|| format!("listen for {whom} on {addr}"))
}

/// Accepts callers until the task is dropped. Once `closing` is true, each connection closes behind
/// the request it is at. `refusal` is the answer to callers beyond the limit.
pub async fn run<H, F>(
    listener: TcpListener,
    limits: Limits,
    closing: watch::Receiver<bool>,
    handler: H,
    refusal: fn() -> Response<Body>,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let places = Arc::new(Semaphore::new(limits.callers));
    let refusals = Arc::new(Semaphore::new(REFUSALS));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        match places.clone().try_acquire_owned() {
            Ok(place) => {
                let (handler, closing) = (handler.clone(), closing.clone());
                tokio::spawn(converse(stream, limits, closing, handler, place));
            }
            Err(_) => {
                if let Ok(permit) = refusals.clone().try_acquire_owned() {
                    tokio::spawn(refuse(stream, refusal, permit));
                }
            }
        }
    }
}

/// Serves one connection.
async fn converse<H, F>(
    stream: TcpStream,
    limits: Limits,
    mut closing: watch::Receiver<bool>,
    handler: H,
    _place: OwnedSemaphorePermit,
) where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<Body>>,
{
    let mut stream = TimeoutStream::new(stream);
    stream.set_write_timeout(Some(limits.write_time));
    let io = TokioIo::new(Box::pin(stream));
    let service = service_fn(|request| {
        let answering = handler(request);
        async move { Ok::<_, Infallible>(answering.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_time)
        .max_buf_size(limits.head.max(LEAST_BUFFER))
        .max_headers(HEADER_COUNT)
        .serve_connection(io, service);
    let mut connection = pin!(connection);
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
async fn refuse(stream: TcpStream, refusal: fn() -> Response<Body>, _permit: OwnedSemaphorePermit) {
    let service = service_fn(|_| async move { Ok::<_, Infallible>(refusal()) });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .keep_alive(false)
        .serve_connection(TokioIo::new(stream), service);
    let _ = tokio::time::timeout(REFUSAL_TIME, connection).await;
}
