//! The placement table of the fleet: bootstrap, adoption of new tables, and when this router proposes one.
//!
//! `basaltgw_placement` compiles tables and defines the steps of an adoption; the table register in `basaltgw_registers` defines which content
//! is agreed. [`TableManager`] connects them: it takes link events and register contents, and returns [`TableAction`]s.
//!
//! | file | decides |
//! | --- | --- |
//! | `bootstrap` | when the first table of a fleet is requested, and by whom |
//! | `adoption` | what follows from a new content of the register |
//! | `proposals` | when this router proposes a table, or withdraws one that makes no progress |
//! | `peers` | which routers are connected or lost |
//! | `watch_ring` | which routers this one watches with persistent links, and who proposes for a lost one |

mod action;
mod adoption;
mod bootstrap;
mod peers;
mod proposals;
mod watch_ring;

pub use action::{TableAction, TableCount};

use basaltgw_placement::{Adoption, AdoptionAction, AdoptionEvent, InvalidRegister, Register, Table};
use basaltgw_registers::{Kind, RecordKey};
use basaltgw_types::{Domain, Member, Ms, RouterId, ShardMap, TableHash, TableVersion};
use bootstrap::Bootstrap;
use peers::Peers;
use proposals::Proposals;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Key of the table register.
pub const TABLE: RecordKey = RecordKey { kind: Kind::Table, name: 0 };
/// Time limit of a change of the table register.
const REGISTER_CHANGE_TIMEOUT_MS: Ms = 1_000.0;
/// Registers reserve epoch 0 for "no map" while placement counts epochs from 0, so epochs are one higher here.
const EPOCH_OFFSET: u64 = 1;

/// Content of the table register. Encoded with postcard as the adopted table on disk: the order of fields is the stored form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRegister {
    /// Number of changes of the register.
    pub serial: u64,
    /// Encoded [`Register`].
    pub body: Vec<u8>,
}

/// The stored content of the table register can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("stored table register with serial {serial}: {source}")]
pub struct InvalidTableRegister {
    /// Serial of the stored content.
    pub serial: u64,
    /// Decoding error.
    pub source: InvalidRegister,
}

impl From<InvalidTableRegister> for String {
    fn from(error: InvalidTableRegister) -> Self {
        error.to_string()
    }
}

/// Router that the configuration lists for the bootstrap of the fleet.
#[derive(Clone, Debug)]
pub struct BootstrapMember {
    /// Address on which it listens for peers.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Domain,
}

/// Configuration of a [`TableManager`].
pub struct TableManagerConfig {
    /// This router.
    pub me: Member,
    /// All listed routers, including this one.
    pub bootstrap_members: BTreeMap<RouterId, BootstrapMember>,
    /// Number of registers that each router can store.
    pub capacity: u64,
    /// Placement rules as file names and texts.
    pub rules: Vec<(String, String)>,
    /// A router that is unreachable for this many milliseconds gets no place in the next table.
    pub replace_after: Ms,
}

/// State of the placement table at this router.
pub struct TableManager {
    config: TableManagerConfig,
    adoption: Adoption,
    /// Latest known content of the register; `None` before the bootstrap.
    register: Option<TableRegister>,
    /// Shard map in effect.
    map: Option<Arc<ShardMap>>,
    /// A change of the register was requested and has no response yet.
    register_change_pending: bool,
    bootstrap: Bootstrap,
    peers: Peers,
    proposals: Proposals,
}

impl TableManager {
    /// A manager that starts from the content stored by an earlier incarnation, if any.
    ///
    /// # Errors
    /// If the stored content can't be decoded.
    pub fn new(
        config: TableManagerConfig,
        stored: Option<TableRegister>,
    ) -> Result<Self, InvalidTableRegister> {
        let mut manager = Self {
            adoption: Adoption::new(config.me.clone()),
            register: None,
            map: None,
            register_change_pending: false,
            bootstrap: Bootstrap::new(stored.is_none()),
            peers: Peers::new(&config.me),
            proposals: Proposals::new(),
            config,
        };
        if let Some(stored) = stored {
            manager.restore(stored)?;
        }
        Ok(manager)
    }

    fn restore(&mut self, stored: TableRegister) -> Result<(), InvalidTableRegister> {
        let register = Register::from_bytes(&stored.body)
            .map_err(|source| InvalidTableRegister { serial: stored.serial, source })?;
        let mut actions = Vec::new();
        self.adoption.handle(AdoptionEvent::RegisterLearned(register), &mut actions);
        self.register = Some(stored);
        // The content is durable already, and its announcements are repeated by `tick`: only the map is needed.
        for action in actions {
            if let AdoptionAction::UseMap(map) = action {
                self.map = Some(to_register_epoch(&map));
            }
        }
        Ok(())
    }

    /// Shard map in effect, including a bootstrap map.
    pub fn map(&self) -> Option<Arc<ShardMap>> {
        self.map.clone()
    }

    /// Version and hash of the table in effect; `None` before the bootstrap.
    pub fn version(&self) -> Option<(TableVersion, TableHash)> {
        self.map.as_ref().filter(|_| self.register.is_some()).map(|map| (map.version, map.hash))
    }

    /// Adopted table; `None` before the bootstrap.
    pub fn table(&self) -> Option<&Table> {
        self.adoption.register().map(Register::table)
    }

    /// Latest known content of the register; `None` before the bootstrap.
    pub fn register(&self) -> Option<TableRegister> {
        self.register.clone()
    }

    /// Whether the shard map in effect assigns a replica to this router.
    pub fn is_member(&self) -> bool {
        let shards = self.map.iter().flat_map(|map| map.shards.iter().chain([&map.root]));
        shards.flat_map(|shard| &shard.groups).any(|group| group.members.contains(&self.config.me))
    }

    /// Members of the adopted table, then those of the proposed one.
    pub fn members(&self) -> impl Iterator<Item = Member> + '_ {
        let register = self.adoption.register();
        let proposed = register.and_then(Register::proposed).map(|next| &*next.table);
        let tables = register.map(Register::table).into_iter().chain(proposed);
        tables.flat_map(|table| table.routers()).map(|(member, _)| member.clone())
    }
}

/// The map with its epoch as registers count it; see [`EPOCH_OFFSET`].
fn to_register_epoch(map: &ShardMap) -> Arc<ShardMap> {
    Arc::new(ShardMap { epoch: map.epoch + EPOCH_OFFSET, ..map.clone() })
}
