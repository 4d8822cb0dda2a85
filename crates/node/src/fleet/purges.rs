//! Purges as the change log names them; what becomes of them is decided in `crates/control`.

use basaltgw::api::{GroupId, ObjectId};
pub use basaltgw_control::{Purge, Purges};
use basaltgw_types::Ms;

/// A purge of the change log.
pub fn purge(group: GroupId, object: Option<ObjectId>, time: Ms) -> Purge {
    Purge { group: group.0, object: object.map(|o| o.0), time: time.max(0.0) as u64 }
}
