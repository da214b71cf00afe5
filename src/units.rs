//! Newtypes for sizes, rates and prices.

use std::fmt;
use std::ops::{Add, AddAssign, Sub};
use std::str::FromStr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

/// Has a newtype written and read as its bare number.
macro_rules! plain_number {
    ($name:ident) => {
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

/// Bytes of text taken to hold one token, when nothing better is known.
const BYTES_PER_TOKEN: usize = 4;

/// A number of tokens.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Tokens(pub u64);

impl Tokens {
    /// The estimate for a text: one token per four bytes, at least one.
    pub fn estimate(text: &str) -> Self {
        Self((text.len() / BYTES_PER_TOKEN + 1) as u64)
    }

    /// The difference, or none where `other` is larger.
    pub fn less(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Add for Tokens {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Tokens {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Sub for Tokens {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        self.less(other)
    }
}

plain_number!(Tokens);

/// A price in millionths of the customer's currency an hour.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Price(pub u64);

plain_number!(Price);

/// A span of time in whole milliseconds, as written in settings and messages.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The units in which it is written, each in milliseconds.
    pub const UNITS: [(&'static str, f64); 4] =
        [("ms", 1.0), ("s", 1_000.0), ("m", 60_000.0), ("h", 3_600_000.0)];

    /// The span as a [`Duration`].
    pub fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

/// A moment, in milliseconds since the start of 1970.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct UnixMillis(pub u64);

impl UnixMillis {
    /// Now, by this box's clock.
    pub fn now() -> Self {
        let passed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self(u64::try_from(passed.as_millis()).unwrap_or(u64::MAX))
    }
}

impl From<Duration> for Millis {
    fn from(duration: Duration) -> Self {
        Self(duration.as_millis().min(u128::from(u64::MAX)) as u64)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

impl FromStr for Millis {
    type Err = DurationError;

    /// Reads `250ms`, `0.5s`, `2m` or `1.5e3ms`, to the nearest millisecond; a bare number is
    /// milliseconds.
    fn from_str(text: &str) -> Result<Self, DurationError> {
        scaled(text, &Self::UNITS).map(Self).ok_or_else(|| DurationError(text.to_owned()))
    }
}

/// The amount that a text such as `1.5s` names in one of some units, to the nearest whole one of the least; a
/// bare number is in that.
fn scaled(text: &str, units: &[(&str, f64)]) -> Option<u64> {
    let number = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
    let factor = match &text[number.len()..] {
        "" => 1.0,
        unit => units.iter().find(|(name, _)| *name == unit)?.1,
    };
    let Number(number) = number.trim_end().parse().ok()?;
    let amount = (number * factor).round();
    // Above this a float no longer holds every whole number.
    let most = (1u64 << f64::MANTISSA_DIGITS) as f64;
    (amount <= most).then_some(amount as u64)
}

/// A number of bytes, as written in settings.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ByteSize(pub u64);

impl ByteSize {
    /// The units in which it is written, each in bytes.
    pub const UNITS: [(&'static str, f64); 4] = [("B", 1.0), ("kB", 1e3), ("MB", 1e6), ("GB", 1e9)];
}

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}B", self.0)
    }
}

impl FromStr for ByteSize {
    type Err = ByteSizeError;

    /// Reads `160MB`, `1.5GB`, `64kB` or `512B`, to the nearest byte; a bare number is bytes.
    fn from_str(text: &str) -> Result<Self, ByteSizeError> {
        scaled(text, &Self::UNITS).map(Self).ok_or_else(|| ByteSizeError(text.to_owned()))
    }
}

/// A text that is not a number of bytes.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a size such as 160MB, 1.5GB or 64kB")]
pub struct ByteSizeError(String);

/// A text that is not a span of time.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a time such as 250ms, 0.5s, 2m or 24h")]
pub struct DurationError(String);

/// A number as settings give it: finite, not below 0, written plain, with a fraction or with an
/// exponent.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
pub struct Number(pub f64);

impl Number {
    /// The next whole number, where only whole ones make sense.
    pub fn whole(self) -> u32 {
        self.0.ceil().min(f64::from(u32::MAX)) as u32
    }
}

impl fmt::Display for Number {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Number {
    type Err = NumberError;

    fn from_str(text: &str) -> Result<Self, NumberError> {
        let error = || NumberError(text.to_owned());
        let number: f64 = text.parse().map_err(|_| error())?;
        if number.is_finite() && number >= 0.0 { Ok(Self(number)) } else { Err(error()) }
    }
}

/// A number of requests a second, from 0 up.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestRate(pub f64);

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for RequestRate {
    type Err = NumberError;

    fn from_str(text: &str) -> Result<Self, NumberError> {
        text.parse().map(|Number(rate)| Self(rate))
    }
}

/// A text that is not a number from 0 up.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a number from 0 up, such as 3, 0.25 or 1e-3")]
pub struct NumberError(String);

/// A figure on its way to another box in single precision, which is a ten-millionth; one byte where there is
/// nothing. For use with `#[serde(with)]`; not for sums that differences are taken of.
pub mod thin {
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    /// Writes it.
    ///
    /// # Errors
    /// As the serializer's.
    pub fn serialize<S: Serializer>(value: &f64, serializer: S) -> Result<S::Ok, S::Error> {
        Some(*value as f32).filter(|it| *it != 0.0).serialize(serializer)
    }

    /// Reads it.
    ///
    /// # Errors
    /// As the deserializer's.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
        let value = Option::<f32>::deserialize(deserializer)?;
        Ok(value.map_or(0.0, f64::from))
    }
}
