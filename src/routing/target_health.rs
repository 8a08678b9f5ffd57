//! What a daemon has seen of one target, and what the target says of itself.

use crate::{clock::Millis, target_api::HealthReport, world::Incarnation};

/// Failures in a row after which a target is suspect.
const EJECTION_FAILURES: u32 = 3;
/// Time for which a suspect target is left alone at least. It doubles when a target that a probe
/// brought back fails again, since its reports may mislead.
const BASE_EJECTION_TIME: Millis = Millis(1_000);
/// Longest such time.
const MAX_EJECTION_TIME: Millis = Millis(30_000);
/// Time in which a new or returned target reaches its full share of requests.
const SLOW_START_TIME: Millis = Millis(10_000);
/// Share of requests at the start of the ramp.
const MIN_SLOW_START_WEIGHT: f64 = 0.1;
/// Age after which a target's report, or its refusal as draining, is no longer believed.
const MAX_REPORT_AGE: Millis = Millis(5_000);

/// Observations of one target.
#[derive(Clone, Debug)]
pub struct TargetHealth {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Millis>,
    slow_start_from: Millis,
    draining_at: Option<Millis>,
    report: Option<(HealthReport, Millis)>,
    incarnation: Option<Incarnation>,
}

impl TargetHealth {
    /// A target that is first seen at `now`.
    pub fn new(now: Millis) -> Self {
        Self {
            failures: 0,
            ejections: 0,
            ejected_until: None,
            slow_start_from: now,
            draining_at: None,
            report: None,
            incarnation: None,
        }
    }

    /// The target answered a request.
    pub fn record_success(&mut self, now: Millis) {
        self.failures = 0;
        self.ejections = 0;
        if self.ejected_until.take().is_some() {
            self.slow_start_from = now;
        }
    }

    /// A request or a probe failed: no connection, no complete answer, or none in a long time.
    pub fn record_failure(&mut self, now: Millis) {
        self.failures = self.failures.saturating_add(1);
        if self.failures >= EJECTION_FAILURES && self.ejected_until.is_none() {
            let ejection_ms =
                (BASE_EJECTION_TIME.0 << self.ejections.min(8)).min(MAX_EJECTION_TIME.0);
            self.ejected_until = Some(now + Millis(ejection_ms));
            self.ejections += 1;
        }
    }

    /// The target refused a request because it is leaving.
    pub fn record_draining(&mut self, now: Millis) {
        self.draining_at = Some(now);
    }

    /// A probe brought a report. Its contents are hints.
    pub fn record_report(&mut self, report: HealthReport, now: Millis) {
        match self.ejected_until {
            Some(until) if now >= until => {
                self.ejected_until = None;
                self.slow_start_from = now;
                // The next failure sets it aside again.
                self.failures = EJECTION_FAILURES - 1;
            }
            Some(_) => {}
            None => self.failures = self.failures.saturating_sub(1),
        }
        if self
            .incarnation
            .is_some_and(|run| run != report.incarnation)
        {
            // A restarted target is cold and no longer draining.
            self.slow_start_from = now;
            self.draining_at = None;
        }
        self.incarnation = Some(report.incarnation);
        self.report = Some((report, now));
    }

    /// Failures in a row.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Whether the target should be left alone for the time being.
    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Whether the target has said that it is leaving.
    pub fn is_leaving(&self, now: Millis) -> bool {
        let is_draining = self
            .draining_at
            .is_some_and(|at| now.since(at) < MAX_REPORT_AGE);
        is_draining || self.report(now).is_some_and(|report| report.leaving)
    }

    /// Share of requests that the target is ready for, up to 1.0.
    pub fn slow_start_weight(&self, now: Millis) -> f64 {
        if self.report(now).is_some_and(|report| report.cold) {
            return MIN_SLOW_START_WEIGHT;
        }
        let progress = now.since(self.slow_start_from).0 as f64 / SLOW_START_TIME.0 as f64;
        (MIN_SLOW_START_WEIGHT + (1.0 - MIN_SLOW_START_WEIGHT) * progress).min(1.0)
    }

    /// The load that the target reports, from 0.0 to 1.0. An unhealthy target counts as loaded.
    pub fn load(&self, now: Millis) -> f64 {
        match self.report(now) {
            Some(report) if !report.healthy => 1.0,
            Some(report) if report.load.is_finite() => report.load.clamp(0.0, 1.0),
            _ => 0.0,
        }
    }

    fn report(&self, now: Millis) -> Option<&HealthReport> {
        let (report, at) = self.report.as_ref()?;
        (now.since(*at) < MAX_REPORT_AGE).then_some(report)
    }
}
