//! The operators' page of examples: each block is compiled, and what it shows is compared.

mod common;
use basaltgw_placement::{compile, explain, explain_root, explain_shard, moves, Fault, Inventory, Table};
use basaltgw_types::{Member, Shard};
use common::{cache, router};
use std::collections::BTreeMap;
use std::fmt::Write;

const PAGE: &str = include_str!("../../../docs/operators/placement-examples.md");

/// An inventory of a page: a line for each entry.
fn inventory(text: &str) -> Inventory {
    let mut all = Inventory::default();
    for line in text.lines() {
        match line.split(' ').collect::<Vec<_>>().as_slice() {
            ["router", name, "branch", branch, "machine", machine, "capacity", capacity, rest @ ..] => {
                let mut router = router(name, branch, capacity.parse().expect("a number"));
                router.domain.machine = (*machine).into();
                router.stays = rest.is_empty();
                all.routers.push(router);
            }
            ["cache", id, "zone", zone, "role", role] => all.caches.push(cache(id, zone, role)),
            ["class", name] => all.classes.push((*name).into()),
            other => panic!("no line of an inventory: {other:?}"),
        }
    }
    all
}

/// What was compiled last.
struct State {
    inventory: Inventory,
    rules: (String, String),
    before: Option<Table>,
    table: Result<Table, Vec<Fault>>,
}

fn load(table: &Table) -> String {
    let mut loads: BTreeMap<&Member, usize> = BTreeMap::new();
    for shard in (0..table.shards()).filter_map(|s| table.keepers(Shard(s as u16))) {
        shard.members.iter().for_each(|m| *loads.entry(m).or_default() += 1);
    }
    let all: Vec<String> = loads.iter().map(|(m, load)| format!("{} {load}", m.router)).collect();
    format!("shards kept, of {}: {}\n", table.shards(), all.join(", "))
}

fn answer(question: &str, state: &State) -> String {
    let files = [state.rules.clone()];
    let table = match (&state.table, question) {
        (Err(faults), "faults") => return faults.iter().map(|f| f.render(&files, false)).collect(),
        (Err(faults), _) => panic!("{question}: {}", faults[0].render(&files, false)),
        (Ok(_), "faults") => panic!("expected faults of {}", state.rules.1),
        (Ok(table), _) => table,
    };
    let number = |text: &str| text.parse().expect("a number");
    match question.split(' ').collect::<Vec<_>>().as_slice() {
        ["load"] => load(table),
        ["root"] => explain_root(table),
        ["shard", n] => explain_shard(table, Shard(n.parse().expect("a shard"))),
        ["home", class, group, object] => explain(table, class, number(group), number(object)),
        ["moves"] => moves(state.before.as_ref().expect("a table before"), table).to_string(),
        ["gather", class] => table.gather(class).map_or("no rule is about it\n".into(), ToString::to_string),
        other => panic!("no question: {other:?}"),
    }
}

/// The page with all that is shown reckoned afresh.
fn afresh(page: &str) -> String {
    let mut state = State {
        inventory: Inventory::default(),
        rules: Default::default(),
        before: None,
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
                let before = std::mem::replace(&mut state.table, Err(Vec::new())).ok();
                state.before = before.filter(|_| kind == "rules after");
                state.rules = ("shop.rules".into(), text.clone());
                state.table = compile(&[state.rules.clone()], &state.inventory, state.before.as_ref());
            }
            "shown" => {
                for question in block.iter().filter_map(|l| l.strip_prefix("> ")) {
                    let _ = write!(out, "> {question}\n{}", answer(question, &state));
                }
                let _ = writeln!(out, "```");
                continue;
            }
            other => panic!("no kind of block: {other:?}"),
        }
        let _ = writeln!(out, "{text}```");
    }
    out
}

#[test]
fn the_page_shows_what_the_compiler_says() {
    let again = afresh(PAGE);
    if again != PAGE {
        let to = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("placement-examples.md");
        std::fs::write(&to, &again).expect("a place for the page as it should be");
        let (line, _) =
            PAGE.lines().zip(again.lines()).enumerate().find(|(_, (a, b))| a != b).unwrap_or_default();
        panic!(
            "line {}: the page says otherwise than the compiler; as it should be: {}",
            line + 1,
            to.display()
        );
    }
    assert!(PAGE.matches("\n> ").count() > 15, "the page shows something");
}
