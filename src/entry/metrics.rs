//! Request path metrics: kept as counters in memory, and sent to a statsd server if one is set.

use crate::{clock::Millis, collections::Map, routing::outcome::OutcomeKind};
use cadence::{BufferedUdpMetricSink, Counted, Gauged, QueuingMetricSink, StatsdClient, Timed};
use serde::Serialize;
use std::{
    io,
    net::{SocketAddr, UdpSocket},
    sync::{Arc, Mutex, PoisonError},
};

/// Prefix of all metrics.
const PREFIX: &str = "fireflygauge";
/// Capacity of the queue to the thread that sends to statsd; further metrics are dropped.
const STATSD_QUEUE_CAPACITY: usize = 4_096;
/// Inclusive upper bounds of the latency histogram's buckets, in milliseconds.
const LATENCY_BUCKETS_MS: [u64; 12] = [1, 2, 3, 5, 8, 13, 25, 50, 100, 250, 1_000, 10_000];

/// Counters for one service and outcome.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct OutcomeCounters {
    /// Completed requests.
    pub requests: u64,
    /// Requests by latency: one bucket each up to 1, 2, 3, 5, 8, 13, 25, 50, 100, 250, 1,000 and
    /// 10,000 ms, and one for longer ones. Not cumulative.
    pub latency: [u64; LATENCY_BUCKETS_MS.len() + 1],
}

/// All counters since the start of the daemon.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Counters {
    /// Counters by `service/outcome`.
    pub outcomes: Map<String, OutcomeCounters>,
    /// Retries, by service.
    pub retries: Map<String, u64>,
    /// Length of the request queue, by target.
    pub queues: Map<String, u64>,
}

impl Counters {
    /// The counters as text: a name, labels and a value on each line, sorted. Latency buckets are
    /// cumulative here.
    pub fn to_text(&self) -> String {
        let mut lines = Vec::new();
        for (name, counters) in &self.outcomes {
            let (service, outcome) = name.rsplit_once('/').unwrap_or((name, ""));
            let labels = format!("service=\"{service}\",outcome=\"{outcome}\"");
            lines.push(format!(
                "{PREFIX}_requests{{{labels}}} {}",
                counters.requests
            ));
            let mut cumulative = 0;
            for (bound, count) in LATENCY_BUCKETS_MS.iter().zip(counters.latency) {
                cumulative += count;
                lines.push(format!(
                    "{PREFIX}_latency_ms{{{labels},le=\"{bound}\"}} {cumulative}"
                ));
            }
        }
        for (service, count) in &self.retries {
            lines.push(format!("{PREFIX}_retries{{service=\"{service}\"}} {count}"));
        }
        for (target, length) in &self.queues {
            lines.push(format!(
                "{PREFIX}_queue_length{{target=\"{target}\"}} {length}"
            ));
        }
        lines.sort();
        lines.push(String::new());
        lines.join("\n")
    }
}

/// Handle to the metrics; clones share the counters.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    statsd: Option<Arc<StatsdClient>>,
    counters: Arc<Mutex<Counters>>,
}

impl Metrics {
    /// Creates metrics that are also sent to `statsd`, if given.
    ///
    /// # Errors
    /// If no UDP socket can be opened.
    pub fn new(statsd: Option<SocketAddr>) -> io::Result<Self> {
        let Some(addr) = statsd else {
            return Ok(Self::default());
        };
        let unspecified = if addr.is_ipv4() {
            "0.0.0.0:0"
        } else {
            "[::]:0"
        };
        let socket = UdpSocket::bind(unspecified)?;
        socket.set_nonblocking(true)?;
        let udp = BufferedUdpMetricSink::from(addr, socket).map_err(io::Error::other)?;
        let sink = QueuingMetricSink::with_capacity(udp, STATSD_QUEUE_CAPACITY);
        Ok(Self {
            statsd: Some(Arc::new(StatsdClient::from_sink(PREFIX, sink))),
            counters: Arc::default(),
        })
    }

    /// Counts a request that was answered or refused.
    pub fn record_response(&self, service: Option<&str>, outcome: OutcomeKind, elapsed: Millis) {
        self.record_completion(service, outcome.into(), elapsed);
    }

    /// Counts a request that completed with `outcome`, the value of the metric's `outcome` label.
    pub fn record_completion(&self, service: Option<&str>, outcome: &'static str, elapsed: Millis) {
        let service = service.unwrap_or("none");
        let bucket = LATENCY_BUCKETS_MS.partition_point(|&bound| bound < elapsed.0);
        self.update(|counters| {
            let entry = counters
                .outcomes
                .entry(format!("{service}/{outcome}"))
                .or_default();
            entry.requests += 1;
            entry.latency[bucket] += 1;
        });
        if let Some(statsd) = &self.statsd {
            let send_tagged = |m: cadence::MetricBuilder<'_, '_, _>| {
                m.with_tag("service", service)
                    .with_tag("outcome", outcome)
                    .send();
            };
            send_tagged(statsd.count_with_tags("requests", 1));
            statsd
                .time_with_tags("latency", elapsed.0)
                .with_tag("service", service)
                .with_tag("outcome", outcome)
                .send();
        }
    }

    /// Counts a retry of a request.
    pub fn record_retry(&self, service: &str) {
        self.update(|counters| *counters.retries.entry(service.into()).or_default() += 1);
        if let Some(statsd) = &self.statsd {
            let metric = statsd.count_with_tags("retries", 1);
            metric.with_tag("service", service).send();
        }
    }

    /// Records how many requests wait for a target.
    pub fn set_queue_length(&self, target: &str, length: usize) {
        self.update(|counters| {
            counters.queues.insert(target.into(), length as u64);
        });
        if let Some(statsd) = &self.statsd {
            let metric = statsd.gauge_with_tags("queue_length", length as u64);
            metric.with_tag("target", target).send();
        }
    }

    /// A copy of all counters.
    pub fn counters(&self) -> Counters {
        self.counters
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn update(&self, update: impl FnOnce(&mut Counters)) {
        update(&mut self.counters.lock().unwrap_or_else(PoisonError::into_inner));
    }
}
