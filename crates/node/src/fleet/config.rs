//! The settings of a fleet that the owner needs.

use basaltgw::api::{Class, Idempotency};
use basaltgw_types::Ms;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Settings of leases, outcomes and purges.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Whether requests that must not run twice are leased before they are sent.
    pub replicate_executions: bool,
    /// Whether purges of the change log are replicated.
    pub replicate_purges: bool,
    /// The timeout of a change of a record, in milliseconds.
    pub lease_timeout: Ms,
    /// The Retry-After of a request for whose lease there was no capacity, in milliseconds.
    pub retry_after: Ms,
    /// The longest response body stored with an outcome, in bytes.
    pub max_outcome_bytes: usize,
    /// The idempotency of each request class, by the class's index in the settings.
    pub idempotency: Vec<Idempotency>,
}

/// What an owner needs to handle scatter-gather requests.
pub struct ScatterGatherConfig {
    /// The branch of this router.
    pub branch: Arc<str>,
    /// All branches of the fleet.
    pub branches: BTreeSet<Arc<str>>,
    /// Random bits: the seed of the decisions and the first id of a sub-request.
    pub seed: u128,
    /// The time after which a purge has converged, in milliseconds.
    pub purge_convergence_time: Ms,
    /// The request classes, by their index in the settings.
    pub classes: Vec<Class>,
}
