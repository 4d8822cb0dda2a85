//! Parts of the simulated routers' control planes.

use super::{domain, member, StoredEntries, CONVERGENCE_MS, RULES};
use basaltgw_control::{
    decode_purges, decode_table_register, BootstrapMember, ControlParts, TableManager, TableManagerConfig,
};
use basaltgw_control::{PURGES_SPACE, REGISTERS_SPACE, TABLE_SPACE};
use basaltgw_membership::{Membership, Presence, Settings as MembershipSettings};
use basaltgw_registers::{Registers, Settings as RegisterSettings};

/// Parts of router `n` of `count`, with the entries of its store.
pub fn parts(n: usize, count: usize, stored: &StoredEntries) -> ControlParts {
    let address = |n: usize| ([127, 0, 0, 1], 7000 + n as u16).into();
    let space = |number: u8| stored.iter().filter(move |((space, _), _)| *space == number);
    let entries = |number: u8| space(number).map(|((_, k), v)| (k.clone(), v.clone())).collect::<Vec<_>>();
    let listed_member =
        |n: usize| (member(n).router, BootstrapMember { address: address(n), domain: domain(n) });
    let config = TableManagerConfig {
        me: member(n),
        bootstrap_members: (0..count).map(listed_member).collect(),
        capacity: 1_000,
        rules: vec![("rules".into(), RULES.into())],
        replace_after: 10_000.0,
    };
    let table =
        space(TABLE_SPACE.0).next().map(|(_, v)| decode_table_register(v).expect("a valid table register"));
    let presence = Presence { member: member(n), address: address(n), domain: domain(n) };
    let listed = (0..count).filter(|other| *other != n).map(|other| member(other).router).collect();
    let membership_settings = MembershipSettings { listed_routers: listed, ..MembershipSettings::default() };
    // As in the node: a register outlives the purge that it replicates.
    let register_settings =
        RegisterSettings { purge_retention_ms: 2.0 * CONVERGENCE_MS, ..RegisterSettings::standard() };
    ControlParts {
        me: member(n),
        has_previous_data: !stored.is_empty(),
        registers: Registers::new(member(n), register_settings, entries(REGISTERS_SPACE.0), n as u64)
            .expect("valid stored registers"),
        membership: Membership::new(presence, membership_settings, n as u64)
            .expect("valid membership settings"),
        table: TableManager::new(config, table).expect("a valid table configuration"),
        purges: decode_purges(entries(PURGES_SPACE.0)).expect("valid stored purges"),
        purge_convergence_time: CONVERGENCE_MS,
        shutdown_timeout: 1_000.0,
        scatter_gather_classes: None,
        overlay: None,
    }
}
