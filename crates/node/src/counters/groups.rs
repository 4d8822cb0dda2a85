//! The groups of counters.

use super::kinds::{group, Count, Level, Metric, Value};
use prometheus_client::registry::Registry;

group! {
    /// Clients, their requests and their answers.
    Clients {
        /// Clients that connected.
        connected: Count = "clients",
        /// Clients that are connected.
        now: Level<u64> = "clients_now",
        /// Requests accepted.
        requests: Count = "requests",
        /// Clients' connections closed for malformed bytes.
        closed_unreadable: Count = "closed_unreadable",
        /// Clients' connections closed without a first message in time.
        closed_silent: Count = "closed_silent",
        /// Clients' connections closed for an incomplete message.
        closed_unfinished: Count = "closed_unfinished",
        /// Clients' connections closed after the idle timeout.
        closed_idle: Count = "closed_idle",
        /// Clients' connections closed to free their slot.
        closed_for_room: Count = "closed_for_room",
        /// Clients' connections closed at shutdown.
        closed_at_end: Count = "closed_at_end",
        /// Clients' connections closed for a repeated tag, or too many open, cancelled or malformed requests.
        closed_broken_rule: Count = "closed_broken_rule",
        /// Malformed messages of clients.
        unreadable: Count = "unreadable",
        /// Requests cancelled by clients or closed with their connection.
        left: Count = "left",
        /// Of `left`: cancelled before they were accepted.
        left_early: Count = "left_early",
        /// Answers: served.
        served: Count = "served",
        /// Answers: the client's copy is current.
        same: Count = "same",
        /// Answers: rejected.
        refused: Count = "refused",
        /// Answers: failed.
        failed: Count = "failed",
        /// Requests rejected before the decision module, for the number of open ones.
        turned_away: Count = "turned_away",
        /// Answers recalled before their first byte, since the client had cancelled.
        taken_back: Count = "taken_back",
        /// Served answers replaced by a failure under memory pressure.
        withheld: Count = "withheld",
        /// Closes of idle connections abandoned, since a message of the client crossed them.
        closes_crossed: Count = "closes_crossed",
        /// Closes of idle connections after which unread bytes came.
        closes_unread: Count = "closes_unread",
        /// Lingering closes that reached their bound in time or bytes.
        closes_lingered: Count = "closes_lingered",
        /// Clients' connections closed after the write timeout.
        closed_stalled: Count = "closed_stalled",
    }
}

group! {
    /// Attempts and their results.
    Attempts {
        /// Attempts made.
        made: Count = "attempts",
        /// Attempts that were served.
        served: Count = "attempts_served",
        /// Attempts that ended with an error.
        error: Count = "attempts_error",
        /// Attempts that were rejected.
        full: Count = "attempts_full",
        /// Attempts that timed out.
        late: Count = "attempts_late",
        /// Attempts without a connection.
        no_connection: Count = "attempts_no_connection",
        /// Attempts whose connection was lost.
        broken: Count = "attempts_broken",
        /// Attempts that were cancelled.
        cancelled: Count = "attempts_cancelled",
        /// Attempts that were not completely written.
        not_sent: Count = "attempts_not_sent",
        /// Attempts whose source lacks the object.
        miss: Count = "attempts_miss",
        /// Answers of servers without an open attempt.
        late_answers: Count = "late_answers",
        /// Attempts whose first byte was not written in time.
        window_over: Count = "window_over",
        /// Cancelled attempts whose `abort` was not confirmed in time.
        unheeded: Count = "unheeded",
    }
}

group! {
    /// Connections to servers.
    Conns {
        /// Connections to servers opened.
        opened: Count = "conns",
        /// Connections to servers that are open.
        now: Level<u64> = "conns_now",
        /// Connections to servers that never came up.
        failed: Count = "conns_failed",
        /// Connections to servers closed for malformed bytes.
        unreadable: Count = "conns_unreadable",
        /// Connections to servers closed for an incomplete answer.
        unfinished: Count = "conns_unfinished",
        /// Connections to servers that failed for a resource shortage of this machine.
        shortages: Count = "conns_shortages",
    }
}

group! {
    /// The change log and its events.
    ChangeLog {
        /// Servers that are listed.
        servers_now: Level<u64> = "servers_now",
        /// Endpoint lists received.
        lists: Count = "lists",
        /// Purges received.
        purges: Count = "purges",
        /// Connections to the change log that ended for any reason.
        lost: Count = "log_lost",
        /// Second connections to the change log for want of frames.
        quiet: Count = "log_quiet",
        /// Second connections to the change log for missing events.
        behind: Count = "log_behind",
    }
}

group! {
    /// The configuration and the snapshot.
    Files {
        /// Configurations reloaded.
        reloads: Count = "reloads",
        /// Reloads that were rejected.
        reloads_refused: Count = "reloads_refused",
        /// Servers restored from the snapshot.
        carried: Count = "carried",
    }
}

group! {
    /// Memory.
    Memory {
        /// Bytes buffered by messages.
        held: Level<u64> = "held",
        /// The most bytes buffered by messages so far.
        held_most: Level<u64> = "held_most",
    }
}

group! {
    /// Plans of the cache tree.
    Tree {
        /// Plans read.
        offered: Count = "plans",
        /// Plans rejected.
        refused: Count = "plans_refused",
        /// Topology changes completed.
        ended: Count = "plans_ended",
        /// Fill loops that caches detected.
        loops: Count = "loops",
        /// Pairs of cache and source disabled for a loop.
        set_aside: Count = "loops_set_aside",
    }
}

group! {
    /// Violated invariants, by name; see `invariants`.
    Violations {
        /// Answers to requests that were not open.
        second_answer: Count = "violated_second_answer",
        /// Attempts that began after their client had left.
        attempt_after_client_left: Count = "violated_attempt_after_client_left",
        /// Non-idempotent requests retried that may have been executed.
        repeat_after_execution: Count = "violated_repeat_after_execution",
        /// Non-idempotent requests rejected that may have been executed.
        refusal_after_execution: Count = "violated_refusal_after_execution",
        /// Attempts sent to a draining or removed server.
        sent_to_drained: Count = "violated_sent_to_drained",
        /// Attempts with a longer time-out than the client had left.
        deadline_exceeded: Count = "violated_deadline_exceeded",
        /// Clients' connections closed with an unanswered request.
        closed_over_request: Count = "violated_closed_over_request",
        /// Sends to a server in slow start beyond the budget of all routers.
        slow_start_exceeded: Count = "violated_slow_start_exceeded",
        /// The highest part of the slow-start budget that this router sent to a server.
        slow_start_highest: Level<f64> = "slow_start_highest_share",
        /// Pauses of the process; not violations themselves.
        stops: Count = "process_stops",
        /// Log lines dropped, since standard error did not take them.
        log_dropped: Count = "log_dropped",
    }
}

group! {
    /// Batches given to the decision module.
    Batches {
        /// Batches given to the decision module.
        given: Count = "batches",
        /// The longest batch, in milliseconds.
        longest: Level<f64> = "batch_longest_ms",
    }
}
