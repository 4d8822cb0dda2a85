//! Clients that send a request under the id of another client's request, to another router.

use crate::harness::{is_outcome_unknown, is_rejected, start_fleet, DEADLINE_MS};
use basaltgw_emulator::rig::Outcome;

/// An object and a body of which at least one differs from those of the harness's checkouts.
const FOREIGN_CHECKOUTS: [(u64, &[u8]); 3] = [(2, b"borrow"), (1, b"return"), (2, b"")];

/// Guards against a router that answers a request with the outcome that another client's request under the same id had.
#[test]
fn request_under_the_id_of_another_is_not_served_its_outcome() {
    let mut fleet = start_fleet(3);
    fleet.set_checkout_delay_ms(300);
    for (round, (object, body)) in FOREIGN_CHECKOUTS.into_iter().enumerate() {
        let (id, _client, request) = fleet.start_checkout(round % 3);
        let other_router = (round + 1) % 3;
        let while_open = fleet.connect_client(other_router);
        let while_open = while_open.foreign_checkout(&id, object, body, DEADLINE_MS);
        let while_open = fleet.wait_for_outcome(while_open);
        let Some(Outcome::Served(bytes)) = fleet.wait_for_outcome(request) else {
            panic!("the checkout is served");
        };
        assert!(
            is_outcome_unknown(&while_open) || is_rejected(&while_open),
            "{object} {body:?}: {while_open:?}"
        );
        for router in 0..3 {
            let client = fleet.connect_client(router);
            let outcome = fleet.wait_for_outcome(client.foreign_checkout(&id, object, body, DEADLINE_MS));
            assert!(is_outcome_unknown(&outcome), "{object} {body:?}: {outcome:?}");
            // The client whose request it is gets the outcome as before.
            fleet.assert_outcome(router, &id, &bytes);
        }
        assert_eq!(fleet.rig.archive.executions(&id), 1);
    }
}
