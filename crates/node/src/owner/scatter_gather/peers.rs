//! The routers that can be reached for parts, the parts requested from them, and the parts that they request from this router.

use super::SubRequestKey;
use crate::caches::RequestNo;
use basaltgw::api::Ms;
use basaltgw_types::{Member, RouterId};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A part request of another router, by the number that the router gave it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PeerRequest {
    pub(super) peer: Member,
    pub(super) number: u64,
}

/// A part that is served to another router.
pub(super) struct ServedPart {
    pub(super) peer_request: PeerRequest,
    /// This router's number of the request, once it is admitted.
    pub(super) admitted_as: Option<RequestNo>,
    /// When the part request arrived.
    pub(super) arrived_at: Ms,
    pub(super) group: u64,
    pub(super) object: u64,
}

/// A part that is requested from another router.
#[derive(Clone)]
pub(super) struct RequestedFrom {
    pub(super) peer: Member,
    pub(super) key: SubRequestKey,
}

/// A router with a link that is up.
struct ReachablePeer {
    member: Member,
    branch: Arc<str>,
}

/// The part requests that end with a lost peer.
pub(super) struct LostPeer {
    /// Sub-requests of this router that the peer will not answer.
    pub(super) unanswered: Vec<SubRequestKey>,
    /// Requests of this router for parts that the peer requested.
    pub(super) without_requester: Vec<RequestNo>,
}

/// Other routers, and the parts in flight between them and this one.
pub(super) struct Peers {
    reachable: BTreeMap<RouterId, ReachablePeer>,
    /// Counts part requests, which go to the routers of a branch in turn.
    next_turn: usize,
    /// Parts requested from other routers, by this router's number; no more than there are sub-requests.
    requested: BTreeMap<u64, RequestedFrom>,
    /// Parts served to other routers, by this router's number.
    served: BTreeMap<u64, ServedPart>,
    served_numbers: BTreeMap<PeerRequest, u64>,
    last_number: u64,
}

impl Peers {
    /// No peer is reachable yet. Numbers start at a random value, so that a response to an earlier process matches no request.
    pub(super) fn new(seed: u64) -> Self {
        Self {
            reachable: BTreeMap::new(),
            next_turn: 0,
            requested: BTreeMap::new(),
            served: BTreeMap::new(),
            served_numbers: BTreeMap::new(),
            last_number: seed >> 8,
        }
    }

    pub(super) fn reachable_count(&self) -> usize {
        self.reachable.len()
    }

    /// Adds a peer whose link is up; returns the peer's earlier incarnation, if that was reachable.
    pub(super) fn add_reachable(&mut self, member: &Member, branch: Arc<str>) -> Option<Member> {
        let peer = ReachablePeer { member: member.clone(), branch };
        let before = self.reachable.insert(member.router.clone(), peer)?;
        Some(before.member).filter(|before| before != member)
    }

    /// Removes a peer whose link is down.
    pub(super) fn remove_reachable(&mut self, member: &Member) {
        if self.reachable.get(&member.router).is_some_and(|peer| peer.member == *member) {
            self.reachable.remove(&member.router);
        }
    }

    /// The next reachable router of a branch, in turn.
    pub(super) fn next_peer_of_branch(&mut self, branch: &Arc<str>) -> Option<Member> {
        let peers = self.reachable.values().filter(|peer| peer.branch == *branch);
        let members: Vec<&Member> = peers.map(|peer| &peer.member).collect();
        self.next_turn = self.next_turn.wrapping_add(1);
        members.get(self.next_turn % members.len().max(1)).map(|member| (*member).clone())
    }

    pub(super) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    pub(super) fn add_requested(&mut self, number: u64, peer: Member, key: SubRequestKey) {
        self.requested.insert(number, RequestedFrom { peer, key });
    }

    pub(super) fn requested(&self, number: u64) -> Option<&RequestedFrom> {
        self.requested.get(&number)
    }

    pub(super) fn remove_requested(&mut self, number: u64) -> Option<RequestedFrom> {
        self.requested.remove(&number)
    }

    pub(super) fn served_count(&self) -> usize {
        self.served.len()
    }

    pub(super) fn is_serving(&self, request: &PeerRequest) -> bool {
        self.served_numbers.contains_key(request)
    }

    /// Registers a part request of another router; returns this router's number for it.
    pub(super) fn add_served(&mut self, part: ServedPart) -> u64 {
        let number = self.next_number();
        self.served_numbers.insert(part.peer_request.clone(), number);
        self.served.insert(number, part);
        number
    }

    pub(super) fn served_mut(&mut self, number: u64) -> Option<&mut ServedPart> {
        self.served.get_mut(&number)
    }

    pub(super) fn remove_served(&mut self, number: u64) -> Option<ServedPart> {
        let part = self.served.remove(&number)?;
        self.served_numbers.remove(&part.peer_request);
        Some(part)
    }

    /// Removes a part request that its requester cancels.
    pub(super) fn remove_served_request(&mut self, request: &PeerRequest) -> Option<ServedPart> {
        let number = self.served_numbers.get(request).copied()?;
        self.remove_served(number)
    }

    /// Removes all part requests between this router and a peer.
    pub(super) fn remove_peer(&mut self, member: &Member) -> LostPeer {
        let is_requested =
            |number: &&u64| self.requested.get(*number).is_some_and(|from| from.peer == *member);
        let requested: Vec<u64> = self.requested.keys().filter(is_requested).copied().collect();
        let is_served = |(_, part): &(&u64, &ServedPart)| part.peer_request.peer == *member;
        let served: Vec<u64> = self.served.iter().filter(is_served).map(|(number, _)| *number).collect();
        let without_requester =
            served.into_iter().filter_map(|number| self.remove_served(number)?.admitted_as).collect();
        let removed = requested.into_iter().filter_map(|number| self.requested.remove(&number));
        LostPeer { unanswered: removed.map(|from| from.key).collect(), without_requester }
    }
}
