//! Purges as routers exchange them; `crates/control` replicates them.

use basaltgw::api::{GroupId, ObjectId};
pub use basaltgw_control::{Purge, Purges};
use basaltgw_types::Ms;

/// Converts a purge of the change log; `time` is in Unix milliseconds.
pub fn from_change_log(group: GroupId, object: Option<ObjectId>, time: Ms) -> Purge {
    Purge { group: group.0, object: object.map(|o| o.0), time: time.max(0.0) as u64 }
}
