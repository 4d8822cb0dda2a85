//! The packages and settings of which a control plane consists.

use super::OverlayParts;
use crate::purges::Purges;
use crate::table::TableManager;
use basaltgw_membership::Membership;
use basaltgw_registers::Registers;
use basaltgw_types::{Member, Ms};
use std::sync::Arc;

/// Packages and settings of a control plane.
pub struct ControlParts {
    /// This router.
    pub me: Member,
    /// Whether the data folder was written by an earlier incarnation.
    pub has_previous_data: bool,
    /// This router's replicas of registers.
    pub registers: Registers,
    /// Fleet membership.
    pub membership: Membership,
    /// Placement table.
    pub table: TableManager,
    /// Purges stored by an earlier incarnation.
    pub purges: Purges,
    /// Milliseconds after which no cache serves a copy older than a purge.
    pub purge_convergence_time: Ms,
    /// Longest wait for background changes at shutdown, in milliseconds.
    pub shutdown_timeout: Ms,
    /// Classes whose scatter-gather policies are sent to the owner; `None` if it serves no scatter-gather requests.
    pub scatter_gather_classes: Option<Vec<Arc<str>>>,
    /// Overlay for updates; without one every router sends updates to all others.
    pub overlay: Option<OverlayParts>,
}
