//! Guards against keys that are given away while the receiver of an earlier grant may hold them.

use super::lives::{Command, Deployment, STEP_MS, entry, service};
use fireflygauge::{
    clock::Millis,
    collections::Map,
    gateway::{
        controller::{Action, Event},
        load_stats::{LoadStats, ServiceLoad},
        model::EndpointEntry,
        platform::{GrantConnection, GrantOutcome, ReleaseOutcome, WriteOutcome},
    },
};
use test_case::test_case;

/// Guards against two endpoints that hold the same keys: another one was started at the owner's
/// former address and accepted a renewal there, before the next one under the owner's name is
/// registered at another address.
#[test_case(vec![]; "the endpoint at the former address is not registered yet")]
#[test_case(vec![entry("c", "s", 1)]; "it is registered with a clock set back")]
#[test_case(vec![entry("c", "s", 3)]; "it is registered with a later start")]
fn keys_at_a_former_address_are_released_first(at_former: Vec<EndpointEntry>) {
    let mut deployment = Deployment::new(vec![entry("e", "s", 2)]);
    deployment.run(4_000);
    deployment.written_owners();
    let next = EndpointEntry {
        addr: ([127, 0, 0, 1], 2).into(),
        ..entry("e", "s", 4)
    };
    let mut entries = at_former;
    entries.push(next);
    // The renewals until here were accepted by whoever listens at port 1.
    assert!(deployment.granted.iter().all(|(.., port)| *port == 1));
    deployment.set_endpoints(entries);
    deployment.commands.clear();
    deployment.run(1_000);
    let written = deployment.written_owners();
    let ports: Vec<u16> = deployment.granted.iter().map(|(.., port)| *port).collect();
    assert_eq!(
        deployment.commands.first(),
        Some(&Command::Release),
        "within 1 s, written: {written:?}, commands: {:?}, ports of all grants: {ports:?}",
        deployment.commands
    );
}

/// Guards against keys that are freed although a grant without an answer may have reached another
/// endpoint at the owner's former address.
#[test]
fn an_unacknowledged_grant_outlives_a_move_of_the_name() {
    let mut deployment = Deployment::new(vec![entry("e", "s", 2)]);
    deployment.run(4_000);
    deployment.written_owners();
    deployment.grant_outcome = GrantOutcome::Unknown;
    deployment.run(1_200);
    deployment.grant_outcome = GrantOutcome::Granted;
    let next = EndpointEntry {
        addr: ([127, 0, 0, 1], 2).into(),
        ..entry("e", "s", 4)
    };
    deployment.set_endpoints(vec![next]);
    deployment.commands.clear();
    deployment.run(500);
    assert!(
        deployment.written_owners().is_empty(),
        "the keys are assigned"
    );
    // What the receiver applies late is released again until then.
    let commands = &deployment.commands;
    assert!(!commands.contains(&Command::Grant), "{commands:?}");
}

/// Guards against keys that are released and given away while a renewal may still be applied,
/// because a late copy of an earlier rejection on the same connection was taken for its response.
#[test_case(GrantOutcome::Fenced)]
#[test_case(GrantOutcome::Refused)]
fn a_rejection_on_a_kept_connection_proves_nothing(outcome: GrantOutcome) {
    let mut deployment = Deployment::new(vec![entry("e", "s", 2)]);
    while deployment.connections.is_empty() {
        deployment.run(STEP_MS);
    }
    deployment.connections.clear();
    deployment.grant_outcome = outcome;
    while deployment.connections.is_empty() {
        deployment.run(STEP_MS);
    }
    assert_eq!(deployment.connections, [GrantConnection::KeptOrNew]);
    deployment.grant_outcome = GrantOutcome::Granted;
    let leaving = EndpointEntry {
        draining: true,
        ..entry("e", "s", 2)
    };
    deployment.set_endpoints(vec![leaving]);
    deployment.commands.clear();
    deployment.run(500);
    assert_eq!(deployment.commands.first(), Some(&Command::Grant));
}

/// Guards against a controller that sends grants without a pause to a leaving owner while it cannot
/// renew its lease.
#[test]
fn grants_to_a_leaving_owner_are_paced_in_an_outage() {
    let mut deployment = Deployment::new(vec![entry("e", "s", 2)]);
    deployment.run(4_000);
    deployment.grant_outcome = GrantOutcome::Presumed;
    deployment.run(1_500);
    deployment.write_outcome = |_| WriteOutcome::Unknown;
    deployment.run(1_500);
    let leaving = EndpointEntry {
        draining: true,
        ..entry("e", "s", 2)
    };
    deployment.set_endpoints(vec![leaving]);
    deployment.commands.clear();
    deployment.run(2_000);
    let count = deployment.commands.len();
    assert!(
        count <= 2_000 / 150 + 1,
        "{count} commands in 2 s of {} steps",
        2_000 / STEP_MS
    );
}

/// Guards against keys of a service that are granted to an endpoint of another keyed service, which
/// was started at the address of an owner whose last renewal went on a kept connection.
#[test]
fn a_presumed_grant_is_not_proved_at_another_service() {
    let mut deployment = Deployment::new(vec![entry("e", "s", 1)]);
    deployment.declare(vec![service("s", true), service("t", true)]);
    deployment.run(3_000);
    deployment.grant_outcome = GrantOutcome::Presumed;
    deployment.run(2_000);
    deployment.grant_outcome = GrantOutcome::Granted;
    deployment.set_endpoints(vec![entry("other", "t", 2)]);
    deployment.commands.clear();
    deployment.granted.clear();
    deployment.connections.clear();
    deployment.run(500);
    let granted = deployment.granted.iter();
    let of_owner = granted.filter(|(service, ..)| *service == "s".into());
    assert_eq!(
        of_owner.count(),
        0,
        "{:?} {:?}",
        deployment.commands,
        deployment.connections
    );
}

/// Guards against a lease that is released for another daemon while a grant may still be sent to
/// whoever listens at the address by then.
#[test]
fn no_grant_is_sent_after_the_lease_was_released() {
    let mut deployment = Deployment::new(vec![entry("e", "s", 1)]);
    deployment.run(4_000);
    let mut outstanding = None;
    while outstanding.is_none() {
        deployment.now_ms += STEP_MS;
        let now = Millis(deployment.now_ms);
        for action in deployment.controller.step(&Map::default(), now) {
            match action {
                Action::Grant(_, _, _, command) => outstanding = Some(command),
                other => {
                    let event = deployment.outcome(other);
                    deployment.controller.handle(event, now);
                }
            }
        }
    }
    let command = outstanding.expect("a grant was issued");
    deployment.controller.yield_lease(Millis(deployment.now_ms));
    deployment.run(100);
    let lease = deployment.controller.lease_state();
    let is_released = lease.row().is_some_and(|row| row.released);
    assert!(
        !is_released || command.send_before.0 <= deployment.now_ms,
        "released by {} ms; {:?} grant may be sent until {}",
        deployment.now_ms,
        command.connection,
        command.send_before
    );
}

/// Guards against keys that stay unserved for the length of a lease after a move that only balances
/// load, because the owner reset one new connection.
#[test]
fn a_planned_move_after_a_reset_connection_is_short() {
    let second = EndpointEntry {
        addr: ([127, 0, 0, 1], 2).into(),
        ..entry("f", "s", 1)
    };
    let mut d = Deployment::new(vec![entry("e", "s", 1)]);
    let mut released_at = None;
    let mut resets = 0;
    let mut log = Vec::new();
    let mut stats = Map::default();
    while d.now_ms < 14_000 {
        d.now_ms += STEP_MS;
        let now = Millis(d.now_ms);
        if d.now_ms == 5_000 {
            d.set_endpoints(vec![entry("e", "s", 1), second.clone()]);
        }
        let load = ServiceLoad {
            service: "s".into(),
            keys: [100_u16, 20_000, 40_000, 60_000]
                .map(|key| (key, 1))
                .to_vec(),
            processing: Vec::new(),
        };
        let of_service: &mut LoadStats = stats.entry("s".into()).or_default();
        of_service.add(&load, now);
        for action in d.controller.step(&stats, now) {
            let event = match action {
                Action::Grant(service, id, addr, command) => {
                    log.push(format!("{now} grant {addr} {:?}", command.connection));
                    let is_proof = now >= Millis(5_000)
                        && addr.port() == 1
                        && command.connection == GrantConnection::New;
                    let outcome = if is_proof && resets == 0 {
                        resets += 1;
                        GrantOutcome::NotSent
                    } else if command.connection == GrantConnection::New {
                        GrantOutcome::Granted
                    } else {
                        GrantOutcome::Presumed
                    };
                    if released_at.is_some_and(|(_, done)| done == 0) && addr.port() == 2 {
                        released_at = released_at.map(|(at, _)| (at, d.now_ms));
                    }
                    Event::Granted(service, id, outcome)
                }
                Action::Release(service, id, ..) => {
                    log.push(format!("{now} release"));
                    released_at = released_at.or(Some((d.now_ms, 0)));
                    Event::Released(service, id, ReleaseOutcome::Released(None))
                }
                other => d.outcome(other),
            };
            d.controller.handle(event, now);
        }
    }
    let (released, granted) = released_at.expect("a move is planned");
    assert!(
        granted > 0 && granted - released <= 1_000,
        "{released} {granted} {log:#?}"
    );
}
