//! Runs the whole path in one process.

use clap::Parser;
use standins::local::{Options, run};
use std::process::ExitCode;

#[tokio::main]
async fn main() -> eyre::Result<ExitCode> {
    let right = run(&Options::parse()).await?;
    Ok(if right {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
