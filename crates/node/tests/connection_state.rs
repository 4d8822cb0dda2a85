//! The state of a client connection under any order of events of its reader, its writer and the owner.

use basaltgw_node::connection::{
    CloseReason, ConnectionEvent, ConnectionPhase, ConnectionSlots, ConnectionState, IdleReason,
};
use basaltgw_node::limits::PARTIAL_MESSAGE_AT_SHUTDOWN;
use proptest::prelude::*;
use std::rc::Rc;
use std::time::Duration;

/// An action of the reader, the writer or the owner.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The reader received a complete message, and queues it unless it has stopped.
    Message,
    /// The reader received a partial message this many milliseconds ago.
    PartialMessage(u64),
    /// The partial message was completed.
    PartialCompleted,
    /// The reader decides a close request.
    CheckClose,
    /// The reader received malformed bytes.
    MalformedBytes,
    /// The owner takes a message from the queue.
    Dequeue,
    /// The owner requests a close for this reason.
    RequestClose(IdleReason),
    /// The owner drops the connection and its queue.
    Drop,
    /// The owner has dropped the queue; the writer shuts the router's side down.
    ShutDownWrite,
    /// The peer closes the connection, or a time limit is reached.
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
        4 => Just(Step::Dequeue),
        4 => reason.prop_map(Step::RequestClose),
        1 => Just(Step::Drop),
        1 => Just(Step::ShutDownWrite),
        1 => Just(Step::Closed),
    ];
    prop::collection::vec(step, 0..60)
}

/// The order of the phases, which never decreases.
fn phase_order(phase: ConnectionPhase) -> u8 {
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
        let (mut queued, mut close_requested, mut partial) = (0u32, None, None::<Duration>);
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
                    let close = connection.decide_close(partial);
                    let timed_out = close_requested == Some(IdleReason::Shutdown) && partial.is_some_and(|t| t >= PARTIAL_MESSAGE_AT_SHUTDOWN);
                    let crossed = queued > 0 || (partial.is_some() && !timed_out);
                    prop_assert_eq!(close, close_requested.filter(|_| !crossed).map(CloseReason::IdleClose));
                    close_requested = None;
                }
                Step::CheckClose => prop_assert_eq!(connection.decide_close(partial).is_none(), before.reads()),
                Step::MalformedBytes => {
                    connection.apply(ConnectionEvent::ReadStopped);
                }
                Step::Dequeue if queued > 0 => {
                    queued -= 1;
                    close_requested = None;
                    connection.apply(ConnectionEvent::Dequeued);
                }
                Step::Dequeue => {}
                Step::RequestClose(reason) => {
                    close_requested = close_requested.or(Some(reason)).filter(|_| before.reads());
                    connection.apply(ConnectionEvent::CloseRequested(reason));
                }
                Step::Drop => {
                    connection.apply(ConnectionEvent::Dropped);
                }
                Step::ShutDownWrite if !before.reads() => {
                    connection.apply(ConnectionEvent::WriteShutdown);
                }
                Step::ShutDownWrite => {}
                Step::Closed => {
                    connection.apply(ConnectionEvent::Closed);
                }
            }
            let after = connection.phase();
            prop_assert!(phase_order(after) >= phase_order(before), "{before:?} {step:?} {after:?}");
            if let ConnectionPhase::Open { queued: actual_queued, close_requested: actual_request } = after {
                prop_assert_eq!((actual_queued, actual_request), (queued, close_requested));
            }
            let half_closed = phase_order(after) >= 2 && phase_order(before) < 2;
            prop_assert!(!half_closed || matches!(step, Step::ShutDownWrite | Step::Closed));
        }
    }
}

#[test]
fn crossed_close_request_is_counted_once() {
    let slots: Rc<ConnectionSlots> = Rc::default();
    let connection = ConnectionState::new(&slots);
    assert!(connection.enqueue());
    connection.apply(ConnectionEvent::CloseRequested(IdleReason::SlotNeeded));
    assert_eq!(connection.decide_close(None), None, "queued messages are handled before the close");
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
