//! A simulation of daemons in four zones that send requests without keys to endpoints with two slots,
//! without a network. It guards against endpoint sets that serve callers worse than a spread over all
//! endpoints, and counts the connections that each opens.

use crate::{cost_load::outcome::Outcome, leaving::builder_in};
use fireflygauge::{
    clock::Millis,
    collections::Set,
    gateway::{
        backend::{ExchangeOutcome, Load},
        endpoint_set::FleetPosition,
        model::{EndpointEntry, EndpointInstance},
        relative_latency::RelativeLatencies,
        selection::acquire_endpoint,
        view::{ServiceView, ViewBuilder},
    },
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    sync::Arc,
};
use test_case::test_case;

const SLOTS: u32 = 2;
/// Requests that an endpoint queues before it resets connections.
const ENDPOINT_QUEUE: usize = 8;
const ZONES: usize = 4;
const MEAN_MS: f64 = 160.0;
/// Duration of a request at each third endpoint as a multiple of its work.
const SLOWNESS: [f64; 3] = [0.6, 1.0, 1.4];
/// Idle time after which an endpoint's connection is not used again, in milliseconds.
const IDLE_MS: u64 = 8_000;
/// Most idle connections of a daemon to an endpoint.
const MAX_POOLED: usize = 3;
/// Simulated time, in milliseconds. The requests of the first quarter are not counted.
const LENGTH_MS: u64 = 40_000;
const REPORT_MS: u64 = 1_000;
/// Widenings from which a set has all endpoints.
const MAX_WIDENINGS: usize = 20;
const RECHECK_MS: u64 = 50;
const OBJECTIVE_MS: u64 = 600;
const QUEUE_MS: u64 = 720;

#[derive(Clone, Copy, Debug)]
struct Fleet {
    daemons: usize,
    endpoints: usize,
    /// Demand as a share of what all slots can serve.
    utilization: f64,
}

#[derive(Clone, Copy)]
struct Request {
    work_ms: f64,
    arrived: u64,
    daemon: usize,
}

struct Sent {
    request: Request,
    at: u64,
}

struct Daemon {
    builder: ViewBuilder,
    service: Arc<ServiceView>,
    queue: VecDeque<Request>,
    /// Since when the connections to each endpoint have been idle.
    idle: Vec<Vec<u64>>,
}

#[derive(Default)]
struct Endpoint {
    running: u32,
    queue: VecDeque<Sent>,
    busy_ms: f64,
}

#[derive(Default)]
struct Counts {
    opened: usize,
    sent: usize,
    reset: usize,
    remote: usize,
}

struct Simulation {
    fleet: Fleet,
    spread: bool,
    daemons: Vec<Daemon>,
    endpoints: Vec<Endpoint>,
    running: Vec<Option<(usize, Sent)>>,
    events: BinaryHeap<Reverse<(u64, usize)>>,
    outcome: Outcome,
    counts: Counts,
}

fn zone(i: usize) -> &'static str {
    ["a", "b", "c", "d"][i % ZONES]
}

fn name(i: usize) -> Arc<str> {
    format!("e{i:03}").into()
}

fn daemon(i: usize, fleet: Fleet) -> Daemon {
    let mut builder = builder_in(zone(i), "s", false);
    let of_zone = (fleet.daemons - i % ZONES).div_ceil(ZONES);
    builder.set_position(FleetPosition::of_rank(i / ZONES, of_zone));
    for i in 0..fleet.endpoints {
        let entry = EndpointEntry {
            instance: EndpointInstance {
                name: name(i),
                started_at_ms: 1,
            },
            service: "s".into(),
            addr: ([127, 0, 0, 1], i as u16).into(),
            zone: zone(i).into(),
            slots: SLOTS,
            draining: false,
            remaining_warmup: Millis::ZERO,
            sequence: 0,
        };
        builder.register(entry, Millis::ZERO, Millis::ZERO);
    }
    let service = Arc::clone(&builder.build(Millis::ZERO).services[&"s".into()]);
    Daemon {
        builder,
        service,
        queue: VecDeque::new(),
        idle: vec![Vec::new(); fleet.endpoints],
    }
}

impl Simulation {
    fn run(fleet: Fleet, spread: bool, seed: u64) -> (Outcome, Counts) {
        let mut simulation = Self {
            fleet,
            spread,
            daemons: (0..fleet.daemons).map(|i| daemon(i, fleet)).collect(),
            endpoints: (0..fleet.endpoints).map(|_| Endpoint::default()).collect(),
            running: Vec::new(),
            events: BinaryHeap::new(),
            outcome: Outcome::default(),
            counts: Counts::default(),
        };
        let mut rng = StdRng::seed_from_u64(seed);
        let mut aggregate = RelativeLatencies::default();
        let speed: f64 = (0..fleet.endpoints)
            .map(|i| 1.0 / SLOWNESS[i / ZONES % 3])
            .sum();
        let interval_ms = MEAN_MS / (speed * f64::from(SLOTS) * fleet.utilization);
        let mut next_arrival = 0.0;
        for now in 0..LENGTH_MS {
            simulation.end_requests(now);
            while next_arrival <= now as f64 {
                next_arrival -= rng.random_range(1e-9_f64..1.0).ln() * interval_ms;
                let spread: f64 = rng.random_range(0.5..1.5);
                let daemon = rng.random_range(0..fleet.daemons);
                let request = Request {
                    work_ms: MEAN_MS * if rng.random_bool(0.01) { 3.0 } else { spread },
                    arrived: now,
                    daemon,
                };
                let state = &simulation.daemons[daemon].service.state;
                state.count_request(None, Millis(now));
                simulation.daemons[daemon].queue.push_back(request);
                simulation.send_queued(daemon, now);
            }
            if now % RECHECK_MS == 0 {
                (0..fleet.daemons).for_each(|daemon| simulation.send_queued(daemon, now));
            }
            if now % REPORT_MS == 0 {
                simulation.exchange_latencies(&mut aggregate, now);
            }
        }
        let endpoints = simulation.endpoints.iter();
        simulation.outcome.busy_ms = endpoints.map(|endpoint| endpoint.busy_ms).collect();
        (simulation.outcome, simulation.counts)
    }

    fn exchange_latencies(&mut self, aggregate: &mut RelativeLatencies, now: u64) {
        let known: Set<Arc<str>> = (0..self.fleet.endpoints).map(name).collect();
        for daemon in &self.daemons {
            let members = daemon.service.members.iter();
            let reports: Vec<_> = members
                .filter_map(|member| member.backend.take_relative_latency())
                .collect();
            aggregate.add(&reports);
        }
        let version = aggregate.changes_after(1, 0).version;
        aggregate.refresh(&known, Millis(now));
        let update = aggregate.changes_after(1, version);
        for daemon in &mut self.daemons {
            daemon.builder.set_relative_latencies(&update.latencies);
        }
    }

    fn send_queued(&mut self, daemon: usize, now: u64) {
        while let Some(request) = self.daemons[daemon].queue.front().copied() {
            if now - request.arrived > QUEUE_MS {
                self.daemons[daemon].queue.pop_front();
                self.count(request, None, now);
                continue;
            }
            let service = Arc::clone(&self.daemons[daemon].service);
            if self.spread {
                // A set that keeps widening has all endpoints.
                let set_size = &service.state.set_size;
                (0..MAX_WIDENINGS).for_each(|_| set_size.record_widening(Millis(now)));
            }
            let work_ms = service.state.costs.mean_work_ms();
            let daemons = self.fleet.daemons;
            let Some(member) = acquire_endpoint(&service, work_ms, &[], daemons, Millis(now))
            else {
                return;
            };
            self.daemons[daemon].queue.pop_front();
            let i = usize::from(member.backend.entry.addr.port());
            self.connect(daemon, i, now);
            self.arrive(i, Sent { request, at: now }, now);
        }
    }

    fn connect(&mut self, daemon: usize, i: usize, now: u64) {
        let idle = self.daemons[daemon].idle[i].pop();
        let is_open = idle.is_some_and(|since| now - since < IDLE_MS);
        if !is_open {
            self.daemons[daemon].idle[i].clear();
        }
        if now >= LENGTH_MS / 4 {
            self.counts.sent += 1;
            self.counts.opened += usize::from(!is_open);
            self.counts.remote += usize::from(zone(daemon) != zone(i));
        }
    }

    fn arrive(&mut self, i: usize, sent: Sent, now: u64) {
        if self.endpoints[i].running < SLOTS {
            self.begin(i, sent, now);
        } else if self.endpoints[i].queue.len() < ENDPOINT_QUEUE {
            self.endpoints[i].queue.push_back(sent);
        } else {
            self.release(i, &sent, ExchangeOutcome::Lost, None, now);
            self.counts.reset += 1;
            self.count(sent.request, None, now);
        }
    }

    fn begin(&mut self, i: usize, sent: Sent, now: u64) {
        let ms = sent.request.work_ms * SLOWNESS[i / ZONES % 3];
        let ends = now + ms.ceil() as u64;
        self.endpoints[i].running += 1;
        self.endpoints[i].busy_ms += ms;
        self.events.push(Reverse((ends, self.running.len())));
        self.count(sent.request, Some((now, ends)), now);
        self.running.push(Some((i, sent)));
    }

    fn end_requests(&mut self, now: u64) {
        while let Some(Reverse((at, id))) = self.events.peek().copied() {
            if at > now {
                return;
            }
            self.events.pop();
            let (i, sent) = self.running[id].take().expect("it ends once");
            self.endpoints[i].running -= 1;
            if let Some(next) = self.endpoints[i].queue.pop_front() {
                self.begin(i, next, now);
            }
            let load = Load {
                running: self.endpoints[i].running,
                waiting: self.endpoints[i].queue.len() as u32,
                slots: SLOTS,
            };
            let outcome = ExchangeOutcome::Answered(Millis(now - sent.at));
            self.release(i, &sent, outcome, Some(load), now);
            let daemon = &mut self.daemons[sent.request.daemon];
            if daemon.idle[i].len() < MAX_POOLED {
                daemon.idle[i].push(now);
            }
            self.send_queued(sent.request.daemon, now);
        }
    }

    fn release(
        &self,
        i: usize,
        sent: &Sent,
        outcome: ExchangeOutcome,
        load: Option<Load>,
        now: u64,
    ) {
        let members = &self.daemons[sent.request.daemon].service.members;
        let daemons = self.fleet.daemons;
        members[i]
            .backend
            .release(outcome, load, &"r".into(), daemons, Millis(now));
    }

    fn count(&mut self, request: Request, run: Option<(u64, u64)>, now: u64) {
        if request.arrived < LENGTH_MS / 4 {
            return;
        }
        self.outcome.total += 1;
        let wait_ms = run.map_or(now, |(began, _)| began) - request.arrived;
        self.outcome.waits_ms.push(wait_ms as f64);
        let is_good = run.is_some_and(|(_, ends)| ends - request.arrived <= OBJECTIVE_MS);
        self.outcome.in_objective += usize::from(is_good);
    }
}

fn outcome(fleet: Fleet, spread: bool) -> (Outcome, f64) {
    let (mut all, mut counts) = (Outcome::default(), Counts::default());
    let seeds = if fleet.daemons > 100 { 1 } else { 3 };
    for seed in 0..seeds {
        let (outcome, c) = Simulation::run(fleet, spread, seed);
        all.add(&outcome);
        counts.opened += c.opened;
        counts.sent += c.sent;
        counts.reset += c.reset;
        counts.remote += c.remote;
    }
    let opened = counts.opened as f64 / counts.sent as f64;
    println!(
        "{fleet:?} spread {spread}: wait mean {:.0} p50 {:.0} p99 {:.0} ms, in objective {:.4}, most busy {:.2}, opened {opened:.3}, remote {:.3}, reset {:.4}",
        all.mean_wait_ms(),
        all.wait_ms(0.5),
        all.wait_ms(0.99),
        all.share(),
        all.unevenness(),
        counts.remote as f64 / counts.sent as f64,
        counts.reset as f64 / counts.sent as f64,
    );
    (all, opened)
}

#[test_case(3, 60, 0.5; "few daemons and many endpoints")]
#[test_case(65, 60, 0.4; "many daemons and calm")]
#[test_case(65, 60, 0.6; "many daemons")]
#[test_case(65, 60, 0.8; "many daemons and busy")]
#[test_case(65, 60, 1.1; "many daemons and too little room")]
#[test_case(2_000, 60, 0.6; "very many daemons")]
fn endpoint_sets_serve_no_fewer_callers_in_time(
    daemons: usize,
    endpoints: usize,
    utilization: f64,
) {
    let fleet = Fleet {
        daemons,
        endpoints,
        utilization,
    };
    let (spread, spread_opened) = outcome(fleet, true);
    let (set, set_opened) = outcome(fleet, false);
    assert!(set.share() > spread.share() - 0.02);
    assert!(set_opened < spread_opened + 0.01);
}
