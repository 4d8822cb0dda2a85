//! What goes into a router's control part, and what comes out.

use basaltgw_membership as roster;
use basaltgw_registers::{Change, RecordKey, RequestNumber, Response};
use basaltgw_scatter_gather as gather;
use basaltgw_storage::Write;
use basaltgw_types::link::{Hello, Lane, LinkError};
use basaltgw_types::{Member, Ms, RouterId, TableHash, TableVersion};
use std::sync::Arc;

use crate::gathers::Policies;
use crate::purges::Purge;

/// What the control part is told.
#[derive(Debug)]
pub enum Event {
    /// A link came up, or its peer goes by another table.
    LinkUp(Hello),
    /// A link is down.
    LinkDown(Member, LinkError),
    /// A router that [`Action::Want`] asked for was dialled and not reached; it is dialled again while it is wanted.
    DialFailed(RouterId),
    /// Bytes came on a link.
    MessageReceived {
        /// From whom.
        from: Member,
        /// On which lane.
        lane: Lane,
        /// What.
        body: Vec<u8>,
    },
    /// What [`Action::Send`] asked for was not written whole; 0 for what has no number.
    SendFailed(u64),
    /// The owner of the module asks or says something.
    Request(ControlRequest),
    /// Time has passed: all that is due is done. See [`crate::Control::due`].
    TimersDue,
    /// A turn ends: all that has to last so far goes into one [`Action::Store`], if there is any.
    Flush,
    /// The commit of that number is on the disk (`true`), or the disk did not take it. Commits come on the disk in the order of their numbers;
    /// [`Event::Settle`] follows, for there may be more to store.
    CommitFinished(u64, bool),
}

/// What it wants done, in this order.
#[derive(Debug)]
pub enum Action {
    /// Carry bytes to a router; `no` comes back in [`Event::Unsent`] if they were not written whole.
    Send {
        /// The number; 0 if nobody needs to know.
        number: u64,
        /// To whom.
        to: Member,
        /// On which lane.
        lane: Lane,
        /// What.
        body: Vec<u8>,
    },
    /// A link to that router is wanted from now on, or no more; only with standing links. It is dialled until it is up, and [`Event::Up`] says so,
    /// also if it was up before.
    SetLinkWanted(RouterId, bool),
    /// The table by which the own hello goes from now on.
    AdvertiseTable(TableVersion, TableHash),
    /// Commit these writes as one; answered by [`Event::Stored`].
    Commit(u64, Vec<Write>),
    /// Tell the owner of the module.
    Notify(ControlNotification),
}

/// What the owner of the module asks of the control part.
#[derive(Debug)]
pub enum ControlRequest {
    /// A change of a hold, to be on enough disks within so many milliseconds. Answered once by [`Told::Verdict`]. An outcome that is
    /// not kept goes on being put down; what may be found taken though it is not kept is given back.
    ChangeRecord {
        /// Its number.
        number: RequestNumber,
        /// Which hold.
        key: RecordKey,
        /// What is to change.
        change: Change,
        /// Time for it.
        timeout: Ms,
    },
    /// Put a change down, however long it takes: nobody waits for it.
    ChangeInBackground(RecordKey, Change),
    /// A purge was heard from the change log, with its time in Unix milliseconds.
    Purge(Purge),
    /// New rules are offered, by file name and text.
    Rules(String, String),
    /// Something was heard of a site by gathers, for other routers to weigh.
    ReportEvidence(roster::Evidence),
    /// End in order: what is being put down is waited for, for a bounded time. What was taken for these questions is given back, for
    /// nobody has heard of it.
    Shutdown(Vec<RequestNumber>),
}

/// What the control part tells the owner.
#[derive(Debug)]
pub enum ControlNotification {
    /// The answer to a question.
    Response(RequestNumber, Response),
    /// Another router heard a purge, or an earlier life of this one did.
    Purge(Purge),
    /// What was heard of purges before this start is all here (`true`), or can't be had (`false`): then everything counts as purged.
    PurgesKnown(bool),
    /// Purges were missed that nobody can tell any more: everything counts as purged now. It may come again and again.
    PurgesMissed,
    /// The table by which this router goes.
    Table(TableVersion, TableHash),
    /// The policies of gathers by which this router goes; only where they are taken.
    Policies(Arc<Policies>),
    /// Another router's word on a site; only where gathers are taken.
    Evidence(RouterId, gather::Evidence),
}
