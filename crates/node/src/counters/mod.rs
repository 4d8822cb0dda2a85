//! The counters of a router, in groups. The log line of counters and the registry use the same names.

mod groups;
mod kinds;

pub use groups::{Attempts, Batches, ChangeLog, Clients, Conns, Files, Memory, Tree, Violations};
pub use kinds::{Count, Gauge};

use crate::changelog::reconnect_reason::ReconnectReason;
use crate::clients::Reply;
use crate::invariants::{Invariants, Violation};
use crate::tree::TreeCounters;
use basaltgw::api::AttemptResult;
use kinds::Value;
use prometheus_client::registry::Registry;
use std::fmt;

/// All counters, since the start of the process.
#[derive(Debug, Default)]
pub struct Counters {
    /// Clients, their requests and their answers.
    pub clients: Clients,
    /// Attempts and their results.
    pub attempts: Attempts,
    /// Connections to servers.
    pub conns: Conns,
    /// The change log and its events.
    pub log: ChangeLog,
    /// The configuration and the snapshot.
    pub files: Files,
    /// Memory.
    pub memory: Memory,
    /// Plans of the cache tree.
    pub tree: Tree,
    /// Batches of inputs that the owner handled.
    pub batches: Batches,
    /// Violated invariants, and other counts of the checkers.
    pub violations: Violations,
}

impl Attempts {
    /// Counts the result of an attempt.
    pub fn count_result(&self, result: AttemptResult) {
        let count = match result {
            AttemptResult::Served => &self.served,
            AttemptResult::Error => &self.error,
            AttemptResult::Rejected => &self.rejected,
            AttemptResult::TimedOut => &self.timed_out,
            AttemptResult::NoConnection => &self.no_connection,
            AttemptResult::ConnectionLost => &self.connection_lost,
            AttemptResult::Cancelled => &self.cancelled,
            AttemptResult::NotSent => &self.not_sent,
            AttemptResult::CacheMiss => &self.cache_miss,
        };
        count.increment();
    }
}

impl ChangeLog {
    /// Counts a second connection to the change log by its reason.
    pub fn count_standby(&self, reason: ReconnectReason) {
        match reason {
            ReconnectReason::Silent => &self.standbys_for_silence,
            ReconnectReason::MissingEvents => &self.standbys_for_missing_events,
        }
        .increment();
    }
}

impl Clients {
    /// Counts an answer to a client.
    pub fn count_reply(&self, reply: &Reply<'_>) {
        let count = match reply {
            Reply::Served(_) => &self.served,
            Reply::NotModified => &self.not_modified,
            Reply::Rejected(_) => &self.rejected,
            Reply::Failed => &self.failed,
        };
        count.increment();
    }

    /// Counts a request whose client no longer waited for it when the owner took it.
    pub fn count_cancelled_early(&self) {
        [&self.requests, &self.cancelled, &self.cancelled_early].into_iter().for_each(Count::increment);
    }
}

impl Tree {
    /// Copies the counters that the cache tree's module keeps.
    pub fn copy_from(&self, source: &TreeCounters) {
        self.plans.set(source.plans);
        self.plans_rejected.set(source.plans_rejected);
        self.changes_completed.set(source.changes_completed);
        self.loops.set(source.loops);
        self.pairs_disabled.set(source.pairs_disabled);
    }
}

impl Violations {
    /// Copies the counts of the invariant checker.
    pub fn copy_from(&self, invariants: &Invariants) {
        for violation in Violation::ALL {
            let count = match violation {
                Violation::SecondResponse => &self.second_response,
                Violation::AttemptAfterClientLeft => &self.attempt_after_client_left,
                Violation::RepeatAfterExecution => &self.repeat_after_execution,
                Violation::RejectionAfterExecution => &self.rejection_after_execution,
                Violation::SentToDrained => &self.sent_to_drained,
                Violation::DeadlineExceeded => &self.deadline_exceeded,
                Violation::ClosedWithOpenRequest => &self.closed_with_open_request,
                Violation::SlowStartExceeded => &self.slow_start_exceeded,
            };
            count.set(invariants.count(violation));
        }
    }
}

impl Counters {
    /// A registry of all counters, which other threads may read. `*_now`, `held`, `conns`, `closes_*` and the plans' counters have the
    /// values of the time when the log line was last written.
    pub fn registry(&self) -> Registry {
        let mut registry = Registry::with_prefix("basaltgw");
        let Self { clients, attempts, conns, log, files, memory, tree, batches, violations } = self;
        clients.register(&mut registry);
        attempts.register(&mut registry);
        conns.register(&mut registry);
        log.register(&mut registry);
        files.register(&mut registry);
        memory.register(&mut registry);
        tree.register(&mut registry);
        batches.register(&mut registry);
        violations.register(&mut registry);
        registry
    }

    /// The names and values of the log line, in its order.
    fn named_values(&self) -> Vec<(&'static str, Value)> {
        let Self { clients, attempts, conns, log, files, memory, tree, batches, violations } = self;
        let groups = [
            clients.named_values(),
            attempts.named_values(),
            conns.named_values(),
            log.named_values(),
            files.named_values(),
            memory.named_values(),
            tree.named_values(),
            batches.named_values(),
            violations.named_values(),
        ];
        let mut values = groups.concat();
        // `unheeded` has its place in the line outside its group, since the order of the line is fixed.
        let position = |name| values.iter().position(|(n, _)| *n == name);
        if let (Some(from), Some(to)) = (position("unheeded"), position("log_lost")) {
            values[from..to].rotate_left(1);
        }
        values
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, (name, value)) in self.named_values().into_iter().enumerate() {
            let space = if at == 0 { "" } else { " " };
            write!(f, "{space}{name}={value}")?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
