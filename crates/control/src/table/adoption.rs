//! Adoption: what follows from a new content of the table register, and from the members' progress reports.
//!
//! Inputs: register contents from peers or from a register response, members' reports that a term is durable or synced. A content is taken
//! over if its serial is higher than the known one. It is persisted first; map, announcements and further register changes follow once it is
//! durable.

use super::{
    to_register_epoch, TableAction, TableCount, TableManager, TableRegister, EPOCH_OFFSET,
    REGISTER_CHANGE_TIMEOUT_MS, TABLE,
};
use crate::message::Message;
use basaltgw_placement::{AdoptionAction, AdoptionEvent, ProposalOutcome, Register};
use basaltgw_registers::{Change, Record, Response};
use basaltgw_types::{Member, Ms, TableVersion};

/// Source of a content of the register.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// This router's own change or read of the register.
    Response,
    /// Another router, which announces it as well.
    Peer,
}

/// State of the tables in a content of the register.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct TableState {
    version: TableVersion,
    has_proposal: bool,
}

impl TableState {
    fn of(register: &Register) -> Self {
        Self { version: register.table().version(), has_proposal: register.proposed().is_some() }
    }
}

/// The outcome to count for a change from one state to the next.
fn outcome(before: Option<TableState>, after: TableState) -> Option<TableCount> {
    match before {
        None => Some(TableCount::Adopted),
        Some(before) if before.version < after.version => Some(TableCount::Adopted),
        Some(before) => {
            let withdrawn = before.version == after.version && before.has_proposal && !after.has_proposal;
            withdrawn.then_some(TableCount::Withdrawn)
        }
    }
}

impl TableManager {
    /// A peer sent its content of the register.
    pub fn on_peer_register(&mut self, now: Ms, register: TableRegister) -> Vec<TableAction> {
        self.adopt(now, register, Source::Peer)
    }

    /// The requested change of the register has a response.
    pub fn on_register_response(&mut self, now: Ms, response: Response) -> Vec<TableAction> {
        self.register_change_pending = false;
        match response {
            Response::Committed(Record::Table { serial, body })
            | Response::Conflict(Some(Record::Table { serial, body })) => {
                self.adopt(now, TableRegister { serial, body }, Source::Response)
            }
            Response::Committed(_) | Response::Conflict(_) => Vec::new(),
            Response::Unavailable { reason, .. } => {
                log::debug!("table register change unavailable: {reason:?}");
                Vec::new()
            }
        }
    }

    /// The content of a term is durable at a member.
    pub fn on_member_durable(&mut self, member: &Member, term: u64) -> Vec<TableAction> {
        self.handle_adoption(AdoptionEvent::ProgressReported { member: member.clone(), term, synced: false })
    }

    /// The content of a term is durable at a member, which has synced its new shards as well.
    pub fn on_member_synced(&mut self, member: &Member, term: u64) -> Vec<TableAction> {
        self.handle_adoption(AdoptionEvent::ProgressReported { member: member.clone(), term, synced: true })
    }

    /// This router's registers have synced all shards that the map of `epoch` newly assigns to it.
    pub fn on_registers_synced(&mut self, epoch: u64) -> Vec<TableAction> {
        let register = self.adoption.register().filter(|r| r.epoch() + EPOCH_OFFSET == epoch);
        match register.map(Register::term) {
            Some(term) => self.handle_adoption(AdoptionEvent::Synced { term }),
            None => Vec::new(),
        }
    }

    fn adopt(&mut self, now: Ms, content: TableRegister, source: Source) -> Vec<TableAction> {
        if self.register.as_ref().is_some_and(|known| known.serial >= content.serial) {
            return Vec::new();
        }
        let register = match Register::from_bytes(&content.body) {
            Ok(register) => register,
            Err(error) => {
                log::error!("table register with serial {}: {error}", content.serial);
                return vec![TableAction::Count(TableCount::Rejected)];
            }
        };
        log::info!("table: {register}");
        let before = self.adoption.register().map(TableState::of);
        let after = TableState::of(&register);
        let is_first = self.register.is_none();
        let mut actions = vec![TableAction::Persist(content.clone())];
        self.register = Some(content.clone());
        self.proposals.observe_register_change(now);
        actions.extend(self.handle_adoption(AdoptionEvent::RegisterLearned(register)));
        actions.extend(self.reject_conflicting_rules());
        if is_first {
            self.observe_first_register();
        }
        actions.extend(outcome(before, after).map(TableAction::Count));
        actions.push(self.announce(content, source));
        actions
    }

    /// Sends a new content to routers that may not have it yet.
    fn announce(&self, content: TableRegister, source: Source) -> TableAction {
        let message = Message::TableState { serial: content.serial, body: content.body };
        match source {
            Source::Peer if self.peers.has_persistent_links() => {
                TableAction::SendToConnected { message, also_to: None }
            }
            Source::Peer | Source::Response => TableAction::Broadcast(message),
        }
    }

    /// Passes an event to the adoption, and converts its actions.
    pub(super) fn handle_adoption(&mut self, event: AdoptionEvent) -> Vec<TableAction> {
        let mut adoption_actions = Vec::new();
        self.adoption.handle(event, &mut adoption_actions);
        let mut actions = Vec::new();
        for action in adoption_actions {
            match action {
                AdoptionAction::ChangeRegister { from, to } => {
                    actions.extend(self.change_register(from, &to))
                }
                AdoptionAction::UseMap(map) => {
                    let map = to_register_epoch(&map);
                    self.map = Some(map.clone());
                    let is_bootstrap = self.register.is_none();
                    actions.push(match is_bootstrap {
                        true => TableAction::UseBootstrapMap(map),
                        false => TableAction::UseMap(map),
                    });
                }
                AdoptionAction::ReportProgress { term, synced } => {
                    let report = progress_report(term, synced);
                    let to_others = self.send_progress_report(report.clone());
                    actions.extend([to_others, TableAction::HandleLocally(report)]);
                }
                // Registers sync newly assigned shards on their own, and report the epoch.
                AdoptionAction::SyncShards { term, shards } => {
                    log::info!("table register term {term}: syncing {} shards", shards.len());
                }
                AdoptionAction::CompleteProposal { number, result } => match result {
                    Ok(ProposalOutcome::Adopted(hash)) => {
                        log::info!("table proposal {} adopted: table {hash}", number.0);
                    }
                    Ok(ProposalOutcome::Withdrawn(hash)) => {
                        log::info!("table proposal {} withdrawn: table {hash} stays in effect", number.0);
                    }
                    Err(reason) => {
                        log::warn!("table proposal {} rejected: {reason}", number.0);
                        actions.push(TableAction::Count(TableCount::Rejected));
                    }
                },
            }
        }
        actions
    }

    /// Requests a change of the register, unless another one is pending; the adoption repeats the request later.
    fn change_register(&mut self, from: u64, to: &Register) -> Option<TableAction> {
        let body = match to.to_bytes() {
            Ok(body) => body,
            Err(error) => {
                log::error!("table register can't be encoded: {error}");
                return None;
            }
        };
        if std::mem::replace(&mut self.register_change_pending, true) {
            return None;
        }
        let change = Change::SetTable { from, body };
        Some(TableAction::ChangeRegister { key: TABLE, change, timeout: REGISTER_CHANGE_TIMEOUT_MS })
    }
}

/// Message that reports this router's own progress in a term.
pub(super) fn progress_report(term: u64, is_synced: bool) -> Message {
    match is_synced {
        true => Message::ReplicaSynced { term },
        false => Message::TableDurable { term },
    }
}
