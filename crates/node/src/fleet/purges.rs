//! Purges in the form in which routers exchange them; `crates/control` decides what becomes of them.

use basaltgw::api::{GroupId, ObjectId};
pub use basaltgw_control::{Purge, Purges};
use basaltgw_types::Ms;

/// A purge of the change log; `time` is in Unix milliseconds.
pub fn from_change_log(group: GroupId, object: Option<ObjectId>, time: Ms) -> Purge {
    Purge { group: group.0, object: object.map(|o| o.0), time: time.max(0.0) as u64 }
}
