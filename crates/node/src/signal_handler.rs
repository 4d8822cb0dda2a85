//! Passes signals to the owner: graceful shutdown, reload, and a log line of the counters.

use crate::messages::Input;
use crate::reload::{reload, SettingsFile};
use crate::signals::{SignalAction, Signals};
use async_channel::Sender;
use basaltgw_config::RouterConfig;
use std::net::SocketAddr;

/// Passes signals to the owner: SIGTERM and SIGINT shut the router down, SIGHUP reloads, SIGUSR1 logs the counters. Returns when the owner
/// has ended.
pub(crate) async fn handle_signals(
    mut signals: Signals,
    urgent: Sender<Input>,
    running: RouterConfig,
    mut settings_file: SettingsFile,
    changelog_addresses: Sender<SocketAddr>,
) {
    loop {
        for action in signals.next().await {
            let input = match action {
                SignalAction::LogCounters => Input::LogCounters,
                SignalAction::Reload => {
                    Input::Reloaded(reload(&running, &mut settings_file, &urgent, &changelog_addresses).await)
                }
                SignalAction::Shutdown => Input::Shutdown,
            };
            if urgent.send(input).await.is_err() {
                return;
            }
        }
    }
}
