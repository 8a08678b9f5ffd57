//! Asynchronous admission of requests to one target.

use super::{
    admission_state::{AdmissionDecision, AdmissionState},
    limit::{LimitPolicy, LimitSample},
    refusal::Code,
};
use crate::clock::{Clock, Millis};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::{
    sync::oneshot,
    time::{sleep, timeout},
};

/// Wakes a queued request. Dropping it refuses the request with [`Code::QueueFull`].
type Waiter = oneshot::Sender<Permit>;

/// Admission control for one target.
#[derive(Clone, Debug)]
pub struct Admission {
    state: Arc<Mutex<AdmissionState<Waiter>>>,
    clock: Clock,
}

/// Permit for one request in flight. Dropping it releases the slot to the next queued request.
#[derive(Debug)]
pub struct Permit {
    admission: Admission,
    sample: LimitSample,
    waited: bool,
}

impl Permit {
    /// Whether the request was queued before it was admitted.
    pub fn waited(&self) -> bool {
        self.waited
    }

    /// Releases the slot with a sample for the limit. A permit that is only dropped counts as
    /// [`LimitSample::Other`].
    pub fn finish(mut self, sample: LimitSample) {
        self.sample = sample;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.admission.clock.now();
        self.admission.lock_state().release(self.sample, now);
        self.admission.admit_waiting();
    }
}

impl Admission {
    /// Creates an empty queue with a limit of at most `cap` requests in flight.
    pub fn new(policy: LimitPolicy, cap: u32, clock: Clock) -> Self {
        Self {
            state: Arc::new(Mutex::new(AdmissionState::new(policy, cap))),
            clock,
        }
    }

    /// Waits until a request of `caller` may be sent.
    ///
    /// # Errors
    /// [`Code::QueueFull`] or [`Code::TooLate`], without waiting where that is already certain.
    pub async fn acquire(
        &self,
        caller: &Arc<str>,
        queue_length: usize,
        deadline: Millis,
    ) -> Result<Permit, Code> {
        let (tx, rx) = oneshot::channel();
        let now = self.clock.now();
        let left = deadline.since(now);
        match self.try_admit(caller, tx, queue_length, left, now) {
            AdmissionDecision::Admitted(_) => return Ok(self.permit(false)),
            AdmissionDecision::Refused(_, code) => return Err(code),
            AdmissionDecision::Queued => {}
            AdmissionDecision::Displaced(other) => drop(other),
        }
        self.admit_waiting();
        match timeout(left.into(), rx).await {
            Ok(Ok(permit)) => Ok(permit),
            Ok(Err(_)) => Err(Code::QueueFull),
            Err(_) => Err(Code::TooLate),
        }
    }

    /// Locks the limit and the queue, to read or adjust them.
    pub fn lock_state(&self) -> MutexGuard<'_, AdmissionState<Waiter>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn try_admit(
        &self,
        caller: &Arc<str>,
        tx: Waiter,
        queue_length: usize,
        left: Millis,
        now: Millis,
    ) -> AdmissionDecision<Waiter> {
        let mut state = self.lock_state();
        if state.queue_len() >= queue_length {
            // Requests whose callers have disconnected free their places in the queue.
            state.queue_mut().retain(|waiter| !waiter.is_closed());
        }
        state.admit(caller, tx, queue_length, left, now)
    }

    fn permit(&self, waited: bool) -> Permit {
        Permit {
            admission: self.clone(),
            sample: LimitSample::Other,
            waited,
        }
    }

    /// Admits queued requests as far as the limit allows.
    fn admit_waiting(&self) {
        let now = self.clock.now();
        let mut next = Vec::new();
        let next_slot_at = {
            let mut state = self.lock_state();
            // A disconnected caller must not take a slot: with a limit below one, even the release of
            // an unused slot delays the next request by the pacing delay.
            state.queue_mut().retain(|waiter| !waiter.is_closed());
            while let Some(waiter) = state.admit_next(now) {
                next.push(waiter);
            }
            state.next_slot_at(now)
        };
        for waiter in next {
            // A permit that its waiter no longer receives is dropped, which admits the next waiter.
            drop(waiter.send(self.permit(true)));
        }
        if let Some(at) = next_slot_at {
            self.admit_waiting_at(at);
        }
    }

    fn admit_waiting_at(&self, at: Millis) {
        let admission = self.clone();
        let wait = self.clock.until(at);
        // Permits may be dropped while the runtime shuts down.
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move {
                sleep(wait).await;
                admission.admit_waiting();
            });
        }
    }
}
