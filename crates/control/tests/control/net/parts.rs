//! What the control part of a router of the tests is made of.

use super::{domain, member, Pairs, RULES, SETTLES};
use basaltgw_control::{
    decode_purges, decode_table_register, BootstrapMember, ControlParts, TableManager, TableManagerConfig,
};
use basaltgw_control::{PURGES_SPACE, REGISTERS_SPACE, TABLE_SPACE};
use basaltgw_membership::{Membership, Presence, Settings as RosterSettings};
use basaltgw_registers::{Registers, Settings as HoldSettings};

/// Router `n` of a fleet of `of`, with what its disk has.
pub fn parts(n: usize, of: usize, kept: &Pairs) -> ControlParts {
    let address = |n: usize| ([127, 0, 0, 1], 7000 + n as u16).into();
    let space = |s: u8| kept.iter().filter(move |((of, _), _)| *of == s);
    let records = |s: u8| space(s).map(|((_, k), v)| (k.clone(), v.clone())).collect::<Vec<_>>();
    let founders =
        (0..of).map(|n| (member(n).router, BootstrapMember { address: address(n), domain: domain(n) }));
    let given = TableManagerConfig {
        me: member(n),
        founders: founders.collect(),
        capacity: 1_000,
        rules: vec![("rules".into(), RULES.into())],
        replace_after: 10_000.0,
    };
    let adopted = space(TABLE_SPACE.0).next().map(|(_, v)| decode_table_register(v).expect("a register"));
    let presence = Presence { member: member(n), address: address(n), domain: domain(n) };
    let listed = (0..of).filter(|o| *o != n).map(|o| member(o).router).collect();
    let roster_set = RosterSettings { listed, ..RosterSettings::default() };
    // As the node has it: a hold outlives the purge that it keeps.
    let hold_set = HoldSettings { purge_retention_ms: 2.0 * SETTLES, ..HoldSettings::usual() };
    ControlParts {
        me: member(n),
        has_previous_data: !kept.is_empty(),
        registers: Registers::new(member(n), hold_set, records(REGISTERS_SPACE.0), n as u64).expect("holds"),
        membership: Membership::new(presence, roster_set, n as u64).expect("a roster"),
        table: TableManager::new(given, adopted).expect("a table"),
        purges: decode_purges(records(PURGES_SPACE.0)).expect("purges"),
        purge_convergence_time: SETTLES,
        shutdown_timeout: 1_000.0,
        scatter_gather_classes: None,
        overlay: None,
    }
}
