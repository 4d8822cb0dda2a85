//! Starts a router from its configuration, and runs it until it ends.

use crate::caches::ServerPool;
use crate::connection::ConnectionSlots;
use crate::limits::{
    BIND_RETRY_TIMEOUT, INPUT_QUEUE_CAPACITY, LISTEN_BACKLOG, RESERVED_DESCRIPTORS, RETRY_INTERVAL,
    SERVER_DESCRIPTOR_DIVISOR,
};
use crate::memory_budget::{ConnectionCounts, MemoryBudgets, MemoryPlan};
use crate::messages::{ConnectionContext, Input, InputQueues};
use crate::owner::Owner;
use crate::process_memory::resident_bytes;
use crate::reload::SettingsFile;
use crate::signal_handler::handle_signals;
use crate::{changelog, clients, fleet, owner, signals, snapshot_file};
use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::Async;
use basaltgw_config::fleet::Fleet;
use basaltgw_config::RouterConfig;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Instant;

/// The sending ends of the owner's queues.
struct InputSenders {
    urgent: Sender<Input>,
    connections: Sender<Input>,
    servers: Sender<Input>,
    clients: Sender<Input>,
}

/// Runs a router until a signal ends it; returns its counters as `name=value` pairs separated by spaces.
///
/// # Errors
/// If the router can't start, or one of the fleet's threads ended unexpectedly.
pub fn serve(mut config: RouterConfig, settings_file: SettingsFile) -> io::Result<String> {
    config.undecodable_events.iter().for_each(|fault| log::warn!("configuration entry ignored: {fault}"));
    let signals = signals::Signals::listen()?;
    let (senders, inputs) = input_queues();
    let plan = memory_plan(&config);
    let context = context(&plan, senders.clients);
    let to_servers =
        ConnectionContext { queue: senders.servers, read_pauses: Rc::default(), ..context.clone() };
    let caches = ServerPool::new(to_servers, plan.connections.servers, config.transport);
    let mut owner = Owner::new(&config, &settings_file.settings, &context, caches);
    if let Some(snapshot) = settings_file.settings.snapshot_file.as_ref().and_then(snapshot_file::load) {
        owner.restore(snapshot);
    }
    if let Some(settings) = &settings_file.settings.fleet {
        join_fleet(&mut owner, settings, &config, &context, senders.urgent.clone())?;
    }
    let listener = bind(config.listen)?;
    log::info!("{} listens at {}", config.name, listener.get_ref().local_addr()?);
    let executor = Rc::clone(&context.executor);
    let slots: Rc<ConnectionSlots> = owner.client_slots();
    // `context` stays alive, since the clients' queue, on which the owner waits, must not close while it runs.
    let listener =
        clients::accept(listener, plan.connections.clients, slots, senders.connections, context.clone());
    let listener = executor.spawn(listener);
    let (address_sender, addresses) = async_channel::bounded(INPUT_QUEUE_CAPACITY);
    let names = config.names.clone();
    let follow =
        changelog::follow(config.changelog, addresses, config.last_known_seq, names, senders.urgent.clone());
    executor.spawn(follow).detach();
    // The owner has handled these events; the signal handler needs only the settings.
    config.known_events = Vec::new();
    let snapshot_file = settings_file.settings.snapshot_file.clone();
    executor.spawn(handle_signals(signals, senders.urgent, config, settings_file, address_sender)).detach();
    let owner::ExitReport { counters, snapshot, snapshot_taken_at, fleet_counters, fault } =
        async_io::block_on(executor.run(owner.run(inputs, listener)));
    if let Some(file) = &snapshot_file {
        snapshot_file::store(file, &snapshot, snapshot_taken_at);
    }
    match fault {
        Some(fault) => Err(io::Error::other(fault)),
        None => Ok(format!("{counters}{fleet_counters}")),
    }
}

fn input_queues() -> (InputSenders, InputQueues) {
    let (urgent, urgent_inputs) = async_channel::bounded(INPUT_QUEUE_CAPACITY);
    let (connections, connection_inputs) = async_channel::bounded(INPUT_QUEUE_CAPACITY);
    let (servers, server_inputs) = async_channel::bounded(INPUT_QUEUE_CAPACITY);
    let (clients, client_inputs) = async_channel::bounded(INPUT_QUEUE_CAPACITY);
    let inputs = InputQueues {
        urgent: urgent_inputs,
        connections: connection_inputs,
        servers: server_inputs,
        clients: client_inputs,
    };
    (InputSenders { urgent, connections, servers, clients }, inputs)
}

fn context(plan: &MemoryPlan, queue: Sender<Input>) -> ConnectionContext {
    ConnectionContext {
        executor: Rc::new(LocalExecutor::new()),
        queue,
        clock: crate::clock::Clock::default(),
        budgets: MemoryBudgets::new(plan.message_bytes),
        invariants: Rc::default(),
        pause_detector: Rc::default(),
        read_pauses: Rc::default(),
        read_buffer: Rc::default(),
    }
}

/// Divides the descriptors between servers and clients.
fn connections_by_descriptors(config: &RouterConfig) -> ConnectionCounts {
    let servers = config.limits.descriptors / SERVER_DESCRIPTOR_DIVISOR;
    let clients = config.limits.descriptors.saturating_sub(servers + RESERVED_DESCRIPTORS).max(1);
    ConnectionCounts { servers: servers as usize, clients: clients as usize }
}

/// Divides the memory, and logs how.
fn memory_plan(config: &RouterConfig) -> MemoryPlan {
    let plan = MemoryPlan::new(&config.limits, resident_bytes(), connections_by_descriptors(config));
    let MemoryPlan { process_bytes, connections, message_bytes, exceeds_limit } = plan;
    let ConnectionCounts { clients, servers } = connections;
    let memory_mb = config.limits.memory_mb;
    log::info!(
        "memory of {memory_mb} MB: {process_bytes} bytes for the process, {message_bytes} for messages, {clients} clients' connections, \
         {servers} to servers"
    );
    if exceeds_limit {
        log::warn!("limits.memory_mb: {memory_mb} MB is less than the process and its connections may use");
    }
    plan
}

/// Starts the fleet's threads and connects the owner to them.
fn join_fleet(
    owner: &mut Owner,
    settings: &Fleet,
    config: &RouterConfig,
    context: &ConnectionContext,
    urgent: Sender<Input>,
) -> io::Result<()> {
    let fleet = fleet::start::start(settings, config, context.clock)?;
    let wakeups = fleet.wakeup.clone();
    let forward_wakeups =
        async move { while wakeups.recv().await.is_ok() && urgent.send(Input::Fleet).await.is_ok() {} };
    context.executor.spawn(forward_wakeups).detach();
    owner.join_fleet(fleet);
    Ok(())
}

/// Binds the listener. The bind is retried for a while if the address is in use, since the previous process may be about to end.
fn bind(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    let start = Instant::now();
    loop {
        match Async::<TcpListener>::bind(address) {
            Err(e) if e.kind() == io::ErrorKind::AddrInUse && start.elapsed() < BIND_RETRY_TIMEOUT => {
                std::thread::sleep(RETRY_INTERVAL);
            }
            Err(e) => return Err(io::Error::new(e.kind(), format!("cannot listen at {address}: {e}"))),
            Ok(listener) => {
                rustix::net::listen(&listener, LISTEN_BACKLOG)?;
                return Ok(listener);
            }
        }
    }
}
