//! Admission to one target: the in-flight limit and the queue behind it.

use super::{
    fairness::{FairQueue, PushResult},
    limit::{Limit, LimitPolicy, LimitSample},
    refusal::Code,
};
use crate::clock::Millis;
use std::sync::Arc;

/// Decides which requests are in flight at one target.
#[derive(Clone, Debug)]
pub struct AdmissionState<T> {
    limit: Limit,
    queue: FairQueue<T>,
}

/// What becomes of a request at the gate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionDecision<T> {
    /// It may be sent now.
    Admitted(T),
    /// It waits.
    Queued,
    /// It waits, and another one is refused with [`Code::QueueFull`] in its place.
    Displaced(T),
    /// It is refused.
    Refused(T, Code),
}

impl<T> AdmissionState<T> {
    /// Creates a gate for at most `cap` requests in flight.
    pub fn new(policy: LimitPolicy, cap: u32) -> Self {
        Self {
            limit: Limit::new(policy, cap),
            queue: FairQueue::default(),
        }
    }

    /// The in-flight limit.
    pub fn limit(&self) -> &Limit {
        &self.limit
    }

    /// The in-flight limit, to adjust it.
    pub fn limit_mut(&mut self) -> &mut Limit {
        &mut self.limit
    }

    /// The requests that wait.
    pub fn queue_mut(&mut self) -> &mut FairQueue<T> {
        &mut self.queue
    }

    /// Requests that wait.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Time that a new request of `caller` would wait at the present rate, in milliseconds.
    pub fn expected_wait_ms(&self, caller: &str) -> f64 {
        let ahead = self.queue.ahead_of(caller) as f64;
        ahead * self.limit.latency_ms() / self.limit.limit()
    }

    /// Decides on a request of `caller` that has `left` to finish.
    pub fn admit(
        &mut self,
        caller: &Arc<str>,
        item: T,
        queue_length: usize,
        left: Millis,
        now: Millis,
    ) -> AdmissionDecision<T> {
        if self.queue.is_empty() && self.limit.try_acquire(now) {
            return AdmissionDecision::Admitted(item);
        }
        if self.expected_wait_ms(caller) >= left.0 as f64 {
            return AdmissionDecision::Refused(item, Code::TooLate);
        }
        match self.queue.push(caller, item, queue_length) {
            PushResult::Queued => AdmissionDecision::Queued,
            PushResult::Displaced(other) => AdmissionDecision::Displaced(other),
            PushResult::Full(item) => AdmissionDecision::Refused(item, Code::QueueFull),
        }
    }

    /// Takes the next waiting request that may be sent now.
    pub fn admit_next(&mut self, now: Millis) -> Option<T> {
        if self.queue.is_empty() || !self.limit.try_acquire(now) {
            return None;
        }
        self.queue.pop()
    }

    /// When to call [`AdmissionState::admit_next`] again although no request ends before.
    pub fn next_slot_at(&self, now: Millis) -> Option<Millis> {
        if self.queue.is_empty() {
            return None;
        }
        self.limit.next_slot_at(now)
    }

    /// Takes note that a request is no longer in flight.
    pub fn release(&mut self, sample: LimitSample, now: Millis) {
        self.limit.release(sample, now);
    }
}
