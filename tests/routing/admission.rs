//! Fair queueing between callers, and the in-flight limit of a target.

use fireflygauge::{
    clock::{Clock, Millis},
    routing::{
        admission::Admission,
        admission_state::{AdmissionDecision, AdmissionState},
        exchange::ExchangeResult,
        fairness::{FairQueue, PushResult},
        limit::{LimitPolicy, LimitSample},
        refusal::Code,
        retry::{RetryBudget, backoff},
    },
};
use proptest::prelude::*;
use rand::{Rng, SeedableRng, rngs::StdRng};
use std::{collections::HashMap, sync::Arc};
use test_case::test_case;

fn name(text: &str) -> Arc<str> {
    text.into()
}

/// Guards against callers waiting behind the whole burst of another caller.
#[test]
fn callers_are_served_round_robin() {
    let mut queue = FairQueue::default();
    for i in 0..5 {
        queue.push(&name("busy"), ("busy", i), 100);
    }
    queue.push(&name("small"), ("small", 0), 100);
    assert_eq!(queue.ahead_of("small"), 3);
    let order: Vec<_> = std::iter::from_fn(|| queue.pop()).collect();
    assert_eq!(order[1], ("small", 0));
    assert_eq!(order.len(), 6);
}

/// Guards against one caller locking others out of a full queue.
#[test]
fn full_queue_displaces_an_item_of_the_busiest_caller() {
    let mut queue = FairQueue::default();
    for i in 0..4 {
        queue.push(&name("busy"), i, 4);
    }
    assert_eq!(queue.push(&name("small"), 10, 4), PushResult::Displaced(3));
    assert_eq!(queue.push(&name("busy"), 11, 4), PushResult::Full(11));
    assert_eq!(queue.len(), 4);
}

proptest! {
    /// Guards against lost or repeated items, a wrong length, and unfairness: while a caller has
    /// queued items, no other caller is served more than once between two of its turns.
    #[test]
    fn queue_is_fair_and_complete(operations in prop::collection::vec((0..4u8, any::<bool>()), 1..200)) {
        let mut queue = FairQueue::default();
        let mut waiting: HashMap<u8, i32> = HashMap::new();
        let mut since: HashMap<(u8, u8), i32> = HashMap::new();
        for (caller, pop) in operations {
            if pop {
                let Some(popped) = queue.pop() else { continue };
                *waiting.get_mut(&popped).unwrap() -= 1;
                for other in 0..4 {
                    since.insert((popped, other), 0);
                    if other != popped && waiting.get(&other).copied().unwrap_or(0) > 0 {
                        let turns = since.entry((other, popped)).or_default();
                        *turns += 1;
                        prop_assert!(*turns <= 1, "{popped} served twice while {other} waited");
                    } else {
                        since.insert((other, popped), 0);
                    }
                }
                continue;
            }
            match queue.push(&name(&caller.to_string()), caller, 16) {
                PushResult::Queued => *waiting.entry(caller).or_default() += 1,
                PushResult::Displaced(other) => {
                    *waiting.entry(caller).or_default() += 1;
                    *waiting.get_mut(&other).unwrap() -= 1;
                }
                PushResult::Full(own) => prop_assert_eq!(own, caller),
            }
            prop_assert_eq!(queue.len() as i32, waiting.values().sum::<i32>());
            prop_assert!(queue.len() <= 16);
        }
    }
}

const SLOTS: usize = 4;
const SERVICE_MS: u64 = 10;
const SEED: u64 = 5;

/// A request in the simulation: the daemon that has it, its arrival and its retries.
type SimulatedRequest = (usize, u64, u32);

/// Results of a simulation.
#[derive(Debug)]
struct SimulationResult {
    p99_ms: u64,
    refused: f64,
    sheds: f64,
}

/// Daemons that share the slots of one target.
struct Simulation {
    rng: StdRng,
    states: Vec<AdmissionState<SimulatedRequest>>,
    budgets: Vec<RetryBudget>,
    running: Vec<(u64, u64, SimulatedRequest)>,
    delayed: Vec<(u64, SimulatedRequest)>,
    latencies: Vec<u64>,
    arrived: u32,
    refused: u32,
    sent: u32,
    sheds: u32,
}

impl Simulation {
    fn arrive(&mut self, (daemon, arrival, retries): SimulatedRequest, now: u64) {
        let left = Millis(2_000).since(Millis(now - arrival));
        let item = (daemon, arrival, retries);
        match self.states[daemon].admit(&name("a"), item, 64, left, Millis(now)) {
            AdmissionDecision::Admitted(item) => self.send(item, now),
            AdmissionDecision::Queued => {}
            AdmissionDecision::Displaced(_) | AdmissionDecision::Refused(..) => self.refused += 1,
        }
    }

    fn send(&mut self, (daemon, arrival, retries): SimulatedRequest, now: u64) {
        self.sent += 1;
        if self.running.len() < SLOTS {
            let item = (daemon, arrival, retries);
            return self.running.push((now + SERVICE_MS, now, item));
        }
        self.sheds += 1;
        self.states[daemon].release(LimitSample::Shed, Millis(now));
        if self.budgets[daemon].try_spend(&ExchangeResult::NotRun(Code::Shed)) {
            let wait = backoff(retries + 1, self.rng.random()).0;
            self.delayed
                .push((now + wait, (daemon, arrival, retries + 1)));
        } else {
            self.refused += 1;
        }
    }

    fn step(&mut self, rate: f64, now: u64) {
        let (ended, running) = self.running.drain(..).partition(|&(end, ..)| end <= now);
        self.running = running;
        for (_, sent, (daemon, arrival, _)) in ended {
            self.latencies.push(now - arrival);
            self.states[daemon].release(LimitSample::Served(Millis(now - sent)), Millis(now));
        }
        let (due, delayed) = self.delayed.drain(..).partition(|&(at, _)| at <= now);
        self.delayed = delayed;
        due.into_iter().for_each(|(_, item)| self.arrive(item, now));
        if self.rng.random_bool(rate.min(1.0)) {
            let daemon = self.rng.random_range(0..self.states.len());
            self.arrived += 1;
            self.budgets[daemon].record_first_attempt(10);
            self.arrive((daemon, now, 0), now);
        }
        for daemon in 0..self.states.len() {
            while let Some(item) = self.states[daemon].admit_next(Millis(now)) {
                self.send(item, now);
            }
        }
    }
}

/// Simulates one minute in which `daemons` receive random requests at `load` times the capacity of
/// one target.
fn simulate(policy: LimitPolicy, daemons: usize, load: f64) -> SimulationResult {
    let mut simulation = Simulation {
        rng: StdRng::seed_from_u64(SEED),
        states: (0..daemons)
            .map(|_| AdmissionState::new(policy, SLOTS as u32))
            .collect(),
        budgets: vec![RetryBudget::default(); daemons],
        running: Vec::new(),
        delayed: Vec::new(),
        latencies: Vec::new(),
        arrived: 0,
        refused: 0,
        sent: 0,
        sheds: 0,
    };
    for now in 0..60_000 {
        simulation.step(load * SLOTS as f64 / SERVICE_MS as f64, now);
    }
    simulation.latencies.sort_unstable();
    let result = SimulationResult {
        p99_ms: simulation.latencies[simulation.latencies.len() * 99 / 100],
        refused: f64::from(simulation.refused) / f64::from(simulation.arrived),
        sheds: f64::from(simulation.sheds) / f64::from(simulation.sent),
    };
    println!("seed={SEED} policy={policy:?} daemons={daemons} load={load} {result:?}");
    result
}

/// Guards against an adaptive limit that leaves slots idle, starves a daemon, or exhausts the retry
/// budget although the load is below the target's capacity.
#[test_case(1, 0.7; "one_daemon")]
#[test_case(3, 0.7; "three_daemons")]
#[test_case(9, 0.7; "nine_daemons")]
#[test_case(9, 0.85; "nine_daemons_under_high_load")]
#[test_case(40, 0.7; "forty_daemons")]
fn adaptive_limit_shares_four_slots(daemons: usize, load: f64) {
    let result = simulate(LimitPolicy::Adaptive, daemons, load);
    assert!(result.refused < 0.01, "{result:?}");
    assert!(result.p99_ms < 300, "{result:?}");
}

/// Guards against refusing much more than the excess load, and against long waits, under overload.
#[test]
fn overload_is_refused_early() {
    let result = simulate(LimitPolicy::Adaptive, 9, 1.2);
    assert!((0.1..0.3).contains(&result.refused), "{result:?}");
    assert!(result.p99_ms < 1_000, "{result:?}");
}

/// Guards against a simulation in which the policies do not differ: the adaptive limit must avoid
/// sheds that a limit at the cap causes.
#[test]
fn until_shed_sheds_more_than_adaptive() {
    let adaptive = simulate(LimitPolicy::Adaptive, 9, 0.85).sheds;
    let until_shed = simulate(LimitPolicy::UntilShed, 9, 0.85).sheds;
    assert!(until_shed > adaptive, "{until_shed} and {adaptive}");
}

fn saturated_state(limit: u32) -> AdmissionState<u32> {
    let mut state = AdmissionState::new(LimitPolicy::UntilShed, limit);
    for i in 0..limit {
        let decision = state.admit(&name("a"), i, 8, Millis(1_000), Millis(0));
        assert_eq!(decision, AdmissionDecision::Admitted(i));
    }
    state
}

/// Guards against queueing requests that cannot be served before their deadline, and against an
/// unbounded queue.
#[test]
fn requests_that_cannot_be_served_are_refused() {
    let mut state = saturated_state(2);
    for i in 10..18 {
        assert_eq!(
            state.admit(&name("a"), i, 8, Millis(1_000), Millis(0)),
            AdmissionDecision::Queued
        );
    }
    let full = state.admit(&name("a"), 18, 8, Millis(1_000), Millis(0));
    assert_eq!(full, AdmissionDecision::Refused(18, Code::QueueFull));
    let late = state.admit(&name("a"), 19, 100, Millis(10), Millis(0));
    assert_eq!(late, AdmissionDecision::Refused(19, Code::TooLate));
}

/// Guards against a new request overtaking queued ones when a slot is free.
#[test]
fn new_request_does_not_overtake_queued_ones() {
    let mut state = saturated_state(1);
    assert_eq!(
        state.admit(&name("a"), 1, 8, Millis(1_000), Millis(0)),
        AdmissionDecision::Queued
    );
    state.release(LimitSample::Other, Millis(1));
    assert_eq!(
        state.admit(&name("b"), 2, 8, Millis(1_000), Millis(1)),
        AdmissionDecision::Queued
    );
    assert_eq!(state.admit_next(Millis(1)), Some(1));
    assert_eq!(state.admit_next(Millis(1)), None);
}

/// Guards against leaking slots when queued callers disconnect.
#[tokio::test]
async fn cancelled_waiters_leak_no_slots() {
    let clock = Clock::start();
    let admission = Admission::new(LimitPolicy::UntilShed, 1, clock);
    let deadline = clock.now() + Millis(10_000);
    for _ in 0..50 {
        let permit = admission
            .acquire(&name("a"), 8, deadline)
            .await
            .expect("a permit");
        let waiter = {
            let admission = admission.clone();
            tokio::spawn(async move { admission.acquire(&name("b"), 8, deadline).await.is_ok() })
        };
        while admission.lock_state().queue_len() == 0 {
            tokio::task::yield_now().await;
        }
        // The permit is passed to the waiter before its task is seen to have ended.
        waiter.abort();
        drop(permit);
        let _ = waiter.await;
    }
    assert_eq!(admission.lock_state().limit().in_flight(), 0);
}

/// Guards against a waiter that is never woken when the limit is below one and nothing is in
/// flight any more: only the end of the pacing delay can wake it.
#[tokio::test]
async fn pacing_below_one_wakes_waiters() {
    let clock = Clock::start();
    let admission = Admission::new(LimitPolicy::Share(0.2), 4, clock);
    let deadline = clock.now() + Millis(5_000);
    for _ in 0..5 {
        let permit = admission
            .acquire(&name("a"), 8, deadline)
            .await
            .expect("a permit");
        permit.finish(LimitSample::Served(Millis(2)));
    }
    assert!(clock.now() >= Millis(20), "the requests are paced");
}
