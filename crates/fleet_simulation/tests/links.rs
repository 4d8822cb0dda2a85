//! The link protocol as a control plane observes it: one link per pair, keepalives, order of frames, time-outs and reconnects.

use basaltgw_fleet_simulation::control_plane::{
    ControlPlane, ControlPlaneAction, ControlPlaneEvent, StartContext,
};
use basaltgw_fleet_simulation::fault::{Fault, FaultKind};
use basaltgw_fleet_simulation::links::CutDirection;
use basaltgw_fleet_simulation::run::{run_with, Figures, Setup};
use basaltgw_fleet_simulation::Micros;
use basaltgw_types::link::{Lane, LinkError};
use basaltgw_types::{Member, Ms};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// The events of all recorders: time, router and description of each.
type EventLog = Rc<RefCell<Vec<(Ms, String, String)>>>;

/// A control plane that records its events. If it has an interval, it sends the next number on each link at that interval, and it checks
/// the order of received numbers.
struct Recorder {
    me: String,
    interval_ms: Option<Ms>,
    next: Ms,
    /// The last number sent to each peer.
    links: BTreeMap<Member, u64>,
    /// The last number received from each peer.
    received: BTreeMap<Member, u64>,
    log: EventLog,
    /// Whether full lanes may refuse frames.
    may_refuse: bool,
}

impl Recorder {
    fn record(&self, now: Ms, description: String) {
        self.log.borrow_mut().push((now, self.me.clone(), description));
    }
}

impl ControlPlane for Recorder {
    fn handle(&mut self, now: Ms, event: ControlPlaneEvent, out: &mut Vec<ControlPlaneAction>) {
        match event {
            ControlPlaneEvent::LinkUp(hello) => {
                self.record(now, format!("up {}", hello.member.router));
                self.links.insert(hello.member, 0);
            }
            ControlPlaneEvent::LinkDown(member, reason) => {
                self.record(now, format!("down {} {reason:?}", member.router));
                self.links.remove(&member);
                self.received.remove(&member);
            }
            ControlPlaneEvent::MessageReceived { from, body, .. } => {
                let number: u64 = postcard::from_bytes(&body).expect("a number");
                let before = self.received.insert(from.clone(), number);
                // Refused frames are missing; the others still arrive in order.
                let next = before.map_or(1, |n| n + 1);
                assert!(
                    number == next || (number > next && self.may_refuse),
                    "received number {number} from {from}, expected {next}"
                );
            }
            ControlPlaneEvent::TimersDue => {
                self.next = now + self.interval_ms.unwrap_or(f64::INFINITY);
                for (to, number) in &mut self.links {
                    *number += 1;
                    let body = postcard::to_stdvec(number).expect("an encoded number");
                    out.push(ControlPlaneAction::Send {
                        number: 7,
                        to: to.clone(),
                        lane: Lane::Registers,
                        body,
                    });
                }
            }
            ControlPlaneEvent::SendFailed(number) => self.record(now, format!("unsent {number}")),
            ControlPlaneEvent::ChangeLogPurge(_)
            | ControlPlaneEvent::Flush
            | ControlPlaneEvent::CommitFinished(..) => {}
        }
    }

    fn next_timer(&self) -> Ms {
        self.next
    }
}

/// Runs recorders on all routers; returns the figures and the log of their events.
fn run_recorders(setup: &Setup, interval_ms: Option<Ms>) -> (Figures, Vec<(Ms, String, String)>) {
    let log = EventLog::default();
    let start = |start: &StartContext, out: &mut Vec<ControlPlaneAction>| {
        let others = start.fleet.routers.iter().filter(|s| s.router != start.me.router);
        out.extend(others.map(|s| ControlPlaneAction::Dial(s.router.clone())));
        let (me, next) =
            (start.me.router.to_string(), interval_ms.map_or(f64::INFINITY, |ms| start.now + ms));
        let (links, received, log) = (BTreeMap::new(), BTreeMap::new(), log.clone());
        let may_refuse = setup.network.bytes_per_s.is_some();
        Ok((
            Box::new(Recorder { me, interval_ms, next, links, received, log, may_refuse })
                as Box<dyn ControlPlane>,
            None,
        ))
    };
    let figures = run_with(setup, &start).expect("a valid setup").0;
    let log = log.borrow().clone();
    (figures, log)
}

fn setup(routers: usize) -> Setup {
    let mut setup = Setup::mesh(routers, 9);
    (setup.warm_up_s, setup.measured_s, setup.drain_s) = (5.0, 10.0, 0.0);
    setup
}

fn cut(at: Micros, duration: Micros, direction: CutDirection) -> Fault {
    Fault { at, kind: FaultKind::Cut { routers: vec![0], direction, duration } }
}

#[test]
fn each_pair_has_one_link_and_idle_links_send_four_keepalives_a_second() {
    let (figures, log) = run_recorders(&setup(6), None);
    let figure = |name: &str| figures.values.get(name).copied().unwrap_or(-1.0);
    assert_eq!(
        (figure("links_least"), figure("links_up"), figure("links_broken")),
        (5.0, 30.0, 0.0),
        "{log:?}"
    );
    assert_eq!((figure("alive_out_mean"), figure("frames_out_mean")), (20.0, 0.0));
    // Out and in: keepalives of 9 bytes with their headers, and their acknowledgements.
    assert_eq!(figure("wire_bytes_mean"), 20.0 * 2.0 * f64::from(9 + 52 + 52));
}

#[test]
fn a_busy_link_sends_no_keepalives() {
    let (figures, _) = run_recorders(&setup(4), Some(100.0));
    assert_eq!(figures.values["alive_out_mean"], 0.0);
    assert_eq!(figures.values["frames_out_mean"], 30.0);
}

#[test]
fn frames_arrive_once_and_in_order_despite_lost_segments() {
    let mut lossy = setup(4);
    (lossy.network.loss_share, lossy.network.jitter_share) = (0.05, 1.0);
    // The recorder checks the order of the numbers.
    let (figures, _) = run_recorders(&lossy, Some(5.0));
    assert!(figures.values["frames_in_mean"] > 0.95 * figures.values["frames_out_mean"]);
}

#[test]
fn a_link_times_out_a_second_after_the_last_keepalive_and_is_restored() {
    let mut setup = setup(3);
    setup.scripted_faults = vec![cut(6_000_000, 4_000_000, CutDirection::Both)];
    let (_, log) = run_recorders(&setup, None);
    let timed_out: Vec<_> = log.iter().filter(|(_, _, event)| event.ends_with("PeerTimeout")).collect();
    assert_eq!(timed_out.len(), 4, "{log:?}");
    // The last keepalive was up to 250 ms old, and took up to 165 ms.
    assert!(timed_out.iter().all(|(at, ..)| (6_750.0..7_166.0).contains(at)), "{timed_out:?}");
    let restored: Vec<_> =
        log.iter().filter(|(at, _, event)| *at > 8_000.0 && event.starts_with("up")).collect();
    assert_eq!(restored.len(), 4, "{log:?}");
    assert!(restored.iter().all(|(at, ..)| (10_000.0..12_500.0).contains(at)), "{restored:?}");
}

#[test]
fn a_short_partition_closes_no_link_and_lost_frames_arrive_after_it() {
    let mut setup = setup(3);
    setup.scripted_faults = vec![cut(6_000_000, 300_000, CutDirection::Both)];
    let (figures, log) = run_recorders(&setup, Some(10.0));
    assert!(!log.iter().any(|(_, _, event)| event.starts_with("down")), "{log:?}");
    assert!(figures.values["frames_in_mean"] > 0.99 * figures.values["frames_out_mean"]);
}

#[test]
fn a_one_way_partition_closes_the_link_at_both_ends() {
    let mut setup = setup(2);
    setup.shape.zones = 1;
    setup.shape.regions = 1;
    setup.scripted_faults = vec![cut(6_000_000, 4_000_000, CutDirection::Outbound)];
    let (_, log) = run_recorders(&setup, None);
    let down: Vec<_> = log.iter().filter(|(_, _, event)| event.starts_with("down")).collect();
    // The end that receives nothing closes the link; its close still reaches the peer.
    assert_eq!(down.len(), 2, "{log:?}");
    assert!(down.iter().any(|(_, me, event)| me == "r00001" && event.ends_with("PeerTimeout")), "{down:?}");
    assert!(
        down.iter().any(|(_, me, event)| me == "r00000" && event.ends_with("ConnectionLost")),
        "{down:?}"
    );
}

#[test]
fn a_killed_process_is_noticed_at_once_and_a_vanished_machine_after_a_second() {
    let mut setup = setup(3);
    setup.scripted_faults = vec![
        Fault { at: 6_000_000, kind: FaultKind::Restart { router: 1, duration: 1_000_000 } },
        Fault { at: 10_000_000, kind: FaultKind::Vanish { router: 1, duration: 3_000_000 } },
    ];
    let (_, log) = run_recorders(&setup, None);
    let down = |reason: LinkError| {
        let expected = format!("down r00001 {reason:?}");
        log.iter().filter(|(_, _, event)| *event == expected).map(|(at, ..)| *at).collect::<Vec<_>>()
    };
    let (lost, timed_out) = (down(LinkError::ConnectionLost), down(LinkError::PeerTimeout));
    assert!(lost.len() == 2 && lost.iter().all(|at| (6_000.0..6_166.0).contains(at)), "{log:?}");
    assert!(timed_out.len() == 2 && timed_out.iter().all(|at| (10_750.0..11_166.0).contains(at)), "{log:?}");
    let up = log.iter().filter(|(at, me, event)| *at > 13_000.0 && me != "r00001" && event == "up r00001");
    assert_eq!(up.count(), 2, "{log:?}");
}

#[test]
fn a_lane_fills_when_the_bandwidth_is_too_low() {
    let mut slow = setup(3);
    (slow.network.bytes_per_s, slow.network.socket_buffer_bytes) = (Some(2_000), 1_000);
    let (figures, log) = run_recorders(&slow, Some(1.0));
    assert!(figures.values["links_unsent_full"] > 0.0);
    assert!(log.iter().any(|(_, _, event)| event == "unsent 7"));
}
