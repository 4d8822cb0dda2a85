//! The state of a client's connection under any order of events of its reader, its writer and the owner.

use basaltgw_node::connection::{
    CloseReason, ConnectionEvent, ConnectionPhase, ConnectionSlots, ConnectionState, IdleReason,
};
use basaltgw_node::limits::PARTIAL_MESSAGE_AT_SHUTDOWN;
use proptest::prelude::*;
use std::rc::Rc;
use std::time::Duration;

/// An event, as the reader, the writer or the owner causes it.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A complete message came: the reader queues it if it still may.
    Message,
    /// A partial message came, this many milliseconds ago.
    PartialMessage(u64),
    /// The partial message was completed.
    PartialCompleted,
    /// The reader decides a close request.
    CheckClose,
    /// Malformed bytes came.
    MalformedBytes,
    /// The owner takes a message from the queue.
    OwnerTakes,
    OwnerAsksClose(IdleReason),
    OwnerDrops,
    /// The owner has dropped the queue; the writer shuts our side down.
    WriterShutsDown,
    /// The peer closes, or a bound is reached.
    Closed,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let reason =
        prop_oneof![Just(IdleReason::IdleTimeout), Just(IdleReason::SlotNeeded), Just(IdleReason::Shutdown)];
    let step = prop_oneof![
        4 => Just(Step::Message),
        1 => (0..1000u64).prop_map(Step::PartialMessage),
        1 => Just(Step::PartialCompleted),
        4 => Just(Step::CheckClose),
        1 => Just(Step::MalformedBytes),
        4 => Just(Step::OwnerTakes),
        4 => reason.prop_map(Step::OwnerAsksClose),
        1 => Just(Step::OwnerDrops),
        1 => Just(Step::WriterShutsDown),
        1 => Just(Step::Closed),
    ];
    prop::collection::vec(step, 0..60)
}

fn rank(phase: ConnectionPhase) -> u8 {
    match phase {
        ConnectionPhase::Open { .. } => 0,
        ConnectionPhase::Closing => 1,
        ConnectionPhase::HalfClosed => 2,
        ConnectionPhase::Closed => 3,
    }
}

proptest! {
    #[test]
    fn idle_close_never_overtakes_a_message(steps in steps()) {
        let connection = ConnectionState::new(&Rc::default());
        // Queued messages, the undecided close request, and the age of a partial message.
        let (mut queued, mut asked, mut partial) = (0u32, None, None::<Duration>);
        for step in steps {
            let before = connection.phase();
            match step {
                Step::Message => {
                    let enqueued = connection.enqueue();
                    prop_assert_eq!(enqueued, before.reads(), "no message is queued once the reader has stopped");
                    queued += u32::from(enqueued);
                }
                Step::PartialMessage(ms) => partial = Some(Duration::from_millis(ms)),
                Step::PartialCompleted => partial = None,
                Step::CheckClose if before.reads() && connection.close_reason().is_some() => {
                    let over = connection.decide_close(partial);
                    let late = asked == Some(IdleReason::Shutdown) && partial.is_some_and(|t| t >= PARTIAL_MESSAGE_AT_SHUTDOWN);
                    let crossed = queued > 0 || (partial.is_some() && !late);
                    prop_assert_eq!(over, asked.filter(|_| !crossed).map(CloseReason::IdleClose));
                    asked = None;
                }
                Step::CheckClose => prop_assert_eq!(connection.decide_close(partial).is_none(), before.reads()),
                Step::MalformedBytes => {
                    connection.apply(ConnectionEvent::ReadStopped);
                }
                Step::OwnerTakes if queued > 0 => {
                    queued -= 1;
                    asked = None;
                    connection.apply(ConnectionEvent::Dequeued);
                }
                Step::OwnerTakes => {}
                Step::OwnerAsksClose(why) => {
                    asked = asked.or(Some(why)).filter(|_| before.reads());
                    connection.apply(ConnectionEvent::CloseRequested(why));
                }
                Step::OwnerDrops => {
                    connection.apply(ConnectionEvent::Dropped);
                }
                Step::WriterShutsDown if !before.reads() => {
                    connection.apply(ConnectionEvent::WriteShutdown);
                }
                Step::WriterShutsDown => {}
                Step::Closed => {
                    connection.apply(ConnectionEvent::Closed);
                }
            }
            let after = connection.phase();
            prop_assert!(rank(after) >= rank(before), "{before:?} {step:?} {after:?}");
            if let ConnectionPhase::Open { queued: in_queue, close_requested } = after {
                prop_assert_eq!((in_queue, close_requested), (queued, asked));
            }
            let half_closed = rank(after) >= 2 && rank(before) < 2;
            prop_assert!(!half_closed || matches!(step, Step::WriterShutsDown | Step::Closed));
        }
    }
}

#[test]
fn crossed_close_request_is_counted_once() {
    let slots: Rc<ConnectionSlots> = Rc::default();
    let connection = ConnectionState::new(&slots);
    assert!(connection.enqueue());
    connection.apply(ConnectionEvent::CloseRequested(IdleReason::SlotNeeded));
    assert_eq!(connection.decide_close(None), None, "queued messages go first");
    connection.apply(ConnectionEvent::Dequeued);
    connection.apply(ConnectionEvent::CloseRequested(IdleReason::IdleTimeout));
    connection.apply(ConnectionEvent::CloseRequested(IdleReason::Shutdown));
    assert_eq!(connection.decide_close(Some(Duration::ZERO)), None);
    assert_eq!(slots.counts().crossed, 2);
    connection.apply(ConnectionEvent::CloseRequested(IdleReason::IdleTimeout));
    assert_eq!(connection.decide_close(None), Some(CloseReason::IdleClose(IdleReason::IdleTimeout)));
    assert!(!connection.enqueue());
    assert_eq!(slots.counts().crossed, 2);
}
