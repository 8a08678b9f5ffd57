//! Guards against a controller that applies what it knows of an endpoint to another one that has
//! since started at its address or under its name.

use fireflygauge::{
    clock::Millis,
    collections::Map,
    gateway::{
        controller::{Action, Controller, Event, RangeId},
        model::{EndpointEntry, EndpointInstance, Service},
        owners::Owners,
        platform::{GrantConnection, GrantOutcome, ReleaseOutcome, WriteOutcome},
    },
    world::{Incarnation, ServiceName, VmName},
};
use test_case::test_case;

/// Simulated time per step of a controller, in milliseconds.
pub const STEP_MS: u64 = 50;

/// Entry of an endpoint at port 1.
pub fn entry(name: &str, service: &str, started_at_ms: u64) -> EndpointEntry {
    EndpointEntry {
        instance: EndpointInstance {
            name: name.into(),
            started_at_ms,
        },
        service: service.into(),
        addr: ([127, 0, 0, 1], 1).into(),
        zone: "a".into(),
        slots: 4,
        draining: false,
        remaining_warmup: Millis::ZERO,
        sequence: 0,
    }
}

/// A declared service.
pub fn service(name: &str, keyed: bool) -> Service {
    Service {
        name: name.into(),
        keyed,
        max_connections: 100,
        warmup_rate: None,
    }
}

/// A controller of the keyed service `s`, beside which `plain` is declared, with a store and
/// endpoints that accept all commands.
pub struct Deployment {
    pub controller: Controller,
    pub now_ms: u64,
    /// Owners in the store when the controller starts.
    stored: Vec<(ServiceName, u64, Owners)>,
    pub write_outcome: fn(u64) -> WriteOutcome,
    pub grant_outcome: GrantOutcome,
    pub release_outcome: ReleaseOutcome,
    /// Port that answers no commands.
    pub silent: Option<u16>,
    pub commands: Vec<Command>,
    /// Service, range and port of each grant.
    pub granted: Vec<(ServiceName, RangeId, u16)>,
    pub connections: Vec<GrantConnection>,
    /// Port of each release.
    pub released: Vec<u16>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Command {
    Grant,
    Release,
}

impl Deployment {
    pub fn new(entries: Vec<EndpointEntry>) -> Self {
        let (name, incarnation) = (VmName("d".into()), Incarnation::random());
        let addr = ([127, 0, 0, 1], 9).into();
        let mut controller = Controller::new(name, incarnation, addr, Millis(10_000), Millis::ZERO);
        controller.handle(Event::Lease(0, None), Millis(1));
        let services = vec![service("s", true), service("plain", false)];
        controller.handle(Event::Services(services), Millis(1));
        controller.handle(Event::Endpoints(entries), Millis(1));
        Self {
            controller,
            now_ms: 0,
            stored: Vec::new(),
            write_outcome: WriteOutcome::Committed,
            grant_outcome: GrantOutcome::Granted,
            release_outcome: ReleaseOutcome::Released(None),
            silent: None,
            commands: Vec::new(),
            granted: Vec::new(),
            connections: Vec::new(),
            released: Vec::new(),
        }
    }

    /// A daemon that takes over from this controller, of which it hears nothing, after 2 s.
    pub fn successor(mut self, entries: Vec<EndpointEntry>) -> Self {
        let lease = self.controller.lease_state();
        let lease = Event::Lease(lease.version(), lease.row().cloned());
        let mut next = Self::new(entries);
        next.now_ms = self.now_ms;
        next.stored = self.controller.take_written_owners();
        next.controller.handle(lease, Millis(next.now_ms));
        next
    }

    pub fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            let now = Millis(self.now_ms);
            for action in self.controller.step(&Map::default(), now) {
                let event = self.outcome(action);
                self.controller.handle(event, now);
            }
        }
    }

    /// Runs with endpoints that accept all grants; on connections that were used before, this is
    /// only presumed.
    pub fn run_with_presumed_renewals(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            let now = Millis(self.now_ms);
            for action in self.controller.step(&Map::default(), now) {
                let is_new = matches!(&action, Action::Grant(.., command)
                    if command.connection == GrantConnection::New);
                self.grant_outcome = if is_new {
                    GrantOutcome::Granted
                } else {
                    GrantOutcome::Presumed
                };
                let event = self.outcome(action);
                self.controller.handle(event, now);
            }
        }
    }

    pub fn outcome(&mut self, action: Action) -> Event {
        match action {
            Action::Write(id, _) => Event::Written(id, (self.write_outcome)(self.now_ms)),
            Action::ReadOwners => Event::Owners(self.stored.clone()),
            Action::Grant(service, id, addr, command) => {
                self.commands.push(Command::Grant);
                self.connections.push(command.connection);
                self.granted.push((service.clone(), id, addr.port()));
                let is_silent = self.silent == Some(addr.port());
                let outcome = if is_silent {
                    GrantOutcome::Unknown
                } else {
                    self.grant_outcome
                };
                Event::Granted(service, id, outcome)
            }
            Action::Release(service, id, addr, ..) => {
                self.commands.push(Command::Release);
                self.released.push(addr.port());
                let is_silent = self.silent == Some(addr.port());
                let outcome = if is_silent {
                    ReleaseOutcome::Unknown
                } else {
                    self.release_outcome.clone()
                };
                Event::Released(service, id, outcome)
            }
            other => panic!("unexpected action {other:?}"),
        }
    }

    pub fn declare(&mut self, services: Vec<Service>) {
        let now = Millis(self.now_ms);
        self.controller.handle(Event::Services(services), now);
    }

    pub fn set_endpoints(&mut self, entries: Vec<EndpointEntry>) {
        let now = Millis(self.now_ms);
        self.controller.handle(Event::Endpoints(entries), now);
    }

    /// Names and start times of the owners in each row that was written since the last call.
    pub fn written_owners(&mut self) -> Vec<Vec<(String, u64)>> {
        let written = self.controller.take_written_owners().into_iter();
        let owners = written.map(|(_, _, owners)| {
            let ranges = owners.ranges().iter();
            ranges
                .map(|range| (range.owner.name.to_string(), range.owner.started_at_ms))
                .collect()
        });
        owners.collect()
    }
}

/// Guards against an owner that is taken for an earlier endpoint at its address, and loses its keys,
/// because its clock was set back before its start and the other row has not lapsed yet.
#[test_case("s"; "same service")]
#[test_case("plain"; "service without keys")]
fn an_owner_with_a_clock_set_back_keeps_its_keys(earlier_service: &str) {
    let earlier = entry("earlier", earlier_service, 2_000);
    let mut deployment = Deployment::new(vec![earlier, entry("e", "s", 1_500)]);
    deployment.run(5_000);
    let expected = vec![vec![("e".to_string(), 1_500)]];
    assert_eq!(deployment.written_owners(), expected);
    assert!(deployment.commands.contains(&Command::Grant));
    assert!(!deployment.commands.contains(&Command::Release));
}

/// Guards against keys that are assigned again and again to an endpoint that has ended, as long as
/// its row has not lapsed, while another one is registered at its address.
#[test]
fn keys_are_assigned_only_to_the_latest_endpoint_at_an_address() {
    let entries = vec![entry("earlier", "s", 1), entry("e", "s", 2)];
    let mut deployment = Deployment::new(entries);
    deployment.run(5_000);
    let expected = vec![vec![("e".to_string(), 2)]];
    assert_eq!(deployment.written_owners(), expected);
}

/// Guards against keys that stay with an owner that has ended because the endpoint that was started
/// at its address has an earlier start time.
#[test_case("other", 1_500; "another id, clock set back")]
#[test_case("other", 2_500; "another id")]
#[test_case("e", 1_500; "same id, clock set back")]
#[test_case("e", 2_500; "same id")]
fn keys_of_an_ended_owner_pass_to_the_next_endpoint_at_its_address(name: &str, started_at_ms: u64) {
    let owner = entry("e", "s", 2_000);
    let mut deployment = Deployment::new(vec![owner.clone()]);
    deployment.run(4_000);
    assert_eq!(
        deployment.written_owners(),
        [vec![("e".to_string(), 2_000)]]
    );
    let next = entry(name, "s", started_at_ms);
    let is_same_row = name == "e";
    deployment.set_endpoints(if is_same_row {
        vec![next]
    } else {
        vec![owner, next]
    });
    deployment.commands.clear();
    deployment.run(1_000);
    let expected = vec![vec![(name.to_string(), started_at_ms)]];
    assert_eq!(deployment.written_owners(), expected);
    assert_eq!(
        deployment.commands[..2],
        [Command::Release, Command::Grant],
        "the keys are released at the address first"
    );
}

/// Guards against an endpoint that gets no keys because the earlier one under its name did not
/// accept grants.
#[test]
fn a_backoff_ends_with_the_endpoint() {
    let mut deployment = Deployment::new(vec![entry("e", "s", 1)]);
    deployment.grant_outcome = GrantOutcome::NotSent;
    deployment.run(4_000);
    deployment.written_owners();
    deployment.run(500);
    assert!(deployment.written_owners().is_empty(), "no keys for now");
    deployment.grant_outcome = GrantOutcome::Granted;
    deployment.set_endpoints(vec![entry("e", "s", 2)]);
    deployment.run(500);
    assert_eq!(deployment.written_owners(), [vec![("e".to_string(), 2)]]);
}

/// Guards against commands to the former address of an endpoint that was started elsewhere.
#[test]
fn an_address_ends_with_the_endpoint() {
    let mut deployment = Deployment::new(vec![entry("e", "s", 1)]);
    deployment.run(4_000);
    let next = EndpointEntry {
        addr: ([127, 0, 0, 1], 2).into(),
        ..entry("e", "s", 2)
    };
    deployment.set_endpoints(vec![next]);
    deployment.granted.clear();
    deployment.run(2_000);
    assert!(!deployment.granted.is_empty());
    assert!(deployment.granted.iter().all(|(.., port)| *port == 2));
}

/// Guards against keys that are freed because a release found connections to the address refused,
/// after the end of an owner and before the start of the next one, which was granted them since.
#[test_case("e"; "same id")]
#[test_case("other"; "another id")]
fn a_refusal_between_two_endpoints_frees_no_granted_keys(name: &str) {
    let mut deployment = Deployment::new(vec![entry("e", "s", 1)]);
    deployment.run(4_000);
    let earlier = deployment.granted[0].1;
    deployment.set_endpoints(vec![entry(name, "s", 2)]);
    deployment.run(1_000);
    let present = deployment.granted.last().expect("keys were granted").1;
    assert_ne!(earlier, present);
    deployment.written_owners();
    deployment.commands.clear();
    for id in [earlier, present] {
        let now = Millis(deployment.now_ms);
        let refused = Event::Released("s".into(), id, ReleaseOutcome::ConnectionRefused);
        deployment.controller.handle(refused, now);
    }
    deployment.run(2_000);
    assert!(deployment.written_owners().is_empty());
    assert!(!deployment.commands.contains(&Command::Release));
}

/// Guards against grants that a controller sends after a pause to an endpoint that was started
/// meanwhile: a successor may have assigned the keys elsewhere.
#[test_case(false; "no renewal")]
#[test_case(true; "renewal from before the pause is answered after it")]
fn a_paused_controller_grants_on_kept_connections_only(late_answer: bool) {
    let mut deployment = Deployment::new(vec![entry("e", "s", 1)]);
    deployment.run(4_000);
    deployment.write_outcome = |_| WriteOutcome::Unknown;
    deployment.run(1_000);
    if late_answer {
        deployment.write_outcome = |now_ms| WriteOutcome::Committed(now_ms - 5_000);
    }
    deployment.now_ms += 5_000;
    deployment.connections.clear();
    deployment.run(STEP_MS);
    assert!(!deployment.connections.is_empty());
    let is_kept = |connection: &GrantConnection| *connection == GrantConnection::Kept;
    assert!(deployment.connections.iter().all(is_kept));
}

/// Guards against keys that stay unserved for 14 s, because their owner ended before a takeover and
/// the next endpoint at its address may accept a late grant of the predecessor.
#[test_case("e"; "same id")]
#[test_case("other"; "another id")]
fn keys_of_an_owner_that_ended_before_a_takeover_are_assigned_soon(name: &str) {
    let mut deployment = Deployment::new(vec![entry("e", "s", 1)]);
    deployment.run(4_000);
    let mut deployment = deployment.successor(vec![entry(name, "s", 2)]);
    deployment.run(3_500);
    assert_eq!(deployment.written_owners(), [vec![(name.to_string(), 2)]]);
    let expected = [Command::Grant, Command::Release, Command::Grant];
    assert_eq!(
        deployment.commands[..3],
        expected,
        "a grant fences those of the predecessor, then the keys are released and assigned"
    );
}

/// Guards against keys of a service that are granted to an endpoint of another service, which was
/// started at the address of an owner that ended before a takeover.
#[test]
fn no_keys_are_granted_to_an_endpoint_of_another_keyed_service() {
    let mut deployment = Deployment::new(vec![entry("e", "s", 1)]);
    deployment.run(4_000);
    let mut deployment = deployment.successor(vec![entry("other", "t", 2)]);
    deployment.declare(vec![service("s", true), service("t", true)]);
    deployment.run(3_500);
    assert_eq!(deployment.commands.first(), Some(&Command::Release));
    let granted = deployment.granted.iter();
    let of_owner = granted.filter(|(service, ..)| *service == "s".into());
    assert_eq!(of_owner.count(), 0);
}
