//! Stability of the encodings of tables and of the table register, against literal bytes.

use crate::register::{ProposedTable, Register, Stage};
use crate::steps::portions;
use crate::table::Table;
use crate::{compile, CacheEntry, Inventory, RouterEntry};
use basaltgw_types::{Domain, Incarnation, Member, RouterId};
use std::sync::Arc;

const RULES: &str = "holds { shards 4 copies 3 spread machines }\nroot { copies 3 spread machines }\n\
    set near = caches where zone is z1\n\
    home class pages { serve in near keep in near width 1 else any }\n\
    gather class pages { needs 1 at least 50% of parts wait 20 ms missing owed second copies yes }\n";

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// Four routers. For a later table the first one is being drained.
fn inventory(has_table: bool) -> Inventory {
    let router = |i: u128| RouterEntry {
        member: Member {
            router: RouterId(Arc::from(format!("r{i}"))),
            incarnation: Incarnation(i << 96 | 5),
        },
        domain: Domain { branch: Arc::from("b1"), machine: Arc::from(format!("m{i}")) },
        capacity: 1_000,
        accepts_replicas: !has_table || i > 1,
    };
    let cache = |id: &str| CacheEntry {
        id: Arc::from(id),
        zone: Arc::from("z1"),
        role: Arc::from("edge"),
        cell: 1,
        weight: 1.0,
    };
    Inventory {
        routers: (1..=4).map(router).collect(),
        caches: vec![cache("c1"), cache("c2")],
        classes: vec![Arc::from("pages")],
    }
}

fn table(previous: Option<&Table>) -> Arc<Table> {
    let files = [("t.rules".to_string(), RULES.to_string())];
    match compile(&files, &inventory(previous.is_some()), previous) {
        Ok(table) => Arc::new(table),
        Err(errors) => panic!("{}", errors.iter().map(|f| f.render(&files, false)).collect::<String>()),
    }
}

#[test]
fn table_bytes_and_hash_are_stable() {
    let first = table(None);
    assert_eq!(hex(first.bytes()), "0100000000000000000000000000000000000000000000000000000000000000000307742e72756c65730410686f6d6520636c61737320706167657307742e72756c65730105686f6c647307742e72756c65730204726f6f7405026231026d31026d32026d33026d34040272310500000000000000000000000100000000010272320500000000000000000000000200000000020272330500000000000000000000000300000000030272340500000000000000000000000400000000040310010101020301030204000102030c03020001030002030101020002026331026332010102000101020001000001010101000105706167657300000200010105706167657301013200140001");
    assert_eq!(hex(&first.hash().0), "4d705dc8d2b8d7417fdd5451714b4b0f9af2c79f622ca02d8db0297e66d7436e");
    assert_eq!(Table::from_bytes(first.bytes()).map(|t| t.hash()), Ok(first.hash()));
    assert_eq!(
        hex(&table(Some(&first)).hash().0),
        "935d90edcfa46154599f7d94d2916ea0ce90d5ece8fb16b759b31fb774164459"
    );
}

#[test]
fn register_bytes_are_stable_in_each_stage() {
    let first = table(None);
    let second = table(Some(&first));
    let steps = portions(&first, &second).len() as u16;
    let proposed = ProposedTable { table: second.clone(), proposer: RouterId(Arc::from("r2")), steps };
    let stages = [
        (None, Stage::Idle, "ac02058b02<first>00"),
        (Some(proposed.clone()), Stage::Proposed, "ac02058b02<first>01ef01<second>02723200"),
        (Some(proposed.clone()), Stage::Durable, "ac02058b02<first>01ef01<second>02723201"),
        (
            Some(proposed),
            Stage::Joint { step: 0, withdrawing: true },
            "ac02058b02<first>01ef01<second>027232020001",
        ),
    ];
    let (first_hex, second_hex) = (hex(first.bytes()), hex(second.bytes()));
    for (proposed, stage, expected) in stages {
        let register = Register { term: 300, epoch: 5, table: first.clone(), proposed, stage };
        let bytes = register.to_bytes().expect("plain values");
        let without_tables = hex(&bytes).replace(&first_hex, "<first>").replace(&second_hex, "<second>");
        assert_eq!(without_tables, expected, "{:?}", register.stage);
        assert_eq!(Register::from_bytes(&bytes), Ok(register));
    }
}
