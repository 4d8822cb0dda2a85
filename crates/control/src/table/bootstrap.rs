//! Bootstrap: when the first table of a fleet is requested, and by which router.
//!
//! Inputs: connected routers, the table versions in their hellos, time in milliseconds. The first table is compiled once all listed routers
//! are connected and none of them advertises a table. Requests from several routers at once would split the votes, between regions for as long
//! as a round takes; so routers request the table in the order of their names, [`BOOTSTRAP_TURN_MS`] apart. All of them vote from the start.

use super::{TableAction, TableCount, TableManager, REGISTER_CHANGE_TIMEOUT_MS};
use basaltgw_placement::{compile, Adoption, AdoptionEvent, Diagnostic, Inventory, RouterEntry, Table};
use basaltgw_types::{Member, Ms};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Delay between the first requests of two routers: enough for a request and its retry.
const BOOTSTRAP_TURN_MS: Ms = 2.0 * REGISTER_CHANGE_TIMEOUT_MS;
/// Bounds the delay of a router late in the order of names.
const MAX_BOOTSTRAP_TURNS: usize = 8;

/// Progress of the bootstrap.
#[derive(Debug)]
pub(super) struct Bootstrap {
    /// Whether the data folder was empty at the start of the process.
    started_empty: bool,
    /// Whether the fleet was bootstrapped during this incarnation.
    completed_here: bool,
    /// Whether another router advertises a table, which this router then learns instead of requesting the first one.
    table_advertised: bool,
    /// Time from which all listed routers are connected, while there is no table.
    all_connected_since: Option<Ms>,
}

impl Bootstrap {
    pub fn new(started_empty: bool) -> Self {
        Self { started_empty, completed_here: false, table_advertised: false, all_connected_since: None }
    }

    pub fn observe_advertised_table(&mut self) {
        self.table_advertised = true;
    }
}

impl TableManager {
    /// Whether the fleet was bootstrapped during this incarnation: then nothing was stored before it.
    pub fn bootstrapped_here(&self) -> bool {
        self.bootstrap.completed_here
    }

    /// Whether no table is known to exist, so that all listed routers have to connect.
    pub fn needs_bootstrap(&self) -> bool {
        self.register.is_none() && !self.bootstrap.table_advertised
    }

    /// Requests the first table once all listed routers are connected and it is this router's turn.
    pub(super) fn try_bootstrap(&mut self, now: Ms) -> Vec<TableAction> {
        let all_connected = self.peers.connected.len() >= self.config.bootstrap_members.len();
        if !self.needs_bootstrap() || !all_connected {
            self.bootstrap.all_connected_since = None;
            return Vec::new();
        }
        if self.register_change_pending {
            return Vec::new();
        }
        let since = *self.bootstrap.all_connected_since.get_or_insert(now);
        let members: BTreeSet<Member> = self.peers.connected.values().cloned().collect();
        match self.compile(&members, None) {
            Ok(table) => {
                // The members may have changed since the last attempt.
                self.adoption = Adoption::new(self.config.me.clone());
                self.proposals.considered = members;
                let mut actions = self.handle_adoption(AdoptionEvent::Bootstrap(Arc::new(table)));
                if now < since + BOOTSTRAP_TURN_MS * self.bootstrap_turn() as f64 {
                    actions.retain(|action| !matches!(action, TableAction::ChangeRegister { .. }));
                    self.register_change_pending = false;
                }
                actions
            }
            Err(faults) => {
                log::error!("bootstrap table does not compile:\n{}", join_lines(&faults));
                vec![TableAction::Count(TableCount::Rejected)]
            }
        }
    }

    /// Number of connected routers that request the first table before this one.
    fn bootstrap_turn(&self) -> usize {
        let earlier = self.peers.connected.keys().take_while(|router| **router < self.config.me.router);
        earlier.count().min(MAX_BOOTSTRAP_TURNS)
    }

    /// Records the adoption of the first content of the register. If that names the incarnation of a folder that was empty at the start of
    /// the process, nothing was acknowledged to a client before.
    pub(super) fn observe_first_register(&mut self) {
        self.bootstrap.completed_here |= self.bootstrap.started_empty && self.is_member();
    }

    /// Compiles a table of these members, with `before` as its predecessor.
    pub(super) fn compile(
        &self,
        members: &BTreeSet<Member>,
        before: Option<&Table>,
    ) -> Result<Table, Vec<Diagnostic>> {
        let entry = |member: &Member| {
            let domain = self.config.bootstrap_members.get(&member.router)?.domain.clone();
            Some(RouterEntry {
                member: member.clone(),
                domain,
                capacity: self.config.capacity,
                accepts_replicas: true,
            })
        };
        let routers = members.iter().filter_map(entry).collect();
        compile(&self.config.rules, &Inventory { routers, ..Inventory::default() }, before)
    }
}

pub(super) fn join_lines(faults: &[Diagnostic]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
