//! Where a request comes from, and how its response is delivered.
//!
//! A front end (the clients' connections, scatter-gather, other routers) decodes a request, checks its limits, and hands over an
//! [`IncomingRequest`]. After that, the owner uses only its [`Requester`]; a new front end needs one more variant and one arm in each
//! function of this module.

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

/// The receiver of a request's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Requester {
    /// A client.
    Client(ClientRequest),
    /// A sub-request of a scatter-gather request of this router, for one of its parts.
    SubRequest(SubRequestKey),
    /// Another router, which requests a part; with the number that this router gave the part request.
    Peer(u64),
}

/// A request as a front end hands it over.
pub(super) struct IncomingRequest {
    pub(super) requester: Requester,
    pub(super) class: Option<ClassId>,
    /// The decoded request; no open request has its id.
    pub(super) request: Box<RequestMessage>,
    /// When the requester stops waiting.
    pub(super) deadline: Ms,
    /// Whether the client still waits; `None` if the requester is not a client.
    pub(super) liveness: Option<RequestLiveness>,
}

/// Whether a response was queued for a client, in which case it is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Delivered {
    /// The response is queued for a client.
    ToClient,
    /// The requester is not a client, or the client has disconnected.
    NotToClient,
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

    /// Rejects a request that is not admitted, since too many requests are open.
    pub(super) fn reject_unadmitted(&mut self, requester: Requester) {
        match requester {
            Requester::Client(client) => {
                self.counters.clients.rejected_at_capacity.increment();
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
                Delivered::NotToClient
            }
            Requester::Peer(served) => {
                self.on_peer_request_answered(served, reply, copy);
                Delivered::NotToClient
            }
        }
    }
}
