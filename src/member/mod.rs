//! Membership: which boxes are live and which backend servers are leaving, shared by gossip.
//!
//! - [`table`] holds the membership table and merges updates into it, without I/O.
//! - [`spread`] gossips updates and probes boxes in the manner of SWIM (Das, Gupta and Motivala, 2002):
//!   an update goes at once to a few random boxes, each of which forwards it. Every second a node probes
//!   one random box, and asks others to probe it too before it suspects the box.
//! - [`home`] selects the box that takes over a request's stream when the box that serves it goes away.

pub mod home;
pub mod spread;
pub mod table;
