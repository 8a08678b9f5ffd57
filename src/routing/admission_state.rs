//! Admission control for one target without I/O: the in-flight limit and the queue behind it.

use super::{
    fairness::{FairQueue, PushResult},
    limit::{Limit, LimitPolicy, LimitSample},
    refusal::Code,
};
use crate::clock::Millis;
use std::sync::Arc;

/// In-flight limit and wait queue of one target.
#[derive(Clone, Debug)]
pub struct AdmissionState<T> {
    limit: Limit,
    queue: FairQueue<T>,
}

/// Decision on a new request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionDecision<T> {
    /// It may be sent now.
    Admitted(T),
    /// It waits in the queue.
    Queued,
    /// It waits in the queue in place of this request, which is refused with [`Code::QueueFull`].
    Displaced(T),
    /// It is refused with this code.
    Refused(T, Code),
}

impl<T> AdmissionState<T> {
    /// Creates an empty queue with a limit of at most `cap` requests in flight.
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

    /// The in-flight limit, for adjustment.
    pub fn limit_mut(&mut self) -> &mut Limit {
        &mut self.limit
    }

    /// The queued requests.
    pub fn queue_mut(&mut self) -> &mut FairQueue<T> {
        &mut self.queue
    }

    /// Number of queued requests.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Time that a new request of `caller` would wait at the current limit and latency, in
    /// milliseconds.
    pub fn expected_wait_ms(&self, caller: &str) -> f64 {
        let ahead = self.queue.ahead_of(caller) as f64;
        ahead * self.limit.latency_ms() / self.limit.limit()
    }

    /// Admits, queues or refuses a request of `caller` that must end within `left`.
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

    /// Takes the next queued request if it may be sent now.
    pub fn admit_next(&mut self, now: Millis) -> Option<T> {
        if self.queue.is_empty() || !self.limit.try_acquire(now) {
            return None;
        }
        self.queue.pop()
    }

    /// When to call [`AdmissionState::admit_next`] even if no request ends before; `None` if the
    /// queue is empty or one has to end first.
    pub fn next_slot_at(&self, now: Millis) -> Option<Millis> {
        if self.queue.is_empty() {
            return None;
        }
        self.limit.next_slot_at(now)
    }

    /// Records that a request is no longer in flight.
    pub fn release(&mut self, sample: LimitSample, now: Millis) {
        self.limit.release(sample, now);
    }
}
