//! Which routers are dialled, and how many at a time.
//!
//! With [`DialPolicy::All`] each listed router is dialled while there is no link to it. With [`DialPolicy::OnDemand`] only routers that a user
//! wants are, at most [`MAX_CONCURRENT_DIALS`] at a time, and idle links that this router dialled are closed once no user wants them.

use crate::connection_manager::{ConnectionManager, Link};
use crate::counters::increment;
use crate::limits::MAX_CONCURRENT_DIALS;
use crate::priority_queues::UserIndex;
use crate::{DialPolicy, LinkEvent};
use basaltgw_types::RouterId;
use std::rc::Rc;

/// A slot among the concurrent dials; freed when dropped.
pub struct DialSlot(Rc<ConnectionManager>);

impl Drop for DialSlot {
    fn drop(&mut self) {
        let dials = &self.0.dials;
        dials.active.set(dials.active.get().saturating_sub(1));
        dials.slot_freed.notify(1);
    }
}

impl ConnectionManager {
    /// True if a router is to be dialled while there is no link to it.
    fn is_wanted(&self, router: &RouterId) -> bool {
        match self.settings.dial_policy {
            DialPolicy::All => true,
            DialPolicy::OnDemand { .. } => self.dials.wanted_by.borrow().contains_key(router),
        }
    }

    /// Stores whether a user wants a link to a router, and starts a dial task if needed.
    pub fn set_wanted(&self, user: UserIndex, router: RouterId, wanted: bool) {
        if self.settings.dial_policy == DialPolicy::All {
            return;
        }
        if !self.listed.contains_key(&router) {
            // An unlisted router can't be dialled.
            if wanted {
                self.report_dial_failed(user, &router);
            }
            return;
        }
        self.store_wanted(user, &router, wanted);
        if !wanted {
            // The dial task checks whether it is still needed.
            self.changed.notify(usize::MAX);
            return;
        }
        self.report_existing_link(user, &router);
        // The task starts even if there is a link, so that it dials once that link goes down.
        if self.dials.with_task.borrow_mut().insert(router.clone()) {
            self.dials.to_start.borrow_mut().push_back(router);
            self.changed.notify(usize::MAX);
        }
    }

    fn store_wanted(&self, user: UserIndex, router: &RouterId, wanted: bool) {
        let mut wanted_by = self.dials.wanted_by.borrow_mut();
        let users = wanted_by.entry(router.clone()).or_default();
        if let Some(wants) = users.get_mut(user.0) {
            *wants = wanted;
        }
        if *users == [false; 2] {
            wanted_by.remove(router);
        }
    }

    fn report_existing_link(&self, user: UserIndex, router: &RouterId) {
        let link = self.links.borrow().get(router).filter(|l| !l.is_closing.get()).cloned();
        if let (Some(link), Some(endpoint)) = (link, self.endpoint(user)) {
            let hello = link.session.borrow().hello.clone();
            endpoint.borrow_mut().link_up(router, LinkEvent::LinkUp(hello));
        }
    }

    /// The next router whose dial task is to be started.
    pub fn next_dial_task(&self) -> Option<RouterId> {
        self.dials.to_start.borrow_mut().pop_front()
    }

    /// Marks the dial task of a router as ended if no user wants the router; true if so.
    pub fn end_dial_task_if_unwanted(&self, router: &RouterId) -> bool {
        let unwanted = !self.is_wanted(router);
        if unwanted {
            self.dials.with_task.borrow_mut().remove(router);
        }
        unwanted
    }

    /// Waits for a dial slot; none is needed with [`DialPolicy::All`].
    pub async fn acquire_dial_slot(self: &Rc<Self>) -> Option<DialSlot> {
        if self.settings.dial_policy == DialPolicy::All {
            return None;
        }
        while self.dials.active.get() >= MAX_CONCURRENT_DIALS {
            let listener = self.dials.slot_freed.listen();
            if self.dials.active.get() >= MAX_CONCURRENT_DIALS {
                listener.await;
            }
        }
        self.dials.active.set(self.dials.active.get() + 1);
        Some(DialSlot(self.clone()))
    }

    /// Reports a failed dial to the users that want the router.
    pub fn on_dial_failed(&self, router: &RouterId) {
        let wanted_by = self.dials.wanted_by.borrow().get(router).copied().unwrap_or_default();
        let users = wanted_by.into_iter().enumerate().filter(|(_, wants)| *wants);
        users.for_each(|(user, _)| self.report_dial_failed(UserIndex(user), router));
    }

    fn report_dial_failed(&self, user: UserIndex, router: &RouterId) {
        increment(&self.counters.peer_unreached);
        if let Some(endpoint) = self.endpoint(user) {
            endpoint.borrow_mut().dial_failed(router);
        }
    }

    /// True if a link is to be closed as idle: dialled here, not wanted, and without users' frames for long enough.
    pub fn is_idle(&self, link: &Link) -> bool {
        let DialPolicy::OnDemand { idle } = self.settings.dial_policy else { return false };
        link.was_dialled && link.last_used.get().elapsed() >= idle && !self.is_wanted(&link.member().router)
    }
}
