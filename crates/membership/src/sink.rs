//! What the SWIM library asks for while it handles one event.

use crate::life::Life;
use basaltgw_types::RouterId;
use foca::{Notification, Runtime, Timer};
use std::collections::BTreeSet;
use std::time::Duration;

/// Collected until the library is done.
#[derive(Default)]
pub(crate) struct Sink {
    pub sent: Vec<(Life, Vec<u8>)>,
    pub timers: Vec<(Timer<Life>, Duration)>,
    /// Names of which something may have changed.
    pub touched: BTreeSet<RouterId>,
    /// It came back under a higher number.
    pub back: bool,
}

impl Runtime<Life> for Sink {
    fn notify(&mut self, notification: Notification<'_, Life>) {
        match notification {
            Notification::MemberUp(l) | Notification::MemberDown(l) | Notification::Rename(_, l) => {
                self.touched.insert(l.router().clone());
            }
            Notification::Rejoin(_) => self.back = true,
            Notification::Active | Notification::Idle | Notification::Defunct => {}
        }
    }

    fn send_to(&mut self, to: Life, data: &[u8]) {
        self.sent.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Life>, after: Duration) {
        // A suspicion that starts here is told in no other way.
        if let Timer::ChangeSuspectToDown { member_id, .. } = &event {
            self.touched.insert(member_id.router().clone());
        }
        self.timers.push((event, after));
    }
}

/// Which run of the library a timer belongs to: those of another do nothing when they come due.
pub(crate) fn token(timer: &Timer<Life>) -> Option<u8> {
    match timer {
        Timer::ProbeRandomMember(token)
        | Timer::PeriodicAnnounce(token)
        | Timer::PeriodicAnnounceDown(token)
        | Timer::PeriodicGossip(token)
        | Timer::SendIndirectProbe { token, .. }
        | Timer::ChangeSuspectToDown { token, .. } => Some(*token),
        Timer::RemoveDown(_) => None,
    }
}
