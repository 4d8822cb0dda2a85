//! The groups of counters. Each doc comment is also the metric's help text in the registry; the strings are the names that operators read.

use super::kinds::{group, Count, Gauge, Metric, Value};
use prometheus_client::registry::Registry;

group! {
    /// Clients, their requests and their answers.
    Clients {
        /// Clients that connected.
        connected: Count = "clients",
        /// Clients that are connected.
        connected_now: Gauge<u64> = "clients_now",
        /// Requests accepted.
        requests: Count = "requests",
        /// Clients' connections closed for malformed bytes.
        closed_malformed: Count = "closed_unreadable",
        /// Clients' connections closed without a first message in time.
        closed_no_first_message: Count = "closed_silent",
        /// Clients' connections closed for an incomplete message.
        closed_incomplete: Count = "closed_unfinished",
        /// Clients' connections closed after the idle timeout.
        closed_idle: Count = "closed_idle",
        /// Clients' connections closed to free their slot.
        closed_for_slot: Count = "closed_for_room",
        /// Clients' connections closed at shutdown.
        closed_at_shutdown: Count = "closed_at_end",
        /// Clients' connections closed for a repeated tag, or for too many open, cancelled or malformed requests.
        closed_for_misuse: Count = "closed_broken_rule",
        /// Malformed messages of clients.
        malformed: Count = "unreadable",
        /// Requests cancelled by clients or closed with their connection.
        cancelled: Count = "left",
        /// Requests cancelled before they were accepted; counted among the cancelled ones too.
        cancelled_early: Count = "left_early",
        /// Answers: served.
        served: Count = "served",
        /// Answers: the client's copy is current.
        not_modified: Count = "same",
        /// Answers: rejected.
        rejected: Count = "refused",
        /// Answers: failed.
        failed: Count = "failed",
        /// Requests rejected without routing, since too many were open.
        rejected_at_capacity: Count = "turned_away",
        /// Requests rejected without routing, since messages used too much memory; counted among the rejected ones too.
        rejected_for_memory: Count = "refused_for_memory",
        /// Requests rejected without routing, since the process shuts down; counted among the rejected ones too.
        rejected_at_shutdown: Count = "refused_at_end",
        /// Requests rejected without routing, since their client had cancelled too many early; counted among the rejected ones too.
        rejected_for_misuse: Count = "refused_for_misuse",
        /// Requests whose body was discarded as it arrived; counted among those rejected for want of memory too.
        bodies_discarded: Count = "bodies_discarded",
        /// Requests failed since an earlier one under their id may have been executed.
        reused_ids: Count = "ids_again",
        /// Cancellations of tags under which no request is open and no answer is unsent.
        cancellations_without_effect: Count = "undo_unknown",
        /// Answers recalled before their first byte, since the client had cancelled.
        recalled: Count = "taken_back",
        /// Served answers replaced by a failure under memory pressure.
        failed_for_memory: Count = "withheld",
        /// Closes of idle connections that were abandoned, since a message of the client crossed them.
        closes_crossed: Count = "closes_crossed",
        /// Closes of idle connections after which the client sent bytes.
        closes_unread: Count = "closes_unread",
        /// Lingering closes that reached their limit in time or bytes.
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
        rejected: Count = "attempts_full",
        /// Attempts that timed out.
        timed_out: Count = "attempts_late",
        /// Attempts without a connection.
        no_connection: Count = "attempts_no_connection",
        /// Attempts whose connection was lost.
        connection_lost: Count = "attempts_broken",
        /// Attempts that were cancelled.
        cancelled: Count = "attempts_cancelled",
        /// Attempts that were not completely written.
        not_sent: Count = "attempts_not_sent",
        /// Attempts whose fill source lacks the object.
        cache_miss: Count = "attempts_miss",
        /// Answers of servers to no open attempt.
        late_answers: Count = "late_answers",
        /// Attempts whose first byte was not written in time.
        start_window_closed: Count = "window_over",
        /// Cancelled attempts whose `abort` was not confirmed in time.
        abort_unconfirmed: Count = "unheeded",
    }
}

group! {
    /// Connections to servers.
    Conns {
        /// Connections to servers opened.
        opened: Count = "conns",
        /// Connections to servers that are open.
        open_now: Gauge<u64> = "conns_now",
        /// Connections to servers that were not established.
        failed: Count = "conns_failed",
        /// Connections to servers closed for malformed bytes.
        malformed: Count = "conns_unreadable",
        /// Connections to servers closed for an incomplete answer.
        incomplete: Count = "conns_unfinished",
        /// Connections to servers that failed since this machine lacked a resource.
        local_shortages: Count = "conns_shortages",
    }
}

group! {
    /// The change log and its events.
    ChangeLog {
        /// Servers that are listed.
        servers_now: Gauge<u64> = "servers_now",
        /// Endpoint lists received.
        lists: Count = "lists",
        /// Servers removed since another one was listed at their address.
        addresses_taken: Count = "addresses_taken",
        /// Purges received.
        purges: Count = "purges",
        /// Connections to the change log that ended for any reason.
        connections_lost: Count = "log_lost",
        /// Second connections to the change log, opened since no frame was received in time.
        standbys_for_silence: Count = "log_quiet",
        /// Second connections to the change log, opened since events were missing.
        standbys_for_missing_events: Count = "log_behind",
    }
}

group! {
    /// The configuration and the snapshot.
    Files {
        /// Configurations reloaded.
        reloads: Count = "reloads",
        /// Reloads that were rejected.
        reloads_rejected: Count = "reloads_refused",
        /// Servers restored from the snapshot.
        servers_restored: Count = "carried",
    }
}

group! {
    /// Memory.
    Memory {
        /// Bytes buffered by messages.
        buffered_bytes: Gauge<u64> = "held",
        /// The most bytes buffered by messages so far.
        max_buffered_bytes: Gauge<u64> = "held_most",
        /// The memory that messages use, with what the process needs beside their bytes.
        used_bytes: Gauge<u64> = "reserved",
        /// The most memory that messages used so far.
        max_used_bytes: Gauge<u64> = "reserved_most",
        /// Times that reading from a client was paused for want of memory.
        client_read_pauses: Count = "client_read_pauses",
        /// The longest of these pauses, in milliseconds.
        longest_client_read_pause_ms: Gauge<f64> = "client_read_pause_ms",
        /// Times that reading from a server was paused for want of memory.
        server_read_pauses: Count = "server_read_pauses",
        /// The longest of these pauses, in milliseconds.
        longest_server_read_pause_ms: Gauge<f64> = "server_read_pause_ms",
    }
}

group! {
    /// Plans of the cache tree.
    Tree {
        /// Plans read from the settings file.
        plans: Count = "plans",
        /// Plans rejected.
        plans_rejected: Count = "plans_refused",
        /// Topology changes completed.
        changes_completed: Count = "plans_ended",
        /// Fill loops that caches detected.
        loops: Count = "loops",
        /// Pairs of cache and fill source disabled for a loop.
        pairs_disabled: Count = "loops_set_aside",
    }
}

group! {
    /// Violated invariants (see `invariants`), and other counts of the checkers.
    Violations {
        /// Answers to requests that were not open.
        second_response: Count = "violated_second_answer",
        /// Attempts started after their client had left.
        attempt_after_client_left: Count = "violated_attempt_after_client_left",
        /// Non-idempotent requests attempted again that may have been executed.
        repeat_after_execution: Count = "violated_repeat_after_execution",
        /// Non-idempotent requests rejected that may have been executed.
        rejection_after_execution: Count = "violated_refusal_after_execution",
        /// Attempts sent to a draining or removed server.
        sent_to_drained: Count = "violated_sent_to_drained",
        /// Attempts with a longer timeout than the client had left.
        deadline_exceeded: Count = "violated_deadline_exceeded",
        /// Clients' connections closed with an unanswered request.
        closed_with_open_request: Count = "violated_closed_over_request",
        /// Requests to a server in slow start beyond the limit for all routers.
        slow_start_exceeded: Count = "violated_slow_start_exceeded",
        /// The highest share of a server's slow-start limit that this router sent.
        slow_start_highest_share: Gauge<f64> = "slow_start_highest_share",
        /// Pauses of the process; not violations themselves.
        pauses: Count = "process_stops",
        /// Log lines dropped, since standard error did not take them.
        log_dropped: Count = "log_dropped",
    }
}

group! {
    /// Batches of inputs that the owner handled.
    Batches {
        /// Batches of inputs that the owner handled.
        count: Count = "batches",
        /// The longest batch, in milliseconds.
        longest_ms: Gauge<f64> = "batch_longest_ms",
    }
}
