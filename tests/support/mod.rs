//! What integration tests share: the harness of real processes, and stand-ins for the users' platform.

#![allow(unused_imports, dead_code, reason = "each test takes what it needs")]

pub mod platform;
pub mod system;

pub use emberturn_fakes::cluster::*;
