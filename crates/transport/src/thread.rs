//! The transport's thread: its start, its tasks, its shutdown.

use crate::connection::{run_connection, ConnectionEnd};
use crate::connection_manager::{ConnectionManager, ManagerConfig, SessionHello};
use crate::counters::{increment, Counters};
use crate::limits::{
    ACCEPT_RETRY_DELAY, COMMAND_BATCH, CONNECT_TIMEOUT, MAX_CLOSED_HANDSHAKES, MAX_CONNECTIONS_IN_HANDSHAKE,
    MAX_DIAL_BACKOFF, MIN_DIAL_BACKOFF, SHUTDOWN_TIMEOUT,
};
use crate::port::{Links, TransportHandle, TransportUser};
use crate::priority_queues::{UserIndex, LANES};
use crate::user_endpoint::{create_port, PortPair, UserEndpoint};
use crate::{DialPolicy, Hello, Limits, LinkCommand, LinkError, PeerConfig, Settings, PROTOCOL_VERSION};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use basaltgw_types::RouterId;
use futures_lite::{future, FutureExt};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::panic::{resume_unwind, AssertUnwindSafe};
use std::rc::Rc;
use std::sync::Arc;

/// Starts the transport: it listens at `listen`, dials the `listed` peers as the settings say, and carries frames until
/// [`crate::LinkCommand::Shutdown`] or until a port is dropped.
///
/// `session_id` is a random number, different at each start of a process.
///
/// # Errors
/// If the address can't be bound, the thread can't be started, a limit or setting is out of range, no user receives a lane, or the list names
/// a router twice or this one.
pub fn start(
    me: Hello,
    listen: SocketAddr,
    listed: Vec<PeerConfig>,
    (limits, settings): (Limits, Settings),
    session_id: u64,
    users: [TransportUser; 2],
) -> io::Result<Links> {
    check_limits(&limits)?;
    settings.check().map_err(|problem| invalid(format!("settings of links: {problem}")))?;
    if me.protocol != PROTOCOL_VERSION {
        return Err(invalid(format!(
            "protocol version of this router: expected {PROTOCOL_VERSION}, found {}",
            me.protocol
        )));
    }
    if let Some(lane) = LANES.iter().find(|l| !users.iter().any(|u| u.lanes.contains(l))) {
        return Err(invalid(format!("no user receives the lane {lane:?}")));
    }
    let listed = peers_by_name(&me, listed)?;
    let listener = TcpListener::bind(listen)?;
    let address = listener.local_addr()?;
    let listener = Async::new(listener)?;
    let counters = Arc::new(Counters::default());
    let [first, second] = users.map(|user| create_port(user, &limits));
    let PortPair { port: first_port, endpoint: first_endpoint } = first;
    let PortPair { port: second_port, endpoint: second_endpoint } = second;
    let thread_counters = counters.clone();
    let run_thread = move || {
        let me = SessionHello { hello: me, session_id };
        let config = ManagerConfig { me, listed, limits, settings };
        run(listener, ConnectionManager::new(config, [first_endpoint, second_endpoint], thread_counters));
    };
    let thread = std::thread::Builder::new().name("peers".into()).spawn(run_thread)?;
    let handle = TransportHandle { thread, counters, address };
    Ok(Links { ports: (first_port, second_port), handle })
}

fn invalid(problem: String) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidInput, problem)
}

fn check_limits(limits: &Limits) -> io::Result<()> {
    let Limits { max_queued_frames, max_queued_bytes, max_frame_bytes, ring_entries } = *limits;
    let has_zero = max_queued_frames == 0 || max_frame_bytes == 0 || ring_entries == 0;
    let length_overflows = u32::try_from(max_frame_bytes).is_ok_and(|f| f == u32::MAX);
    if has_zero || max_queued_bytes < max_frame_bytes || length_overflows {
        return Err(invalid(format!(
            "limits of links: expected max_queued_frames, max_frame_bytes and ring_entries of 1 or more, max_frame_bytes below {}, \
             and max_queued_bytes of at least max_frame_bytes, found {limits:?}",
            u32::MAX
        )));
    }
    Ok(())
}

fn peers_by_name(me: &Hello, listed: Vec<PeerConfig>) -> io::Result<BTreeMap<RouterId, PeerConfig>> {
    let mut by_name = BTreeMap::new();
    for peer in listed {
        let name = peer.router.clone();
        if name == me.member.router || by_name.insert(name.clone(), peer).is_some() {
            let problem =
                format!("peers: expected each other router once, found {name} twice or as this router");
            return Err(invalid(problem));
        }
    }
    Ok(by_name)
}

/// The next step of the main task.
enum MainStep {
    /// A connection was accepted, or accepting failed.
    Accepted(io::Result<Async<TcpStream>>),
    /// A dial task is to be started.
    StartDialTask(RouterId),
    Shutdown,
}

/// Runs the tasks to the end of the thread.
fn run(listener: Async<TcpListener>, manager: ConnectionManager) {
    let manager = Rc::new(manager);
    let tasks = LocalExecutor::new();
    for user in 0..manager.endpoints.len() {
        let commands = process_commands(manager.clone(), UserIndex(user));
        tasks.spawn(supervise(manager.clone(), commands)).detach();
    }
    if manager.settings.dial_policy == DialPolicy::All {
        manager.listed.keys().for_each(|name| spawn_dial_task(&tasks, &manager, name.clone()));
    }
    let main = async {
        accept_until_shutdown(&listener, &tasks, &manager).await;
        close_links(&manager).await;
    };
    async_io::block_on(tasks.run(main));
    // The thread ends with the task's panic, so that `TransportHandle::join` returns the cause.
    if let Some(panic) = manager.panic.take() {
        resume_unwind(panic);
    }
}

fn spawn_dial_task(tasks: &LocalExecutor<'_>, manager: &Rc<ConnectionManager>, name: RouterId) {
    tasks.spawn(supervise(manager.clone(), dial_while_wanted(manager.clone(), name))).detach();
}

/// Accepts connections, and starts dial tasks, until the shutdown begins.
async fn accept_until_shutdown(
    listener: &Async<TcpListener>,
    tasks: &LocalExecutor<'_>,
    manager: &Rc<ConnectionManager>,
) {
    loop {
        let accepted = async { MainStep::Accepted(listener.accept().await.map(|(stream, _)| stream)) };
        match future::or(next_requested_step(manager), accepted).await {
            MainStep::Shutdown => return,
            MainStep::StartDialTask(name) => spawn_dial_task(tasks, manager, name),
            MainStep::Accepted(Ok(stream)) => on_accepted(stream, tasks, manager),
            MainStep::Accepted(Err(e)) => {
                manager.reject(&manager.counters.peer_accept_failed, &format!("accept failed: {e}"));
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Starts the task of an accepted connection, unless too many connections are in their handshake.
fn on_accepted(stream: Async<TcpStream>, tasks: &LocalExecutor<'_>, manager: &Rc<ConnectionManager>) {
    increment(&manager.counters.peer_accepted);
    if manager.in_handshake.get() >= MAX_CONNECTIONS_IN_HANDSHAKE {
        increment(&manager.counters.peer_no_place);
        return;
    }
    manager.in_handshake.set(manager.in_handshake.get() + 1);
    let own = manager.clone();
    let connection = async move { _ = run_connection(&own, stream, None, None).await };
    tasks.spawn(supervise(manager.clone(), connection)).detach();
}

/// Waits up to [`SHUTDOWN_TIMEOUT`] until all links have written their queued frames and closed, then closes the others.
async fn close_links(manager: &Rc<ConnectionManager>) {
    let all_closed = async {
        while manager.panic.borrow().is_none() {
            let listener = manager.changed.listen();
            if manager.links.borrow().is_empty() {
                return;
            }
            listener.await;
        }
    };
    let timeout = async { _ = Timer::after(SHUTDOWN_TIMEOUT).await };
    future::or(all_closed, timeout).await;
    let links: Vec<_> = manager.links.borrow().values().cloned().collect();
    links.iter().for_each(|link| manager.link_down(link, LinkError::NotConnected));
}

/// Runs a task. The executor would drop its panic; here it ends the thread.
async fn supervise(manager: Rc<ConnectionManager>, task: impl Future<Output = ()>) {
    if let Err(panic) = AssertUnwindSafe(task).catch_unwind().await {
        *manager.panic.borrow_mut() = Some(panic);
        manager.begin_shutdown();
    }
}

/// Waits for the shutdown, or for a router whose dial task is to be started.
async fn next_requested_step(manager: &ConnectionManager) -> MainStep {
    loop {
        let listener = manager.changed.listen();
        if manager.is_shutting_down.get() {
            return MainStep::Shutdown;
        }
        if let Some(name) = manager.next_dial_task() {
            return MainStep::StartDialTask(name);
        }
        listener.await;
    }
}

/// Executes a user's commands, and delivers waiting events once there is capacity.
async fn process_commands(manager: Rc<ConnectionManager>, user: UserIndex) {
    let Some(endpoint) = manager.endpoint(user) else { return };
    let signal = endpoint.borrow().signal.clone();
    loop {
        for executed in 1.. {
            let Some(command) = flush_and_take_command(&manager, endpoint) else { break };
            manager.execute(user, command);
            if executed % COMMAND_BATCH == 0 {
                future::yield_now().await;
            }
        }
        if manager.is_shutting_down.get() {
            return;
        }
        if signal.recv().await.is_err() {
            // The port was dropped: its last commands are executed, then the transport shuts down.
            while let Some(command) = { endpoint.borrow_mut().next_command() } {
                manager.execute(user, command);
            }
            manager.begin_shutdown();
        }
    }
}

/// Delivers waiting events, and takes a command only if none is left, so that their number is bounded.
fn flush_and_take_command(
    manager: &ConnectionManager,
    endpoint: &RefCell<UserEndpoint>,
) -> Option<LinkCommand> {
    let mut endpoint = endpoint.borrow_mut();
    let flushed = endpoint.flush();
    if endpoint.has_capacity() {
        manager.capacity_freed.notify(usize::MAX);
    }
    if flushed {
        endpoint.next_command()
    } else {
        None
    }
}

/// Dials a router with backoff while it is wanted and has no link.
async fn dial_while_wanted(manager: Rc<ConnectionManager>, name: RouterId) {
    let Some(address) = manager.listed.get(&name).map(|l| l.address) else { return };
    let (mut backoff, mut closed_handshakes) = (MIN_DIAL_BACKOFF, 0);
    while !manager.is_shutting_down.get() {
        let listener = manager.changed.listen();
        if manager.end_dial_task_if_unwanted(&name) {
            return;
        }
        if manager.links.borrow().contains_key(&name) {
            listener.await;
            continue;
        }
        let Some(end) = dial(&manager, &name, address).await else { continue };
        closed_handshakes = if end == ConnectionEnd::ClosedInHandshake { closed_handshakes + 1 } else { 0 };
        let was_reached = match end {
            ConnectionEnd::Stable | ConnectionEnd::ShortLived | ConnectionEnd::Duplicate => true,
            ConnectionEnd::ClosedInHandshake => closed_handshakes < MAX_CLOSED_HANDSHAKES,
            ConnectionEnd::Failed => false,
        };
        if !was_reached && !manager.links.borrow().contains_key(&name) {
            manager.on_dial_failed(&name);
        }
        if end == ConnectionEnd::Stable {
            backoff = MIN_DIAL_BACKOFF;
        }
        let jitter = 0.5 + 0.5 * manager.rng.borrow_mut().f64();
        Timer::after(backoff.mul_f64(jitter)).await;
        backoff = (backoff * 2).min(MAX_DIAL_BACKOFF);
    }
}

/// Dials once, and runs the connection to its end. `None` if the dial became unnecessary while it waited for a slot.
async fn dial(
    manager: &Rc<ConnectionManager>,
    name: &RouterId,
    address: SocketAddr,
) -> Option<ConnectionEnd> {
    let slot = manager.acquire_dial_slot().await;
    if manager.links.borrow().contains_key(name) || manager.end_dial_task_if_unwanted(name) {
        return None;
    }
    increment(&manager.counters.peer_dialled);
    let timeout = async {
        Timer::after(CONNECT_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    match future::or(Async::<TcpStream>::connect(address), timeout).await {
        Ok(stream) => Some(run_connection(manager, stream, Some(name), slot).await),
        Err(_) => {
            increment(&manager.counters.peer_dial_failed);
            Some(ConnectionEnd::Failed)
        }
    }
}
