//! Checks of a request's head that the HTTP library leaves to its user.

use hyper::header::{HOST, HeaderMap};
use hyper::{Method, Request, Version};

use crate::error::{Failure, Kind};

/// Bytes around each header on the wire: the colon, the blank and the line's end.
const HEADER_EXTRA: usize = 4;

/// Refuses a head that is larger than `limit` bytes, names no host or several, or asks for a tunnel.
///
/// # Errors
/// [`Kind::HeadTooLarge`] or [`Kind::BadRequest`].
pub fn check<B>(request: &Request<B>, limit: usize) -> Result<(), Failure> {
    let length = size(request);
    if length > limit {
        let text = format!("the head has {length} bytes, {limit} are allowed");
        return Err(Failure::new(Kind::HeadTooLarge, text));
    }
    if request.method() == Method::CONNECT {
        return Err(Failure::new(Kind::BadRequest, "tunnels are not offered"));
    }
    let hosts = request.headers().get_all(HOST).iter().count();
    let needed = request.version() >= Version::HTTP_11;
    if hosts > 1 || (needed && hosts == 0) {
        return Err(Failure::new(Kind::BadRequest, "exactly one Host header is needed"));
    }
    Ok(())
}

/// The bytes of a head as it came, to within a few.
pub fn size<B>(request: &Request<B>) -> usize {
    let path = request.uri().path_and_query().map_or(0, |path| path.as_str().len());
    let line = request.method().as_str().len() + path + "  HTTP/1.1\r\n".len();
    line + headers_size(request.headers())
}

fn headers_size(headers: &HeaderMap) -> usize {
    headers.iter().map(|(name, value)| name.as_str().len() + value.len() + HEADER_EXTRA).sum()
}
