//! What a run found, as tables and JSON.

use super::{
    arrivals::{Arrival, services_of},
    options::Options,
    outage::Unserved,
    tally::{Tally, quantile_ms},
    verdict::Verdict,
};
use comfy_table::{Table, presets::ASCII_MARKDOWN};
use serde::Serialize;
use std::{collections::BTreeMap, fmt::Write, sync::Arc, time::Duration};

/// Width of a cell of the timeline.
pub const CELL: Duration = Duration::from_millis(100);

/// Answered and other requests over time, by the time at which they ended.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Timeline {
    /// Answered requests in each [`CELL`].
    pub answered: Vec<u64>,
    /// All other requests in each [`CELL`].
    pub other: Vec<u64>,
}

impl Timeline {
    /// Counts a request that ended at `at`.
    pub fn count(&mut self, at: Duration, answered: bool) {
        let cell = (at.as_millis() / CELL.as_millis()) as usize;
        if self.answered.len() <= cell {
            self.answered.resize(cell + 1, 0);
            self.other.resize(cell + 1, 0);
        }
        if answered {
            self.answered[cell] += 1;
        } else {
            self.other[cell] += 1;
        }
    }
}

/// Processor time and memory of a process during a step.
#[derive(Clone, Debug, Serialize)]
pub struct ProcessUse {
    /// Process id.
    pub pid: u32,
    /// Processor time used, in seconds.
    pub processor_s: f64,
    /// Resident memory at the end, in KiB.
    pub resident_kib: u64,
}

/// What became of the requests of one rate step.
#[derive(Clone, Debug)]
pub struct Step {
    /// Requests per second asked for.
    pub rate: f64,
    /// Length of the schedule, in seconds.
    pub duration_s: f64,
    /// Time until the last answer, in seconds.
    pub elapsed_s: f64,
    /// By service and route.
    pub services: BTreeMap<(Arc<str>, String), Tally>,
    /// By caller.
    pub callers: BTreeMap<Arc<str>, Tally>,
    /// Unserved time of keyed services through the router.
    pub unserved: Unserved,
    /// Requests over time.
    pub timeline: Timeline,
    /// The watched processes.
    pub processes: Vec<ProcessUse>,
    service_names: Vec<Arc<str>>,
    caller_names: Vec<Arc<str>>,
}

/// One line of a report.
#[derive(Clone, Debug, Serialize)]
pub struct Line {
    /// Service and route, or caller.
    pub name: String,
    /// Requests sent.
    pub sent: u64,
    /// Arrivals not sent because too many were in flight.
    pub unsent: u64,
    /// Answered by the target.
    pub answered: u64,
    /// Refused as not run.
    pub not_run: u64,
    /// Refused with an unknown outcome.
    pub unknown: u64,
    /// Answers that break the contract.
    pub wrong: u64,
    /// Requests without any answer.
    pub lost: u64,
    /// Median latency of answers, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile, in milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile, in milliseconds.
    pub p999_ms: f64,
    /// 99th percentile of the latency of refusals, in milliseconds.
    pub refused_p99_ms: f64,
    /// Answered requests per second of the schedule.
    pub rate: f64,
}

/// A step as JSON.
#[derive(Clone, Debug, Serialize)]
pub struct StepReport {
    /// Requests per second asked for.
    pub rate: f64,
    /// Time until the last answer, in seconds.
    pub elapsed_s: f64,
    /// By service and route.
    pub services: Vec<Line>,
    /// By caller.
    pub callers: Vec<Line>,
    /// Unserved time of keyed services through the router.
    pub unserved: Unserved,
    /// The watched processes.
    pub processes: Vec<ProcessUse>,
    /// Answered requests per second of processor time of the watched processes; 0 if none.
    pub answered_per_core_s: f64,
    /// Requests over time, in cells of 100 ms.
    pub timeline: Timeline,
}

impl Step {
    /// An empty step.
    pub fn new(options: &Options, index: usize) -> Self {
        Self {
            rate: options.rate[index],
            duration_s: options.duration_s,
            elapsed_s: 0.0,
            services: BTreeMap::new(),
            callers: BTreeMap::new(),
            unserved: Unserved::default(),
            timeline: Timeline::default(),
            processes: Vec::new(),
            service_names: services_of(options)
                .iter()
                .map(|s| s.service.clone())
                .collect(),
            caller_names: options.callers.iter().map(|c| c.name.clone()).collect(),
        }
    }

    /// Counts an arrival that ended at `at` with `verdict`; `None` if it was not sent.
    pub fn count(&mut self, arrival: &Arrival, verdict: Option<Verdict>, at: Duration) {
        let service = self.service_names[arrival.service].clone();
        let caller = self.caller_names[arrival.caller].clone();
        let place = (service, arrival.route.to_string());
        let tallies = [
            self.services.entry(place).or_default(),
            self.callers.entry(caller).or_default(),
        ];
        for tally in tallies {
            match verdict {
                Some(verdict) => tally.count(verdict, at.saturating_sub(arrival.due)),
                None => tally.unsent += 1,
            }
        }
    }

    /// Arrivals that were due, sent or not.
    pub fn due(&self) -> u64 {
        self.callers.values().map(|t| t.sent + t.unsent).sum()
    }

    /// Answered requests.
    pub fn answered(&self) -> u64 {
        self.callers.values().map(|t| t.answered).sum()
    }

    /// Answers and refusals that break the contract.
    pub fn wrong(&self) -> u64 {
        self.callers.values().map(|t| t.wrong).sum()
    }

    /// The step in numbers.
    pub fn report(&self) -> StepReport {
        let services = self.services.iter();
        let processor_s: f64 = self.processes.iter().map(|p| p.processor_s).sum();
        let per_core = self.answered() as f64 / processor_s;
        StepReport {
            rate: self.rate,
            elapsed_s: self.elapsed_s,
            services: services
                .map(|((service, route), tally)| self.line(format!("{service} {route}"), tally))
                .collect(),
            callers: self
                .callers
                .iter()
                .map(|(caller, tally)| self.line(caller.to_string(), tally))
                .collect(),
            unserved: self.unserved,
            processes: self.processes.clone(),
            answered_per_core_s: if processor_s > 0.0 { per_core } else { 0.0 },
            timeline: self.timeline.clone(),
        }
    }

    fn line(&self, name: String, tally: &Tally) -> Line {
        Line {
            name,
            sent: tally.sent,
            unsent: tally.unsent,
            answered: tally.answered,
            not_run: tally.not_run,
            unknown: tally.unknown,
            wrong: tally.wrong,
            lost: tally.lost,
            p50_ms: quantile_ms(&tally.answered_us, 0.5),
            p99_ms: quantile_ms(&tally.answered_us, 0.99),
            p999_ms: quantile_ms(&tally.answered_us, 0.999),
            refused_p99_ms: quantile_ms(&tally.refused_us, 0.99),
            rate: tally.answered as f64 / self.duration_s,
        }
    }
}

/// The steps as text.
pub fn text(steps: &[Step]) -> String {
    let mut out = String::new();
    for step in steps {
        let report = step.report();
        // Writing to a string does not fail.
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
                "process {}: {:.2} s of processor time, {} MiB resident",
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
