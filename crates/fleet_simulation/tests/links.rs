//! The links' rules, by what a party sees of them.

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

/// What each router saw, and when.
type Seen = Rc<RefCell<Vec<(Ms, String, String)>>>;

/// Sends a number on each link that comes up, each millisecond or never, and notes what it sees.
struct Notes {
    me: String,
    every: Option<Ms>,
    next: Ms,
    links: BTreeMap<Member, u64>,
    got: BTreeMap<Member, u64>,
    seen: Seen,
    /// Lanes are expected to refuse frames.
    refused: bool,
}

impl Notes {
    fn note(&self, now: Ms, what: String) {
        self.seen.borrow_mut().push((now, self.me.clone(), what));
    }
}

impl ControlPlane for Notes {
    fn handle(&mut self, now: Ms, event: ControlPlaneEvent, out: &mut Vec<ControlPlaneAction>) {
        match event {
            ControlPlaneEvent::LinkUp(hello) => {
                self.note(now, format!("up {}", hello.member.router));
                self.links.insert(hello.member, 0);
            }
            ControlPlaneEvent::LinkDown(member, why) => {
                self.note(now, format!("down {} {why:?}", member.router));
                self.links.remove(&member);
                self.got.remove(&member);
            }
            ControlPlaneEvent::MessageReceived { from, body, .. } => {
                let number: u64 = postcard::from_bytes(&body).expect("a number");
                let before = self.got.insert(from.clone(), number);
                // Where a lane refuses frames, those are missing; the order is kept all the same.
                let next = before.map_or(1, |n| n + 1);
                assert!(
                    number == next || (number > next && self.refused),
                    "{number} of {from}, expected {next}"
                );
            }
            ControlPlaneEvent::TimersDue => {
                self.next = now + self.every.unwrap_or(f64::INFINITY);
                for (to, number) in &mut self.links {
                    *number += 1;
                    let body = postcard::to_stdvec(number).expect("bytes");
                    out.push(ControlPlaneAction::Send {
                        number: 7,
                        to: to.clone(),
                        lane: Lane::Registers,
                        body,
                    });
                }
            }
            ControlPlaneEvent::SendFailed(no) => self.note(now, format!("unsent {no}")),
            ControlPlaneEvent::ChangeLogPurge(_)
            | ControlPlaneEvent::Flush
            | ControlPlaneEvent::CommitFinished(..) => {}
        }
    }

    fn next_timer(&self) -> Ms {
        self.next
    }
}

fn go(setup: &Setup, every: Option<Ms>) -> (Figures, Vec<(Ms, String, String)>) {
    let seen = Seen::default();
    let start = |start: &StartContext, out: &mut Vec<ControlPlaneAction>| {
        let others = start.fleet.routers.iter().filter(|s| s.router != start.me.router);
        out.extend(others.map(|s| ControlPlaneAction::Dial(s.router.clone())));
        let (me, next) = (start.me.router.to_string(), every.map_or(f64::INFINITY, |e| start.now + e));
        let (links, got, seen) = (BTreeMap::new(), BTreeMap::new(), seen.clone());
        let refused = setup.network.bytes_per_s.is_some();
        Ok((Box::new(Notes { me, every, next, links, got, seen, refused }) as Box<dyn ControlPlane>, None))
    };
    let figures = run_with(setup, &start).expect("a run").0;
    let seen = seen.borrow().clone();
    (figures, seen)
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
fn each_pair_has_one_link_and_idle_ones_show_four_signs_of_life_a_second() {
    let (figures, seen) = go(&setup(6), None);
    let is = |name: &str| figures.values.get(name).copied().unwrap_or(-1.0);
    assert_eq!((is("links_least"), is("links_up"), is("links_broken")), (5.0, 30.0, 0.0), "{seen:?}");
    assert_eq!((is("alive_out_mean"), is("frames_out_mean")), (20.0, 0.0));
    // Out and in, each of 9 bytes with headers, and what acknowledges it.
    assert_eq!(is("wire_bytes_mean"), 20.0 * 2.0 * f64::from(9 + 52 + 52));
}

#[test]
fn a_link_that_is_written_to_needs_no_signs_of_life() {
    let (figures, _) = go(&setup(4), Some(100.0));
    assert_eq!(figures.values["alive_out_mean"], 0.0);
    assert_eq!(figures.values["frames_out_mean"], 30.0);
}

#[test]
fn frames_come_once_and_in_order_also_where_segments_are_lost() {
    let mut lossy = setup(4);
    (lossy.network.loss_share, lossy.network.jitter_share) = (0.05, 1.0);
    // The party itself looks at the order.
    let (figures, _) = go(&lossy, Some(5.0));
    assert!(figures.values["frames_in_mean"] > 0.95 * figures.values["frames_out_mean"]);
}

#[test]
fn silence_is_found_a_second_after_the_last_sign_of_life_and_the_link_comes_back() {
    let mut troubled = setup(3);
    troubled.scripted_faults = vec![cut(6_000_000, 4_000_000, CutDirection::Both)];
    let (_, seen) = go(&troubled, None);
    let silent: Vec<_> = seen.iter().filter(|(_, _, what)| what.ends_with("PeerTimeout")).collect();
    assert_eq!(silent.len(), 4, "{seen:?}");
    // The last sign of life was up to 250 ms old, and up to 165 ms under way.
    assert!(silent.iter().all(|(at, ..)| (6_750.0..7_166.0).contains(at)), "{silent:?}");
    let back: Vec<_> = seen.iter().filter(|(at, _, what)| *at > 8_000.0 && what.starts_with("up")).collect();
    assert_eq!(back.len(), 4, "{seen:?}");
    assert!(back.iter().all(|(at, ..)| (10_000.0..12_500.0).contains(at)), "{back:?}");
}

#[test]
fn a_short_cut_breaks_nothing_and_what_was_lost_comes_after_it() {
    let mut troubled = setup(3);
    troubled.scripted_faults = vec![cut(6_000_000, 300_000, CutDirection::Both)];
    let (figures, seen) = go(&troubled, Some(10.0));
    assert!(!seen.iter().any(|(_, _, what)| what.starts_with("down")), "{seen:?}");
    assert!(figures.values["frames_in_mean"] > 0.99 * figures.values["frames_out_mean"]);
}

#[test]
fn a_cut_one_way_breaks_the_link_at_both_ends() {
    let mut troubled = setup(2);
    troubled.shape.zones = 1;
    troubled.shape.regions = 1;
    troubled.scripted_faults = vec![cut(6_000_000, 4_000_000, CutDirection::Outbound)];
    let (_, seen) = go(&troubled, None);
    let down: Vec<_> = seen.iter().filter(|(_, _, what)| what.starts_with("down")).collect();
    // Whoever hears nothing closes; what it says then still passes.
    assert_eq!(down.len(), 2, "{seen:?}");
    assert!(down.iter().any(|(_, me, what)| me == "r00001" && what.ends_with("PeerTimeout")), "{down:?}");
    assert!(down.iter().any(|(_, me, what)| me == "r00000" && what.ends_with("ConnectionLost")), "{down:?}");
}

#[test]
fn a_process_that_ends_is_seen_at_once_and_a_machine_that_vanishes_after_a_second() {
    let mut troubled = setup(3);
    troubled.scripted_faults = vec![
        Fault { at: 6_000_000, kind: FaultKind::Restart { router: 1, duration: 1_000_000 } },
        Fault { at: 10_000_000, kind: FaultKind::Vanish { router: 1, duration: 3_000_000 } },
    ];
    let (_, seen) = go(&troubled, None);
    let down = |why: LinkError| {
        let ends = format!("down r00001 {why:?}");
        seen.iter().filter(|(_, _, what)| *what == ends).map(|(at, ..)| *at).collect::<Vec<_>>()
    };
    let (broken, silent) = (down(LinkError::ConnectionLost), down(LinkError::PeerTimeout));
    assert!(broken.len() == 2 && broken.iter().all(|at| (6_000.0..6_166.0).contains(at)), "{seen:?}");
    assert!(silent.len() == 2 && silent.iter().all(|at| (10_750.0..11_166.0).contains(at)), "{seen:?}");
    let up = seen.iter().filter(|(at, me, what)| *at > 13_000.0 && me != "r00001" && what == "up r00001");
    assert_eq!(up.count(), 2, "{seen:?}");
}

#[test]
fn a_lane_is_full_where_the_line_carries_too_little() {
    let mut slow = setup(3);
    (slow.network.bytes_per_s, slow.network.socket_buffer_bytes) = (Some(2_000), 1_000);
    let (figures, seen) = go(&slow, Some(1.0));
    assert!(figures.values["links_unsent_full"] > 0.0);
    assert!(seen.iter().any(|(_, _, what)| what == "unsent 7"));
}
