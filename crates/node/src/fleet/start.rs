//! The fleet's start: folder, links, threads and rings, in the order in which each can still be refused.

use super::copies::{Copies, Parts};
use super::gather::GatherSet;
use super::port::{Fleet, Terms};
use super::FleetCounts;
use crate::clock::Clock;
use basaltgw_config::fleet::Fleet as FleetConfig;
use basaltgw_config::NodeConfig;
use basaltgw_control::{decode_purges, decode_table_register, purges::MOST_PURGES, ControlParts};
use basaltgw_control::{
    BootstrapMember, TableManager, TableManagerConfig, PURGES_SPACE, REGISTERS_SPACE, TABLE_SPACE,
};
use basaltgw_membership::{Membership, Presence, Settings as RosterSettings};
use basaltgw_registers::{Registers, Settings as HoldSettings};
use basaltgw_storage::{Found, Limits as StoreLimits, Store};
use basaltgw_transport::{Hello, Lane, Limits as LinkLimits, PeerConfig, TransportUser, PROTOCOL_VERSION};
use basaltgw_types::{Member, Ms, TableHash, TableVersion};
use std::collections::BTreeMap;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::io;
use std::sync::{Arc, Mutex};

/// Entries of a store for each hold: the hold, and a purge that is kept apart from it.
const ENTRIES_PER_HOLD: u64 = 2;
/// Bytes of a store beyond those of the holds: the table, the marks and the purges.
const SPARE_BYTES: u64 = 64 << 20;
/// Time to come back of a request that found no room to ask for its promise, in milliseconds: some rounds of copying.
const STAY_AWAY_MS: Ms = 200.0;
/// At an orderly end what is being put down is waited for so long: some rounds among routers that are reached, and a second try.
const END_MS: Ms = 1_000.0;
/// But for no more than this part of the longest deadline: a process that was asked to end may be killed that long after it takes no more.
const END_SHARE: Ms = 3.0;

/// 128 random bits of the system's, new with each call.
pub(crate) fn draw() -> u128 {
    let word = || u128::from(RandomState::new().build_hasher().finish());
    word() << 64 ^ word().rotate_left(17) ^ u128::from(std::process::id()) << 32
}

fn wrong(what: impl ToString) -> io::Error {
    io::Error::other(what.to_string())
}

/// Opens the folder and starts the threads of a router of a fleet.
///
/// # Errors
/// If the folder can't be used, the peers' address can't be listened at, or a thread can't be started.
pub fn start(set: &FleetConfig, config: &NodeConfig, clock: Clock) -> io::Result<Fleet> {
    let limits = &set.limits;
    let store_limits = StoreLimits {
        entries: limits.holds as u64 * ENTRIES_PER_HOLD + MOST_PURGES as u64,
        bytes: limits.hold_bytes as u64 + SPARE_BYTES,
        entry: limits.frame_bytes,
    };
    let (store, found) = Store::open(&set.folder, store_limits, draw()).map_err(wrong)?;
    let (incarnation, old) = match found {
        Found::Empty(new) => (new, false),
        Found::Life(old) => (old, true),
    };
    let me = Member { router: set.name.clone(), incarnation };
    log::info!("router {me} of fleet {}, {}", set.cluster, if old { "a life goes on" } else { "a new life" });
    let settles = config.settings.purge_convergence_time;
    let longest = config.settings.classes.iter().map(|c| c.deadline.max(c.key_window)).fold(0.0, f64::max);
    let hold_set = HoldSettings {
        max_open_requests: limits.open_asks,
        max_registers: limits.holds,
        max_bytes: limits.hold_bytes,
        max_outcome_bytes: limits.outcome_bytes,
        max_message_bytes: limits.frame_bytes,
        max_retry_after_ms: config.settings.max_retry_after.max(STAY_AWAY_MS),
        execution_retention_ms: HoldSettings::usual().execution_retention_ms.max(2.0 * longest),
        purge_retention_ms: (2.0 * settles).max(1_000.0),
        sync_batch: limits.fill_portion,
        sync_pause_ms: limits.fill_pause_ms.max(1.0),
        ..HoldSettings::usual()
    };
    let stay_away_least = hold_set.min_retry_after_ms;
    let records = store.read(REGISTERS_SPACE).map_err(wrong)?;
    let holds = Registers::new(me.clone(), hold_set, records, draw() as u64).map_err(wrong)?;
    let unread = || wrong(format!("{}: a purge that can't be read", set.folder.display()));
    let purges = decode_purges(store.read(PURGES_SPACE).map_err(wrong)?).ok_or_else(unread)?;
    let table = table(set, &me, &store)?;
    let presence = Presence { member: me.clone(), address: set.listen, domain: set.domain.clone() };
    let listed = set.peers.iter().map(|p| p.name.clone()).collect();
    let roster_set = RosterSettings { listed, ..RosterSettings::default() };
    let roster = Membership::new(presence, roster_set, draw() as u64).map_err(wrong)?;

    let (questions, asked) = rtrb::RingBuffer::new(limits.ring);
    let (tell, told) = rtrb::RingBuffer::new(limits.ring);
    let (ring, bell) = async_channel::bounded(1);
    let waker: Arc<Mutex<Option<std::thread::Thread>>> = Arc::default();
    let wake_copies = {
        let waker = Arc::clone(&waker);
        move || {
            if let Ok(thread) = waker.lock() {
                thread.iter().for_each(std::thread::Thread::unpark);
            }
        }
    };
    let ring_owner = {
        let ring = ring.clone();
        move || {
            let _ = ring.try_send(());
        }
    };
    let users = [
        TransportUser { lanes: vec![Lane::ScatterGather], wake: Box::new(ring_owner) },
        TransportUser {
            lanes: vec![Lane::Membership, Lane::Registers, Lane::Table],
            wake: Box::new(wake_copies),
        },
    ];
    let hello = Hello {
        protocol: PROTOCOL_VERSION,
        cluster: Arc::clone(&set.cluster),
        member: me.clone(),
        domain: set.domain.clone(),
        table: table.version().unwrap_or((TableVersion(0), TableHash([0; 32]))),
    };
    let listed = set.peers.iter().map(|p| PeerConfig {
        router: p.name.clone(),
        address: p.address,
        domain: p.domain.clone(),
    });
    let link_limits = LinkLimits {
        max_queued_frames: limits.lane_frames,
        max_queued_bytes: limits.lane_bytes,
        max_frame_bytes: limits.frame_bytes,
        ring_entries: limits.ring,
    };
    let link_set = (link_limits, super::overlay::links(set));
    let links =
        basaltgw_transport::start(hello, set.listen, listed.collect(), link_set, draw() as u64, users)?;
    let (own_port, copies_port, links) = links.split();
    let shown: Arc<Mutex<FleetCounts>> = Arc::default();
    let gather = set.gather.then(|| GatherSet {
        branch: Arc::clone(&set.domain.branch),
        branches: set
            .peers
            .iter()
            .map(|p| &p.domain)
            .chain([&set.domain])
            .map(|d| Arc::clone(&d.branch))
            .collect(),
        draw: draw(),
        settles,
        classes: config.settings.classes.clone(),
    });
    let control = ControlParts {
        me: me.clone(),
        has_previous_data: old,
        registers: holds,
        membership: roster,
        table,
        purges,
        purge_convergence_time: settles,
        shutdown_timeout: (config.settings.classes.iter().map(|c| c.deadline).fold(0.0, f64::max)
            / END_SHARE)
            .min(END_MS),
        scatter_gather_classes: gather
            .as_ref()
            .map(|g| g.classes.iter().map(|c| Arc::from(c.name.as_str())).collect()),
        overlay: super::overlay::parts(set, settles, draw() as u64).map_err(wrong)?,
    };
    let parts = Parts {
        control,
        store,
        port: copies_port,
        questions: asked,
        told: tell,
        bell: ring,
        shown: Arc::clone(&shown),
        counts: links.counts(),
        clock,
    };
    let run = move || match Copies::new(parts).run() {
        Ok(()) => String::new(),
        Err(why) => why,
    };
    let thread = std::thread::Builder::new().name("copies".into()).spawn(run)?;
    if let Ok(mut waker) = waker.lock() {
        *waker = Some(thread.thread().clone());
    }
    let terms = Terms {
        effects: set.holds.effects,
        purges: set.holds.purges,
        promise: limits.promise_ms,
        stay_away: stay_away_least.max(STAY_AWAY_MS),
        outcome_bytes: limits.outcome_bytes,
    };
    let effects = config.settings.classes.iter().map(|c| c.idempotency).collect();
    Ok(Fleet::new(
        me,
        effects,
        terms,
        (questions, told, bell),
        (Some((thread, links)), own_port),
        gather,
        shown,
    ))
}

/// The table's owner, with what was adopted before.
fn table(set: &FleetConfig, me: &Member, store: &Store) -> io::Result<TableManager> {
    let mut founders: BTreeMap<_, _> = set
        .peers
        .iter()
        .map(|p| (p.name.clone(), BootstrapMember { address: p.address, domain: p.domain.clone() }))
        .collect();
    founders.insert(set.name.clone(), BootstrapMember { address: set.listen, domain: set.domain.clone() });
    let kept = match store.get(TABLE_SPACE, &[]).map_err(wrong)? {
        Some(bytes) => {
            let found = decode_table_register(&bytes);
            Some(found.map_err(|e| wrong(format!("{}: the table kept there: {e}", set.folder.display())))?)
        }
        None => None,
    };
    let given = TableManagerConfig {
        me: me.clone(),
        founders,
        capacity: set.limits.holds as u64,
        rules: rules(set),
        replace_after: set.limits.replace_after_ms,
    };
    TableManager::new(given, kept).map_err(wrong)
}

/// The rules of the file, or those that the section itself amounts to.
pub fn rules(set: &FleetConfig) -> Vec<(String, String)> {
    match &set.rules {
        Some(rules) => vec![(rules.file.display().to_string(), rules.text.clone())],
        None => {
            let text = format!(
                "holds {{ shards {} copies {} spread machines }}\nroot {{ copies {} spread machines }}\n",
                set.shards, set.copies, set.copies
            );
            vec![("the section fleet".to_string(), text)]
        }
    }
}
