//! A fleet for tests, in which a stand-in takes the place of the replication thread.

use super::handle::{Fleet, FleetParts, FleetThreads, OwnerRings};
use super::{ControlNotification, ControlRequest, FleetSettings};
use basaltgw::api::Idempotency;
use basaltgw_transport::{
    Hello, Lane, Limits, Port, Settings, TransportHandle, TransportUser, PROTOCOL_VERSION,
};
use basaltgw_types::{Domain, Incarnation, Member, RouterId, TableHash, TableVersion};
use std::sync::Arc;

/// The stand-in for the replication thread: its ends of an owner's rings.
pub struct StandIn {
    /// Requests of the owner.
    pub requests: rtrb::Consumer<ControlRequest>,
    /// Notifications to the owner.
    pub notifications: rtrb::Producer<ControlNotification>,
    port: Port,
    transport: TransportHandle,
}

/// A fleet of one router, of which only the transport thread runs. The first class is idempotent, the second is not.
pub fn fleet(ring_entries: usize) -> (Fleet, StandIn) {
    let text = |t: &str| Arc::<str>::from(t);
    let me = Member { router: RouterId(text("r1")), incarnation: Incarnation(7) };
    let hello = Hello {
        protocol: PROTOCOL_VERSION,
        cluster: text("test"),
        member: me.clone(),
        domain: Domain { branch: text("north"), machine: text("m1") },
        table: (TableVersion(0), TableHash([0; 32])),
    };
    let user = |lanes: Vec<Lane>| TransportUser { lanes, wake: Box::new(|| ()) };
    let users = [user(vec![Lane::ScatterGather]), user(vec![Lane::Membership, Lane::Registers, Lane::Table])];
    let limits =
        Limits { max_queued_frames: 4, max_queued_bytes: 4096, max_frame_bytes: 1024, ring_entries: 4 };
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = (limits, Settings::default());
    let links = basaltgw_transport::start(hello, address, Vec::new(), settings, 1, users).expect("links");
    let (owner_port, port, transport) = links.split();
    let (requests, requests_out) = rtrb::RingBuffer::new(ring_entries);
    let (notifications_in, notifications) = rtrb::RingBuffer::new(ring_entries);
    let (_, wakeup) = async_channel::bounded(1);
    let settings = FleetSettings {
        replicate_executions: true,
        replicate_purges: true,
        lease_timeout: 400.0,
        retry_after: 200.0,
        max_outcome_bytes: 4096,
        idempotency: vec![Idempotency::Idempotent, Idempotency::NonIdempotent],
    };
    let fleet = Fleet::new(FleetParts {
        me,
        settings,
        rings: OwnerRings { requests, notifications, wakeup },
        threads: None,
        port: owner_port,
        scatter_gather: None,
        published_counts: Arc::default(),
    });
    (fleet, StandIn { requests: requests_out, notifications: notifications_in, port, transport })
}

impl Fleet {
    /// Starts a thread that takes the fleet's requests until `handle` returns false; a shutdown waits for the thread.
    pub fn start_stand_in(
        &mut self,
        stand_in: StandIn,
        mut handle: impl FnMut(ControlRequest) -> bool + Send + 'static,
    ) {
        let StandIn { mut requests, notifications, port, transport } = stand_in;
        let run = move || {
            let mut running = true;
            while running {
                match requests.pop() {
                    Ok(request) => running = handle(request),
                    Err(_) => std::thread::park_timeout(std::time::Duration::from_millis(1)),
                }
            }
            drop((notifications, port));
            Ok(())
        };
        self.threads = Some(FleetThreads { replication: std::thread::spawn(run), transport });
    }
}
