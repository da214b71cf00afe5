//! The edge to how callers, backend servers and operators write things down.
//!
//! An implementation turns heads into types and types into heads, and decides nothing. Headers that
//! concern one connection only are the relay's business: they never reach it.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::http::request::Parts;
use hyper::{HeaderMap, StatusCode};

use super::call::{Call, CallHead, MoveReply, ReplyHead, SendContext, ServerReport};
use super::table::RouteTable;
use crate::error::Failure;
use crate::ids::BackendId;

/// How callers, backend servers and operators write things down.
pub trait Dialect: Send + Sync + 'static {
    /// Reads a request's head.
    ///
    /// # Errors
    /// [`crate::error::Kind::BadRequest`] when a header cannot be read.
    fn read_call(&self, head: &Parts) -> Result<CallHead, Failure>;

    /// The headers with which a call goes to a backend server.
    fn write_call(&self, call: &Call, context: &SendContext<'_>) -> HeaderMap;

    /// Reads the head of a backend server's answer to a call.
    fn read_reply(&self, call: &Call, status: StatusCode, headers: &HeaderMap) -> ReplyHead;

    /// The path, headers and body with which this backend server, and no other, is asked to stop a call's run
    /// and to copy its memory to another one.
    fn write_move(
        &self,
        call: &Call,
        server: &BackendId,
        target: SocketAddr,
    ) -> (&'static str, HeaderMap, String);

    /// What the server says to that.
    fn read_move_reply(&self, body: &[u8]) -> MoveReply;

    /// The path and headers with which a backend server, and no other at its address, is asked for a
    /// report on itself.
    fn write_report(&self, server: &BackendId) -> (&'static str, HeaderMap);

    /// Reads that report; `None` where it is none.
    fn read_report(&self, body: &[u8]) -> Option<ServerReport>;

    /// Marks an answer of the relay's own: whose it is, and when to come back.
    fn mark_relay_answer(&self, headers: &mut HeaderMap, id: Option<&str>, wait: Option<Duration>);

    /// Reads a published document.
    ///
    /// # Errors
    /// Why it is not valid.
    fn read_table(&self, text: &str) -> Result<RouteTable, String>;
}
