use super::*;
use std::sync::Arc;

fn id(number: usize) -> WireId {
    WireId(Arc::from(format!("{number:016x}")))
}

#[test]
fn ever_new_ids_are_remembered_up_to_a_limit() {
    let mut ids = ExecutedIds::default();
    for number in 0..2 * MAX_EXECUTED_IDS {
        ids.record(&id(number), number as Ms);
        ids.record(&id(number), 0.0);
    }
    assert_eq!((ids.order.len(), ids.executed_since.len()), (MAX_EXECUTED_IDS, MAX_EXECUTED_IDS));
    assert_eq!(ids.executed_since(&id(0)), None);
    let last = 2 * MAX_EXECUTED_IDS - 1;
    assert_eq!(ids.executed_since(&id(last)), Some(last as Ms));
}
