//! Starts a router's side of a fleet: opens the data folder, recovers the stored state, and starts the links and the threads.

use super::config::{FleetSettings, ScatterGatherConfig};
use super::handle::{Fleet, FleetParts, FleetThreads, OwnerRings};
use super::replication_thread::{ReplicationThread, ThreadIo};
use super::{overlay, FleetCounts};
use crate::clock::Clock;
use basaltgw_config::fleet::Fleet as FleetConfig;
use basaltgw_config::RouterConfig;
use basaltgw_control::{decode_purges, decode_table_register, purges::MAX_PURGES, ControlParts, Purges};
use basaltgw_control::{
    BootstrapMember, TableManager, TableManagerConfig, PURGES_SPACE, REGISTERS_SPACE, TABLE_SPACE,
};
use basaltgw_membership::{Membership, Presence, Settings as MembershipSettings};
use basaltgw_registers::{Registers, Settings as RegisterSettings};
use basaltgw_storage::{FolderState, Limits as StoreLimits, Store};
use basaltgw_transport::{
    Hello, Lane, Limits as LinkLimits, Links, PeerConfig, TransportUser, PROTOCOL_VERSION,
};
use basaltgw_types::{Member, Ms, TableHash, TableVersion};
use std::collections::BTreeMap;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::io;
use std::sync::{Arc, Mutex};
use std::thread::{JoinHandle, Thread};

/// Store entries for each register: its record, and a purge that is stored apart from it.
const ENTRIES_PER_REGISTER: u64 = 2;
/// Bytes of the store in addition to the registers, for the placement table and the purges.
const EXTRA_STORE_BYTES: u64 = 64 << 20;
/// The least Retry-After of a request for whose lease there was no capacity: a few replication round trips.
const MIN_RETRY_AFTER_MS: Ms = 200.0;
/// The longest time for which a graceful shutdown waits for uncommitted changes: a few round trips and one retry.
const MAX_SHUTDOWN_MS: Ms = 1_000.0;
/// The wait of a graceful shutdown is at most the longest deadline divided by this, since a process that is asked to end may be killed a
/// deadline later.
const SHUTDOWN_DEADLINE_DIVISOR: f64 = 3.0;
/// The name of the replication thread, by which profilers and the cost experiment find it.
const REPLICATION_THREAD_NAME: &str = "copies";

/// 128 random bits, new with each call; they come from the random seeds of the standard library's hash maps.
pub(crate) fn random_u128() -> u128 {
    let random_u64 = || u128::from(RandomState::new().build_hasher().finish());
    random_u64() << 64 ^ random_u64().rotate_left(17) ^ u128::from(std::process::id()) << 32
}

fn io_error(error: impl ToString) -> io::Error {
    io::Error::other(error.to_string())
}

/// Opens the data folder and starts the threads of a router of a fleet.
///
/// # Errors
/// If the folder can't be used, the listen address for peers can't be bound, or a thread can't be started.
pub fn start(fleet: &FleetConfig, config: &RouterConfig, clock: Clock) -> io::Result<Fleet> {
    let folder = Folder::open(fleet)?;
    let me = folder.member.clone();
    let recovered = Recovered::read(fleet, config, &folder)?;
    let membership = membership(fleet, &me)?;
    let (rings, thread_rings) = rings(fleet.limits.ring_entries);
    let thread_wakeup = ThreadWakeup::default();
    let hello = hello(fleet, &me, &recovered.table);
    let links = start_links(fleet, hello, &thread_rings.owner_wakeup, &thread_wakeup)?;
    let (owner_port, replication_port, transport) = links.split();
    let published_counts: Arc<Mutex<FleetCounts>> = Arc::default();
    let scatter_gather = fleet.gather.then(|| scatter_gather_config(fleet, config));
    let retry_after = recovered.min_retry_after.max(MIN_RETRY_AFTER_MS);
    let control = ControlParts {
        me: me.clone(),
        has_previous_data: folder.has_previous_data,
        registers: recovered.registers,
        membership,
        table: recovered.table,
        purges: recovered.purges,
        purge_convergence_time: config.settings.purge_convergence_time,
        shutdown_timeout: shutdown_timeout(config),
        scatter_gather_classes: scatter_gather.as_ref().map(class_names),
        overlay: overlay::parts(fleet, config.settings.purge_convergence_time, random_u128() as u64)
            .map_err(io_error)?,
    };
    let io = ThreadIo {
        store: folder.store,
        port: replication_port,
        requests: thread_rings.requests,
        notifications: thread_rings.notifications,
        owner_wakeup: thread_rings.owner_wakeup,
        published_counts: Arc::clone(&published_counts),
        link_counts: transport.counters(),
        clock,
    };
    let replication = spawn_replication_thread(control, io)?;
    thread_wakeup.set(replication.thread());
    Ok(Fleet::new(FleetParts {
        me,
        settings: fleet_settings(fleet, config, retry_after),
        rings,
        threads: Some(FleetThreads { replication, transport }),
        port: owner_port,
        scatter_gather,
        published_counts,
    }))
}

/// The open data folder.
struct Folder {
    store: Store,
    /// This router, with the incarnation that the folder stores.
    member: Member,
    /// Whether an earlier process has written to the folder.
    has_previous_data: bool,
}

impl Folder {
    fn open(fleet: &FleetConfig) -> io::Result<Self> {
        let limits = &fleet.limits;
        let store_limits = StoreLimits {
            max_entries: limits.max_registers as u64 * ENTRIES_PER_REGISTER + MAX_PURGES as u64,
            max_bytes: limits.max_register_bytes as u64 + EXTRA_STORE_BYTES,
            max_entry_bytes: limits.max_frame_bytes,
        };
        let (store, found) = Store::open(&fleet.folder, store_limits, random_u128()).map_err(io_error)?;
        let (incarnation, has_previous_data) = match found {
            FolderState::New(incarnation) => (incarnation, false),
            FolderState::Existing(incarnation) => (incarnation, true),
        };
        let member = Member { router: fleet.name.clone(), incarnation };
        let folder = if has_previous_data { "with data of an earlier process" } else { "empty" };
        log::info!("router {member} of fleet {}: data folder {folder}", fleet.cluster);
        Ok(Self { store, member, has_previous_data })
    }
}

/// The state recovered from the data folder.
struct Recovered {
    registers: Registers,
    min_retry_after: Ms,
    purges: Purges,
    table: TableManager,
}

impl Recovered {
    fn read(fleet: &FleetConfig, config: &RouterConfig, folder: &Folder) -> io::Result<Self> {
        let (store, me) = (&folder.store, &folder.member);
        let settings = register_settings(fleet, config);
        let min_retry_after = settings.min_retry_after_ms;
        let records = store.read(REGISTERS_SPACE).map_err(io_error)?;
        let registers =
            Registers::new(me.clone(), settings, records, random_u128() as u64).map_err(io_error)?;
        let unreadable = || io_error(format!("{}: a stored purge can't be decoded", fleet.folder.display()));
        let purges = decode_purges(store.read(PURGES_SPACE).map_err(io_error)?).ok_or_else(unreadable)?;
        let table = table(fleet, me, store)?;
        Ok(Self { registers, min_retry_after, purges, table })
    }
}

fn register_settings(fleet: &FleetConfig, config: &RouterConfig) -> RegisterSettings {
    let limits = &fleet.limits;
    let longest_repeat =
        config.settings.classes.iter().map(|c| c.deadline.max(c.key_window)).fold(0.0, f64::max);
    let standard = RegisterSettings::standard();
    RegisterSettings {
        max_open_requests: limits.max_open_requests,
        max_registers: limits.max_registers,
        max_bytes: limits.max_register_bytes,
        max_outcome_bytes: limits.max_outcome_bytes,
        max_message_bytes: limits.max_frame_bytes,
        max_retry_after_ms: config.settings.max_retry_after.max(MIN_RETRY_AFTER_MS),
        execution_retention_ms: standard.execution_retention_ms.max(2.0 * longest_repeat),
        purge_retention_ms: (2.0 * config.settings.purge_convergence_time).max(1_000.0),
        sync_batch: limits.sync_batch,
        sync_pause_ms: limits.sync_pause_ms.max(1.0),
        ..standard
    }
}

/// The manager of the placement table, with the stored register of the table if there is one, else with the configuration's bootstrap
/// members.
fn table(fleet: &FleetConfig, me: &Member, store: &Store) -> io::Result<TableManager> {
    let mut bootstrap_members: BTreeMap<_, _> = fleet
        .peers
        .iter()
        .map(|p| (p.name.clone(), BootstrapMember { address: p.address, domain: p.domain.clone() }))
        .collect();
    bootstrap_members
        .insert(fleet.name.clone(), BootstrapMember { address: fleet.listen, domain: fleet.domain.clone() });
    let unreadable =
        |e| io_error(format!("{}: the stored table can't be decoded: {e}", fleet.folder.display()));
    let stored = store.get(TABLE_SPACE, &[]).map_err(io_error)?;
    let register = stored.map(|bytes| decode_table_register(&bytes)).transpose().map_err(unreadable)?;
    let config = TableManagerConfig {
        me: me.clone(),
        bootstrap_members,
        capacity: fleet.limits.max_registers as u64,
        rules: placement_rules(fleet),
        replace_after: fleet.limits.replace_after_ms,
    };
    TableManager::new(config, register).map_err(io_error)
}

/// The placement rules as file name and text: those of the rules file, or those that the settings of the section `fleet` imply.
pub fn placement_rules(fleet: &FleetConfig) -> Vec<(String, String)> {
    match &fleet.rules {
        Some(rules) => vec![(rules.file.display().to_string(), rules.text.clone())],
        None => {
            let text = format!(
                "holds {{ shards {} copies {} spread machines }}\nroot {{ copies {} spread machines }}\n",
                fleet.shards, fleet.replicas, fleet.replicas
            );
            vec![("the section fleet".to_string(), text)]
        }
    }
}

fn membership(fleet: &FleetConfig, me: &Member) -> io::Result<Membership> {
    let presence = Presence { member: me.clone(), address: fleet.listen, domain: fleet.domain.clone() };
    let listed = fleet.peers.iter().map(|p| p.name.clone()).collect();
    let settings = MembershipSettings { listed_routers: listed, ..MembershipSettings::default() };
    Membership::new(presence, settings, random_u128() as u64).map_err(io_error)
}

/// The replication thread's ends of the rings to and from the owner.
struct ThreadRings {
    requests: rtrb::Consumer<super::ControlRequest>,
    notifications: rtrb::Producer<super::ControlNotification>,
    owner_wakeup: async_channel::Sender<()>,
}

fn rings(entries: usize) -> (OwnerRings, ThreadRings) {
    let (requests, requests_out) = rtrb::RingBuffer::new(entries);
    let (notifications_in, notifications) = rtrb::RingBuffer::new(entries);
    let (owner_wakeup, wakeup) = async_channel::bounded(1);
    let owner = OwnerRings { requests, notifications, wakeup };
    (owner, ThreadRings { requests: requests_out, notifications: notifications_in, owner_wakeup })
}

/// Wakes the replication thread; does nothing before that has been started.
#[derive(Clone, Default)]
struct ThreadWakeup(Arc<Mutex<Option<Thread>>>);

impl ThreadWakeup {
    fn set(&self, thread: &Thread) {
        if let Ok(mut slot) = self.0.lock() {
            *slot = Some(thread.clone());
        }
    }

    fn wake(&self) {
        if let Ok(slot) = self.0.lock() {
            slot.iter().for_each(Thread::unpark);
        }
    }
}

fn hello(fleet: &FleetConfig, me: &Member, table: &TableManager) -> Hello {
    Hello {
        protocol: PROTOCOL_VERSION,
        cluster: Arc::clone(&fleet.cluster),
        member: me.clone(),
        domain: fleet.domain.clone(),
        table: table.version().unwrap_or((TableVersion(0), TableHash([0; 32]))),
    }
}

fn start_links(
    fleet: &FleetConfig,
    hello: Hello,
    owner_wakeup: &async_channel::Sender<()>,
    thread_wakeup: &ThreadWakeup,
) -> io::Result<Links> {
    let (owner_wakeup, thread_wakeup) = (owner_wakeup.clone(), thread_wakeup.clone());
    let wake_owner = move || {
        let _ = owner_wakeup.try_send(());
    };
    let users = [
        TransportUser { lanes: vec![Lane::ScatterGather], wake: Box::new(wake_owner) },
        TransportUser {
            lanes: vec![Lane::Membership, Lane::Registers, Lane::Table],
            wake: Box::new(move || thread_wakeup.wake()),
        },
    ];
    let peer = |p: &basaltgw_config::fleet::Peer| PeerConfig {
        router: p.name.clone(),
        address: p.address,
        domain: p.domain.clone(),
    };
    let peers = fleet.peers.iter().map(peer).collect();
    let limits = LinkLimits {
        max_queued_frames: fleet.limits.max_queued_frames,
        max_queued_bytes: fleet.limits.max_queued_bytes,
        max_frame_bytes: fleet.limits.max_frame_bytes,
        ring_entries: fleet.limits.ring_entries,
    };
    let settings = (limits, overlay::link_settings(fleet));
    basaltgw_transport::start(hello, fleet.listen, peers, settings, random_u128() as u64, users)
}

fn scatter_gather_config(fleet: &FleetConfig, config: &RouterConfig) -> ScatterGatherConfig {
    let domains = fleet.peers.iter().map(|p| &p.domain).chain([&fleet.domain]);
    ScatterGatherConfig {
        branch: Arc::clone(&fleet.domain.branch),
        branches: domains.map(|d| Arc::clone(&d.branch)).collect(),
        seed: random_u128(),
        purge_convergence_time: config.settings.purge_convergence_time,
        classes: config.settings.classes.clone(),
    }
}

fn class_names(scatter_gather: &ScatterGatherConfig) -> Vec<Arc<str>> {
    scatter_gather.classes.iter().map(|c| Arc::from(c.name.as_str())).collect()
}

fn shutdown_timeout(config: &RouterConfig) -> Ms {
    let longest_deadline = config.settings.classes.iter().map(|c| c.deadline).fold(0.0, f64::max);
    (longest_deadline / SHUTDOWN_DEADLINE_DIVISOR).min(MAX_SHUTDOWN_MS)
}

fn spawn_replication_thread(
    control: ControlParts,
    io: ThreadIo,
) -> io::Result<JoinHandle<Result<(), super::replication_thread::ReplicationError>>> {
    let run = move || ReplicationThread::new(control, io).run();
    std::thread::Builder::new().name(REPLICATION_THREAD_NAME.into()).spawn(run)
}

fn fleet_settings(fleet: &FleetConfig, config: &RouterConfig, retry_after: Ms) -> FleetSettings {
    FleetSettings {
        replicate_executions: fleet.replicated.executions,
        replicate_purges: fleet.replicated.purges,
        lease_timeout: fleet.limits.lease_timeout_ms,
        retry_after,
        max_outcome_bytes: fleet.limits.max_outcome_bytes,
        idempotency: config.settings.classes.iter().map(|c| c.idempotency).collect(),
    }
}
