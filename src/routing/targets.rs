//! State of each target on the request path: admission, connections and health.

use super::{
    admission::Admission,
    exchange::ExchangeResult,
    limit::{LimitPolicy, LimitSample},
    pool::{MAX_IDLE_TIME, Pool},
    refusal::Code,
    selection::{Candidate, SelectionPolicy},
    target_health::TargetHealth,
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

/// Policies that measurements can replace to compare them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Policies {
    /// How the in-flight limit of a target is determined.
    pub limit: LimitPolicy,
    /// How an endpoint is selected.
    pub selection: SelectionPolicy,
}

/// A timeout after less time does not count as a failure of the target.
const MIN_SIGNIFICANT_TIMEOUT: Duration = Duration::from_millis(500);

/// State of one target.
#[derive(Debug)]
pub struct TargetState {
    /// Admission control.
    pub admission: Admission,
    /// Connection pool.
    pub pool: Pool,
    health: Mutex<TargetHealth>,
}

impl TargetState {
    /// Locks the health of the target.
    pub fn lock_health(&self) -> MutexGuard<'_, TargetHealth> {
        self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Updates the target's health from an exchange that had `time_allowed` to complete.
    pub fn record_result(&self, result: &ExchangeResult, time_allowed: Duration, now: Millis) {
        let mut health = self.lock_health();
        match result {
            ExchangeResult::NotRun(Code::ConnectFailed) => health.record_failure(now),
            ExchangeResult::NotRun(Code::NeverWritten) => {}
            ExchangeResult::MayHaveRun(Code::Timeout) if time_allowed < MIN_SIGNIFICANT_TIMEOUT => {
            }
            ExchangeResult::MayHaveRun(_) => health.record_failure(now),
            ExchangeResult::NotRun(Code::Draining) => {
                health.record_success(now);
                health.record_draining(now);
            }
            ExchangeResult::Answered(_) | ExchangeResult::NotRun(_) => health.record_success(now),
        }
    }
}

/// The sample that an exchange of duration `latency` gives the in-flight limit.
pub fn limit_sample(result: &ExchangeResult, latency: Millis) -> LimitSample {
    match result {
        ExchangeResult::Answered(_) => LimitSample::Served(latency),
        ExchangeResult::NotRun(Code::Shed) => LimitSample::Shed,
        _ => LimitSample::Other,
    }
}

/// The states of all targets that were used so far.
#[derive(Debug)]
pub struct Targets {
    states: RwLock<Map<(TargetKey, SocketAddr), Arc<TargetState>>>,
    /// Number of other daemons that are alive.
    other_daemons: AtomicUsize,
    policies: Policies,
    clock: Clock,
}

impl Targets {
    /// Creates an empty set. States are created on first use.
    pub fn new(policies: Policies, clock: Clock) -> Self {
        Self {
            states: RwLock::default(),
            other_daemons: AtomicUsize::new(0),
            policies,
            clock,
        }
    }

    /// The policies in use.
    pub fn policies(&self) -> Policies {
        self.policies
    }

    /// The state of a target whose service has `contract`, created if necessary.
    pub fn state(&self, key: TargetKey, target: &Target, contract: &Contract) -> Arc<TargetState> {
        let id = (key, target.addr);
        let states = self.states.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(state) = states.get(&id) {
            return Arc::clone(state);
        }
        drop(states);
        let cap = self.cap(contract, self.other_daemons.load(Ordering::Relaxed));
        let mut states = self.states.write().unwrap_or_else(PoisonError::into_inner);
        let state = states.entry(id).or_insert_with(|| {
            Arc::new(TargetState {
                admission: Admission::new(self.policies.limit, cap, self.clock),
                pool: Pool::new(target.addr),
                health: Mutex::new(TargetHealth::new(self.clock.now())),
            })
        });
        Arc::clone(state)
    }

    /// Removes the states of targets that no longer exist, and adapts the in-flight caps and the idle
    /// connections to the current number of daemons.
    pub fn refresh(&self, snapshot: &Snapshot) {
        let other_daemons = snapshot.members.len();
        self.other_daemons.store(other_daemons, Ordering::Relaxed);
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
                    .lock_state()
                    .limit_mut()
                    .set_cap(self.cap(contract, other_daemons));
                state.pool.close_idle(max_idle(contract, other_daemons));
            }
        }
    }

    /// The input of `select` for `target`.
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
            let admission_state = state.admission.lock_state();
            let limit = admission_state.limit();
            let in_flight = limit.in_flight();
            (
                in_flight,
                admission_state.queue_len() as u32,
                limit.limit(),
                limit.latency_ms(),
            )
        };
        let health = state.lock_health();
        Candidate {
            same_zone: target.zone == *zone,
            in_flight,
            queued,
            limit,
            latency_ms,
            load: health.load(now),
            slow_start_weight: health.slow_start_weight(now),
            failures: health.failures(),
            ejected: health.is_ejected(),
            leaving: target.leaving || health.is_leaving(now),
            tried: false,
        }
    }

    /// Largest number of requests that a daemon may have in flight at a target, so that all daemons
    /// together stay within the connections that the contract allows.
    fn cap(&self, contract: &Contract, other_daemons: usize) -> u32 {
        let connections = contract.connections / (other_daemons as u32 + 1);
        match self.policies.limit {
            LimitPolicy::UntilShed => connections.max(1),
            _ => contract.slots.min(connections).max(1),
        }
    }
}

/// Time that a connection may stay idle. If there are more daemons than connections allowed by the
/// contract, idle connections are closed earlier to make room for those of other daemons.
fn max_idle(contract: &Contract, other_daemons: usize) -> Duration {
    let share = f64::from(contract.connections) / (other_daemons + 1) as f64;
    MAX_IDLE_TIME.mul_f64(share.min(1.0))
}
