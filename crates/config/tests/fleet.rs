//! Tests of the section `fleet`: its defaults, errors by file, line and key, and what a running router can change.

use basaltgw_config::fleet::{Fleet, FleetLimits, ReplicatedKinds, MAX_RULES_FILE_BYTES};
use basaltgw_config::overlay::{LinkPolicy, OverlayPosition};
use basaltgw_config::parse_settings_file;
use basaltgw_hierarchy::SlowStart;

const SLOW_START: SlowStart = SlowStart { initial_share: 0.1, ramp_duration: 20_000.0 };
const VALID: &str = "\
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
    let settings = parse_settings_file("d/b.yaml", text, SLOW_START).map_err(|e| e.to_string())?;
    Ok(settings.fleet.expect("the section fleet"))
}

/// The error of the valid text with one replacement.
fn error(from: &str, to: &str) -> String {
    assert!(VALID.contains(from), "{from} is not in the text");
    read(&VALID.replace(from, to)).expect_err(to)
}

#[test]
fn absent_keys_have_defaults() {
    let fleet = read(VALID).expect("a fleet");
    assert_eq!((&*fleet.cluster, &*fleet.name.0, &*fleet.domain.machine), ("rig", "r1", "m1"));
    assert_eq!((fleet.replicas, fleet.shards, fleet.gather, &fleet.rules), (3, 16, false, &None));
    assert_eq!(fleet.replicated, ReplicatedKinds { executions: true, purges: true, tickets: true });
    assert_eq!(
        fleet.limits,
        FleetLimits { ring_entries: 8, max_frame_bytes: 8192, ..FleetLimits::default() }
    );
    assert_eq!((&*fleet.peers[1].domain.branch, fleet.peers[1].address.port()), ("south", 7103));
    let text = format!("{VALID}  holds: {{tickets: false}}\n  gather: true\n");
    let fleet = read(&text).expect("a fleet");
    assert_eq!((fleet.replicated.executions, fleet.replicated.tickets, fleet.gather), (true, false, true));
    assert_eq!(parse_settings_file("b.yaml", "{}", SLOW_START).expect("nothing").fleet, None);
}

/// The valid text with an overlay that has these keys.
fn with_overlay(keys: &str) -> String {
    VALID.replace(", frame_bytes: 8192", "") + &format!("  overlay: {{{keys}}}\n")
}

#[test]
fn overlay_is_off_by_default_and_positions_default_to_branch_and_machine() {
    let off = read(VALID).expect("a fleet");
    assert!(off.overlay.is_none() && off.peers.iter().all(|p| p.position.is_none()));
    let fleet = read(&with_overlay("")).expect("a fleet");
    let names =
        |p: &OverlayPosition| [&p.region, &p.zone, &p.site, &p.rack].map(|name| name.to_string()).join(" ");
    let overlay = fleet.overlay.as_ref().expect("an overlay");
    assert_eq!((names(&overlay.position), overlay.position.control), ("north north m1 m1".into(), false));
    assert_eq!(
        (overlay.batch_interval_ms, overlay.retention_ms, overlay.budget_bytes_per_s),
        (250.0, None, 20_000.0)
    );
    assert_eq!(fleet.peers[1].position.as_ref().map(names).as_deref(), Some("south south m1 m1"));
    let text = with_overlay("region: eu1, zone: z1, site: s1, rack: k1, control: true, batch_ms: 100")
        .replace("branch: north, machine: m2", "branch: north, machine: m2, overlay: {rack: k9}");
    let fleet = read(&text).expect("a fleet");
    let overlay = fleet.overlay.as_ref().expect("an overlay");
    assert_eq!(
        (names(&overlay.position), overlay.position.control, overlay.batch_interval_ms),
        ("eu1 z1 s1 k1".into(), true, 100.0)
    );
    assert_eq!(fleet.peers[0].position.as_ref().map(names).as_deref(), Some("north north m2 k9"));
    // A running router can't change its overlay.
    assert!(!off.equals_except_rules(&fleet));
}

#[test]
fn overlay_error_names_file_line_and_key() {
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
    for (more, expected) in cases {
        let text = read(&with_overlay(more)).expect_err(more);
        assert!(text.starts_with(&format!("d/b.yaml:{expected}")), "{more}: {text}");
    }
    let small = read(&with_overlay("").replace("ring: 8", "ring: 8, frame_bytes: 65599")).expect_err("small");
    let expected =
        "d/b.yaml:15: fleet.limits.frame_bytes: expected 65600 or more, for fleet.overlay, found 65599";
    assert_eq!(small, expected);
    let peer = |more: &str| {
        ("branch: north, machine: m2", format!("branch: north, machine: m2, overlay: {{{more}}}"))
    };
    let (from, to) = peer("rack: k1");
    let expected = "9: fleet.peers[0].overlay: expected the key fleet.overlay as well";
    assert!(error(from, &to).starts_with(&format!("d/b.yaml:{expected}")));
    for (more, expected) in [
        ("rack: 'k 1'", "9: fleet.peers[0].overlay.rack: expected 1 to 64 bytes"),
        ("batch_ms: 100", "9: fleet.peers[0].overlay: Additional properties"),
    ] {
        let (from, to) = peer(more);
        let text = read(&with_overlay("").replace(from, &to)).expect_err(more);
        assert!(text.starts_with(&format!("d/b.yaml:{expected}")), "{more}: {text}");
    }
}

#[test]
fn links_default_to_a_mesh() {
    let links = |keys: &str| read(&with_overlay(keys)).map(|f| f.overlay.expect("an overlay").links);
    for mesh in ["", "links: mesh"] {
        assert_eq!(links(mesh), Ok(LinkPolicy::Mesh), "{mesh}");
    }
    assert_eq!(links("links: standing"), Ok(LinkPolicy::Sparse { idle_timeout_ms: 10_000.0 }));
    assert_eq!(links("links: standing, idle_ms: 500"), Ok(LinkPolicy::Sparse { idle_timeout_ms: 500.0 }));
    for (more, expected) in [
        ("links: star", "16: fleet.overlay.links: \"star\" is not one of"),
        ("idle_ms: 500", "16: fleet.overlay.idle_ms: expected `links: standing` too"),
        ("links: mesh, idle_ms: 500", "16: fleet.overlay.idle_ms: expected `links: standing` too"),
        ("links: standing, idle_ms: 99", "16: fleet.overlay.idle_ms: 99 is less than"),
    ] {
        let text = links(more).expect_err(more);
        assert!(text.starts_with(&format!("d/b.yaml:{expected}")), "{more}: {text}");
    }
    let text = format!("{}  gather: true\n", with_overlay("links: standing"));
    let expected = "d/b.yaml:17: fleet.gather: expected false with `fleet.overlay.links: standing`";
    let text = read(&text).expect_err("gather");
    assert!(text.starts_with(expected), "{text}");
}

#[test]
fn peer_timeout_is_at_least_three_keepalives() {
    let limits = |text: &str| {
        read(&VALID.replace("ring: 8", text))
            .map(|f| (f.limits.keepalive_interval_ms, f.limits.peer_timeout_ms))
    };
    assert_eq!(limits("ring: 8"), Ok((250.0, 1_000.0)));
    assert_eq!(limits("alive_ms: 1250, silent_ms: 4000"), Ok((1_250.0, 4_000.0)));
    // The timeout may be raised alone, the keepalive interval may not.
    assert_eq!(limits("silent_ms: 4000"), Ok((250.0, 4_000.0)));
    let text = limits("alive_ms: 1250").expect_err("the timeout is too short");
    let expected = "fleet.limits.silent_ms: expected 3750 or more, three times limits.alive_ms, found 1000";
    assert!(text.starts_with("d/b.yaml:") && text.ends_with(expected), "{text}");
    let text = limits("alive_ms: 1250, silent_ms: 3749").expect_err("the timeout is too short");
    assert_eq!(text, format!("d/b.yaml:15: {}3749", expected.trim_end_matches("1000")));
}

#[test]
fn updates_are_retained_for_twice_the_purge_convergence_time() {
    let retention = |keys: &str, convergence_ms| {
        let fleet = read(&with_overlay(keys)).expect("a fleet");
        fleet.overlay.expect("an overlay").retention(convergence_ms)
    };
    assert_eq!(
        (retention("", 0.0), retention("", 60_000.0), retention("", 90_000.0)),
        (Ok(120_000.0), Ok(120_000.0), Ok(180_000.0))
    );
    assert_eq!(retention("keep_ms: 20000", 10_000.0), Ok(20_000.0));
    let expected =
        "fleet.overlay.keep_ms: expected 20002 or more, twice settings.family-info.purge-settles, found 20000";
    assert_eq!(retention("keep_ms: 20000", 10_001.0), Err(expected.into()));
}

#[test]
fn defaults_match_the_schema() {
    let schema: serde_json::Value =
        serde_json::from_str(include_str!("../../../deploy/basaltgw.schema.json")).expect("JSON");
    let limits = &schema["properties"]["fleet"]["properties"]["limits"]["properties"];
    let named = limits.as_object().expect("limits").iter();
    let all: String = named.map(|(k, v)| format!("    {k}: {}\n", v["default"])).collect();
    let text = VALID.replace("  limits: {ring: 8, frame_bytes: 8192}\n", &format!("  limits:\n{all}"));
    assert_eq!(read(&text).expect("a fleet").limits, FleetLimits::default());
}

#[test]
fn fleet_error_names_file_line_and_key() {
    let reachable =
        "expected an IP address that others can reach and a port but 0, as in 10.0.0.1:7101, found";
    let r2 = "address: 127.0.0.1:7102";
    let cases = [
        ("name: r1", "name: r 1", "3: fleet.name: expected 1 to 64 bytes of letters"),
        ("machine: m1\n  listen", "machine: m/1\n  listen", "5: fleet.machine: expected 1 to 64 bytes"),
        (":7101", ":0", &format!("6: fleet.listen: {reachable} \"127.0.0.1:0\"")),
        ("127.0.0.1:7101", "0.0.0.0:7101", &format!("6: fleet.listen: {reachable} \"0.0.0.0:7101\"")),
        ("127.0.0.1:7101", "localhost:7101", &format!("6: fleet.listen: {reachable} \"localhost:7101\"")),
        (r2, "address: 127.0.0.1:0", &format!("9: fleet.peers[0].address: {reachable}")),
        ("name: r2", "name: r1", "9: fleet.peers[0].name: r1 is already the name of the router itself"),
        ("name: r3", "name: r2", "10: fleet.peers[1].name: r2 is already the name of fleet.peers[0]"),
        ("7103", "7102", "11: fleet.peers[1].address: 127.0.0.1:7102 is already the address of r2"),
        (
            "7103",
            "7101",
            "11: fleet.peers[1].address: 127.0.0.1:7101 is already the address of the router itself",
        ),
        ("machine: m2", "machine: m1", "8: fleet.peers: expected 3 machines or more for 3 copies, found 2"),
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
    for (from, to, expected) in cases {
        let text = error(from, to);
        assert!(text.starts_with(&format!("d/b.yaml:{expected}")), "{to}: {text}");
    }
    let many: String = (0..1024)
        .map(|i| format!("    - {{name: n{i}, address: '10.0.0.1:{}', branch: b, machine: m{i}}}\n", i + 1))
        .collect();
    assert!(error("  peers:\n", &format!("  peers:\n{many}")).starts_with("d/b.yaml:8: fleet.peers: "));
}

#[test]
fn rules_file_is_relative_to_the_settings_file_and_bounded() {
    let folder = std::env::temp_dir().join(format!("basaltgw-fleet-{}", std::process::id()));
    std::fs::create_dir_all(folder.join("sub")).expect("a folder");
    let (file, rules) = (folder.join("b.yaml").display().to_string(), folder.join("p.rules"));
    let text = |rules_file: &str| format!("{VALID}  rules: {rules_file}\n");
    let parse = |rules_file| {
        let settings = parse_settings_file(&file, &text(rules_file), SLOW_START);
        settings.map(|settings| settings.fleet.expect("the section fleet"))
    };
    std::fs::write(&rules, "one\n").expect("written");
    let one = parse("p.rules").expect("a fleet");
    std::fs::write(&rules, "two\n").expect("written");
    let two = parse("p.rules").expect("a fleet");
    std::fs::write(&rules, vec![b'x'; MAX_RULES_FILE_BYTES as usize + 1]).expect("written");
    let too_long = parse("p.rules").expect_err("too long").to_string();
    std::fs::write(&rules, [0xff, 0xfe]).expect("written");
    let not_text = parse("p.rules").expect_err("not UTF-8").to_string();
    let folder_error = parse("sub").expect_err("a folder").to_string();
    std::fs::remove_dir_all(&folder).expect("removed");
    let placement = one.rules.as_ref().expect("placement rules");
    assert_eq!((placement.text.as_str(), &placement.file), ("one\n", &rules));
    assert!(
        too_long.contains(":16: fleet.rules:") && too_long.contains("at most 1048576 bytes"),
        "{too_long}"
    );
    assert!(not_text.contains(":16: fleet.rules:") && not_text.contains("UTF-8"), "{not_text}");
    assert!(
        folder_error.contains(":16: fleet.rules:") && folder_error.contains("expected a file"),
        "{folder_error}"
    );
    // A running router applies other rules, and no other change.
    assert!(one != two && one.equals_except_rules(&two));
    assert!(one.equals_except_rules(&Fleet { rules: None, ..one.clone() }));
    assert!(!one.equals_except_rules(&Fleet { shards: 17, ..two.clone() }));
    assert!(!one.equals_except_rules(&Fleet { peers: Vec::new(), ..two }));
}
