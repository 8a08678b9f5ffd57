//! A simulation of daemons and callers while endpoints that have room shed more than half of their
//! requests at random. It guards against callers that are not served although slots are free: because
//! daemons slow down, callers return late, or the retry budget is spent before they return.

use crate::leaving::{entry, local};
use fireflygauge::{
    clock::Millis,
    gateway::{
        backend::{Backend, ExchangeOutcome, Load, Shared, Shedding},
        budget::{BudgetRule, RetryBudget, RetryNeed},
        cost::WorkId,
    },
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    sync::Arc,
};
use test_case::test_case;

const DAEMONS: usize = 40;
const ENDPOINTS: usize = 20;
const SLOTS: u32 = 4;
const ENDPOINT_QUEUE: usize = 40;
const WORK_MS: f64 = 200.0;
const UTILIZATION: f64 = 0.5;
const OBJECTIVE_MS: u64 = 600;
const QUEUE_TIME_MS: u64 = 720;
const DEADLINE_MS: u64 = 2_000;
const SHED_SHARE: f64 = 0.55;
/// When endpoints shed at random.
const SHEDDING_MS: std::ops::Range<u64> = 10_000..20_000;
const LENGTH_MS: u64 = 24_000;

#[derive(Clone)]
struct Request {
    arrived: u64,
    attempt_at: u64,
    attempts: u32,
    endpoint: usize,
    daemon: usize,
    work: Option<WorkId>,
}

enum Event {
    Attempt(Request),
    End(Request),
}

#[derive(Default)]
struct Endpoint {
    running: u32,
    queue: VecDeque<Request>,
}

impl Endpoint {
    fn load(&self) -> Load {
        Load {
            running: self.running,
            waiting: self.queue.len() as u32,
            slots: SLOTS,
        }
    }
}

struct Fleet {
    rng: StdRng,
    now: u64,
    endpoints: Vec<Endpoint>,
    /// By daemon and endpoint.
    backends: Vec<Vec<Backend>>,
    budgets: Vec<RetryBudget>,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    pending: Vec<Option<Event>>,
    max_attempts: u32,
    /// Requests of the time of shedding: all, served, and served within the objective.
    counts: [u32; 3],
}

fn backend(shedding: &Arc<Shedding>) -> Backend {
    let entry = entry(false, local(1));
    let shared = Shared {
        shedding: Arc::clone(shedding),
        ..Shared::default()
    };
    Backend::new(entry, shared, Millis(0))
}

impl Fleet {
    fn new(max_attempts: u32) -> Self {
        let rule = BudgetRule {
            ratio: 0.2,
            extra: 50.0,
            window: Millis(10_000),
        };
        let backends_of_daemon = |_| {
            let shedding = Arc::default();
            (0..ENDPOINTS).map(|_| backend(&shedding)).collect()
        };
        Self {
            rng: StdRng::seed_from_u64(7),
            now: 0,
            endpoints: (0..ENDPOINTS).map(|_| Endpoint::default()).collect(),
            backends: (0..DAEMONS).map(backends_of_daemon).collect(),
            budgets: (0..DAEMONS).map(|_| RetryBudget::new(rule)).collect(),
            events: BinaryHeap::new(),
            pending: Vec::new(),
            max_attempts,
            counts: [0; 3],
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.events.push(Reverse((at, self.pending.len() as u64)));
        self.pending.push(Some(event));
    }

    fn run(&mut self) {
        let interval_ms = WORK_MS / (f64::from(SLOTS) * ENDPOINTS as f64 * UTILIZATION);
        let mut at = 0.0;
        while at < LENGTH_MS as f64 {
            let request = Request {
                arrived: at as u64,
                attempt_at: at as u64,
                attempts: 1,
                endpoint: self.rng.random_range(0..ENDPOINTS),
                daemon: self.rng.random_range(0..DAEMONS),
                work: None,
            };
            self.counts[0] += u32::from(SHEDDING_MS.contains(&request.arrived));
            self.schedule(at as u64, Event::Attempt(request));
            at += -interval_ms * self.rng.random_range(f64::MIN_POSITIVE..1.0).ln();
        }
        while let Some(Reverse((at, i))) = self.events.pop() {
            self.now = at;
            match self.pending[i as usize].take().expect("events occur once") {
                Event::Attempt(request) => self.attempt(request),
                Event::End(request) => self.end(request),
            }
        }
    }

    /// Sends a request if its daemon may, or waits, as the daemon does.
    fn attempt(&mut self, mut request: Request) {
        let now = Millis(self.now);
        if self.now == request.attempt_at {
            self.budgets[request.daemon].count_request(now);
        }
        let backend = &self.backends[request.daemon][request.endpoint];
        if !backend.try_acquire(now) {
            let waited = self.now - request.attempt_at;
            if waited as f64 + backend.wait_ms(0, 0.0, now) > QUEUE_TIME_MS as f64 {
                let wait = self.rng.random_range(120..=500);
                return self.return_after(request, wait);
            }
            return self.schedule(self.now + 50, Event::Attempt(request));
        }
        request.work = Some(backend.start_work("r".into(), now));
        let endpoint = &mut self.endpoints[request.endpoint];
        let is_random =
            SHEDDING_MS.contains(&self.now) && self.rng.random_range(0.0..1.0) < SHED_SHARE;
        if is_random || endpoint.queue.len() >= ENDPOINT_QUEUE {
            return self.shed(request);
        }
        if endpoint.running < SLOTS {
            self.start(request);
        } else {
            endpoint.queue.push_back(request);
        }
    }

    fn start(&mut self, request: Request) {
        self.endpoints[request.endpoint].running += 1;
        let work = -WORK_MS * self.rng.random_range(f64::MIN_POSITIVE..1.0).ln();
        let end = self.now + 1 + work as u64;
        self.schedule(end, Event::End(request));
    }

    fn shed(&mut self, mut request: Request) {
        let now = Millis(self.now);
        let load = self.endpoints[request.endpoint].load();
        self.release(&mut request, ExchangeOutcome::Shed, load);
        let backend = &self.backends[request.daemon][request.endpoint];
        let returns_at_once = backend.serves_on_return(now);
        let need = RetryNeed::after_shed(returns_at_once, request.attempts > 1);
        if self.budgets[request.daemon].try_retry(need, DAEMONS, now) {
            // The attempt is not a new request of the caller.
            return self.schedule(self.now + 1, Event::Attempt(request));
        }
        let wait = if returns_at_once {
            1
        } else {
            self.rng.random_range(120..=500)
        };
        self.return_after(request, wait);
    }

    fn return_after(&mut self, mut request: Request, wait_ms: u64) {
        let at = self.now + wait_ms + 4;
        if request.attempts < self.max_attempts && at < request.arrived + DEADLINE_MS {
            request.attempts += 1;
            request.attempt_at = at;
            request.daemon = self.rng.random_range(0..DAEMONS);
            self.schedule(at, Event::Attempt(request));
        }
    }

    fn end(&mut self, mut request: Request) {
        let endpoint = &mut self.endpoints[request.endpoint];
        endpoint.running -= 1;
        let load = endpoint.load();
        if let Some(next) = endpoint.queue.pop_front() {
            self.start(next);
        }
        let latency = Millis(self.now - request.attempt_at);
        self.release(&mut request, ExchangeOutcome::Answered(latency), load);
        if SHEDDING_MS.contains(&request.arrived) {
            let elapsed = self.now - request.arrived;
            self.counts[1] += u32::from(elapsed <= DEADLINE_MS);
            self.counts[2] += u32::from(elapsed <= OBJECTIVE_MS);
        }
    }

    fn release(&mut self, request: &mut Request, outcome: ExchangeOutcome, load: Load) {
        let backend = &self.backends[request.daemon][request.endpoint];
        backend.end_work(request.work.take().expect("the request was sent"));
        let now = Millis(self.now);
        backend.release(outcome, Some(load), &"r".into(), DAEMONS, now);
    }
}

/// Callers are served at least as often as if each of their attempts reached an endpoint, and nine in ten of
/// them within the objective, as 5% of the requests take longer than that.
#[test_case(2; "callers return once")]
#[test_case(3; "callers return twice")]
fn callers_are_served_while_endpoints_shed_at_random(max_attempts: u32) {
    let mut fleet = Fleet::new(max_attempts);
    fleet.run();
    let [all, served, within_objective] = fleet.counts.map(f64::from);
    let target = 1.0 - SHED_SHARE.powi(max_attempts as i32);
    assert!(served >= all * target, "{served} of {all}");
    assert!(
        within_objective >= all * target * 0.9,
        "{within_objective} of {all}"
    );
}
