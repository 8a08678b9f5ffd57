//! Measures the recovery time after each kind of loss over many runs: `cargo run --example recovery -- --runs 20`.

use clap::Parser;
use standins::recovery::{BOUND, Loss, measure};

#[derive(Parser)]
struct Options {
    /// Runs for each loss.
    #[arg(long, default_value_t = 20)]
    runs: u64,
}

#[tokio::main]
async fn main() {
    let options = Options::parse();
    for loss in [Loss::Target, Loss::Controller, Loss::SuspendedController] {
        let mut times = Vec::new();
        for seed in 0..options.runs {
            times.push(measure(loss, seed).await.as_millis());
        }
        times.sort_unstable();
        let (median, worst) = (times[times.len() / 2], times[times.len() - 1]);
        println!(
            "{loss}: {} runs, median {median} ms, worst {worst} ms, bound {} ms, all {times:?}",
            times.len(),
            BOUND.as_millis()
        );
    }
}
