//! How a gather ends: whole, in part, turned away or failed, once; or unheard.

use super::{GatherNo, Owner, Stage};
use crate::caches::RequestNo;
use crate::clients::parts::{gathered, Gathered};
use crate::clients::{answer, Reply};
use crate::outbox::Counted;
use basaltgw::api::Ms;
use basaltgw_scatter_gather::{Event, Verdict};
use std::sync::Arc;

impl Owner {
    /// The one end of a gather.
    pub(super) fn gather_answer(&mut self, no: GatherNo, verdict: Verdict) {
        let now = self.now;
        let Some(g) = &mut self.gathering else { return };
        let used = match &verdict {
            Verdict::Whole { used } | Verdict::Part { used, .. } => g.take(no, used),
            Verdict::Refused { .. } | Verdict::Failed | Verdict::Unfit(_) => Some(Vec::new()),
        };
        let Some(open) = g.open.get_mut(&no) else { return };
        let Some(used) = used else {
            log::error!("gather {}: bytes of an answer are not there", no.0);
            return self.gather_reply(no, Reply::Failed);
        };
        let mut said = Gathered {
            parts: used.iter().map(|(p, b)| (p.0, b.bytes().len())).collect(),
            ..Gathered::default()
        };
        let given: Vec<u64> = used.iter().map(|(p, _)| u64::from(p.0)).collect();
        let held: Vec<Counted> = used.into_iter().map(|(_, bytes)| bytes).collect();
        match verdict {
            Verdict::Whole { .. } => {
                let debt = open.debt.take();
                debt.into_iter().for_each(|debt| self.debt_shrinks(debt, &given));
                self.gather_say(no, said, held, now);
            }
            Verdict::Part { used, missing, owed, come_back } => {
                said.missing = missing.iter().map(|p| p.0).collect();
                // What the policy drops does not come.
                said.come_back = owed.then_some(come_back);
                match (open.debt.take(), owed) {
                    (Some(debt), _) => {
                        said.debt = Some(debt.name);
                        self.debt_shrinks(debt, &given);
                        self.gather_say(no, said, held, now);
                    }
                    (None, true) => match used.first() {
                        Some(first) => self.debt_begins(no, Arc::clone(&first.version), said, held),
                        None => self.gather_reply(no, Reply::Failed),
                    },
                    (None, false) => self.gather_say(no, said, held, now),
                }
            }
            Verdict::Refused { come_back } => self.gather_reply(no, Reply::Refused(come_back)),
            Verdict::Failed => self.gather_reply(no, Reply::Failed),
            Verdict::Unfit(why) => {
                log::debug!("gather {}: {why}", no.0);
                self.gather_reply(no, Reply::Failed);
            }
        }
    }

    /// Puts parts in line for the client.
    pub(super) fn gather_say(&mut self, no: GatherNo, mut said: Gathered, held: Vec<Counted>, decided: Ms) {
        let Some(g) = &mut self.gathering else { return };
        let Some(open) = g.open.remove(&no) else { return };
        match said.missing.is_empty() {
            true => g.counters.whole += 1,
            false => g.counters.part += 1,
        }
        held.iter().for_each(|bytes| said.body.extend_from_slice(bytes.bytes()));
        let (id, tag) = open.client;
        let whole = said.missing.is_empty();
        if self.clients.put(self.now, id, tag, gathered(tag, &said)) && whole {
            self.counters.clients.answered(&Reply::Served(&[]));
        }
        self.gather_tell(Event::Merged(self.now - decided));
    }

    /// Answers without parts.
    pub(super) fn gather_reply(&mut self, no: GatherNo, reply: Reply<'_>) {
        let Some(g) = &mut self.gathering else { return };
        let Some(open) = g.open.remove(&no) else { return };
        match reply {
            Reply::Refused(_) => g.counters.refused += 1,
            Reply::Failed | Reply::Served(_) | Reply::Same => g.counters.failed += 1,
        }
        let (id, tag) = open.client;
        if self.clients.put(self.now, id, tag, answer(tag, reply)) {
            self.counters.clients.answered(&reply);
        }
    }

    /// The client of a gather waits no longer; false if the number is none's.
    pub(in crate::owner) fn gather_left(&mut self, no: RequestNo) -> bool {
        let Some(g) = &mut self.gathering else { return false };
        let no = GatherNo(no.0);
        let Some(open) = g.open.remove(&no) else { return false };
        g.counters.left += 1;
        self.counters.clients.left.one();
        match open.stage {
            Stage::Looking => {}
            Stage::Out => self.gather_tell(Event::Left(no)),
            // Nobody was told of it.
            Stage::Owing(owing) => self.debt_ends(&owing.debt),
        }
        true
    }
}
