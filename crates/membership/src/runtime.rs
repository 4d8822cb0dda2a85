//! What the SWIM library requests while it handles one event.

use crate::identity::RouterIdentity;
use basaltgw_types::RouterId;
use foca::{Notification, Runtime, Timer};
use std::collections::BTreeSet;
use std::time::Duration;

/// A message that the library sends.
pub(crate) struct OutgoingMessage {
    pub to: RouterIdentity,
    pub bytes: Vec<u8>,
}

/// A timer that the library starts.
pub(crate) struct StartedTimer {
    pub timer: Timer<RouterIdentity>,
    pub delay: Duration,
}

/// The library's requests, collected until it returns.
#[derive(Default)]
pub(crate) struct CollectedRequests {
    pub messages: Vec<OutgoingMessage>,
    pub timers: Vec<StartedTimer>,
    /// Routers whose state may have changed.
    pub changed_routers: BTreeSet<RouterId>,
    /// This router has returned under a higher generation.
    pub has_rejoined: bool,
}

impl Runtime<RouterIdentity> for CollectedRequests {
    fn notify(&mut self, notification: Notification<'_, RouterIdentity>) {
        match notification {
            Notification::MemberUp(identity)
            | Notification::MemberDown(identity)
            | Notification::Rename(_, identity) => {
                self.changed_routers.insert(identity.router().clone());
            }
            Notification::Rejoin(_) => self.has_rejoined = true,
            Notification::Active | Notification::Idle | Notification::Defunct => {}
        }
    }

    fn send_to(&mut self, to: RouterIdentity, data: &[u8]) {
        self.messages.push(OutgoingMessage { to, bytes: data.to_vec() });
    }

    fn submit_after(&mut self, event: Timer<RouterIdentity>, after: Duration) {
        // The library does not notify of a suspicion that begins at this router.
        if let Timer::ChangeSuspectToDown { member_id, .. } = &event {
            self.changed_routers.insert(member_id.router().clone());
        }
        self.timers.push(StartedTimer { timer: event, delay: after });
    }
}

/// The library's run that a timer belongs to; timers of an earlier run have no effect.
pub(crate) fn timer_token(timer: &Timer<RouterIdentity>) -> Option<u8> {
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
