//! The state of on-demand dials. The rules are in `dialling`.

use basaltgw_types::RouterId;
use event_listener::Event;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The dials of on-demand links.
#[derive(Default)]
pub struct Dials {
    /// Which of the two users want a router, by index.
    pub wanted_by: RefCell<BTreeMap<RouterId, [bool; 2]>>,
    /// Routers that have a dial task, or will have one.
    pub with_task: RefCell<BTreeSet<RouterId>>,
    /// Routers whose dial task is to be started.
    pub to_start: RefCell<VecDeque<RouterId>>,
    /// Dials in progress.
    pub active: Cell<usize>,
    /// Notified when a dial has ended.
    pub slot_freed: Event,
}
