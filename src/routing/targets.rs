//! What the request path keeps for each target: admission, connections and observations.

use super::{
    admission::Admission,
    choice::{Candidate, ChoicePolicy},
    exchange::Exchange,
    limit::{Ended, LimitPolicy},
    observed::Observed,
    pool::{MAX_IDLE, Pool},
    refusal::Code,
};
use crate::{
    clock::{Clock, Millis},
    collections::Map,
    entry::snapshot::Snapshot,
    world::{Contract, Target, TargetKey, ZoneName},
};
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, RwLock,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

/// Policies that can be exchanged to measure them against each other.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Policies {
    /// How many requests are in flight at a target.
    pub limit: LimitPolicy,
    /// How an endpoint is chosen.
    pub choice: ChoicePolicy,
}

/// A timeout after less time says nothing about the target.
const MIN_TELLING_TIMEOUT: Duration = Duration::from_millis(500);

/// State of one target.
#[derive(Debug)]
pub struct TargetState {
    /// Admission of requests.
    pub admission: Admission,
    /// Connections.
    pub pool: Pool,
    observed: Mutex<Observed>,
}

impl TargetState {
    /// What was seen of the target.
    pub fn observed(&self) -> MutexGuard<'_, Observed> {
        self.observed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Learns from an exchange that was given `given` time.
    pub fn learn(&self, result: &Exchange, given: Duration, now: Millis) {
        let mut observed = self.observed();
        match result {
            Exchange::NotRun(Code::ConnectFailed) => observed.failed(now),
            Exchange::NotRun(Code::NeverWritten) => {}
            Exchange::MayHaveRun(Code::Timeout) if given < MIN_TELLING_TIMEOUT => {}
            Exchange::MayHaveRun(_) => observed.failed(now),
            Exchange::NotRun(Code::Draining) => {
                observed.succeeded(now);
                observed.drained(now);
            }
            Exchange::Answered(_) | Exchange::NotRun(_) => observed.succeeded(now),
        }
    }
}

/// What admission learns from an exchange that took `took`.
pub fn ended(result: &Exchange, took: Millis) -> Ended {
    match result {
        Exchange::Answered(_) => Ended::Served(took),
        Exchange::NotRun(Code::Shed) => Ended::Shed,
        _ => Ended::Other,
    }
}

/// The states of all targets that were used.
#[derive(Debug)]
pub struct Targets {
    states: RwLock<Map<(TargetKey, SocketAddr), Arc<TargetState>>>,
    /// Other daemons that are alive.
    others: AtomicUsize,
    policies: Policies,
    clock: Clock,
}

impl Targets {
    /// Creates an empty set; states are created on demand.
    pub fn new(policies: Policies, clock: Clock) -> Self {
        Self {
            states: RwLock::default(),
            others: AtomicUsize::new(0),
            policies,
            clock,
        }
    }

    /// The policies in use.
    pub fn policies(&self) -> Policies {
        self.policies
    }

    /// The state of a target whose service has `contract`.
    pub fn state(&self, key: TargetKey, target: &Target, contract: &Contract) -> Arc<TargetState> {
        let id = (key, target.addr);
        let states = self.states.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(state) = states.get(&id) {
            return Arc::clone(state);
        }
        drop(states);
        let cap = self.cap(contract, self.others.load(Ordering::Relaxed));
        let mut states = self.states.write().unwrap_or_else(PoisonError::into_inner);
        let state = states.entry(id).or_insert_with(|| {
            Arc::new(TargetState {
                admission: Admission::new(self.policies.limit, cap, self.clock),
                pool: Pool::new(target.addr),
                observed: Mutex::new(Observed::new(self.clock.now())),
            })
        });
        Arc::clone(state)
    }

    /// Forgets targets that are gone, and divides slots and connections among the daemons anew.
    pub fn refresh(&self, snapshot: &Snapshot) {
        let others = snapshot.members.len();
        self.others.store(others, Ordering::Relaxed);
        let mut states = self.states.write().unwrap_or_else(PoisonError::into_inner);
        states.retain(|(key, addr), _| {
            let target = snapshot.targets.get(*key);
            target.is_some_and(|target| target.addr == *addr)
        });
        for ((key, _), state) in states.iter() {
            let target = &snapshot.targets[*key];
            if let Some(view) = snapshot.services.get(&target.service) {
                let contract = &view.contract;
                state
                    .admission
                    .gate()
                    .limit_mut()
                    .set_cap(self.cap(contract, others));
                state.pool.close_idle(max_idle(contract, others));
            }
        }
    }

    /// What `choose` needs to know of `target`.
    pub fn candidate(
        &self,
        key: TargetKey,
        target: &Target,
        contract: &Contract,
        zone: &ZoneName,
    ) -> Candidate {
        let state = self.state(key, target, contract);
        let now = self.clock.now();
        let (in_flight, queued, limit, latency_ms) = {
            let gate = state.admission.gate();
            let limit = gate.limit();
            let in_flight = limit.in_flight();
            (
                in_flight,
                gate.queue_len() as u32,
                limit.limit(),
                limit.latency_ms(),
            )
        };
        let observed = state.observed();
        Candidate {
            same_zone: target.zone == *zone,
            in_flight,
            queued,
            limit,
            latency_ms,
            load: observed.load(now),
            ramp: observed.ramp(now),
            failures: observed.failures(),
            suspect: observed.is_suspect(),
            leaving: target.leaving || observed.is_leaving(now),
            tried: false,
        }
    }

    /// Requests that a daemon has in flight at a target at most, so that all daemons together
    /// stay within the connections that the contract allows.
    fn cap(&self, contract: &Contract, others: usize) -> u32 {
        let connections = contract.connections / (others as u32 + 1);
        match self.policies.limit {
            LimitPolicy::UntilShed => connections.max(1),
            _ => contract.slots.min(connections).max(1),
        }
    }
}

/// Time that a connection stays open unused. Where daemons outnumber the connections that the
/// contract allows, they have to take turns.
fn max_idle(contract: &Contract, others: usize) -> Duration {
    let share = f64::from(contract.connections) / (others + 1) as f64;
    MAX_IDLE.mul_f64(share.min(1.0))
}
