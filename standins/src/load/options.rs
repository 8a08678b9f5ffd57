//! Options of the load tool.

use super::mix::{CallerShare, MixName};
use clap::Parser;
use std::{net::SocketAddr, path::PathBuf, str::FromStr, sync::Arc};

/// Sends open-loop load and reports results and latencies.
#[derive(Clone, Debug, Parser)]
#[command(name = "fireflygauge-load", version, about)]
pub struct Options {
    /// Address of a daemon for callers; repeat it to spread requests over several.
    #[arg(long = "entry")]
    pub entries: Vec<SocketAddr>,
    /// Address of a target as SERVICE=ADDRESS. Half of the service's requests (all of them
    /// without --entry) go directly to these targets, for comparison in the same run.
    #[arg(long = "direct")]
    pub direct: Vec<DirectTarget>,
    /// Request mix: services and their shares.
    #[arg(long, default_value_t = MixName::Mittelland)]
    pub mix: MixName,
    /// Sends only to these services of the mix.
    #[arg(long)]
    pub only: Vec<Arc<str>>,
    /// Requests per second; several values, separated by commas, are run one after another.
    #[arg(long, value_delimiter = ',', default_value = "200")]
    pub rate: Vec<f64>,
    /// Length of each rate step, in seconds (at most 3600).
    #[arg(long, default_value_t = 5.0)]
    pub duration_s: f64,
    /// Time between rate steps, in seconds (at most 60).
    #[arg(long, default_value_t = 0.5)]
    pub pause_s: f64,
    /// Maximum number of requests in one rate step.
    #[arg(long, default_value_t = 1_000_000)]
    pub max_requests: u64,
    /// Maximum number of requests in flight; arrivals beyond it are counted as unsent.
    #[arg(long, default_value_t = 4_000)]
    pub max_in_flight: usize,
    /// Number of distinct keys of a keyed service.
    #[arg(long, default_value_t = 10_000)]
    pub keys: u64,
    /// Exponent of the Zipf distribution of keys; 0 makes all keys equally likely.
    #[arg(long, default_value_t = 1.0)]
    pub zipf: f64,
    /// Time after which other keys become hot, in milliseconds; 0 for never.
    #[arg(long, default_value_t = 60_000)]
    pub drift_ms: u64,
    /// A caller as NAME=WEIGHT; repeat it for several.
    #[arg(long = "caller", default_value = "caller-a=1")]
    pub callers: Vec<CallerShare>,
    /// Sends the same `x-caller` for all callers, which disables fair queuing between them; the report
    /// still lists them separately.
    #[arg(long)]
    pub same_caller: bool,
    /// Share of non-idempotent requests, from 0 to 1, instead of the mix's value.
    #[arg(long)]
    pub non_idempotent: Option<f64>,
    /// Share of non-idempotent requests that carry an idempotency key, from 0 to 1.
    #[arg(long, default_value_t = 0.0)]
    pub idempotency_keys: f64,
    /// Bytes of padding in the body of a non-idempotent request.
    #[arg(long, default_value_t = 64)]
    pub body_bytes: usize,
    /// Bytes of padding requested in responses.
    #[arg(long, default_value_t = 0)]
    pub answer_bytes: usize,
    /// Service time requested of targets, in milliseconds.
    #[arg(long, default_value_t = 0)]
    pub work_ms: u64,
    /// Deadline that requests carry, in milliseconds.
    #[arg(long, default_value_t = 2_000)]
    pub timeout_ms: u64,
    /// Seed of arrivals, keys and callers.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of sender threads.
    #[arg(long, default_value_t = 2)]
    pub workers: usize,
    /// Process id whose CPU time and memory are reported; repeat it for several.
    #[arg(long = "pid")]
    pub pids: Vec<u32>,
    /// Partitions of the keyed service, for the report of unserved time.
    #[arg(long, default_value_t = fireflygauge::world::contract::DEFAULT_PARTITIONS)]
    pub partitions: u32,
    /// Prints JSON instead of tables.
    #[arg(long)]
    pub json: bool,
    /// Writes a plot of answered and refused requests over time to this SVG file.
    #[arg(long)]
    pub plot: Option<PathBuf>,
}

impl Options {
    /// Validates the ranges of the options.
    ///
    /// # Errors
    /// A message that names the first invalid option and its valid range.
    pub fn check(&self) -> Result<(), String> {
        if self.entries.is_empty() && self.direct.is_empty() {
            return Err("--entry or --direct is required".into());
        }
        if !(self.duration_s > 0.0 && self.duration_s <= 3_600.0) {
            return Err("--duration-s must be above 0 and at most 3600".into());
        }
        if !(0.0..=60.0).contains(&self.pause_s) {
            return Err("--pause-s must be from 0 to 60".into());
        }
        if self.rate.iter().any(|rate| !(*rate > 0.0 && *rate <= 1e6)) {
            return Err("--rate must be above 0 and at most 1000000".into());
        }
        if self.keys == 0 || self.partitions == 0 || self.workers == 0 || self.max_in_flight == 0 {
            return Err(
                "--keys, --partitions, --workers and --max-in-flight must be above 0".into(),
            );
        }
        if !(self.zipf >= 0.0 && self.zipf.is_finite()) {
            return Err("--zipf must not be negative".into());
        }
        let shares = self
            .non_idempotent
            .into_iter()
            .chain([self.idempotency_keys]);
        if shares
            .into_iter()
            .any(|share| !(0.0..=1.0).contains(&share))
        {
            return Err("--non-idempotent and --idempotency-keys must be from 0 to 1".into());
        }
        Ok(())
    }
}

/// A target that is addressed directly, bypassing the router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectTarget {
    /// Service that it is an endpoint of.
    pub service: Arc<str>,
    /// Address that it serves requests on.
    pub addr: SocketAddr,
}

impl FromStr for DirectTarget {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (service, addr) = text.split_once('=').ok_or("expected SERVICE=ADDRESS")?;
        let addr = addr.parse().map_err(|e| format!("{addr}: {e}"))?;
        Ok(Self {
            service: service.into(),
            addr,
        })
    }
}
