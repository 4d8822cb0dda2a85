//! A client's connection under any order of what its reader, its writer and the owner tell.

use basaltgw_node::clients::life::{Event, Life, Quiet, State};
use basaltgw_node::clients::places::Places;
use basaltgw_node::inbox::Over;
use basaltgw_node::limits::HALF_AT_END;
use proptest::prelude::*;
use std::rc::Rc;
use std::time::Duration;

/// What may happen next, as each of the three does it.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A message has come whole: the reader hands it on if it still may.
    Comes,
    /// Half a message has come, so long ago.
    Half(u64),
    /// Its rest.
    Rest,
    /// The reader looks whether the owner wants something.
    Look,
    /// What can't be read has come.
    Garbage,
    /// The owner takes the first message that waits.
    Take,
    Ask(Quiet),
    Drop,
    /// The owner, told that no more is read, lets go; the writer shuts our side.
    Shut,
    /// The peer closes, or a bound is reached.
    Over,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let quiet = prop_oneof![Just(Quiet::Idle), Just(Quiet::Room), Just(Quiet::End)];
    let step = prop_oneof![
        4 => Just(Step::Comes),
        1 => (0..1000u64).prop_map(Step::Half),
        1 => Just(Step::Rest),
        4 => Just(Step::Look),
        1 => Just(Step::Garbage),
        4 => Just(Step::Take),
        4 => quiet.prop_map(Step::Ask),
        1 => Just(Step::Drop),
        1 => Just(Step::Shut),
        1 => Just(Step::Over),
    ];
    prop::collection::vec(step, 0..60)
}

fn rank(state: State) -> u8 {
    match state {
        State::Open { .. } => 0,
        State::Closing => 1,
        State::HalfClosed => 2,
        State::Closed => 3,
    }
}

proptest! {
    #[test]
    fn a_quiet_close_never_overtakes_a_message(steps in steps()) {
        let life = Life::new(&Rc::default());
        // Messages handed on and not taken, those taken since the owner last asked, and half a message.
        let (mut waiting, mut asked, mut half) = (0u32, None, None::<Duration>);
        for step in steps {
            let before = life.state();
            match step {
                Step::Comes => {
                    let handed = life.hands();
                    prop_assert_eq!(handed, before.reads(), "nothing is handed on once the reader has stopped");
                    waiting += u32::from(handed);
                }
                Step::Half(ms) => half = Some(Duration::from_millis(ms)),
                Step::Rest => half = None,
                Step::Look if before.reads() && life.asked().is_some() => {
                    let over = life.stops(half);
                    let late = asked == Some(Quiet::End) && half.is_some_and(|t| t >= HALF_AT_END);
                    let crossed = waiting > 0 || (half.is_some() && !late);
                    prop_assert_eq!(over, asked.filter(|_| !crossed).map(Over::Quiet));
                    asked = None;
                }
                Step::Look => prop_assert_eq!(life.stops(half).is_none(), before.reads()),
                Step::Garbage => {
                    life.tell(Event::Stopped);
                }
                Step::Take if waiting > 0 => {
                    waiting -= 1;
                    asked = None;
                    life.tell(Event::Taken);
                }
                Step::Take => {}
                Step::Ask(why) => {
                    asked = asked.or(Some(why)).filter(|_| before.reads());
                    life.tell(Event::Asked(why));
                }
                Step::Drop => {
                    life.tell(Event::Dropped);
                }
                Step::Shut if !before.reads() => {
                    life.tell(Event::Shut);
                }
                Step::Shut => {}
                Step::Over => {
                    life.tell(Event::Over);
                }
            }
            let after = life.state();
            prop_assert!(rank(after) >= rank(before), "{before:?} {step:?} {after:?}");
            if let State::Open { on_way, asked: wanted } = after {
                prop_assert_eq!((on_way, wanted), (waiting, asked));
            }
            let shut = rank(after) >= 2 && rank(before) < 2;
            prop_assert!(!shut || matches!(step, Step::Shut | Step::Over));
        }
    }
}

#[test]
fn each_wish_that_is_crossed_is_counted_once() {
    let places: Rc<Places> = Rc::default();
    let life = Life::new(&places);
    assert!(life.hands());
    life.tell(Event::Asked(Quiet::Room));
    assert_eq!(life.stops(None), None, "what is on its way goes first");
    life.tell(Event::Taken);
    life.tell(Event::Asked(Quiet::Idle));
    life.tell(Event::Asked(Quiet::End));
    assert_eq!(life.stops(Some(Duration::ZERO)), None);
    assert_eq!(places.counts()[0], 2);
    life.tell(Event::Asked(Quiet::Idle));
    assert_eq!(life.stops(None), Some(Over::Quiet(Quiet::Idle)));
    assert!(!life.hands());
    assert_eq!(places.counts()[0], 2);
}
