//! Measurements with real processes on loopback: one subcommand for each table of
//! `docs/measurements.md`.

mod deployment;
mod faults;
mod load;

use clap::{Parser, Subcommand};
use eyre::Result;

/// Measures the whole path with real processes and prints a table.
#[derive(Clone, Debug, Parser)]
#[command(name = "fireflygauge-measure", version)]
pub struct MeasureOptions {
    /// What is measured.
    #[command(subcommand)]
    pub what: What,
    /// Length of each step, in seconds.
    #[arg(long, global = true, default_value_t = 5.0)]
    pub duration_s: f64,
    /// Seed of the load.
    #[arg(long, global = true, default_value_t = 1)]
    pub seed: u64,
}

/// The measurements.
#[derive(Clone, Copy, Debug, Subcommand)]
pub enum What {
    /// Latency through a daemon and straight to the same targets, at half load.
    Latency,
    /// Answered requests per core-second of one daemon.
    Processor,
    /// Goodput at up to three times the capacity.
    Overload,
    /// A lone caller beside a flood, with and without turns between callers.
    Fairness,
    /// Send until shed, fixed division and adaptive limit, with nine daemons.
    Admission,
    /// Processor time and memory of idle daemons, by their number.
    Idle,
    /// Unserved time and moves when a target is lost, one joins, and the controller is lost.
    Faults,
}

/// Runs a measurement and prints its table.
///
/// # Errors
/// If a process cannot be started or the deployment does not get ready.
pub fn measure(options: &MeasureOptions) -> Result<()> {
    match options.what {
        What::Latency => load::latency(options),
        What::Processor => load::processor(options),
        What::Overload => load::overload(options),
        What::Fairness => load::fairness(options),
        What::Admission => load::admission(options),
        What::Idle => load::idle(options),
        What::Faults => faults::faults(options),
    }
}
