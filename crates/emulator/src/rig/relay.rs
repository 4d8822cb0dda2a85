//! Relays: TCP proxies between the endpoints of the rig. Each passes bytes on through a [`Link`] per direction.
//!
//! All relays run on one thread. The chunks that wait in a relay are bounded; a full relay stops reading.

use super::link::Link;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::future;
use rustix::net::sockopt::set_socket_linger;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::Duration;

/// The most open connections of one relay; further ones are closed at once.
const MAX_CONNECTIONS: usize = 512;

/// A relay: a connection to its address is passed on to its target.
#[derive(Clone)]
pub struct Relay {
    /// The address at which the relay listens.
    pub address: SocketAddr,
    /// The direction from the connecting side to the target.
    pub to_target: Link,
    /// The direction from the target to the connecting side.
    pub from_target: Link,
    target: Arc<Mutex<Option<SocketAddr>>>,
}

/// How a connection through a relay ended.
#[derive(PartialEq, Eq)]
enum ConnectionEnd {
    /// Both directions ended.
    Closed,
    /// A link was reset, or the target could not be reached.
    Reset,
}

impl Relay {
    /// Sets the target of new connections; without a target they are reset.
    pub fn set_target(&self, target: Option<SocketAddr>) {
        *self.lock_target() = target;
    }

    fn lock_target(&self) -> MutexGuard<'_, Option<SocketAddr>> {
        self.target.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn target(&self) -> Option<SocketAddr> {
        *self.lock_target()
    }

    async fn run(self, executor: Rc<LocalExecutor<'static>>, listener: TcpListener) {
        let Ok(listener) = Async::new(listener) else { return };
        // Counts connections: each open one holds a clone.
        let open_connections = Rc::new(());
        while let Ok((client, _)) = listener.accept().await {
            if Rc::strong_count(&open_connections) > MAX_CONNECTIONS {
                continue;
            }
            let (relay, connection) = (self.clone(), Rc::clone(&open_connections));
            let task = async move {
                relay.run_connection(&client).await;
                drop(connection);
            };
            executor.spawn(task).detach();
        }
    }

    async fn run_connection(&self, client: &Async<TcpStream>) {
        let resets_to = self.to_target.reset_requests();
        let resets_from = self.from_target.reset_requests();
        let _ = client.get_ref().set_nodelay(true);
        let reset = async {
            future::or(
                self.to_target.wait_for_reset(resets_to),
                self.from_target.wait_for_reset(resets_from),
            )
            .await;
            ConnectionEnd::Reset
        };
        if future::or(self.pass_on(client), reset).await == ConnectionEnd::Reset {
            // With a linger time of zero, closing the socket sends a reset.
            let _ = set_socket_linger(client.get_ref(), Some(Duration::ZERO));
        }
    }

    async fn pass_on(&self, client: &Async<TcpStream>) -> ConnectionEnd {
        self.to_target.wait_until_connectable().await;
        let Some(address) = self.target() else { return ConnectionEnd::Reset };
        let Ok(target) = Async::<TcpStream>::connect(address).await else { return ConnectionEnd::Reset };
        let _ = target.get_ref().set_nodelay(true);
        future::zip(self.to_target.copy(client, &target), self.from_target.copy(&target, client)).await;
        ConnectionEnd::Closed
    }
}

/// The thread that runs all relays; dropping it ends the thread.
pub struct RelayThread {
    new_relays: Sender<(Relay, TcpListener)>,
    thread: Option<JoinHandle<()>>,
}

impl RelayThread {
    /// Starts the thread.
    pub fn start() -> Result<Self, String> {
        let (new_relays, receiver) = async_channel::unbounded::<(Relay, TcpListener)>();
        let thread = std::thread::Builder::new()
            .name("relays".into())
            .spawn(move || run_relays(&receiver))
            .map_err(|e| format!("starting the relay thread: {e}"))?;
        Ok(Self { new_relays, thread: Some(thread) })
    }

    /// Starts a relay on an unused port.
    pub fn start_relay(
        &self,
        to_target: Link,
        from_target: Link,
        target: Option<SocketAddr>,
    ) -> Result<Relay, String> {
        let listener =
            TcpListener::bind("127.0.0.1:0").map_err(|e| format!("binding a relay's port: {e}"))?;
        let address = listener.local_addr().map_err(|e| format!("reading a relay's port: {e}"))?;
        let relay = Relay { address, to_target, from_target, target: Arc::new(Mutex::new(target)) };
        let sent = self.new_relays.try_send((relay.clone(), listener));
        sent.map_err(|_| "the relay thread has ended".to_string())?;
        Ok(relay)
    }
}

impl Drop for RelayThread {
    fn drop(&mut self) {
        self.new_relays.close();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Runs relays until the channel of new relays is closed.
fn run_relays(new_relays: &Receiver<(Relay, TcpListener)>) {
    let executor = Rc::new(LocalExecutor::new());
    let start_relays = async {
        while let Ok((relay, listener)) = new_relays.recv().await {
            executor.spawn(relay.run(Rc::clone(&executor), listener)).detach();
        }
    };
    async_io::block_on(executor.run(start_relays));
}
