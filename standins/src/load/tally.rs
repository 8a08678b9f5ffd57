//! Counts and latencies of requests.

use super::verdict::Verdict;
use hdrhistogram::Histogram;
use std::time::Duration;

/// Largest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// What became of a set of requests.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Requests sent.
    pub sent: u64,
    /// Arrivals that were due but not sent because too many requests were in flight.
    pub unsent: u64,
    /// Answered by the target.
    pub answered: u64,
    /// Refused as not run.
    pub not_run: u64,
    /// Refused with an unknown outcome.
    pub unknown: u64,
    /// Another request's answer, a truncated one, or a refusal that breaks the contract.
    pub wrong: u64,
    /// Without any answer.
    pub lost: u64,
    /// Latencies of answered requests in microseconds, from the scheduled time.
    pub answered_us: Histogram<u64>,
    /// Latencies of refusals in microseconds, from the scheduled time.
    pub refused_us: Histogram<u64>,
}

impl Default for Tally {
    fn default() -> Self {
        Self {
            sent: 0,
            unsent: 0,
            answered: 0,
            not_run: 0,
            unknown: 0,
            wrong: 0,
            lost: 0,
            answered_us: histogram(),
            refused_us: histogram(),
        }
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_US, 3).expect("the bounds of the histogram are valid")
}

impl Tally {
    /// Counts a request that was sent.
    pub fn count(&mut self, verdict: Verdict, latency: Duration) {
        self.sent += 1;
        let us = latency.as_micros() as u64;
        match verdict {
            Verdict::Answered => self.answered += 1,
            Verdict::NotRun => self.not_run += 1,
            Verdict::Unknown => self.unknown += 1,
            Verdict::Wrong => self.wrong += 1,
            Verdict::Lost => self.lost += 1,
        }
        match verdict {
            Verdict::Answered => self.answered_us.saturating_record(us),
            Verdict::NotRun | Verdict::Unknown => self.refused_us.saturating_record(us),
            Verdict::Wrong | Verdict::Lost => {}
        }
    }

    /// Share of due requests that were answered, from 0 to 1.
    pub fn success(&self) -> f64 {
        let due = self.sent + self.unsent;
        if due == 0 {
            0.0
        } else {
            self.answered as f64 / due as f64
        }
    }
}

/// A latency of `histogram` at `quantile`, in milliseconds; 0 if nothing was recorded.
pub fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    if histogram.is_empty() {
        return 0.0;
    }
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}
