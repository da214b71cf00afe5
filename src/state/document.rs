//! A document that operators publish for every entry box: the table of routes, as they wrote it.
//!
//! The group does not read it. It keeps the text with its version, and the highest version wins; so
//! what an operator reads back is what was published, to the byte. Between replicas and in their logs it is packed: an
//! entry that is long on its way holds up the heartbeats behind it, and with them the leader's lease.

use std::sync::Arc;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use serde::{Deserialize, Serialize};

use super::difference::{Difference, DifferenceError, Digest};

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

/// A document as the group's log has it: its text deflated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedDocument {
    version: Version,
    digest: Digest,
    /// In base64, as an entry is text.
    packed: String,
}

impl PackedDocument {
    /// Packs a document; for a megabyte this takes tens of milliseconds.
    pub fn pack(document: &Document) -> Self {
        let packed = Difference::between("", &document.text).pack();
        let digest = Digest::of(&document.text);
        Self { version: document.version, digest, packed: STANDARD_NO_PAD.encode(packed) }
    }

    /// The document.
    ///
    /// # Errors
    /// When it is damaged.
    pub fn unpack(&self) -> Result<Document, DifferenceError> {
        let packed =
            STANDARD_NO_PAD.decode(&self.packed).map_err(|_| DifferenceError::Unreadable)?;
        let text = Difference::unpack(&packed)?.apply("", self.digest)?;
        Ok(Document { version: self.version, text: text.into() })
    }
}
