//! Attempts: a part of the own branch is a request here, one of another branch is asked of a router there.

use super::{told, GatherNo, Owner, Try, Way};
use crate::caches::{CopyTag, RequestNo};
use crate::clients::presence::Wanted;
use crate::clients::{Do, Reply, WireId};
use crate::fleet::purges::Purge;
use crate::outbox::Counted;
use crate::owner::asker::{Asked, Asker};
use basaltgw::api::{ClassId, Ms, Part};
use basaltgw_scatter_gather::{AttemptNo, Came, Ended, Event, How, PartNo, Site};
use std::sync::Arc;

impl Owner {
    pub(super) fn gather_fetch(&mut self, key: (GatherNo, AttemptNo), part: PartNo, site: &Site, left: Ms) {
        let now = self.now;
        let Some(g) = &mut self.gathering else { return };
        let Some(open) = g.open.get(&key.0) else { return self.gather_ended(key, How::Unreached) };
        g.tries.insert(key, Try { way: Way::Coming, asked: now, bytes: None });
        if site.0 != g.set.branch {
            return self.gather_want(key, part, site, left);
        }
        let (class, of, (client, tag)) = (open.class, &open.request, open.client);
        let request = Do {
            id: WireId(Arc::from("")),
            class: of.class.clone(),
            object: of.object,
            object_text: of.object_text.clone(),
            part: Part(u64::from(part.0)),
            group: of.group,
            size_kb: of.size_kb,
            left,
            got: None,
            key: None,
            again: false,
            parts: None,
            debt: None,
            body: Vec::new(),
        };
        let wanted = self.clients.wanted(client, tag);
        self.gather_admit(Asker::Part(key.0, key.1), class, request, wanted);
    }

    /// Takes a part's request in like a client's, under an id that no open one has.
    pub(super) fn gather_admit(
        &mut self,
        asker: Asker,
        class: ClassId,
        mut request: Do,
        wanted: Option<Wanted>,
    ) {
        let Some(g) = &mut self.gathering else { return };
        loop {
            g.ids = g.ids.wrapping_add(1);
            request.id = WireId(Arc::from(format!("{:016x}", g.ids)));
            if !self.requests.knows(&request.id) {
                break;
            }
        }
        let deadline = self.now + request.left;
        self.admit(Asked { asker, class: Some(class), request: Box::new(request), deadline, wanted });
    }

    /// A part's request was taken in.
    pub(in crate::owner) fn part_owed(&mut self, key: (GatherNo, AttemptNo), no: RequestNo) {
        let of = self.gathering.as_mut().and_then(|g| g.tries.get_mut(&key));
        of.into_iter().for_each(|t| t.way = Way::Here(no));
    }

    /// A part's request, here or at another router, is answered.
    pub(in crate::owner) fn part_paid(
        &mut self,
        key: (GatherNo, AttemptNo),
        reply: Reply<'_>,
        copy: Option<CopyTag>,
    ) {
        match (reply, copy) {
            (Reply::Served(bytes), Some(copy)) => {
                let took =
                    self.gathering.as_ref().and_then(|g| g.tries.get(&key)).map(|t| self.now - t.asked);
                self.gather_came(key, bytes.to_vec(), copy, took.unwrap_or(0.0), Vec::new());
            }
            // Without its copy's tag nobody can say what it goes with.
            (Reply::Served(_) | Reply::Same | Reply::Failed, _) => self.gather_ended(key, How::Failed),
            (Reply::Refused(back), _) => self.gather_ended(key, How::Refused(back)),
        }
    }

    pub(super) fn gather_came(
        &mut self,
        key: (GatherNo, AttemptNo),
        bytes: Vec<u8>,
        copy: CopyTag,
        took: Ms,
        purges: Vec<Purge>,
    ) {
        let meter = &self.meter;
        if meter.held() > self.most_held {
            // Links are not held up by what is held here, as connections are.
            self.gathering.iter_mut().for_each(|g| g.counters.no_room += 1);
            return self.gather_ended(key, How::Failed);
        }
        let Some(one) = self.gathering.as_mut().and_then(|g| g.tries.get_mut(&key)) else { return };
        let len = bytes.len() as u64;
        (one.way, one.bytes) = (Way::Coming, Some(Counted::new(bytes, &[meter])));
        let (no, attempt) = key;
        let CopyTag { version, born } = copy;
        let purges = purges.into_iter().map(told).collect();
        self.gather_tell(Event::Came(Came { no, attempt, version, born, whole: true, len, took, purges }));
    }

    pub(super) fn gather_ended(&mut self, key: (GatherNo, AttemptNo), how: How) {
        let Some(g) = &mut self.gathering else { return };
        g.tries.remove(&key);
        self.gather_tell(Event::Ended(Ended { no: key.0, attempt: key.1, how }));
    }

    pub(super) fn gather_drop(&mut self, key: (GatherNo, AttemptNo)) {
        let Some(one) = self.gathering.as_mut().and_then(|g| g.tries.remove(&key)) else { return };
        match one.way {
            Way::Coming => {}
            Way::Here(no) => self.left(no),
            Way::There(no) => self.gather_never(no),
        }
    }
}
