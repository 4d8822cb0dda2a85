//! [`Control`]: the state of a router's control plane, and its entry points.
//!
//! Each event is passed to the packages concerned (registers, membership, table, overlay), and their actions are executed by the modules
//! below. Durable writes are collected until [`Event::Flush`] and committed together; actions that depend on them follow
//! [`Event::CommitFinished`].
//!
//! | file | state or rule |
//! | --- | --- |
//! | `parts` | what a control plane consists of |
//! | `timers`, `requests` | pending timers; register requests that wait for a response, and their requesters |
//! | `leases` | leases held by this process; when the outcome of another router's lease becomes unknown |
//! | `background` | register changes that are retried until they take effect |
//! | `commit`, `commit_log`, `storage` | content of a commit; commits in flight and what waits for them; the stored form |
//! | `reachability`, `startup`, `shutdown` | connected routers; purge sync at the start; graceful shutdown |
//! | `dissemination`, `overlay_parts` | updates for all routers; construction of the overlay |
//! | `persistent_links`, `link_queue` | which links are wanted; messages that wait for a link |
//! | `inbound`, `outbound`, `actions`, `table_actions` | link events and messages; sending; actions of registers and membership; actions of the table manager |
//! | `maintenance`, `counter_text` | periodic work; counters as `name=value` pairs |

mod actions;
mod background;
#[cfg(test)]
mod byte_tests;
mod commit;
mod commit_log;
mod counter_text;
mod dissemination;
mod inbound;
mod leases;
mod link_queue;
mod maintenance;
mod outbound;
mod overlay_parts;
mod parts;
mod persistent_links;
mod reachability;
mod requests;
mod shutdown;
mod startup;
mod storage;
mod table_actions;
mod timers;

pub use link_queue::LinkQueueLimits;
pub use overlay_parts::{OverlayParts, OverlaySettings};
pub use parts::ControlParts;
pub use storage::{decode_purges, decode_table_register, PURGES_SPACE, REGISTERS_SPACE, TABLE_SPACE};
pub use timers::MAINTENANCE_INTERVAL_MS;

use crate::api::{Action, ControlNotification, ControlRequest, Event};
use crate::counts::Counts;
use crate::purges::{Purge, Purges};
use crate::table::TableManager;
use background::BackgroundChanges;
use basaltgw_membership as membership;
use basaltgw_membership::Membership;
use basaltgw_overlay as overlay;
use basaltgw_registers as registers;
use basaltgw_registers::{Change, RecordKey, Registers, RequestNumber};
use basaltgw_types::Ms;
use commit_log::CommitLog;
use dissemination::Dissemination;
use leases::Leases;
use persistent_links::PersistentLinks;
use reachability::Reachability;
use requests::{PendingRequests, Requester};
use shutdown::Shutdown;
use startup::StartupSync;
use timers::{Timer, Timers};

/// Control plane of a router; see the crate documentation.
pub struct Control {
    parts: ControlParts,
    timers: Timers,
    requests: PendingRequests,
    leases: Leases,
    background: BackgroundChanges,
    commits: CommitLog,
    reachability: Reachability,
    startup: StartupSync,
    shutdown: Shutdown,
    /// With an overlay only; without one updates go to all connected routers.
    dissemination: Option<Dissemination>,
    /// With persistent links only; without them all routers form a full mesh.
    persistent_links: Option<PersistentLinks>,
    /// Actions of the event being handled.
    actions: Vec<Action>,
    counts: Counts,
}

impl Control {
    /// A control plane that starts from its stored data. The notifications about that data are appended to `actions`.
    pub fn new(now: Ms, mut parts: ControlParts, actions: &mut Vec<Action>) -> Self {
        let overlay = parts.overlay.take();
        let mut control = Self {
            timers: Timers::default(),
            requests: PendingRequests::default(),
            leases: Leases::default(),
            background: BackgroundChanges::default(),
            commits: CommitLog::default(),
            reachability: Reachability::default(),
            startup: StartupSync::new(now, parts.has_previous_data),
            shutdown: Shutdown::default(),
            dissemination: None,
            persistent_links: None,
            actions: Vec::new(),
            counts: Counts::default(),
            parts,
        };
        control.restore(now);
        if let Some(overlay) = overlay {
            control.start_overlay(now, overlay);
        }
        control.update_links(now);
        actions.append(&mut control.actions);
        control
    }

    /// Puts the stored table into effect, and notifies the owner of stored purges and policies.
    fn restore(&mut self, now: Ms) {
        let purges: Vec<Purge> = self.parts.purges.all().collect();
        purges.into_iter().for_each(|purge| self.notify(ControlNotification::Purge(purge)));
        if let Some(map) = self.parts.table.map() {
            (self.counts.table_version, self.counts.table_epoch) = (map.version.0, map.epoch);
            self.handle_registers(now, registers::Event::ShardMap(map));
        }
        self.notify_policies();
    }

    /// Handles an event and appends the resulting actions, to be executed in order.
    pub fn handle(&mut self, now: Ms, event: Event, actions: &mut Vec<Action>) {
        self.set_link_time(now);
        match event {
            Event::LinkUp(hello) => self.on_link_up(now, &hello),
            Event::LinkDown(member, reason) => self.on_link_down(now, &member, reason),
            Event::DialFailed(router) => self.on_dial_failed(now, &router),
            Event::MessageReceived { from, lane, body } => self.on_message(now, from, lane, body),
            Event::SendFailed(number) => self.on_send_failed(now, number),
            Event::Request(request) => self.on_request(now, request),
            Event::TimersDue => self.on_timers_due(now),
            Event::Flush => self.flush(now),
            Event::CommitFinished { number, durable } => self.on_commit_finished(now, number, durable),
        }
        self.update_links(now);
        actions.append(&mut self.actions);
    }

    /// When the next timer is due: the caller sends [`Event::TimersDue`] then, and not earlier.
    pub fn next_timer(&self) -> Ms {
        self.timers.next_due().min(self.next_dissemination_timer()).min(self.next_link_timer())
    }

    /// Whether a shutdown was requested and nothing is left to wait for; messages sent last may still be in a send queue.
    pub fn is_finished(&self, now: Ms) -> bool {
        let is_idle = || self.background.is_empty() && !self.requests.delays_shutdown();
        self.shutdown.is_requested() && (self.shutdown.is_past_deadline(now) || is_idle())
    }

    /// Number of background changes that have not taken effect.
    pub fn pending_changes(&self) -> usize {
        self.background.len()
    }

    /// Counters; gauges and texts are as of the last maintenance or [`Self::refresh_counts`].
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Purges that have not converged.
    pub fn purges(&self) -> &Purges {
        &self.parts.purges
    }

    /// This router's replicas of registers.
    pub fn registers(&self) -> &Registers {
        &self.parts.registers
    }

    /// Fleet membership.
    pub fn membership(&self) -> &Membership {
        &self.parts.membership
    }

    /// Placement table.
    pub fn table(&self) -> &TableManager {
        &self.parts.table
    }

    /// Number of entries of each growing collection by name, and the bytes of registers, as capacity experiments report them.
    pub fn state_sizes(&self) -> [(&'static str, usize); 9] {
        let (register_count, register_bytes) = self.parts.registers.size();
        [
            ("holds", register_count),
            ("hold_bytes", register_bytes),
            ("purges", self.parts.purges.len()),
            ("asked", self.requests.len()),
            ("mine", self.leases.len()),
            ("pursuits", self.background.len()),
            ("timers", self.timers.len()),
            ("reached", self.reachability.connected_count()),
            ("open_commits", self.commits.in_flight_count()),
        ]
    }

    fn on_timers_due(&mut self, now: Ms) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Registers(token) => self.handle_registers(now, registers::Event::Timer(token)),
                Timer::Membership(token) => self.handle_membership(now, membership::Event::Timer(token)),
                Timer::BackgroundChange(number) => self.attempt_background_change(now, number),
            }
        }
        if self.timers.begin_due_maintenance(now) {
            self.maintain(now);
        }
        self.handle_overlay(now, overlay::Event::TimersDue);
    }

    fn on_request(&mut self, now: Ms, request: ControlRequest) {
        match request {
            ControlRequest::ChangeRecord { number, key, change, timeout } => {
                let requester = Requester::of_owner(number, key, &change);
                self.request_change(now, requester, key, change, timeout);
            }
            ControlRequest::ChangeInBackground(key, change) => {
                self.start_background_change(now, key, background::Operation::Apply(change));
            }
            ControlRequest::Purge(purge) => self.on_local_purge(now, purge),
            ControlRequest::Rules { file_name, text } => self.parts.table.set_rules(file_name, text),
            ControlRequest::ReportEvidence(evidence) => {
                self.handle_membership(now, membership::Event::LocalEvidence(evidence));
            }
            ControlRequest::Shutdown(unanswered) => self.on_shutdown(now, &unanswered),
        }
    }

    /// Requests a change of a register within `timeout` milliseconds.
    fn request_change(&mut self, now: Ms, requester: Requester, key: RecordKey, change: Change, timeout: Ms) {
        let number: RequestNumber = self.requests.add(requester);
        self.handle_registers(now, registers::Event::Request { number, key, change, timeout });
    }
}
