//! What a router took in, sent and answered.

use crate::clients::Reply;
use crate::tree::TreeCounters;
use basaltgw::api::End;
use std::fmt;

/// Counts since the start.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    /// Clients that connected, and that are connected.
    pub clients: u64,
    /// See `clients`.
    pub clients_now: u64,
    /// Requests taken in.
    pub requests: u64,
    /// Connections of clients closed here: for what could not be read, for having said nothing, for a message without an end, for
    /// having been idle, for the place, and for a tag used twice, too many
    /// requests at once, or going on with what can't be understood.
    pub closed_unreadable: u64,
    /// See `closed_unreadable`.
    pub closed_silent: u64,
    /// See `closed_unreadable`.
    pub closed_unfinished: u64,
    /// See `closed_unreadable`.
    pub closed_idle: u64,
    /// See `closed_unreadable`.
    pub closed_for_room: u64,
    /// See `closed_unreadable`.
    pub closed_broken_rule: u64,
    /// Messages of clients that could not be read as what they should be.
    pub unreadable: u64,
    /// Requests that clients gave up, or left with their connection.
    pub left: u64,
    /// Answers: served.
    pub served: u64,
    /// The client's copy holds.
    pub same: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Answered, but taken back before the answer was begun, since the client had given up.
    pub taken_back: u64,
    /// Served, but failed for want of memory before they were begun.
    pub withheld: u64,
    /// Turned away before the module, for the number open.
    pub turned_away: u64,
    /// Attempts made.
    pub attempts: u64,
    /// Their ends, in the order of [`end_name`].
    pub ends: [u64; 9],
    /// Answers of servers to no open attempt.
    pub late_answers: u64,
    /// Connections to servers opened, and open.
    pub conns: u64,
    /// See `conns`.
    pub conns_now: u64,
    /// Connections to servers that never came up.
    pub conns_failed: u64,
    /// Events of the change log: lists and purges.
    pub lists: u64,
    /// See `lists`.
    pub purges: u64,
    /// Connections to servers closed for what could not be read, and for stopping in mid-answer.
    pub conns_unreadable: u64,
    /// See `conns_unreadable`.
    pub conns_unfinished: u64,
    /// Connections to the change log that ended, whatever for.
    pub log_lost: u64,
    /// Configurations read again, and those that could not be used.
    pub reloads: u64,
    /// See `reloads`.
    pub reloads_refused: u64,
    /// Attempts given up whose server did not show in time that it knows.
    pub unheeded: u64,
    /// Servers of which what an earlier life has learnt was taken over.
    pub carried: u64,
    /// Servers that are listed.
    pub servers_now: u64,
    /// Bytes that messages hold.
    pub held: u64,
    /// The most so far.
    pub held_most: u64,
    /// What came of plans of the tree.
    pub tree: TreeCounters,
    /// Batches given to the module.
    pub batches: u64,
    /// The longest a batch took, in milliseconds.
    pub batch_longest: f64,
}

/// The place of an attempt's end in `Counters::ends` and its name.
fn end_name(end: End) -> (usize, &'static str) {
    match end {
        End::Served => (0, "served"),
        End::Error => (1, "error"),
        End::Full => (2, "full"),
        End::Late => (3, "late"),
        End::NoConnection => (4, "no_connection"),
        End::Broken => (5, "broken"),
        End::Cancelled => (6, "cancelled"),
        End::NotSent => (7, "not_sent"),
        End::Miss => (8, "miss"),
    }
}

impl Counters {
    /// Counts the end of an attempt.
    pub fn ended(&mut self, end: End) {
        self.ends[end_name(end).0] += 1;
    }

    /// Counts an answer to a client.
    pub fn answered(&mut self, reply: &Reply<'_>) {
        match reply {
            Reply::Served(_) => self.served += 1,
            Reply::Same => self.same += 1,
            Reply::Refused(_) => self.refused += 1,
            Reply::Failed => self.failed += 1,
        }
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "clients={} clients_now={} requests={} ", self.clients, self.clients_now, self.requests)?;
        write!(
            f,
            "closed_unreadable={} closed_silent={} closed_unfinished={} closed_idle={} closed_for_room={} \
             closed_broken_rule={} ",
            self.closed_unreadable,
            self.closed_silent,
            self.closed_unfinished,
            self.closed_idle,
            self.closed_for_room,
            self.closed_broken_rule
        )?;
        write!(
            f,
            "unreadable={} left={} served={} same={} ",
            self.unreadable, self.left, self.served, self.same
        )?;
        write!(f, "refused={} failed={} turned_away={} ", self.refused, self.failed, self.turned_away)?;
        write!(f, "taken_back={} withheld={} ", self.taken_back, self.withheld)?;
        write!(f, "attempts={}", self.attempts)?;
        for (at, name) in End::ALL.map(end_name) {
            write!(f, " attempts_{name}={}", self.ends[at])?;
        }
        write!(f, " late_answers={} conns={} conns_now={} ", self.late_answers, self.conns, self.conns_now)?;
        write!(f, "conns_failed={} conns_unreadable={} ", self.conns_failed, self.conns_unreadable)?;
        write!(f, "conns_unfinished={} ", self.conns_unfinished)?;
        write!(f, "servers_now={} lists={} purges={} ", self.servers_now, self.lists, self.purges)?;
        write!(
            f,
            "unheeded={} log_lost={} reloads={} reloads_refused={} carried={} ",
            self.unheeded, self.log_lost, self.reloads, self.reloads_refused, self.carried
        )?;
        write!(f, "held={} held_most={} ", self.held, self.held_most)?;
        write!(f, "{} ", self.tree)?;
        write!(f, "batches={} batch_longest_ms={:.2}", self.batches, self.batch_longest)
    }
}
