//! The section `fleet`: defaults, each fault by file, line and key, and what a running router takes over.

use basaltgw_config::fleet::{Fleet, FleetLimits, Held, MOST_RULES_BYTES};
use basaltgw_config::overlay::{Links, Standing};
use basaltgw_config::plan::own_settings_of;
use basaltgw_hierarchy::SlowStart;

const COLD: SlowStart = SlowStart { initial_share: 0.1, ramp_duration: 20_000.0 };
const GOOD: &str = "\
fleet:
  cluster: rig
  name: r1
  branch: north
  machine: m1
  listen: 127.0.0.1:7101
  folder: /var/lib/basaltgw/r1
  peers:
    - {name: r2, address: 127.0.0.1:7102, branch: north, machine: m2}
    - name: r3
      address: 127.0.0.1:7103
      branch: south
      machine: m1
  shards: 16
  limits: {ring: 8, frame_bytes: 8192}
";

fn read(text: &str) -> Result<Fleet, String> {
    let own = own_settings_of("d/b.yaml", text, COLD).map_err(|e| e.to_string())?;
    Ok(own.fleet.expect("the section"))
}

/// The fault that comes of one change to the good text.
fn fault(from: &str, to: &str) -> String {
    assert!(GOOD.contains(from), "{from}");
    read(&GOOD.replace(from, to)).expect_err(to)
}

#[test]
fn absent_keys_have_defaults() {
    let fleet = read(GOOD).expect("a fleet");
    assert_eq!((&*fleet.cluster, &*fleet.name.0, &*fleet.domain.machine), ("rig", "r1", "m1"));
    assert_eq!((fleet.copies, fleet.shards, fleet.gather, &fleet.rules), (3, 16, false, &None));
    assert_eq!(fleet.holds, Held { effects: true, purges: true, tickets: true });
    assert_eq!(fleet.limits, FleetLimits { ring: 8, frame_bytes: 8192, ..FleetLimits::default() });
    assert_eq!((&*fleet.peers[1].domain.branch, fleet.peers[1].address.port()), ("south", 7103));
    let text = format!("{GOOD}  holds: {{tickets: false}}\n  gather: true\n");
    let fleet = read(&text).expect("a fleet");
    assert_eq!((fleet.holds.effects, fleet.holds.tickets, fleet.gather), (true, false, true));
    assert_eq!(own_settings_of("b.yaml", "{}", COLD).expect("nothing").fleet, None);
}

/// The good text with an overlay; `more` goes into it.
fn with_overlay(more: &str) -> String {
    GOOD.replace(", frame_bytes: 8192", "") + &format!("  overlay: {{{more}}}\n")
}

#[test]
fn overlay_is_off_by_default_and_positions_default_to_branch_and_machine() {
    let off = read(GOOD).expect("a fleet");
    assert!(off.overlay.is_none() && off.peers.iter().all(|p| p.standing.is_none()));
    let fleet = read(&with_overlay("")).expect("a fleet");
    let words = |s: &Standing| [&s.region, &s.zone, &s.site, &s.rack].map(|w| w.to_string()).join(" ");
    let of = fleet.overlay.as_ref().expect("an overlay");
    assert_eq!((words(&of.standing), of.standing.control), ("north north m1 m1".into(), false));
    assert_eq!((of.batch_ms, of.keep_ms, of.budget_bytes_per_s), (250.0, None, 20_000.0));
    assert_eq!(fleet.peers[1].standing.as_ref().map(words).as_deref(), Some("south south m1 m1"));
    let text = with_overlay("region: eu1, zone: z1, site: s1, rack: k1, control: true, batch_ms: 100")
        .replace("branch: north, machine: m2", "branch: north, machine: m2, overlay: {rack: k9}");
    let fleet = read(&text).expect("a fleet");
    let of = fleet.overlay.as_ref().expect("an overlay");
    assert_eq!((words(&of.standing), of.standing.control, of.batch_ms), ("eu1 z1 s1 k1".into(), true, 100.0));
    assert_eq!(fleet.peers[0].standing.as_ref().map(words).as_deref(), Some("north north m2 k9"));
    // No running router takes another.
    assert!(!off.same_but_rules(&fleet));
}

#[test]
fn overlay_fault_names_file_line_and_key() {
    let cases = [
        ("batch_ms: 9", "16: fleet.overlay.batch_ms: 9 is less than"),
        ("batch_ms: 1001", "16: fleet.overlay.batch_ms: 1001 is greater than"),
        ("batch_ms: fast", "16: fleet.overlay.batch_ms: \"fast\" is not of type"),
        ("keep_ms: 999", "16: fleet.overlay.keep_ms: 999 is less than"),
        ("keep_ms: 28800001", "16: fleet.overlay.keep_ms: 28800001 is greater than"),
        ("budget_bytes_per_s: 999", "16: fleet.overlay.budget_bytes_per_s: 999 is less than"),
        ("budget_bytes_per_s: 1000000001", "16: fleet.overlay.budget_bytes_per_s: 1000000001 is greater"),
        ("region: 'e u'", "16: fleet.overlay.region: expected 1 to 64 bytes of letters"),
        ("zone: 'e/u'", "16: fleet.overlay.zone: expected 1 to 64 bytes of letters"),
        ("site: ''", "16: fleet.overlay.site: \"\" is shorter than"),
        ("rack: 7", "16: fleet.overlay.rack: 7 is not of type"),
        ("control: 1", "16: fleet.overlay.control: 1 is not of type"),
        ("relay: true", "16: fleet.overlay: Additional properties"),
    ];
    for (more, says) in cases {
        let text = read(&with_overlay(more)).expect_err(more);
        assert!(text.starts_with(&format!("d/b.yaml:{says}")), "{more}: {text}");
    }
    let small = read(&with_overlay("").replace("ring: 8", "ring: 8, frame_bytes: 65599")).expect_err("small");
    let says =
        "d/b.yaml:15: fleet.limits.frame_bytes: expected 65600 or more, for fleet.overlay, found 65599";
    assert_eq!(small, says);
    let peer = |more: &str| {
        ("branch: north, machine: m2", format!("branch: north, machine: m2, overlay: {{{more}}}"))
    };
    let (from, to) = peer("rack: k1");
    let says = "9: fleet.peers[0].overlay: expected the key `overlay` of the section too";
    assert!(fault(from, &to).starts_with(&format!("d/b.yaml:{says}")));
    for (more, says) in [
        ("rack: 'k 1'", "9: fleet.peers[0].overlay.rack: expected 1 to 64 bytes"),
        ("batch_ms: 100", "9: fleet.peers[0].overlay: Additional properties"),
    ] {
        let (from, to) = peer(more);
        let text = read(&with_overlay("").replace(from, &to)).expect_err(more);
        assert!(text.starts_with(&format!("d/b.yaml:{says}")), "{more}: {text}");
    }
}

#[test]
fn links_default_to_a_mesh() {
    let links = |more: &str| read(&with_overlay(more)).map(|f| f.overlay.expect("one").links);
    for mesh in ["", "links: mesh"] {
        assert_eq!(links(mesh), Ok(Links::Mesh), "{mesh}");
    }
    assert_eq!(links("links: standing"), Ok(Links::Standing { idle_ms: 10_000.0 }));
    assert_eq!(links("links: standing, idle_ms: 500"), Ok(Links::Standing { idle_ms: 500.0 }));
    for (more, says) in [
        ("links: star", "16: fleet.overlay.links: \"star\" is not one of"),
        ("idle_ms: 500", "16: fleet.overlay.idle_ms: expected `links: standing` too"),
        ("links: mesh, idle_ms: 500", "16: fleet.overlay.idle_ms: expected `links: standing` too"),
        ("links: standing, idle_ms: 99", "16: fleet.overlay.idle_ms: 99 is less than"),
    ] {
        let text = links(more).expect_err(more);
        assert!(text.starts_with(&format!("d/b.yaml:{says}")), "{more}: {text}");
    }
    let text = format!("{}  gather: true\n", with_overlay("links: standing"));
    let says = "d/b.yaml:17: fleet.gather: expected false with `fleet.overlay.links: standing`";
    let text = read(&text).expect_err("gather");
    assert!(text.starts_with(says), "{text}");
}

#[test]
fn silence_timeout_is_at_least_three_keepalives() {
    let limits =
        |text: &str| read(&GOOD.replace("ring: 8", text)).map(|f| (f.limits.alive_ms, f.limits.silent_ms));
    assert_eq!(limits("ring: 8"), Ok((250.0, 1_000.0)));
    assert_eq!(limits("alive_ms: 1250, silent_ms: 4000"), Ok((1_250.0, 4_000.0)));
    // Silence may be raised alone, signs of life may not.
    assert_eq!(limits("silent_ms: 4000"), Ok((250.0, 4_000.0)));
    let text = limits("alive_ms: 1250").expect_err("silence");
    let says = "fleet.limits.silent_ms: expected 3750 or more, for three of limits.alive_ms, found 1000";
    assert!(text.starts_with("d/b.yaml:") && text.ends_with(says), "{text}");
    let text = limits("alive_ms: 1250, silent_ms: 3749").expect_err("silence");
    assert_eq!(text, format!("d/b.yaml:15: {}3749", says.trim_end_matches("1000")));
}

#[test]
fn messages_are_retained_for_twice_the_purge_convergence_time() {
    let keep =
        |more: &str, settles| read(&with_overlay(more)).expect("a fleet").overlay.expect("one").keep(settles);
    assert_eq!(
        (keep("", 0.0), keep("", 60_000.0), keep("", 90_000.0)),
        (Ok(120_000.0), Ok(120_000.0), Ok(180_000.0))
    );
    assert_eq!(keep("keep_ms: 20000", 10_000.0), Ok(20_000.0));
    let says =
        "fleet.overlay.keep_ms: expected 20002 or more, twice what a purge takes to settle, found 20000";
    assert_eq!(keep("keep_ms: 20000", 10_001.0), Err(says.into()));
}

#[test]
fn defaults_match_the_schema() {
    let schema: serde_json::Value =
        serde_json::from_str(include_str!("../../../deploy/basaltgw.schema.json")).expect("JSON");
    let limits = &schema["properties"]["fleet"]["properties"]["limits"]["properties"];
    let named = limits.as_object().expect("limits").iter();
    let all: String = named.map(|(k, v)| format!("    {k}: {}\n", v["default"])).collect();
    let text = GOOD.replace("  limits: {ring: 8, frame_bytes: 8192}\n", &format!("  limits:\n{all}"));
    assert_eq!(read(&text).expect("a fleet").limits, FleetLimits::default());
}

#[test]
fn fleet_fault_names_file_line_and_key() {
    let reach = "expected an IP address that others can reach and a port but 0, as in 10.0.0.1:7101, found";
    let r2 = "address: 127.0.0.1:7102";
    let cases = [
        ("name: r1", "name: r 1", "3: fleet.name: expected 1 to 64 bytes of letters"),
        ("machine: m1\n  listen", "machine: m/1\n  listen", "5: fleet.machine: expected 1 to 64 bytes"),
        (":7101", ":0", &format!("6: fleet.listen: {reach} \"127.0.0.1:0\"")),
        ("127.0.0.1:7101", "0.0.0.0:7101", &format!("6: fleet.listen: {reach} \"0.0.0.0:7101\"")),
        ("127.0.0.1:7101", "localhost:7101", &format!("6: fleet.listen: {reach} \"localhost:7101\"")),
        (r2, "address: 127.0.0.1:0", &format!("9: fleet.peers[0].address: {reach}")),
        ("name: r2", "name: r1", "9: fleet.peers[0].name: r1 is the router itself; expected a name once"),
        ("name: r3", "name: r2", "10: fleet.peers[1].name: r2 is fleet.peers[0] too"),
        ("7103", "7102", "11: fleet.peers[1].address: 127.0.0.1:7102 is that of r2; expected"),
        ("7103", "7101", "11: fleet.peers[1].address: 127.0.0.1:7101 is where the router itself listens"),
        (
            "machine: m2",
            "machine: m1",
            "8: fleet.peers: expected 3 machines or more for as many copies, found 2",
        ),
        ("  shards: 16", "  copies: 5", "8: fleet.peers: expected 5 machines or more"),
        ("  shards: 16", "  copies: 4", "14: fleet.copies: 4 is not"),
        ("  shards: 16", "  shards: 0", "14: fleet.shards: 0 is less than"),
        ("  shards: 16", "  shards: 16.0", "14: fleet.shards: invalid type: floating point"),
        ("  shards: 16", "  holds: {debts: true}", "14: fleet.holds: Additional properties"),
        ("  shards: 16", "  rules: absent.rules", "14: fleet.rules: d/absent.rules: "),
        ("ring: 8", "ring: 1", "15: fleet.limits.ring: 1 is less than"),
        (
            "ring: 8",
            "lane_bytes: 4096",
            "15: fleet.limits.lane_bytes: expected 8192 or more, for limits.frame_bytes",
        ),
        ("ring: 8", "outcome_bytes: 8000", "15: fleet.limits.frame_bytes: expected 16000 or more"),
        ("  folder: /var/lib/basaltgw/r1\n", "", "1: fleet: \"folder\" is a required property"),
    ];
    for (from, to, says) in cases {
        let text = fault(from, to);
        assert!(text.starts_with(&format!("d/b.yaml:{says}")), "{to}: {text}");
    }
    let many: String = (0..1024)
        .map(|i| format!("    - {{name: n{i}, address: '10.0.0.1:{}', branch: b, machine: m{i}}}\n", i + 1))
        .collect();
    assert!(fault("  peers:\n", &format!("  peers:\n{many}")).starts_with("d/b.yaml:8: fleet.peers: "));
}

#[test]
fn rules_file_is_relative_to_the_settings_file_and_bounded() {
    let folder = std::env::temp_dir().join(format!("basaltgw-fleet-{}", std::process::id()));
    std::fs::create_dir_all(folder.join("sub")).expect("a folder");
    let (file, rules) = (folder.join("b.yaml").display().to_string(), folder.join("p.rules"));
    let text = |named: &str| format!("{GOOD}  rules: {named}\n");
    let said = |named| own_settings_of(&file, &text(named), COLD).map(|own| own.fleet.expect("the section"));
    std::fs::write(&rules, "one\n").expect("written");
    let one = said("p.rules").expect("a fleet");
    std::fs::write(&rules, "two\n").expect("written");
    let two = said("p.rules").expect("a fleet");
    std::fs::write(&rules, vec![b'x'; MOST_RULES_BYTES as usize + 1]).expect("written");
    let long = said("p.rules").expect_err("too long").to_string();
    std::fs::write(&rules, [0xff, 0xfe]).expect("written");
    let bytes = said("p.rules").expect_err("no text").to_string();
    let dir = said("sub").expect_err("no file").to_string();
    std::fs::remove_dir_all(&folder).expect("removed");
    let of = one.rules.as_ref().expect("rules");
    assert_eq!((of.text.as_str(), &of.file), ("one\n", &rules));
    assert!(long.contains(":16: fleet.rules:") && long.contains("at most 1048576 bytes"), "{long}");
    assert!(bytes.contains(":16: fleet.rules:") && bytes.contains("UTF-8"), "{bytes}");
    assert!(dir.contains(":16: fleet.rules:") && dir.contains("expected a file"), "{dir}");
    // A running router takes other rules, and nothing else.
    assert!(one != two && one.same_but_rules(&two));
    assert!(one.same_but_rules(&Fleet { rules: None, ..one.clone() }));
    assert!(!one.same_but_rules(&Fleet { shards: 17, ..two.clone() }));
    assert!(!one.same_but_rules(&Fleet { peers: Vec::new(), ..two }));
}
