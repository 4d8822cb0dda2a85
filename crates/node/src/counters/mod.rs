//! Counters of a router, in groups. The line of counters and the registry use the same names.

mod groups;
mod kinds;

pub use groups::{Attempts, Batches, ChangeLog, Clients, Conns, Files, Memory, Tree, Violations};
pub use kinds::{Count, Level};

use crate::changelog::reconnect_reason::ReconnectReason;
use crate::clients::Reply;
use crate::invariants::{Invariants, Violation};
use crate::tree::TreeCounters;
use basaltgw::api::AttemptResult;
use kinds::Value;
use prometheus_client::registry::Registry;
use std::fmt;

/// Counters since the start.
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
    /// Plans of the tree.
    pub tree: Tree,
    /// Batches given to the module.
    pub batches: Batches,
    /// Violated invariants.
    pub violations: Violations,
}

impl Attempts {
    /// Counts the result of an attempt.
    pub fn ended(&self, result: AttemptResult) {
        let count = match result {
            AttemptResult::Served => &self.served,
            AttemptResult::Error => &self.error,
            AttemptResult::Rejected => &self.full,
            AttemptResult::TimedOut => &self.late,
            AttemptResult::NoConnection => &self.no_connection,
            AttemptResult::ConnectionLost => &self.broken,
            AttemptResult::Cancelled => &self.cancelled,
            AttemptResult::NotSent => &self.not_sent,
            AttemptResult::CacheMiss => &self.miss,
        };
        count.increment();
    }
}

impl ChangeLog {
    /// Counts a second connection by its reason.
    pub fn standby_opened(&self, reason: ReconnectReason) {
        match reason {
            ReconnectReason::Silent => &self.quiet,
            ReconnectReason::MissingEvents => &self.behind,
        }
        .increment();
    }
}

impl Clients {
    /// Counts an answer to a client.
    pub fn answered(&self, reply: &Reply<'_>) {
        let count = match reply {
            Reply::Served(_) => &self.served,
            Reply::NotModified => &self.same,
            Reply::Rejected(_) => &self.refused,
            Reply::Failed => &self.failed,
        };
        count.increment();
    }
}

impl Tree {
    /// Copies the tree's own counters.
    pub fn reached(&self, counted: &TreeCounters) {
        self.offered.set(counted.offered);
        self.refused.set(counted.refused);
        self.ended.set(counted.ended);
        self.loops.set(counted.loops);
        self.set_aside.set(counted.set_aside);
    }
}

impl Violations {
    /// Copies the counts of the invariant checker.
    pub fn reached(&self, invariants: &Invariants) {
        for violation in Violation::ALL {
            let count = match violation {
                Violation::SecondResponse => &self.second_answer,
                Violation::AttemptAfterClientLeft => &self.attempt_after_client_left,
                Violation::RepeatAfterExecution => &self.repeat_after_execution,
                Violation::RejectionAfterExecution => &self.refusal_after_execution,
                Violation::SentToDrained => &self.sent_to_drained,
                Violation::DeadlineExceeded => &self.deadline_exceeded,
                Violation::ClosedWithOpenRequest => &self.closed_over_request,
                Violation::SlowStartExceeded => &self.slow_start_exceeded,
            };
            count.set(invariants.count(violation));
        }
    }
}

impl Counters {
    /// A registry of all counters that other threads may read. `*_now`, `held`, `conns`, `closes_*` and the plans' counters are as of when the
    /// line was last logged.
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

    /// The names and values of the line, in its order.
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
        // `unheeded` keeps its place in the line, outside its group.
        let at = |name| values.iter().position(|(n, _)| *n == name);
        if let (Some(from), Some(to)) = (at("unheeded"), at("log_lost")) {
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
