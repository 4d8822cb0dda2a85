//! Arbitrary frames: no panic, bounded state, and only their own link is closed.

mod net;

use basaltgw_overlay::{Action, Event, Kind, Overlay, RouterList, Settings, Shape, Side};
use basaltgw_types::{Incarnation, Member, RouterId};
use net::listed;
use proptest::prelude::*;
use std::sync::Arc;

fn linked() -> (Overlay, Member, Vec<u8>) {
    let all = listed(2, 6, 2);
    let list = Arc::new(RouterList::new(1, Shape::default(), all.clone()).expect("a list"));
    let mut overlay = Overlay::new(all[4].router.clone(), Settings::default(), 1).expect("settings");
    let mut out = Vec::new();
    overlay.handle(0.0, Event::RouterListChanged(list), &mut out);
    let member = Member { router: all[5].router.clone(), incarnation: Incarnation(1) };
    overlay.handle(0.0, Event::LinkUp(member.clone(), Side::Remote), &mut out);
    overlay.handle(1.0, Event::Publish(Kind::Purge, b"one/two".to_vec()), &mut out);
    out.clear();
    overlay.handle(10.0, Event::TimersDue, &mut out);
    let sent = out.into_iter().find_map(|a| match a {
        Action::Send(_, _, bytes) => Some(bytes),
        Action::Dial(_)
        | Action::Close(_)
        | Action::Deliver(..)
        | Action::GapDetected { .. }
        | Action::Log(_) => None,
    });
    (overlay, member, sent.expect("a frame"))
}

/// A router with one parent, and its frames: a query, and the escalated update.
fn asking() -> (Overlay, Member, Vec<Vec<u8>>) {
    let (mut parent, _, first) = linked();
    let all = listed(2, 6, 2);
    let list = Arc::new(RouterList::new(1, Shape::default(), all.clone()).expect("a list"));
    let settings = Settings { query_delay_ms: 250.0, ..Settings::default() };
    let mut below = Overlay::new(all[5].router.clone(), settings, 2).expect("settings");
    let (mut out, mut frames) = (Vec::new(), Vec::new());
    let (up, down) = (&all[4].router, &all[5].router);
    let member = |r: &RouterId| Member { router: r.clone(), incarnation: Incarnation(1) };
    below.handle(0.0, Event::RouterListChanged(list), &mut out);
    below.handle(0.0, Event::LinkUp(member(up), Side::Local), &mut out);
    below.handle(1.0, Event::FrameReceived(member(up), first), &mut out);
    below.handle(1.0, Event::AlreadyKnown(Kind::Purge, b"three/four".to_vec()), &mut out);
    for at in 1..20 {
        let now = f64::from(at) * 250.0;
        for who in [up, down] {
            let (from, to) = if who == up { (&mut parent, &mut below) } else { (&mut below, &mut parent) };
            out.clear();
            from.handle(now, Event::TimersDue, &mut out);
            for action in std::mem::take(&mut out) {
                if let Action::Send(_, _, bytes) = action {
                    to.handle(now + 1.0, Event::FrameReceived(member(who), bytes.clone()), &mut out);
                    frames.extend((who == down).then_some(bytes));
                }
            }
        }
    }
    assert!(below.counters().escalated == 1 && parent.counters().unknown == 1, "{:?}", below.counters());
    (parent, member(down), frames)
}

fn sound(overlay: &mut Overlay, member: &Member, frames: Vec<Vec<u8>>) {
    let mut out = Vec::new();
    for (at, frame) in frames.into_iter().enumerate() {
        let now = 20.0 + at as f64 * 100.0;
        overlay.handle(now, Event::FrameReceived(member.clone(), frame), &mut out);
        overlay.handle(now, Event::TimersDue, &mut out);
    }
    let (sizes, settings) = (overlay.state_sizes(), Settings::default());
    assert!(sizes.streams <= settings.max_streams && sizes.repairs <= settings.max_repairs);
    assert!(sizes.pending_updates <= settings.max_pending);
    assert!(sizes.retained_bytes <= settings.max_log_bytes + 2 * settings.max_frame_bytes);
    for action in out {
        match action {
            Action::Send(_, _, bytes) => assert!(bytes.len() <= settings.max_frame_bytes),
            Action::Close(closed) => assert_eq!(closed, *member),
            Action::Dial(_) | Action::Deliver(..) | Action::GapDetected { .. } | Action::Log(_) => {}
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn arbitrary_frames_leave_the_state_bounded(frames in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..200), 0..20)) {
        let (mut overlay, member, _) = linked();
        sound(&mut overlay, &member, frames);
    }

    #[test]
    fn corrupted_update_frames_leave_the_state_bounded(changes in proptest::collection::vec((any::<u16>(), any::<u8>()), 0..12)) {
        let (mut overlay, member, frame) = linked();
        let mut frames = vec![frame.clone()];
        for (at, to) in changes {
            let mut changed = frame.clone();
            let at = usize::from(at) % changed.len();
            changed[at] = to;
            frames.push(changed);
        }
        sound(&mut overlay, &member, frames);
    }

    #[test]
    fn corrupted_query_frames_leave_the_state_bounded(changes in proptest::collection::vec((any::<u8>(), any::<u16>(), any::<u8>()), 0..12)) {
        let (mut overlay, member, frames) = asking();
        let mut all = Vec::new();
        for (frame, at, to) in changes {
            let mut changed = frames[usize::from(frame) % frames.len()].clone();
            let at = usize::from(at) % changed.len();
            changed[at] = to;
            all.push(changed);
        }
        sound(&mut overlay, &member, all);
    }
}

#[test]
fn queries_and_escalations_of_a_child_leave_the_state_bounded() {
    let (mut overlay, member, _) = linked();
    let mut out = Vec::new();
    // Encoded by hand: no names, and one part with as many hashes or updates as a frame fits.
    let many = |part: u8, count: u32, each: &[u8]| {
        let mut frame = vec![0, 0, 1, part];
        let mut left = count;
        while left >= 0x80 {
            frame.push(left as u8 | 0x80);
            left >>= 7;
        }
        frame.push(left as u8);
        frame.extend((0..count).flat_map(|_| each.iter().copied()));
        frame
    };
    for at in 0..2_000_u32 {
        let now = 20.0 + f64::from(at) * 10.0;
        let hash = [at as u8, (at >> 8) as u8, 1, 2, 3, 4, 5, 6];
        overlay.handle(now, Event::FrameReceived(member.clone(), many(11, 512, &hash[..4])), &mut out);
        overlay.handle(now, Event::FrameReceived(member.clone(), many(12, 512, &hash)), &mut out);
        let mut update = vec![0, 0, 1, 15, 0, 200, 1];
        update.extend((0..200_u32).flat_map(|n| [0, 4, at as u8, (at >> 8) as u8, n as u8, 7]));
        overlay.handle(now, Event::FrameReceived(member.clone(), update), &mut out);
        overlay.handle(now, Event::TimersDue, &mut out);
    }
    let (sizes, settings, counters) =
        (overlay.state_sizes(), Settings::default(), overlay.counters().clone());
    assert_eq!(counters.malformed_frames, 0, "{:?}", out.iter().find(|a| matches!(a, Action::Log(_))));
    assert!(
        counters.unknown > 1_000_000 && counters.requests_dropped > 0 && counters.escalations_rejected > 0,
        "{counters:?}"
    );
    assert_eq!(sizes.pending_updates, settings.max_pending);
    let longest = |a: &Action| if let Action::Send(_, _, bytes) = a { bytes.len() } else { 0 };
    assert!(out.iter().map(longest).max().is_some_and(|most| most <= settings.max_frame_bytes));
}

#[test]
fn a_malformed_frame_closes_its_link_and_is_counted() {
    let (mut overlay, member, _) = linked();
    let mut out = Vec::new();
    overlay.handle(20.0, Event::FrameReceived(member.clone(), vec![0xff; 40]), &mut out);
    assert!(out.contains(&Action::Close(member)), "{out:?}");
    assert_eq!(overlay.counters().malformed_frames, 1);
}

#[test]
fn invalid_settings_are_rejected_by_name() {
    let me = listed(1, 1, 0)[0].router.clone();
    let bad = Settings { late_ms: f64::NAN, ..Settings::default() };
    let found = Overlay::new(me.clone(), bad, 1).expect_err("no time");
    assert_eq!(found.to_string(), "overlay.late_ms: expected more than 0 and at most a day in ms");
    let bad = Settings { max_frame_bytes: 1000, ..Settings::default() };
    assert!(Overlay::new(me, bad, 1).expect_err("no room").to_string().starts_with("overlay.most_frame"));
}
