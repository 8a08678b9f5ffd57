//! Concurrency limit of a daemon for one target.
//!
//! All daemons share the slots of a target without coordination. The default policy is adaptive
//! (AIMD); the others serve for comparison in measurements.

use crate::clock::Millis;

/// How the limit is determined.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitPolicy {
    /// Additive increase while requests succeed at the limit, multiplicative decrease on shed.
    #[default]
    Adaptive,
    /// Sends up to the cap and relies on load shedding by the target.
    UntilShed,
    /// A number of slots that is set from outside; it may be below one.
    Share(f64),
}

/// Result of a request, as far as the limit is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitSample {
    /// The target served it with this latency.
    Served(Millis),
    /// The target shed it because no slot was free.
    Shed,
    /// It says nothing about the target's free slots; the limit does not change.
    Other,
}

/// Multiplicative decrease: factor applied to the limit after a shed.
const DECREASE: f64 = 0.7;
/// Additive increase per served request, divided by the limit.
const INCREASE: f64 = 0.05;
/// Additive increase until the first shed; larger, so that the limit grows quickly at the start.
const INITIAL_INCREASE: f64 = 0.25;
/// Lower bound of the adaptive limit. In simulations, limits below one with pacing between
/// requests left slots idle: nine daemons at 70% load had a median latency of 414 ms, against 10 ms
/// with this bound.
const MIN_LIMIT: f64 = 1.0;
/// Lower bound of a [`LimitPolicy::Share`]. Below one, requests are paced.
const MIN_SHARE: f64 = 0.01;
/// Weight of a new sample in the EWMA of the latency.
const LATENCY_EWMA_WEIGHT: f64 = 0.2;
/// Longest pacing delay after a request, in milliseconds.
const MAX_PACING_DELAY_MS: f64 = 100.0;
/// Initial value of the latency's EWMA, in milliseconds.
const INITIAL_LATENCY_MS: f64 = 5.0;

/// The in-flight limit of one target.
#[derive(Clone, Debug)]
pub struct Limit {
    policy: LimitPolicy,
    cap: u32,
    limit: f64,
    latency_ms: f64,
    in_flight: u32,
    next_send_at: Millis,
    last_decrease: Option<Millis>,
}

impl Limit {
    /// Creates a limit that never exceeds `cap` requests.
    pub fn new(policy: LimitPolicy, cap: u32) -> Self {
        Self {
            policy,
            cap: cap.max(1),
            limit: 1.0,
            latency_ms: INITIAL_LATENCY_MS,
            in_flight: 0,
            next_send_at: Millis::ZERO,
            last_decrease: None,
        }
    }

    /// Changes the cap, for example after a change in the number of daemons.
    pub fn set_cap(&mut self, cap: u32) {
        self.cap = cap.max(1);
    }

    /// Sets the value of a [`LimitPolicy::Share`]; other policies ignore it.
    pub fn set_share(&mut self, share: f64) {
        if let LimitPolicy::Share(current) = &mut self.policy {
            *current = share;
        }
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// EWMA of the latency of served requests, in milliseconds.
    pub fn latency_ms(&self) -> f64 {
        self.latency_ms
    }

    /// The current limit; below one only for [`LimitPolicy::Share`].
    pub fn limit(&self) -> f64 {
        let limit = match self.policy {
            LimitPolicy::Adaptive => self.limit,
            LimitPolicy::UntilShed => f64::INFINITY,
            LimitPolicy::Share(share) => share.max(MIN_SHARE),
        };
        limit.min(f64::from(self.cap))
    }

    /// Raises the limit of a target that has not shed any request yet, to at least `limit`.
    pub fn raise_to(&mut self, limit: f64) {
        if self.last_decrease.is_none() {
            self.limit = self.limit.max(limit).min(f64::from(self.cap));
        }
    }

    /// When the limit was last decreased after a shed; `None` if it never was.
    pub fn last_decrease(&self) -> Option<Millis> {
        self.last_decrease
    }

    /// Starts again from one request in flight, with the large increase of a new limit.
    pub fn restart(&mut self) {
        self.limit = 1.0;
        self.last_decrease = None;
    }

    /// Whether the limit allows another request at `now`.
    pub fn has_room(&self, now: Millis) -> bool {
        self.in_flight < self.limit().max(1.0) as u32 && now >= self.next_send_at
    }

    /// Acquires a slot if the limit allows it at `now`.
    pub fn try_acquire(&mut self, now: Millis) -> bool {
        self.try_acquire_beyond(0, now)
    }

    /// Acquires a slot if the limit allows it at `now`, and `uncounted` requests in flight do not
    /// count against it.
    pub fn try_acquire_beyond(&mut self, uncounted: u32, now: Millis) -> bool {
        let free = self.has_room_beyond(uncounted, now);
        if free {
            self.in_flight += 1;
        }
        free
    }

    /// Whether [`Self::try_acquire_beyond`] would acquire a slot.
    pub fn has_room_beyond(&self, uncounted: u32, now: Millis) -> bool {
        let slots = (self.limit().max(1.0) as u32).saturating_add(uncounted);
        self.in_flight < slots && now >= self.next_send_at
    }

    /// When pacing next allows a request; `None` if a slot is free now or a request has to end
    /// first.
    pub fn next_slot_at(&self, now: Millis) -> Option<Millis> {
        let slots = self.limit().max(1.0) as u32;
        (self.in_flight < slots && self.next_send_at > now).then_some(self.next_send_at)
    }

    /// Releases a slot and updates the limit.
    pub fn release(&mut self, sample: LimitSample, now: Millis) {
        let was_full = f64::from(self.in_flight) >= self.limit().floor();
        self.in_flight = self.in_flight.saturating_sub(1);
        match sample {
            LimitSample::Served(latency) => {
                let latency_sample = latency.0.max(1) as f64;
                self.latency_ms += LATENCY_EWMA_WEIGHT * (latency_sample - self.latency_ms);
                // Success below the limit does not show that the target has more free slots.
                if was_full {
                    let before_first_shed = self.last_decrease.is_none();
                    let step = if before_first_shed {
                        INITIAL_INCREASE
                    } else {
                        INCREASE
                    };
                    let raised = self.limit + step / self.limit;
                    self.limit = raised.min(f64::from(self.cap));
                }
            }
            LimitSample::Shed => self.decrease(now),
            LimitSample::Other => {}
        }
        self.pace(now);
    }

    /// Decreases the limit at most once per mean latency: requests shed shortly after a decrease were
    /// sent under the old limit.
    fn decrease(&mut self, now: Millis) {
        let recent = self
            .last_decrease
            .is_some_and(|at| (now.since(at).0 as f64) < self.latency_ms);
        if !recent {
            self.limit = (self.limit * DECREASE).max(MIN_LIMIT);
            self.last_decrease = Some(now);
        }
    }

    /// Delays the next request when the limit is below one.
    fn pace(&mut self, now: Millis) {
        let limit = self.limit();
        if limit < 1.0 {
            let delay_ms = (self.latency_ms * (1.0 / limit - 1.0)).min(MAX_PACING_DELAY_MS);
            self.next_send_at = now + Millis(delay_ms.ceil() as u64);
        }
    }
}
