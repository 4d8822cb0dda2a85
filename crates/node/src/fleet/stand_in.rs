//! A fleet whose copies' thread is a test.

use super::port::{Fleet, Terms};
use super::{ControlNotification, ControlRequest};
use basaltgw::api::Idempotency;
use basaltgw_transport::{
    Hello, Lane, Limits, Port, Settings, TransportHandle, TransportUser, PROTOCOL_VERSION,
};
use basaltgw_types::{Domain, Incarnation, Member, RouterId, TableHash, TableVersion};
use std::sync::Arc;

/// The other ends of an owner's rings.
pub struct Thread {
    /// What it is asked.
    pub questions: rtrb::Consumer<ControlRequest>,
    /// What it tells.
    pub told: rtrb::Producer<ControlNotification>,
    port: Port,
    links: TransportHandle,
}

/// A fleet of one router, of which nothing runs but its links; rings have so many places. The first class is safe, the second unsafe.
pub fn fleet(ring: usize) -> (Fleet, Thread) {
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
    let here = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
    let set = (limits, Settings::default());
    let links = basaltgw_transport::start(hello, here, Vec::new(), set, 1, users).expect("links");
    let (own, port, links) = links.split();
    let (ask, questions) = rtrb::RingBuffer::new(ring);
    let (tell, told) = rtrb::RingBuffer::new(ring);
    let (_, bell) = async_channel::bounded(1);
    let terms = Terms { effects: true, purges: true, promise: 400.0, stay_away: 200.0, outcome_bytes: 4096 };
    let effects = vec![Idempotency::Idempotent, Idempotency::NonIdempotent];
    let fleet = Fleet::new(me, effects, terms, (ask, told, bell), (None, own), None, Arc::default());
    (fleet, Thread { questions, told: tell, port, links })
}

impl Fleet {
    /// Has a thread take its questions, to be waited for at the end.
    pub fn served_by(
        &mut self,
        thread: Thread,
        mut each: impl FnMut(ControlRequest) -> bool + Send + 'static,
    ) {
        let Thread { mut questions, told, port, links } = thread;
        let run = move || {
            let mut goes_on = true;
            while goes_on {
                match questions.pop() {
                    Ok(question) => goes_on = each(question),
                    Err(_) => std::thread::park_timeout(std::time::Duration::from_millis(1)),
                }
            }
            drop((told, port));
            String::new()
        };
        self.threads = Some((std::thread::spawn(run), links));
    }
}
