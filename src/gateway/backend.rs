//! What a daemon knows of one endpoint from its own requests.

use super::{
    connection::Pool,
    gate::WaitQueue,
    idle::IdleLimit,
    model::{EndpointEntry, KeyRange},
    relative_latency::{RelativeLatencyReport, RouteLatencies},
};
use crate::{
    clock::Millis,
    collections::Map,
    routing::limit::{Ended, Limit, LimitPolicy},
};
use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicU64, Ordering},
};

/// Failures in a row after which an endpoint is set aside.
const ASIDE_AFTER: u32 = 3;
/// Time for which an endpoint is set aside at first; it doubles while the endpoint keeps failing.
const FIRST_ASIDE: Millis = Millis(500);
/// Longest time for which an endpoint is set aside.
const MAX_ASIDE: Millis = Millis(8_000);
/// Weight of the newest outcome in the share of failures.
const FAILURE_WEIGHT: f64 = 0.1;
/// Weight of the newest comparison in the pace.
const PACE_WEIGHT: f64 = 0.15;
/// Age at which a load report no longer tells anything.
const REPORT_AGE: Millis = Millis(600);
/// Requests that may wait at an endpoint, as a multiple of its slots, before senders slow down.
const WAITING_PER_SLOT: u32 = 1;
/// Requests of one daemon at an endpoint at most, as a multiple of its slots.
const CAP_PER_SLOT: u32 = 2;
/// Longest time between two requests to an endpoint that keeps refusing, in milliseconds.
const MAX_SPACING_MS: f64 = 4_000.0;
/// Time for which an endpoint is left alone whose address another one has.
const REPLACED_PAUSE: Millis = Millis(4_000);
/// Share of the spacing that is kept after an answer of an endpoint with a short queue.
const SPACING_KEPT: f64 = 0.7;
/// The same for an endpoint with a free slot.
const SPACING_KEPT_IDLE: f64 = 0.3;
/// Factor on the spacing after an answer of an endpoint with a long queue.
const SPACING_GROWTH: f64 = 1.4;
/// First spacing, as a share of the one at which all daemons together keep the endpoint busy.
const FIRST_SPACING_SHARE: f64 = 0.25;
/// Time for which requests for keys that the endpoint says it does not own are held back.
const NOT_OWNER_PAUSE: Millis = Millis(150);

/// Load that an endpoint reports with its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

impl Load {
    fn has_free_slot(self) -> bool {
        self.running < self.slots
    }

    fn has_long_queue(self) -> bool {
        self.waiting > self.slots * WAITING_PER_SLOT
    }
}

/// How a request ended at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It was answered after this time.
    Answered(Millis),
    /// The endpoint answered with a failure of its own.
    Failed,
    /// The endpoint had no room.
    Shed,
    /// The connection was refused or lost, or the answer was not usable.
    Lost,
    /// Another endpoint has its address.
    Replaced,
    /// Nothing can be learnt from it.
    Neutral,
}

#[derive(Debug)]
struct State {
    limit: Limit,
    /// Time of the endpoint's answers, as a multiple of the usual one.
    pace: f64,
    /// Comparisons since the last report.
    compared: (u32, f64),
    usual: Arc<RouteLatencies>,
    failures: f64,
    in_a_row: u32,
    aside_until: Option<Millis>,
    times_aside: u32,
    report: Option<(Load, Millis)>,
    sent_since_report: u32,
    /// Time between two requests, in milliseconds, while the endpoint keeps refusing.
    spacing_ms: f64,
    opens_at: Millis,
    replaced_until: Option<Millis>,
    not_owner: Map<(KeyRange, u64), Millis>,
    work_count: u32,
    work_total_ms: u64,
}

/// What the endpoints of a service share.
#[derive(Clone, Debug, Default)]
pub struct Shared {
    /// Requests that wait; each endpoint of a keyed service has its own queue.
    pub queue: Arc<WaitQueue>,
    /// Usual times of answers.
    pub usual: Arc<RouteLatencies>,
    /// How long connections may be idle.
    pub idle: Arc<IdleLimit>,
    /// Connections that one endpoint accepts from all daemons.
    pub max_connections: u32,
}

/// An endpoint, its connections and what was observed of it.
#[derive(Debug)]
pub struct Backend {
    /// The entry under which it is used; changes of state make no new backend.
    pub entry: EndpointEntry,
    /// Its connections.
    pub pool: Pool,
    /// Requests that wait for it.
    pub queue: Arc<WaitQueue>,
    /// When it was first seen.
    pub first_seen: Millis,
    /// From when nothing is sent to it because it leaves, in milliseconds.
    closes_at: AtomicU64,
    state: Mutex<State>,
}

impl Backend {
    /// An endpoint that is first seen at `now`.
    pub fn new(entry: EndpointEntry, shared: Shared, now: Millis) -> Self {
        let cap = entry.slots * CAP_PER_SLOT;
        Self {
            pool: Pool::new(entry.addr, shared.max_connections, shared.idle),
            entry,
            queue: shared.queue,
            first_seen: now,
            closes_at: AtomicU64::new(u64::MAX),
            state: Mutex::new(State {
                limit: Limit::new(LimitPolicy::Adaptive, cap),
                pace: 1.0,
                compared: (0, 0.0),
                usual: shared.usual,
                failures: 0.0,
                in_a_row: 0,
                aside_until: None,
                times_aside: 0,
                report: None,
                sent_since_report: 0,
                spacing_ms: 0.0,
                opens_at: Millis::ZERO,
                replaced_until: None,
                not_owner: Map::default(),
                work_count: 0,
                work_total_ms: 0,
            }),
        }
    }

    /// Sends it nothing from `at` on.
    pub fn close_at(&self, at: Millis) {
        self.closes_at.store(at.0, Ordering::Relaxed);
    }

    /// Sends to it again, since it does not leave after all.
    pub fn reopen(&self) {
        self.closes_at.store(u64::MAX, Ordering::Relaxed);
    }

    /// Whether requests may be sent to it at `now`.
    pub fn is_open(&self, now: Millis) -> bool {
        now.0 < self.closes_at.load(Ordering::Relaxed)
    }

    /// Takes room for one request if there is any at `now`.
    pub fn try_take(&self, now: Millis) -> bool {
        let mut state = self.state();
        if state.has_long_queue(now) || now < state.opens_at {
            return false;
        }
        let taken = state.limit.try_take(now);
        if taken {
            state.pace(now);
            state.sent_since_report += 1;
        }
        taken
    }

    /// Gives room back and learns from how the request ended.
    ///
    /// `daemons` share the endpoint; the request was one of `route`.
    pub fn give_back(
        &self,
        verdict: Verdict,
        load: Option<Load>,
        route: &Arc<str>,
        daemons: usize,
        now: Millis,
    ) {
        {
            let mut state = self.state();
            let full = load.is_some_and(Load::has_long_queue);
            let busy = !load.is_some_and(Load::has_free_slot);
            let daemons_per_slot = daemons as f64 / f64::from(self.entry.slots.max(1));
            state.learn(verdict, route, now);
            state.adapt_spacing(verdict, load, daemons_per_slot, now);
            if let Some(load) = load {
                state.report = Some((load, now));
                state.sent_since_report = 0;
            }
            let ended = match verdict {
                _ if full => Ended::Shed,
                Verdict::Answered(latency) => Ended::Served(latency),
                Verdict::Shed | Verdict::Lost if busy => Ended::Shed,
                _ => Ended::Other,
            };
            state.limit.give_back(ended, now);
            if let (Verdict::Answered(latency), Some(load)) = (verdict, load)
                && load.waiting == 0
            {
                state.work_count += 1;
                state.work_total_ms += latency.0;
            }
        }
        self.queue.wake_one();
    }

    /// Expected time of a request sent at `now`, in milliseconds. Lower is better.
    pub fn expected_ms(&self, now: Millis) -> f64 {
        let state = self.state();
        let in_flight = state.limit.in_flight();
        let slots = f64::from(self.entry.slots.max(1));
        let present = match state.report {
            Some((load, at)) if now.since(at) < REPORT_AGE => {
                (load.running + load.waiting + state.sent_since_report).max(in_flight)
            }
            _ => in_flight,
        };
        let queued = (f64::from(present) + 1.0 - slots).max(0.0);
        // A failure costs about as much as several requests.
        let failing = 1.0 + 8.0 * state.failures;
        let busy = f64::from(present.min(self.entry.slots)) / slots;
        state.work_ms() * (1.0 + 0.25 * busy + queued / slots) * failing
    }

    /// Time between two requests that the endpoint takes from this daemon, in milliseconds.
    pub fn interval_ms(&self) -> f64 {
        let state = self.state();
        (state.work_ms() / state.limit.limit().max(1.0)).max(state.spacing_ms)
    }

    /// Time until a request gets room that has `ahead` others before it, in milliseconds.
    pub fn wait_ms(&self, ahead: usize, now: Millis) -> f64 {
        let closed = self.state().opens_at.since(now);
        closed.0 as f64 + ahead as f64 * self.interval_ms()
    }

    /// Whether the endpoint should be left alone at `now`.
    pub fn is_aside(&self, now: Millis) -> bool {
        self.state().aside_until.is_some_and(|until| now < until)
    }

    /// Whether another endpoint was found at its address. Its entry is about to go, and requests
    /// would count against the retry budget of the other endpoint's service.
    pub fn is_replaced(&self, now: Millis) -> bool {
        self.state().replaced_until.is_some_and(|until| now < until)
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.state().limit.in_flight()
    }

    /// The endpoint has said that it does not own keys that were granted under `token`.
    pub fn denied(&self, keys: KeyRange, token: u64, now: Millis) {
        let mut state = self.state();
        state.not_owner.retain(|_, until| now < *until);
        state.not_owner.insert((keys, token), now + NOT_OWNER_PAUSE);
    }

    /// Until when requests for keys granted under `token` are held back.
    pub fn denied_until(&self, keys: KeyRange, token: u64, now: Millis) -> Option<Millis> {
        let until = *self.state().not_owner.get(&(keys, token))?;
        (now < until).then_some(until)
    }

    /// Requests that found a free slot since the last call, and their time together.
    pub fn take_processing_times(&self) -> (u32, u64) {
        let mut state = self.state();
        let work = (state.work_count, state.work_total_ms);
        state.work_count = 0;
        state.work_total_ms = 0;
        work
    }

    /// Relative latencies observed since the last call; `None` if there are none.
    pub fn take_relative_latency(&self) -> Option<RelativeLatencyReport> {
        let (count, sum) = std::mem::take(&mut self.state().compared);
        (count > 0).then(|| RelativeLatencyReport {
            endpoint: Arc::clone(&self.entry.run.name),
            count,
            sum: sum as f32,
        })
    }

    /// Sets the relative latency that the controller aggregated from all daemons.
    pub fn set_relative_latency(&self, latency: f32) {
        self.state().pace = f64::from(latency);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Expected time of an answer, in milliseconds.
    fn work_ms(&self) -> f64 {
        self.usual.mean_ms() * self.pace
    }

    /// Whether the endpoint reported more waiting requests than it can have finished since then.
    fn has_long_queue(&self, now: Millis) -> bool {
        let Some((load, at)) = self.report else {
            return false;
        };
        let beyond = f64::from(load.waiting.saturating_sub(load.slots * WAITING_PER_SLOT));
        let drained_after = beyond / f64::from(load.slots) * self.work_ms();
        (now.since(at).0 as f64) < drained_after.min(REPORT_AGE.0 as f64)
    }

    /// Spaces requests out. Many daemons with one request each can overload an endpoint, which no
    /// limit on the requests of one daemon prevents.
    fn pace(&mut self, now: Millis) {
        if self.spacing_ms > 0.0 {
            let spacing = self.spacing_ms * rand::random_range(0.7..1.3);
            self.opens_at = now + Millis(spacing as u64);
        }
    }

    /// An endpoint that refuses although it has free slots fails at random, and waiting would not
    /// help; neither does a single lost connection show that it is full.
    fn adapt_spacing(
        &mut self,
        verdict: Verdict,
        load: Option<Load>,
        daemons_per_slot: f64,
        now: Millis,
    ) {
        let has_room = load.is_some_and(Load::has_free_slot);
        match verdict {
            Verdict::Shed if has_room => {}
            Verdict::Lost if self.in_a_row < 2 => {}
            Verdict::Shed | Verdict::Lost => self.lengthen_spacing(2.0, daemons_per_slot, now),
            Verdict::Answered(_) => match load {
                Some(load) if load.has_long_queue() => {
                    self.lengthen_spacing(SPACING_GROWTH, daemons_per_slot, now);
                }
                Some(load) if load.waiting * 2 > load.slots => {}
                _ if has_room => self.shorten_spacing(SPACING_KEPT_IDLE),
                _ => self.shorten_spacing(SPACING_KEPT),
            },
            Verdict::Failed | Verdict::Replaced | Verdict::Neutral => {}
        }
    }

    fn lengthen_spacing(&mut self, factor: f64, daemons_per_slot: f64, now: Millis) {
        let work_ms = self.work_ms();
        let fair = work_ms * daemons_per_slot;
        let first = (work_ms / 4.0).max(fair * FIRST_SPACING_SHARE);
        self.spacing_ms = (self.spacing_ms * factor).max(first).min(MAX_SPACING_MS);
        self.pace(now);
    }

    fn shorten_spacing(&mut self, kept: f64) {
        self.spacing_ms *= kept;
        if self.spacing_ms < self.work_ms() / 8.0 {
            self.spacing_ms = 0.0;
        }
    }

    fn learn(&mut self, verdict: Verdict, route: &Arc<str>, now: Millis) {
        let failed = match verdict {
            Verdict::Answered(latency) => {
                let compared = self.usual.record(route, latency);
                self.pace += PACE_WEIGHT * (compared - self.pace);
                self.compared.0 += 1;
                self.compared.1 += compared;
                false
            }
            Verdict::Failed | Verdict::Lost => true,
            Verdict::Replaced => {
                self.replaced_until = Some(now + REPLACED_PAUSE);
                return;
            }
            Verdict::Shed | Verdict::Neutral => return,
        };
        let sample = if failed { 1.0 } else { 0.0 };
        self.failures += FAILURE_WEIGHT * (sample - self.failures);
        if !failed {
            self.in_a_row = 0;
            self.times_aside = 0;
            self.aside_until = None;
            return;
        }
        self.in_a_row += 1;
        let aside = self.aside_until.is_some_and(|until| now < until);
        if self.in_a_row >= ASIDE_AFTER && !aside {
            let pause = (FIRST_ASIDE.0 << self.times_aside.min(6)).min(MAX_ASIDE.0);
            let jitter = rand::random_range(0..=pause / 4);
            self.aside_until = Some(now + Millis(pause + jitter));
            self.times_aside += 1;
        }
    }
}
