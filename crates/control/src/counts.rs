//! Counters of the control plane, printed as the `name=value` pairs that operators read.
//!
//! The printed names are part of the operators' interface and differ from some field names.

use std::fmt;

/// Counters and gauges since the start of the process.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Gauge: connected routers. Printed as `peers_up`.
    pub connected_peers: u64,
    /// Gauge: version of the table in effect; 0 without a table.
    pub table_version: u64,
    /// Gauge: epoch of the shard map in effect; 0 without a table.
    pub table_epoch: u64,
    /// Durable commits.
    pub commits: u64,
    /// Failed commits.
    pub commits_failed: u64,
    /// Messages that were not sent: the link was down or a queue was full. Printed as `unsent`.
    pub failed_sends: u64,
    /// New purges learned from other routers.
    pub purges_from_peers: u64,
    /// Register changes without a waiting requester that were unavailable. Printed as `unkept_unasked`.
    pub unavailable_unawaited: u64,
    /// Background changes that were abandoned, including those pending at shutdown. Printed as `pursuits_dropped`.
    pub background_changes_abandoned: u64,
    /// Malformed or unexpected messages of peers. Printed as `peers_unreadable`.
    pub unreadable: u64,
    /// Adopted tables.
    pub tables_adopted: u64,
    /// Withdrawn table proposals. Printed as `tables_taken_back`.
    pub tables_withdrawn: u64,
    /// Rejected table proposals. Printed as `tables_refused`.
    pub tables_rejected: u64,
    /// Members replaced after a restart with another data folder.
    pub members_replaced: u64,
    /// Counters of the registers as `name=value` pairs.
    pub registers: String,
    /// Counters of the overlay and of persistent links as `name=value` pairs; empty without an overlay.
    pub overlay: String,
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "peers_up={} ", self.connected_peers)?;
        write!(f, "table_version={} table_epoch={} ", self.table_version, self.table_epoch)?;
        write!(f, "commits={} commits_failed={} ", self.commits, self.commits_failed)?;
        write!(f, "unsent={} ", self.failed_sends)?;
        write!(f, "purges_from_peers={} ", self.purges_from_peers)?;
        write!(f, "tables_adopted={} tables_taken_back={} ", self.tables_adopted, self.tables_withdrawn)?;
        write!(f, "unkept_unasked={} ", self.unavailable_unawaited)?;
        write!(f, "pursuits_dropped={} ", self.background_changes_abandoned)?;
        write!(f, "peers_unreadable={} ", self.unreadable)?;
        write!(f, "tables_refused={} members_replaced={} ", self.tables_rejected, self.members_replaced)?;
        f.write_str(&self.registers)?;
        let separator = if self.overlay.is_empty() { "" } else { " " };
        write!(f, "{separator}{}", self.overlay)
    }
}
