//! Measurements with real processes on loopback: one subcommand per table of
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
    /// The measurement to run.
    #[command(subcommand)]
    pub measurement: Measurement,
    /// Length of each step, in seconds.
    #[arg(long, global = true, default_value_t = 5.0)]
    pub duration_s: f64,
    /// Seed of the load.
    #[arg(long, global = true, default_value_t = 1)]
    pub seed: u64,
}

/// The measurements.
#[derive(Clone, Copy, Debug, Subcommand)]
pub enum Measurement {
    /// Latency through a daemon and directly to the same targets, at half load.
    Latency,
    /// Answered requests per core-second of one daemon.
    Processor,
    /// Goodput at offered loads up to three times the capacity.
    Overload,
    /// Success of a low-rate caller next to a flooding one, with and without fair queuing by caller.
    Fairness,
    /// Concurrency limits compared with nine daemons: send until shed, fixed share, adaptive.
    Admission,
    /// CPU time and memory of idle daemons, by number of daemons and targets.
    Idle,
    /// Unserved time and moves when a target is lost, one joins, and the controller is lost.
    Faults,
}

/// Runs a measurement and prints its table.
///
/// # Errors
/// If a process cannot be started or the deployment does not become ready.
pub fn measure(options: &MeasureOptions) -> Result<()> {
    match options.measurement {
        Measurement::Latency => load::latency(options),
        Measurement::Processor => load::processor(options),
        Measurement::Overload => load::overload(options),
        Measurement::Fairness => load::fairness(options),
        Measurement::Admission => load::admission(options),
        Measurement::Idle => load::idle(options),
        Measurement::Faults => faults::faults(options),
    }
}
