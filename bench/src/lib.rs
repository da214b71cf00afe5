//! Models that run emberturn's own decisions in virtual time.

#![warn(missing_docs)]

pub mod fleet;
