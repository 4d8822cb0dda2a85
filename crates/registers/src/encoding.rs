//! The encoding of messages and stored records: a version byte, then postcard.

use serde::de::DeserializeOwned;
use serde::Serialize;

/// The version of messages and stored records; others are rejected.
pub(crate) const VERSION: u8 = 1;

/// Bytes that are no message or stored record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The bytes are of another version.
    #[error("a message or record of version {0}, expected version {VERSION}")]
    Version(u8),
    /// The bytes are truncated, too many, or out of range.
    #[error("expected a whole message or record of version {VERSION}")]
    Malformed,
}

/// Encodes a message or stored record.
pub(crate) fn encode<T: Serialize>(value: &T) -> Option<Vec<u8>> {
    postcard::to_extend(value, vec![VERSION]).ok()
}

/// Decodes a message or stored record.
///
/// # Errors
/// If the bytes are of another version, truncated, or have bytes left over.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    let (version, rest) = bytes.split_first().ok_or(DecodeError::Malformed)?;
    if *version != VERSION {
        return Err(DecodeError::Version(*version));
    }
    match postcard::take_from_bytes(rest) {
        Ok((value, [])) => Ok(value),
        Ok(_) | Err(_) => Err(DecodeError::Malformed),
    }
}
