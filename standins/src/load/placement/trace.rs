//! A load trace: request rates of partitions that drift, and targets that join, leave and are lost.

use fireflygauge::partition::partition_of;
use rand::{Rng, SeedableRng, rngs::StdRng};
use rand_distr::{Distribution, Poisson};

/// Number of hot ranks whose keys change within minutes.
const HOT_KEYS: usize = 67;

/// Parameters of a generated trace.
#[derive(Clone, Debug)]
pub struct TraceOptions {
    /// Seed of the random numbers.
    pub seed: u64,
    /// Number of partitions.
    pub partitions: u32,
    /// Number of distinct keys.
    pub keys: usize,
    /// Exponent of the Zipf distribution of keys.
    pub zipf: f64,
    /// Total requests per second.
    pub rate: f64,
    /// Number of targets at the start.
    pub targets: usize,
    /// Length, in seconds.
    pub length_s: u64,
    /// Mean time that one of the hottest keys stays hot, in seconds.
    pub hot_s: f64,
}

/// A change of the set of targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A new target joins.
    Join,
    /// The target with this index is to be drained, to stop when it is empty. It keeps its
    /// partitions until they are moved.
    Leave(usize),
    /// The target with this index fails without notice.
    Loss(usize),
}

/// Generates the trace second by second.
#[derive(Debug)]
pub struct Trace {
    options: TraceOptions,
    rng: StdRng,
    /// Requests per second of the key at each rank.
    rank_rate: Vec<f64>,
    /// Partition of the key at each rank.
    rank_partition: Vec<u32>,
    /// True requests per second of each partition.
    rates: Vec<f64>,
    now_s: u64,
}

impl Trace {
    /// Creates a trace at its start.
    pub fn new(options: TraceOptions) -> Self {
        let weights: Vec<f64> = (1..=options.keys)
            .map(|rank| (rank as f64).powf(-options.zipf))
            .collect();
        let total: f64 = weights.iter().sum();
        let rank_rate = weights.iter().map(|w| w / total * options.rate).collect();
        let rank_partition = (0..options.keys)
            .map(|key| partition(&options, key as u64))
            .collect();
        let mut trace = Self {
            rng: StdRng::seed_from_u64(options.seed),
            rank_rate,
            rank_partition,
            rates: vec![0.0; options.partitions as usize],
            now_s: 0,
            options,
        };
        trace.recompute_rates();
        trace
    }

    /// Seconds since the start.
    pub fn now_s(&self) -> u64 {
        self.now_s
    }

    /// True requests per second of each partition.
    pub fn rates(&self) -> &[f64] {
        &self.rates
    }

    /// The options of this trace.
    pub fn options(&self) -> &TraceOptions {
        &self.options
    }

    /// Requests that each partition received in this second, drawn from a Poisson distribution with
    /// its true rate.
    pub fn counts(&mut self) -> Vec<u32> {
        let rng = &mut self.rng;
        let draw = |rate: &f64| Poisson::new(*rate).map_or(0, |p| p.sample(rng) as u32);
        self.rates.iter().map(draw).collect()
    }

    /// Advances by one second; returns false at the end.
    ///
    /// On average every `hot_s` seconds, a hot rank goes to another key, which usually lies in
    /// another partition.
    pub fn advance(&mut self) -> bool {
        self.now_s += 1;
        let chance = 1.0 / self.options.hot_s;
        let hot = HOT_KEYS.min(self.rank_partition.len());
        let mut changed = false;
        for rank in 0..hot {
            if self.rng.random::<f64>() < chance {
                let key = self.rng.random_range(0..u64::MAX);
                self.rank_partition[rank] = partition(&self.options, key);
                changed = true;
            }
        }
        if changed {
            self.recompute_rates();
        }
        self.now_s < self.options.length_s
    }

    /// Change of the targets in this second, if any. Six events are spread over the trace.
    pub fn event(&self) -> Option<Event> {
        let tenth = self.options.length_s / 10;
        match self.now_s {
            t if t == 2 * tenth => Some(Event::Join),
            t if t == 3 * tenth => Some(Event::Leave(0)),
            t if t == 4 * tenth => Some(Event::Loss(1)),
            t if t == 5 * tenth => Some(Event::Join),
            t if t == 6 * tenth => Some(Event::Leave(2)),
            t if t == 7 * tenth => Some(Event::Join),
            _ => None,
        }
    }

    fn recompute_rates(&mut self) {
        self.rates.fill(0.0);
        for (rate, partition) in self.rank_rate.iter().zip(&self.rank_partition) {
            self.rates[*partition as usize] += rate;
        }
    }
}

fn partition(options: &TraceOptions, key: u64) -> u32 {
    partition_of(&format!("k{key}"), options.partitions).0
}
