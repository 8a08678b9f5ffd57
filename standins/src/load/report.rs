//! Results of a run, as tables and JSON.

use super::{
    arrivals::{Arrival, services_of},
    counters::{RequestCounters, quantile_ms},
    options::Options,
    outage::UnservedTime,
    response::RequestResult,
};
use comfy_table::{Table, presets::ASCII_MARKDOWN};
use serde::Serialize;
use std::{collections::BTreeMap, fmt::Write, sync::Arc, time::Duration};

/// Width of one interval of the timeline.
pub const TIMELINE_INTERVAL: Duration = Duration::from_millis(100);

/// Number of answered and of other requests per interval, by the time at which they ended.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Timeline {
    /// Answered requests in each [`TIMELINE_INTERVAL`].
    pub answered: Vec<u64>,
    /// All other requests in each [`TIMELINE_INTERVAL`].
    pub other: Vec<u64>,
}

impl Timeline {
    /// Counts a request that ended at `at` since the start of the step.
    pub fn count(&mut self, at: Duration, answered: bool) {
        let interval = (at.as_millis() / TIMELINE_INTERVAL.as_millis()) as usize;
        if self.answered.len() <= interval {
            self.answered.resize(interval + 1, 0);
            self.other.resize(interval + 1, 0);
        }
        if answered {
            self.answered[interval] += 1;
        } else {
            self.other[interval] += 1;
        }
    }
}

/// CPU time and memory of a process during a step.
#[derive(Clone, Debug, Serialize)]
pub struct ProcessUsage {
    /// Process id.
    pub pid: u32,
    /// CPU time (user and system) used, in seconds.
    pub processor_s: f64,
    /// Resident memory at the end, in KiB.
    pub resident_kib: u64,
}

/// Results of one rate step.
#[derive(Clone, Debug)]
pub struct Step {
    /// Offered load, in requests per second.
    pub rate: f64,
    /// Length of the schedule, in seconds.
    pub duration_s: f64,
    /// Time until the last request ended, in seconds.
    pub elapsed_s: f64,
    /// By service and route.
    pub services: BTreeMap<(Arc<str>, String), RequestCounters>,
    /// By caller.
    pub callers: BTreeMap<Arc<str>, RequestCounters>,
    /// Unserved time of keyed services through the router.
    pub unserved: UnservedTime,
    /// Completed requests over time.
    pub timeline: Timeline,
    /// Usage of the processes given by `--pid`.
    pub processes: Vec<ProcessUsage>,
    service_names: Vec<Arc<str>>,
    caller_names: Vec<Arc<str>>,
}

/// One row of a report table.
#[derive(Clone, Debug, Serialize)]
pub struct Line {
    /// Service and route, or caller.
    pub name: String,
    /// Requests sent.
    pub sent: u64,
    /// Arrivals not sent because too many requests were in flight.
    pub unsent: u64,
    /// Answered by the target.
    pub answered: u64,
    /// Refused as not run.
    pub not_run: u64,
    /// Refused with an unknown outcome.
    pub unknown: u64,
    /// Responses to another request, truncated responses, and refusals that break the contract.
    pub wrong: u64,
    /// Requests without a response.
    pub lost: u64,
    /// Median latency of answered requests, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency of answered requests, in milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile of the latency of answered requests, in milliseconds.
    pub p999_ms: f64,
    /// 99th percentile of the latency of refusals, in milliseconds.
    pub refused_p99_ms: f64,
    /// Answered requests per second of scheduled time.
    pub rate: f64,
}

/// JSON report of a step.
#[derive(Clone, Debug, Serialize)]
pub struct StepReport {
    /// Offered load, in requests per second.
    pub rate: f64,
    /// Time until the last request ended, in seconds.
    pub elapsed_s: f64,
    /// By service and route.
    pub services: Vec<Line>,
    /// By caller.
    pub callers: Vec<Line>,
    /// Unserved time of keyed services through the router.
    pub unserved: UnservedTime,
    /// Usage of the processes given by `--pid`.
    pub processes: Vec<ProcessUsage>,
    /// Answered requests per CPU second of the processes given by `--pid`; 0 if there are none.
    pub answered_per_core_s: f64,
    /// Completed requests over time, in intervals of 100 ms.
    pub timeline: Timeline,
}

impl Step {
    /// Creates an empty result for rate step `index`.
    pub fn new(options: &Options, index: usize) -> Self {
        Self {
            rate: options.rate[index],
            duration_s: options.duration_s,
            elapsed_s: 0.0,
            services: BTreeMap::new(),
            callers: BTreeMap::new(),
            unserved: UnservedTime::default(),
            timeline: Timeline::default(),
            processes: Vec::new(),
            service_names: services_of(options)
                .iter()
                .map(|s| s.service.clone())
                .collect(),
            caller_names: options.callers.iter().map(|c| c.name.clone()).collect(),
        }
    }

    /// Counts an arrival that ended at `at`; `result` is `None` if it was not sent.
    pub fn count(&mut self, arrival: &Arrival, result: Option<RequestResult>, at: Duration) {
        let service = self.service_names[arrival.service].clone();
        let caller = self.caller_names[arrival.caller].clone();
        let service_route = (service, arrival.route.to_string());
        let groups = [
            self.services.entry(service_route).or_default(),
            self.callers.entry(caller).or_default(),
        ];
        for counters in groups {
            match result {
                Some(result) => counters.count(result, at.saturating_sub(arrival.due)),
                None => counters.unsent += 1,
            }
        }
    }

    /// Number of scheduled arrivals, sent or not.
    pub fn due(&self) -> u64 {
        self.callers.values().map(|t| t.sent + t.unsent).sum()
    }

    /// Number of answered requests.
    pub fn answered(&self) -> u64 {
        self.callers.values().map(|t| t.answered).sum()
    }

    /// Number of wrong responses, see [`RequestResult::Wrong`].
    pub fn wrong(&self) -> u64 {
        self.callers.values().map(|t| t.wrong).sum()
    }

    /// Report of the step, for JSON and tables.
    pub fn report(&self) -> StepReport {
        let services = self.services.iter();
        let processor_s: f64 = self.processes.iter().map(|p| p.processor_s).sum();
        let per_core = self.answered() as f64 / processor_s;
        StepReport {
            rate: self.rate,
            elapsed_s: self.elapsed_s,
            services: services
                .map(|((service, route), counters)| {
                    self.line(format!("{service} {route}"), counters)
                })
                .collect(),
            callers: self
                .callers
                .iter()
                .map(|(caller, counters)| self.line(caller.to_string(), counters))
                .collect(),
            unserved: self.unserved,
            processes: self.processes.clone(),
            answered_per_core_s: if processor_s > 0.0 { per_core } else { 0.0 },
            timeline: self.timeline.clone(),
        }
    }

    fn line(&self, name: String, counters: &RequestCounters) -> Line {
        Line {
            name,
            sent: counters.sent,
            unsent: counters.unsent,
            answered: counters.answered,
            not_run: counters.not_run,
            unknown: counters.unknown,
            wrong: counters.wrong,
            lost: counters.lost,
            p50_ms: quantile_ms(&counters.answered_us, 0.5),
            p99_ms: quantile_ms(&counters.answered_us, 0.99),
            p999_ms: quantile_ms(&counters.answered_us, 0.999),
            refused_p99_ms: quantile_ms(&counters.refused_us, 0.99),
            rate: counters.answered as f64 / self.duration_s,
        }
    }
}

/// Renders the steps as text tables.
pub fn render_text(steps: &[Step]) -> String {
    let mut out = String::new();
    for step in steps {
        let report = step.report();
        // Writing to a string cannot fail.
        let _ = writeln!(out, "{:.0} requests/s, {:.1} s", step.rate, step.elapsed_s);
        let _ = writeln!(out, "{}", table("service", &report.services));
        if report.callers.len() > 1 {
            let _ = writeln!(out, "{}", table("caller", &report.callers));
        }
        if report.unserved.gaps > 0 {
            let u = report.unserved;
            let _ = writeln!(
                out,
                "unserved: {} gaps, {:.2} partition-seconds, longest {:.2} s",
                u.gaps, u.total_s, u.longest_s
            );
        }
        for p in &report.processes {
            let _ = writeln!(
                out,
                "process {}: {:.2} s of CPU time, {} MiB resident",
                p.pid,
                p.processor_s,
                p.resident_kib / 1024
            );
        }
        if report.answered_per_core_s > 0.0 {
            let _ = writeln!(
                out,
                "{:.0} answered per core-second",
                report.answered_per_core_s
            );
        }
        out.push('\n');
    }
    out
}

fn table(first: &str, lines: &[Line]) -> Table {
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN).set_header([
        first,
        "sent",
        "unsent",
        "answered",
        "not-run",
        "unknown",
        "wrong",
        "lost",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "refused p99 ms",
        "rate/s",
    ]);
    for l in lines {
        let counts = [
            l.sent, l.unsent, l.answered, l.not_run, l.unknown, l.wrong, l.lost,
        ];
        let latencies = [l.p50_ms, l.p99_ms, l.p999_ms, l.refused_p99_ms];
        let cells = std::iter::once(l.name.clone())
            .chain(counts.map(|n| n.to_string()))
            .chain(latencies.map(|ms| format!("{ms:.2}")))
            .chain([format!("{:.0}", l.rate)]);
        table.add_row(cells);
    }
    table
}
