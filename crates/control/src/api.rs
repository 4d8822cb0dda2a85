//! Events, actions, requests and notifications of the control plane.

use basaltgw_membership as membership;
use basaltgw_registers::{Change, RecordKey, RequestNumber, Response};
use basaltgw_scatter_gather as scatter_gather;
use basaltgw_storage::Write;
use basaltgw_types::link::{Hello, Lane, LinkError};
use basaltgw_types::{Member, Ms, RouterId, TableHash, TableVersion};
use std::sync::Arc;

use crate::gather_policies::Policies;
use crate::purges::Purge;

/// Input of [`crate::Control::handle`].
#[derive(Debug)]
pub enum Event {
    /// A link is established, or its peer advertises another table version.
    LinkUp(Hello),
    /// A link is closed, with the reason.
    LinkDown(Member, LinkError),
    /// Dialing a router requested by [`Action::SetLinkWanted`] failed. The transport retries while the link is wanted.
    DialFailed(RouterId),
    /// A peer sent a message.
    MessageReceived {
        /// Sender.
        from: Member,
        /// Lane on which the message arrived.
        lane: Lane,
        /// Encoded message.
        body: Vec<u8>,
    },
    /// The message that [`Action::Send`] sent under this number was not written completely; 0 for an unnumbered message.
    SendFailed(u64),
    /// The owner of the routing module sends a request.
    Request(ControlRequest),
    /// Time has passed; all due timers fire. See [`crate::Control::next_timer`].
    TimersDue,
    /// A batch of events ends: all pending writes go into one [`Action::Commit`], if there are any.
    Flush,
    /// A commit has finished. Commits finish in the order of their numbers. The caller sends [`Event::Flush`] afterwards, because the outcome
    /// may produce further writes.
    CommitFinished {
        /// Number of the commit in [`Action::Commit`].
        number: u64,
        /// Whether its writes are durable; otherwise it failed.
        durable: bool,
    },
}

/// Output of [`crate::Control::handle`], to be executed in order.
#[derive(Debug)]
pub enum Action {
    /// Send a message to a router. [`Event::SendFailed`] returns `number` if the message was not written completely.
    Send {
        /// Number of the message; 0 if no failure report is needed.
        number: u64,
        /// Receiver.
        to: Member,
        /// Lane to send on.
        lane: Lane,
        /// Encoded message.
        body: Vec<u8>,
    },
    /// Request a link to a router from the transport, or end that request. Used with persistent links only. A wanted router is dialed until it
    /// is connected; [`Event::LinkUp`] follows even if the link already existed.
    SetLinkWanted {
        /// Router to be linked.
        router: RouterId,
        /// Whether the link is wanted from now on.
        wanted: bool,
    },
    /// Advertise this table in the router's own hello from now on.
    AdvertiseTable(TableVersion, TableHash),
    /// Commit these writes atomically under this number; answered by [`Event::CommitFinished`].
    Commit(u64, Vec<Write>),
    /// Notify the owner of the routing module.
    Notify(ControlNotification),
}

/// Request from the owner of the routing module.
#[derive(Debug)]
pub enum ControlRequest {
    /// Change a register within `timeout` milliseconds. Answered exactly once by [`ControlNotification::Response`]. An unavailable completion
    /// is retried in the background; a lease that may have been acquired despite an unavailable response is released in the background.
    ChangeRecord {
        /// Number chosen by the owner.
        number: RequestNumber,
        /// Register to change.
        key: RecordKey,
        /// Requested change.
        change: Change,
        /// Time limit in milliseconds.
        timeout: Ms,
    },
    /// Change a register in the background, with retries and without a response.
    ChangeInBackground(RecordKey, Change),
    /// The change log reported a purge.
    Purge(Purge),
    /// Propose placement rules.
    Rules {
        /// Name of the file with the rules, for diagnostics.
        file_name: String,
        /// Text of the rules.
        text: String,
    },
    /// Gossip an observation about a site, made by scatter-gather requests.
    ReportEvidence(membership::Evidence),
    /// Shut down gracefully: wait a bounded time for background changes, and release the leases acquired by these requests, given in ascending
    /// order, because their responses were not received.
    Shutdown(Vec<RequestNumber>),
}

/// Notification to the owner of the routing module.
#[derive(Debug)]
pub enum ControlNotification {
    /// Response to the request of this number.
    Response(RequestNumber, Response),
    /// Another router, or an earlier incarnation of this one, observed a purge.
    Purge(Purge),
    /// The startup sync of the purges from before this start has ended.
    PurgesKnown {
        /// Whether these purges are complete. If they can't be obtained, the owner treats every cached copy from before the start as purged.
        complete: bool,
    },
    /// Purges were missed that no router can supply any more: the owner treats every cached copy as purged now. May occur repeatedly.
    PurgesMissed,
    /// Placement table in effect at this router.
    Table(TableVersion, TableHash),
    /// Scatter-gather policies in effect; only if [`crate::ControlParts::scatter_gather_classes`] is set.
    Policies(Arc<Policies>),
    /// Observation about a site by another router; only if [`crate::ControlParts::scatter_gather_classes`] is set.
    Evidence(RouterId, scatter_gather::Evidence),
}
