//! What the control part of a router of the tests is made of.

use super::{domain, member, Pairs, RULES, SETTLES};
use basaltgw_control::{read_adopted, read_purges, Founder, Given, Parts, TableKeeper};
use basaltgw_control::{ADOPTED, HOLDS, PURGES};
use basaltgw_membership::{Presence, Roster, Settings as RosterSettings};
use basaltgw_registers::{Holds, Settings as HoldSettings};

/// Router `n` of a fleet of `of`, with what its disk has.
pub fn parts(n: usize, of: usize, kept: &Pairs) -> Parts {
    let address = |n: usize| ([127, 0, 0, 1], 7000 + n as u16).into();
    let space = |s: u8| kept.iter().filter(move |((of, _), _)| *of == s);
    let records = |s: u8| space(s).map(|((_, k), v)| (k.clone(), v.clone())).collect::<Vec<_>>();
    let founders = (0..of).map(|n| (member(n).router, Founder { address: address(n), domain: domain(n) }));
    let given = Given {
        me: member(n),
        founders: founders.collect(),
        capacity: 1_000,
        rules: vec![("rules".into(), RULES.into())],
        replace_after: 10_000.0,
    };
    let adopted = space(ADOPTED.0).next().map(|(_, v)| read_adopted(v).expect("a register"));
    let presence = Presence { member: member(n), address: address(n), domain: domain(n) };
    let listed = (0..of).filter(|o| *o != n).map(|o| member(o).router).collect();
    let roster_set = RosterSettings { listed, ..RosterSettings::default() };
    // As the node has it: a hold outlives the purge that it keeps.
    let hold_set = HoldSettings { purge_keep_ms: 2.0 * SETTLES, ..HoldSettings::usual() };
    Parts {
        me: member(n),
        old: !kept.is_empty(),
        holds: Holds::new(member(n), hold_set, records(HOLDS.0), n as u64).expect("holds"),
        roster: Roster::new(presence, roster_set, n as u64).expect("a roster"),
        table: TableKeeper::new(given, adopted).expect("a table"),
        purges: read_purges(records(PURGES.0)).expect("purges"),
        settles: SETTLES,
        ends: 1_000.0,
        gathers: None,
        overlay: None,
    }
}
