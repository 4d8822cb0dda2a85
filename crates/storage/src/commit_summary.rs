//! The summary that each commit stores along with the entries: their number, their bytes, and the sum of their checksums.

use crate::checksum::{checksum, Checksum};
use crate::{Limits, StorageError};
use basaltgw_types::Incarnation;

/// Bytes of an encoded summary without its checksum.
const BODY_BYTES: usize = 56;

/// The sizes and the checksum of an entry.
#[derive(Clone, Copy, Debug)]
pub struct EntryDigest {
    pub key_bytes: usize,
    pub value_bytes: usize,
    pub checksum: Checksum,
}

impl EntryDigest {
    fn bytes(&self) -> u64 {
        (self.key_bytes + self.value_bytes) as u64
    }
}

/// The content of a database after a commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CommitSummary {
    pub incarnation: Incarnation,
    /// Commits so far; the creation of the database is the first.
    pub commits: u64,
    pub entries: u64,
    /// Bytes of all keys and values.
    pub bytes: u64,
    /// The wrapping sum of all entries' checksums: shows entries that are missing, outdated or duplicated.
    pub checksum_sum: u128,
}

impl CommitSummary {
    /// The summary of an empty database.
    pub fn new(incarnation: Incarnation) -> Self {
        Self { incarnation, commits: 1, entries: 0, bytes: 0, checksum_sum: 0 }
    }

    /// Adds an entry.
    pub fn add(&mut self, entry: EntryDigest) {
        self.entries += 1;
        self.bytes += entry.bytes();
        self.checksum_sum = self.checksum_sum.wrapping_add(u128::from_le_bytes(entry.checksum));
    }

    /// Subtracts an entry that was removed or replaced.
    pub fn subtract(&mut self, entry: EntryDigest) {
        self.entries = self.entries.saturating_sub(1);
        self.bytes = self.bytes.saturating_sub(entry.bytes());
        self.checksum_sum = self.checksum_sum.wrapping_sub(u128::from_le_bytes(entry.checksum));
    }

    /// Encodes the summary: its numbers in little-endian order, and their checksum.
    pub fn encode(self) -> Vec<u8> {
        let mut bytes = self.incarnation.0.to_le_bytes().to_vec();
        for number in [self.commits, self.entries, self.bytes] {
            bytes.extend(number.to_le_bytes());
        }
        bytes.extend(self.checksum_sum.to_le_bytes());
        bytes.extend(checksum(&[&bytes]));
        bytes
    }

    /// Decodes a summary, if its checksum matches.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (body, found) = bytes.split_at_checked(BODY_BYTES)?;
        let u128_at = |at: usize| body.get(at..at + 16)?.try_into().ok().map(u128::from_le_bytes);
        let u64_at = |at: usize| body.get(at..at + 8)?.try_into().ok().map(u64::from_le_bytes);
        let summary = Self {
            incarnation: Incarnation(u128_at(0)?),
            commits: u64_at(16)?,
            entries: u64_at(24)?,
            bytes: u64_at(32)?,
            checksum_sum: u128_at(40)?,
        };
        (checksum(&[body]) == found).then_some(summary)
    }

    /// Checks the limits.
    ///
    /// # Errors
    /// [`StorageError::LimitExceeded`] names the first one that is exceeded.
    pub fn check_limits(&self, limits: &Limits) -> Result<(), StorageError> {
        if self.entries > limits.max_entries {
            let (wanted, max) = (self.entries, limits.max_entries);
            return Err(StorageError::LimitExceeded { limit: "entries of a store", wanted, max });
        }
        if self.bytes > limits.max_bytes {
            let (wanted, max) = (self.bytes, limits.max_bytes);
            return Err(StorageError::LimitExceeded { limit: "bytes of a store", wanted, max });
        }
        Ok(())
    }
}
