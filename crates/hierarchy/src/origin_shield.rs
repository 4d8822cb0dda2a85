//! The origin shield of a node: one fill in progress for each part of an object, the requests that wait for it, and the fills that
//! failed a short time ago.

use crate::{Ms, NodeId, Settings, VisitedPath};
use indexmap::IndexMap;

/// A part of an object, which is filled as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FillKey {
    /// The object's number.
    pub object: u64,
    /// The part's number within the object.
    pub part: u64,
}

/// A request that waits for a fill, by a number that the caller chooses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaiterId(pub u64);

/// How a node proceeds with a request for a part that it has no copy of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Start the fill; the request waits for it.
    StartFill,
    /// The request waits for the fill in progress.
    Joined,
    /// Respond that there is no copy: the request is for a cached copy only, or the fill in progress waits for the requester itself.
    Miss,
    /// Reject the request, which had no effect: the limit of fills or of waiters is reached.
    LimitReached,
    /// Respond with a failure: the same fill failed a short time ago.
    FailedRecently,
}

/// How a node proceeds after a failed fill.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AfterFailure {
    /// Try another source.
    Retry,
    /// Report the failure to these waiters.
    Notify(Vec<WaiterId>),
}

/// The waiters of a completed fill.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletedFill {
    /// Waiters that the copy serves.
    pub served: Vec<WaiterId>,
    /// Waiters for which the copy is too old; they request the part again.
    pub outdated: Vec<WaiterId>,
}

#[derive(Clone, Debug)]
struct Waiter {
    id: WaiterId,
    /// The node that sent the request, if a node did.
    requester: Option<NodeId>,
    deadline: Ms,
    min_origin_time: Ms,
}

/// The source of a fill in progress.
#[derive(Clone, Debug)]
struct FillSource {
    node: NodeId,
    /// The source responds without waiting for another node's fill.
    never_waits: bool,
}

#[derive(Clone, Debug)]
struct Fill {
    /// The source, once it is selected.
    source: Option<FillSource>,
    retried: bool,
    waiters: Vec<Waiter>,
}

/// The fills of one node, bounded by [`Settings::max_fills`] and [`Settings::max_waiters_per_fill`].
#[derive(Clone, Debug, Default)]
pub struct OriginShield {
    fills: IndexMap<FillKey, Fill>,
    /// Failed fills, and when their failure expires.
    failed: IndexMap<FillKey, Ms>,
}

/// A request for a part that the node has no copy of.
#[derive(Clone, Copy, Debug)]
pub struct FillRequest<'a> {
    /// The node that received the request.
    pub me: &'a NodeId,
    /// The request, as a waiter.
    pub waiter: WaiterId,
    /// When the request stops waiting.
    pub deadline: Ms,
    /// The earliest time at which the origin may have served the copy: after a purge, older copies are not accepted.
    pub min_origin_time: Ms,
    /// The nodes that the request has visited before this one.
    pub path: &'a VisitedPath,
    /// The request starts no fill: it accepts a cached copy, or a fill in progress whose source never waits.
    pub cached_only: bool,
}

impl OriginShield {
    /// Admits or rejects a request for a part that this node has no copy of.
    pub fn request(
        &mut self,
        now: Ms,
        key: FillKey,
        request: FillRequest<'_>,
        settings: &Settings,
    ) -> Admission {
        let waiter = Waiter {
            id: request.waiter,
            requester: request.path.last().cloned(),
            deadline: request.deadline,
            min_origin_time: request.min_origin_time,
        };
        if let Some(fill) = self.fills.get_mut(&key) {
            let has_place = fill.waiters.len() < settings.max_waiters_per_fill;
            return match (would_wait_for_itself(fill, &request), has_place) {
                (true, _) => Admission::Miss,
                (false, false) => Admission::LimitReached,
                (false, true) => {
                    fill.waiters.push(waiter);
                    Admission::Joined
                }
            };
        }
        if request.cached_only {
            return Admission::Miss;
        }
        if self.failed.get(&key).is_some_and(|expiry| now < *expiry) {
            return Admission::FailedRecently;
        }
        if self.fills.len() >= settings.max_fills {
            return Admission::LimitReached;
        }
        self.fills.insert(key, Fill { source: None, retried: false, waiters: vec![waiter] });
        Admission::StartFill
    }

    /// Records the source that a fill is requested from. `never_waits`: the source responds without waiting for another node's fill,
    /// as the origin does, or a node that gets a request for a cached copy only.
    pub fn set_source(&mut self, key: FillKey, source: &NodeId, never_waits: bool) {
        if let Some(fill) = self.fills.get_mut(&key) {
            fill.source = Some(FillSource { node: source.clone(), never_waits });
        }
    }

    /// Completes a fill with a copy that the origin served at `origin_time`.
    pub fn complete(&mut self, key: FillKey, origin_time: Ms) -> CompletedFill {
        self.failed.swap_remove(&key);
        let waiters = self.fills.swap_remove(&key).map(|fill| fill.waiters).unwrap_or_default();
        let (served, outdated): (Vec<Waiter>, Vec<Waiter>) =
            waiters.into_iter().partition(|w| w.min_origin_time <= origin_time);
        let ids = |waiters: Vec<Waiter>| waiters.into_iter().map(|w| w.id).collect();
        CompletedFill { served: ids(served), outdated: ids(outdated) }
    }

    /// Handles a failed fill: retries it once if `may_retry` (another source and time are left), then reports it to all waiters.
    pub fn fail(&mut self, now: Ms, key: FillKey, may_retry: bool, settings: &Settings) -> AfterFailure {
        let Some(fill) = self.fills.get_mut(&key) else { return AfterFailure::Notify(Vec::new()) };
        if may_retry && !fill.retried && fill.waiters.iter().any(|w| w.deadline > now) {
            (fill.retried, fill.source) = (true, None);
            return AfterFailure::Retry;
        }
        let waiters = fill.waiters.iter().map(|w| w.id).collect();
        self.failed.insert(key, now + settings.failed_fill_ttl);
        if self.failed.len() > settings.max_fills {
            self.failed.shift_remove_index(0);
        }
        self.fills.swap_remove(&key);
        AfterFailure::Notify(waiters)
    }

    /// Ends a fill without a copy and without recording a failure; returns its waiters.
    pub fn abandon(&mut self, key: FillKey) -> Vec<WaiterId> {
        self.fills
            .swap_remove(&key)
            .map(|fill| fill.waiters.into_iter().map(|w| w.id).collect())
            .unwrap_or_default()
    }

    /// True if a fill of the part is in progress.
    pub fn is_filling(&self, key: FillKey) -> bool {
        self.fills.contains_key(&key)
    }

    /// Clears the source of a fill that continues at another source without counting as failed: the source detected a loop, or has no copy.
    pub fn clear_source(&mut self, key: FillKey) {
        if let Some(fill) = self.fills.get_mut(&key) {
            fill.source = None;
        }
    }

    /// Removes and returns the waiters whose deadline has passed. Their fills go on.
    pub fn remove_expired(&mut self, now: Ms) -> Vec<WaiterId> {
        let mut expired = Vec::new();
        for fill in self.fills.values_mut() {
            fill.waiters.retain(|w| {
                let waits = w.deadline > now;
                if !waits {
                    expired.push(w.id);
                }
                waits
            });
        }
        self.failed.retain(|_, expiry| *expiry > now);
        expired
    }

    /// The nodes that wait for the fill of a part; the fill must not be requested from them.
    pub fn waiting_nodes(&self, key: FillKey) -> impl Iterator<Item = &NodeId> + '_ {
        self.fills
            .get(&key)
            .into_iter()
            .flat_map(|fill| fill.waiters.iter().filter_map(|w| w.requester.as_ref()))
    }

    /// Removes a waiter whose request was cancelled.
    pub fn remove_waiter(&mut self, key: FillKey, waiter: WaiterId) {
        if let Some(fill) = self.fills.get_mut(&key) {
            fill.waiters.retain(|w| w.id != waiter);
        }
    }

    /// Forgets the failed fills of a purged object: a failure before the purge says nothing about a fill after it.
    pub fn forget_failures(&mut self, object: u64) {
        self.failed.retain(|key, _| key.object != object);
    }

    /// Drops all state after a crash of the node. Its waiters notice the crash when their connections close.
    pub fn clear(&mut self) {
        self.fills.clear();
        self.failed.clear();
    }

    /// The number of fills in progress.
    pub fn len(&self) -> usize {
        self.fills.len()
    }

    /// True if no fill is in progress.
    pub fn is_empty(&self) -> bool {
        self.fills.is_empty()
    }
}

/// True if a request that joined the fill might wait for a fill that waits for the request, and so forever.
fn would_wait_for_itself(fill: &Fill, request: &FillRequest<'_>) -> bool {
    match &fill.source {
        // Any request may wait for a source that never waits: an old home that requests from the new one, while the new one
        // requests its cached copies, must not lead both of them to the origin.
        Some(FillSource { never_waits: true, .. }) => false,
        // The requester of a cached copy relies on a response that waits for no other node's fill: see
        // `OriginShield::set_source`.
        Some(_) if request.cached_only => true,
        // Of two nodes that request from each other at the same time one rejects, the same one in either order of arrival;
        // otherwise both would go to the origin.
        Some(source) if request.path.last() == Some(&source.node) => *request.me < source.node,
        Some(source) => request.path.contains(&source.node),
        // No source is selected, so it may be one that waits.
        None => request.cached_only,
    }
}

#[cfg(test)]
mod tests;
