//! The table's owner: founding, learning, and every change of who keeps what. It decides nothing itself: `crates/placement` makes tables and
//! says what comes next, the table's register (`crates/holds`) says what was adopted.

use super::words::Word;
use basaltgw_holds::{Change, Hold, HoldKey, Kind, Verdict};
use basaltgw_ids::{Domain, Member, Ms, RouterId, ShardMap, TableHash, TableVersion};
use basaltgw_peers::Hello;
use basaltgw_placement::{compile, Inventory, RouterEntry, Table};
use basaltgw_roster::{Presence, State};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// The register of the table.
pub const TABLE: HoldKey = HoldKey { kind: Kind::Table, name: 0 };
/// Time for a change of the register; it is tried again by whoever still wants it.
const CHANGE_MS: Ms = 2_000.0;

/// The epoch under which a fleet is founded; the one after the register's first change follows it.
const FOUNDING: u64 = 1;

/// What the table's owner wants done.
#[derive(Debug)]
pub enum Step {
    /// Go by this map.
    Map(Arc<ShardMap>),
    /// Ask for a change of the register.
    Ask(HoldKey, Change, Ms),
    /// Keep what was adopted, to be found at the next start.
    Keep(u64, Vec<u8>),
    /// Say something to a router.
    Say(Member, Word),
    /// Say something to all that are reached.
    SayAll(Word),
    /// Counted: a table was adopted.
    Adopted,
    /// One was taken back.
    TakenBack,
    /// An offer was refused.
    Refused,
    /// A member has another's place.
    Replaced,
}

/// A router of the fleet as the configuration lists it.
#[derive(Clone, Debug)]
pub struct Founder {
    /// Where it listens for peers.
    pub address: SocketAddr,
    /// Where it stands.
    pub domain: Domain,
}

/// See the module.
pub struct TableKeeper {
    me: Member,
    /// All that are listed, this router with them.
    founders: BTreeMap<RouterId, Founder>,
    /// Holds that each has room for.
    capacity: u64,
    rules: Vec<(String, String)>,
    /// Those that were met, with the life of their folder.
    met: BTreeMap<RouterId, Member>,
    /// The register as it was last known to stand.
    stands: Option<(u64, Vec<u8>)>,
    map: Option<Arc<ShardMap>>,
    /// The map by which the fleet is being founded.
    founding: Option<Arc<ShardMap>>,
    /// The folder was empty when the process began.
    new: bool,
    founded_here: bool,
    asking: bool,
}

impl TableKeeper {
    /// With what an earlier life of the process has kept.
    pub fn new(
        me: Member,
        founders: BTreeMap<RouterId, Founder>,
        capacity: u64,
        rules: Vec<(String, String)>,
        kept: Option<(u64, Vec<u8>)>,
    ) -> Result<Self, String> {
        let met = BTreeMap::from([(me.router.clone(), me.clone())]);
        let (stands, map, founding) = (None, None, None);
        let mut keeper = Self {
            me,
            founders,
            capacity,
            rules,
            met,
            stands,
            map,
            founding,
            new: kept.is_none(),
            founded_here: false,
            asking: false,
        };
        if let Some((serial, body)) = kept {
            keeper.go_by(serial, body).map_err(|e| format!("the table that was kept can't be read: {e}"))?;
        }
        Ok(keeper)
    }

    /// The map by which this router goes.
    pub fn map(&self) -> Option<Arc<ShardMap>> {
        self.map.clone().or_else(|| self.founding.clone())
    }

    /// The table that is gone by, once there is one.
    pub fn version(&self) -> Option<(TableVersion, TableHash)> {
        self.map.as_ref().map(|m| (m.version, m.hash))
    }

    /// Its epoch.
    pub fn epoch(&self) -> u64 {
        self.map().map_or(0, |m| m.epoch)
    }

    /// The register as it stands here.
    pub fn register(&self) -> Option<(u64, Vec<u8>)> {
        self.stands.clone()
    }

    /// The fleet was founded in this life of the process: nothing was promised before.
    pub fn founded_here(&self) -> bool {
        self.founded_here
    }

    /// A peer as the roster takes it.
    pub fn presence(&self, hello: &Hello) -> Presence {
        let listed = self.founders.get(&hello.member.router);
        let address = listed.map_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)), |f| f.address);
        Presence { member: hello.member.clone(), address, domain: hello.domain.clone() }
    }

    /// A link is up.
    pub fn met(&mut self, _now: Ms, hello: &Hello) -> Vec<Step> {
        self.met.insert(hello.member.router.clone(), hello.member.clone());
        self.found()
    }

    /// A link is down.
    pub fn lost(&mut self, _now: Ms, member: &Member) {
        if self.stands.is_none() && self.met.get(&member.router) == Some(member) {
            self.met.remove(&member.router);
            self.founding = None;
        }
    }

    /// Founds the fleet once all that are listed are met.
    fn found(&mut self) -> Vec<Step> {
        if self.stands.is_some() || self.asking || self.met.len() < self.founders.len() {
            return Vec::new();
        }
        let table = match self.compile(None) {
            Ok(table) => table,
            Err(faults) => {
                log::error!("the fleet can't be founded: {faults}");
                return Vec::new();
            }
        };
        let map = Arc::new(ShardMap { epoch: FOUNDING, ..table.founding_map() });
        self.founding = Some(Arc::clone(&map));
        self.asking = true;
        let change = Change::SetTable { from: 0, body: table.bytes().to_vec() };
        vec![Step::Map(map), Step::Ask(TABLE, change, CHANGE_MS)]
    }

    fn compile(&self, before: Option<&Table>) -> Result<Table, String> {
        let entry = |(name, founder): (&RouterId, &Founder)| {
            let member = self.met.get(name)?.clone();
            Some(RouterEntry { member, domain: founder.domain.clone(), capacity: self.capacity, stays: true })
        };
        let inventory =
            Inventory { routers: self.founders.iter().filter_map(entry).collect(), ..Inventory::default() };
        compile(&self.rules, &inventory, before).map_err(|faults| {
            let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
            lines.join("; ")
        })
    }

    fn go_by(&mut self, serial: u64, body: Vec<u8>) -> Result<Arc<ShardMap>, String> {
        let table = Table::from_bytes(&body).map_err(|e| e.to_string())?;
        let map = Arc::new(table.map(FOUNDING + serial));
        self.map = Some(Arc::clone(&map));
        // The founding table names this folder, which was empty: nothing was promised before this process began.
        self.founded_here |= self.new && self.stands.is_none() && self.is_member();
        (self.stands, self.founding) = (Some((serial, body)), None);
        Ok(map)
    }

    /// The register stands so, as enough disks have it.
    fn adopted(&mut self, serial: u64, body: Vec<u8>) -> Vec<Step> {
        if self.stands.as_ref().is_some_and(|(is, _)| *is >= serial) {
            return Vec::new();
        }
        match self.go_by(serial, body.clone()) {
            Ok(map) => {
                let said = Word::TableIs { serial, body: body.clone() };
                vec![Step::Keep(serial, body), Step::Map(map), Step::SayAll(said), Step::Adopted]
            }
            Err(e) => {
                log::error!("the table's register can't be read: {e}");
                vec![Step::Refused]
            }
        }
    }

    /// Another router says how the register stands.
    pub fn learn(&mut self, _now: Ms, serial: u64, body: &[u8]) -> Vec<Step> {
        self.adopted(serial, body.to_vec())
    }

    /// The answer to the last change of the register that was asked for.
    pub fn answered(&mut self, _now: Ms, verdict: Verdict) -> Vec<Step> {
        self.asking = false;
        match verdict {
            Verdict::Kept(Hold::Table { serial, body }) => self.adopted(serial, body),
            Verdict::Stands(Some(Hold::Table { serial, body })) => self.adopted(serial, body),
            Verdict::Kept(_) | Verdict::Stands(_) => Vec::new(),
            Verdict::Unkept { why, .. } => {
                log::debug!("the table's register is not changed: {why:?}");
                Vec::new()
            }
        }
    }

    /// A router has come to the same table.
    pub fn checked(
        &mut self,
        _now: Ms,
        _from: &Member,
        _serial: u64,
        _table: (TableVersion, TableHash),
    ) -> Vec<Step> {
        Vec::new()
    }

    /// A router has all that it keeps under an epoch.
    pub fn filled(&mut self, _now: Ms, _from: &Member, _epoch: u64) -> Vec<Step> {
        Vec::new()
    }

    /// The roster's word on a router.
    pub fn heard(&mut self, _now: Ms, _presence: &Presence, _state: State) -> Vec<Step> {
        Vec::new()
    }

    /// New rules.
    pub fn rules(&mut self, _now: Ms, name: &str, text: &str) -> Vec<Step> {
        self.rules = vec![(name.to_string(), text.to_string())];
        Vec::new()
    }

    /// What is to be tried again.
    pub fn tick(&mut self, _now: Ms) -> Vec<Step> {
        self.found()
    }

    /// This router votes and vouches under the table by which it goes.
    pub fn is_member(&self) -> bool {
        let all = self.map.iter().flat_map(|m| m.shards.iter().chain([&m.root]));
        all.flat_map(|k| &k.groups).any(|g| g.members.contains(&self.me))
    }
}
