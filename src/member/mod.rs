//! Which boxes are there, which backend servers are leaving: liveness and news between nodes.
//!
//! - [`table`] holds what is known and merges what is heard; pure.
//! - [`spread`] passes news on by gossip and probes boxes, in the manner of SWIM (Das, Gupta and
//!   Motivala, 2002): news goes at once to a few boxes at random, each of which passes it on; each
//!   second one box is asked whether it answers, by others too before it is suspected.
//! - [`home`] gives the box that holds a request's stream when its own box goes.

pub mod home;
pub mod spread;
pub mod table;
