//! The division of the configured memory, and bulk strings that are discarded for want of memory.

use basaltgw_config::Limits;
use basaltgw_node::limits::{CLIENT_CONNECTION_BYTES, SERVER_CONNECTION_BYTES};
use basaltgw_node::memory_budget::{ConnectionCounts, MemoryPlan};
use basaltgw_node::resp::{encode, Admission, Array, Decoder, MessageLimits};

/// What a router with few servers has resident at its start.
const RESIDENT_BYTES: usize = 5_500_000;

fn plan(memory_mb: u64, most: ConnectionCounts) -> MemoryPlan {
    MemoryPlan::new(&Limits { memory_mb, descriptors: 0 }, RESIDENT_BYTES, most)
}

fn sum(plan: &MemoryPlan) -> usize {
    let ConnectionCounts { clients, servers } = plan.connections;
    let connections = clients * CLIENT_CONNECTION_BYTES + servers * SERVER_CONNECTION_BYTES;
    plan.process_bytes + connections + plan.message_bytes
}

#[test]
fn least_memory_suffices_for_1024_descriptors() {
    let by_descriptors = ConnectionCounts { clients: 667, servers: 341 };
    let plan = plan(32, by_descriptors);
    assert_eq!(plan.connections, by_descriptors);
    assert!(!plan.exceeds_limit && sum(&plan) <= 32_000_000, "{plan:?}");
}

#[test]
fn memory_limits_the_connections_where_there_are_descriptors_for_more() {
    for memory_mb in [32, 64, 192, 1_000] {
        let plan = plan(memory_mb, ConnectionCounts { clients: 1_000_000, servers: 1_000_000 });
        assert!(!plan.exceeds_limit && sum(&plan) <= memory_mb as usize * 1_000_000, "{plan:?}");
        assert!(plan.connections.clients >= 667 && plan.connections.servers >= 341, "{plan:?}");
    }
}

#[test]
fn memory_that_is_too_small_is_reported() {
    assert!(plan(8, ConnectionCounts { clients: 667, servers: 341 }).exceeds_limit);
}

/// Decodes chunks within a budget in which a message has `admitted_bytes`; the first `undecided` questions beyond it are left open. Returns the
/// messages and the most bytes that were buffered between two chunks.
fn decode(chunks: &[&[u8]], admitted_bytes: usize, mut undecided: usize) -> (Vec<Array>, usize) {
    let mut decoder = Decoder::new(MessageLimits { max_elements: 6, max_bytes: 100_000 });
    let (mut arrays, mut most_buffered) = (Vec::new(), 0);
    for chunk in chunks {
        decoder.feed(chunk);
        let mut progress = true;
        while progress {
            let undecided_before = undecided;
            let admit = |bytes: usize| {
                if bytes <= admitted_bytes {
                    return Admission::Admitted;
                }
                let open = undecided > 0;
                undecided -= usize::from(open);
                if open {
                    Admission::Undecided
                } else {
                    Admission::Discarded
                }
            };
            let array = decoder.next_message_within(admit).expect("well-formed bytes");
            progress = array.is_some() || undecided < undecided_before;
            arrays.extend(array);
        }
        most_buffered = most_buffered.max(decoder.buffered_bytes());
    }
    (arrays, most_buffered)
}

#[test]
fn bulk_string_without_memory_is_discarded_as_it_arrives() {
    const BODY_BYTES: usize = 50_000;
    let bytes = [encode(&[b"DO", b"7", &[b'x'; BODY_BYTES]]), encode(&[b"PING", b"8"])].concat();
    let cut = Array { elements: vec![b"DO".to_vec(), b"7".to_vec(), Vec::new()], discarded: true };
    let whole =
        Array { elements: vec![b"DO".to_vec(), b"7".to_vec(), vec![b'x'; BODY_BYTES]], discarded: false };
    let next = Array { elements: vec![b"PING".to_vec(), b"8".to_vec()], discarded: false };
    for chunk_bytes in [1, 7, 1_000] {
        let chunks: Vec<&[u8]> = bytes.chunks(chunk_bytes).collect();
        for undecided in [0, 3] {
            let (arrays, most_buffered) = decode(&chunks, BODY_BYTES, undecided);
            assert_eq!(arrays, [cut.clone(), next.clone()], "{undecided} questions left open");
            assert!(most_buffered <= chunk_bytes + 100, "{most_buffered} bytes buffered");
            let (arrays, _) = decode(&chunks, BODY_BYTES + 3, undecided);
            assert_eq!(arrays, [whole.clone(), next.clone()]);
        }
    }
}

#[test]
fn partial_bulk_string_can_be_discarded_at_any_byte() {
    let bytes = encode(&[b"DO", &[b'x'; 300], b"last"]);
    for cut in 0..bytes.len() {
        let mut decoder = Decoder::new(MessageLimits { max_elements: 6, max_bytes: 100_000 });
        let (first, rest) = bytes.split_at(cut);
        decoder.feed(first);
        assert_eq!(decoder.next_message(), Ok(None));
        decoder.discard_partial_string();
        decoder.feed(rest);
        let array = decoder.next_message_within(|_| Admission::Admitted).expect("well-formed bytes");
        assert_eq!(array.map(|array| array.elements.len()), Some(3), "cut at {cut}");
        assert!(!decoder.has_partial_message(), "cut at {cut}");
    }
}
