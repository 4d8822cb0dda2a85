//! Which routers are connected, and since when others are unreachable.

use basaltgw_types::{Member, Ms, RouterId};
use std::collections::{BTreeMap, BTreeSet};

/// Connected and unreachable routers.
#[derive(Debug, Default)]
pub(super) struct Reachability {
    connected: BTreeMap<RouterId, Member>,
    unreachable_since: BTreeMap<RouterId, Ms>,
}

impl Reachability {
    /// Records that a router was reached, whichever incarnation.
    pub fn observe_contact(&mut self, router: &RouterId) {
        self.unreachable_since.remove(router);
    }

    /// Adds a connected member; returns the member connected under this name before.
    pub fn connect(&mut self, member: &Member) -> Option<Member> {
        self.connected.insert(member.router.clone(), member.clone())
    }

    /// Removes a connected member; false if another incarnation is connected.
    pub fn disconnect(&mut self, member: &Member) -> bool {
        let is_connected = self.is_connected(member);
        if is_connected {
            self.connected.remove(&member.router);
        }
        is_connected
    }

    /// Records that a router is unreachable from now on.
    pub fn set_unreachable(&mut self, now: Ms, router: &RouterId) {
        self.unreachable_since.insert(router.clone(), now);
    }

    /// Records that a router is unreachable, unless that is known already.
    pub fn set_unreachable_if_new(&mut self, now: Ms, router: &RouterId) {
        self.unreachable_since.entry(router.clone()).or_insert(now);
    }

    /// Since when a router is unreachable.
    pub fn unreachable_since(&self, router: &RouterId) -> Option<Ms> {
        self.unreachable_since.get(router).copied()
    }

    /// Forgets unreachable routers other than these.
    pub fn retain_unreachable(&mut self, routers: &BTreeSet<RouterId>) {
        self.unreachable_since.retain(|router, _| routers.contains(router));
    }

    pub fn is_connected(&self, member: &Member) -> bool {
        self.connected.get(&member.router) == Some(member)
    }

    /// Whether any incarnation of a router is connected.
    pub fn has_link(&self, router: &RouterId) -> bool {
        self.connected.contains_key(router)
    }

    /// Whether another incarnation of the member's router is connected.
    pub fn is_replaced(&self, member: &Member) -> bool {
        self.connected.get(&member.router).is_some_and(|connected| connected != member)
    }

    /// The connected incarnation of a router.
    pub fn member(&self, router: &RouterId) -> Option<&Member> {
        self.connected.get(router)
    }

    /// Connected members in the order of their names.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.connected.values()
    }

    pub fn connected_count(&self) -> usize {
        self.connected.len()
    }
}
