//! Tests of the snapshot file's text and of the hashes that routers share, compared with constants. They guard against a change of the
//! format or a hash without a new version: a process would reject the snapshot of the one before.

use basaltgw::api::{GroupId, ObjectId, ServerId};
use basaltgw::hash::{fnv1a, mix};
use basaltgw::routing::snapshot::{PurgeSnapshot, SendingTimeSnapshot, ServerSnapshot, Snapshot};
use basaltgw::routing::PurgeTarget;
use basaltgw_config::snapshot::{read, write};
use std::sync::Arc;

const EXPECTED_FILE: &str = concat!(
    "basaltgw-learnt 1 2f85c323d6d3d5d6\n",
    r#"{"purges":[{"age_ms":2000.0,"group":null,"object":"18446744073709551615"},"#,
    r#"{"age_ms":3000.0,"group":7,"object":null}],"#,
    r#""sending":[{"answers":20,"class":"pages","ms":310.0}],"#,
    r#""servers":[{"cold_for_ms":1000.0,"cut":-0.5,"id":"s-1","lag":0.25,"listed_start_ms":5000.0,"out":true},"#,
    r#"{"cold_for_ms":null,"cut":-0.5,"id":"s-2","lag":null,"listed_start_ms":5000.0,"out":false}],"#,
    r#""written_ms":10000.0}"#,
    "\n"
);

#[test]
fn the_file_has_the_text_written_down() {
    let server = |id: &str, ejected, latency_ratio_log, warmup_started| ServerSnapshot {
        id: ServerId(Arc::from(id)),
        listed_start: Some(5000.0),
        weight_penalty_log: -0.5,
        latency_ratio_log,
        ejected,
        warmup_started,
    };
    let snapshot = Snapshot {
        servers: vec![server("s-1", true, Some(0.25), Some(9000.0)), server("s-2", false, None, None)],
        sending_times: vec![SendingTimeSnapshot { class: "pages".into(), mean: 310.0, samples: 20 }],
        purges: vec![
            PurgeSnapshot { target: PurgeTarget::Object(ObjectId(u64::MAX)), purged_at: 8000.0 },
            PurgeSnapshot { target: PurgeTarget::Group(GroupId(7)), purged_at: 7000.0 },
        ],
    };
    assert_eq!(write(&snapshot, 10_000.0), EXPECTED_FILE);
    assert_eq!(read(EXPECTED_FILE, 12_000.0, 5000.0), Ok(snapshot));
}

#[test]
fn hashes_that_routers_share_are_the_ones_written_down() {
    assert_eq!(format!("{:016x}", fnv1a("127.0.0.1:7000")), "91dfcee94b15723b");
    assert_eq!(format!("{:016x}", mix(1, 2)), "beeb8da1658eec67");
}
