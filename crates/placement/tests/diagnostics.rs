//! Errors of the compiler, and their messages.

mod common;
use basaltgw_placement::{Inventory, MAX_BOOTSTRAP_ROUTERS, MAX_RULES, MAX_RULES_BYTES};
use common::{cache, errors, fleet, router};

fn inventory() -> Inventory {
    let routers = [("a1", "north"), ("a2", "north"), ("b1", "south"), ("b2", "south")];
    let caches =
        [("c1", "east", "edge"), ("c2", "east", "edge"), ("c3", "west", "edge"), ("p1", "east", "parent")];
    Inventory {
        routers: routers.map(|(n, b)| router(n, b, 1000)).to_vec(),
        caches: caches.map(|(i, z, r)| cache(i, z, r)).to_vec(),
        classes: ["pages", "maps"].map(Into::into).to_vec(),
    }
}

/// Checks that a text has a single error, and that the error contains all these pieces.
#[track_caller]
fn rejected(text: &str, with: &[&str]) {
    let all = errors(text, &inventory());
    assert_eq!(all.len(), 1, "{all:#?}");
    for piece in with {
        assert!(all[0].contains(piece), "expected {piece:?} in {}", all[0]);
    }
}

#[test]
fn tokens_and_grammar() {
    rejected("holds { copis 3 }", &["t.rules:1:9", "found `copis`", "did you mean \"copies\"?"]);
    rejected("hols { copies 3 }", &["t.rules:1:1", "did you mean \"holds\"?"]);
    rejected("holds { copies }", &["expected a whole number", "found `}`"]);
    rejected("holds { shards 99999999999999999999 }", &["t.rules:1:16", "too large"]);
    rejected("set a = routers where name is \"x", &["does not end on its line"]);
    rejected("holds § { }", &["t.rules:1:7", "not part of the language"]);
    rejected(&format!("set a = routers where {}", "(".repeat(40)), &["nested deeper than 32"]);
    rejected(&format!("set a = routers where {} in a", "not ".repeat(40)), &["nested deeper than 32"]);
}

#[test]
fn all_rules_with_grammar_errors_are_reported_at_once() {
    let all = errors("holds { copis 3 }\nroot { spred machines }\nset x = routers", &inventory());
    assert_eq!(all.len(), 2, "{all:?}");
    assert!(all[0].starts_with("t.rules:1:9") && all[1].starts_with("t.rules:2:8"), "{all:?}");
}

#[test]
fn unknown_names() {
    rejected("set a = routers where branch is nort", &["no branch \"nort\"", "did you mean \"north\"?"]);
    rejected("set a = routers where size >= 3", &["no attribute \"size\"", "capacity"]);
    rejected("set a = caches where zone >= 3", &["\"zone\" is a name", "compare it by `is`"]);
    rejected(
        "holds { from strng }\nset strong = routers",
        &["no set or domain \"strng\"", "did you mean \"strong\"?"],
    );
    rejected("home class pags { width 1 }", &["no class \"pags\"", "did you mean \"pages\"?"]);
    rejected("never together router a1, router a9", &["there is no router \"a9\""]);
    rejected("set a = routers set a = caches", &["defined twice"]);
}

#[test]
fn rules_that_can_never_match() {
    rejected("set a = routers where capacity > 5000", &["set \"a\" is empty"]);
    rejected("home class pages { keep in z }\ndomain z { branch north }", &["no cache in \"z\""]);
    rejected("home class pages { }", &["has no clauses"]);
    rejected(
        "set w = caches where zone west  home class pages { keep in w  width 2 }",
        &["a width of 2", "only 1 may keep"],
    );
    rejected(
        "gather class pages { at least 60% of parts  missing refused  wait 1 ms }",
        &["never permits a partial response"],
    );
}

#[test]
fn copies_and_domains() {
    rejected("holds { copies 2 }", &["2 copies; expected 3 or 5"]);
    rejected("holds { copies 4 }", &["4 copies; expected 3 or 5"]);
    rejected(
        "holds { spread branches }",
        &["3 copies over different branches", "only 2 can store them: north, south"],
    );
    rejected(
        "holds { spread branches at most 2 each }",
        &["losing one branch could lose 2 of 3 copies", "at most 1"],
    );
    rejected("holds { copies 5  spread machines }", &["5 copies", "only 4 can store them"]);
    let all = errors("", &fleet(2, 1));
    assert!(all[0].contains("holds: 3 copies over different machines"), "{all:?}");
}

#[test]
fn capacity_is_insufficient_after_the_loss_of_a_domain() {
    // 64 shards with 3 copies of 30 registers: 5,760 registers, and capacity for 4,000.
    rejected("holds { shards 64  room 30 per shard }", &["insufficient capacity", "with all routers"]);
    // 192 copies are required and 66 fit each router: 264 with all, 198 without a machine, and without a branch 132 of the 128 left.
    let text = "holds { shards 64  room 15 per shard }";
    common::table(text, &inventory(), None);
    // 62 fit each router: 248 with all, but 186 of 192 without a machine.
    rejected(
        "holds { shards 64  room 16 per shard }",
        &["after the loss of machine", "192 copies are required and 186 fit"],
    );
}

#[test]
fn too_much_text_is_rejected_as_a_whole() {
    let rules = "set a = routers\n".repeat(MAX_RULES + 1);
    assert_eq!(
        errors(&rules, &inventory()),
        [format!("rules: {} rules; expected at most {MAX_RULES}", MAX_RULES + 1)]
    );
    let long = errors(&"#".repeat(MAX_RULES_BYTES + 1), &inventory());
    assert!(long.len() == 1 && long[0].starts_with("rules: rules of 262145 bytes in 1 files"), "{long:?}");
    let many = errors(&"holds ".repeat(1000), &inventory());
    assert_eq!((many.len(), many[100].as_str()), (101, "rules: 900 more errors are not shown"));
    let bootstrap = errors("", &fleet(MAX_BOOTSTRAP_ROUTERS + 1, 5));
    assert!(
        bootstrap.len() == 1
            && bootstrap[0].starts_with("inventory: 65 routers for the bootstrap of a fleet"),
        "{bootstrap:?}"
    );
}

#[test]
fn conflicting_rules_are_marked_without_the_others() {
    let files = [(
        "t.rules".to_string(),
        "never together router a1, router b1\n\
         set few = routers where not name is a2\n\
         holds { from few }\n\
         never together router a2, router b2\n"
            .to_string(),
    )];
    let diagnostics = basaltgw_placement::compile(&files, &inventory(), None).expect_err("a conflict");
    let holds = diagnostics.iter().find(|d| d.message.starts_with("holds")).expect("an error of holds");
    let marked: Vec<usize> =
        holds.labels.iter().map(|(span, _)| files[0].1[..span.start].matches('\n').count()).collect();
    // The rule on line 4 has no part in the conflict.
    assert_eq!(marked, [2, 2, 0], "{}", holds.render(&files, false));
    let shown = holds.render(&files, false);
    assert!(shown.contains("never together router a1, router b1") && !shown.contains('\u{1b}'), "{shown}");
}

#[test]
fn contradicting_homes() {
    let text = "domain e { zone east }\ndomain w { zone west }\n\
                home class pages { only in e }\nhome group 7 { only in w }\nhome class maps { only in w }\n";
    let all = errors(text, &inventory());
    assert!(
        all.iter().all(|e| e.contains("no cache may") && !e.contains(":5:")) && all.len() == 2,
        "{all:#?}"
    );
    rejected("home class pages { width 1 }\nhome class pages { width 2 }", &["two rules have this clause"]);
    rejected("domain e { zone east } home class pages { only in e  else any }", &["`else any` would permit"]);
}
