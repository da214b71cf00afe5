//! Which statuses an answer may have.

use hyper::StatusCode;

/// A status that no answer may have: it is interim, of no class, or no status at all.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("no answer has the status {0:03}")]
pub struct InvalidStatus(pub u16);

/// The status of an answer from its number: 200 to 599.
///
/// # Errors
/// [`InvalidStatus`] for any other number. An answer with such a status proves nothing of its request.
pub fn answer_status(number: u16) -> Result<StatusCode, InvalidStatus> {
    match StatusCode::from_u16(number) {
        Ok(status) if (200..=599).contains(&number) => Ok(status),
        Ok(_) | Err(_) => Err(InvalidStatus(number)),
    }
}
