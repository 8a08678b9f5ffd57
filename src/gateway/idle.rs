//! Adaptive limit on the idle time of pooled connections to the endpoints of a service.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::time::Instant;

/// Longest idle time after which a connection is reused.
pub const MAX_IDLE: Duration = Duration::from_secs(15);
/// Losses after a shorter idle time are not attributed to idleness.
const MIN_IDLE: Duration = Duration::from_millis(100);
/// Number of losses in quick succession that show that endpoints drop idle connections.
const LOSS_THRESHOLD: u32 = 2;
/// Longest time between two such losses.
const MAX_LOSS_GAP: Duration = Duration::from_secs(3);
/// How long the reduced idle limit applies after the latest such loss.
const REDUCED_LIMIT_TIME: Duration = Duration::from_secs(5);

/// Longest idle time after which connections to a service's endpoints are reused.
///
/// An endpoint may silently drop idle connections. A request on such a connection is reset, and it
/// is unknown whether it ran, so a few such losses reduce the limit for all endpoints of the
/// service.
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
    /// The current limit.
    pub fn current(&self) -> Duration {
        let limit = self.losses().limit;
        let current_limit = limit.filter(|(_, until)| Instant::now() < *until);
        current_limit.map_or(MAX_IDLE, |(limit, _)| limit)
    }

    /// Records that a connection was lost on use after this idle time, and reduces the limit if
    /// such losses recur.
    pub fn record_loss(&self, idle: Duration) {
        if idle < MIN_IDLE {
            return;
        }
        let now = Instant::now();
        let mut losses = self.losses();
        let is_soon = losses
            .last
            .is_some_and(|last| now.duration_since(last) < MAX_LOSS_GAP);
        losses.count = if is_soon { losses.count + 1 } else { 1 };
        losses.last = Some(now);
        if losses.count < LOSS_THRESHOLD {
            return;
        }
        let current_limit = losses.limit.filter(|(_, until)| now < *until);
        let reduced = (idle / 2).max(MIN_IDLE);
        let limit = current_limit.map_or(reduced, |(limit, _)| limit.min(reduced));
        losses.limit = Some((limit, now + REDUCED_LIMIT_TIME));
        drop(losses);
        if current_limit.is_none() {
            log::info!(target: "health", idle_ms = idle.as_millis() as u64,
                limit_ms = limit.as_millis() as u64; "Endpoints drop idle connections; reducing the idle limit.");
        }
    }

    fn losses(&self) -> MutexGuard<'_, Losses> {
        self.losses.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
