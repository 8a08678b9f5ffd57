//! Compares placement policies on a generated load trace and prints a table.

use clap::Parser;
use comfy_table::{Table, presets::ASCII_MARKDOWN};
use eyre::{Result, WrapErr, eyre};
use fireflygauge::{declaration::Declaration, ownership::placement::Tuning};
use standins::load::placement::{
    evaluation::{Costs, PolicyResult, evaluate},
    policies::{PolicyName, policy},
    trace::TraceOptions,
};
use std::path::PathBuf;
use strum::VariantArray;

/// Compares placement policies on a generated load trace.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Options {
    /// Declaration whose presets are used.
    #[arg(long, default_value = "examples/mittelland.toml")]
    declaration: PathBuf,
    /// Preset; the declaration's initial one by default.
    #[arg(long)]
    preset: Option<String>,
    /// Seeds; the printed figures are means over all of them.
    #[arg(long, value_delimiter = ',', default_value = "1,2,3")]
    seeds: Vec<u64>,
    /// Policy to run; all by default.
    #[arg(long)]
    only: Option<PolicyName>,
    /// Number of partitions.
    #[arg(long, default_value_t = 1024)]
    partitions: u32,
    /// Number of distinct keys.
    #[arg(long, default_value_t = 200_000)]
    keys: usize,
    /// Exponent of the Zipf distribution of keys.
    #[arg(long, default_value_t = 1.0)]
    zipf: f64,
    /// Requests per second.
    #[arg(long, default_value_t = 2_000.0)]
    rate: f64,
    /// Number of targets at the start.
    #[arg(long, default_value_t = 10)]
    targets: usize,
    /// Length of the trace, in minutes.
    #[arg(long, default_value_t = 60)]
    minutes: u64,
    /// Mean time that a key stays among the hottest, in seconds.
    #[arg(long, default_value_t = 300.0)]
    hot_s: f64,
    /// Maximum load of a target under the hashing policies, as a multiple of the mean.
    #[arg(long, default_value_t = 1.25)]
    bound: f64,
    /// Imbalance above 1 at which greedy moves start, for weights of 1.
    #[arg(long, default_value_t = Tuning::default().start_per_cost)]
    start_per_cost: f64,
    /// Load from which the greedy policy treats a partition as hot, as a multiple of the mean partition.
    #[arg(long, default_value_t = Tuning::default().hot_factor)]
    hot_factor: f64,
    /// Unserved time of a planned move, in milliseconds.
    #[arg(long, default_value_t = 30.0)]
    move_ms: f64,
    /// Unserved time after a loss, in milliseconds.
    #[arg(long, default_value_t = 1_300.0)]
    loss_ms: f64,
}

fn main() -> Result<()> {
    let options = Options::parse();
    let text = std::fs::read_to_string(&options.declaration)
        .wrap_err_with(|| format!("{:?}", options.declaration))?;
    let declaration = Declaration::parse(&text)?;
    let name = options
        .preset
        .as_deref()
        .unwrap_or(&declaration.initial_preset);
    let preset = declaration
        .preset(name)
        .ok_or_else(|| eyre!("the declaration has no preset {name}"))?;
    let costs = Costs {
        move_s: options.move_ms / 1_000.0,
        loss_s: options.loss_ms / 1_000.0,
    };
    let tuning = Tuning {
        start_per_cost: options.start_per_cost,
        hot_factor: options.hot_factor,
    };
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN).set_header([
        "policy",
        "imbalance mean",
        "p99",
        "time above 1.25",
        "forced moves",
        "chosen moves",
        "of hot partitions",
        "load moved",
        "unserved by losses",
        "by moves",
        "requests unserved",
    ]);
    let all = PolicyName::VARIANTS.iter();
    for policy_name in all.filter(|name| options.only.is_none_or(|only| only == **name)) {
        let results: Vec<PolicyResult> = options
            .seeds
            .iter()
            .map(|seed| {
                let policy = policy(
                    *policy_name,
                    preset,
                    options.partitions,
                    options.bound,
                    tuning,
                );
                evaluate(&trace(&options, *seed), policy, costs)
            })
            .collect();
        table.add_row(row(&policy_name.to_string(), &results));
    }
    println!(
        "{} {name}, seeds {:?}",
        declaration.deployment, options.seeds
    );
    println!("{table}");
    println!("load moved: whole loads; unserved: thousands of key-seconds; requests: per million");
    Ok(())
}

fn trace(options: &Options, seed: u64) -> TraceOptions {
    TraceOptions {
        seed,
        partitions: options.partitions,
        keys: options.keys,
        zipf: options.zipf,
        rate: options.rate,
        targets: options.targets,
        length_s: options.minutes * 60,
        hot_s: options.hot_s,
    }
}

fn row(name: &str, results: &[PolicyResult]) -> Vec<String> {
    let mean =
        |of: fn(&PolicyResult) -> f64| results.iter().map(of).sum::<f64>() / results.len() as f64;
    vec![
        name.to_owned(),
        format!("{:.3}", mean(|s| s.imbalance_mean)),
        format!("{:.3}", mean(|s| s.imbalance_p99)),
        format!("{:.1}%", mean(|s| s.above_125_percent)),
        format!("{:.0}", mean(|s| s.forced_moves as f64)),
        format!("{:.0}", mean(|s| s.chosen_moves as f64)),
        format!("{:.0}", mean(|s| s.hot_moves as f64)),
        format!("{:.2}", mean(|s| s.load_moved)),
        format!("{:.1}", mean(|s| s.unserved_losses_k)),
        format!("{:.1}", mean(|s| s.unserved_moves_k)),
        format!("{:.1}", mean(|s| s.unserved_requests_ppm)),
    ]
}
