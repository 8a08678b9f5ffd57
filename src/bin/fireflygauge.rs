//! The operator's command-line tool.

use clap::Parser;
use fireflygauge::operator::{commands, options::Options};
use std::process::ExitCode;

fn main() -> eyre::Result<ExitCode> {
    let options = Options::parse();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let exit = runtime.block_on(commands::run(options));
    Ok(ExitCode::from(exit as u8))
}
