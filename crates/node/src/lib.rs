//! The router on sockets: clients, caches and the change log round the decision module.
//!
//! A request comes in by [`clients`], is held by [`owner`], goes out by [`caches`] and comes back the same way. The
//! module alone decides; what is here carries.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod breaks;
pub mod caches;
pub mod changelog;
pub mod clients;
pub mod clock;
pub mod counters;
pub mod fleet;
pub mod inbox;
pub mod invariants;
pub mod limits;
pub mod log_writer;
pub mod outbox;
pub mod owner;
pub mod permissions;
pub mod platform_time;
pub mod shown;
pub mod shutdown;
pub mod signals;
pub mod slow_start_watch;
pub mod socket;
pub mod stalls;
pub mod tree;

pub use basaltgw_resp as resp;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Async;
use basaltgw::routing::snapshot::Snapshot;
use basaltgw_config::{learnt, Carry, Hierarchy, News, NodeConfig, OwnSettings};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Instant;

/// What sockets tell the owner of the module.
pub enum Input {
    /// A client connected.
    ClientOpen(clients::ClientId, outbox::Outbox, Rc<clients::life::Life>),
    /// A client sent a message; its last byte was read at that time.
    Client(clients::ClientId, clients::FromClient, basaltgw::api::Ms),
    /// Nothing more is read of a client, or is handed on.
    ClientStopped(clients::ClientId, inbox::Over),
    /// A client's connection is over.
    ClientClosed(clients::ClientId),
    /// A client waits for a place.
    RoomWanted,
    /// A connection to a server came up.
    CacheUp(caches::ConnId),
    /// A server answered.
    Cache(caches::ConnId, caches::Answer),
    /// A connection to a server is over, or never came up.
    CacheDown(caches::ConnId, caches::Down),
    /// An event of the change log.
    News(News),
    /// The change log's connection was lost, or it moved.
    LogLost,
    /// A second connection to the change log is tried, for a doubt about the first.
    LogDoubted(changelog::Doubt),
    /// The configuration was read again; false if it could not be used.
    Reloaded(bool),
    /// The project's own file was read again.
    Plan(Box<Hierarchy>),
    /// New rules of the fleet, by file name and text.
    Rules(String, String),
    /// The fleet's threads have told something.
    Fleet,
    /// The process was asked to end.
    End,
    /// The counters were asked for.
    Count,
}

/// What waits for the owner. News and signals go before what servers say, and that before what clients say.
pub struct Inputs {
    /// News of the change log, and signals.
    pub urgent: Receiver<Input>,
    /// From connections to servers.
    pub servers: Receiver<Input>,
    /// From clients.
    pub clients: Receiver<Input>,
}

/// What all connections of a side share.
#[derive(Clone)]
pub struct Shared {
    /// Where they run.
    pub executor: Rc<LocalExecutor<'static>>,
    /// To the owner.
    pub queue: Sender<Input>,
    /// The time.
    pub clock: clock::Clock,
    /// Bytes held by all of them.
    pub meter: Rc<outbox::Meter>,
    /// Watches that the rules are kept.
    pub invariants: Rc<invariants::Invariants>,
    /// Stops of the process.
    pub stalls: Rc<stalls::Stalls>,
    /// Nothing more is read while so much is held.
    pub held_limit: usize,
}

/// The project's own settings, and the file from which they are read again.
#[derive(Clone, Debug, Default)]
pub struct Own {
    /// The file, if one was given.
    pub file: Option<PathBuf>,
    /// What it says.
    pub settings: OwnSettings,
}

/// Runs a router until it is asked to end; gives what it counted, as `name=value` words.
///
/// # Errors
/// If it can't start, or one of the fleet's threads has ended by itself.
pub fn serve(mut config: NodeConfig, own: Own) -> io::Result<String> {
    config.unread.iter().for_each(|fault| log::warn!("left out: {fault}"));
    let signals = signals::Signals::listen()?;
    let (queue, from_clients) = async_channel::bounded(limits::QUEUE);
    let (answers, from_servers) = async_channel::bounded(limits::QUEUE);
    let (urgent, news) = async_channel::bounded(limits::QUEUE);
    let inputs = Inputs { urgent: news, servers: from_servers, clients: from_clients };
    let (moves, moved) = async_channel::bounded(limits::QUEUE);
    let shared = Shared {
        executor: Rc::new(LocalExecutor::new()),
        queue,
        clock: clock::Clock::default(),
        meter: Rc::default(),
        invariants: Rc::default(),
        stalls: Rc::default(),
        held_limit: config.limits.share_of_memory(limits::HELD_STOP_SHARE),
    };
    let servers = config.limits.sockets / limits::SERVER_SHARE;
    let clients = config.limits.sockets.saturating_sub(servers + limits::OWN_DESCRIPTORS).max(1);
    let caches =
        caches::Caches::new(Shared { queue: answers, ..shared.clone() }, servers as usize, config.transport);
    let mut owner = owner::Owner::new(&config, &own.settings, &shared, caches);
    if let Some(learnt) = own.settings.carry.as_ref().and_then(learnt) {
        owner.adopt(learnt);
    }
    if let Some(set) = &own.settings.fleet {
        let fleet = fleet::start::start(set, &config, shared.clock)?;
        // The threads' bell becomes one of the owner's inputs.
        let (bell, urgent) = (fleet.bell.clone(), urgent.clone());
        let ring =
            async move { while bell.recv().await.is_ok() && urgent.send(Input::Fleet).await.is_ok() {} };
        shared.executor.spawn(ring).detach();
        owner.join(fleet);
    }
    let listener = bind(config.listen)?;
    log::info!("{} listens at {}", config.name, listener.get_ref().local_addr()?);
    let executor = Rc::clone(&shared.executor);
    let listener =
        executor.spawn(clients::accept(listener, clients as usize, owner.places(), shared.clone()));
    let names = config.names.clone();
    let follow = changelog::follow(config.changelog, moved, config.known_seq, names, urgent.clone());
    executor.spawn(follow).detach();
    config.known = Vec::new();
    executor.spawn(shutdown::watch(signals, urgent, (config, own.clone()), moves)).detach();
    let owner::Ended { counters, learnt: left, left_at, fleet, fault } =
        async_io::block_on(executor.run(owner.run(inputs, listener)));
    if let Some(carry) = &own.settings.carry {
        match leave(&carry.file, &learnt::write(&left, left_at)) {
            Ok(()) => log::info!(
                "left what was learnt of {} servers at {}",
                left.servers.len(),
                carry.file.display()
            ),
            Err(e) => log::warn!("what was learnt is not left: {}: {e}", carry.file.display()),
        }
    }
    match fault {
        Some(fault) => Err(io::Error::other(fault)),
        None => Ok(format!("{counters}{fleet}")),
    }
}

/// What an earlier process left, with Unix times; what can't be used is logged and left out. How long ago it was written is a question to
/// the wall clock alone: nothing that is right depends on the answer.
fn learnt(carry: &Carry) -> Option<Snapshot> {
    let at = carry.file.display();
    let read = || -> Result<Snapshot, String> {
        let size = std::fs::metadata(&carry.file).map_err(|e| e.to_string())?.len();
        if size > learnt::LEARNT_MOST_BYTES {
            return Err(format!("expected at most {} bytes, found {size}", learnt::LEARNT_MOST_BYTES));
        }
        let text = std::fs::read_to_string(&carry.file).map_err(|e| e.to_string())?;
        learnt::read(&text, clock::wall_now(), carry.oldest).map_err(|e| e.to_string())
    };
    if !carry.file.exists() {
        log::info!("nothing was left at {at}");
        return None;
    }
    read().map_err(|e| log::warn!("what was left at {at} is not used: {e}")).ok()
}

/// Writes it whole or not at all.
fn leave(file: &std::path::Path, text: &str) -> io::Result<()> {
    let mut new = file.to_path_buf().into_os_string();
    new.push(".new");
    std::fs::write(&new, text)?;
    std::fs::rename(&new, file)
}

/// Listens; a process that is just ending may hold the address for a moment.
fn bind(at: SocketAddr) -> io::Result<Async<TcpListener>> {
    let start = Instant::now();
    loop {
        match Async::<TcpListener>::bind(at) {
            Err(e) if e.kind() == io::ErrorKind::AddrInUse && start.elapsed() < limits::BIND => {
                std::thread::sleep(limits::WAIT);
            }
            Err(e) => return Err(e),
            Ok(listener) => {
                rustix::net::listen(&listener, limits::BACKLOG)?;
                return Ok(listener);
            }
        }
    }
}
