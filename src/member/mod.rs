//! Which boxes are there, which backend servers are leaving: liveness and news between nodes.

pub mod table;
