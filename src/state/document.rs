//! A document that operators publish for every entry box: the table of routes, as they wrote it.
//!
//! The group does not read it. It keeps the text with its version, and the highest version wins; so
//! what an operator reads back is what was published, to the byte.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

pub use crate::ids::Version;

/// A published document. Version 0 stands for none.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Its version, chosen by the operator.
    pub version: Version,
    /// Its text.
    pub text: Arc<str>,
}

impl Default for Document {
    fn default() -> Self {
        Self { version: Version(0), text: Arc::from("") }
    }
}
