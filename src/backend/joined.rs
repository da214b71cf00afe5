//! Heads into which the one of the next answer ran: a server in trouble sent part of a head behind a whole answer.
//!
//! Such a head has the status of the one and the request id of the other, so it proves nothing of any request.

use hyper::ext::ReasonPhrase;
use hyper::http::response::Parts;

/// How the status line of an answer begins; the minor version, a space and the status follow.
const STATUS_LINE: &[u8] = b"HTTP/1.";

/// Whether the reason or a header of an answer holds the beginning of another answer.
pub(super) fn is_joined(head: &Parts) -> bool {
    let reason = head.extensions.get::<ReasonPhrase>().map(ReasonPhrase::as_bytes);
    let values = head.headers.values().map(|value| value.as_bytes());
    reason.into_iter().chain(values).any(holds_status_line)
}

/// Whether a text holds the beginning of an answer.
pub(super) fn holds_status_line(text: &[u8]) -> bool {
    memchr::memmem::find_iter(text, STATUS_LINE).any(|at| {
        let rest = &text[at + STATUS_LINE.len()..];
        matches!(rest, [b'0' | b'1', b' ', status @ ..] if starts_with_status(status))
    })
}

fn starts_with_status(text: &[u8]) -> bool {
    text.len() >= 3 && text[..3].iter().all(u8::is_ascii_digit)
}
