//! What a daemon has seen of one target, and what the target says of itself.

use crate::{clock::Millis, target_api::HealthReport, world::Incarnation};

/// Failures in a row after which a target is suspect.
const SUSPECT_FAILURES: u32 = 3;
/// Time for which a suspect target is left alone at least. It doubles when a target that a probe
/// brought back fails again, since its reports may mislead.
const FIRST_ASIDE: Millis = Millis(1_000);
/// Longest such time.
const MAX_ASIDE: Millis = Millis(30_000);
/// Time in which a new or returned target reaches its full share of requests.
const RAMP: Millis = Millis(10_000);
/// Share of requests at the start of the ramp.
const RAMP_START: f64 = 0.1;
/// Age after which a target's report, or its refusal as draining, is no longer believed.
const REPORT_AGE: Millis = Millis(5_000);

/// Observations of one target.
#[derive(Clone, Debug)]
pub struct Observed {
    failures: u32,
    times_aside: u32,
    aside_until: Option<Millis>,
    ramp_from: Millis,
    drained_at: Option<Millis>,
    report: Option<(HealthReport, Millis)>,
    incarnation: Option<Incarnation>,
}

impl Observed {
    /// A target that is first seen at `now`.
    pub fn new(now: Millis) -> Self {
        Self {
            failures: 0,
            times_aside: 0,
            aside_until: None,
            ramp_from: now,
            drained_at: None,
            report: None,
            incarnation: None,
        }
    }

    /// The target answered a request.
    pub fn succeeded(&mut self, now: Millis) {
        self.failures = 0;
        self.times_aside = 0;
        if self.aside_until.take().is_some() {
            self.ramp_from = now;
        }
    }

    /// A request or a probe failed: no connection, no complete answer, or none in a long time.
    pub fn failed(&mut self, now: Millis) {
        self.failures = self.failures.saturating_add(1);
        if self.failures >= SUSPECT_FAILURES && self.aside_until.is_none() {
            let aside = (FIRST_ASIDE.0 << self.times_aside.min(8)).min(MAX_ASIDE.0);
            self.aside_until = Some(now + Millis(aside));
            self.times_aside += 1;
        }
    }

    /// The target refused a request because it is leaving.
    pub fn drained(&mut self, now: Millis) {
        self.drained_at = Some(now);
    }

    /// A probe brought a report. Its contents are hints.
    pub fn reported(&mut self, report: HealthReport, now: Millis) {
        match self.aside_until {
            Some(until) if now >= until => {
                self.aside_until = None;
                self.ramp_from = now;
                // The next failure sets it aside again.
                self.failures = SUSPECT_FAILURES - 1;
            }
            Some(_) => {}
            None => self.failures = self.failures.saturating_sub(1),
        }
        if self
            .incarnation
            .is_some_and(|run| run != report.incarnation)
        {
            // A restarted target is cold and no longer draining.
            self.ramp_from = now;
            self.drained_at = None;
        }
        self.incarnation = Some(report.incarnation);
        self.report = Some((report, now));
    }

    /// Failures in a row.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Whether the target should be left alone for the time being.
    pub fn is_suspect(&self) -> bool {
        self.aside_until.is_some()
    }

    /// Whether the target has said that it is leaving.
    pub fn is_leaving(&self, now: Millis) -> bool {
        let drained = self.drained_at.is_some_and(|at| now.since(at) < REPORT_AGE);
        drained || self.report(now).is_some_and(|report| report.leaving)
    }

    /// Share of requests that the target is ready for, up to 1.0.
    pub fn ramp(&self, now: Millis) -> f64 {
        if self.report(now).is_some_and(|report| report.cold) {
            return RAMP_START;
        }
        let progress = now.since(self.ramp_from).0 as f64 / RAMP.0 as f64;
        (RAMP_START + (1.0 - RAMP_START) * progress).min(1.0)
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
        (now.since(*at) < REPORT_AGE).then_some(report)
    }
}
