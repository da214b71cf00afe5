//! The callers' side: takes requests, decides, forwards, and answers for the outcome.
//!
//! - [`request`] reads a request; every way in which it can be wrong has its answer.
//! - [`answer`] writes answers, failures by the one table of [`crate::error`].
//! - [`serve`] sends each request its way; [`ground`] is what it is decided on.
//! - [`complete`] answers completions from a generation, [`respond`] writes them out, [`keep`] has
//!   requests wait.
//! - [`dispatch`] finds a backend server, or has the request wait for one.
//! - [`generation`] is an answer being generated: readers come and go, attempts change.
//! - [`generate`] makes the attempts at engines, [`plain`] those at plain services.
//! - [`drain`] stops a node without cutting a request off.
//! - [`hand_over`] moves streams to a peer when the node stops.
//! - [`unrepeatable`] puts the ledger around attempts that may run once.

pub(crate) mod complete;
pub mod dispatch;
pub(crate) mod drain;
pub mod generate;
pub mod generation;
pub(crate) mod ground;
pub(crate) mod hand_over;
pub(crate) mod keep;
pub mod plain;
pub mod request;
pub(crate) mod respond;
pub mod serve;
pub mod unrepeatable;
