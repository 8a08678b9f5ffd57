//! How long connections to the endpoints of a service may be idle.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::time::Instant;

/// Longest idle time after which a connection is used again.
pub const MAX_IDLE: Duration = Duration::from_secs(8);
/// Shortest idle time that a lost connection can be blamed on.
const MIN_IDLE: Duration = Duration::from_millis(100);
/// Connections lost after an idle time, each soon after the one before, that show that endpoints
/// forget idle connections.
const FORGOTTEN: u32 = 2;
/// Longest time between them.
const FORGOTTEN_WITHIN: Duration = Duration::from_secs(3);
/// Time for which idle connections are then used only after a shorter idle time.
const FORGETTING: Duration = Duration::from_secs(5);

/// How long connections to a service's endpoints may be idle before they are used again.
///
/// An endpoint may forget idle connections. A request on one is reset, and nobody knows whether it
/// ran, so a few such losses shorten the time for all endpoints of the service.
#[derive(Debug, Default)]
pub struct IdleLimit {
    losses: Mutex<Losses>,
}

#[derive(Debug, Default)]
struct Losses {
    count: u32,
    last: Option<Instant>,
    limit: Option<(Duration, Instant)>,
}

impl IdleLimit {
    /// The longest idle time at present.
    pub fn longest(&self) -> Duration {
        let limit = self.losses().limit;
        let present = limit.filter(|(_, until)| Instant::now() < *until);
        present.map_or(MAX_IDLE, |(limit, _)| limit)
    }

    /// A connection was lost when it was used after this idle time.
    pub fn lost_after(&self, idle: Duration) {
        if idle < MIN_IDLE {
            return;
        }
        let now = Instant::now();
        let mut losses = self.losses();
        let is_soon = losses
            .last
            .is_some_and(|last| now.duration_since(last) < FORGOTTEN_WITHIN);
        losses.count = if is_soon { losses.count + 1 } else { 1 };
        losses.last = Some(now);
        if losses.count < FORGOTTEN {
            return;
        }
        let present = losses.limit.filter(|(_, until)| now < *until);
        let shorter = (idle / 2).max(MIN_IDLE);
        let limit = present.map_or(shorter, |(limit, _)| limit.min(shorter));
        losses.limit = Some((limit, now + FORGETTING));
        drop(losses);
        if present.is_none() {
            log::info!(target: "health", idle_ms = idle.as_millis() as u64,
                limit_ms = limit.as_millis() as u64; "Endpoints forget idle connections.");
        }
    }

    fn losses(&self) -> MutexGuard<'_, Losses> {
        self.losses.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
