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
const LAYOUT: u8 = 3;

/// A message that is packed on its way. Both sides have the same type of it: a field that one of them
/// leaves out can't be read by the other.
#[derive(Debug, Clone, PartialEq)]
pub struct Packed<T>(pub T);

impl<T: Serialize> Serialize for Packed<T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let bytes = postcard::to_extend(&self.0, vec![LAYOUT]).map_err(S::Error::custom)?;
        serializer.serialize_str(&STANDARD_NO_PAD.encode(bytes))
    }
}

impl<'de, T: DeserializeOwned> Deserialize<'de> for Packed<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let bytes = STANDARD_NO_PAD.decode(text).map_err(D::Error::custom)?;
        let Some((&LAYOUT, message)) = bytes.split_first() else {
            return Err(D::Error::custom("packed by another release"));
        };
        match postcard::take_from_bytes(message).map_err(D::Error::custom)? {
            (message, []) => Ok(Self(message)),
            (_, rest) => Err(D::Error::custom(format!("{} bytes are left", rest.len()))),
        }
    }
}
