//! Guards against entries of other writers, and entries for addresses in use again, that count as
//! proof that the owner of keys has ended.

use super::lives::{Command, Deployment, STEP_MS, entry, service};
use fireflygauge::gateway::{
    model::{EndpointEntry, Service},
    platform::{GrantOutcome, ReleaseOutcome},
};
use test_case::test_case;

/// A controller that has given all keys to the endpoint at port 1, with another one at port 2.
fn owned() -> (Deployment, [EndpointEntry; 2]) {
    let other = EndpointEntry {
        addr: ([127, 0, 0, 1], 2).into(),
        ..entry("f", "s", 1)
    };
    let mut deployment = Deployment::new(vec![entry("e", "s", 1)]);
    deployment.run(4_000);
    deployment.written_owners();
    deployment.set_endpoints(vec![entry("e", "s", 1), other.clone()]);
    deployment.commands.clear();
    deployment.granted.clear();
    (deployment, [entry("e", "s", 1), other])
}

fn with(entries: &[EndpointEntry], further: EndpointEntry) -> Vec<EndpointEntry> {
    let mut all = entries.to_vec();
    all.push(further);
    all
}

fn declared(further: Option<&str>) -> Vec<Service> {
    let mut services = vec![service("s", true)];
    services.extend(further.map(|name| service(name, false)));
    services
}

/// Guards against two endpoints with the same keys, because an entry of a service that no
/// configuration names has the address of an owner that is alive.
#[test]
fn an_entry_of_an_undeclared_service_does_not_end_an_owner() {
    let (mut deployment, entries) = owned();
    deployment.set_endpoints(with(&entries, entry("i-77", "inventory", 9)));
    deployment.run(3_000);
    assert_eq!(
        deployment.written_owners(),
        Vec::<Vec<(String, u64)>>::new()
    );
    assert!(deployment.commands.iter().all(|c| *c == Command::Grant));
    assert!(deployment.granted.iter().all(|(.., port)| *port == 1));
}

/// Guards against an endpoint that gets no keys as long as an entry of a service that no
/// configuration names has its address.
#[test]
fn an_entry_of_an_undeclared_service_keeps_no_endpoint_from_keys() {
    let entries = vec![entry("e", "s", 1), entry("i-77", "inventory", 9)];
    let mut deployment = Deployment::new(entries);
    deployment.run(4_000);
    assert_eq!(deployment.written_owners(), [vec![("e".to_string(), 1)]]);
}

/// Guards against an owner whose successor at its address is overlooked, because the successor
/// registered before the configuration that names its service was read; and against one that counts
/// while no configuration names its service.
#[test_case(&[Some("next"), None, Some("next")], true; "dropped and named again")]
#[test_case(&[None, Some("next")], true; "entry before configuration")]
#[test_case(&[Some("next")], true; "configuration before entry")]
#[test_case(&[Some("next"), None], false; "dropped")]
fn an_entry_counts_while_its_service_is_declared(
    configurations: &[Option<&str>],
    is_released: bool,
) {
    let (mut deployment, entries) = owned();
    let (last, earlier) = configurations.split_last().expect("one at least");
    for further in earlier {
        deployment.declare(declared(*further));
    }
    deployment.set_endpoints(with(&entries, entry("n", "next", 9)));
    deployment.declare(declared(*last));
    deployment.run(1_000);
    let released = deployment.commands.contains(&Command::Release);
    assert_eq!(released, is_released, "{:?}", deployment.commands);
}

/// Guards against keys that wait for a lease although their owner's address has answered that nobody
/// owns keys there.
#[test_case(GrantOutcome::Granted; "the last renewal was accepted")]
#[test_case(GrantOutcome::Unknown; "the last renewal had no response")]
fn keys_are_assigned_once_an_endpoint_without_keys_answers(last: GrantOutcome) {
    let (mut deployment, [_, other]) = owned();
    deployment.grant_outcome = last;
    while deployment.granted.is_empty() {
        deployment.run(STEP_MS);
    }
    deployment.grant_outcome = GrantOutcome::Granted;
    deployment.release_outcome = ReleaseOutcome::NotSupported;
    deployment.granted.clear();
    deployment.set_endpoints(vec![other, entry("n", "plain", 9)]);
    deployment.run(500);
    assert!(deployment.commands.contains(&Command::Release));
    let last_port = deployment.granted.last().map(|(.., port)| *port);
    assert_eq!(last_port, Some(2), "{:?}", deployment.commands);
}

/// Guards against two endpoints with the same keys: an entry of a declared service without keys has
/// the address of an owner that is alive and does not answer its release.
#[test]
fn a_row_alone_does_not_end_an_owner() {
    let (mut deployment, entries) = owned();
    deployment.release_outcome = ReleaseOutcome::Unknown;
    deployment.set_endpoints(with(&entries, entry("i-77", "plain", 9)));
    deployment.run(3_000);
    let granted = deployment.granted.iter();
    assert_eq!(granted.filter(|(.., port)| *port == 2).count(), 0);
}

/// Guards against two endpoints with the same keys: an entry with the name and start time of the
/// owner, which is alive, has the address of another endpoint.
#[test]
fn an_entry_with_another_address_moves_no_grants() {
    let (mut deployment, [owner, other]) = owned();
    let moved = EndpointEntry {
        addr: ([127, 0, 0, 1], 3).into(),
        ..owner
    };
    deployment.set_endpoints(vec![moved, other]);
    deployment.run(3_000);
    assert_eq!(deployment.commands.first(), Some(&Command::Release));
    assert_eq!(deployment.released, [1]);
    let ports = deployment.granted.iter().map(|(.., port)| *port);
    assert!(
        ports.clone().all(|port| port == 2),
        "{:?}",
        deployment.granted
    );
}

/// The same for a controller that takes over after the entry was written.
#[test]
fn a_successor_takes_the_address_from_the_owners() {
    let mut deployment = Deployment::new(vec![entry("e", "s", 1)]);
    deployment.run(4_000);
    let moved = EndpointEntry {
        addr: ([127, 0, 0, 1], 3).into(),
        ..entry("e", "s", 1)
    };
    let mut deployment = deployment.successor(vec![moved]);
    while deployment.commands.is_empty() {
        deployment.run(STEP_MS);
    }
    let granted = deployment.granted.iter().map(|(.., port)| *port);
    let ports: Vec<u16> = granted.chain(deployment.released.iter().copied()).collect();
    assert_eq!(ports, [1]);
}
