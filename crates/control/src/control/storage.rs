//! Stored form of the control plane: spaces of the store, and decoding at the start.

use crate::purges::{Purge, PurgeKey, Purges};
use crate::table::TableRegister;
use basaltgw_storage::Space;

/// Space of the registers' records.
pub const REGISTERS_SPACE: Space = Space(1);
/// Space of purges: an encoded [`PurgeKey`] and the time in Unix milliseconds, big endian.
pub const PURGES_SPACE: Space = Space(2);
/// Space of the adopted [`TableRegister`], under the empty key.
pub const TABLE_SPACE: Space = Space(3);

/// Decodes the entries of [`PURGES_SPACE`]; `None` if one is malformed.
pub fn decode_purges(entries: impl IntoIterator<Item = (Vec<u8>, Vec<u8>)>) -> Option<Purges> {
    let mut purges = Purges::default();
    for (key, time) in entries {
        let key: PurgeKey = postcard::from_bytes(&key).ok()?;
        purges.observe(Purge::new(key, u64::from_be_bytes(time.try_into().ok()?)));
    }
    Some(purges)
}

/// Decodes the entry of [`TABLE_SPACE`], for [`crate::TableManager::new`].
///
/// # Errors
/// If the bytes are malformed.
pub fn decode_table_register(bytes: &[u8]) -> Result<TableRegister, postcard::Error> {
    postcard::from_bytes(bytes)
}
