//! Small stand-ins for what emberturn meets: model engines, plain services, the platform, a faulty
//! network and callers.
//!
//! They exist for tests, the quick start and the measuring command. Each one is a task that listens
//! on a loopback address and can also be run as a process of its own by the `emberturn-fakes`
//! binary. None of them decides anything on behalf of emberturn.

#![warn(missing_docs)]

pub mod cluster;
pub mod engine;
pub mod http;
pub mod platform;
pub mod proxy;
pub mod service;
pub mod tokens;
