//! The few HTTP helpers the stand-ins share: a server loop and a one-shot client.

use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;
use eyre::{Result, WrapErr};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use serde_json::Value;
use tokio::net::{TcpListener, TcpStream};

/// The error a streamed body ends with when a stand-in cuts it short on purpose.
pub type BodyError = std::io::Error;

/// A response whose body is either whole or streamed.
pub type Reply = Response<UnsyncBoxBody<Bytes, BodyError>>;

/// Serves HTTP/1.1 on `listener` until the task is dropped, one task per connection.
pub async fn serve<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        connections.spawn(async move {
            let service = service_fn(move |request| {
                let answer = handler(request);
                async move { Ok::<_, std::convert::Infallible>(answer.await) }
            });
            let _ = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
        while connections.try_join_next().is_some() {}
    }
}

/// A JSON answer with the given status.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Reply {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let body = Full::new(Bytes::from(text)).map_err(|never| match never {}).boxed_unsync();
    let mut reply = Response::new(body);
    *reply.status_mut() = status;
    let kind = hyper::header::HeaderValue::from_static("application/json");
    reply.headers_mut().insert(hyper::header::CONTENT_TYPE, kind);
    reply
}

/// A plain-text answer with the given status.
pub fn text(status: StatusCode, value: &str) -> Reply {
    bytes(status, Bytes::from(value.to_owned()))
}

/// An answer of these bytes with the given status.
pub fn bytes(status: StatusCode, value: Bytes) -> Reply {
    let body = Full::new(value);
    let mut reply = Response::new(body.map_err(|never| match never {}).boxed_unsync());
    *reply.status_mut() = status;
    reply
}

/// Reads a request body whole; an unreadable body reads as empty.
pub async fn read_body(request: Request<Incoming>) -> Bytes {
    match request.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => Bytes::new(),
    }
}

/// A whole answer to a one-shot call.
#[derive(Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers, in the order received.
    pub headers: hyper::HeaderMap,
    /// The body, whole.
    pub body: Bytes,
}

impl Answer {
    /// The body as text; bytes that are not UTF-8 are replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The body as JSON; `Null` when it is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// A header's value, or the empty string.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
    }
}

/// One call on a connection of its own; the answer is returned as soon as its headers are in.
///
/// # Errors
/// When the address does not answer, or the connection ends before the headers.
pub async fn open(addr: SocketAddr, request: Request<Full<Bytes>>) -> Result<Response<Incoming>> {
    let stream = TcpStream::connect(addr).await.wrap_err_with(|| format!("connect to {addr}"))?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    sender.send_request(request).await.wrap_err("send the request")
}

/// One call on a connection of its own, read to the end.
///
/// # Errors
/// As [`open`], and when the body ends early.
pub async fn call(addr: SocketAddr, request: Request<Full<Bytes>>) -> Result<Answer> {
    let response = open(addr, request).await?;
    let (parts, body) = response.into_parts();
    let body = body.collect().await.wrap_err("read the answer")?.to_bytes();
    Ok(Answer { status: parts.status, headers: parts.headers, body })
}

/// A request with a JSON body and extra headers.
///
/// # Panics
/// When the path or a header is not valid HTTP: both are written by the caller's own code.
pub fn post(path: &str, headers: &[(&str, &str)], body: &Value) -> Request<Full<Bytes>> {
    let mut builder = Request::post(path).header("host", "local");
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    let bytes = Bytes::from(body.to_string());
    builder
        .header("content-type", "application/json")
        .body(Full::new(bytes))
        .expect("the path and headers are valid")
}

/// A GET request.
///
/// # Panics
/// When the path or a header is not valid HTTP: both are written by the caller's own code.
pub fn get(path: &str, headers: &[(&str, &str)]) -> Request<Full<Bytes>> {
    let mut builder = Request::get(path).header("host", "local");
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    builder.body(Full::new(Bytes::new())).expect("the path and headers are valid")
}
