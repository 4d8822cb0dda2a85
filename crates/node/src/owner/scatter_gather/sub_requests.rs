//! Sub-requests: attempts at parts, of this router's caches or of another router.

use super::{engine_purge, Location, SubRequest, SubRequestKey};
use crate::caches::{CopyTag, RequestNo};
use crate::clients::{Reply, RequestMessage, WireId};
use crate::connection::RequestLiveness;
use crate::fleet::purges::Purge;
use crate::outbox::BufferedBytes;
use crate::owner::requester::{IncomingRequest, Requester};
use crate::owner::Owner;
use basaltgw::api::{ClassId, GroupId, Ms, ObjectId, Part};
use basaltgw_scatter_gather::{EndCause, EndedAttempt, Event, PartNo, PartResponse, Site};
use std::sync::Arc;

/// A request for one part, of this router's engine or of another router.
pub(super) struct SinglePartRequest {
    pub(super) class: String,
    pub(super) object: ObjectId,
    pub(super) object_text: String,
    pub(super) part: u64,
    pub(super) group: GroupId,
    pub(super) size_kb: f64,
    pub(super) time_left: Ms,
}

impl SinglePartRequest {
    /// Converts the part request to one like a client's, with an empty id, which the caller sets.
    pub(super) fn into_request(self) -> RequestMessage {
        RequestMessage {
            id: WireId(Arc::from("")),
            class: self.class,
            object: self.object,
            object_text: self.object_text,
            part: Part(self.part),
            group: self.group,
            size_kb: self.size_kb,
            deadline_ms: self.time_left,
            copy_tag: None,
            idempotency_key: None,
            repeated: false,
            parts: None,
            continuation: None,
            body: Vec::new(),
            body_discarded: false,
        }
    }
}

/// The data of a part that has arrived.
pub(super) struct PartBody {
    pub(super) bytes: Vec<u8>,
    pub(super) copy: CopyTag,
    /// Time from the sub-request to the response, in milliseconds, as the serving router measured it.
    pub(super) elapsed: Ms,
    /// Purges that the site knows of.
    pub(super) purges: Vec<Purge>,
}

impl Owner {
    pub(super) fn start_sub_request(&mut self, key: SubRequestKey, part: PartNo, site: &Site, time_left: Ms) {
        let now = self.time.now;
        let Some(state) = &mut self.scatter_gather else { return };
        let Some(open) = state.open.get(&key.gather) else {
            return self.on_sub_request_failed(key, EndCause::Unreachable);
        };
        state.sub_requests.insert(key, SubRequest { location: Location::None, started_at: now, body: None });
        if site.0 != state.config.branch {
            return self.request_part(key, part, site, time_left);
        }
        let (class, client, request) = (open.class, open.client, &open.request);
        let part = SinglePartRequest {
            class: request.class.clone(),
            object: request.object,
            object_text: request.object_text.clone(),
            part: u64::from(part.0),
            group: request.group,
            size_kb: request.size_kb,
            time_left,
        };
        let liveness = self.clients.liveness(client);
        self.admit_part(Requester::SubRequest(key), class, part, liveness);
    }

    /// Admits a request for a part like a client's, under an id that no open request has.
    pub(super) fn admit_part(
        &mut self,
        requester: Requester,
        class: ClassId,
        part: SinglePartRequest,
        liveness: Option<RequestLiveness>,
    ) {
        let Some(state) = &mut self.scatter_gather else { return };
        let mut request = part.into_request();
        loop {
            state.last_id = state.last_id.wrapping_add(1);
            request.id = WireId(Arc::from(format!("{:016x}", state.last_id)));
            if !self.requests.contains_id(&request.id) {
                break;
            }
        }
        let deadline = self.time.now + request.deadline_ms;
        let (class, request) = (Some(class), Box::new(request));
        self.admit(IncomingRequest { requester, class, request, deadline, liveness });
    }

    /// Records the number under which a sub-request of this router was admitted.
    pub(in crate::owner) fn on_sub_request_admitted(&mut self, key: SubRequestKey, number: RequestNo) {
        let sub_request = self.scatter_gather.as_mut().and_then(|state| state.sub_requests.get_mut(&key));
        if let Some(sub_request) = sub_request {
            sub_request.location = Location::Local(number);
        }
    }

    /// Handles the answer to a sub-request of this router.
    pub(in crate::owner) fn on_sub_request_answered(
        &mut self,
        key: SubRequestKey,
        reply: Reply<'_>,
        copy: Option<CopyTag>,
    ) {
        match (reply, copy) {
            (Reply::Served(bytes), Some(copy)) => {
                let sub_request = self.scatter_gather.as_ref().and_then(|state| state.sub_requests.get(&key));
                let elapsed = sub_request.map_or(0.0, |sub_request| self.time.now - sub_request.started_at);
                let body = PartBody { bytes: bytes.to_vec(), copy, elapsed, purges: Vec::new() };
                self.on_part_received(key, body);
            }
            // Without the tag of its copy, the part can't be matched with other parts.
            (Reply::Served(_) | Reply::NotModified | Reply::Failed, _) => {
                self.on_sub_request_failed(key, EndCause::Failed);
            }
            (Reply::Rejected(retry_after), _) => {
                self.on_sub_request_failed(key, EndCause::Rejected { retry_after });
            }
        }
    }

    /// Buffers a part that has arrived, of this router or another.
    pub(super) fn on_part_received(&mut self, key: SubRequestKey, part: PartBody) {
        if self.memory.is_exceeded() {
            // Unlike connections, links are not stopped when the memory limit is reached.
            if let Some(state) = &mut self.scatter_gather {
                state.counters.parts_dropped += 1;
            }
            return self.on_sub_request_failed(key, EndCause::Failed);
        }
        let meter = &self.memory.budgets.responses.meter;
        let sub_request = self.scatter_gather.as_mut().and_then(|state| state.sub_requests.get_mut(&key));
        let Some(sub_request) = sub_request else { return };
        let PartBody { bytes, copy: CopyTag { version, origin_time_ms }, elapsed, purges } = part;
        let size_bytes = bytes.len() as u64;
        sub_request.location = Location::None;
        sub_request.body = Some(BufferedBytes::new(bytes, &[meter]));
        let SubRequestKey { gather, attempt } = key;
        let response = PartResponse {
            gather,
            attempt,
            version,
            origin_time_ms,
            complete: true,
            size_bytes,
            processing_time: elapsed,
            purges: purges.into_iter().map(engine_purge).collect(),
        };
        self.dispatch_scatter_gather(Event::Response(response));
    }

    /// Ends a sub-request without a part.
    pub(super) fn on_sub_request_failed(&mut self, key: SubRequestKey, cause: EndCause) {
        let Some(state) = &mut self.scatter_gather else { return };
        state.sub_requests.remove(&key);
        let SubRequestKey { gather, attempt } = key;
        self.dispatch_scatter_gather(Event::AttemptEnded(EndedAttempt { gather, attempt, cause }));
    }

    /// Cancels a sub-request, or frees its buffered bytes.
    pub(super) fn drop_sub_request(&mut self, key: SubRequestKey) {
        let sub_request = self.scatter_gather.as_mut().and_then(|state| state.sub_requests.remove(&key));
        match sub_request.map(|sub_request| sub_request.location) {
            Some(Location::None) | None => {}
            Some(Location::Local(number)) => self.on_requester_left(number),
            Some(Location::Remote { number }) => self.cancel_part(number),
        }
    }
}
