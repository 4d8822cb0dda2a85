//! Counters in the form that operators read.

use crate::network::{Disk, Network};
use basaltgw_control::Counts;

#[test]
fn counters_are_printed_with_the_documented_names() {
    let text =
        "peers_up=0 table_version=0 table_epoch=0 commits=0 commits_failed=0 unsent=0 purges_from_peers=0 \
                tables_adopted=0 tables_taken_back=0 unkept_unasked=0 pursuits_dropped=0 peers_unreadable=0 \
                tables_refused=0 members_replaced=0 ";
    assert_eq!(Counts::default().to_string(), text);
    let mut net = Network::bootstrapped(Disk::Commits(0.0));
    net.nodes[0].control.refresh_counts();
    let text = net.nodes[0].control.counts().to_string();
    let names: Vec<&str> = text.split(' ').filter_map(|w| w.split('=').next()).collect();
    let last = ["holds_rounds", "holds_rounds_short", "holds_messages", "holds_batches", "holds_records"];
    assert_eq!(names[14..17], ["holds", "holds_kept", "holds_stood"]);
    assert!(names.ends_with(&last) && !text.ends_with(' '), "{text}");
}
