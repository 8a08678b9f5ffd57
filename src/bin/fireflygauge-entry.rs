//! The entry daemon.

use clap::Parser;
use fireflygauge::{
    entry::{runtime, settings::Settings},
    logging,
};

fn main() -> eyre::Result<()> {
    let settings = Settings::parse();
    settings.check()?;
    logging::start(settings.log, settings.log_file.as_deref())?;
    runtime::run_until_signal(settings)
}
