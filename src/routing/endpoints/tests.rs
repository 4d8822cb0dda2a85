use super::*;

/// Lists a server in a state and returns its index.
fn list(
    endpoints: &mut Endpoints,
    name: &str,
    state: EndpointState,
    in_use: Option<ServerIndex>,
) -> ServerIndex {
    let id = ServerId(name.into());
    let (zone, role) = (ZoneId(0), Role::Edge);
    let entry = Endpoint { id: id.clone(), zone, role, cell: 0, state, weight: 1.0, started: None };
    let new = || Server::new(entry.clone(), 0, 0.0, ConcurrencyLimit::new(0.0, 1));
    endpoints.find_or_insert(&id, new, |index| Some(index) == in_use).entry = entry.clone();
    endpoints.index_of(&id).expect("its index")
}

#[test]
fn removed_server_that_nothing_refers_to_gives_its_index_to_a_new_one() {
    let mut endpoints = Endpoints::default();
    let listed = list(&mut endpoints, "listed", EndpointState::Up, None);
    let in_use = list(&mut endpoints, "in-use", EndpointState::Up, None);
    list(&mut endpoints, "in-use", EndpointState::Removed, Some(in_use));
    for n in 0..3000 {
        let name = format!("s{n}");
        let index = list(&mut endpoints, &name, EndpointState::Up, Some(in_use));
        assert!(index != listed && index != in_use, "a pending attempt still refers to the removed server");
        assert_eq!(list(&mut endpoints, &name, EndpointState::Removed, Some(in_use)), index);
    }
    assert_eq!(endpoints.servers.len(), 3);
    assert_eq!(list(&mut endpoints, "listed", EndpointState::Up, Some(in_use)), listed);
    // Once no attempt refers to the removed server `in-use`, its index is free as well.
    list(&mut endpoints, "new", EndpointState::Up, None);
    assert_eq!(list(&mut endpoints, "newer", EndpointState::Up, None).0.max(2), 2);
}
