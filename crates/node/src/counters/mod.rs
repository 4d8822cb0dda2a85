//! What a router took in, sent and answered, by who is counted.

mod groups;
mod kinds;

pub use groups::{Attempts, Batches, ChangeLog, Clients, Conns, Files, Memory, Tree, Violations};
pub use kinds::{Count, Level};

use crate::changelog::Doubt;
use crate::clients::Reply;
use crate::invariants::{Invariants, Violation};
use crate::tree::TreeCounters;
use basaltgw::api::AttemptResult;
use kinds::Value;
use prometheus_client::registry::Registry;
use std::fmt;

/// Counts since the start.
#[derive(Debug, Default)]
pub struct Counters {
    /// Clients, their requests and their answers.
    pub clients: Clients,
    /// Attempts, and their ends.
    pub attempts: Attempts,
    /// Connections to servers.
    pub conns: Conns,
    /// The change log, and what it told.
    pub log: ChangeLog,
    /// The configuration, and what an earlier life has learnt.
    pub files: Files,
    /// Memory.
    pub memory: Memory,
    /// Plans of the tree.
    pub tree: Tree,
    /// Batches given to the module.
    pub batches: Batches,
    /// What broke a rule.
    pub violations: Violations,
}

impl Attempts {
    /// Counts the end of an attempt.
    pub fn ended(&self, end: AttemptResult) {
        let count = match end {
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
        count.one();
    }
}

impl ChangeLog {
    /// Counts a second connection, by its cause.
    pub fn doubted(&self, doubt: Doubt) {
        match doubt {
            Doubt::Quiet => &self.quiet,
            Doubt::Behind => &self.behind,
        }
        .one();
    }
}

impl Clients {
    /// Counts an answer to a client.
    pub fn answered(&self, reply: &Reply<'_>) {
        let count = match reply {
            Reply::Served(_) => &self.served,
            Reply::Same => &self.same,
            Reply::Refused(_) => &self.refused,
            Reply::Failed => &self.failed,
        };
        count.one();
    }
}

impl Tree {
    /// Takes over what the tree has counted itself.
    pub fn reached(&self, counted: &TreeCounters) {
        self.offered.reached(counted.offered);
        self.refused.reached(counted.refused);
        self.ended.reached(counted.ended);
        self.loops.reached(counted.loops);
        self.set_aside.reached(counted.set_aside);
    }
}

impl Violations {
    /// Takes over what the checker has counted.
    pub fn reached(&self, invariants: &Invariants) {
        for violation in Violation::ALL {
            let count = match violation {
                Violation::SecondAnswer => &self.second_answer,
                Violation::AttemptAfterClientLeft => &self.attempt_after_client_left,
                Violation::RepeatAfterExecution => &self.repeat_after_execution,
                Violation::RefusalAfterExecution => &self.refusal_after_execution,
                Violation::SentToDrained => &self.sent_to_drained,
                Violation::DeadlineExceeded => &self.deadline_exceeded,
                Violation::ClosedOverRequest => &self.closed_over_request,
                Violation::SlowStartExceeded => &self.slow_start_exceeded,
            };
            count.reached(invariants.count(violation));
        }
    }
}

impl Counters {
    /// All of them for whoever reads them from another thread, under their words in the line. What is `_now`, `held`, `conns`, `closes_` and the
    /// plans' is as of when the line was last asked for.
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

    /// The words of the line and their values, in its order.
    fn words(&self) -> Vec<(&'static str, Value)> {
        let Self { clients, attempts, conns, log, files, memory, tree, batches, violations } = self;
        let groups = [
            clients.words(),
            attempts.words(),
            conns.words(),
            log.words(),
            files.words(),
            memory.words(),
            tree.words(),
            batches.words(),
            violations.words(),
        ];
        let mut words = groups.concat();
        // The one that stands outside its group: those who read the line are used to it there.
        let at = |word| words.iter().position(|(w, _)| *w == word);
        if let (Some(from), Some(to)) = (at("unheeded"), at("log_lost")) {
            words[from..to].rotate_left(1);
        }
        words
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, (word, value)) in self.words().into_iter().enumerate() {
            let space = if at == 0 { "" } else { " " };
            write!(f, "{space}{word}={value}")?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_line_keeps_its_words_and_their_order() {
        let counters = Counters::default();
        counters.batches.longest.raise(1.236);
        counters.batches.longest.raise(0.5);
        counters.attempts.unheeded.more(3);
        counters.attempts.ended(AttemptResult::CacheMiss);
        counters.log.lost.one();
        counters.clients.answered(&Reply::Same);
        assert_eq!(
            counters.to_string(),
            "clients=0 clients_now=0 requests=0 closed_unreadable=0 closed_silent=0 closed_unfinished=0 \
             closed_idle=0 closed_for_room=0 closed_at_end=0 closed_broken_rule=0 unreadable=0 left=0 left_early=0 served=0 same=1 \
             refused=0 failed=0 turned_away=0 taken_back=0 withheld=0 closes_crossed=0 closes_unread=0 \
             closes_lingered=0 closed_stalled=0 attempts=0 attempts_served=0 attempts_error=0 \
             attempts_full=0 attempts_late=0 attempts_no_connection=0 attempts_broken=0 attempts_cancelled=0 \
             attempts_not_sent=0 attempts_miss=1 late_answers=0 window_over=0 conns=0 conns_now=0 conns_failed=0 \
             conns_unreadable=0 conns_unfinished=0 conns_shortages=0 servers_now=0 lists=0 purges=0 unheeded=3 log_lost=1 log_quiet=0 \
             log_behind=0 reloads=0 reloads_refused=0 carried=0 held=0 held_most=0 plans=0 plans_refused=0 plans_ended=0 loops=0 \
             loops_set_aside=0 batches=0 batch_longest_ms=1.24 violated_second_answer=0 \
             violated_attempt_after_client_left=0 violated_repeat_after_execution=0 violated_refusal_after_execution=0 \
             violated_sent_to_drained=0 violated_deadline_exceeded=0 violated_closed_over_request=0 \
             violated_slow_start_exceeded=0 slow_start_highest_share=0.00 process_stops=0 log_dropped=0"
        );
    }

    #[test]
    fn a_registry_on_another_thread_reads_each_word_with_its_value() {
        let counters = Counters::default();
        let registry = counters.registry();
        counters.clients.requests.more(7);
        counters.memory.held.set(4096);
        let read = std::thread::spawn(move || {
            let mut text = String::new();
            prometheus_client::encoding::text::encode(&mut text, &registry).map(|()| text)
        });
        let text = read.join().expect("a thread that ends").expect("text");
        let value = |name: &str| {
            let found = text.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(' '));
            found.and_then(|n| n.parse::<f64>().ok())
        };
        for (word, told) in counters.words() {
            let name = format!("basaltgw_{word}");
            let read = value(&name).or_else(|| value(&format!("{name}_total")));
            let told = match told {
                Value::Whole(n) => n as f64,
                Value::Millis(ms) => ms,
            };
            assert_eq!(read, Some(told), "{word}");
        }
    }
}
