//! Entry daemon with a selectable concurrency limit, for measurements.

use clap::{Parser, ValueEnum};
use fireflygauge::{
    entry::{runtime, settings::Settings},
    logging,
    routing::{limit::LimitPolicy, targets::Policies},
};

#[derive(Parser)]
struct Options {
    #[command(flatten)]
    settings: Settings,
    /// Policy that limits the requests in flight at a target.
    #[arg(long, value_enum, default_value_t = LimitName::Adaptive)]
    limit: LimitName,
    /// Maximum requests in flight of this daemon at a target, for `--limit share`.
    #[arg(long, default_value_t = 1.0)]
    share: f64,
}

#[derive(Clone, Copy, ValueEnum)]
enum LimitName {
    Adaptive,
    UntilShed,
    Share,
}

fn main() -> eyre::Result<()> {
    let options = Options::parse();
    options.settings.check()?;
    logging::start(options.settings.log, options.settings.log_file.as_deref())?;
    let limit = match options.limit {
        LimitName::Adaptive => LimitPolicy::Adaptive,
        LimitName::UntilShed => LimitPolicy::UntilShed,
        LimitName::Share => LimitPolicy::Share(options.share),
    };
    let policies = Policies {
        limit,
        ..Policies::default()
    };
    runtime::run_with(options.settings, policies)
}
