//! Parts of other branches, asked of routers there, and those that others ask for here.

use super::{GatherNo, Owner, Try, Way};
use crate::caches::{CopyTag, RequestNo};
use crate::clients::{Do, Reply, WireId};
use crate::fleet::gather::{Brought, Want, Word};
use crate::limits::{COPY_TAG, LONGEST_WAIT_MS};
use crate::owner::asker::Asker;
use basaltgw::api::{GroupId, Idempotency, Ms, ObjectId, Part};
use basaltgw_scatter_gather::{AttemptNo, Event, How, PartNo, Site};
use basaltgw_transport::LinkEvent;
use basaltgw_types::{Member, RouterId};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Parts asked for by other routers that are open here, at the most.
const MOST_SERVED: usize = 8_192;
/// Words of other routers taken in one turn; the rest waits for the next.
const TURN: usize = 1_024;

/// A part that is given to another router.
struct Served {
    to: (Member, u64),
    request: Option<RequestNo>,
    since: Ms,
    group: u64,
    object: u64,
}

/// Other routers, and what is out with them.
pub(super) struct Peers {
    /// Those that are reached, with their branches.
    reached: BTreeMap<RouterId, (Member, Arc<str>)>,
    turns: usize,
    /// Parts that others were asked for, by the number they were asked under. No more than attempts are out.
    wants: BTreeMap<u64, (Member, (GatherNo, AttemptNo))>,
    ever: u64,
    served: BTreeMap<u64, Served>,
    served_as: BTreeMap<(Member, u64), u64>,
}

impl Peers {
    /// Nobody is reached yet. Numbers begin anywhere, so that an answer to an earlier life of the process meets none.
    pub fn new(seed: u64) -> Self {
        let (reached, wants, served, served_as) =
            (BTreeMap::new(), BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Self { reached, turns: 0, wants, ever: seed >> 8, served, served_as }
    }

    /// A router of a branch, in turn.
    fn of(&mut self, branch: &Arc<str>) -> Option<Member> {
        let all: Vec<&Member> = self.reached.values().filter(|(_, b)| b == branch).map(|(m, _)| m).collect();
        self.turns = self.turns.wrapping_add(1);
        all.get(self.turns % all.len().max(1)).map(|m| (*m).clone())
    }

    fn number(&mut self) -> u64 {
        self.ever += 1;
        self.ever
    }

    fn unserve(&mut self, no: u64) -> Option<Served> {
        let served = self.served.remove(&no)?;
        self.served_as.remove(&served.to);
        Some(served)
    }
}

impl Owner {
    /// Asks a router of that branch for a part.
    pub(super) fn gather_want(&mut self, key: (GatherNo, AttemptNo), part: PartNo, site: &Site, left: Ms) {
        let (Some(g), Some(fleet)) = (&mut self.gathering, &mut self.fleet) else { return };
        let Some(open) = g.open.get(&key.0) else { return };
        let of = &open.request;
        let to = g.peers.of(&site.0);
        let no = g.peers.number();
        let word = Word::Want(Want {
            no,
            class: Arc::from(of.class.as_str()),
            object: Arc::from(of.object_text.as_str()),
            part: u64::from(part.0),
            group: of.group.0,
            size_kb: of.size_kb,
            left: left.max(0.0),
        });
        match to.filter(|to| fleet.say(no, to, &word)) {
            Some(to) => {
                g.counters.wanted += 1;
                g.peers.wants.insert(no, (to, key));
                g.tries.get_mut(&key).into_iter().for_each(|t: &mut Try| t.way = Way::There(no));
            }
            None => {
                g.counters.unreached += 1;
                self.gather_ended(key, How::Unreached);
            }
        }
    }

    /// Calls off what another router was asked for.
    pub(super) fn gather_never(&mut self, no: u64) {
        let (Some(g), Some(fleet)) = (&mut self.gathering, &mut self.fleet) else { return };
        if let Some((to, _)) = g.peers.wants.remove(&no) {
            // Lost, it ends there by its own time.
            g.counters.unsent += u64::from(!fleet.say(0, &to, &Word::Never { no }));
        }
    }

    /// What the links have told.
    pub(in crate::owner) fn gather_heard(&mut self) {
        if self.gathering.is_none() {
            return;
        }
        for _ in 0..TURN {
            let Some(told) = self.fleet.as_mut().and_then(|f| f.from_peers()) else { return };
            let Some(g) = &mut self.gathering else { return };
            match told {
                LinkEvent::LinkUp(hello) => {
                    let (member, branch) = (hello.member, hello.domain.branch);
                    let before = g.peers.reached.insert(member.router.clone(), (member.clone(), branch));
                    before.filter(|(m, _)| *m != member).into_iter().for_each(|(m, _)| self.gather_lost(&m));
                    self.gather_fleet();
                }
                LinkEvent::LinkDown(member, _) => {
                    if g.peers.reached.get(&member.router).is_some_and(|(m, _)| *m == member) {
                        g.peers.reached.remove(&member.router);
                    }
                    self.gather_lost(&member);
                    self.gather_fleet();
                }
                LinkEvent::MessageReceived { from, lane: _, body } => match Word::read(&body) {
                    Some(Word::Want(want)) => self.gather_wanted(from, want),
                    Some(Word::Have { no, took, purges, what }) => match g.peers.wants.remove(&no) {
                        Some((to, key)) if to == from => {
                            match what {
                                Brought::Bytes { version, born, body } => {
                                    self.gather_came(key, body, CopyTag { version, born }, took, purges);
                                }
                                Brought::Refused(back) => self.gather_ended(key, How::Refused(back)),
                                Brought::Failed => self.gather_ended(key, How::Failed),
                            };
                        }
                        Some(other) => {
                            g.counters.strange += 1;
                            g.peers.wants.insert(no, other);
                        }
                        // It was called off meanwhile.
                        None => {}
                    },
                    Some(Word::Never { no }) => {
                        let served = g.peers.served_as.get(&(from, no)).copied();
                        let request = served.and_then(|n| g.peers.unserve(n)).and_then(|s| s.request);
                        request.into_iter().for_each(|no| self.left(no));
                    }
                    None => g.counters.strange += 1,
                },
                // The owner wants none: gathers go over the links of a mesh.
                LinkEvent::DialFailed(_) => {}
                LinkEvent::SendFailed { number: no, .. } => {
                    g.counters.unsent += 1;
                    if let Some((_, key)) = g.peers.wants.remove(&no) {
                        self.gather_ended(key, How::Unreached);
                    }
                }
            }
        }
    }

    fn gather_fleet(&mut self) {
        let routers = self.gathering.as_ref().map_or(1, |g| g.peers.reached.len() + 1);
        self.gather_tell(Event::Fleet(routers));
    }

    /// A router is not reached any more: what was asked of it has no answer, and what it asked for has no asker.
    fn gather_lost(&mut self, member: &Member) {
        let Some(g) = &mut self.gathering else { return };
        let of = |(no, (to, key)): (&u64, &(Member, _))| (to == member).then_some((*no, *key));
        let lost: Vec<(u64, (GatherNo, AttemptNo))> = g.peers.wants.iter().filter_map(of).collect();
        let unserved: Vec<u64> =
            g.peers.served.iter().filter(|(_, s)| s.to.0 == *member).map(|(no, _)| *no).collect();
        let unserved: Vec<RequestNo> =
            unserved.into_iter().filter_map(|no| g.peers.unserve(no)?.request).collect();
        lost.iter().for_each(|(no, _)| drop(g.peers.wants.remove(no)));
        lost.into_iter().for_each(|(_, key)| self.gather_ended(key, How::Unreached));
        unserved.into_iter().for_each(|no| self.left(no));
    }

    /// Another router wants a part.
    fn gather_wanted(&mut self, from: Member, want: Want) {
        let class = self.names.class(&want.class);
        let Some(g) = &mut self.gathering else { return };
        let to = (from, want.no);
        let safe = |c: &basaltgw::api::ClassId| {
            g.set.classes.get(c.0).is_some_and(|c| c.idempotency == Idempotency::Idempotent)
        };
        let object = u64::from_str_radix(&want.object, 16).ok();
        let (Some(class), Some(object)) = (class.filter(safe), object) else {
            g.counters.strange += 1;
            return self.gather_have(to, 0.0, Vec::new(), Brought::Failed);
        };
        if g.peers.served.len() >= MOST_SERVED {
            return self.gather_have(to, 0.0, Vec::new(), Brought::Refused(0.0));
        }
        if g.peers.served_as.contains_key(&to) {
            g.counters.strange += 1;
            return;
        }
        let no = g.peers.number();
        g.peers.served_as.insert(to.clone(), no);
        let (since, group) = (self.now, want.group);
        g.peers.served.insert(no, Served { to, request: None, since, group, object });
        let request = Do {
            id: WireId(Arc::from("")),
            class: want.class.to_string(),
            object: ObjectId(object),
            object_text: want.object.to_string(),
            part: Part(want.part),
            group: GroupId(want.group),
            size_kb: want.size_kb,
            left: want.left,
            got: None,
            key: None,
            again: false,
            parts: None,
            debt: None,
            body: Vec::new(),
        };
        self.gather_admit(Asker::Peer(no), class, request, None);
    }

    /// Another router's part was taken in.
    pub(in crate::owner) fn peer_owed(&mut self, served: u64, no: RequestNo) {
        let of = self.gathering.as_mut().and_then(|g| g.peers.served.get_mut(&served));
        of.into_iter().for_each(|s| s.request = Some(no));
    }

    /// Another router's part is answered.
    pub(in crate::owner) fn peer_paid(&mut self, served: u64, reply: Reply<'_>, copy: Option<CopyTag>) {
        let now = self.now;
        let Some(g) = &mut self.gathering else { return };
        let Some(served) = g.peers.unserve(served) else { return };
        let purges = g.purges_of(served.group, served.object);
        let what = match (reply, copy) {
            (Reply::Served(bytes), Some(CopyTag { version, born })) if version.len() <= COPY_TAG => {
                Brought::Bytes { version, born, body: bytes.to_vec() }
            }
            (Reply::Served(_) | Reply::Same | Reply::Failed, _) => Brought::Failed,
            (Reply::Refused(back), _) => Brought::Refused(back.clamp(0.0, LONGEST_WAIT_MS)),
        };
        g.counters.given += u64::from(matches!(what, Brought::Bytes { .. }));
        self.gather_have(served.to, now - served.since, purges, what);
    }

    fn gather_have(
        &mut self,
        (to, no): (Member, u64),
        took: Ms,
        purges: Vec<crate::fleet::purges::Purge>,
        what: Brought,
    ) {
        let (Some(g), Some(fleet)) = (&mut self.gathering, &mut self.fleet) else { return };
        if fleet.say(0, &to, &Word::Have { no, took, purges, what }) {
            return;
        }
        // There was no room, or it was too long for a frame; a word that it failed may fit.
        g.counters.unsent += 1;
        let failed = Word::Have { no, took, purges: Vec::new(), what: Brought::Failed };
        g.counters.unsent += u64::from(!fleet.say(0, &to, &failed));
    }
}
