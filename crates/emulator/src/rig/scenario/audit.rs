//! The audit at the end of a run. It presents served checkouts again, each to another router than before, which has to return the same
//! body.

use crate::rig::{ClientConnection, Event, Outcome, RequestKind, RequestNumber, Rig};
use std::collections::BTreeMap;
use std::time::Duration;

/// The most checkouts that are audited: those with the highest ids.
const MAX_AUDITED: usize = 400;
/// The number of checkouts that are presented at the same time.
const BATCH: usize = 24;
/// The deadline of the audit's requests, in milliseconds.
const TIMEOUT_MS: u64 = 5_000;
/// How long after its deadline a response is still waited for, in milliseconds.
const RESPONSE_GRACE_MS: u64 = 1_000;

/// The numbers of audited checkouts by outcome.
#[derive(Default)]
pub(super) struct AuditCounts {
    audited: u64,
    same_outcome: u64,
    outcome_unknown: u64,
}

impl AuditCounts {
    /// The audit's figures.
    pub(super) fn figures(&self) -> [(String, f64); 4] {
        let other = self.audited - self.same_outcome - self.outcome_unknown;
        let figures = [
            ("audited", self.audited),
            ("audit_same", self.same_outcome),
            ("audit_in_doubt", self.outcome_unknown),
            ("audit_other", other),
        ];
        figures.map(|(name, count)| (name.to_string(), count as f64))
    }
}

/// A checkout, and the last response that served it.
struct ServedCheckout {
    id: String,
    router: usize,
    body: Vec<u8>,
}

/// Presents served checkouts again; counts their outcomes.
pub(super) fn audit_outcomes(rig: &Rig) -> AuditCounts {
    let mut counts = AuditCounts::default();
    for batch in served_checkouts(rig).chunks(BATCH) {
        let clients: Vec<Option<ClientConnection>> =
            (0..rig.len()).map(|router| rig.connect_client(router).ok()).collect();
        let present = |checkout: &ServedCheckout| {
            let client = clients[(checkout.router + 1) % rig.len()].as_ref()?;
            Some(client.checkout(&checkout.id, TIMEOUT_MS))
        };
        let requests: Vec<(Option<RequestNumber>, &ServedCheckout)> =
            batch.iter().map(|checkout| (present(checkout), checkout)).collect();
        for (request, checkout) in requests {
            let Some(request) = request else { continue };
            counts.audited += 1;
            let timeout = Duration::from_millis(TIMEOUT_MS + RESPONSE_GRACE_MS);
            match rig.history.wait_for_outcome(request, timeout) {
                Some(Some(Outcome::Served(body))) if body == checkout.body => counts.same_outcome += 1,
                Some(Some(Outcome::Failed(_))) => counts.outcome_unknown += 1,
                Some(Some(Outcome::Served(_) | Outcome::Rejected { .. }) | None) | None => {}
            }
        }
    }
    counts
}

/// The served checkouts with the highest ids, in descending order.
fn served_checkouts(rig: &Rig) -> Vec<ServedCheckout> {
    let (events, _) = rig.history.events();
    let mut presented = BTreeMap::new();
    let mut served: BTreeMap<&String, ServedCheckout> = BTreeMap::new();
    for event in events.iter().map(|e| &e.event) {
        match event {
            Event::RequestSent { request, router, id, kind: RequestKind::Checkout, .. } => {
                presented.insert(*request, (id, *router));
            }
            Event::ResponseReceived { request, outcome: Outcome::Served(body) } => {
                if let Some((id, router)) = presented.get(request).copied() {
                    served.insert(id, ServedCheckout { id: id.clone(), router, body: body.clone() });
                }
            }
            _ => {}
        }
    }
    served.into_values().rev().take(MAX_AUDITED).collect()
}
