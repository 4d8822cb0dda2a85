//! The error of opening the registers.

use crate::{DecodeError, InvalidSetting};
use basaltgw_types::Member;

/// Why the registers can't be opened.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum OpenError {
    /// A setting is out of range.
    #[error(transparent)]
    Settings(#[from] InvalidSetting),
    /// A stored record can't be decoded.
    #[error("registers: stored record {key}: {error}")]
    Record {
        /// Its key, the first bytes in hex.
        key: String,
        /// What was found and expected.
        error: DecodeError,
    },
    /// There are registers, but no record of the member that they belong to.
    #[error("registers: found stored registers without the record of their member, expected it beside them")]
    NoMeta,
    /// The records belong to another member, whose votes must not be continued.
    #[error("registers: found stored records of {found}, expected those of {expected}")]
    Foreign {
        /// The member in the records.
        found: Member,
        /// This member.
        expected: Member,
    },
}
