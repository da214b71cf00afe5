//! Boundary to the wire formats of callers, backend servers and operators.
//!
//! An implementation converts between headers or documents and types, and makes no decisions. The
//! relay handles hop-by-hop headers itself; implementations do not see them.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::http::request::Parts;
use hyper::{HeaderMap, StatusCode};

use super::call::{Call, CallHead, MoveReply, SendContext, ServerReply, ServerReport};
use super::table::RouteTable;
use crate::error::Failure;
use crate::ids::BackendId;

/// Parses and writes the formats of callers, backend servers and operators.
pub trait Dialect: Send + Sync + 'static {
    /// Parses a request's head.
    ///
    /// # Errors
    /// [`crate::error::Kind::BadRequest`] if a header cannot be parsed.
    fn read_call(&self, head: &Parts) -> Result<CallHead, Failure>;

    /// Writes the headers with which a call is sent to a backend server.
    fn write_call(&self, call: &Call, context: &SendContext<'_>) -> HeaderMap;

    /// Parses the head of a backend server's reply, sent on a connection on which one to a call is due.
    fn read_reply(&self, call: &Call, status: StatusCode, headers: &HeaderMap) -> ServerReply;

    /// Writes the path, headers and body that ask `server`, and no other server at its address, to
    /// stop a call's run and to copy its KV cache to `target`.
    fn write_move(
        &self,
        call: &Call,
        server: &BackendId,
        target: SocketAddr,
    ) -> (&'static str, HeaderMap, String);

    /// Parses the reply to the request written by [`Self::write_move`].
    fn read_move_reply(&self, body: &[u8]) -> MoveReply;

    /// Writes the path and headers that ask `server`, and no other server at its address, for a
    /// status report.
    fn write_report(&self, server: &BackendId) -> (&'static str, HeaderMap);

    /// Parses a status report; `None` if it is not one.
    fn read_report(&self, body: &[u8]) -> Option<ServerReport>;

    /// Adds the headers of an answer that the relay itself generates: the id of the request and the
    /// Retry-After.
    fn mark_relay_answer(&self, headers: &mut HeaderMap, id: Option<&str>, wait: Option<Duration>);

    /// Parses a published configuration document.
    ///
    /// # Errors
    /// Why the document is invalid.
    fn read_table(&self, text: &str) -> Result<RouteTable, String>;
}
