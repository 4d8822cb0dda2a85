//! Inventories, and compiled tables and diagnostics of them.
#![allow(dead_code)] // Each test file uses what it needs.

use basaltgw_placement::{compile, CacheEntry, Inventory, RouterEntry, Table};
use basaltgw_types::{Domain, Incarnation, Member, RouterId};
use std::sync::Arc;

/// A router on a machine of its own.
pub fn router(name: &str, branch: &str, capacity: u64) -> RouterEntry {
    RouterEntry {
        member: Member { router: RouterId(Arc::from(name)), incarnation: Incarnation(0x11 << 96) },
        domain: Domain { branch: Arc::from(branch), machine: Arc::from(format!("m-{name}")) },
        capacity,
        accepts_replicas: true,
    }
}

/// A cache or parent.
pub fn cache(id: &str, zone: &str, role: &str) -> CacheEntry {
    CacheEntry { id: Arc::from(id), zone: Arc::from(zone), role: Arc::from(role), cell: 1, weight: 1.0 }
}

/// `n` routers on machines of their own, with `each` machines in a branch.
pub fn fleet(n: usize, each: usize) -> Inventory {
    let routers = (0..n).map(|i| router(&format!("r{i}"), &format!("b{}", i / each), 10_000));
    Inventory { routers: routers.collect(), ..Inventory::default() }
}

/// Compiles one file that has no errors.
pub fn table(text: &str, inventory: &Inventory, previous: Option<&Table>) -> Arc<Table> {
    let files = [("t.rules".to_string(), text.to_string())];
    match compile(&files, inventory, previous) {
        Ok(table) => Arc::new(table),
        Err(errors) => panic!("{}", errors.iter().map(|f| f.render(&files, false)).collect::<String>()),
    }
}

/// The errors of one file.
pub fn errors(text: &str, inventory: &Inventory) -> Vec<String> {
    let files = [("t.rules".to_string(), text.to_string())];
    match compile(&files, inventory, None) {
        Ok(_) => panic!("compiled: {text}"),
        Err(errors) => errors.iter().map(ToString::to_string).collect(),
    }
}
