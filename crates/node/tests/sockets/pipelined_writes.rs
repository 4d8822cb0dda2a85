//! Clients that pipeline writes of the largest size: more than the router's memory holds at once.

use crate::common::*;
use crate::*;

/// The most requests that may be open on a connection.
const REQUESTS_PER_CLIENT: u64 = 32;
/// A request without an answer this long after its deadline is lost.
const LOST_AFTER: Duration = Duration::from_millis(550);

/// What clients saw of their pipelined writes.
#[derive(Debug, Default)]
struct PipelinedWrites {
    /// The number of answers with each status.
    answers: BTreeMap<String, usize>,
    /// Requests without an answer in time.
    lost: usize,
}

/// Sends the writes of one client at once, and counts the answers that arrive in time.
fn pipeline_writes(mut client: Client, body_bytes: usize, deadline: Duration) -> PipelinedWrites {
    let body = vec![b'x'; body_bytes];
    let mut sender = client.sender();
    let reader = thread::spawn(move || {
        let mut seen = PipelinedWrites::default();
        let mut unanswered: BTreeSet<u64> = (1..=REQUESTS_PER_CLIENT).collect();
        // The requests are sent within a fraction of the slack.
        let last_answer_due = Instant::now() + deadline + LOST_AFTER;
        while !unanswered.is_empty() {
            let Some(answer) = client.next_before(last_answer_due) else { break };
            assert!(unanswered.remove(&answer.tag), "a second answer under {}", answer.tag);
            *seen.answers.entry(answer.status).or_default() += 1;
        }
        seen.lost = unanswered.len();
        seen
    });
    for tag in 1..=REQUESTS_PER_CLIENT {
        // If the router has ended the connection, the requests count as lost.
        if !sender.try_send_write(deadline.as_millis() as u64, tag, "loan", &body) {
            break;
        }
    }
    reader.join().expect("the reader ends")
}

/// Has clients pipeline writes at once; returns what they saw together, and the router's counters in a line for messages.
fn run_pipelined_writes(
    harness: &RouterHarness,
    clients: usize,
    body_bytes: usize,
    deadline: Duration,
) -> (PipelinedWrites, String) {
    let threads: Vec<_> = (0..clients)
        .map(|_| {
            let client = harness.router.client();
            thread::spawn(move || pipeline_writes(client, body_bytes, deadline))
        })
        .collect();
    let mut sum = PipelinedWrites::default();
    for thread in threads {
        let seen = thread.join().expect("the client ends");
        sum.lost += seen.lost;
        for (status, count) in seen.answers {
            *sum.answers.entry(status).or_default() += count;
        }
    }
    let names = [
        "client_read_pauses",
        "client_read_pause_ms",
        "server_read_pauses",
        "server_read_pause_ms",
        "closed_unfinished",
        "held_most",
    ];
    let counters: Vec<String> =
        names.iter().map(|name| format!("{name}={}", harness.router.counter(name))).collect();
    (sum, counters.join(" "))
}

fn start_router_with_memory(origin: Cache, memory_mb: u64) -> RouterHarness {
    let small_memory = |c: &mut Value| c["limits"]["memory_mb"] = json!(memory_mb);
    start_router_with(Cache::with_all_objects(), Cache::with_all_objects(), origin, small_memory)
}

/// Guards against a router that stops reading servers' answers because requests fill its memory, and then loses those requests.
#[test]
fn pipelined_writes_beyond_the_memory_are_each_answered_in_time() {
    for (body_bytes, clients) in [(48_000, 12), (6_000, 40)] {
        let origin = Cache::start(|fetch| FetchBehaviour::OkAfter { delay_ms: 60, body: part_body(fetch) });
        let harness = start_router_with_memory(origin, 4);
        let (seen, counters) =
            run_pipelined_writes(&harness, clients, body_bytes, Duration::from_millis(3_000));
        assert_eq!(seen.lost, 0, "writes of {body_bytes} bytes: {seen:?} {counters}");
        assert_eq!(seen.answers.get("500"), None, "the origin answers in 60 ms: {seen:?} {counters}");
        assert_eq!(harness.router.counter("closed_unfinished"), 0);
        wait_until("no bytes are buffered", || harness.router.counter("held") == 0);
    }
}

/// Guards against requests that wait unread until they are lost, because earlier ones keep the memory for as long as a server takes.
#[test]
fn pipelined_writes_beyond_the_memory_are_answered_in_time_while_the_origin_is_silent() {
    let harness = start_router_with_memory(Cache::start(|_| FetchBehaviour::NoAnswer), 4);
    let (seen, counters) = run_pipelined_writes(&harness, 12, 48_000, Duration::from_millis(1_500));
    assert_eq!(seen.lost, 0, "{seen:?} {counters}");
    assert_eq!(harness.router.counter("closed_unfinished"), 0);
    wait_until("no bytes are buffered", || harness.router.counter("held") == 0);
}

/// Guards against requests that wait unread because those that were read lie in the queues of a server that takes no bytes.
#[test]
fn pipelined_writes_beyond_the_memory_are_answered_in_time_while_the_origin_takes_no_bytes() {
    let harness = start_router_with_memory(Cache::start(|_| FetchBehaviour::BlockThenOk(Vec::new())), 4);
    let (seen, counters) = run_pipelined_writes(&harness, 12, 48_000, Duration::from_millis(1_500));
    assert_eq!(seen.lost, 0, "{seen:?} {counters}");
    assert_eq!(harness.router.counter("closed_unfinished"), 0);
}
