//! Intervals and limits of the membership.

use crate::MembershipError;
use basaltgw_types::{Ms, RouterId};
use foca::{Config, PeriodicParams};
use std::collections::BTreeSet;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Intervals and limits of the membership; spans in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Routers from which events and messages are accepted.
    pub listed_routers: BTreeSet<RouterId>,
    /// The interval at which this router probes another one, each in turn.
    pub probe_period: Ms,
    /// The time after which a probe without an answer is repeated through other routers; less than half of `probe_period`.
    pub probe_timeout: Ms,
    /// The number of routers in an indirect probe, and of recipients of one round of gossip.
    pub fanout: usize,
    /// The time after which a suspect that does not answer is considered down.
    pub suspicion_timeout: Ms,
    /// The interval of gossip while there are updates.
    pub gossip_interval: Ms,
    /// The number of messages in which each router passes on an update.
    pub transmissions: u8,
    /// The interval at which routers that are considered down are contacted, so that the membership recovers from a partition.
    pub down_announce_interval: Ms,
    /// The interval at which this router requests the members that another one knows.
    pub announce_interval: Ms,
    /// The longest message of the SWIM library, in bytes.
    pub max_packet_bytes: usize,
    /// The largest number of router names, the own one included.
    pub max_members: usize,
    /// The age at which evidence is dropped.
    pub max_evidence_age: Ms,
    /// The largest number of stored updates of evidence: one of each router on each site.
    pub max_evidence: usize,
    /// The largest number of sites of which one router's evidence is stored.
    pub max_sites_per_router: usize,
    /// The most bytes of evidence attached to a message.
    pub max_evidence_bytes: usize,
}

impl Default for Settings {
    /// With up to 1,000 routers, all consider a lost one down within twelve probe periods, at about two messages of each router in a period.
    fn default() -> Self {
        Self {
            listed_routers: BTreeSet::new(),
            probe_period: 1000.0,
            probe_timeout: 300.0,
            fanout: 3,
            suspicion_timeout: 3000.0,
            gossip_interval: 200.0,
            // An update fails to reach one of 1,000 routers with a probability of 1000 * e^-15, less than 1 in 3,000.
            transmissions: 15,
            down_announce_interval: 5000.0,
            announce_interval: 30_000.0,
            max_packet_bytes: 8192,
            // As many as the configuration may list.
            max_members: 1024,
            max_evidence_age: 10_000.0,
            max_evidence: 1024,
            max_sites_per_router: 32,
            max_evidence_bytes: 1024,
        }
    }
}

/// The shortest packet that fits two routers with the longest names and the most replaced incarnations.
const MIN_PACKET_BYTES: usize = 2048;
/// The upper bound of `max_packet_bytes`, and of `max_evidence_bytes`.
const MAX_PART_BYTES: usize = 65_536;
/// The lower bound of `max_evidence_bytes`.
const MIN_EVIDENCE_BYTES: usize = 256;
/// The longest span: a day.
const MAX_SPAN_MS: Ms = 86_400_000.0;
/// The upper bound of a message's encoded kind and lengths, without the packet and the evidence.
const MESSAGE_OVERHEAD_BYTES: usize = 64;
const MS_PER_SECOND: f64 = 1000.0;

impl Settings {
    /// Checks the ranges.
    ///
    /// # Errors
    /// [`MembershipError::Setting`] names the first setting that is out of range.
    pub(crate) fn check(&self) -> Result<(), MembershipError> {
        let is_span = |ms: Ms| ms > 0.0 && ms <= MAX_SPAN_MS;
        let span = "more than 0 and at most a day in ms";
        let packet_fits = (MIN_PACKET_BYTES..=MAX_PART_BYTES).contains(&self.max_packet_bytes);
        let evidence_fits = (MIN_EVIDENCE_BYTES..=MAX_PART_BYTES).contains(&self.max_evidence_bytes);
        let timeout_fits = is_span(self.probe_timeout) && self.probe_timeout < self.probe_period / 2.0;
        let checks = [
            (is_span(self.probe_period), "period", span),
            (timeout_fits, "rtt", "more than 0 and less than half a period"),
            (self.fanout > 0, "helpers", "1 or more"),
            (is_span(self.suspicion_timeout), "suspicion", span),
            (is_span(self.gossip_interval), "gossip", span),
            (self.transmissions > 0, "spread", "1 or more"),
            (is_span(self.down_announce_interval), "heal", span),
            (is_span(self.announce_interval), "refresh", span),
            (packet_fits, "packet", "2,048 to 65,536 bytes"),
            (self.max_members > self.listed_routers.len(), "most_members", "more than are listed"),
            (is_span(self.max_evidence_age), "evidence_span", span),
            (self.max_evidence > 0, "most_evidence", "1 or more"),
            (self.max_sites_per_router > 0, "most_sites", "1 or more"),
            (evidence_fits, "evidence_bytes", "256 to 65,536"),
        ];
        let invalid = checks.into_iter().find(|(fits, _, _)| !fits);
        invalid
            .map_or(Ok(()), |(_, name, expected)| Err(MembershipError::Setting { setting: name, expected }))
    }

    /// The longest message between two memberships.
    pub(crate) fn max_message_bytes(&self) -> usize {
        self.max_packet_bytes + self.max_evidence_bytes + MESSAGE_OVERHEAD_BYTES
    }

    /// The settings of the SWIM library; only after [`Settings::check`].
    pub(crate) fn swim_config(&self) -> Config {
        let duration = |ms: Ms| Duration::from_secs_f64(ms / MS_PER_SECOND);
        let periodic = |ms, members| {
            let num_members = NonZeroUsize::new(members).unwrap_or(NonZeroUsize::MIN);
            Some(PeriodicParams { frequency: duration(ms), num_members })
        };
        Config {
            probe_period: duration(self.probe_period),
            probe_rtt: duration(self.probe_timeout),
            num_indirect_probes: NonZeroUsize::new(self.fanout).unwrap_or(NonZeroUsize::MIN),
            max_transmissions: NonZeroU8::new(self.transmissions).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: duration(self.suspicion_timeout),
            // Members are never removed: their names are bounded, and a replaced incarnation must not be forgotten.
            remove_down_after: None,
            max_packet_size: NonZeroUsize::new(self.max_packet_bytes).unwrap_or(NonZeroUsize::MIN),
            notify_down_members: true,
            periodic_announce: periodic(self.announce_interval, 1),
            periodic_announce_to_down_members: periodic(self.down_announce_interval, 2),
            periodic_gossip: periodic(self.gossip_interval, self.fanout),
        }
    }
}
