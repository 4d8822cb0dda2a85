//! A router with links to all that are listed: the control part as `serve` runs it.

use crate::party::{Party, PartyAction, PartyEvent, Start, Word};
use basaltgw_config::fleet::FleetLimits;
use basaltgw_control::{
    decode_purges, decode_table_register, Action, BootstrapMember, Control, ControlNotification,
    ControlParts, ControlRequest, Event, TableManager, TableManagerConfig, PURGES_SPACE, REGISTERS_SPACE,
    TABLE_SPACE,
};
use basaltgw_membership::{Membership, Presence, Settings as RosterSettings};
use basaltgw_registers::{Registers, Settings as HoldSettings};
use basaltgw_types::{Ms, TableHash, TableVersion};
use std::collections::BTreeSet;

/// At an orderly end what is being put down is waited for so long.
const END_MS: Ms = 1_000.0;

/// What the configuration of each router of a mesh says.
#[derive(Clone, Debug)]
pub struct MeshSettings {
    /// Bounds and times.
    pub limits: FleetLimits,
    /// What the holds go by, where `limits` says nothing.
    pub holds: HoldSettings,
    /// Rules of placement.
    pub rules: String,
    /// Time after which a purge has settled.
    pub settles: Ms,
    /// Routers that each has room for in its roster, with its own.
    pub most_members: usize,
    /// Changes of the configuration: as many a minute, between these milliseconds, all at the fleet's first router.
    pub changes: (f64, (Ms, Ms)),
}

impl Default for MeshSettings {
    fn default() -> Self {
        Self {
            limits: FleetLimits::default(),
            holds: HoldSettings::standard(),
            rules: "holds { shards 64 copies 3 spread machines }\nroot { copies 3 spread machines }\n".into(),
            settles: 6_100.0,
            most_members: RosterSettings::default().max_members,
            changes: (0.0, (0.0, 0.0)),
        }
    }
}

/// A class whose rule differs from one change of the configuration to the next.
const CHANGED: &str = "changed";

/// See the module.
pub struct Mesh {
    control: Control,
    acts: Vec<Action>,
    /// The rules without any change.
    rules: String,
    /// When the next change is made here, how many were made, how long it is from one to the next, and when there are no more.
    change: (Ms, usize, Ms),
    changes_end: Ms,
}

impl Mesh {
    /// Starts one: what `crates/node` does at the start of a process, with the hollow disk.
    ///
    /// # Errors
    /// If what is on the disk can't be read, or a setting can't be.
    pub fn start(
        set: &MeshSettings,
        start: &Start,
        out: &mut Vec<PartyAction>,
    ) -> Result<(Self, Option<(TableVersion, TableHash)>), String> {
        let Start { now, no, me, old, fleet, disk, draw } = start;
        let seat = fleet.seats.get(*no).ok_or("no such router")?;
        let limits = &set.limits;
        let hold_set = HoldSettings {
            max_open_requests: limits.open_asks,
            max_registers: limits.holds,
            max_bytes: limits.hold_bytes,
            max_outcome_bytes: limits.outcome_bytes,
            max_message_bytes: limits.frame_bytes,
            purge_retention_ms: (2.0 * set.settles).max(1_000.0),
            sync_batch: limits.fill_portion,
            sync_pause_ms: limits.fill_pause_ms.max(1.0),
            ..set.holds.clone()
        };
        let seed = (*draw >> 64) as u64;
        let holds = Registers::new(me.clone(), hold_set, disk.read(REGISTERS_SPACE), seed)
            .map_err(|e| format!("holds: {e}"))?;
        let purges = decode_purges(disk.read(PURGES_SPACE)).ok_or("a purge that can't be read")?;
        let kept = match disk.get(TABLE_SPACE, &[]) {
            Some(bytes) => Some(decode_table_register(&bytes).map_err(|e| format!("the table kept: {e}"))?),
            None => None,
        };
        let founder =
            |s: &crate::fleet::Seat| BootstrapMember { address: s.address, domain: s.domain.clone() };
        let given = TableManagerConfig {
            me: me.clone(),
            bootstrap_members: fleet.seats.iter().map(|s| (s.router.clone(), founder(s))).collect(),
            capacity: limits.holds as u64,
            rules: vec![("rules".into(), set.rules.clone())],
            replace_after: limits.replace_after_ms,
        };
        let table = TableManager::new(given, kept)?;
        let at = table.version();
        let listed: BTreeSet<_> =
            fleet.seats.iter().filter(|s| s.router != seat.router).map(|s| s.router.clone()).collect();
        for router in &listed {
            out.push(PartyAction::Dial(router.clone()));
        }
        let presence = Presence { member: me.clone(), address: seat.address, domain: seat.domain.clone() };
        let roster_set = RosterSettings {
            listed_routers: listed,
            max_members: set.most_members,
            ..RosterSettings::default()
        };
        let roster = Membership::new(presence, roster_set, !seed).map_err(|e| format!("roster: {e}"))?;
        let parts = ControlParts {
            me: me.clone(),
            has_previous_data: *old,
            registers: holds,
            membership: roster,
            table,
            purges,
            purge_convergence_time: set.settles,
            shutdown_timeout: END_MS,
            scatter_gather_classes: None,
            overlay: None,
        };
        let mut acts = Vec::new();
        let control = Control::new(*now, parts, &mut acts);
        let (per_minute, (from, to)) = set.changes;
        let every = if per_minute > 0.0 { 60_000.0 / per_minute } else { Ms::INFINITY };
        // Of an earlier life those were made that have been due.
        let made = ((now - from) / every).ceil().max(0.0);
        let next = if *no == 0 && every.is_finite() { from + made * every } else { Ms::INFINITY };
        let (rules, change) = (set.rules.clone(), (next, made as usize, every));
        let mut mesh = Self { control, acts, rules, change, changes_end: to };
        mesh.pass(out);
        Ok((mesh, at))
    }

    /// The control part, to look at.
    pub fn control(&self) -> &Control {
        &self.control
    }

    fn pass(&mut self, out: &mut Vec<PartyAction>) {
        let mut table = false;
        out.extend(self.acts.drain(..).map(|act| match act {
            Action::Send { number: no, to, lane, body } => PartyAction::Send { no, to, lane, body },
            Action::SetLinkWanted(router, true) => PartyAction::Dial(router),
            Action::SetLinkWanted(router, false) => PartyAction::Close(router),
            Action::AdvertiseTable(version, hash) => PartyAction::Table(version, hash),
            Action::Commit(no, writes) => PartyAction::Store(no, writes),
            Action::Notify(told) => PartyAction::Told(match told {
                ControlNotification::Purge(purge) => Word::Purge(purge),
                ControlNotification::PurgesKnown(known) => Word::PurgesKnown(known),
                ControlNotification::Table(version, hash) => {
                    table = true;
                    Word::Table(version, hash)
                }
                ControlNotification::PurgesMissed => Word::PurgesKnown(false),
                ControlNotification::Response(..)
                | ControlNotification::Policies(_)
                | ControlNotification::Evidence(..) => Word::Other,
            }),
        }));
        let needed = self
            .control
            .table()
            .table()
            .and_then(|t| t.gather_rule(CHANGED)?.required_parts.first().copied());
        out.extend(needed.filter(|_| table).map(|n| PartyAction::Told(Word::Change(n as usize))));
    }

    /// The next change of the configuration, if it is due: rules that differ from the last ones by a number.
    fn make_change(&mut self, now: Ms, out: &mut Vec<PartyAction>) {
        let (at, made, every) = self.change;
        if now < at {
            return;
        }
        let next = at + every;
        self.change = (if next < self.changes_end { next } else { Ms::INFINITY }, made + 1, every);
        let text =
            format!("{}gather class {CHANGED} {{ needs {made}  wait 100 ms  missing owed }}\n", self.rules);
        out.push(PartyAction::Told(Word::ChangeMade));
        let rules = Event::Request(ControlRequest::Rules("rules".into(), text));
        self.control.handle(now, rules, &mut self.acts);
    }
}

impl Party for Mesh {
    fn handle(&mut self, now: Ms, event: PartyEvent, out: &mut Vec<PartyAction>) {
        self.make_change(now, out);
        let event = match event {
            PartyEvent::Up(hello) => Event::LinkUp(hello),
            PartyEvent::Down(member, why) => Event::LinkDown(member, why),
            PartyEvent::Got { from, lane, body } => Event::MessageReceived { from, lane, body },
            PartyEvent::Unsent(no) => Event::SendFailed(no),
            PartyEvent::Heard(purge) => Event::Request(ControlRequest::Purge(purge)),
            PartyEvent::Due => Event::TimersDue,
            PartyEvent::Settle => Event::Flush,
            PartyEvent::Stored(no, done) => Event::CommitFinished(no, done),
        };
        self.control.handle(now, event, &mut self.acts);
        self.pass(out);
    }

    fn due(&self) -> Ms {
        self.control.next_timer().min(self.change.0)
    }

    fn counts(&self) -> Vec<(&'static str, u64)> {
        self.control.state_sizes().into_iter().map(|(name, many)| (name, many as u64)).collect()
    }
}
