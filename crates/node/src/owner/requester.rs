//! Where a request comes from, and how its response gets back there.
//!
//! A front end decodes and bounds what it reads, and hands over an [`IncomingRequest`]. From there on the owner knows it by its
//! [`Requester`] alone: another front end is another variant, and one arm in each function here.

use super::scatter_gather::SubRequestKey;
use super::Owner;
use crate::caches::{CopyTag, RequestNo};
use crate::clients::{encode_answer, ClientId, Reply, RequestMessage, Tag};
use crate::connection::RequestLiveness;
use basaltgw::api::{ClassId, Ms};

/// A request of a client, by its tag on the client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ClientRequest {
    pub(super) id: ClientId,
    pub(super) tag: Tag,
}

/// Who waits for a request's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Requester {
    /// A client.
    Client(ClientRequest),
    /// A scatter-gather request of this router, for an attempt at one of its parts.
    SubRequest(SubRequestKey),
    /// Another router, for a part, under its number among those served here.
    Peer(u64),
}

/// A request as a front end hands it over.
pub(super) struct IncomingRequest {
    pub(super) requester: Requester,
    pub(super) class: Option<ClassId>,
    /// The decoded request; its id is not open yet.
    pub(super) request: Box<RequestMessage>,
    /// When the requester stops waiting.
    pub(super) deadline: Ms,
    /// Tells whether a client still waits, if one does at all.
    pub(super) liveness: Option<RequestLiveness>,
}

/// What became of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Delivered {
    /// It is queued for a client.
    ToClient,
    /// It went elsewhere, or its client is gone.
    Elsewhere,
}

impl Owner {
    /// Registers an admitted request with its requester.
    pub(super) fn register_admitted(&mut self, requester: Requester, number: RequestNo) {
        match requester {
            Requester::Client(client) => self.clients.register(client, number),
            Requester::SubRequest(key) => self.on_sub_request_admitted(key, number),
            Requester::Peer(served) => self.on_peer_request_admitted(served, number),
        }
    }

    /// Rejects a request that is not admitted for want of capacity.
    pub(super) fn reject_unadmitted(&mut self, requester: Requester) {
        match requester {
            Requester::Client(client) => {
                self.counters.clients.turned_away.increment();
                self.clients.reject(client);
            }
            Requester::SubRequest(key) => {
                self.on_sub_request_answered(key, Reply::Rejected(0.0), None);
            }
            Requester::Peer(served) => self.on_peer_request_answered(served, Reply::Rejected(0.0), None),
        }
    }

    /// Hands a response to the requester.
    pub(super) fn deliver(&mut self, to: Requester, reply: Reply<'_>, copy: Option<CopyTag>) -> Delivered {
        match to {
            Requester::Client(client) => {
                self.clients.send_response(self.time.now, client, encode_answer(client.tag, reply))
            }
            Requester::SubRequest(key) => {
                self.on_sub_request_answered(key, reply, copy);
                Delivered::Elsewhere
            }
            Requester::Peer(served) => {
                self.on_peer_request_answered(served, reply, copy);
                Delivered::Elsewhere
            }
        }
    }
}
