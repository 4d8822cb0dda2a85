use super::*;

const LIMITS: Limits =
    Limits { max_queued_frames: 100, max_queued_bytes: 1000, max_frame_bytes: 10, ring_entries: 1 };

fn frame(number: u64, lane: Lane) -> QueuedFrame {
    QueuedFrame { number, user: UserIndex(0), lane, body: vec![0; 4] }
}

#[test]
fn membership_goes_first_and_no_lane_starves() {
    let mut queues = PriorityQueues::new(&LIMITS);
    for number in 0..30 {
        LANES.iter().rev().for_each(|lane| queues.push(frame(number, *lane)).unwrap());
    }
    let order: Vec<QueuedFrame> = std::iter::from_fn(|| queues.pop()).collect();
    assert_eq!(order.len(), 120);
    let round: Vec<Lane> = order.iter().take(15).map(|f| f.lane).collect();
    let expected = LANES.iter().zip(LANE_QUOTAS).flat_map(|(l, n)| vec![*l; n as usize]);
    assert_eq!(round, expected.collect::<Vec<_>>());
    for lane in LANES {
        let numbers: Vec<u64> = order.iter().filter(|f| f.lane == lane).map(|f| f.number).collect();
        assert_eq!(numbers, (0..30).collect::<Vec<_>>());
    }
}

#[test]
fn each_queue_is_bounded_in_frames_and_bytes_by_itself() {
    let mut queues = PriorityQueues::new(&Limits { max_queued_frames: 3, max_queued_bytes: 9, ..LIMITS });
    assert!(
        queues.push(frame(0, Lane::ScatterGather)).is_ok()
            && queues.push(frame(1, Lane::ScatterGather)).is_ok()
    );
    assert_eq!(
        queues.push(frame(2, Lane::ScatterGather)),
        Err(frame(2, Lane::ScatterGather)),
        "the queue is full in bytes"
    );
    assert!(queues.push(frame(3, Lane::Registers)).is_ok());
    let empty = |number| QueuedFrame { body: vec![], ..frame(number, Lane::ScatterGather) };
    assert!(queues.push(empty(4)).is_ok());
    assert_eq!(queues.push(empty(5)), Err(empty(5)), "the queue is full in frames");
    assert_eq!(queues.drain().len(), 4);
    assert!(queues.pop().is_none() && queues.push(frame(6, Lane::ScatterGather)).is_ok());
}
