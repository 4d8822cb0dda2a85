//! Reloads the configuration and the settings file in a running router, and applies both or neither. Changes that need a restart are logged
//! and ignored.

use crate::messages::Input;
use crate::placement_report;
use async_channel::Sender;
use basaltgw_config::fleet::Fleet;
use basaltgw_config::{read_settings_file, Environment, RouterConfig, RouterSettings};
use std::net::SocketAddr;
use std::path::PathBuf;

/// The settings of the optional YAML file (option `--with`), and the file's path for a reload.
#[derive(Clone, Debug, Default)]
pub struct SettingsFile {
    /// The path, if a file was given.
    pub file: Option<PathBuf>,
    /// The file's settings; the defaults without a file.
    pub settings: RouterSettings,
}

/// Reloads the configuration and the settings file and applies what can change in a running router; other changes are logged and ignored.
/// Returns false if either file is invalid, in which case nothing is applied, or if the process is ending.
pub(crate) async fn reload(
    running: &RouterConfig,
    settings_file: &mut SettingsFile,
    urgent: &Sender<Input>,
    changelog_addresses: &Sender<SocketAddr>,
) -> bool {
    let Some(new) = read_settings(running, settings_file) else { return false };
    let rules = match changed_rules(settings_file.settings.fleet.as_ref(), new.fleet.as_ref()) {
        Ok(rules) => rules.cloned(),
        Err(faults) => {
            log::error!("reload rejected, placement rules are invalid:\n{faults}");
            return false;
        }
    };
    let config = match running.reload(&Environment::from_process()) {
        Ok(config) => config,
        Err(e) => {
            log::error!("reload rejected, configuration unchanged: {e}");
            return false;
        }
    };
    if apply_settings(settings_file, new, rules, urgent).await.is_err() {
        return false;
    }
    for key in &config.restart_required {
        log::warn!("reload: change of {key} needs a restart, ignored");
    }
    log::info!("reload: change log address {}", config.changelog);
    changelog_addresses.send(config.changelog).await.is_ok()
}

fn read_settings(running: &RouterConfig, settings_file: &SettingsFile) -> Option<RouterSettings> {
    match settings_file
        .file
        .as_deref()
        .map(|file| read_settings_file(file, running.parent_slow_start()))
        .transpose()
    {
        Ok(settings) => Some(settings.unwrap_or_default()),
        Err(e) => {
            log::error!("reload rejected, settings unchanged: {e}");
            None
        }
    }
}

/// The owner has ended, and the process with it.
struct OwnerEnded;

impl<T> From<async_channel::SendError<T>> for OwnerEnded {
    fn from(_: async_channel::SendError<T>) -> Self {
        Self
    }
}

/// Sends the owner the plan of the cache tree and the fleet's changed placement rules; logs changes that need a restart.
async fn apply_settings(
    settings_file: &mut SettingsFile,
    new: RouterSettings,
    rules: Option<Fleet>,
    urgent: &Sender<Input>,
) -> Result<(), OwnerEnded> {
    if new.snapshot_file != settings_file.settings.snapshot_file {
        log::warn!("reload: change of carry needs a restart, ignored");
    }
    if settings_file.settings.hierarchy.is_some() && new.hierarchy.is_none() {
        log::warn!("reload: no plan in section hierarchy, the running plan stays in use until a restart");
    }
    if let Some(hierarchy) = new.hierarchy {
        settings_file.settings.hierarchy = Some(hierarchy.clone());
        urgent.send(Input::Plan(Box::new(hierarchy))).await?;
    }
    if let Some(fleet) = rules {
        settings_file.settings.fleet = Some(fleet.clone());
        for (file, text) in crate::fleet::start::placement_rules(&fleet) {
            log::info!("reload: placement rules {file} proposed to the fleet");
            urgent.send(Input::PlacementRules { file, text }).await?;
        }
    }
    Ok(())
}

/// The new `fleet` section if its placement rules changed and nothing else did.
///
/// # Errors
/// If the listed routers can't satisfy the rules: a description of each fault, with file, line and column.
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
    if !running.equals_except_rules(new) {
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
