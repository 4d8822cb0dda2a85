//! The control plane of one simulated router, and the events and actions by which the simulation drives it.

use crate::disk::Disk;
use crate::fleet::Fleet;
use crate::RouterIndex;
use basaltgw_control::Purge;
use basaltgw_storage::Write;
use basaltgw_types::link::{Hello, Lane, LinkError};
use basaltgw_types::{Member, Ms, RouterId, TableHash, TableVersion};

/// An input of a control plane.
#[derive(Debug)]
pub enum ControlPlaneEvent {
    /// A link came up, or its peer advertises another placement table.
    LinkUp(Hello),
    /// A link went down.
    LinkDown(Member, LinkError),
    /// A message arrived on a link.
    MessageReceived {
        /// The sender.
        from: Member,
        /// The lane that carried the message.
        lane: Lane,
        /// The encoded message.
        body: Vec<u8>,
    },
    /// The message with this number was not written completely.
    SendFailed(u64),
    /// The change log delivered a purge.
    ChangeLogPurge(Purge),
    /// The time given by [`ControlPlane::next_timer`] is reached.
    TimersDue,
    /// End of a turn: pending writes go into one commit.
    Flush,
    /// The numbered commit is durable (`true`) or was refused.
    CommitFinished(u64, bool),
}

/// An output of a control plane. Actions are carried out in order.
#[derive(Debug)]
pub enum ControlPlaneAction {
    /// Dial this router now, and again whenever there is no link to it.
    Dial(RouterId),
    /// Stop dialling this router, and close the link if it is up.
    Close(RouterId),
    /// Send a message to a router.
    Send {
        /// Returned in [`ControlPlaneEvent::SendFailed`]; 0 if the failure need not be reported.
        number: u64,
        /// The receiver.
        to: Member,
        /// The lane to send on.
        lane: Lane,
        /// The encoded message.
        body: Vec<u8>,
    },
    /// Advertise this placement table in the local hello.
    AdvertiseTable(TableVersion, TableHash),
    /// Commit these writes atomically.
    Commit(u64, Vec<Write>),
    /// Notify the owner of the control plane.
    Notify(Notification),
}

/// The part of an owner notification that the checker reads.
#[derive(Clone, Debug, PartialEq)]
pub enum Notification {
    /// A purge that was not known at this router.
    Purge(Purge),
    /// Whether the purges made before this start are all known; `false` if they can't be.
    PurgesKnown(bool),
    /// The placement table that this router applies.
    Table(TableVersion, TableHash),
    /// This router makes the next change of the configuration.
    ConfigChangeMade,
    /// The applied placement table contains the configuration change with this number, counted from 0.
    ConfigChangeApplied(usize),
    /// Any other notification.
    Other,
}

/// The control plane of one simulated router.
pub trait ControlPlane {
    /// Processes an event at time `now` and appends the resulting actions to `out`.
    fn handle(&mut self, now: Ms, event: ControlPlaneEvent, out: &mut Vec<ControlPlaneAction>);
    /// The time of the next [`ControlPlaneEvent::TimersDue`].
    fn next_timer(&self) -> Ms;
    /// Named counters, summed over all routers into the figures of a run.
    fn counters(&self) -> Vec<(&'static str, u64)> {
        Vec::new()
    }
}

/// What a process hands to its control plane at start.
pub struct StartContext<'a> {
    /// Time of the start, ms.
    pub now: Ms,
    /// Index of the router in the fleet.
    pub index: RouterIndex,
    /// The router, with the incarnation of its data directory.
    pub me: Member,
    /// Whether the data directory was written by an earlier process.
    pub has_previous_data: bool,
    /// All routers of the fleet.
    pub fleet: &'a Fleet,
    /// The disk of the router.
    pub disk: &'a Disk,
    /// A random number, drawn anew at each start.
    pub random: u128,
}

/// Starts a control plane when its process starts. Returns it with the placement table that its hello advertises, if the disk has one.
pub type StartControlPlane<'a> = dyn Fn(
        &StartContext,
        &mut Vec<ControlPlaneAction>,
    ) -> Result<(Box<dyn ControlPlane>, Option<(TableVersion, TableHash)>), String>
    + 'a;
