//! The times of a graceful stop, and which requests may still begin during it.
//!
//! The load balancer sends new connections for a while after the stop signal, and callers go on using
//! kept ones. A request that begins late may outlast the process, which would cut it off.

use crate::clock::{Clock, Millis};
use tokio::{sync::watch, time::timeout};

/// How long connections are still accepted after a stop signal: the load balancer needs two checks,
/// one per second, to take the daemon out of rotation.
const DEREGISTRATION_TIME: Millis = Millis(2_600);
/// How long connections are left open after the last one was accepted. A stop closes those on which
/// nothing has arrived, and the first request of a new connection may be on its way.
const FIRST_REQUEST_TIME: Millis = Millis(500);
/// Longest time before the end of the process by which all responses have to be ready, so that they
/// can be written. Also how long a process that runs late waits for them to be written.
const RESPONSE_MARGIN: Millis = Millis(100);
/// Largest part of the time for a stop, as a divisor, that is kept for writing the last responses.
const RESPONSE_MARGIN_DIVISOR: u64 = 20;

/// The times of a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    /// Until when requests begin whatever their time limit. This keeps at least half of the time for
    /// them, and callers that the load balancer still sends here are served.
    pub all_begin_until: Millis,
    /// Until when connections are accepted.
    pub accept_until: Millis,
    /// When connections without a request are closed.
    pub close_at: Millis,
    /// By when all responses have to be ready.
    pub responses_due: Millis,
    /// When the process ends, unless the last request has ended before.
    pub end: Millis,
}

impl StopSchedule {
    /// The times of a stop that begins at `began` and may take `limit`.
    pub fn new(began: Millis, limit: Millis) -> Self {
        let accept_for = DEREGISTRATION_TIME.min(Millis(limit.0 * 3 / 4));
        let margin = RESPONSE_MARGIN.min(Millis(limit.0 / RESPONSE_MARGIN_DIVISOR));
        let open_for = FIRST_REQUEST_TIME.min(Millis((limit - accept_for).0 / 2));
        Self {
            all_begin_until: began + accept_for.min(Millis(limit.0 / 2)),
            accept_until: began + accept_for,
            close_at: began + accept_for + open_for,
            responses_due: began + (limit - margin),
            end: began + limit,
        }
    }

    /// Whether a request may begin at `now`, or be sent to an endpoint, although it may take until
    /// `deadline`.
    pub fn may_begin(&self, now: Millis, deadline: Millis) -> bool {
        now < self.all_begin_until || deadline <= self.responses_due
    }
}

/// A stop that has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    /// Its times.
    pub schedule: StopSchedule,
    /// Whether requests that are still in flight have to be answered now.
    pub is_due: bool,
}

impl Stop {
    /// A stop with these times that has just begun.
    pub fn new(schedule: StopSchedule) -> Self {
        Self {
            schedule,
            is_due: false,
        }
    }
}

/// Whether a request that may take until `deadline` may begin at `now`, or be sent to an endpoint.
/// `stop` is the daemon's stop, once it has begun.
pub fn may_begin(stop: Option<Stop>, now: Millis, deadline: Millis) -> bool {
    stop.is_none_or(|stop| stop.schedule.may_begin(now, deadline))
}

/// Waits until all connections have ended, which are the receivers of `connections`. When responses
/// are due, tells `stop` so, and then waits until they are written. That wait does not depend on how
/// late the process runs. False if connections are left.
pub async fn finish(
    stop: &watch::Sender<Option<Stop>>,
    connections: &watch::Sender<bool>,
    schedule: StopSchedule,
    clock: Clock,
) -> bool {
    let until_due = clock.until(schedule.responses_due);
    if timeout(until_due, connections.closed()).await.is_ok() {
        return true;
    }
    stop.send_replace(Some(Stop {
        schedule,
        is_due: true,
    }));
    let left = clock.until(schedule.end).max(RESPONSE_MARGIN.into());
    timeout(left, connections.closed()).await.is_ok()
}
