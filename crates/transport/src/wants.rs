//! Who wants which router, where only wanted ones are dialled.

use crate::counts::count;
use crate::hub::{Hub, Link};
use crate::limits::DIALS;
use crate::{DialPolicy, LinkEvent};
use basaltgw_types::RouterId;
use std::rc::Rc;

/// A place among the dials under way; given back when dropped.
pub struct Place(Rc<Hub>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.dials.set(self.0.dials.get().saturating_sub(1));
        self.0.placed.notify(1);
    }
}

impl Hub {
    /// Whether a router is to be dialled while there is no link to it.
    pub fn wanted(&self, router: &RouterId) -> bool {
        match self.settings.dial_policy {
            DialPolicy::All => true,
            DialPolicy::OnDemand { .. } => self.wants.borrow().contains_key(router),
        }
    }

    /// A user wants a router, or does no more.
    pub fn want(&self, user: usize, router: RouterId, yes: bool) {
        if self.settings.dial_policy == DialPolicy::All {
            return;
        }
        if !self.listed.contains_key(&router) {
            // Nobody can be dialled who is not listed.
            if yes {
                self.tell_unreached(user, &router);
            }
            return;
        }
        let mut wants = self.wants.borrow_mut();
        let by = wants.entry(router.clone()).or_default();
        by.get_mut(user).into_iter().for_each(|by| *by = yes);
        if *by == [false; 2] {
            wants.remove(&router);
        }
        drop(wants);
        if !yes {
            // A task that dials it has to see that it is over.
            self.changed.notify(usize::MAX);
            return;
        }
        let link = self.links.borrow().get(&router).filter(|l| !l.closing.get()).cloned();
        if let Some(link) = link {
            let hello = link.greeting.borrow().hello.clone();
            let outbox = self.outboxes.get(user);
            outbox.into_iter().for_each(|o| o.borrow_mut().up(&router, LinkEvent::LinkUp(hello.clone())));
        }
        // Also beside a link, for when it goes.
        if self.dialling.borrow_mut().insert(router.clone()) {
            self.to_dial.borrow_mut().push_back(router);
            self.changed.notify(usize::MAX);
        }
    }

    /// The next router whose dialling begins.
    pub fn next_dial(&self) -> Option<RouterId> {
        self.to_dial.borrow_mut().pop_front()
    }

    /// True if nobody wants it, and no task dials it any more.
    pub fn dialled_enough(&self, router: &RouterId) -> bool {
        let enough = !self.wanted(router);
        if enough {
            self.dialling.borrow_mut().remove(router);
        }
        enough
    }

    /// A place to dial, once there is one; none is needed where all are dialled.
    pub async fn place(self: &Rc<Self>) -> Option<Place> {
        if self.settings.dial_policy == DialPolicy::All {
            return None;
        }
        while self.dials.get() >= DIALS {
            let listener = self.placed.listen();
            if self.dials.get() >= DIALS {
                listener.await;
            }
        }
        self.dials.set(self.dials.get() + 1);
        Some(Place(self.clone()))
    }

    /// A router was dialled and not reached: whoever wants it is told.
    pub fn unreached(&self, router: &RouterId) {
        let by = self.wants.borrow().get(router).copied().unwrap_or_default();
        let users = by.into_iter().zip(0..).filter_map(|(wants, user)| wants.then_some(user));
        users.for_each(|user| self.tell_unreached(user, router));
    }

    fn tell_unreached(&self, user: usize, router: &RouterId) {
        count(&self.counts.peer_unreached);
        self.outboxes.get(user).into_iter().for_each(|o| o.borrow_mut().unreached(router));
    }

    /// True if a link is to be closed: dialled here, wanted by nobody here, and nothing of users has gone for long enough.
    pub fn idle(&self, link: &Link) -> bool {
        let DialPolicy::OnDemand { idle } = self.settings.dial_policy else { return false };
        link.dialled && link.used.get().elapsed() >= idle && !self.wanted(&link.member().router)
    }
}
