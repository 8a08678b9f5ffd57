//! State of one endpoint as a daemon observes it through its own requests: adaptive concurrency
//! limit, latency, outlier ejection and pacing.

mod denied;
mod observed;
mod shedding;
mod state;
mod timing;

use super::{
    claim::{Claim, Counting, Obstacle},
    connection::{ConnectionCounts, Pool},
    cost::{CostEstimates, RequestClass},
    idle::IdleLimit,
    leaving::{life::Life, run::LeavingRun},
    load_header::Slowdown,
    model::{EndpointEntry, Key},
    pause::Pause,
    rate_limit::{ColdLimit, RateLimit},
    relative_latency::RelativeLatencyReport,
    wait_queue::WaitQueue,
};
use crate::{clock::Millis, routing::limit::LimitSample};
pub use observed::Observed;
pub use shedding::{Shedding, SheddingChange};
use state::State;
use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicU64, Ordering},
};

/// Age from which a load report is ignored.
const MAX_REPORT_AGE: Millis = Millis(600);
/// Requests that may be queued at an endpoint, as a multiple of its slots, before daemons slow
/// down.
const MAX_WAITING_PER_SLOT: u32 = 1;
/// Most requests of one daemon in flight at an endpoint, as a multiple of its slots.
const MAX_IN_FLIGHT_PER_SLOT: u32 = 2;

/// Failure rate from which an endpoint counts as failing.
const FAILING_RATE: f64 = 0.3;

/// Load that an endpoint reports in its responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Running requests.
    pub running: u32,
    /// Requests queued for a slot.
    pub waiting: u32,
    /// Requests that can run concurrently.
    pub slots: u32,
}

impl Load {
    fn has_free_slot(self) -> bool {
        self.running < self.slots
    }

    fn waiting_per_slot(self) -> f64 {
        f64::from(self.waiting) / f64::from(self.slots.max(1))
    }

    fn has_long_queue(self) -> bool {
        self.waiting > self.slots.saturating_mul(MAX_WAITING_PER_SLOT)
    }
}

/// What an exchange shows about the health and load of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeOutcome {
    /// A usable response arrived after this time.
    Answered(Millis),
    /// The endpoint responded with a server error.
    Failed,
    /// The endpoint shed the request.
    Shed,
    /// The connection was refused or lost, or the response was unusable.
    Lost,
    /// Another endpoint responded at its address.
    Replaced,
    /// Says nothing about the endpoint, such as a cancelled request.
    Neutral,
}

/// State that the endpoints of a service share, and that outlives a registry entry.
#[derive(Clone, Debug, Default)]
pub struct Shared {
    /// Queued requests. Each endpoint of a keyed service has a queue of its own.
    pub queue: Arc<WaitQueue>,
    /// What requests of the service are likely to cost.
    pub costs: Arc<CostEstimates>,
    /// What its endpoints have shown about the requests that they shed.
    pub shedding: Arc<Shedding>,
    /// Limit on the idle time of pooled connections.
    pub idle: Arc<IdleLimit>,
    /// Pause that the endpoint requested. Each life has a pause of its own.
    pub pause: Arc<Pause>,
    /// Limit that the endpoint named. Each life has one of its own.
    pub rate_limit: Arc<RateLimit>,
    /// Connections that one endpoint accepts from all daemons together.
    pub max_connections: u32,
    /// Counts of its connections.
    pub connections: Arc<ConnectionCounts>,
    /// Notices that this life of the endpoint leaves.
    pub leaving: Arc<Life>,
    /// Responses from its name and address, also those of former lives.
    pub leaving_run: Arc<LeavingRun>,
}

/// An endpoint with its connection pool and the state that its responses have shown.
#[derive(Debug)]
pub struct Backend {
    /// Registry entry at the time of creation. Later changes of its state are not reflected here.
    pub entry: EndpointEntry,
    /// Pool of idle connections.
    pub pool: Pool,
    /// Requests queued for the endpoint.
    pub queue: Arc<WaitQueue>,
    /// Pause that the endpoint requested.
    pub pause: Arc<Pause>,
    /// Limit that the endpoint named.
    pub rate_limit: Arc<RateLimit>,
    /// When the daemon first saw the endpoint.
    pub first_seen: Millis,
    /// Notices that this life of the endpoint leaves.
    pub leaving: Arc<Life>,
    leaving_run: Arc<LeavingRun>,
    shedding: Arc<Shedding>,
    /// Time from which no requests are sent, in milliseconds; `u64::MAX` unless the endpoint
    /// leaves.
    closes_at: AtomicU64,
    state: Mutex<State>,
}

impl Backend {
    /// Creates the state of an endpoint that was first seen at `now`.
    pub fn new(entry: EndpointEntry, shared: Shared, now: Millis) -> Self {
        let max_in_flight = entry.slots * MAX_IN_FLIGHT_PER_SLOT;
        Self {
            pool: Pool::new(entry.addr, shared.max_connections, shared.idle)
                .with_counts(shared.connections),
            entry,
            queue: shared.queue,
            pause: shared.pause,
            rate_limit: shared.rate_limit,
            first_seen: now,
            leaving: shared.leaving,
            leaving_run: shared.leaving_run,
            shedding: shared.shedding,
            closes_at: AtomicU64::new(u64::MAX),
            state: Mutex::new(State::new(max_in_flight, shared.costs)),
        }
    }

    /// Limits the requests while the endpoint is cold, until `until`, if there is a limit. Requests for
    /// keys cannot choose another endpoint and need permits.
    pub fn set_cold(&self, limit: Option<ColdLimit>, keyed: bool, until: Millis, now: Millis) {
        let Some(limit) = limit else {
            return;
        };
        if self.rate_limit.set_cold(limit, keyed, until, now) {
            log::info!(target: "health", endpoint:% = self.entry.instance.name,
                service:% = self.entry.service, started = self.entry.instance.started_at_ms,
                left:% = until.since(now), most = limit.most_per_second();
                "Endpoint is cold; its requests are limited.");
        }
    }

    /// Stops sending requests from `at` on.
    pub fn close_at(&self, at: Millis) {
        self.closes_at.store(at.0, Ordering::Relaxed);
    }

    /// Cancels [`Self::close_at`], because the endpoint does not leave after all.
    pub fn reopen(&self) {
        self.closes_at.store(u64::MAX, Ordering::Relaxed);
    }

    /// When it stops being sent requests; the end of time unless it leaves.
    pub fn closes_at(&self) -> Millis {
        Millis(self.closes_at.load(Ordering::Relaxed))
    }

    /// Whether requests may be sent to it at `now`.
    pub fn is_open(&self, now: Millis) -> bool {
        now.0 < self.closes_at.load(Ordering::Relaxed) && self.leaving.is_open(now)
    }

    /// Records whether a response at `now` to a request sent at `sent_at` says that the endpoint
    /// leaves.
    pub fn record_leaving(&self, says_leaving: bool, sent_at: Millis, now: Millis) {
        if says_leaving {
            let since = self.leaving_run.record_leaving(now);
            self.leaving.record_response_of_run(since, now);
        } else {
            self.leaving_run.record_staying(sent_at);
        }
    }

    /// Since when all responses have said that the endpoint leaves.
    pub fn leaving_since(&self) -> Option<Millis> {
        self.leaving_run.since()
    }

    /// Records that a response received at `now` asked for a pause of `announced`. True if a pause
    /// begins. Afterwards requests return one by one: the daemons, which may have been told the
    /// same end, start at random times, and each with one request in flight.
    pub fn begin_pause(&self, announced: Millis, daemons: usize, now: Millis) -> bool {
        let begins = self.pause.begin(announced, now);
        if let Some(end) = self.pause.end(now) {
            let mut state = self.state();
            let daemons_per_slot = daemons as f64 / f64::from(self.entry.slots.max(1));
            state.restart_at(end, daemons_per_slot);
        }
        begins
    }

    /// Acquires a slot for one request; false if the concurrency limit, the queue, the pacing, a
    /// requested pause or a named limit of the endpoint does not allow it at `now`.
    pub fn try_acquire(&self, now: Millis) -> bool {
        self.acquire(Claim::Take, Counting::All, now).is_ok()
    }

    /// Acquires a slot like [`Self::try_acquire`], but without counting requests in flight against the
    /// concurrency limit that take much longer than those from which it was learned.
    pub fn try_acquire_uncounted(&self, now: Millis) -> bool {
        self.acquire(Claim::Take, Counting::WithoutLong, now)
            .is_ok()
    }

    /// Acquires a slot for one request at `now`, or finds out whether it would.
    ///
    /// # Errors
    /// What does not allow it.
    pub fn acquire(&self, claim: Claim, counting: Counting, now: Millis) -> Result<(), Obstacle> {
        let is_paused = self.pause.end(now).is_some();
        let mut state = self.state();
        // Probes are not paced: there are few, and pacing starts at the end of the pause.
        if is_paused && self.pause.blocked_until(now).is_some() {
            return Err(Obstacle::Paused);
        }
        if !is_paused && state.has_long_queue(now) {
            return Err(Obstacle::LongQueue);
        }
        if !is_paused && now < state.next_slot_at {
            return Err(Obstacle::Paced);
        }
        let uncounted = match counting {
            Counting::WithoutLong if !is_paused => state.uncounted(self.entry.slots, now),
            _ => 0,
        };
        let may_send = match claim {
            Claim::Take => self.rate_limit.may_send(now),
            Claim::Peek => self.rate_limit.would_send(now),
        };
        if !may_send {
            return Err(Obstacle::RateLimited);
        }
        if !state.limit.has_room_beyond(uncounted, now) {
            return Err(Obstacle::Full);
        }
        if claim == Claim::Take {
            state.limit.try_acquire_beyond(uncounted, now);
            self.rate_limit.take_permit(now);
            if !is_paused {
                state.schedule_next(now);
            }
            state.sent_since_last_report += 1;
        }
        Ok(())
    }

    /// Releases a slot and records the outcome of its request.
    ///
    /// `daemons` is the number of daemons that share the endpoint, `class` the request's class.
    pub fn release(
        &self,
        outcome: ExchangeOutcome,
        load: Option<Load>,
        class: &RequestClass,
        daemons: usize,
        now: Millis,
    ) {
        {
            let mut state = self.state();
            let is_full = load.is_some_and(Load::has_long_queue);
            if let Some(change) = self.shedding.record(outcome, load) {
                self.log_shedding(change, load);
            }
            let has_room = load.is_some_and(|load| self.shedding.has_room(load));
            let daemons_per_slot = daemons as f64 / f64::from(self.entry.slots.max(1));
            let share = state.costs.estimate(class, now).share;
            state.record_outcome(outcome, load, class, now);
            state.set_daemons(daemons, self.entry.slots, outcome);
            let is_paused = self.pause.end(now).is_some();
            if !is_paused {
                state.adapt_interval(outcome, load, has_room, daemons_per_slot, now);
            }
            if let Some(load) = load {
                state.last_report = Some((load, now));
                state.sent_since_last_report = 0;
            }
            let sample = match outcome {
                _ if is_paused => LimitSample::Other,
                _ if is_full => LimitSample::Shed,
                ExchangeOutcome::Answered(latency) => {
                    LimitSample::Served(normalized(latency, share))
                }
                ExchangeOutcome::Shed | ExchangeOutcome::Lost if !has_room => LimitSample::Shed,
                _ => LimitSample::Other,
            };
            state.limit.release(sample, now);
            if let (ExchangeOutcome::Answered(latency), Some(load)) = (outcome, load)
                && load.waiting == 0
            {
                state.unqueued_count += 1;
                state.unqueued_total_ms += latency.0;
            }
        }
        self.queue.wake_one();
    }

    /// Whether a request that the endpoint has just shed is likely to be served if it is sent again at
    /// once: the endpoint has room, nothing is paced or queued, and it does not shed nearly all requests.
    pub fn serves_on_return(&self, now: Millis) -> bool {
        let state = self.state();
        let has_room = |load| self.shedding.has_room(load);
        state.fresh_report(now).is_some_and(has_room)
            && now >= state.next_slot_at
            && self.queue.is_empty()
            && self.shedding.is_worth_returning()
    }

    /// Records how long work takes on the endpoint's machine at `now`.
    pub fn record_slowdown(&self, slowdown: Slowdown, now: Millis) {
        self.state().slowdown = (slowdown, now);
    }

    /// Records that a request had no response after `elapsed`. The endpoint is at least that slow.
    pub fn record_overdue(&self, class: &RequestClass, elapsed: Millis) {
        self.state().record_overdue(class, elapsed);
    }

    /// Whether the endpoint is ejected at `now` because it keeps failing.
    pub fn is_ejected(&self, now: Millis) -> bool {
        self.state().ejected_until.is_some_and(|until| now < until)
    }

    /// Whether another endpoint recently responded at the address. The entry is about to be
    /// removed, and requests would count against the retry budget of the other endpoint's service.
    pub fn is_replaced(&self, now: Millis) -> bool {
        self.state().replaced_until.is_some_and(|until| now < until)
    }

    /// Whether the endpoint can be sent a request at once and is not known to fail, to have a long queue
    /// or to take `slow` times as long as the others.
    pub fn is_responsive(&self, slow: f64, now: Millis) -> bool {
        let state = self.state();
        state.has_room(now) && state.relative_latency < slow && state.failure_rate < FAILING_RATE
    }

    /// Requests of this daemon in flight.
    pub fn in_flight(&self) -> u32 {
        self.state().limit.in_flight()
    }

    /// Records that the endpoint denied owning `key`, which was assigned to it under `token`.
    pub fn record_not_owner(&self, key: Key, token: u64, now: Millis) {
        self.state().denied.record(key, token, now);
    }

    /// Until when requests for `key`, which was assigned to it under `token`, are held back; `None`
    /// if they are not.
    pub fn held_back_until(&self, key: Key, token: u64, now: Millis) -> Option<Millis> {
        self.state().denied.held_back_until(key, token, now)
    }

    /// Number of requests that did not wait for a slot since the last call, and their total time in
    /// milliseconds.
    pub fn take_processing_times(&self) -> (u32, u64) {
        let mut state = self.state();
        let processing = (state.unqueued_count, state.unqueued_total_ms);
        state.unqueued_count = 0;
        state.unqueued_total_ms = 0;
        processing
    }

    /// Relative latencies since the last call; `None` if there are none.
    pub fn take_relative_latency(&self) -> Option<RelativeLatencyReport> {
        let (count, sum) = std::mem::take(&mut self.state().latency_samples);
        (count > 0).then(|| RelativeLatencyReport {
            endpoint: Arc::clone(&self.entry.instance.name),
            count,
            sum: sum as f32,
        })
    }

    /// Sets the relative latency to the one that the controller computed from all daemons' reports.
    pub fn set_relative_latency(&self, latency: f32) {
        self.state().relative_latency = f64::from(latency);
    }

    fn log_shedding(&self, change: SheddingChange, load: Option<Load>) {
        let message = match change {
            SheddingChange::Began => "Endpoints shed requests in spite of room.",
            SheddingChange::Ended => "Endpoints no longer shed requests in spite of room.",
        };
        log::info!(target: "health", service:% = self.entry.service, change:? = change,
            rate = self.shedding.rate(), endpoint:% = self.entry.instance.name, load:? = load;
            "{message}");
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Latency of a request of mean work, given that of one with `share` times the mean work; 0 for an
/// unknown share.
fn normalized(latency: Millis, share: f64) -> Millis {
    if share > 0.0 {
        Millis((latency.0 as f64 / share) as u64)
    } else {
        latency
    }
}
