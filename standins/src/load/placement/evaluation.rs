//! Runs a policy over a trace and measures imbalance, moves and unserved time.

use super::{
    policies::{Policy, PolicyInput},
    trace::{Event, Trace, TraceOptions},
};
use hdrhistogram::Histogram;
use serde::Serialize;

/// A partition counts as hot from this multiple of the mean partition rate: the 67 hottest keys of
/// the default trace lie above it.
const HOT_PARTITION: f64 = 4.0;

/// Largest imbalance that the histogram can record, in thousandths.
const MAX_IMBALANCE: u64 = 1_000_000;

/// Unserved time caused by moves and losses.
#[derive(Clone, Copy, Debug)]
pub struct Costs {
    /// Time that a planned move leaves a partition unserved, in seconds.
    pub move_s: f64,
    /// Time that a loss leaves a partition unserved, in seconds: the end of the lease,
    /// the store write and the grant.
    pub loss_s: f64,
}

/// Metrics of a policy on a trace.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PolicyResult {
    /// Load of the busiest target divided by the mean, averaged over time.
    pub imbalance_mean: f64,
    /// 99th percentile over time of the load of the busiest target divided by the mean.
    pub imbalance_p99: f64,
    /// Share of time with an imbalance above 1.25, in percent.
    pub above_125_percent: f64,
    /// Moves because the owner was lost or leaving.
    pub forced_moves: u64,
    /// Moves made to balance load.
    pub chosen_moves: u64,
    /// Moves of hot partitions among the chosen ones.
    pub hot_moves: u64,
    /// Requests per second that changed owner by chosen moves, as a multiple of the total load.
    pub load_moved: f64,
    /// Unserved time caused by losses, in thousands of key-seconds.
    pub unserved_losses_k: f64,
    /// Unserved time caused by moves, in thousands of key-seconds.
    pub unserved_moves_k: f64,
    /// Requests that arrived while their partition was unserved, per million.
    pub unserved_requests_ppm: f64,
}

struct Cluster {
    owners: Vec<Option<usize>>,
    usable: Vec<bool>,
    lost: Vec<bool>,
}

impl Cluster {
    /// Assigns partitions round-robin to all targets.
    fn new(options: &TraceOptions) -> Self {
        let owner = |p| Some(p as usize % options.targets);
        Self {
            owners: (0..options.partitions).map(owner).collect(),
            usable: vec![true; options.targets],
            lost: vec![false; options.targets],
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Join => {
                self.usable.push(true);
                self.lost.push(false);
            }
            Event::Leave(t) => self.usable[t] = false,
            Event::Loss(t) => {
                self.usable[t] = false;
                self.lost[t] = true;
                for owner in self.owners.iter_mut().filter(|owner| **owner == Some(t)) {
                    *owner = None;
                }
            }
        }
    }

    /// Load of the busiest usable target divided by the mean of the usable ones.
    fn imbalance(&self, rates: &[f64]) -> f64 {
        let mut loads = vec![0.0; self.usable.len()];
        for (rate, owner) in rates.iter().zip(&self.owners) {
            if let Some(t) = owner {
                loads[*t] += rate;
            }
        }
        let usable: Vec<f64> = loads
            .iter()
            .zip(&self.usable)
            .filter(|(_, u)| **u)
            .map(|(load, _)| *load)
            .collect();
        let mean = usable.iter().sum::<f64>() / usable.len() as f64;
        usable.iter().copied().fold(0.0, f64::max) / mean
    }
}

/// Runs `policy` over the trace of `options`.
pub fn evaluate(options: &TraceOptions, mut policy: Policy, costs: Costs) -> PolicyResult {
    let mut trace = Trace::new(options.clone());
    let mut cluster = Cluster::new(options);
    let mut result = PolicyResult::default();
    let mut imbalance = Histogram::<u64>::new_with_max(MAX_IMBALANCE, 3).expect("valid bounds");
    loop {
        if let Some(event) = trace.event() {
            cluster.apply(event);
        }
        let counts = trace.counts();
        let moves = policy(&PolicyInput {
            now_s: trace.now_s(),
            counts: &counts,
            owners: &cluster.owners,
            usable: &cluster.usable,
        });
        for next in moves {
            let p = next.partition.0 as usize;
            result.record_move(&cluster, p, trace.rates(), options, costs);
            cluster.owners[p] = Some(next.to);
        }
        let busiest = cluster.imbalance(trace.rates());
        imbalance.saturating_record((busiest * 1_000.0) as u64);
        if !trace.advance() {
            break;
        }
    }
    result.finish(&imbalance, options)
}

impl PolicyResult {
    fn record_move(
        &mut self,
        cluster: &Cluster,
        p: usize,
        rates: &[f64],
        options: &TraceOptions,
        costs: Costs,
    ) {
        let keys_k = options.keys as f64 / f64::from(options.partitions) / 1_000.0;
        let unserved_s = match cluster.owners[p] {
            None => costs.loss_s,
            Some(_) => costs.move_s,
        };
        match cluster.owners[p] {
            None => self.unserved_losses_k += keys_k * unserved_s,
            Some(_) => self.unserved_moves_k += keys_k * unserved_s,
        }
        self.unserved_requests_ppm += rates[p] * unserved_s;
        if cluster.owners[p].is_none_or(|t| !cluster.usable[t]) {
            self.forced_moves += 1;
            return;
        }
        self.chosen_moves += 1;
        self.load_moved += rates[p] / options.rate;
        if rates[p] >= HOT_PARTITION * options.rate / f64::from(options.partitions) {
            self.hot_moves += 1;
        }
    }

    fn finish(mut self, imbalance: &Histogram<u64>, options: &TraceOptions) -> Self {
        self.imbalance_mean = imbalance.mean() / 1_000.0;
        self.imbalance_p99 = imbalance.value_at_quantile(0.99) as f64 / 1_000.0;
        let above = imbalance.count_between(1_251, u64::MAX);
        self.above_125_percent = above as f64 / imbalance.len() as f64 * 100.0;
        self.unserved_requests_ppm *= 1e6 / (options.rate * options.length_s as f64);
        self
    }
}
