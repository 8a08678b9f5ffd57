//! Measures unserved time and partition moves when a target is lost, one joins, or the controller
//! is lost.

use super::{
    MeasureOptions,
    deployment::{Deployment, DeploymentSpec, load_options},
};
use crate::load::{report::Step, run::run};
use comfy_table::{Table, presets::ASCII_MARKDOWN};
use eyre::{Result, eyre};
use fireflygauge::collections::Map;
use std::{
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

const TARGETS: usize = 5;
/// About four requests a second to each partition.
const RATE_PER_S: f64 = 4_000.0;
/// Duration of the load before the fault is injected.
const TIME_BEFORE_FAULT: Duration = Duration::from_secs(8);

type Fault = fn(&mut Deployment) -> Result<()>;

pub(super) fn faults(options: &MeasureOptions) -> Result<()> {
    let cases: [(&str, Fault); 5] = [
        ("nothing", |_| Ok(())),
        ("target killed", |d| {
            d.targets[0].child.kill();
            Ok(())
        }),
        ("target suspended", |d| {
            d.targets[0].child.suspend();
            Ok(())
        }),
        ("target joins", |d| d.add_target("rounds", &[])),
        ("controller killed", |d| {
            let index = d.controller().ok_or_else(|| eyre!("no controller"))?;
            d.entries[index].child.kill();
            Ok(())
        }),
    ];
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN).set_header([
        "event",
        "sent",
        "answered",
        "not-run",
        "unknown",
        "lost or unsent",
        "gaps",
        "partition-seconds unserved",
        "longest s",
        "longest refused s",
        "partitions moved",
        "imbalance before",
        "after",
        "store reads/s",
        "writes/s",
    ]);
    for (name, fault) in cases {
        table.add_row(run_case(options, name, fault)?);
    }
    println!("{table}");
    Ok(())
}

fn run_case(options: &MeasureOptions, name: &str, fault: Fault) -> Result<Vec<String>> {
    let mut deployment = Deployment::start(&DeploymentSpec {
        daemons: 4,
        daemon_flags: Vec::new(),
        targets: vec![("rounds", TARGETS, vec!["--queue=64".into()])],
    })?;
    // The load balancer handles a lost entry VM, so callers use only daemons that stay up.
    let controller = deployment.controller();
    let entries: Vec<SocketAddr> = (0..deployment.entries.len())
        .filter(|i| Some(*i) != controller)
        .map(|i| deployment.entries[i].caller)
        .collect();
    let length = TIME_BEFORE_FAULT.as_secs_f64() + options.duration_s.max(5.0);
    let args = [
        "--only=rounds".to_owned(),
        "--zipf=0".into(),
        "--keys=100000".into(),
        "--max-in-flight=400".into(),
        format!("--rate={RATE_PER_S}"),
        format!("--duration-s={length}"),
        format!("--seed={}", options.seed),
    ];
    let argv: Vec<&str> = args.iter().map(String::as_str).collect();
    let load = load_options(&entries, &argv)?;
    let running = thread::spawn(move || run(&load));
    thread::sleep(TIME_BEFORE_FAULT);
    let before = deployment.owners();
    let (store, since) = (deployment.store_counters(), Instant::now());
    fault(&mut deployment)?;
    let steps = running
        .join()
        .map_err(|_| eyre!("the load thread panicked"))??;
    let (now, elapsed) = (deployment.store_counters(), since.elapsed().as_secs_f64());
    let mut row = result_row(name, &steps[0], &before, &deployment.owners());
    let rate = |count: u64| format!("{:.0}", count as f64 / elapsed);
    row.extend([
        rate(now.reads - store.reads),
        rate(now.writes - store.writes),
    ]);
    Ok(row)
}

fn result_row(
    name: &str,
    step: &Step,
    before: &[Option<Arc<str>>],
    after: &[Option<Arc<str>>],
) -> Vec<String> {
    let report = step.report();
    let line = &report.services[0];
    let moved = before.iter().zip(after).filter(|(a, b)| a != b).count();
    vec![
        name.to_owned(),
        line.sent.to_string(),
        line.answered.to_string(),
        line.not_run.to_string(),
        line.unknown.to_string(),
        (line.lost + line.unsent).to_string(),
        report.unserved.gaps.to_string(),
        format!("{:.1}", report.unserved.total_s),
        format!("{:.2}", report.unserved.longest_s),
        format!("{:.2}", report.unserved.longest_refused_s),
        moved.to_string(),
        format!("{:.2}", imbalance(before)),
        format!("{:.2}", imbalance(after)),
    ]
}

/// Largest number of partitions of one target, divided by the mean over targets that own any.
fn imbalance(owners: &[Option<Arc<str>>]) -> f64 {
    let mut counts: Map<&str, usize> = Map::default();
    for owner in owners.iter().flatten() {
        *counts.entry(owner).or_default() += 1;
    }
    let most = counts.values().copied().max().unwrap_or(0);
    most as f64 * counts.len() as f64 / owners.len().max(1) as f64
}
