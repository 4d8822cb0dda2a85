//! Compiles the examples of the operators' page, and compares the output that the page shows.

mod common;
use basaltgw_placement::{
    compile, explain, explain_root, explain_shard, shard_moves, Diagnostic, Inventory, Table,
};
use basaltgw_types::{Member, Shard};
use common::{cache, router};
use std::collections::BTreeMap;
use std::fmt::Write;

const PAGE: &str = include_str!("../../../docs/operators/placement-examples.md");

/// Parses an inventory of the page, with a line for each entry.
fn inventory(text: &str) -> Inventory {
    let mut all = Inventory::default();
    for line in text.lines() {
        match line.split(' ').collect::<Vec<_>>().as_slice() {
            ["router", name, "branch", branch, "machine", machine, "capacity", capacity, rest @ ..] => {
                let mut router = router(name, branch, capacity.parse().expect("a number"));
                router.domain.machine = (*machine).into();
                router.accepts_replicas = rest.is_empty();
                all.routers.push(router);
            }
            ["cache", id, "zone", zone, "role", role] => all.caches.push(cache(id, zone, role)),
            ["class", name] => all.classes.push((*name).into()),
            other => panic!("unknown line of an inventory: {other:?}"),
        }
    }
    all
}

/// Results of the blocks so far.
struct State {
    inventory: Inventory,
    rules: (String, String),
    previous: Option<Table>,
    table: Result<Table, Vec<Diagnostic>>,
}

fn describe_load(table: &Table) -> String {
    let mut loads: BTreeMap<&Member, usize> = BTreeMap::new();
    for shard in (0..table.shard_count()).filter_map(|s| table.replicas(Shard(s as u16))) {
        shard.members.iter().for_each(|m| *loads.entry(m).or_default() += 1);
    }
    let all: Vec<String> = loads.iter().map(|(m, load)| format!("{} {load}", m.router)).collect();
    format!("shards kept, of {}: {}\n", table.shard_count(), all.join(", "))
}

fn output(command: &str, state: &State) -> String {
    let files = [state.rules.clone()];
    let table = match (&state.table, command) {
        (Err(errors), "faults") => return errors.iter().map(|e| e.render(&files, false)).collect(),
        (Err(errors), _) => panic!("{command}: {}", errors[0].render(&files, false)),
        (Ok(_), "faults") => panic!("expected errors of {}", state.rules.1),
        (Ok(table), _) => table,
    };
    let number = |text: &str| text.parse().expect("a number");
    match command.split(' ').collect::<Vec<_>>().as_slice() {
        ["load"] => describe_load(table),
        ["root"] => explain_root(table),
        ["shard", n] => explain_shard(table, Shard(n.parse().expect("a shard"))),
        ["home", class, group, object] => explain(table, class, number(group), number(object)),
        ["moves"] => shard_moves(state.previous.as_ref().expect("a previous table"), table).to_string(),
        ["gather", class] => table.gather_rule(class).map_or("no rule applies\n".into(), ToString::to_string),
        other => panic!("unknown command: {other:?}"),
    }
}

/// The page with all output computed anew.
fn with_current_output(page: &str) -> String {
    let mut state = State {
        inventory: Inventory::default(),
        rules: Default::default(),
        previous: None,
        table: Err(Vec::new()),
    };
    let (mut out, mut lines) = (String::new(), page.lines());
    while let Some(line) = lines.next() {
        let _ = writeln!(out, "{line}");
        let Some(kind) = line.strip_prefix("```") else { continue };
        let block: Vec<&str> = lines.by_ref().take_while(|l| *l != "```").collect();
        let text = format!("{}\n", block.join("\n"));
        match kind {
            "inventory" => state.inventory = inventory(&text),
            "rules" | "rules after" => {
                let previous = std::mem::replace(&mut state.table, Err(Vec::new())).ok();
                state.previous = previous.filter(|_| kind == "rules after");
                state.rules = ("shop.rules".into(), text.clone());
                state.table = compile(&[state.rules.clone()], &state.inventory, state.previous.as_ref());
            }
            "shown" => {
                for command in block.iter().filter_map(|l| l.strip_prefix("> ")) {
                    let _ = write!(out, "> {command}\n{}", output(command, &state));
                }
                let _ = writeln!(out, "```");
                continue;
            }
            other => panic!("unknown kind of block: {other:?}"),
        }
        let _ = writeln!(out, "{text}```");
    }
    out
}

#[test]
fn the_page_shows_the_present_output() {
    let expected = with_current_output(PAGE);
    if expected != PAGE {
        let file = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("placement-examples.md");
        std::fs::write(&file, &expected).expect("the expected page is written");
        let (line, _) =
            PAGE.lines().zip(expected.lines()).enumerate().find(|(_, (a, b))| a != b).unwrap_or_default();
        panic!(
            "line {}: the page differs from the present output; the expected page: {}",
            line + 1,
            file.display()
        );
    }
    assert!(PAGE.matches("\n> ").count() > 15, "the page has examples");
}
