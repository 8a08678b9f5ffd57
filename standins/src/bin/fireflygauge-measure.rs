//! Measures deployments of real processes on loopback.

use clap::Parser;
use standins::load::measure::{MeasureOptions, measure};

fn main() -> eyre::Result<()> {
    measure(&MeasureOptions::parse())
}
