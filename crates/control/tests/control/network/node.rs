//! A simulated router: its control plane, store and disk.

use super::{hello, overlay, parts, Network, CONVERGENCE_MS, LONG_CONVERGENCE_MS};
use basaltgw_control::{Action, Control, ControlNotification, ControlParts};
use basaltgw_storage::Write;
use basaltgw_types::link::Hello;
use basaltgw_types::{Ms, TableVersion};
use std::collections::{BTreeMap, VecDeque};

/// How a disk finishes commits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Disk {
    /// Each commit is durable after this time.
    Commits(Ms),
    /// No commit finishes.
    Hangs,
    /// Each commit fails.
    Fails,
}

/// Entries of a store by space and key.
pub type StoredEntries = BTreeMap<(u8, Vec<u8>), Vec<u8>>;

/// Commit in flight.
pub struct PendingCommit {
    pub due: Ms,
    pub number: u64,
    pub writes: Vec<Write>,
}

/// A simulated router.
pub struct Node {
    pub control: Control,
    pub hello: Hello,
    pub disk: Disk,
    pub stored: StoredEntries,
    pub commits: VecDeque<PendingCommit>,
    pub notifications: Vec<ControlNotification>,
    /// Tables that the router has advertised.
    pub advertised_tables: Vec<TableVersion>,
    /// Every send of the router fails.
    pub drops_sends: bool,
    pub failed_sends: Vec<u64>,
    /// Link requests that the process made before its first event.
    pub initial_actions: Vec<Action>,
}

/// Router `n` of `count`, whose process starts with the stored entries.
pub fn node(net: &Network, n: usize, count: usize, disk: Disk, stored: StoredEntries) -> Node {
    let seed = net.now as u64 ^ (n as u64) << 40;
    let convergence_time = if net.regions > 0 { LONG_CONVERGENCE_MS } else { CONVERGENCE_MS };
    let has_persistent_links = net.links.as_ref().is_some_and(|l| !l.mesh.contains(&n));
    let overlay = overlay(n, count, net.regions, net.retention, has_persistent_links, seed);
    let parts =
        ControlParts { overlay, purge_convergence_time: convergence_time, ..parts(n, count, &stored) };
    let mut actions = Vec::new();
    let control = Control::new(net.now, parts, &mut actions);
    let mut hello = hello(n);
    hello.table = control.table().version().unwrap_or(hello.table);
    let (mut notifications, mut initial_actions) = (Vec::new(), Vec::new());
    for action in actions {
        match action {
            Action::Notify(notification) => notifications.push(notification),
            Action::SetLinkWanted { .. } => initial_actions.push(action),
            Action::Send { .. } | Action::AdvertiseTable(..) | Action::Commit(..) => {}
        }
    }
    Node {
        control,
        hello,
        disk,
        stored,
        commits: VecDeque::new(),
        notifications,
        advertised_tables: Vec::new(),
        drops_sends: false,
        failed_sends: Vec::new(),
        initial_actions,
    }
}

pub fn apply_writes(stored: &mut StoredEntries, writes: Vec<Write>) {
    for write in writes {
        match write {
            Write::Put(space, key, value) => {
                stored.insert((space.0, key), value);
            }
            Write::Remove(space, key) => {
                stored.remove(&(space.0, key));
            }
        }
    }
}
