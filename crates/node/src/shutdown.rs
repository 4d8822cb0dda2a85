//! The signals: the end of a router and when it is over, a new configuration, the counters.

use crate::limits::{END_ACCEPT_MS, END_QUIET_MS};
use crate::permissions::{may_end, EndState};
use crate::signals::{Order, Signals};
use crate::{shown, Input, Own};
use async_channel::Sender;
use basaltgw::api::Ms;
use basaltgw_config::fleet::Fleet;
use basaltgw_config::{own_settings, Environment, NodeConfig};
use std::net::SocketAddr;

/// Passes signals on: TERM and INT end the router, HUP has the configuration read again, USR1 asks for the counters.
pub async fn watch(
    mut signals: Signals,
    urgent: Sender<Input>,
    (running, mut own): (NodeConfig, Own),
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

/// Reads the configuration and the project's own file again, has the change log followed where it now is, and offers the plan. False
/// if either can't be used: then all stays.
async fn reload(
    running: &NodeConfig,
    own: &mut Own,
    urgent: &Sender<Input>,
    changelog: &Sender<SocketAddr>,
) -> bool {
    let read = own.file.as_deref().map(|file| own_settings(file, running.cold())).transpose();
    let new_own = match read {
        Ok(new) => new.unwrap_or_default(),
        Err(e) => {
            log::error!("reload: {e}; the running settings stay");
            return false;
        }
    };
    let rules = match new_rules(own.settings.fleet.as_ref(), new_own.fleet.as_ref()) {
        Ok(rules) => rules,
        Err(e) => {
            log::error!("reload: the rules are refused, and nothing changes:\n{e}");
            return false;
        }
    };
    match running.reload(&Environment::take()) {
        Ok(new) => {
            if new_own.carry != own.settings.carry {
                log::warn!("reload: carry can't change in a running router");
            }
            if own.settings.hierarchy.is_some() && new_own.hierarchy.is_none() {
                log::warn!("reload: no plan in the file; the one in use stays, only a new start is without");
            }
            if let Some(hierarchy) = new_own.hierarchy {
                own.settings.hierarchy = Some(hierarchy.clone());
                if urgent.send(Input::Plan(Box::new(hierarchy))).await.is_err() {
                    return false;
                }
            }
            if let Some(set) = rules {
                own.settings.fleet = Some(set.clone());
                for (name, text) in crate::fleet::start::rules(set) {
                    log::info!("reload: the rules of {name} are offered to the fleet");
                    if urgent.send(Input::Rules(name, text)).await.is_err() {
                        return false;
                    }
                }
            }
            for key in &new.fixed {
                log::warn!("reload: {key} can't change in a running router");
            }
            log::info!("reload: the change log is at {}", new.changelog);
            changelog.send(new.changelog).await.is_ok()
        }
        Err(e) => {
            log::error!("reload: {e}; the running configuration stays");
            false
        }
    }
}

/// The section with new rules, if there are any and nothing else of it has changed.
///
/// # Errors
/// If they can't be met by the routers that the file lists; each fault with file, line and column.
fn new_rules<'a>(running: Option<&Fleet>, new: Option<&'a Fleet>) -> Result<Option<&'a Fleet>, String> {
    let (running, new) = match (running, new) {
        (None, None) => return Ok(None),
        (Some(_), None) => {
            log::warn!("reload: no fleet in the file; the router stays in the one it is in");
            return Ok(None);
        }
        (None, Some(_)) => {
            log::warn!("reload: fleet can't be joined by a running router");
            return Ok(None);
        }
        (Some(running), Some(new)) => (running, new),
    };
    if !running.same_but_rules(new) {
        log::warn!("reload: of fleet nothing but the rules can change in a running router; all of it stays");
        return Ok(None);
    }
    if running.rules == new.rules {
        return Ok(None);
    }
    match shown::table(new, None) {
        Ok(_) => Ok(Some(new)),
        Err(faults) => Err(shown::faults(new, &faults)),
    }
}

/// How far the end has come.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ending {
    asked: Option<Ms>,
    quiet: Option<Ms>,
}

impl Ending {
    /// The router is asked to end.
    pub fn ask(&mut self, now: Ms) {
        self.asked.get_or_insert(now);
    }

    /// It was asked to.
    pub fn asked(&self) -> bool {
        self.asked.is_some()
    }

    /// New clients are still taken.
    pub fn accepts(&self, now: Ms) -> bool {
        self.asked.is_none_or(|t| now < t + END_ACCEPT_MS)
    }

    /// True once the router may go: asked, no longer accepting, and nothing open for a while.
    pub fn over(&mut self, now: Ms, open: bool) -> bool {
        let accepts = self.accepts(now);
        if accepts || open {
            self.quiet = None;
        }
        let since = if accepts || open { now } else { *self.quiet.get_or_insert(now) };
        let quiet = now >= since + END_QUIET_MS;
        may_end(&EndState { accepts, connections_open: open, quiet }).is_ok()
    }
}
