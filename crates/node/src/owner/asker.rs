//! What a front gives with a request, and the ways back to it.
//!
//! A front decodes and bounds what it reads, and hands over an `Asked`. From there on the owner knows the front by its `Asker`
//! alone: another front is another variant, and a line in each of the functions here.

use super::Owner;
use crate::caches::{CopyTag, RequestNo};
use crate::clients::presence::Wanted;
use crate::clients::{answer, ClientId, Do, Reply, Tag};
use basaltgw::api::{ClassId, Ms};
use basaltgw_scatter_gather::{AttemptNo, GatherNo};

/// Who waits for a request's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Asker {
    /// A client's connection, under the request's number there.
    Client(ClientId, Tag),
    /// A gather of this router, for an attempt at one of its parts.
    Part(GatherNo, AttemptNo),
    /// A gather of another router, under its number among those that are served.
    Peer(u64),
}

/// A request as a front hands it over.
pub(super) struct Asked {
    pub asker: Asker,
    pub class: Option<ClassId>,
    /// What is asked; its id is not open yet.
    pub request: Box<Do>,
    /// When the asker waits no longer.
    pub deadline: Ms,
    /// Whether a client still waits for it, where one is known.
    pub wanted: Option<Wanted>,
}

impl Owner {
    /// From now on the asker is owed an answer.
    pub(super) fn owe(&mut self, asker: Asker, no: RequestNo) {
        match asker {
            Asker::Client(id, tag) => self.clients.owe(id, tag, no),
            Asker::Part(gather, attempt) => self.part_owed((gather, attempt), no),
            Asker::Peer(served) => self.peer_owed(served, no),
        }
    }

    /// The request found no place, and nothing of it is known.
    pub(super) fn turn_away(&mut self, asker: Asker) {
        match asker {
            Asker::Client(id, tag) => {
                self.counters.clients.turned_away.one();
                self.clients.turn_away(id, tag);
            }
            Asker::Part(gather, attempt) => self.part_paid((gather, attempt), Reply::Refused(0.0), None),
            Asker::Peer(served) => self.peer_paid(served, Reply::Refused(0.0), None),
        }
    }

    /// Puts what was owed in line; false if no client has it.
    pub(super) fn pay(&mut self, asker: Asker, reply: Reply<'_>, copy: Option<CopyTag>) -> bool {
        match asker {
            Asker::Client(id, tag) => self.clients.put(self.now, id, tag, answer(tag, reply)),
            Asker::Part(gather, attempt) => {
                self.part_paid((gather, attempt), reply, copy);
                false
            }
            Asker::Peer(served) => {
                self.peer_paid(served, reply, copy);
                false
            }
        }
    }
}
