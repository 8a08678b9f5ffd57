//! Pauses that endpoints request with a 503 and `Retry-After`: until when a life of an endpoint
//! gets no requests of this daemon, and what becomes of the requests that only it can serve.

mod reports;
mod retry_after;

pub use reports::{PauseReport, ReportedPauses};
pub use retry_after::requested_pause;

use super::model::EndpointInstance;
use crate::{clock::Millis, world::ServiceName};
use arc_swap::ArcSwapOption;
use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

/// Time for which a pause is kept without exception. Afterwards a few requests check whether the
/// endpoint serves again; the rest stay away until the announced end.
pub const BELIEVED_FOR: Millis = Millis(60_000);
/// Requests that may reach an endpoint during one pause. Endpoints accept at most two from a
/// machine before the announced end.
pub const MAX_PROBES: u32 = 2;
/// Shortest time between two such requests.
const PROBE_INTERVAL: Millis = Millis(60_000);
/// Added to the end of a pause, because both clocks are read with a resolution of 1 ms.
const END_MARGIN: Millis = Millis(20);
/// A pause is lengthened by its duration divided by this, because clocks of machines run at
/// different rates; quartz clocks differ by less than 0.02%.
const DRIFT_DIVISOR: u64 = 1_000;
/// Part of the time that a caller has left up to which it honours `Retry-After`.
const HONOURED_DIVISOR: u64 = 3;
/// Time for which the pause of a life without an entry is kept: an entry that lapsed may be
/// registered again by the same life.
const KEPT_WITHOUT_ENTRY: Millis = Millis(600_000);
/// Shortest time between two passes over all lives. The control thread may call for one with each of
/// its inputs.
const STEP_INTERVAL: Millis = Millis(100);

/// Pause of one life of an endpoint.
#[derive(Debug, Default)]
pub struct Pause {
    /// Pauses that endpoints of the service have begun.
    count: Arc<AtomicU64>,
    state: Mutex<State>,
    /// The current period, for readers that must not wait for a lock.
    shown: ArcSwapOption<RequestedPause>,
}

/// When a pause began and when it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestedPause {
    /// When the first response that asked for it arrived.
    pub started: Millis,
    /// When the daemon sends requests again.
    pub until: Millis,
}

#[derive(Debug, Default)]
struct State {
    current: Option<Period>,
    /// Periods whose end has not been logged yet.
    ended: Vec<Period>,
}

#[derive(Clone, Copy, Debug)]
struct Period {
    started: Millis,
    until: Millis,
    probes: u32,
    next_probe_at: Millis,
}

impl Period {
    fn is_over(&self, now: Millis) -> bool {
        now >= self.until
    }

    fn allows_probe(&self, now: Millis) -> bool {
        self.probes < MAX_PROBES && now >= self.next_probe_at
    }
}

impl Pause {
    /// Creates the state of a life that has not asked for a pause. `count` counts the pauses of its
    /// service.
    pub fn new(count: Arc<AtomicU64>) -> Self {
        Self {
            count,
            ..Self::default()
        }
    }

    /// Records that a response received at `now` asked for a pause of `announced`. True if a pause
    /// begins, and false if one is in progress, which is never shortened, or if `announced` is 0.
    pub fn begin(&self, announced: Millis, now: Millis) -> bool {
        if announced == Millis::ZERO {
            return false;
        }
        let until = now + announced + END_MARGIN + Millis(announced.0 / DRIFT_DIVISOR);
        let mut state = self.state();
        state.retire(now);
        if let Some(period) = &mut state.current {
            period.until = period.until.max(until);
            self.show(&state);
            return false;
        }
        state.current = Some(Period {
            started: now,
            until,
            probes: 0,
            next_probe_at: now + BELIEVED_FOR,
        });
        self.show(&state);
        self.count.fetch_add(1, Ordering::Relaxed);
        true
    }

    /// Records that a life requested this pause before it was registered.
    pub fn inherit(&self, pause: RequestedPause) {
        let mut state = self.state();
        state.current = Some(Period {
            started: pause.started,
            until: pause.until,
            probes: 0,
            next_probe_at: pause.started + BELIEVED_FOR,
        });
        self.show(&state);
    }

    /// The pause in progress at `now`; `None` if there is none. This takes no lock.
    pub fn in_progress(&self, now: Millis) -> Option<RequestedPause> {
        let shown = **self.shown.load().as_ref()?;
        (now < shown.until).then_some(shown)
    }

    /// End of the pause in progress at `now`; `None` if there is none.
    pub fn end(&self, now: Millis) -> Option<Millis> {
        self.in_progress(now).map(|pause| pause.until)
    }

    /// End of the pause, unless a request may be sent at `now`: because there is no pause, or as a
    /// probe.
    pub fn blocked_until(&self, now: Millis) -> Option<Millis> {
        let current = self.state().current?;
        (!current.is_over(now) && !current.allows_probe(now)).then_some(current.until)
    }

    /// Whether a request may be sent at `now`. During a pause only a probe may; `is_probe` is then
    /// set, and the request may be sent once more on another connection.
    pub fn admit(&self, is_probe: &mut bool, now: Millis) -> bool {
        let mut state = self.state();
        let Some(period) = state.current.as_mut().filter(|p| !p.is_over(now)) else {
            return true;
        };
        if !*is_probe && period.allows_probe(now) {
            period.probes += 1;
            period.next_probe_at = now + PROBE_INTERVAL;
            *is_probe = true;
        }
        *is_probe
    }

    /// Returns the periods that have ended since the last call.
    fn take_ended(&self, now: Millis) -> Vec<Period> {
        let mut state = self.state();
        state.retire(now);
        std::mem::take(&mut state.ended)
    }

    /// Ends the pause in progress and returns it.
    fn cancel(&self) -> Option<Period> {
        let mut state = self.state();
        let cancelled = state.current.take();
        self.show(&state);
        cancelled
    }

    /// Publishes the current period. One that is over may stay published; readers compare the time.
    fn show(&self, state: &State) {
        let shown = state.current.map(|period| {
            Arc::new(RequestedPause {
                started: period.started,
                until: period.until,
            })
        });
        self.shown.store(shown);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn retire(&mut self, now: Millis) {
        if let Some(period) = self.current.take_if(|period| period.is_over(now)) {
            self.ended.push(period);
        }
    }
}

/// What becomes of a request that only endpoints in a pause can serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// It waits until the pause ends.
    Wait,
    /// It is rejected at once; the caller is told when the pause ends.
    Reject,
}

/// Times of a request that only an endpoint in a pause can serve.
#[derive(Clone, Copy, Debug)]
pub struct PausedRequest {
    /// Until when it may be queued.
    pub queue_deadline: Millis,
    /// Deadline of the caller.
    pub deadline: Millis,
    /// Earliest time at which it can be sent after the requests ahead of it.
    pub served_at: Millis,
    /// Whether it has been waiting already.
    pub is_waiting: bool,
}

impl PausedRequest {
    /// Decides whether the request waits for `end`. Waiting saves the caller a round trip, and the
    /// key may move meanwhile. If it would exceed the queue time, the caller is told to return
    /// instead, provided that it honours the whole `Retry-After`: it would return too early
    /// otherwise.
    pub fn choose(&self, end: Millis, now: Millis) -> Choice {
        let is_honoured = end.since(now).0 <= self.deadline.since(now).0 / HONOURED_DIVISOR;
        if end.max(self.served_at) >= self.deadline {
            Choice::Reject
        } else if self.is_waiting || end <= self.queue_deadline || !is_honoured {
            Choice::Wait
        } else {
            Choice::Reject
        }
    }
}

/// Pauses of all lives that are registered or were until recently.
#[derive(Debug, Default)]
pub struct Pauses {
    /// Ordered, so that the lives under one name are found without a pass over all.
    by_life: BTreeMap<EndpointInstance, KnownLife>,
    next_step_at: Millis,
}

#[derive(Debug)]
struct KnownLife {
    service: ServiceName,
    pause: Arc<Pause>,
    /// Since when no endpoint state has used the pause.
    unused_since: Option<Millis>,
}

impl Pauses {
    /// The pause of a life; one that is in progress outlasts the loss of the registry entry.
    pub fn of(
        &mut self,
        life: &EndpointInstance,
        service: &ServiceName,
        count: &Arc<AtomicU64>,
    ) -> Arc<Pause> {
        let known = self
            .by_life
            .entry(life.clone())
            .or_insert_with(|| KnownLife {
                service: service.clone(),
                pause: Arc::new(Pause::new(Arc::clone(count))),
                unused_since: None,
            });
        Arc::clone(&known.pause)
    }

    /// Ends the pauses of all earlier lives under the name of `life`.
    pub fn end_earlier_lives(&mut self, life: &EndpointInstance, now: Millis) {
        let first = EndpointInstance {
            name: Arc::clone(&life.name),
            started_at_ms: 0,
        };
        let earlier = self.by_life.range(first..life.clone());
        let earlier: Vec<EndpointInstance> = earlier.map(|(life, _)| life.clone()).collect();
        for life in earlier {
            let known = self.by_life.remove(&life);
            if let Some(known) = known
                && let Some(period) = known.pause.cancel()
            {
                log_end(&life, &known.service, &period, "end-of-life", now);
            }
        }
    }

    /// Logs the pauses that have ended, and forgets lives that have been unregistered for long.
    pub fn step(&mut self, now: Millis) {
        if now < self.next_step_at {
            return;
        }
        self.next_step_at = now + STEP_INTERVAL;
        self.by_life.retain(|life, known| {
            for period in known.pause.take_ended(now) {
                log_end(life, &known.service, &period, "announced-end", now);
            }
            if Arc::strong_count(&known.pause) > 1 {
                known.unused_since = None;
                return true;
            }
            let since = *known.unused_since.get_or_insert(now);
            if now.since(since) < KEPT_WITHOUT_ENTRY {
                return known.pause.end(now).is_some();
            }
            if let Some(period) = known.pause.cancel() {
                log_end(life, &known.service, &period, "missing-entry", now);
            }
            false
        });
    }

    /// The pauses in progress, for the controller.
    pub fn reports(&self, now: Millis) -> Vec<PauseReport> {
        let paused = self.by_life.iter().filter_map(|(life, known)| {
            let end = known.pause.end(now)?;
            Some(PauseReport {
                endpoint: life.clone(),
                left: end.since(now),
            })
        });
        paused.collect()
    }
}

fn log_end(
    life: &EndpointInstance,
    service: &ServiceName,
    period: &Period,
    source: &str,
    now: Millis,
) {
    log::info!(target: "health", endpoint:% = life.name, service:% = service, source,
        age:% = now.since(period.started), probes = period.probes;
        "Requested pause of an endpoint ended.");
}
