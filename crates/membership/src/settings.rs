//! Times and bounds of a roster.

use crate::MembershipError;
use basaltgw_types::{Ms, RouterId};
use foca::{Config, PeriodicParams};
use std::collections::BTreeSet;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Times and bounds of a roster.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Routers with which links may come up.
    pub listed: BTreeSet<RouterId>,
    /// One router is asked for a sign of life in each such span.
    pub period: Ms,
    /// It is asked by way of others if it has not answered within this; less than half a period.
    pub rtt: Ms,
    /// By way of how many; and to how many news go at a time.
    pub helpers: usize,
    /// A suspect that is not heard of for so long is held to be down.
    pub suspicion: Ms,
    /// How often news are passed on while there are any.
    pub gossip: Ms,
    /// With how many messages of each router a piece of news goes.
    pub spread: u8,
    /// How often someone who is held to be down is spoken to, so that a cut heals.
    pub heal: Ms,
    /// How often someone is asked whom it knows.
    pub refresh: Ms,
    /// The longest message of the SWIM library, in bytes.
    pub packet: usize,
    /// Names of routers that are known at most, with the own.
    pub most_members: usize,
    /// Evidence older than this is gone.
    pub evidence_span: Ms,
    /// Pieces of evidence that are kept at most.
    pub most_evidence: usize,
    /// Sites of which one router's evidence is kept.
    pub most_sites: usize,
    /// Bytes of evidence that go with a message.
    pub evidence_bytes: usize,
}

impl Default for Settings {
    /// A lost router is down everywhere within twelve periods at up to 1,000 routers, at some two messages a period from each in quiet times.
    fn default() -> Self {
        Self {
            listed: BTreeSet::new(),
            period: 1000.0,
            rtt: 300.0,
            helpers: 3,
            suspicion: 3000.0,
            gossip: 200.0,
            // One of 1,000 is left out by chance less than once in 3,000 pieces (1000 * e^-15).
            spread: 15,
            heal: 5000.0,
            refresh: 30_000.0,
            packet: 8192,
            // As many as the configuration may list.
            most_members: 1024,
            evidence_span: 10_000.0,
            most_evidence: 1024,
            most_sites: 32,
            evidence_bytes: 1024,
        }
    }
}

/// The shortest message in which two routers with the longest names and all their former lives have room.
const LEAST_PACKET: usize = 2048;
/// No time is longer: a day.
const MOST_MS: Ms = 86_400_000.0;

impl Settings {
    /// What is the matter with them, if anything.
    pub(crate) fn fault(&self) -> Result<(), MembershipError> {
        let time = |ms: Ms| ms > 0.0 && ms <= MOST_MS;
        let a_time = "more than 0 and at most a day in ms";
        let checks = [
            (time(self.period), "period", a_time),
            (
                time(self.rtt) && self.rtt < self.period / 2.0,
                "rtt",
                "more than 0 and less than half a period",
            ),
            (self.helpers > 0, "helpers", "1 or more"),
            (time(self.suspicion), "suspicion", a_time),
            (time(self.gossip), "gossip", a_time),
            (self.spread > 0, "spread", "1 or more"),
            (time(self.heal), "heal", a_time),
            (time(self.refresh), "refresh", a_time),
            ((LEAST_PACKET..=65_536).contains(&self.packet), "packet", "2,048 to 65,536 bytes"),
            (self.most_members > self.listed.len(), "most_members", "more than are listed"),
            (time(self.evidence_span), "evidence_span", a_time),
            (self.most_evidence > 0, "most_evidence", "1 or more"),
            (self.most_sites > 0, "most_sites", "1 or more"),
            ((256..=65_536).contains(&self.evidence_bytes), "evidence_bytes", "256 to 65,536"),
        ];
        let first = checks.into_iter().find(|(fits, _, _)| !fits);
        first.map_or(Ok(()), |(_, name, expected)| Err(MembershipError::Setting(name, expected)))
    }

    /// The longest message between two rosters.
    pub(crate) fn most_bytes(&self) -> usize {
        // Room for the lengths and the kind of message.
        self.packet + self.evidence_bytes + 64
    }

    /// As the library has them; only after [`Settings::fault`] found none.
    pub(crate) fn config(&self) -> Config {
        let span = |ms: Ms| Duration::from_secs_f64(ms / 1000.0);
        let each = |ms, n| {
            Some(PeriodicParams {
                frequency: span(ms),
                num_members: NonZeroUsize::new(n).unwrap_or(NonZeroUsize::MIN),
            })
        };
        Config {
            probe_period: span(self.period),
            probe_rtt: span(self.rtt),
            num_indirect_probes: NonZeroUsize::new(self.helpers).unwrap_or(NonZeroUsize::MIN),
            max_transmissions: NonZeroU8::new(self.spread).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: span(self.suspicion),
            // Names are bounded, and a former life must not be forgotten.
            remove_down_after: None,
            max_packet_size: NonZeroUsize::new(self.packet).unwrap_or(NonZeroUsize::MIN),
            notify_down_members: true,
            periodic_announce: each(self.refresh, 1),
            periodic_announce_to_down_members: each(self.heal, 2),
            periodic_gossip: each(self.gossip, self.helpers),
        }
    }
}
