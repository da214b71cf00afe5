//! Accepts callers' connections and holds the limits against slow and many callers.

use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::io;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::time::{Sleep, sleep_until};
use tokio_io_timeout::TimeoutStream;

use super::Body;
use super::close_delimited::{CloseDelimited, is_close_delimited};
use super::gate::{Busy, Gate, Link, Place};
use super::listen::accept;
use crate::decide::memory::MemoryClaim;

/// Headers of one request at most.
const HEADER_COUNT: usize = 64;

/// The least buffer the library takes, in bytes.
const LEAST_BUFFER: usize = 8_192;

/// How long a refused caller may take to be told so.
const REFUSAL_TIME: Duration = Duration::from_millis(500);

/// Refusals written at the same time at most; callers beyond are cut off.
const REFUSALS: usize = 64;

/// Bytes of a refused body that are read at most: the largest that operators usually allow.
const DRAIN_BYTES: usize = 4 << 20;

/// How long that may take, with the wait for others' bodies: the largest comes in this time over a link
/// of 10 Mb/s, and who reads while it writes has the refusal at once.
const DRAIN_TIME: Duration = Duration::from_secs(5);

/// What the library buffers of a body that is read: pieces of up to twice the bytes of a head, one that
/// is handed on and one that arrives.
pub const READ_BYTES: u64 = 256 << 10;

/// What callers' connections are held to.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Connections at the same time.
    pub callers: usize,
    /// Bytes of a request's head.
    pub head: usize,
    /// Time for a head to arrive, once it has begun to, and for the first one of a connection.
    pub head_time: Duration,
    /// How long a connection may rest before its next head has arrived.
    pub rest_time: Duration,
    /// Time in which a caller takes a piece of its answer.
    pub write_time: Duration,
}

/// Accepts callers until the task is dropped. Once `closing` is true, each connection closes behind
/// the request it is at. `refusal` is the answer to callers for whom there is no place.
///
/// The handler finds its hold on the connection, an [`Arc<Busy>`], among the request's extensions.
pub async fn run<H, F>(
    listener: TcpListener,
    gate: Arc<Gate>,
    closing: watch::Receiver<bool>,
    handler: H,
    refusal: fn() -> Response<Body>,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let refusals = Arc::new(Semaphore::new(REFUSALS));
    loop {
        let stream = accept(&listener).await;
        let _ = stream.set_nodelay(true);
        gate.bound_buffer(&stream);
        match gate.enter() {
            Some(place) => {
                let (handler, closing) = (handler.clone(), closing.clone());
                tokio::spawn(converse(stream, gate.clone(), closing, handler, place));
            }
            None => {
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
    gate: Arc<Gate>,
    mut closing: watch::Receiver<bool>,
    handler: H,
    place: Place,
) where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<Body>>,
{
    let limits = gate.limits;
    let link = place.link.clone();
    let mut stream = TimeoutStream::new(stream);
    stream.set_write_timeout(Some(limits.write_time));
    let delimited = Arc::new(CloseDelimited::default());
    let heard =
        Heard { stream: Box::pin(stream), link: link.clone(), delimited: delimited.clone() };
    let io = TokioIo::new(heard);
    let serving = link.clone();
    let service = service_fn(move |mut request: Request<Incoming>| {
        let busy = Busy::begin(&serving);
        request.extensions_mut().insert(busy.clone());
        let (version, method) = (request.version(), request.method().clone());
        let (answering, delimited) = (handler(request), delimited.clone());
        async move {
            let response = answering.await;
            if is_close_delimited(version, &method, &response) {
                delimited.begin();
            }
            Ok::<_, Infallible>(until_taken(response, delimited, busy))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.rest_time)
        .max_buf_size(limits.head.max(LEAST_BUFFER))
        .max_headers(HEADER_COUNT)
        .serve_connection(io, service);
    let mut connection = pin!(connection);
    let mut head_timer = HeadTimer::default();
    let (mut closes, mut is_told) = (false, false);
    loop {
        tokio::select! {
            // The timer of a head is right only behind the connection's own look at what arrived.
            biased;
            result = connection.as_mut() => return record_end(result),
            () = head_timer.expire(&gate, &link) => {
                return tracing::debug!(event = "head_too_slow");
            }
            () = closed(&mut closing), if !closes => closes = true,
            () = link.told() => {
                if link.is_cut() {
                    return;
                }
                closes = true;
            }
            () = head_read(&link), if closes && !is_told => {
                is_told = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

/// Waits until no head is arriving or due: a connection that is told to close before one is complete closes without an
/// answer. It is looked at whenever the connection is, so the end of a head needs no signal.
async fn head_read(link: &Link) {
    poll_fn(|_| match link.awaits_head() {
        true => Poll::Pending,
        false => Poll::Ready(()),
    })
    .await;
}

/// Ends a connection whose head does not arrive in its time. It is looked at whenever the connection
/// is, so a head that arrives at once needs no timer.
#[derive(Default)]
struct HeadTimer {
    timer: Option<Pin<Box<Sleep>>>,
}

impl HeadTimer {
    async fn expire(&mut self, gate: &Gate, link: &Link) {
        poll_fn(|context| {
            let Some(since) = link.head_since() else {
                self.timer = None;
                return Poll::Pending;
            };
            let end = since + gate.head_time();
            let timer = self.timer.get_or_insert_with(|| Box::pin(sleep_until(end.into())));
            timer.as_mut().poll(context)
        })
        .await;
    }
}

/// Has a connection's link hear what arrives, and its close say whether its answer is complete.
struct Heard {
    stream: Pin<Box<TimeoutStream<TcpStream>>>,
    link: Arc<Link>,
    delimited: Arc<CloseDelimited>,
}

impl AsyncRead for Heard {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let heard = self.get_mut();
        let before = buffer.filled().len();
        ready!(heard.stream.as_mut().poll_read(context, buffer))?;
        let came = buffer.filled().len() - before;
        if came > 0 {
            heard.link.arrive(came as u64).map_err(io::Error::other)?;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Heard {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let heard = self.get_mut();
        heard.delimited.before_write(heard.stream.get_ref())?;
        heard.stream.as_mut().poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let heard = self.get_mut();
        heard.delimited.before_write(heard.stream.get_ref())?;
        heard.stream.as_mut().poll_write_vectored(context, pieces)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.get_mut().stream.as_mut().poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let heard = self.get_mut();
        heard.delimited.before_shutdown(heard.stream.get_ref())?;
        heard.stream.as_mut().poll_shutdown(context)
    }
}

/// An answer whose connection is busy until its body has been taken.
fn until_taken(
    response: Response<Body>,
    delimited: Arc<CloseDelimited>,
    busy: Arc<Busy>,
) -> Response<Body> {
    let taken = |body| Taken { body, failure: None, delimited, _busy: busy };
    response.map(|body| BodyExt::boxed_unsync(taken(body)))
}

struct Taken {
    body: Body,
    /// What the body failed with. The library drops what it has not written when it learns of a failure, so it
    /// gets a turn to write first.
    failure: Option<io::Error>,
    delimited: Arc<CloseDelimited>,
    _busy: Arc<Busy>,
}

impl hyper::body::Body for Taken {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let taken = self.get_mut();
        if let Some(error) = taken.failure.take() {
            return Poll::Ready(Some(Err(error)));
        }
        let frame = match ready!(Pin::new(&mut taken.body).poll_frame(context)).transpose() {
            Ok(frame) => frame,
            Err(error) => {
                taken.failure = Some(error);
                context.waker().wake_by_ref();
                return Poll::Pending;
            }
        };
        // The library asks for no other frame behind one with which the body ends.
        if frame.is_none() || taken.body.is_end_stream() {
            taken.delimited.end();
        }
        Poll::Ready(frame.map(Ok))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Reads what is left of a refused request's body and drops it, for a while: a caller that writes all
/// of it before it reads gets to read the refusal. Behind that its connection closes.
pub fn drain(busy: Arc<Busy>, mut body: Incoming) {
    tokio::spawn(async move {
        let gate = busy.link().gate();
        let draining = async {
            // Until its turn comes, no more is buffered than of a connection at rest.
            let Ok(_place) = gate.drains.acquire().await else {
                return;
            };
            let Ok(_charge) = gate.charge(READ_BYTES, MemoryClaim::Accepted) else {
                return;
            };
            let mut left = DRAIN_BYTES;
            while let Some(Ok(frame)) = body.frame().await {
                let length = frame.data_ref().map_or(0, Bytes::len);
                if length > left {
                    return;
                }
                left -= length;
            }
        };
        let _ = tokio::time::timeout(DRAIN_TIME, draining).await;
    });
}

async fn closed(closing: &mut watch::Receiver<bool>) {
    if closing.wait_for(|closing| *closing).await.is_err() {
        std::future::pending::<()>().await;
    }
}

fn record_end(result: hyper::Result<()>) {
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
