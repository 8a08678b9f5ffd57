//! Runs a local deployment in one process and demonstrates it.

use clap::Parser;
use standins::local::{Options, run};
use std::process::ExitCode;

#[tokio::main]
async fn main() -> eyre::Result<ExitCode> {
    let passed = run(&Options::parse()).await?;
    Ok(if passed {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
