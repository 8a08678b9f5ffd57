//! A simulation of daemons that send requests of four kinds to one service, without a network. It
//! guards against a choice by estimated work that serves callers worse than one that takes all
//! requests for the same, also while the estimates are wrong, and compares both with a choice that
//! knows the work of each request.

mod daemons;
mod kinds;
pub mod outcome;

use daemons::{Daemon, class_of, daemon, name};
use fireflygauge::{
    clock::Millis,
    collections::Set,
    gateway::{
        backend::{Backend, ExchangeOutcome, Load},
        cost::WorkId,
        relative_latency::RelativeLatencies,
        selection::acquire_endpoint,
    },
};
use kinds::KINDS;
use outcome::Outcome;
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    sync::Arc,
};
use test_case::test_case;

const ENDPOINTS: usize = 16;
const SLOTS: u32 = 4;
/// Requests that an endpoint queues before it sheds others.
const ENDPOINT_QUEUE: usize = 24;
/// Duration of a request at each third endpoint as a multiple of its work.
const SLOWNESS: [f64; 3] = [0.5, 1.0, 1.6];
/// Demand as a share of what all slots can serve.
const UTILIZATION: f64 = 0.75;
/// Simulated time, in milliseconds. The requests of the first quarter are not counted.
const LENGTH_MS: u64 = 24_000;
/// Time between two exchanges of relative latencies, in milliseconds.
const REPORT_MS: u64 = 1_000;
/// Time between two attempts to send a queued request, in milliseconds.
const RECHECK_MS: u64 = 50;
/// Simulations of each policy, of which the sum is compared.
const SEEDS: u64 = 4;
/// Latency objective as a multiple of the mean work.
const OBJECTIVE: f64 = 4.0;
/// Most that the share within the objective may be lower than without estimates. Random choices
/// make single comparisons differ by this much.
const MAX_LOSS: f64 = 0.1;
/// Most that the mean wait may be longer than without estimates, for the same reason.
const MAX_WAIT_FACTOR: f64 = 1.5;
/// Duration of a request that an endpoint fails, in milliseconds.
const FAILURE_MS: u64 = 5;
/// Share of the requests that an endpoint which fails fast fails.
const FAILURE_SHARE: f64 = 0.5;

/// How an endpoint is chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    /// All requests are taken for the same, as before work was estimated.
    Mean,
    /// By estimated work.
    Estimated,
    /// By the estimates of another kind, which are wrong by up to a factor of five.
    WrongKind,
    /// Knows the work of each request and the state of all endpoints.
    Ideal,
}

#[derive(Clone, Copy)]
struct Request {
    kind: usize,
    work_ms: f64,
    arrived: u64,
    daemon: usize,
    /// Whether an endpoint that fails fast fails it.
    may_fail: bool,
}

struct Sent {
    request: Request,
    work: Option<WorkId>,
    at: u64,
}

#[derive(Default)]
struct Endpoint {
    running: u32,
    queue: VecDeque<Sent>,
    /// When each slot will be free, for the ideal choice.
    free_at: [u64; SLOTS as usize],
    busy_ms: f64,
}

/// What happens next: a response ends at an endpoint in some milliseconds.
type Event = Reverse<(u64, u64)>;

struct Simulation {
    policy: Policy,
    fails_fast: bool,
    daemons: Vec<Daemon>,
    endpoints: Vec<Endpoint>,
    running: Vec<Option<(usize, Sent)>>,
    events: BinaryHeap<Event>,
    aggregate: RelativeLatencies,
    outcome: Outcome,
}

impl Simulation {
    fn run(policy: Policy, daemons: usize, fails_fast: bool, seed: u64) -> Outcome {
        let mut simulation = Self {
            policy,
            fails_fast,
            daemons: (0..daemons).map(|_| daemon()).collect(),
            endpoints: (0..ENDPOINTS).map(|_| Endpoint::default()).collect(),
            running: Vec::new(),
            events: BinaryHeap::new(),
            aggregate: RelativeLatencies::default(),
            outcome: Outcome::default(),
        };
        let mut rng = StdRng::seed_from_u64(seed);
        let speed: f64 = (0..ENDPOINTS).map(|i| 1.0 / SLOWNESS[i % 3]).sum();
        let mean_ms = KINDS.iter().map(|kind| kind.mean_ms).sum::<f64>() / KINDS.len() as f64;
        let interval_ms = mean_ms / (speed * f64::from(SLOTS) * UTILIZATION);
        let mut next_arrival = 0.0;
        for now in 0..LENGTH_MS {
            simulation.end_requests(now);
            while next_arrival <= now as f64 {
                next_arrival -= rng.random_range(1e-9_f64..1.0).ln() * interval_ms;
                let kind = rng.random_range(0..KINDS.len());
                let request = Request {
                    kind,
                    work_ms: KINDS[kind].sample_ms(&mut rng),
                    arrived: now,
                    daemon: rng.random_range(0..daemons),
                    may_fail: rng.random_bool(FAILURE_SHARE),
                };
                simulation.daemons[request.daemon].queue.push_back(request);
                simulation.send_queued(request.daemon, now);
            }
            if now % RECHECK_MS == 0 {
                (0..daemons).for_each(|daemon| simulation.send_queued(daemon, now));
            }
            if now % REPORT_MS == 0 {
                simulation.exchange_latencies(now);
            }
        }
        let endpoints = simulation.endpoints.iter();
        simulation.outcome.busy_ms = endpoints.map(|endpoint| endpoint.busy_ms).collect();
        simulation.outcome
    }

    fn exchange_latencies(&mut self, now: u64) {
        let known: Set<Arc<str>> = (0..ENDPOINTS).map(name).collect();
        for daemon in &self.daemons {
            let members = daemon.service.members.iter();
            let reports: Vec<_> = members
                .filter_map(|member| member.backend.take_relative_latency())
                .collect();
            self.aggregate.add(&reports);
        }
        let version = self.aggregate.changes_after(1, 0).version;
        self.aggregate.refresh(&known, Millis(now));
        let update = self.aggregate.changes_after(1, version);
        for daemon in &mut self.daemons {
            daemon.builder.set_relative_latencies(&update.latencies);
        }
    }

    /// Sends the queued requests of a daemon for which there is room, and gives up those that have
    /// waited for too long.
    fn send_queued(&mut self, daemon: usize, now: u64) {
        while let Some(request) = self.daemons[daemon].queue.front().copied() {
            let most_ms = 1.2 * OBJECTIVE * KINDS[request.kind].mean_ms;
            if (now - request.arrived) as f64 > most_ms {
                self.daemons[daemon].queue.pop_front();
                self.count(request, None, now);
                continue;
            }
            if !self.try_send(request, now) {
                return;
            }
            self.daemons[daemon].queue.pop_front();
        }
    }

    fn try_send(&mut self, request: Request, now: u64) -> bool {
        if self.policy == Policy::Ideal {
            let ends = (0..ENDPOINTS).map(|i| (self.ideal_end(i, request, now), i));
            let (_, i) = ends.min().expect("there are endpoints");
            let work = None;
            self.arrive(
                i,
                Sent {
                    request,
                    work,
                    at: now,
                },
                now,
            );
            return true;
        }
        let service = Arc::clone(&self.daemons[request.daemon].service);
        let costs = &service.state.costs;
        let (work_ms, class) = match self.policy {
            Policy::Mean => (costs.mean_work_ms(), None),
            Policy::WrongKind => {
                let class = class_of(KINDS.len() - 1 - request.kind);
                (costs.estimate(&class, Millis(1)).choice_ms, Some(class))
            }
            _ => {
                let class = class_of(request.kind);
                (costs.estimate(&class, Millis(1)).choice_ms, Some(class))
            }
        };
        let daemons = self.daemons.len();
        let Some(member) = acquire_endpoint(&service, work_ms, &[], daemons, Millis(now)) else {
            return false;
        };
        let work = class.map(|class| member.backend.start_work(class, Millis(now)));
        let i = usize::from(member.backend.entry.addr.port());
        self.arrive(
            i,
            Sent {
                request,
                work,
                at: now,
            },
            now,
        );
        true
    }

    fn fails(&self, endpoint: usize, request: Request) -> bool {
        self.fails_fast && endpoint == 0 && request.may_fail
    }

    fn duration_ms(&self, endpoint: usize, request: Request) -> u64 {
        if self.fails(endpoint, request) {
            return FAILURE_MS;
        }
        (request.work_ms * SLOWNESS[endpoint % 3]).ceil() as u64
    }

    fn ideal_end(&self, i: usize, request: Request, now: u64) -> u64 {
        let free_at = self.endpoints[i].free_at.iter().min();
        free_at.copied().unwrap_or(0).max(now) + self.duration_ms(i, request)
    }

    fn arrive(&mut self, i: usize, sent: Sent, now: u64) {
        if self.endpoints[i].running < SLOTS {
            self.begin(i, sent, now);
        } else if self.endpoints[i].queue.len() < ENDPOINT_QUEUE {
            let ends = self.ideal_end(i, sent.request, now);
            self.occupy(i, ends);
            self.endpoints[i].queue.push_back(sent);
        } else {
            self.release(i, &sent, ExchangeOutcome::Shed, now);
            self.daemons[sent.request.daemon]
                .queue
                .push_back(sent.request);
        }
    }

    /// Books the slot that is free first.
    fn occupy(&mut self, i: usize, until: u64) {
        let slots = self.endpoints[i].free_at.iter_mut();
        *slots.min().expect("there are slots") = until;
    }

    fn begin(&mut self, i: usize, sent: Sent, now: u64) {
        let ends = now + self.duration_ms(i, sent.request);
        if sent.at == now {
            self.occupy(i, ends);
        }
        self.endpoints[i].running += 1;
        self.events.push(Reverse((ends, self.running.len() as u64)));
        self.endpoints[i].busy_ms += (ends - now) as f64;
        self.count(sent.request, Some((i, now, ends)), now);
        self.running.push(Some((i, sent)));
    }

    fn end_requests(&mut self, now: u64) {
        while let Some(Reverse((at, id))) = self.events.peek().copied() {
            if at > now {
                return;
            }
            self.events.pop();
            let (i, sent) = self.running[id as usize].take().expect("it ends once");
            self.endpoints[i].running -= 1;
            if let Some(next) = self.endpoints[i].queue.pop_front() {
                self.begin(i, next, now);
            }
            let outcome = if self.fails(i, sent.request) {
                ExchangeOutcome::Failed
            } else {
                ExchangeOutcome::Answered(Millis(now - sent.at))
            };
            self.release(i, &sent, outcome, now);
            self.send_queued(sent.request.daemon, now);
        }
    }

    fn release(&self, i: usize, sent: &Sent, outcome: ExchangeOutcome, now: u64) {
        if self.policy == Policy::Ideal {
            return;
        }
        let backend: &Backend = &self.daemons[sent.request.daemon].service.members[i].backend;
        if let Some(work) = sent.work {
            backend.end_work(work);
        }
        let load = Load {
            running: self.endpoints[i].running,
            waiting: self.endpoints[i].queue.len() as u32,
            slots: SLOTS,
        };
        let class = class_of(sent.request.kind);
        backend.release(outcome, Some(load), &class, self.daemons.len(), Millis(now));
    }

    /// Counts a request that runs at an endpoint from and until these times, or that was given up.
    fn count(&mut self, request: Request, run: Option<(usize, u64, u64)>, now: u64) {
        if request.arrived < LENGTH_MS / 4 {
            return;
        }
        self.outcome.total += 1;
        let wait_ms = run.map_or(now, |(_, began, _)| began) - request.arrived;
        self.outcome.waits_ms.push(wait_ms as f64);
        let objective_ms = OBJECTIVE * KINDS[request.kind].mean_ms;
        let is_good = run.is_some_and(|(i, _, ends)| {
            (ends - request.arrived) as f64 <= objective_ms && !self.fails(i, request)
        });
        self.outcome.in_objective += usize::from(is_good);
    }
}

fn outcome(policy: Policy, daemons: usize, fails_fast: bool) -> Outcome {
    let mut all = Outcome::default();
    for seed in 0..SEEDS {
        all.add(&Simulation::run(policy, daemons, fails_fast, seed));
    }
    println!(
        "{daemons} daemons, {policy:?}, fails fast {fails_fast}: wait mean {:.0} p50 {:.0} p99 {:.0} ms, in objective {:.3}, most busy {:.2}",
        all.mean_wait_ms(),
        all.wait_ms(0.5),
        all.wait_ms(0.99),
        all.share(),
        all.unevenness()
    );
    all
}

#[test_case(3, false; "few daemons")]
#[test_case(65, false; "many daemons")]
#[test_case(2_000, false; "very many daemons")]
#[test_case(3, true; "few daemons and an endpoint that fails fast")]
#[test_case(65, true; "many daemons and an endpoint that fails fast")]
fn estimated_work_serves_no_fewer_callers_in_time(daemons: usize, fails_fast: bool) {
    let mean = outcome(Policy::Mean, daemons, fails_fast);
    let estimated = outcome(Policy::Estimated, daemons, fails_fast);
    let wrong = outcome(Policy::WrongKind, daemons, fails_fast);
    let ideal = outcome(Policy::Ideal, daemons, fails_fast);
    assert!(fails_fast || ideal.share() > estimated.share() - MAX_LOSS);
    for compared in [&estimated, &wrong] {
        assert!(compared.share() > mean.share() - MAX_LOSS);
        assert!(compared.mean_wait_ms() < MAX_WAIT_FACTOR * mean.mean_wait_ms());
    }
}
