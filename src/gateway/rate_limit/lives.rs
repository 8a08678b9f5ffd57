//! The limits of all lives of endpoints that a daemon knows.

use super::{Before, Issuing, Limit, LimitReport, PermitReply, PermitRequest, Rate, RateLimit};
use crate::{clock::Millis, collections::Map, gateway::model::EndpointInstance};
use std::{collections::BTreeMap, sync::Arc};

/// Time for which the limit of a life without a registry entry is kept: an entry that lapsed may be
/// registered again by the same life.
const KEPT_WITHOUT_ENTRY: Millis = Millis(600_000);
/// Time for which other daemons are told that a life names no limit any more.
const END_TOLD_FOR: Millis = Millis(5_000);
/// Shortest time between two passes over all lives.
const STEP_INTERVAL: Millis = Millis(100);
/// Shortest time between two log lines about changes of a limit that is in force.
const CHANGE_LOG_INTERVAL: Millis = Millis(1_000);
/// Most lives without a registry entry whose limits are kept.
const MAX_LIVES_WITHOUT_ENTRY: usize = 1_000;
/// Relative change of a limit from which other daemons are told at once.
const PROMPT_CHANGE: f64 = 0.1;

/// The limits of all lives that are registered or were until recently.
#[derive(Debug, Default)]
pub struct RateLimits {
    /// Ordered, so that the lives under one name are found without a pass over all.
    by_life: BTreeMap<EndpointInstance, KnownLife>,
    issuing: Arc<Issuing>,
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
        let issuing = &self.issuing;
        let known = self.by_life.entry(life.clone());
        let known = known.or_insert_with(|| KnownLife {
            limit: Arc::new(RateLimit::new(Arc::clone(issuing))),
            logged: None,
            sent_before: 0,
            unused_since: None,
        });
        Arc::clone(&known.limit)
    }

    /// Whether a controller issues permits to this daemon.
    pub fn issuing(&self) -> &Arc<Issuing> {
        &self.issuing
    }

    /// Forgets the limits of all earlier lives under the name of `life`.
    pub fn end_earlier_lives(&mut self, life: &EndpointInstance) {
        let first = EndpointInstance {
            name: Arc::clone(&life.name),
            started_at_ms: 0,
        };
        let earlier = self.by_life.range(first..life.clone());
        let earlier: Vec<EndpointInstance> = earlier.map(|(life, _)| life.clone()).collect();
        for life in earlier {
            self.by_life.remove(&life);
        }
    }

    /// Records what another daemon knows. `transit` is the longest time that the message can have
    /// been on its way.
    pub fn record_heard(&mut self, heard: &[LimitReport], transit: Millis, now: Millis) {
        for report in heard {
            let rate = report.per_second.map(Rate::new);
            let is_valid = rate != Some(None);
            let is_known = self.by_life.contains_key(&report.endpoint);
            if !is_valid || !(is_known || self.has_room()) {
                continue;
            }
            let limit = self.of(&report.endpoint);
            limit.record_heard(rate.flatten(), report.age + transit, now);
        }
    }

    /// Whether another life without a registry entry can be kept.
    fn has_room(&self) -> bool {
        let known = self.by_life.values();
        let unused = known.filter(|known| Arc::strong_count(&known.limit) == 1);
        unused.count() < MAX_LIVES_WITHOUT_ENTRY
    }

    /// The limits in force, and those that have ended lately.
    pub fn reports(&self, now: Millis) -> Vec<LimitReport> {
        let known = self.by_life.iter();
        let reports = known.filter_map(|(life, known)| known.limit.report(life, now));
        reports
            .filter(|report| report.per_second.is_some() || report.age < END_TOLD_FOR)
            .collect()
    }

    /// The rates at which permits are issued, of the lives whose requests need them.
    pub fn in_force(&self, now: Millis) -> Map<EndpointInstance, Rate> {
        let known = self.by_life.iter();
        known
            .filter_map(|(life, known)| Some((life.clone(), known.limit.permit_rate(now)?)))
            .collect()
    }

    /// The rate at which permits for one life are issued; `None` if its requests need none.
    pub fn rate_of(&self, life: &EndpointInstance, now: Millis) -> Option<Rate> {
        self.by_life.get(life)?.limit.permit_rate(now)
    }

    /// What came before the first permit of a life; `None` unless it is cold.
    pub fn before_cold(&self, life: &EndpointInstance, now: Millis) -> Option<Before> {
        let cold = self.by_life.get(life)?.limit.cold(now)?;
        Some(match cold.from_start {
            true => Before::Nothing,
            false => Before::RequestsUntil(cold.since),
        })
    }

    /// The requests for permits that are due.
    pub fn take_requests(&self, now: Millis) -> Vec<PermitRequest> {
        if !self.issuing.take_wanted() {
            return Vec::new();
        }
        let known = self.by_life.iter();
        known
            .filter_map(|(life, known)| known.limit.take_request(life, now))
            .collect()
    }

    /// Records the reply to a request for permits; `None` if there was none.
    pub fn record_reply(&self, life: &EndpointInstance, reply: Option<PermitReply>, now: Millis) {
        if let Some(known) = self.by_life.get(life) {
            known.limit.record_reply(reply, now);
        }
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

/// Those of the known limits that a daemon lacks which has reported `reported`.
pub fn not_known(known: &[LimitReport], reported: &[LimitReport]) -> Vec<LimitReport> {
    let reported: Map<&EndpointInstance, Option<f64>> = reported
        .iter()
        .map(|report| (&report.endpoint, report.per_second))
        .collect();
    let is_unknown = |limit: &&LimitReport| {
        let reported = reported.get(&limit.endpoint).copied().flatten();
        reported != limit.per_second
    };
    known.iter().filter(is_unknown).cloned().collect()
}

/// Whether a daemon that has reported `reported` should be told at once of the limits that it lacks:
/// one has begun, ended or changed by much.
pub fn is_urgent(lacking: &[LimitReport], reported: &[LimitReport]) -> bool {
    lacking.iter().any(|limit| {
        let reported = reported.iter().find(|r| r.endpoint == limit.endpoint);
        match (limit.per_second, reported.and_then(|r| r.per_second)) {
            (Some(rate), Some(reported)) => (rate - reported).abs() > rate * PROMPT_CHANGE,
            _ => true,
        }
    })
}
