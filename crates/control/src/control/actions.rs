//! Passes events to registers and membership, and executes their actions.

use super::requests::Requester;
use super::timers::Timer;
use super::Control;
use crate::api::ControlNotification;
use crate::gather_policies::policies;
use crate::message::Message;
use basaltgw_membership as membership;
use basaltgw_registers as registers;
use basaltgw_registers::{RecordKey, RequestNumber, Response};
use basaltgw_scatter_gather as scatter_gather;
use basaltgw_types::link::Lane;
use basaltgw_types::{Member, Ms};
use std::sync::Arc;

impl Control {
    /// Passes an event to the registers.
    pub(super) fn handle_registers(&mut self, now: Ms, event: registers::Event) {
        let mut actions = Vec::new();
        self.parts.registers.handle(now, event, &mut actions);
        for action in actions {
            match action {
                registers::Action::Send(number, to, body) => self.send(number, to, Lane::Registers, body),
                registers::Action::Store(number, writes) => self.commits.add_batch(number, writes),
                registers::Action::Respond(number, key, response) => {
                    self.on_response(now, number, key, response);
                }
                registers::Action::Timer(delay, token) => {
                    self.timers.schedule(now + delay, Timer::Registers(token));
                }
                registers::Action::StaleEpoch(_, peer) => self.send_message(&peer, &Message::TableRequest),
                registers::Action::ShardSynced(_, Some(_)) => {}
                registers::Action::ShardSynced(epoch, None) => {
                    let actions = self.parts.table.on_registers_synced(epoch);
                    self.execute_table_actions(now, actions);
                }
                registers::Action::Log(text) => log::info!("registers: {text}"),
            }
        }
    }

    /// Passes a response to its requester.
    fn on_response(&mut self, now: Ms, number: RequestNumber, key: RecordKey, response: Response) {
        let Some(requester) = self.requests.remove(number) else { return };
        match requester {
            Requester::Owner(number) => self.respond(number, response),
            Requester::OwnerAcquire { number, .. } => {
                self.on_acquire_response(now, number, key, &response);
                self.respond(number, response);
            }
            Requester::OwnerComplete { number, change } => {
                self.on_complete_response(now, key, change, &response);
                self.respond(number, response);
            }
            Requester::BackgroundChange(number) => self.on_background_response(now, number, response),
            Requester::TableManager => {
                let actions = self.parts.table.on_register_response(now, response);
                self.execute_table_actions(now, actions);
            }
            Requester::MarkOutcomeUnknown => {
                self.leases.finish_marking(&key);
                self.count_unavailable(key, &response);
            }
            Requester::Unawaited => self.count_unavailable(key, &response),
        }
    }

    fn respond(&mut self, number: RequestNumber, response: Response) {
        self.notify(ControlNotification::Response(number, response));
    }

    fn count_unavailable(&mut self, key: RecordKey, response: &Response) {
        match response {
            Response::Committed(_) | Response::Conflict(_) => {}
            Response::Unavailable { reason, .. } => {
                self.counts.unavailable_unawaited += 1;
                log::debug!(
                    "unawaited change of {:?} register {:032x} unavailable: {reason:?}",
                    key.kind,
                    key.name
                );
            }
        }
    }

    /// Passes an event to the membership.
    pub(super) fn handle_membership(&mut self, now: Ms, event: membership::Event) {
        let mut actions = Vec::new();
        if let Err(error) = self.parts.membership.handle(now, event, &mut actions) {
            self.counts.unreadable += 1;
            log::debug!("membership event rejected: {error}");
        }
        for action in actions {
            match action {
                membership::Action::Send(to, body) => self.send(0, to, Lane::Membership, body),
                membership::Action::Timer { delay, token } => {
                    self.timers.schedule(now + delay, Timer::Membership(token));
                }
                membership::Action::StateChanged(presence, state) => {
                    log::info!("member {} is {state:?}", presence.member);
                }
                membership::Action::RemoteEvidence(from, evidence) => self.on_remote_evidence(from, evidence),
                membership::Action::Log(text) => log::info!("membership: {text}"),
            }
        }
    }

    /// Notifies the owner of another router's observation, if the owner serves scatter-gather requests.
    fn on_remote_evidence(&mut self, from: Member, evidence: membership::Evidence) {
        if self.parts.scatter_gather_classes.is_none() {
            return;
        }
        let membership::Evidence { site, missed, answered, latency_ms, age_ms } = evidence;
        let site = scatter_gather::Site(site);
        let evidence = scatter_gather::Evidence { site, missed, answered, latency_ms, age_ms };
        self.notify(ControlNotification::Evidence(from.router, evidence));
    }

    /// Notifies the owner of the scatter-gather policies in effect, if it serves scatter-gather requests.
    pub(super) fn notify_policies(&mut self) {
        let Some(classes) = &self.parts.scatter_gather_classes else { return };
        let Some(table) = self.parts.table.table() else { return };
        let policies = Arc::new(policies(table, classes));
        self.notify(ControlNotification::Policies(policies));
    }
}
