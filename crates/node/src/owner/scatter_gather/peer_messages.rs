//! Messages about parts to and from other routers.

use super::peers::{LostPeer, PeerRequest, ServedPart};
use super::sub_requests::{PartBody, SinglePartRequest};
use super::{Location, SubRequestKey};
use crate::caches::{CopyTag, RequestNo};
use crate::clients::Reply;
use crate::fleet::message::{PartMessage, PartRequest, PartResult};
use crate::fleet::purges::Purge;
use crate::fleet::Fleet;
use crate::limits::{COPY_TAG_MAX_BYTES, MAX_DEADLINE_MS};
use crate::owner::requester::Requester;
use crate::owner::Owner;
use basaltgw::api::{GroupId, Ms, ObjectId};
use basaltgw_scatter_gather::{EndCause, Event, PartNo, Site};
use basaltgw_transport::LinkEvent;
use basaltgw_types::Member;
use std::sync::Arc;

/// Parts that are served to other routers at once.
const MAX_SERVED_PARTS: usize = 8_192;
/// Link events handled in one turn; the others wait for the next.
const MAX_LINK_EVENTS: usize = 1_024;
/// The message number that requests no failure report from the transport.
const UNTRACKED: u64 = 0;

/// A response to another router's part request.
struct OutgoingResponse {
    to: PeerRequest,
    /// Time from the part request to the response, in milliseconds.
    elapsed: Ms,
    purges: Vec<Purge>,
    result: PartResult,
}

impl OutgoingResponse {
    fn without_part(to: PeerRequest, result: PartResult) -> Self {
        Self { to, elapsed: 0.0, purges: Vec::new(), result }
    }
}

impl Owner {
    /// Requests a part from a router of the branch that has it.
    pub(super) fn request_part(&mut self, key: SubRequestKey, part: PartNo, site: &Site, time_left: Ms) {
        let (Some(state), Some(fleet)) = (&mut self.scatter_gather, &mut self.fleet) else { return };
        let Some(open) = state.open.get(&key.gather) else { return };
        let request = &open.request;
        let peer = state.peers.next_peer_of_branch(&site.0);
        let number = state.peers.next_number();
        let message = PartMessage::Request(PartRequest {
            number,
            class: Arc::from(request.class.as_str()),
            object: Arc::from(request.object_text.as_str()),
            part: u64::from(part.0),
            group: request.group.0,
            size_kb: request.size_kb,
            time_left: time_left.max(0.0),
        });
        let Some(peer) = peer.filter(|peer| fleet.send(number, peer, &message).is_ok()) else {
            state.counters.parts_unreachable += 1;
            return self.on_sub_request_failed(key, EndCause::Unreachable);
        };
        state.counters.parts_requested += 1;
        state.peers.add_requested(number, peer, key);
        if let Some(sub_request) = state.sub_requests.get_mut(&key) {
            sub_request.location = Location::Remote { number };
        }
    }

    /// Cancels a part request to another router.
    pub(super) fn cancel_part(&mut self, number: u64) {
        let (Some(state), Some(fleet)) = (&mut self.scatter_gather, &mut self.fleet) else { return };
        if let Some(from) = state.peers.remove_requested(number) {
            // If the message is lost, the part request ends at the other router by its own deadline.
            let sent = fleet.send(UNTRACKED, &from.peer, &PartMessage::Cancel { number });
            state.counters.unsent_messages += u64::from(sent.is_err());
        }
    }

    /// Handles the events of the links to other routers.
    pub(in crate::owner) fn on_peer_messages(&mut self) {
        if self.scatter_gather.is_none() {
            return;
        }
        for _ in 0..MAX_LINK_EVENTS {
            let Some(event) = self.fleet.as_mut().and_then(Fleet::next_link_event) else { return };
            match event {
                LinkEvent::LinkUp(hello) => self.on_peer_up(&hello.member, hello.domain.branch),
                LinkEvent::LinkDown(member, _) => self.on_peer_down(&member),
                LinkEvent::MessageReceived { from, lane: _, body } => self.on_part_message(from, &body),
                // The owner dials no links itself: parts go over the links of a mesh.
                LinkEvent::DialFailed(_) => {}
                LinkEvent::SendFailed { number, .. } => self.on_part_request_unsent(number),
            }
        }
    }

    fn on_peer_up(&mut self, member: &Member, branch: Arc<str>) {
        let Some(state) = &mut self.scatter_gather else { return };
        if let Some(before) = state.peers.add_reachable(member, branch) {
            self.on_peer_lost(&before);
        }
        self.report_fleet_size();
    }

    fn on_peer_down(&mut self, member: &Member) {
        let Some(state) = &mut self.scatter_gather else { return };
        state.peers.remove_reachable(member);
        self.on_peer_lost(member);
        self.report_fleet_size();
    }

    fn report_fleet_size(&mut self) {
        let routers = self.scatter_gather.as_ref().map_or(1, |state| state.peers.reachable_count() + 1);
        self.dispatch_scatter_gather(Event::FleetSize { routers });
    }

    /// Ends the part requests to a lost peer, and cancels the peer's part requests here.
    fn on_peer_lost(&mut self, member: &Member) {
        let Some(state) = &mut self.scatter_gather else { return };
        let LostPeer { unanswered, without_requester } = state.peers.remove_peer(member);
        unanswered.into_iter().for_each(|key| self.on_sub_request_failed(key, EndCause::Unreachable));
        without_requester.into_iter().for_each(|number| self.on_requester_left(number));
    }

    fn on_part_request_unsent(&mut self, number: u64) {
        let Some(state) = &mut self.scatter_gather else { return };
        state.counters.unsent_messages += 1;
        if let Some(from) = state.peers.remove_requested(number) {
            self.on_sub_request_failed(from.key, EndCause::Unreachable);
        }
    }

    fn on_part_message(&mut self, from: Member, body: &[u8]) {
        match PartMessage::decode(body) {
            Some(PartMessage::Request(request)) => self.on_part_request(from, &request),
            Some(PartMessage::Response { number, elapsed, purges, result }) => {
                self.on_part_response(&from, number, elapsed, purges, result);
            }
            Some(PartMessage::Cancel { number }) => {
                self.on_part_cancelled(PeerRequest { peer: from, number })
            }
            None => self.count_unexpected_message(),
        }
    }

    fn count_unexpected_message(&mut self) {
        if let Some(state) = &mut self.scatter_gather {
            state.counters.unexpected_messages += 1;
        }
    }

    /// Handles another router's answer to a part request.
    fn on_part_response(
        &mut self,
        from: &Member,
        number: u64,
        elapsed: Ms,
        purges: Vec<Purge>,
        result: PartResult,
    ) {
        let Some(state) = &mut self.scatter_gather else { return };
        let Some(requested) = state.peers.requested(number) else {
            // The part request was cancelled meanwhile.
            return;
        };
        if requested.peer != *from {
            return self.count_unexpected_message();
        }
        let key = requested.key;
        state.peers.remove_requested(number);
        match result {
            PartResult::Served { version, created, body: bytes } => {
                let copy = CopyTag { version, origin_time_ms: created };
                self.on_part_received(key, PartBody { bytes, copy, elapsed, purges });
            }
            PartResult::Rejected(retry_after) => {
                self.on_sub_request_failed(key, EndCause::Rejected { retry_after });
            }
            PartResult::Failed => self.on_sub_request_failed(key, EndCause::Failed),
        }
    }

    /// Admits another router's part request, or rejects it.
    fn on_part_request(&mut self, peer: Member, request: &PartRequest) {
        let class = self.config.names.class(&request.class);
        let Some(state) = &mut self.scatter_gather else { return };
        let peer_request = PeerRequest { peer, number: request.number };
        let object = u64::from_str_radix(&request.object, 16).ok();
        let (Some(class), Some(object)) = (class.filter(|class| state.is_idempotent(*class)), object) else {
            state.counters.unexpected_messages += 1;
            return self.respond(OutgoingResponse::without_part(peer_request, PartResult::Failed));
        };
        if state.peers.served_count() >= MAX_SERVED_PARTS {
            return self.respond(OutgoingResponse::without_part(peer_request, PartResult::Rejected(0.0)));
        }
        if state.peers.is_serving(&peer_request) {
            state.counters.unexpected_messages += 1;
            return;
        }
        let (arrived_at, group) = (self.time.now, request.group);
        let served =
            state.peers.add_served(ServedPart { peer_request, admitted_as: None, arrived_at, group, object });
        let part = SinglePartRequest {
            class: request.class.to_string(),
            object: ObjectId(object),
            object_text: request.object.to_string(),
            part: request.part,
            group: GroupId(group),
            size_kb: request.size_kb,
            time_left: request.time_left,
        };
        self.admit_part(Requester::Peer(served), class, part, None);
    }

    fn on_part_cancelled(&mut self, request: PeerRequest) {
        let Some(state) = &mut self.scatter_gather else { return };
        let served = state.peers.remove_served_request(&request);
        if let Some(number) = served.and_then(|served| served.admitted_as) {
            self.on_requester_left(number);
        }
    }

    /// Records the request number under which another router's part request, given by its `served_number` in [`super::peers::Peers`], was
    /// admitted.
    pub(in crate::owner) fn on_peer_request_admitted(&mut self, served_number: u64, number: RequestNo) {
        let served = self.scatter_gather.as_mut().and_then(|state| state.peers.served_mut(served_number));
        if let Some(served) = served {
            served.admitted_as = Some(number);
        }
    }

    /// Sends the answer to another router's part request.
    pub(in crate::owner) fn on_peer_request_answered(
        &mut self,
        served_number: u64,
        reply: Reply<'_>,
        copy: Option<CopyTag>,
    ) {
        let now = self.time.now;
        let Some(state) = &mut self.scatter_gather else { return };
        let Some(served) = state.peers.remove_served(served_number) else { return };
        let purges = state.purges_of(served.group, served.object);
        let result = part_result(reply, copy);
        state.counters.parts_served += u64::from(matches!(result, PartResult::Served { .. }));
        let elapsed = now - served.arrived_at;
        self.respond(OutgoingResponse { to: served.peer_request, elapsed, purges, result });
    }

    fn respond(&mut self, response: OutgoingResponse) {
        let (Some(state), Some(fleet)) = (&mut self.scatter_gather, &mut self.fleet) else { return };
        let OutgoingResponse { to: PeerRequest { peer, number }, elapsed, purges, result } = response;
        if fleet.send(UNTRACKED, &peer, &PartMessage::Response { number, elapsed, purges, result }).is_ok() {
            return;
        }
        // The lane is full or the message too long for a frame; a message without the part may fit.
        state.counters.unsent_messages += 1;
        let result = PartResult::Failed;
        let failed = PartMessage::Response { number, elapsed, purges: Vec::new(), result };
        let sent = fleet.send(UNTRACKED, &peer, &failed);
        state.counters.unsent_messages += u64::from(sent.is_err());
    }
}

fn part_result(reply: Reply<'_>, copy: Option<CopyTag>) -> PartResult {
    match (reply, copy) {
        (Reply::Served(bytes), Some(CopyTag { version, origin_time_ms }))
            if version.len() <= COPY_TAG_MAX_BYTES =>
        {
            PartResult::Served { version, created: origin_time_ms, body: bytes.to_vec() }
        }
        (Reply::Served(_) | Reply::NotModified | Reply::Failed, _) => PartResult::Failed,
        (Reply::Rejected(retry_after), _) => PartResult::Rejected(retry_after.clamp(0.0, MAX_DEADLINE_MS)),
    }
}
