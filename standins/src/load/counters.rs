//! Request counts and latency histograms.

use super::response::RequestResult;
use hdrhistogram::Histogram;
use std::time::Duration;

/// Largest latency that the histograms can record; longer ones are recorded as this value.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Results of a set of requests.
#[derive(Clone, Debug)]
pub struct RequestCounters {
    /// Requests sent.
    pub sent: u64,
    /// Arrivals that were due but not sent because too many requests were in flight.
    pub unsent: u64,
    /// Answered by the target with a valid response.
    pub answered: u64,
    /// Refused as not run.
    pub not_run: u64,
    /// Refused with an unknown outcome.
    pub unknown: u64,
    /// Responses to another request, truncated responses, and refusals that break the contract.
    pub wrong: u64,
    /// Requests without a response: the connection failed or the time limit passed.
    pub lost: u64,
    /// Latencies of answered requests in microseconds, from the scheduled time.
    pub answered_us: Histogram<u64>,
    /// Latencies of refusals in microseconds, from the scheduled time.
    pub refused_us: Histogram<u64>,
}

impl Default for RequestCounters {
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

impl RequestCounters {
    /// Records the result of a request that was sent.
    pub fn count(&mut self, result: RequestResult, latency: Duration) {
        self.sent += 1;
        let us = latency.as_micros() as u64;
        match result {
            RequestResult::Answered => self.answered += 1,
            RequestResult::NotRun => self.not_run += 1,
            RequestResult::Unknown => self.unknown += 1,
            RequestResult::Wrong => self.wrong += 1,
            RequestResult::Lost => self.lost += 1,
        }
        match result {
            RequestResult::Answered => self.answered_us.saturating_record(us),
            RequestResult::NotRun | RequestResult::Unknown => self.refused_us.saturating_record(us),
            RequestResult::Wrong | RequestResult::Lost => {}
        }
    }

    /// Share of scheduled requests that were answered, from 0 to 1; 0 if there were none.
    pub fn success(&self) -> f64 {
        let due = self.sent + self.unsent;
        if due == 0 {
            0.0
        } else {
            self.answered as f64 / due as f64
        }
    }
}

/// Latency at `quantile` in milliseconds; 0 if `histogram` is empty.
pub fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    if histogram.is_empty() {
        return 0.0;
    }
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}
