//! The groups, by who is counted.

use super::kinds::{group, Count, Kind, Level, Value};
use prometheus_client::registry::Registry;

group! {
    /// Clients, their requests and their answers.
    Clients {
        /// Clients that connected.
        connected: Count = "clients",
        /// Clients that are connected.
        now: Level<u64> = "clients_now",
        /// Requests taken in.
        requests: Count = "requests",
        /// Clients' connections closed here for what could not be read.
        closed_unreadable: Count = "closed_unreadable",
        /// Clients' connections closed here for having said nothing.
        closed_silent: Count = "closed_silent",
        /// Clients' connections closed here for a message without an end.
        closed_unfinished: Count = "closed_unfinished",
        /// Clients' connections closed here for having been idle.
        closed_idle: Count = "closed_idle",
        /// Clients' connections closed here for the place.
        closed_for_room: Count = "closed_for_room",
        /// Clients' connections closed here at the end of the process.
        closed_at_end: Count = "closed_at_end",
        /// Clients' connections closed here for a tag used twice, too many requests at once, or going on with what can't be
        /// understood.
        closed_broken_rule: Count = "closed_broken_rule",
        /// Messages of clients that could not be read as what they should be.
        unreadable: Count = "unreadable",
        /// Requests that clients gave up, or left with their connection.
        left: Count = "left",
        /// Of those left: the client had given them up, or was gone, when their turn came, and they were not taken in.
        left_early: Count = "left_early",
        /// Answers: served.
        served: Count = "served",
        /// Answers: the client's copy holds.
        same: Count = "same",
        /// Answers: refused.
        refused: Count = "refused",
        /// Answers: failed.
        failed: Count = "failed",
        /// Turned away before the module, for the number open.
        turned_away: Count = "turned_away",
        /// Answered, but taken back before the answer was begun, since the client had given up.
        taken_back: Count = "taken_back",
        /// Served, but failed for want of memory before they were begun.
        withheld: Count = "withheld",
        /// Closes of connections at rest that were not made, since something was on its way from the client.
        closes_crossed: Count = "closes_crossed",
        /// Closes of connections at rest after which something came that was not read.
        closes_unread: Count = "closes_unread",
        /// Closes that waited for the client's own up to the bound in time or bytes.
        closes_lingered: Count = "closes_lingered",
        /// Clients' connections closed here for having taken no byte of an answer for long.
        closed_stalled: Count = "closed_stalled",
    }
}

group! {
    /// Attempts, and their ends.
    Attempts {
        /// Attempts made.
        made: Count = "attempts",
        /// Attempts that ended served.
        served: Count = "attempts_served",
        /// Attempts that ended with an error.
        error: Count = "attempts_error",
        /// Attempts that ended turned away.
        full: Count = "attempts_full",
        /// Attempts that ended without an answer in time.
        late: Count = "attempts_late",
        /// Attempts that ended for want of a connection.
        no_connection: Count = "attempts_no_connection",
        /// Attempts that ended with their connection.
        broken: Count = "attempts_broken",
        /// Attempts that ended called off.
        cancelled: Count = "attempts_cancelled",
        /// Attempts that ended before they were written whole.
        not_sent: Count = "attempts_not_sent",
        /// Attempts that ended with a source that lacks the object.
        miss: Count = "attempts_miss",
        /// Answers of servers to no open attempt.
        late_answers: Count = "late_answers",
        /// Attempts that had no connection before the time by which they had to begin.
        window_over: Count = "window_over",
        /// Attempts given up whose server did not show in time that it knows.
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
        /// Connections to servers closed for what could not be read.
        unreadable: Count = "conns_unreadable",
        /// Connections to servers closed for stopping in mid-answer.
        unfinished: Count = "conns_unfinished",
        /// Connections to servers that did not come up for want of something on this machine.
        shortages: Count = "conns_shortages",
    }
}

group! {
    /// The change log, and what it told.
    ChangeLog {
        /// Servers that are listed.
        servers_now: Level<u64> = "servers_now",
        /// Events of the change log: lists.
        lists: Count = "lists",
        /// Events of the change log: purges.
        purges: Count = "purges",
        /// Connections to the change log that ended, whatever for.
        lost: Count = "log_lost",
        /// Second connections to the change log tried since the first was quiet.
        quiet: Count = "log_quiet",
        /// Second connections to the change log tried since the first named events that it had not told.
        behind: Count = "log_behind",
    }
}

group! {
    /// Files: the configuration, and what an earlier life has learnt.
    Files {
        /// Configurations read again.
        reloads: Count = "reloads",
        /// Configurations read again that could not be used.
        reloads_refused: Count = "reloads_refused",
        /// Servers of which what an earlier life has learnt was taken over.
        carried: Count = "carried",
    }
}

group! {
    /// Memory.
    Memory {
        /// Bytes that messages hold.
        held: Level<u64> = "held",
        /// Bytes that messages held, the most so far.
        held_most: Level<u64> = "held_most",
    }
}

group! {
    /// Plans of the tree.
    Tree {
        /// Plans that came in.
        offered: Count = "plans",
        /// Plans that were refused.
        refused: Count = "plans_refused",
        /// Changes that were ended.
        ended: Count = "plans_ended",
        /// Fills that met themselves, as caches told.
        loops: Count = "loops",
        /// Pairs set aside for a fill that met itself.
        set_aside: Count = "loops_set_aside",
    }
}

group! {
    /// What broke a rule, by the rule; see `invariants`.
    Violations {
        /// Answers to requests that were not open.
        second_answer: Count = "violated_second_answer",
        /// Attempts that began after their client had left.
        attempt_after_client_left: Count = "violated_attempt_after_client_left",
        /// Requests sent again that must not run twice, and may have run.
        repeat_after_execution: Count = "violated_repeat_after_execution",
        /// Requests refused that must not run twice, and may have run.
        refusal_after_execution: Count = "violated_refusal_after_execution",
        /// Attempts sent to a server that drains or is gone.
        sent_to_drained: Count = "violated_sent_to_drained",
        /// Attempts that told their server of more time than the client had left.
        deadline_exceeded: Count = "violated_deadline_exceeded",
        /// Clients' connections closed over a request without an answer.
        closed_over_request: Count = "violated_closed_over_request",
        /// Sends to a server that had just started, beyond what all routers may send.
        slow_start_exceeded: Count = "violated_slow_start_exceeded",
        /// The highest share of the slow-start bound that a server had from this router.
        slow_start_highest: Level<f64> = "slow_start_highest_share",
        /// Times that the process stood still; no violation, but what may lead to one.
        stops: Count = "process_stops",
        /// Lines that were not logged, since nobody took them.
        log_dropped: Count = "log_dropped",
    }
}

group! {
    /// Batches given to the module.
    Batches {
        /// Batches given to the module.
        given: Count = "batches",
        /// The longest that a batch took, in milliseconds.
        longest: Level<f64> = "batch_longest_ms",
    }
}
