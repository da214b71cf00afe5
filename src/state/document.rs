//! The document that operators publish for all entry boxes: the route table.
//!
//! The group does not parse it. It stores the text with its version and keeps the highest version, so
//! operators read back exactly the bytes they published. Between replicas and in their logs the text is
//! compressed: a log entry that takes long to send delays the heartbeats queued behind it, and with
//! them the leader's lease.

use std::sync::Arc;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use serde::{Deserialize, Serialize};

use super::difference::{Difference, DifferenceError, Digest};

pub use crate::ids::Version;

/// A published document. Version 0 means that none has been published.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The version, chosen by the operator.
    pub version: Version,
    /// The text as published.
    pub text: Arc<str>,
}

impl Default for Document {
    fn default() -> Self {
        Self { version: Version(0), text: Arc::from("") }
    }
}

/// A document as it is stored in the group's log, with its text compressed by DEFLATE.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedDocument {
    version: Version,
    digest: Digest,
    /// Base64, because a log entry is text.
    packed: String,
}

impl PackedDocument {
    /// Compresses a document, which takes tens of milliseconds per megabyte.
    pub fn pack(document: &Document) -> Self {
        let packed = Difference::between("", &document.text).pack();
        let digest = Digest::of(&document.text);
        Self { version: document.version, digest, packed: STANDARD_NO_PAD.encode(packed) }
    }

    /// Decompresses the document.
    ///
    /// # Errors
    /// When the data is damaged or the text does not match its digest.
    pub fn unpack(&self) -> Result<Document, DifferenceError> {
        let packed =
            STANDARD_NO_PAD.decode(&self.packed).map_err(|_| DifferenceError::Unreadable)?;
        let text = Difference::unpack(&packed)?.apply("", self.digest)?;
        Ok(Document { version: self.version, text: text.into() })
    }
}
