//! The limits of all lives of endpoints that a daemon knows.

use super::{Limit, RateLimit};
use crate::{clock::Millis, collections::Map, gateway::model::EndpointInstance};
use std::sync::Arc;

/// Time for which the limit of a life without a registry entry is kept: an entry that lapsed may be
/// registered again by the same life.
const KEPT_WITHOUT_ENTRY: Millis = Millis(600_000);
/// Shortest time between two passes over all lives.
const STEP_INTERVAL: Millis = Millis(100);
/// Shortest time between two log lines about changes of a limit that is in force.
const CHANGE_LOG_INTERVAL: Millis = Millis(1_000);

/// The limits of all lives that are registered or were until recently.
#[derive(Debug, Default)]
pub struct RateLimits {
    by_life: Map<EndpointInstance, KnownLife>,
    next_step_at: Millis,
}

#[derive(Debug)]
struct KnownLife {
    limit: Arc<RateLimit>,
    /// The limit that was logged last, and when.
    logged: Option<(Limit, Millis)>,
    /// Requests that had been sent under earlier limits when this one was logged first.
    sent_before: u64,
    /// Since when no endpoint state has used the limit.
    unused_since: Option<Millis>,
}

impl RateLimits {
    /// The limit of a life; it outlasts the loss of the registry entry.
    pub fn of(&mut self, life: &EndpointInstance) -> Arc<RateLimit> {
        let known = self.by_life.entry(life.clone());
        let known = known.or_insert_with(|| KnownLife {
            limit: Arc::default(),
            logged: None,
            sent_before: 0,
            unused_since: None,
        });
        Arc::clone(&known.limit)
    }

    /// Logs limits that have begun, changed or ended, and forgets lives that have been unregistered
    /// for long.
    pub fn step(&mut self, now: Millis) {
        if now < self.next_step_at {
            return;
        }
        self.next_step_at = now + STEP_INTERVAL;
        self.by_life.retain(|life, known| {
            known.log_change(life, now);
            if Arc::strong_count(&known.limit) > 1 {
                known.unused_since = None;
                return true;
            }
            let since = *known.unused_since.get_or_insert(now);
            now.since(since) < KEPT_WITHOUT_ENTRY && known.limit.current().is_some()
        });
    }
}

impl KnownLife {
    fn log_change(&mut self, life: &EndpointInstance, now: Millis) {
        let sent = self.limit.sent();
        match (self.logged, self.limit.current()) {
            (None, Some(limit)) => {
                self.logged = Some((limit, now));
                self.sent_before = sent;
                log::info!(target: "health", endpoint:% = life.name, started = life.started_at_ms,
                    rate:% = limit.rate, source:% = limit.source, age:% = now.since(limit.since);
                    "Endpoint named a request limit.");
            }
            (Some((logged, at)), Some(limit)) => {
                let is_changed = logged.rate != limit.rate;
                if is_changed && now.since(at) >= CHANGE_LOG_INTERVAL {
                    self.logged = Some((limit, now));
                    log::info!(target: "health", endpoint:% = life.name, rate:% = limit.rate,
                        former:% = logged.rate, source:% = limit.source,
                        age:% = now.since(limit.since), sent = sent - self.sent_before;
                        "Endpoint changed its request limit.");
                }
            }
            (Some((logged, _)), None) => {
                self.logged = None;
                log::info!(target: "health", endpoint:% = life.name, rate:% = logged.rate,
                    source:% = logged.source, age:% = now.since(logged.since),
                    sent = sent - self.sent_before;
                    "Request limit of an endpoint ended.");
            }
            (None, None) => {}
        }
    }
}
