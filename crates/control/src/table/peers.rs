//! Connected and lost routers, as far as the table depends on them.
//!
//! In a full mesh a router is lost from the moment its link closes. With persistent links most routers are not connected at any time: a
//! router is lost only after a failed dial or a broken link, and only while it is being dialed.

use super::{TableAction, TableManager};
use basaltgw_membership::Presence;
use basaltgw_placement::Register;
use basaltgw_types::link::Hello;
use basaltgw_types::{Member, Ms, RouterId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// How this router is linked with the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkMode {
    FullMesh,
    Persistent,
}

/// Connected and lost routers.
#[derive(Debug)]
pub(super) struct Peers {
    /// Connected routers and this one, with their incarnations.
    pub connected: BTreeMap<RouterId, Member>,
    /// Time from which a router is unreachable.
    pub lost_since: BTreeMap<RouterId, Ms>,
    mode: LinkMode,
}

impl Peers {
    pub fn new(me: &Member) -> Self {
        Self {
            connected: BTreeMap::from([(me.router.clone(), me.clone())]),
            lost_since: BTreeMap::new(),
            mode: LinkMode::FullMesh,
        }
    }

    pub fn has_persistent_links(&self) -> bool {
        self.mode == LinkMode::Persistent
    }

    fn connect(&mut self, member: &Member) {
        self.lost_since.remove(&member.router);
        self.connected.insert(member.router.clone(), member.clone());
    }

    /// Removes a connected member; false if another incarnation is connected.
    fn disconnect(&mut self, member: &Member) -> bool {
        let is_connected = self.connected.get(&member.router) == Some(member);
        if is_connected {
            self.connected.remove(&member.router);
        }
        is_connected
    }

    /// Marks a router as lost unless it is connected or lost already.
    fn mark_lost(&mut self, now: Ms, router: &RouterId) {
        if !self.connected.contains_key(router) {
            self.lost_since.entry(router.clone()).or_insert(now);
        }
    }

    /// Whether a router is unreachable for at least `span` milliseconds.
    pub fn is_lost_for(&self, router: &RouterId, span: Ms, now: Ms) -> bool {
        self.lost_since.get(router).is_some_and(|since| now >= since + span)
    }

    /// Whether a member can act: connected, or with persistent links not known to be lost.
    pub fn is_available(&self, member: &Member) -> bool {
        match self.mode {
            LinkMode::FullMesh => self.connected.values().any(|connected| connected == member),
            LinkMode::Persistent => !self.lost_since.contains_key(&member.router),
        }
    }
}

impl TableManager {
    /// Switches to persistent links: from now on a router without a link is not lost by that alone.
    pub fn use_persistent_links(&mut self) {
        self.peers.mode = LinkMode::Persistent;
    }

    /// Listed routers without this one.
    pub fn listed(&self) -> impl Iterator<Item = &RouterId> {
        self.config.bootstrap_members.keys().filter(|router| **router != self.config.me.router)
    }

    /// A peer's hello in the form that membership uses.
    pub fn presence(&self, hello: &Hello) -> Presence {
        let listed = self.config.bootstrap_members.get(&hello.member.router);
        let unknown = || SocketAddr::from(([127, 0, 0, 1], 0));
        let address = listed.map_or_else(unknown, |member| member.address);
        Presence { member: hello.member.clone(), address, domain: hello.domain.clone() }
    }

    /// A link is up.
    pub fn on_link_up(&mut self, now: Ms, hello: &Hello) -> Vec<TableAction> {
        self.peers.connect(&hello.member);
        if hello.table.0 .0 > 0 {
            self.bootstrap.observe_advertised_table();
        }
        self.try_bootstrap(now)
    }

    /// A link of a full mesh is down: its router is lost.
    pub fn on_peer_lost(&mut self, now: Ms, member: &Member) {
        if self.peers.disconnect(member) {
            self.peers.lost_since.insert(member.router.clone(), now);
        }
    }

    /// A persistent link is down; its router is not known to be lost.
    pub fn on_link_down(&mut self, member: &Member) {
        self.peers.disconnect(member);
    }

    /// A router was dialed and not reached.
    pub fn on_dial_failed(&mut self, now: Ms, router: &RouterId) {
        self.peers.mark_lost(now, router);
    }

    /// Forgets lost routers that are not being dialed, because they may have returned without notice.
    pub fn retain_lost(&mut self, dialed: &BTreeSet<RouterId>) {
        self.peers.lost_since.retain(|router, _| dialed.contains(router));
    }

    /// In a full mesh every member without a link is lost, also one that never connected.
    pub(super) fn mark_unconnected_members_lost(&mut self, now: Ms, register: &Register) {
        if self.peers.has_persistent_links() {
            return;
        }
        for (member, _) in register.table().routers() {
            self.peers.mark_lost(now, &member.router);
        }
    }
}
