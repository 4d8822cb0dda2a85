//! Handles signals: graceful shutdown, reload, and a log line of the counters.
//!
//! A reload reads the configuration and the project's own file again and applies both or neither.

use crate::limits::{SHUTDOWN_ACCEPT_MS, SHUTDOWN_QUIET_MS};
use crate::messages::Input;
use crate::permissions::{may_end, EndState};
use crate::signals::{Order, Signals};
use crate::{placement_report, Own};
use async_channel::Sender;
use basaltgw::api::Ms;
use basaltgw_config::fleet::Fleet;
use basaltgw_config::{own_settings, Environment, NodeConfig, OwnSettings};
use std::net::SocketAddr;

/// Passes signals to the owner: TERM and INT end the router, HUP reloads, USR1 logs the counters. Returns when the owner is gone.
pub async fn watch(
    mut signals: Signals,
    urgent: Sender<Input>,
    running: NodeConfig,
    mut own: Own,
    changelog: Sender<SocketAddr>,
) {
    loop {
        for order in signals.next().await {
            let input = match order {
                Order::Count => Input::Count,
                Order::Reload => Input::Reloaded(reload(&running, &mut own, &urgent, &changelog).await),
                Order::End => Input::End,
            };
            if urgent.send(input).await.is_err() {
                return;
            }
        }
    }
}

/// Reads the configuration and the project's own file again and applies them; false if either is rejected, and nothing changes.
async fn reload(
    running: &NodeConfig,
    own: &mut Own,
    urgent: &Sender<Input>,
    changelog: &Sender<SocketAddr>,
) -> bool {
    let Some(new) = read_own_settings(running, own) else { return false };
    let rules = match changed_rules(own.settings.fleet.as_ref(), new.fleet.as_ref()) {
        Ok(rules) => rules.cloned(),
        Err(faults) => {
            log::error!("reload rejected, placement rules are invalid:\n{faults}");
            return false;
        }
    };
    let config = match running.reload(&Environment::take()) {
        Ok(config) => config,
        Err(e) => {
            log::error!("reload rejected, configuration unchanged: {e}");
            return false;
        }
    };
    if apply_own_settings(own, new, rules, urgent).await.is_err() {
        return false;
    }
    for key in &config.fixed {
        log::warn!("reload: change of {key} needs a restart, ignored");
    }
    log::info!("reload: change log address {}", config.changelog);
    changelog.send(config.changelog).await.is_ok()
}

fn read_own_settings(running: &NodeConfig, own: &Own) -> Option<OwnSettings> {
    match own.file.as_deref().map(|file| own_settings(file, running.cold())).transpose() {
        Ok(settings) => Some(settings.unwrap_or_default()),
        Err(e) => {
            log::error!("reload rejected, settings unchanged: {e}");
            None
        }
    }
}

/// The owner is gone: the process ends.
struct OwnerGone;

impl<T> From<async_channel::SendError<T>> for OwnerGone {
    fn from(_: async_channel::SendError<T>) -> Self {
        Self
    }
}

/// Sends the owner the plan of the cache tree and the fleet's new placement rules; warns of changes that need a restart.
async fn apply_own_settings(
    own: &mut Own,
    new: OwnSettings,
    rules: Option<Fleet>,
    urgent: &Sender<Input>,
) -> Result<(), OwnerGone> {
    if new.carry != own.settings.carry {
        log::warn!("reload: change of carry needs a restart, ignored");
    }
    if own.settings.hierarchy.is_some() && new.hierarchy.is_none() {
        log::warn!("reload: no plan in section hierarchy, the running plan stays in use until a restart");
    }
    if let Some(hierarchy) = new.hierarchy {
        own.settings.hierarchy = Some(hierarchy.clone());
        urgent.send(Input::Plan(Box::new(hierarchy))).await?;
    }
    if let Some(fleet) = rules {
        own.settings.fleet = Some(fleet.clone());
        for (name, text) in crate::fleet::start::rules(&fleet) {
            log::info!("reload: placement rules {name} proposed to the fleet");
            urgent.send(Input::Rules(name, text)).await?;
        }
    }
    Ok(())
}

/// The new `fleet` section if its placement rules changed and nothing else did.
///
/// # Errors
/// If the routers that the file lists can't satisfy the rules; each fault with file, line and column.
fn changed_rules<'a>(running: Option<&Fleet>, new: Option<&'a Fleet>) -> Result<Option<&'a Fleet>, String> {
    let (running, new) = match (running, new) {
        (None, None) => return Ok(None),
        (Some(_), None) => {
            log::warn!("reload: no section fleet, the router stays in its fleet until a restart");
            return Ok(None);
        }
        (None, Some(_)) => {
            log::warn!("reload: joining a fleet needs a restart, section fleet ignored");
            return Ok(None);
        }
        (Some(running), Some(new)) => (running, new),
    };
    if !running.same_but_rules(new) {
        log::warn!("reload: only the rules of fleet can change without a restart, section fleet ignored");
        return Ok(None);
    }
    if running.rules == new.rules {
        return Ok(None);
    }
    match placement_report::table(new, None) {
        Ok(_) => Ok(Some(new)),
        Err(faults) => Err(placement_report::faults(new, &faults)),
    }
}

/// The progress of a graceful shutdown: clients are accepted for [`SHUTDOWN_ACCEPT_MS`], and the process ends when no connection was open
/// for [`SHUTDOWN_QUIET_MS`] after that.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ending {
    asked: Option<Ms>,
    quiet_since: Option<Ms>,
}

impl Ending {
    /// Begins the shutdown.
    pub fn ask(&mut self, now: Ms) {
        self.asked.get_or_insert(now);
    }

    /// Whether the shutdown has begun.
    pub fn asked(&self) -> bool {
        self.asked.is_some()
    }

    /// Whether new clients are accepted.
    pub fn accepts(&self, now: Ms) -> bool {
        self.asked.is_none_or(|t| now < t + SHUTDOWN_ACCEPT_MS)
    }

    /// Whether the process may end; `open` while a client's connection is open or may come from the backlog.
    pub fn over(&mut self, now: Ms, open: bool) -> bool {
        let accepts = self.accepts(now);
        if accepts || open {
            self.quiet_since = None;
        }
        let since = if accepts || open { now } else { *self.quiet_since.get_or_insert(now) };
        let quiet = now >= since + SHUTDOWN_QUIET_MS;
        may_end(&EndState { accepts, connections_open: open, quiet }).is_ok()
    }
}
