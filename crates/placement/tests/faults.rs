//! What the compiler refuses, and what it says.

mod common;
use basaltgw_placement::{Inventory, MOST_FOUNDERS, MOST_RULES, MOST_TEXT};
use common::{cache, faults, fleet, router};

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

/// The one fault of a text must hold all of these.
#[track_caller]
fn refused(text: &str, with: &[&str]) {
    let all = faults(text, &inventory());
    assert_eq!(all.len(), 1, "{all:#?}");
    for piece in with {
        assert!(all[0].contains(piece), "expected {piece:?} in {}", all[0]);
    }
}

#[test]
fn words_and_grammar() {
    refused("holds { copis 3 }", &["t.rules:1:9", "found `copis`", "did you mean \"copies\"?"]);
    refused("hols { copies 3 }", &["t.rules:1:1", "did you mean \"holds\"?"]);
    refused("holds { copies }", &["expected a whole number", "found `}`"]);
    refused("holds { shards 99999999999999999999 }", &["t.rules:1:16", "too large"]);
    refused("set a = routers where name is \"x", &["does not end on its line"]);
    refused("holds § { }", &["t.rules:1:7", "mean nothing here"]);
    refused(&format!("set a = routers where {}", "(".repeat(40)), &["nested deeper than 32"]);
    refused(&format!("set a = routers where {} in a", "not ".repeat(40)), &["nested deeper than 32"]);
}

#[test]
fn all_rules_that_cannot_be_read_are_named_at_once() {
    let all = faults("holds { copis 3 }\nroot { spred machines }\nset x = routers", &inventory());
    assert_eq!(all.len(), 2, "{all:?}");
    assert!(all[0].starts_with("t.rules:1:9") && all[1].starts_with("t.rules:2:8"), "{all:?}");
}

#[test]
fn unknown_names() {
    refused("set a = routers where branch is nort", &["no branch \"nort\"", "did you mean \"north\"?"]);
    refused("set a = routers where size >= 3", &["no attribute \"size\"", "capacity"]);
    refused("set a = caches where zone >= 3", &["\"zone\" is a name", "say `is`"]);
    refused(
        "holds { from strng }\nset strong = routers",
        &["no set or domain \"strng\"", "did you mean \"strong\"?"],
    );
    refused("home class pags { width 1 }", &["no class \"pags\"", "did you mean \"pages\"?"]);
    refused("never together router a1, router a9", &["no router \"a9\"".replace("router", "name").as_str()]);
    refused("set a = routers set a = caches", &["named twice"]);
}

#[test]
fn what_can_never_match() {
    refused("set a = routers where capacity > 5000", &["set \"a\" is empty"]);
    refused("home class pages { keep in z }\ndomain z { branch north }", &["no cache in \"z\""]);
    refused("home class pages { }", &["says nothing"]);
    refused(
        "set w = caches where zone west  home class pages { keep in w  width 2 }",
        &["a width of 2", "1 may keep"],
    );
    refused(
        "gather class pages { at least 60% of parts  missing refused  wait 1 ms }",
        &["can never be given"],
    );
}

#[test]
fn copies_and_domains() {
    refused("holds { copies 2 }", &["2 copies; expected 3 or 5"]);
    refused("holds { copies 4 }", &["4 copies; expected 3 or 5"]);
    refused(
        "holds { spread branches }",
        &["3 copies over different branches", "2 to keep them: north, south"],
    );
    refused(
        "holds { spread branches at most 2 each }",
        &["losing one branch could lose 2 of 3 copies", "at most 1"],
    );
    refused("holds { copies 5  spread machines }", &["5 copies", "4 to keep them"]);
    let all = faults("", &fleet(2, 1));
    assert!(all[0].contains("holds: 3 copies over different machines"), "{all:?}");
}

#[test]
fn capacity_is_short_once_a_domain_is_lost() {
    // 64 shards of 3 copies and 30 holds: 5,760 of 4,000 there.
    refused("holds { shards 64  room 30 per shard }", &["capacity is short", "even with all routers there"]);
    // 192 copies; each router has room for 66: with all 264, without a machine 198, without a branch 132 of 128.
    let text = "holds { shards 64  room 15 per shard }";
    common::table(text, &inventory(), None);
    // Room for 62 in each: 248 with all, but 186 of 192 without a machine.
    refused(
        "holds { shards 64  room 16 per shard }",
        &["once machine", "192 copies need room and there is room for 186"],
    );
}

#[test]
fn too_much_text_is_refused_as_a_whole() {
    let rules = "set a = routers\n".repeat(MOST_RULES + 1);
    assert_eq!(
        faults(&rules, &inventory()),
        [format!("rules: {} rules; expected at most {MOST_RULES}", MOST_RULES + 1)]
    );
    let long = faults(&"#".repeat(MOST_TEXT + 1), &inventory());
    assert!(long.len() == 1 && long[0].starts_with("rules: rules of 262145 bytes in 1 files"), "{long:?}");
    let many = faults(&"holds ".repeat(1000), &inventory());
    assert_eq!((many.len(), many[100].as_str()), (101, "rules: 900 more faults are not shown"));
    let founders = faults("", &fleet(MOST_FOUNDERS + 1, 5));
    assert!(
        founders.len() == 1 && founders[0].starts_with("inventory: 65 routers found a fleet"),
        "{founders:?}"
    );
}

#[test]
fn the_smallest_set_of_rules_that_clash() {
    let files = [(
        "t.rules".to_string(),
        "never together router a1, router b1\n\
         set few = routers where not name is a2\n\
         holds { from few }\n\
         never together router a2, router b2\n"
            .to_string(),
    )];
    let faults = basaltgw_placement::compile(&files, &inventory(), None).expect_err("clashes");
    let holds = faults.iter().find(|f| f.message.starts_with("holds")).expect("holds can't be kept");
    let marked: Vec<usize> =
        holds.labels.iter().map(|(at, _)| files[0].1[..at.start].matches('\n').count()).collect();
    // The rule on line 4 has no part in it.
    assert_eq!(marked, [2, 2, 0], "{}", holds.render(&files, false));
    let shown = holds.render(&files, false);
    assert!(shown.contains("never together router a1, router b1") && !shown.contains('\u{1b}'), "{shown}");
}

#[test]
fn homes_that_contradict_each_other() {
    let text = "domain e { zone east }\ndomain w { zone west }\n\
                home class pages { only in e }\nhome group 7 { only in w }\nhome class maps { only in w }\n";
    let all = faults(text, &inventory());
    assert!(all.iter().all(|f| f.contains("nobody may") && !f.contains(":5:")) && all.len() == 2, "{all:#?}");
    refused("home class pages { width 1 }\nhome class pages { width 2 }", &["two rules say this"]);
    refused("domain e { zone east } home class pages { only in e  else any }", &["`else any` would leave"]);
}
