//! Waits at the gate of a target.

use super::{
    gate::{Entry, Gate},
    limit::{Ended, LimitPolicy},
    refusal::Code,
};
use crate::clock::{Clock, Millis};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::{
    sync::oneshot,
    time::{sleep, timeout},
};

/// A waiting request; dropping it refuses the request with [`Code::QueueFull`].
type Waiter = oneshot::Sender<Permit>;

/// Admission to one target.
#[derive(Clone, Debug)]
pub struct Admission {
    gate: Arc<Mutex<Gate<Waiter>>>,
    clock: Clock,
}

/// The right to have one request in flight. Dropping it gives the place to the next one.
#[derive(Debug)]
pub struct Permit {
    admission: Admission,
    ended: Ended,
    waited: bool,
}

impl Permit {
    /// Whether the request had to wait.
    pub fn waited(&self) -> bool {
        self.waited
    }

    /// Says how the request ended; otherwise nothing is learnt from it.
    pub fn end(mut self, ended: Ended) {
        self.ended = ended;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.admission.clock.now();
        self.admission.gate().leave(self.ended, now);
        self.admission.wake();
    }
}

impl Admission {
    /// Creates a gate for at most `cap` requests in flight.
    pub fn new(policy: LimitPolicy, cap: u32, clock: Clock) -> Self {
        Self {
            gate: Arc::new(Mutex::new(Gate::new(policy, cap))),
            clock,
        }
    }

    /// Waits until a request of `caller` may be sent.
    ///
    /// # Errors
    /// [`Code::QueueFull`] or [`Code::TooLate`], at once where that can be told.
    pub async fn enter(
        &self,
        caller: &Arc<str>,
        queue_length: usize,
        deadline: Millis,
    ) -> Result<Permit, Code> {
        let (tx, rx) = oneshot::channel();
        let now = self.clock.now();
        let left = deadline.since(now);
        match self.offer(caller, tx, queue_length, left, now) {
            Entry::Go(_) => return Ok(self.permit(false)),
            Entry::Refused(_, code) => return Err(code),
            Entry::Wait => {}
            Entry::Displaced(other) => drop(other),
        }
        self.wake();
        match timeout(left.into(), rx).await {
            Ok(Ok(permit)) => Ok(permit),
            Ok(Err(_)) => Err(Code::QueueFull),
            Err(_) => Err(Code::TooLate),
        }
    }

    /// The gate, for inspection and adjustment.
    pub fn gate(&self) -> MutexGuard<'_, Gate<Waiter>> {
        self.gate.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn offer(
        &self,
        caller: &Arc<str>,
        tx: Waiter,
        queue_length: usize,
        left: Millis,
        now: Millis,
    ) -> Entry<Waiter> {
        let mut gate = self.gate();
        if gate.queue_len() >= queue_length {
            // Callers that have left take no place.
            gate.queue_mut().retain(|waiter| !waiter.is_closed());
        }
        gate.enter(caller, tx, queue_length, left, now)
    }

    fn permit(&self, waited: bool) -> Permit {
        Permit {
            admission: self.clone(),
            ended: Ended::Other,
            waited,
        }
    }

    /// Lets waiting requests go as far as the limit allows.
    fn wake(&self) {
        let now = self.clock.now();
        let mut next = Vec::new();
        let opens_at = {
            let mut gate = self.gate();
            // A caller that has left must not take a place in flight: it would be given back as a
            // pause for the others.
            gate.queue_mut().retain(|waiter| !waiter.is_closed());
            while let Some(waiter) = gate.next(now) {
                next.push(waiter);
            }
            gate.opens_at(now)
        };
        for waiter in next {
            // A permit that cannot be handed over is dropped, which wakes the next waiter.
            drop(waiter.send(self.permit(true)));
        }
        if let Some(at) = opens_at {
            self.wake_at(at);
        }
    }

    fn wake_at(&self, at: Millis) {
        let admission = self.clone();
        let wait = self.clock.until(at);
        // Permits may also be dropped while the runtime ends.
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move {
                sleep(wait).await;
                admission.wake();
            });
        }
    }
}
