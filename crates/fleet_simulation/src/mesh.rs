//! A router with links to all listed routers: the control plane as `serve` runs it.

use crate::control_plane::{ControlPlane, ControlPlaneAction, ControlPlaneEvent, Notification, StartContext};
use crate::fleet::FleetRouter;
use crate::CONVERGENCE_MS;
use basaltgw_config::fleet::FleetLimits;
use basaltgw_control::{
    decode_purges, decode_table_register, Action, BootstrapMember, Control, ControlNotification,
    ControlParts, ControlRequest, Event, TableManager, TableManagerConfig, PURGES_SPACE, REGISTERS_SPACE,
    TABLE_SPACE,
};
use basaltgw_membership::{Membership, Presence, Settings as MembershipSettings};
use basaltgw_registers::{Registers, Settings as RegisterSettings};
use basaltgw_types::{Ms, TableHash, TableVersion};
use std::collections::BTreeSet;

/// Time that an orderly shutdown waits for pending writes, ms.
const SHUTDOWN_TIMEOUT_MS: Ms = 1_000.0;

/// Settings of each router of a mesh.
#[derive(Clone, Debug)]
pub struct MeshSettings {
    /// Bounds and times of the control plane.
    pub limits: FleetLimits,
    /// Settings of the registers that `limits` does not determine.
    pub registers: RegisterSettings,
    /// Rules of placement, as configuration text.
    pub rules: String,
    /// Time after which a purge has converged, ms.
    pub convergence_ms: Ms,
    /// Largest number of routers in the membership, the local one included.
    pub max_members: usize,
    /// Changes of the configuration a minute, with the first and the last time at which they are made, ms. The first router makes them all.
    pub config_changes: (f64, (Ms, Ms)),
}

impl Default for MeshSettings {
    fn default() -> Self {
        Self {
            limits: FleetLimits::default(),
            registers: RegisterSettings::standard(),
            rules: "holds { shards 64 copies 3 spread machines }\nroot { copies 3 spread machines }\n".into(),
            convergence_ms: CONVERGENCE_MS,
            max_members: MembershipSettings::default().max_members,
            config_changes: (0.0, (0.0, 0.0)),
        }
    }
}

/// The scatter-gather class whose rule differs from one change of the configuration to the next.
const CHANGED_CLASS: &str = "changed";

/// The next change of the configuration.
struct NextChange {
    /// When the change is made; infinite if there are no more.
    at: Ms,
    /// Number of changes made before.
    made: usize,
    /// Time between two changes; infinite if none is made.
    interval_ms: Ms,
}

/// The control plane of a router with links to all listed routers.
pub struct Mesh {
    control: Control,
    actions: Vec<Action>,
    /// The rules without any change.
    base_rules: String,
    next_change: NextChange,
    /// No change is made from this time on.
    changes_end: Ms,
}

impl Mesh {
    /// Starts the control plane from the simulated disk, as `crates/node` does at the start of a process.
    ///
    /// # Errors
    /// If the disk has malformed data, or a setting is invalid.
    pub fn start(
        settings: &MeshSettings,
        context: &StartContext,
        out: &mut Vec<ControlPlaneAction>,
    ) -> Result<(Self, Option<(TableVersion, TableHash)>), String> {
        let StartContext { now, index, me, has_previous_data, fleet, disk, random } = context;
        let fleet_router =
            fleet.routers.get(*index).ok_or_else(|| format!("the fleet has no router with index {index}"))?;
        let seed = (*random >> 64) as u64;
        let registers =
            Registers::new(me.clone(), register_settings(settings), disk.read(REGISTERS_SPACE), seed)
                .map_err(|e| format!("registers: {e}"))?;
        let purges = decode_purges(disk.read(PURGES_SPACE)).ok_or("the disk holds a malformed purge")?;
        let table = table_manager(settings, context)?;
        let advertised_table = table.version();
        let listed_routers: BTreeSet<_> = fleet
            .routers
            .iter()
            .filter(|r| r.router != fleet_router.router)
            .map(|r| r.router.clone())
            .collect();
        for router in &listed_routers {
            out.push(ControlPlaneAction::Dial(router.clone()));
        }
        let presence = Presence {
            member: me.clone(),
            address: fleet_router.address,
            domain: fleet_router.domain.clone(),
        };
        let membership_settings = MembershipSettings {
            listed_routers,
            max_members: settings.max_members,
            ..MembershipSettings::default()
        };
        let membership =
            Membership::new(presence, membership_settings, !seed).map_err(|e| format!("membership: {e}"))?;
        let parts = ControlParts {
            me: me.clone(),
            has_previous_data: *has_previous_data,
            registers,
            membership,
            table,
            purges,
            purge_convergence_time: settings.convergence_ms,
            shutdown_timeout: SHUTDOWN_TIMEOUT_MS,
            scatter_gather_classes: None,
            overlay: None,
        };
        let mut actions = Vec::new();
        let control = Control::new(*now, parts, &mut actions);
        let (per_minute, (from, until)) = settings.config_changes;
        let interval_ms = if per_minute > 0.0 { 60_000.0 / per_minute } else { Ms::INFINITY };
        // An earlier process made the changes that were due by now.
        let made = ((now - from) / interval_ms).ceil().max(0.0);
        let next =
            if *index == 0 && interval_ms.is_finite() { from + made * interval_ms } else { Ms::INFINITY };
        let next_change = NextChange { at: next, made: made as usize, interval_ms };
        let base_rules = settings.rules.clone();
        let mut mesh = Self { control, actions, base_rules, next_change, changes_end: until };
        mesh.translate_actions(out);
        Ok((mesh, advertised_table))
    }

    /// The control plane inside, to inspect.
    pub fn control(&self) -> &Control {
        &self.control
    }

    /// Translates the actions of the control plane into those of the simulation.
    fn translate_actions(&mut self, out: &mut Vec<ControlPlaneAction>) {
        let mut table_changed = false;
        out.extend(self.actions.drain(..).map(|action| match action {
            Action::Send { number, to, lane, body } => ControlPlaneAction::Send { number, to, lane, body },
            Action::SetLinkWanted { router, wanted: true } => ControlPlaneAction::Dial(router),
            Action::SetLinkWanted { router, wanted: false } => ControlPlaneAction::Close(router),
            Action::AdvertiseTable(version, hash) => ControlPlaneAction::AdvertiseTable(version, hash),
            Action::Commit(number, writes) => ControlPlaneAction::Commit(number, writes),
            Action::Notify(notification) => ControlPlaneAction::Notify(match notification {
                ControlNotification::Purge(purge) => Notification::Purge(purge),
                ControlNotification::PurgesKnown { complete } => Notification::PurgesKnown(complete),
                ControlNotification::Table(version, hash) => {
                    table_changed = true;
                    Notification::Table(version, hash)
                }
                ControlNotification::PurgesMissed => Notification::PurgesKnown(false),
                ControlNotification::Response(..)
                | ControlNotification::Policies(_)
                | ControlNotification::Evidence(..) => Notification::Other,
            }),
        }));
        let applied_change = self
            .control
            .table()
            .table()
            .and_then(|t| t.gather_rule(CHANGED_CLASS)?.required_parts.first().copied());
        out.extend(
            applied_change
                .filter(|_| table_changed)
                .map(|n| ControlPlaneAction::Notify(Notification::ConfigChangeApplied(n as usize))),
        );
    }

    /// Makes the next change of the configuration if it is due: rules that differ from the previous ones in one number.
    fn make_change(&mut self, now: Ms, out: &mut Vec<ControlPlaneAction>) {
        let NextChange { at, made, interval_ms } = self.next_change;
        if now < at {
            return;
        }
        let next = at + interval_ms;
        let at = if next < self.changes_end { next } else { Ms::INFINITY };
        self.next_change = NextChange { at, made: made + 1, interval_ms };
        let text = format!(
            "{}gather class {CHANGED_CLASS} {{ needs {made}  wait 100 ms  missing owed }}\n",
            self.base_rules
        );
        out.push(ControlPlaneAction::Notify(Notification::ConfigChangeMade));
        let rules = Event::Request(ControlRequest::Rules { file_name: "rules".into(), text });
        self.control.handle(now, rules, &mut self.actions);
    }
}

/// The settings of the registers of a router.
fn register_settings(settings: &MeshSettings) -> RegisterSettings {
    let limits = &settings.limits;
    RegisterSettings {
        max_open_requests: limits.max_open_requests,
        max_registers: limits.max_registers,
        max_bytes: limits.max_register_bytes,
        max_outcome_bytes: limits.max_outcome_bytes,
        max_message_bytes: limits.max_frame_bytes,
        purge_retention_ms: (2.0 * settings.convergence_ms).max(1_000.0),
        sync_batch: limits.sync_batch,
        sync_pause_ms: limits.sync_pause_ms.max(1.0),
        ..settings.registers.clone()
    }
}

/// The table manager of a router, with the placement table on its disk.
fn table_manager(settings: &MeshSettings, context: &StartContext) -> Result<TableManager, String> {
    let stored_table = match context.disk.get(TABLE_SPACE, &[]) {
        Some(bytes) => {
            Some(decode_table_register(&bytes).map_err(|e| format!("placement table on the disk: {e}"))?)
        }
        None => None,
    };
    let bootstrap_member = |r: &FleetRouter| BootstrapMember { address: r.address, domain: r.domain.clone() };
    let members = context.fleet.routers.iter().map(|r| (r.router.clone(), bootstrap_member(r)));
    let table_config = TableManagerConfig {
        me: context.me.clone(),
        bootstrap_members: members.collect(),
        capacity: settings.limits.max_registers as u64,
        rules: vec![("rules".into(), settings.rules.clone())],
        replace_after: settings.limits.replace_after_ms,
    };
    Ok(TableManager::new(table_config, stored_table)?)
}

impl ControlPlane for Mesh {
    fn handle(&mut self, now: Ms, event: ControlPlaneEvent, out: &mut Vec<ControlPlaneAction>) {
        self.make_change(now, out);
        let event = match event {
            ControlPlaneEvent::LinkUp(hello) => Event::LinkUp(hello),
            ControlPlaneEvent::LinkDown(member, reason) => Event::LinkDown(member, reason),
            ControlPlaneEvent::MessageReceived { from, lane, body } => {
                Event::MessageReceived { from, lane, body }
            }
            ControlPlaneEvent::SendFailed(number) => Event::SendFailed(number),
            ControlPlaneEvent::ChangeLogPurge(purge) => Event::Request(ControlRequest::Purge(purge)),
            ControlPlaneEvent::TimersDue => Event::TimersDue,
            ControlPlaneEvent::Flush => Event::Flush,
            ControlPlaneEvent::CommitFinished(number, durable) => Event::CommitFinished { number, durable },
        };
        self.control.handle(now, event, &mut self.actions);
        self.translate_actions(out);
    }

    fn next_timer(&self) -> Ms {
        self.control.next_timer().min(self.next_change.at)
    }

    fn counters(&self) -> Vec<(&'static str, u64)> {
        self.control.state_sizes().into_iter().map(|(name, size)| (name, size as u64)).collect()
    }
}
