//! Messages that hardly anybody reads, in a compact form inside a call.
//!
//! The words between boxes and the leader are most of what the group's links carry. As JSON two thirds
//! of such a word are names of fields and digits. Packed, it is [`postcard`]'s bytes in base64, since a
//! call is text.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use serde::de::{DeserializeOwned, Error as _};
use serde::ser::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// A message that is packed on its way. Both sides have the same type of it: a field that one of them
/// leaves out can't be read by the other.
#[derive(Debug, Clone, PartialEq)]
pub struct Packed<T>(pub T);

impl<T: Serialize> Serialize for Packed<T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let bytes = postcard::to_stdvec(&self.0).map_err(S::Error::custom)?;
        serializer.serialize_str(&STANDARD_NO_PAD.encode(bytes))
    }
}

impl<'de, T: DeserializeOwned> Deserialize<'de> for Packed<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let bytes = STANDARD_NO_PAD.decode(text).map_err(D::Error::custom)?;
        postcard::from_bytes(&bytes).map(Self).map_err(D::Error::custom)
    }
}
