//! Newtypes for every name and number that identifies something.
//!
//! Names are 1 to 64 characters from `A-Z a-z 0-9 . _ -`, so that they can stand in a settings
//! section, a URL path and a log line without quoting.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

mod suspect;

pub use suspect::{SegmentKey, SegmentSet, Suspect};

/// The longest name accepted, in characters.
pub const NAME_LIMIT: usize = 64;

/// Why a text is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum NameError {
    /// The text is empty or longer than [`NAME_LIMIT`].
    #[error("a name has 1 to {NAME_LIMIT} characters, this one has {0}")]
    Length(usize),
    /// The text holds a character that names may not hold.
    #[error("a name holds letters, digits, '.', '_' and '-' only, not {0:?}")]
    Character(char),
}

fn check_name(text: &str) -> Result<(), NameError> {
    let length = text.chars().count();
    if length == 0 || length > NAME_LIMIT {
        return Err(NameError::Length(length));
    }
    match text.chars().find(|c| !(c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-'))) {
        Some(character) => Err(NameError::Character(character)),
        None => Ok(()),
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                check_name(text)?;
                Ok(Self(text.to_owned()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                check_name(&text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0
            }
        }
    };
}

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The number that follows this one.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    };
}

name_type! {
    /// A box: one machine that runs a node.
    BoxId
}
name_type! {
    /// A data centre.
    DataCentre
}
name_type! {
    /// A region: data centres that are near each other.
    Region
}
name_type! {
    /// A team: a customer's group that is owed latency targets.
    TeamName
}
name_type! {
    /// A service: a model, or a plain service beside the model engines.
    ServiceName
}
name_type! {
    /// A backend server: one engine or one instance of a plain service.
    BackendId
}
name_type! {
    /// A release of a service's software.
    Release
}
name_type! {
    /// A policy.
    PolicyName
}
name_type! {
    /// An operator's id for one change; resending it gets the first answer again.
    ChangeId
}

number_type! {
    /// A revision of the configuration. It only grows.
    Revision
}
number_type! {
    /// A published document's version, chosen by the operator.
    Version
}
number_type! {
    /// A usage window: its number since the start of 1970.
    Window
}
number_type! {
    /// A term of the replicated group.
    Term
}
number_type! {
    /// A place in the replicated log; the first entry has 1.
    Index
}
number_type! {
    /// One life of a box's disk or of a process; 0 stands for none.
    Incarnation
}
number_type! {
    /// A number that grows with each owner of a piece of work; orders with a lower one are void.
    Fence
}

impl Incarnation {
    /// Whether it names no life.
    pub fn is_none(&self) -> bool {
        self.0 == 0
    }
}

/// A backend server in one of its lives. All that is known of a server is known of one life: it holds
/// nothing of what an earlier one held.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerKey {
    /// The server.
    pub id: BackendId,
    /// The life; [`Incarnation`] 0 where nothing tells it.
    pub life: Incarnation,
}

impl From<&BackendId> for ServerKey {
    /// The server in a life that nothing tells.
    fn from(id: &BackendId) -> Self {
        Self { id: id.clone(), life: Incarnation::default() }
    }
}

impl From<BackendId> for ServerKey {
    fn from(id: BackendId) -> Self {
        Self { id, life: Incarnation::default() }
    }
}

impl fmt::Display for ServerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.id, self.life)
    }
}

/// Which request it is, whatever id an attempt at it has: a hash of its caller, path and body. Nobody can make
/// one that is another caller's.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct Fingerprint(pub [u8; 16]);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for Fingerprint {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        if let Some(odd) = text.chars().find(|c| !c.is_ascii_hexdigit()) {
            return Err(NameError::Character(odd));
        }
        let length = NameError::Length(text.len());
        let number = u128::from_str_radix(text, 16).map_err(|_| length.clone())?;
        if text.len() != 2 * size_of::<Self>() {
            return Err(length);
        }
        Ok(Self(number.to_be_bytes()))
    }
}

impl TryFrom<String> for Fingerprint {
    type Error = NameError;

    fn try_from(text: String) -> Result<Self, NameError> {
        text.parse()
    }
}

impl From<Fingerprint> for String {
    fn from(request: Fingerprint) -> Self {
        request.to_string()
    }
}

/// The longest idempotency key accepted, in bytes.
pub const KEY_LIMIT: usize = 256;

/// The caller's identity for a request, from its `Idempotency-Key` header.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestKey(String);

impl RequestKey {
    /// The key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// A key no caller has chosen, for a request that came without one.
    pub fn random() -> Self {
        Self(uuid::Uuid::new_v4().simple().to_string())
    }
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for RequestKey {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        if text.is_empty() || text.len() > KEY_LIMIT {
            return Err(NameError::Length(text.len()));
        }
        match text.chars().find(|c| c.is_control()) {
            Some(character) => Err(NameError::Character(character)),
            None => Ok(Self(text.to_owned())),
        }
    }
}

/// One attempt at a request on one backend server. Engines echo it on every chunk.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AttemptId(String);

impl AttemptId {
    /// A new attempt's id.
    pub fn random() -> Self {
        Self(uuid::Uuid::new_v4().simple().to_string())
    }

    /// The id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for AttemptId {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        check_name(text)?;
        Ok(Self(text.to_owned()))
    }
}
