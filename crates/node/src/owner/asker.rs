//! What a front gives with a request, and the ways back to it.
//!
//! A front decodes and bounds what it reads, and hands over an `Asked`. From there on the owner knows the front by its `Asker`
//! alone: another front is another variant, and a line in each of the functions here.

use super::Owner;
use crate::caches::RequestNo;
use crate::clients::{ClientId, Do, Reply, Tag};
use basaltgw::api::{ClassId, Ms};

/// Who waits for a request's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Asker {
    /// A client's connection, under the request's number there.
    Client(ClientId, Tag),
}

/// A request as a front hands it over.
pub(super) struct Asked {
    pub asker: Asker,
    pub class: Option<ClassId>,
    /// What is asked; its id is not open yet.
    pub request: Box<Do>,
    /// When the asker waits no longer.
    pub deadline: Ms,
}

impl Owner {
    /// From now on the asker is owed an answer.
    pub(super) fn owe(&mut self, asker: Asker, no: RequestNo) {
        match asker {
            Asker::Client(id, tag) => self.clients.owe(id, tag, no),
        }
    }

    /// The request found no place, and nothing of it is known.
    pub(super) fn turn_away(&mut self, asker: Asker) {
        self.counters.clients.turned_away.one();
        match asker {
            Asker::Client(id, tag) => self.clients.turn_away(id, tag),
        }
    }

    /// Puts what was owed in line; false if the asker is gone.
    pub(super) fn pay(&mut self, asker: Asker, reply: Reply<'_>) -> bool {
        match asker {
            Asker::Client(id, tag) => self.clients.pay(self.now, id, tag, reply),
        }
    }
}
