//! Passes signals to the owner: graceful shutdown, reload, and a log line of the counters.

use crate::messages::Input;
use crate::reload::{reload, Own};
use crate::signals::{Order, Signals};
use async_channel::Sender;
use basaltgw_config::NodeConfig;
use std::net::SocketAddr;

/// Passes signals to the owner: TERM and INT end the router, HUP reloads, USR1 logs the counters. Returns when the owner is gone.
pub(crate) async fn handle_signals(
    mut signals: Signals,
    urgent: Sender<Input>,
    running: NodeConfig,
    mut own: Own,
    changelog: Sender<SocketAddr>,
) {
    loop {
        for order in signals.next().await {
            let input = match order {
                Order::Count => Input::LogCounters,
                Order::Reload => Input::Reloaded(reload(&running, &mut own, &urgent, &changelog).await),
                Order::End => Input::Shutdown,
            };
            if urgent.send(input).await.is_err() {
                return;
            }
        }
    }
}
