//! The table's owner: founding, learning, and every change of who keeps what. It decides nothing itself: `crates/placement` makes tables and
//! says what comes next, the table's register (`crates/registers`) says what was adopted; here it is seen that an offer is due.

mod offers;
mod ring;

use crate::words::Message;
use basaltgw_membership::Presence;
use basaltgw_placement::{compile, Action, Adoption, Ended, Event, Inventory, Register, RouterEntry, Table};
use basaltgw_registers::{Change, Kind, Record, RecordKey, Response};
use basaltgw_types::link::Hello;
use basaltgw_types::{Domain, Member, Ms, RouterId, ShardMap, TableHash, TableVersion};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// The register of the table.
pub const TABLE: RecordKey = RecordKey { kind: Kind::Table, name: 0 };
/// Time for a change of the register; it is tried again by whoever still wants it.
const CHANGE_MS: Ms = 1_000.0;
/// Founders ask in turn, by name: the next one so much later, if no table stands by then. Founders that ask at once take the votes from each
/// other for as long as a round takes, which between regions is long. Twice the time for a change.
const TURN_MS: Ms = 2.0 * CHANGE_MS;
/// Nobody waits for more turns than these.
const MOST_TURNS: usize = 8;
/// The founding map's epoch. Holds take 0 for no map, and placement counts from 0, so all epochs are one later here.
const FOUNDING: u64 = 1;

/// What the table's owner wants done.
#[derive(Debug)]
pub enum Step {
    /// Keep what was adopted, to be found at the next start. All that follows waits until it is on the disk.
    Keep(u64, Vec<u8>),
    /// Go by this map.
    Map(Arc<ShardMap>),
    /// Go by this map while the fleet is being founded.
    Found(Arc<ShardMap>),
    /// Ask for a change of the register.
    Ask(RecordKey, Change, Ms),
    /// Say something to all that are reached, and with standing links to all routers of the table.
    SayAll(Message),
    /// Say something to those that are linked, and to that router; only with standing links.
    SayNear(Message, Option<RouterId>),
    /// Say it to oneself, as the others hear it.
    Own(Message),
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
pub struct BootstrapMember {
    /// Where it listens for peers.
    pub address: SocketAddr,
    /// Where it stands.
    pub domain: Domain,
}

/// What the configuration says.
pub struct TableManagerConfig {
    /// This router.
    pub me: Member,
    /// All that are listed, this router with them.
    pub founders: BTreeMap<RouterId, BootstrapMember>,
    /// Holds that each has room for.
    pub capacity: u64,
    /// Rules, by file name and text.
    pub rules: Vec<(String, String)>,
    /// Who is not reached for so long has no place in the next table.
    pub replace_after: Ms,
}

/// See the module.
pub struct TableManager {
    given: TableManagerConfig,
    adoption: Adoption,
    /// Those that are met, with the life of their folder.
    met: BTreeMap<RouterId, Member>,
    /// Since when a router is not met.
    lost: BTreeMap<RouterId, Ms>,
    /// The register as it was last known to stand: its serial and content.
    stands: Option<(u64, Vec<u8>)>,
    map: Option<Arc<ShardMap>>,
    /// The folder was empty when the process began.
    new: bool,
    founded_here: bool,
    /// Another router goes by a table.
    founded_elsewhere: bool,
    asking: bool,
    /// Since when all that are listed are met, while no table stands.
    all_met: Option<Ms>,
    offers: u64,
    offered: Ms,
    /// The members of which the last table was made; with these alone no other is offered.
    considered: BTreeSet<Member>,
    /// The members of whom none could be made.
    failed: Option<BTreeSet<Member>>,
    /// The rules of the last table offered here.
    rules_offered: bool,
    /// Not all routers are linked at all times: who is not met is not lost for that.
    standing: bool,
    /// When the register last changed, and what is open was last asked for.
    changed: Ms,
    again: Ms,
}

impl TableManager {
    /// With what an earlier life of the process has kept.
    ///
    /// # Errors
    /// If that can't be read.
    pub fn new(given: TableManagerConfig, kept: Option<(u64, Vec<u8>)>) -> Result<Self, String> {
        let mut keeper = Self {
            adoption: Adoption::new(given.me.clone()),
            met: BTreeMap::from([(given.me.router.clone(), given.me.clone())]),
            lost: BTreeMap::new(),
            stands: None,
            map: None,
            new: kept.is_none(),
            founded_here: false,
            founded_elsewhere: false,
            asking: false,
            all_met: None,
            offers: 0,
            offered: 0.0,
            considered: BTreeSet::new(),
            failed: None,
            rules_offered: true,
            standing: false,
            changed: 0.0,
            again: 0.0,
            given,
        };
        if let Some((serial, body)) = kept {
            let register =
                Register::from_bytes(&body).map_err(|e| format!("the table that was kept: {e}"))?;
            let mut acts = Vec::new();
            keeper.adoption.handle(Event::Learnt(register), &mut acts);
            keeper.stands = Some((serial, body));
            // It is on the disk already; what has to be said of it is said again in time.
            for act in acts {
                if let Action::Use(map) = act {
                    keeper.map = Some(later(&map));
                }
            }
        }
        Ok(keeper)
    }

    /// The map by which this router goes.
    pub fn map(&self) -> Option<Arc<ShardMap>> {
        self.map.clone()
    }

    /// The table that is gone by, once there is one.
    pub fn version(&self) -> Option<(TableVersion, TableHash)> {
        self.map.as_ref().filter(|_| self.stands.is_some()).map(|m| (m.version, m.hash))
    }

    /// The table that stands, once there is one.
    pub fn table(&self) -> Option<&Table> {
        self.adoption.register().map(Register::table)
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
        let listed = self.given.founders.get(&hello.member.router);
        let address = listed.map_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)), |f| f.address);
        Presence { member: hello.member.clone(), address, domain: hello.domain.clone() }
    }

    /// A link is up.
    pub fn met(&mut self, now: Ms, hello: &Hello) -> Vec<Step> {
        self.lost.remove(&hello.member.router);
        // Another goes by a table already: this one has lost its folder, and learns.
        self.founded_elsewhere |= hello.table.0 .0 > 0;
        self.met.insert(hello.member.router.clone(), hello.member.clone());
        self.found(now)
    }

    /// A link is down.
    pub fn lost(&mut self, now: Ms, member: &Member) {
        if self.met.get(&member.router) == Some(member) {
            self.met.remove(&member.router);
            self.lost.insert(member.router.clone(), now);
        }
    }

    /// Founds the fleet once all that are listed are met; who is not the first by name asks for it only in turn.
    pub(super) fn found(&mut self, now: Ms) -> Vec<Step> {
        if self.stands.is_some() || self.founded_elsewhere || self.met.len() < self.given.founders.len() {
            self.all_met = None;
            return Vec::new();
        }
        if self.asking {
            return Vec::new();
        }
        let since = *self.all_met.get_or_insert(now);
        let before = self.met.keys().take_while(|r| **r < self.given.me.router).count().min(MOST_TURNS);
        let met: BTreeSet<Member> = self.met.values().cloned().collect();
        match self.compile(&met, None) {
            Ok(table) => {
                // Whom it is founded with may have changed since the last try.
                self.adoption = Adoption::new(self.given.me.clone());
                self.considered = met;
                let mut steps = self.handle(now, Event::Found(Arc::new(table)));
                if now < since + TURN_MS * before as f64 {
                    // Its vote is given by the map from now on; it is another's turn to ask.
                    steps.retain(|step| !matches!(step, Step::Ask(..)));
                    self.asking = false;
                }
                steps
            }
            Err(faults) => {
                log::error!("the fleet can't be founded:\n{faults}");
                vec![Step::Refused]
            }
        }
    }

    pub(super) fn compile(
        &self,
        members: &BTreeSet<Member>,
        before: Option<&Table>,
    ) -> Result<Table, String> {
        let entry = |member: &Member| {
            let domain = self.given.founders.get(&member.router)?.domain.clone();
            Some(RouterEntry { member: member.clone(), domain, capacity: self.given.capacity, stays: true })
        };
        let routers = members.iter().filter_map(entry).collect();
        let inventory = Inventory { routers, ..Inventory::default() };
        compile(&self.given.rules, &inventory, before).map_err(|faults| {
            let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
            lines.join("\n")
        })
    }

    // ---- What the adoption wants ----

    pub(super) fn handle(&mut self, now: Ms, event: Event) -> Vec<Step> {
        let mut acts = Vec::new();
        self.adoption.handle(event, &mut acts);
        let mut steps = Vec::new();
        for act in acts {
            match act {
                Action::Set { from, to } => {
                    let change = to.to_bytes().map(|body| Change::SetTable { from, body });
                    match change {
                        Ok(change) if !std::mem::replace(&mut self.asking, true) => {
                            steps.push(Step::Ask(TABLE, change, CHANGE_MS));
                        }
                        // One change at a time; it is asked for again.
                        Ok(_) => {}
                        Err(e) => log::error!("the table's register can't be written: {e}"),
                    }
                }
                Action::Use(map) => {
                    let map = later(&map);
                    self.map = Some(Arc::clone(&map));
                    // A map by which a fleet is only being founded is nobody's table yet.
                    let founding = self.stands.is_none();
                    steps.push(if founding { Step::Found(map) } else { Step::Map(map) });
                }
                Action::Say { turn, filled } => {
                    let word = if filled {
                        Message::ReplicaSynced { term: turn }
                    } else {
                        Message::TableDurable { term: turn }
                    };
                    steps.extend([self.evidence(word.clone()), Step::Own(word)]);
                }
                // The holds fill what a map newly gives them, and say so under its epoch.
                Action::Fill { turn, shards } => {
                    log::info!("fills {} shards for turn {turn} of the table", shards.len());
                }
                Action::Answer(no, Ok(Ended::Adopted(hash))) => {
                    log::info!("offer {} is adopted: table {hash}", no.0);
                }
                Action::Answer(no, Ok(Ended::TakenBack(hash))) => {
                    log::info!("offer {} is taken back: table {hash} holds", no.0);
                }
                Action::Answer(no, Err(refused)) => {
                    log::warn!("offer {} of a table is refused: {refused}", no.0);
                    steps.push(Step::Refused);
                }
            }
        }
        let _ = now;
        steps
    }

    /// The register stands so, as enough disks have it.
    fn adopted(&mut self, now: Ms, serial: u64, body: &[u8], here: bool) -> Vec<Step> {
        if self.stands.as_ref().is_some_and(|(is, _)| *is >= serial) {
            return Vec::new();
        }
        let register = match Register::from_bytes(body) {
            Ok(register) => register,
            Err(e) => {
                log::error!("the table's register can't be read: {e}");
                return vec![Step::Refused];
            }
        };
        log::info!("table: {register}");
        let before = self.adoption.register().map(|r| (r.table().version(), r.next().is_some()));
        let is = (register.table().version(), register.next().is_some());
        let first = self.stands.is_none();
        let mut steps = vec![Step::Keep(serial, body.to_vec())];
        self.stands = Some((serial, body.to_vec()));
        self.changed = now;
        steps.extend(self.handle(now, Event::Learnt(register)));
        steps.extend(self.beside());
        // The founding table names this folder, which was empty: nothing was promised before this process began.
        self.founded_here |= self.new && first && self.is_member();
        match before {
            Some((version, _)) if version < is.0 => steps.push(Step::Adopted),
            Some((version, true)) if version == is.0 && !is.1 => steps.push(Step::TakenBack),
            Some(_) => {}
            None => steps.push(Step::Adopted),
        }
        // Who is a step behind learns of it without asking.
        let word = Message::TableState { serial, body: body.to_vec() };
        steps.push(if here || !self.standing { Step::SayAll(word) } else { Step::SayNear(word, None) });
        steps
    }

    /// Another router says how the register stands.
    pub fn learn(&mut self, now: Ms, serial: u64, body: &[u8]) -> Vec<Step> {
        self.adopted(now, serial, body, false)
    }

    /// The answer to the last change of the register that was asked for.
    pub fn answered(&mut self, now: Ms, verdict: Response) -> Vec<Step> {
        self.asking = false;
        match verdict {
            Response::Committed(Record::Table { serial, body })
            | Response::Conflict(Some(Record::Table { serial, body })) => {
                self.adopted(now, serial, &body, true)
            }
            Response::Committed(_) | Response::Conflict(_) => Vec::new(),
            Response::Unavailable { reason: why, .. } => {
                log::debug!("the table's register is not changed: {why:?}");
                Vec::new()
            }
        }
    }

    /// A router has the register's content of a turn on its disk, and perhaps all that it is to keep by it.
    pub fn said(&mut self, now: Ms, member: &Member, turn: u64, filled: bool) -> Vec<Step> {
        self.handle(now, Event::Said { member: member.clone(), turn, filled })
    }

    /// The holds have all that a map newly gives them.
    pub fn filled(&mut self, now: Ms, epoch: u64) -> Vec<Step> {
        let turn = self.adoption.register().filter(|r| r.epoch() + FOUNDING == epoch).map(Register::turn);
        turn.map_or_else(Vec::new, |turn| self.handle(now, Event::Filled(turn)))
    }

    /// This router votes and vouches under the table by which it goes.
    pub fn is_member(&self) -> bool {
        let all = self.map.iter().flat_map(|m| m.shards.iter().chain([&m.root]));
        all.flat_map(|k| &k.groups).any(|g| g.members.contains(&self.given.me))
    }
}

/// A map of placement's with the epoch as the holds count it.
fn later(map: &ShardMap) -> Arc<ShardMap> {
    Arc::new(ShardMap { epoch: map.epoch + FOUNDING, ..map.clone() })
}
