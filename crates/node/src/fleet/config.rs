//! Settings of a fleet that the owner needs.

use basaltgw::api::{Class, Idempotency};
use basaltgw_types::Ms;
use std::collections::BTreeSet;
use std::sync::Arc;

/// What the configuration says of leases, outcomes and purges.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Requests that must not run twice are leased before they are sent.
    pub replicate_executions: bool,
    /// Purges of the change log are replicated.
    pub replicate_purges: bool,
    /// Time for a change of a record, in milliseconds.
    pub lease_timeout: Ms,
    /// Retry-After of a request that found no capacity for its lease, in milliseconds.
    pub retry_after: Ms,
    /// The longest response body stored with an outcome, in bytes.
    pub max_outcome_bytes: usize,
    /// The idempotency of each request class, by its place in the settings.
    pub idempotency: Vec<Idempotency>,
}

/// What an owner needs to take scatter-gather requests.
pub struct ScatterGatherConfig {
    /// The own branch.
    pub branch: Arc<str>,
    /// All branches of the fleet.
    pub branches: BTreeSet<Arc<str>>,
    /// Random bits: the seed of the decisions and the first id of a sub-request.
    pub seed: u128,
    /// Time after which a purge has converged, in milliseconds.
    pub purge_convergence_time: Ms,
    /// The request classes, by their place in the settings.
    pub classes: Vec<Class>,
}
