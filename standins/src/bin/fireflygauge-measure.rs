//! Measures the whole path with real processes.

use clap::Parser;
use standins::load::measure::{MeasureOptions, measure};

fn main() -> eyre::Result<()> {
    measure(&MeasureOptions::parse())
}
