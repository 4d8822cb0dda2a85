//! Reads the configuration and the project's own file again in a running router, and applies both or neither. What needs a restart is logged
//! and ignored.

use crate::messages::Input;
use crate::placement_report;
use async_channel::Sender;
use basaltgw_config::fleet::Fleet;
use basaltgw_config::{own_settings, Environment, NodeConfig, OwnSettings};
use std::net::SocketAddr;
use std::path::PathBuf;

/// The project's own settings, and the file from which they are read again.
#[derive(Clone, Debug, Default)]
pub struct Own {
    /// The file, if one was given.
    pub file: Option<PathBuf>,
    /// Its settings.
    pub settings: OwnSettings,
}

/// Reads the configuration and the project's own file again and applies what a running router can change; the rest is logged and skipped.
/// False if either file is invalid, in which case nothing is applied, or if the process is ending.
pub(crate) async fn reload(
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
        for (name, text) in crate::fleet::start::placement_rules(&fleet) {
            log::info!("reload: placement rules {name} proposed to the fleet");
            urgent.send(Input::PlacementRules(name, text)).await?;
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
