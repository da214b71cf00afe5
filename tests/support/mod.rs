//! What integration tests share: the harness of real processes.

#![allow(unused_imports, reason = "each test takes what it needs")]

pub use emberturn_fakes::cluster::*;
