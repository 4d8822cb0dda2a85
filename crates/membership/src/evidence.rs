//! What is heard of sites, on its way round: told by one router, passed on by all, older with each stay, gone after a span.
//!
//! It travels beside the SWIM library's messages and not as one of its broadcasts: those are sent on with the bytes that came,
//! and an age has to grow while they wait.

use crate::{Evidence, MembershipError, Settings};
use basaltgw_types::{Member, Ms, RouterId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The longest name of a site, in bytes.
const MOST_SITE: usize = 64;

/// A piece of evidence under way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Item {
    /// Who heard it.
    pub origin: Member,
    /// The start of its origin: numbers of another start say nothing about order.
    pub start: u64,
    /// Counted up with each that its origin told.
    pub serial: u64,
    /// What; its age is that at the time of sending.
    pub evidence: Evidence,
}

struct Kept {
    item: Item,
    /// The own time at which it had the item's age.
    since: Ms,
    /// Messages that it is still to go with.
    left: u8,
}

impl Kept {
    fn age(&self, now: Ms) -> Ms {
        self.item.evidence.age + (now - self.since).max(0.0)
    }
}

/// All evidence that is known here, by who heard it and of what.
pub(crate) struct Store {
    kept: BTreeMap<(RouterId, Arc<str>), Kept>,
    start: u64,
    serial: u64,
}

impl Store {
    pub fn new(start: u64) -> Self {
        Self { kept: BTreeMap::new(), start, serial: 0 }
    }

    /// Something was heard here.
    pub fn heard(
        &mut self,
        now: Ms,
        me: &Member,
        evidence: Evidence,
        set: &Settings,
    ) -> Result<(), MembershipError> {
        sound(&evidence)?;
        self.serial += 1;
        let item = Item { origin: me.clone(), start: self.start, serial: self.serial, evidence };
        self.keep(now, item, set).map(|_| ())
    }

    /// Another passes something sound on; whether it is news.
    pub fn told(&mut self, now: Ms, item: &Item, set: &Settings) -> Result<bool, MembershipError> {
        if item.evidence.age >= set.evidence_span {
            return Ok(false);
        }
        let is = self.kept.get(&(item.origin.router.clone(), item.evidence.site.clone()));
        let newer = is.is_none_or(|is| match (item.origin == is.item.origin, item.start == is.item.start) {
            (true, true) => item.serial > is.item.serial,
            (true, false) | (false, _) => item.evidence.age < is.age(now),
        });
        Ok(newer && self.keep(now, item.clone(), set)?)
    }

    /// Whether there was room for it.
    fn keep(&mut self, now: Ms, item: Item, set: &Settings) -> Result<bool, MembershipError> {
        let key = (item.origin.router.clone(), item.evidence.site.clone());
        if !self.kept.contains_key(&key) {
            let of_origin =
                self.kept.range((key.0.clone(), Arc::from(""))..).take_while(|(k, _)| k.0 == key.0);
            if of_origin.count() >= set.most_sites {
                return Err(MembershipError::LimitReached("sites of one router", set.most_sites));
            }
            if self.kept.len() >= set.most_evidence {
                // News before what is known long.
                let oldest = self.kept.iter().max_by(|a, b| a.1.age(now).total_cmp(&b.1.age(now)));
                match oldest.filter(|(_, k)| k.age(now) > item.evidence.age).map(|(k, _)| k.clone()) {
                    Some(oldest) => self.kept.remove(&oldest),
                    None => return Ok(false),
                };
            }
        }
        self.kept.insert(key, Kept { item, since: now, left: set.spread });
        Ok(true)
    }

    /// Forgets what is too old. Whether anything is still to be passed on.
    pub fn tidy(&mut self, now: Ms, set: &Settings) -> bool {
        self.kept.retain(|_, k| k.age(now) < set.evidence_span);
        self.waits()
    }

    /// Whether anything is still to be passed on.
    pub fn waits(&self) -> bool {
        self.kept.values().any(|k| k.left > 0)
    }

    /// What goes with a message: what went least often, the youngest first, up to some bytes.
    pub fn take(&mut self, now: Ms, set: &Settings) -> Vec<Item> {
        let mut due: Vec<_> = self.kept.values_mut().filter(|k| k.left > 0).collect();
        due.sort_by(|a, b| b.left.cmp(&a.left).then(a.age(now).total_cmp(&b.age(now))));
        let (mut items, mut bytes) = (Vec::new(), 0);
        for kept in due {
            let age = kept.age(now);
            let item = Item { evidence: Evidence { age, ..kept.item.evidence.clone() }, ..kept.item.clone() };
            bytes += postcard::to_allocvec(&item).map_or(0, |b| b.len());
            if bytes > set.evidence_bytes {
                break;
            }
            kept.left -= 1;
            items.extend((age < set.evidence_span).then_some(item));
        }
        items
    }
}

/// Whether it can be taken for what was heard of a site.
pub(crate) fn sound(e: &Evidence) -> Result<(), MembershipError> {
    let named = (1..=MOST_SITE).contains(&e.site.len()) && !e.site.chars().any(char::is_control);
    let span = |ms: Ms| ms.is_finite() && ms >= 0.0;
    match (named, span(e.latency), span(e.age)) {
        (true, true, true) => Ok(()),
        (false, _, _) => {
            Err(MembershipError::Evidence("site", format!("expected 1 to {MOST_SITE} bytes of plain text")))
        }
        (_, false, _) => {
            Err(MembershipError::Evidence("latency", format!("expected 0 ms or more, found {}", e.latency)))
        }
        (_, _, false) => {
            Err(MembershipError::Evidence("age", format!("expected 0 ms or more, found {}", e.age)))
        }
    }
}
