//! What every side that answers HTTP/1.1 shares: accepting connections, checking heads, bodies.
//!
//! Nothing here knows what is asked. [`listen`] opens listeners, [`server`] runs connections, [`gate`] counts them and says which
//! are to go, [`head`] refuses heads that break the protocol or a limit, [`charged`] charges bytes to
//! the box's memory, [`channel`] makes bodies that another task writes,
//! [`close_delimited`] resets connections whose close would complete an answer that broke off, [`status`]
//! says which statuses an answer may have.

pub mod answer;
pub mod channel;
pub mod charged;
mod close_delimited;
pub mod gate;
pub mod head;
pub mod listen;
pub mod server;
pub mod silence;
pub mod status;

use std::io;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};

/// An answer's body, whole or streamed.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// A whole body.
pub fn whole(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}
