//! Frequent messages between boxes, in a compact form inside a call.
//!
//! The words between boxes and the leader are most of what the group's links carry. As JSON two thirds
//! of such a word are names of fields and digits. Packed, it is [`postcard`]'s bytes in base64, since a
//! call is text.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use serde::de::{DeserializeOwned, Error as _};
use serde::ser::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Tells the types of messages apart from those of other releases, whose bytes could read as other values.
/// It changes with any type that is packed.
const LAYOUT: u8 = 8;

/// A message that is packed on its way. Both sides have the same type of it: a field that one of them
/// leaves out can't be read by the other.
#[derive(Debug, Clone, PartialEq)]
pub struct Packed<T>(pub T);

/// Why a packed message cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("a packed message cannot be read: {0}")]
pub struct Unreadable(String);

/// A message as it goes into a call.
///
/// # Errors
/// When the type has no packed form.
pub fn pack<T: Serialize>(message: &T) -> Result<String, Unreadable> {
    let bytes = postcard::to_extend(message, vec![LAYOUT]);
    let bytes = bytes.map_err(|error| Unreadable(error.to_string()))?;
    Ok(STANDARD_NO_PAD.encode(bytes))
}

/// A message from its packed form.
///
/// # Errors
/// When it was packed by another release, or is none.
pub fn unpack<T: DeserializeOwned>(text: &str) -> Result<T, Unreadable> {
    let unreadable = |text: &dyn std::fmt::Display| Unreadable(text.to_string());
    let bytes = STANDARD_NO_PAD.decode(text).map_err(|error| unreadable(&error))?;
    let Some((&LAYOUT, message)) = bytes.split_first() else {
        return Err(unreadable(&"packed by another release"));
    };
    match postcard::take_from_bytes(message).map_err(|error| unreadable(&error))? {
        (message, []) => Ok(message),
        (_, rest) => Err(unreadable(&format!("{} bytes are left", rest.len()))),
    }
}

impl<T: Serialize> Serialize for Packed<T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&pack(&self.0).map_err(S::Error::custom)?)
    }
}

impl<'de, T: DeserializeOwned> Deserialize<'de> for Packed<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        unpack(&text).map(Self).map_err(D::Error::custom)
    }
}
