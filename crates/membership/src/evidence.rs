//! Evidence on sites: observed by one router, gossiped by all, and dropped at a maximum age, which grows on the way.
//!
//! It is attached to the SWIM library's messages instead of being one of its broadcasts: the library forwards broadcasts byte by byte, but
//! the age of evidence must grow while it waits. Inputs: own and received evidence, the limits of the settings; ages in milliseconds.

use crate::{Evidence, MembershipError, Settings};
use basaltgw_types::{Member, Ms, RouterId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The longest name of a site, in bytes.
const MAX_SITE_BYTES: usize = 64;

/// Evidence as it is gossiped.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct EvidenceUpdate {
    /// The router that observed it.
    pub origin: Member,
    /// A random number of the origin's process; serials of different processes are not comparable.
    pub start: u64,
    /// The number of the update at its origin, which counts up.
    pub serial: u64,
    /// The evidence, with its age when the message was sent.
    pub evidence: Evidence,
}

impl EvidenceUpdate {
    fn key(&self) -> EvidenceKey {
        EvidenceKey { origin: self.origin.router.clone(), site: self.evidence.site.clone() }
    }
}

/// Evidence of one router on one site.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EvidenceKey {
    origin: RouterId,
    site: Arc<str>,
}

struct StoredUpdate {
    update: EvidenceUpdate,
    /// When the update was received, on this router's clock; its `age_ms` is the age at that time.
    received_at: Ms,
    /// Messages of this router that are still to carry the update.
    transmissions_left: u8,
}

impl StoredUpdate {
    fn age(&self, now: Ms) -> Ms {
        self.update.evidence.age_ms + (now - self.received_at).max(0.0)
    }
}

/// The evidence that this router knows: the latest update of each router on each site.
pub(crate) struct EvidenceStore {
    updates: BTreeMap<EvidenceKey, StoredUpdate>,
    start: u64,
    last_serial: u64,
}

impl EvidenceStore {
    /// An empty store; `start` is a random number of this process.
    pub fn new(start: u64) -> Self {
        Self { updates: BTreeMap::new(), start, last_serial: 0 }
    }

    /// Stores evidence that this router observed.
    ///
    /// # Errors
    /// If the evidence is invalid, or a limit is reached.
    pub fn add_local(
        &mut self,
        now: Ms,
        me: &Member,
        evidence: Evidence,
        settings: &Settings,
    ) -> Result<(), MembershipError> {
        validate(&evidence)?;
        self.last_serial += 1;
        let update =
            EvidenceUpdate { origin: me.clone(), start: self.start, serial: self.last_serial, evidence };
        self.insert(now, update, settings).map(|_| ())
    }

    /// Stores evidence of another router, which must be valid; true if it is newer than the stored one.
    ///
    /// # Errors
    /// If the origin's limit is reached.
    pub fn add_remote(
        &mut self,
        now: Ms,
        update: &EvidenceUpdate,
        settings: &Settings,
    ) -> Result<bool, MembershipError> {
        if update.evidence.age_ms >= settings.max_evidence_age {
            return Ok(false);
        }
        let is_newer = self.updates.get(&update.key()).is_none_or(|known| {
            let same_process = update.origin == known.update.origin && update.start == known.update.start;
            match same_process {
                true => update.serial > known.update.serial,
                false => update.evidence.age_ms < known.age(now),
            }
        });
        Ok(is_newer && self.insert(now, update.clone(), settings)?)
    }

    /// Inserts an update, and evicts the oldest one if the store is full. False if the update itself is the oldest.
    fn insert(
        &mut self,
        now: Ms,
        update: EvidenceUpdate,
        settings: &Settings,
    ) -> Result<bool, MembershipError> {
        let key = update.key();
        if !self.updates.contains_key(&key) {
            if self.sites_of(&key.origin) >= settings.max_sites_per_router {
                let limit = settings.max_sites_per_router;
                return Err(MembershipError::LimitReached { limited: "sites of one router", limit });
            }
            if self.updates.len() >= settings.max_evidence && !self.evict_older(now, update.evidence.age_ms) {
                return Ok(false);
            }
        }
        let transmissions_left = settings.transmissions;
        self.updates.insert(key, StoredUpdate { update, received_at: now, transmissions_left });
        Ok(true)
    }

    /// The number of sites of which evidence of a router is stored.
    fn sites_of(&self, origin: &RouterId) -> usize {
        let first = EvidenceKey { origin: origin.clone(), site: Arc::from("") };
        self.updates.range(first..).take_while(|(key, _)| key.origin == *origin).count()
    }

    /// Evicts the oldest update if it is older than `age`; true if so.
    fn evict_older(&mut self, now: Ms, age: Ms) -> bool {
        let oldest = self.updates.iter().max_by(|a, b| a.1.age(now).total_cmp(&b.1.age(now)));
        let oldest = oldest.filter(|(_, stored)| stored.age(now) > age).map(|(key, _)| key.clone());
        oldest.is_some_and(|key| self.updates.remove(&key).is_some())
    }

    /// Drops evidence of the maximum age. True if some is still to be gossiped.
    pub fn expire(&mut self, now: Ms, settings: &Settings) -> bool {
        self.updates.retain(|_, stored| stored.age(now) < settings.max_evidence_age);
        self.has_pending()
    }

    /// True if some evidence is still to be gossiped.
    pub fn has_pending(&self) -> bool {
        self.updates.values().any(|stored| stored.transmissions_left > 0)
    }

    /// Takes the evidence for a message, up to the limit in bytes: the least often sent first, then the youngest.
    pub fn take_for_message(&mut self, now: Ms, settings: &Settings) -> Vec<EvidenceUpdate> {
        let mut pending: Vec<_> = self.updates.values_mut().filter(|s| s.transmissions_left > 0).collect();
        pending.sort_by(|a, b| {
            let by_transmissions = b.transmissions_left.cmp(&a.transmissions_left);
            by_transmissions.then(a.age(now).total_cmp(&b.age(now)))
        });
        let (mut updates, mut bytes) = (Vec::new(), 0);
        for stored in pending {
            let age = stored.age(now);
            let evidence = Evidence { age_ms: age, ..stored.update.evidence.clone() };
            let update = EvidenceUpdate { evidence, ..stored.update.clone() };
            bytes += postcard::to_allocvec(&update).map_or(0, |b| b.len());
            if bytes > settings.max_evidence_bytes {
                break;
            }
            stored.transmissions_left -= 1;
            updates.extend((age < settings.max_evidence_age).then_some(update));
        }
        updates
    }
}

/// Checks the ranges of evidence.
///
/// # Errors
/// [`MembershipError::InvalidEvidence`] names the first field that is invalid.
pub(crate) fn validate(evidence: &Evidence) -> Result<(), MembershipError> {
    let site = &evidence.site;
    if !(1..=MAX_SITE_BYTES).contains(&site.len()) || site.chars().any(char::is_control) {
        let problem = format!("expected 1 to {MAX_SITE_BYTES} bytes without control characters");
        return Err(MembershipError::InvalidEvidence { field: "site", problem });
    }
    for (field, span) in [("latency", evidence.latency_ms), ("age", evidence.age_ms)] {
        if !(span.is_finite() && span >= 0.0) {
            let problem = format!("expected 0 ms or more, found {span}");
            return Err(MembershipError::InvalidEvidence { field, problem });
        }
    }
    Ok(())
}
