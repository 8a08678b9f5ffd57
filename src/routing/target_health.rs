//! Health of one target: outlier ejection, slow start, and the target's own reports.

use crate::{clock::Millis, target_api::HealthReport, world::Incarnation};

/// Consecutive failures after which a target is ejected.
const EJECTION_FAILURES: u32 = 3;
/// Minimum ejection time. It doubles when a target that was readmitted after a probe fails again,
/// since its reports may be wrong.
const BASE_EJECTION_TIME: Millis = Millis(1_000);
/// Upper bound of the minimum ejection time.
const MAX_EJECTION_TIME: Millis = Millis(30_000);
/// Duration of slow start: time until a new or readmitted target has its full weight.
const SLOW_START_TIME: Millis = Millis(10_000);
/// Weight at the beginning of slow start.
const MIN_SLOW_START_WEIGHT: f64 = 0.1;
/// Age after which a target's report, or its refusal as draining, is ignored.
const MAX_REPORT_AGE: Millis = Millis(5_000);

/// Health of one target as this daemon sees it.
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
    /// A target that is new at `now` and begins its slow start.
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

    /// Records that the target responded to a request. This ends an ejection.
    pub fn record_success(&mut self, now: Millis) {
        self.failures = 0;
        self.ejections = 0;
        if self.ejected_until.take().is_some() {
            self.slow_start_from = now;
        }
    }

    /// Records a failed request or probe: no connection, no complete response, or a timeout.
    pub fn record_failure(&mut self, now: Millis) {
        self.failures = self.failures.saturating_add(1);
        if self.failures >= EJECTION_FAILURES && self.ejected_until.is_none() {
            let ejection_ms =
                (BASE_EJECTION_TIME.0 << self.ejections.min(8)).min(MAX_EJECTION_TIME.0);
            self.ejected_until = Some(now + Millis(ejection_ms));
            self.ejections += 1;
        }
    }

    /// Records that the target refused a request because it is draining.
    pub fn record_draining(&mut self, now: Millis) {
        self.draining_at = Some(now);
    }

    /// Records the report from a probe. Reports may be outdated or wrong; after the minimum ejection
    /// time, any report readmits the target.
    pub fn record_report(&mut self, report: HealthReport, now: Millis) {
        match self.ejected_until {
            Some(until) if now >= until => {
                self.ejected_until = None;
                self.slow_start_from = now;
                // The next failure ejects it again.
                self.failures = EJECTION_FAILURES - 1;
            }
            Some(_) => {}
            None => self.failures = self.failures.saturating_sub(1),
        }
        if self
            .incarnation
            .is_some_and(|incarnation| incarnation != report.incarnation)
        {
            // A restarted target begins another slow start and is no longer draining.
            self.slow_start_from = now;
            self.draining_at = None;
        }
        self.incarnation = Some(report.incarnation);
        self.report = Some((report, now));
    }

    /// Consecutive failures, less one for each report while the target is not ejected.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Whether the target is ejected as an outlier: until a request succeeds or, after the minimum
    /// ejection time, a probe returns a report.
    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Whether the target has recently reported that it is leaving, or refused a request as draining.
    pub fn is_leaving(&self, now: Millis) -> bool {
        let is_draining = self
            .draining_at
            .is_some_and(|at| now.since(at) < MAX_REPORT_AGE);
        is_draining || self.report(now).is_some_and(|report| report.leaving)
    }

    /// Weight of the target in the selection, up to 1.0; below that during slow start.
    pub fn slow_start_weight(&self, now: Millis) -> f64 {
        if self.report(now).is_some_and(|report| report.cold) {
            return MIN_SLOW_START_WEIGHT;
        }
        let progress = now.since(self.slow_start_from).0 as f64 / SLOW_START_TIME.0 as f64;
        (MIN_SLOW_START_WEIGHT + (1.0 - MIN_SLOW_START_WEIGHT) * progress).min(1.0)
    }

    /// The load that the target reports, from 0.0 to 1.0: 1.0 if it reports itself unhealthy, 0.0
    /// without a recent valid report.
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
