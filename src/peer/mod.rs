//! How the system's own processes and its operators talk: JSON-RPC 2.0 over WebSocket.
//!
//! [`client`] calls, [`server`] answers. Every call carries the shared secret; the methods and
//! their types stand in [`method`], those that are sent most in the form of [`packed`].

pub mod client;
pub mod method;
pub mod packed;
pub mod server;

pub use client::{PeerError, Peers};
