//! Measurements of the request path: latency, throughput, overload, fairness and idle cost.

use super::{
    MeasureOptions,
    deployment::{Deployment, DeploymentSpec},
};
use crate::load::{
    process_usage::{cpu_time, resident_kib},
    report::{Line, Step, StepReport, render_text},
};
use comfy_table::{Table, presets::ASCII_MARKDOWN};
use eyre::Result;
use std::{
    thread,
    time::{Duration, Instant},
};

/// Service time of targets in most measurements, in milliseconds.
const WORK_MS: f64 = 5.0;
const SLOTS: f64 = 4.0;
const TARGETS: usize = 4;
/// Time after the start for connections and membership to reach a steady state.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Requests per second that the targets of one service can execute.
const CAPACITY: f64 = TARGETS as f64 * SLOTS / (WORK_MS / 1_000.0);

fn flags(list: &[&str]) -> Vec<String> {
    list.iter().map(|flag| (*flag).to_owned()).collect()
}

/// The arguments common to all loads of a measurement, followed by `extra_args`.
fn args(options: &MeasureOptions, extra_args: &[String]) -> Vec<String> {
    let mut all = vec![
        format!("--duration-s={}", options.duration_s),
        format!("--seed={}", options.seed),
    ];
    all.extend_from_slice(extra_args);
    all
}

fn run(deployment: &Deployment, args: &[String]) -> Result<Vec<Step>> {
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    deployment.run_load(&deployment.entry_addrs(), &args)
}

fn new_table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table
        .load_preset(ASCII_MARKDOWN)
        .set_header(header.to_vec());
    table
}

pub(super) fn latency(options: &MeasureOptions) -> Result<()> {
    let long_queue = flags(&["--queue=64"]);
    let deployment = Deployment::start(&DeploymentSpec {
        daemons: 1,
        daemon_flags: Vec::new(),
        targets: vec![
            ("records", TARGETS, long_queue.clone()),
            ("rounds", TARGETS, long_queue),
        ],
    })?;
    let mut extra_args = flags(&["--only=records", "--only=rounds", "--non-idempotent=0.5"]);
    let records = deployment.targets.iter().filter(|t| t.service == "records");
    extra_args.extend(records.map(|t| format!("--direct=records={}", t.addr)));
    // Half of the capacity of both services; records gets a third of the mix.
    let half_load = CAPACITY / 2.0 * 1.5;
    for work_ms in [WORK_MS, 0.0] {
        let mut extra_args = extra_args.clone();
        extra_args.extend([
            format!("--work-ms={work_ms}"),
            format!("--rate=50,{half_load}"),
        ]);
        let steps = run(&deployment, &args(options, &extra_args))?;
        println!("service time {work_ms} ms\n{}", render_text(&steps));
        for report in steps.iter().map(Step::report) {
            print_added_latency(&report);
        }
    }
    Ok(())
}

fn print_added_latency(report: &StepReport) {
    let line = |name: &str| report.services.iter().find(|line| line.name == name);
    if let (Some(routed), Some(direct)) = (line("records routed"), line("records direct")) {
        let added = |of: fn(&Line) -> f64| {
            format!(
                "{:+.2} ms ({:.2} times)",
                of(routed) - of(direct),
                of(routed) / of(direct)
            )
        };
        println!(
            "{:.0}/s: routed against direct: p50 {}, p99 {}",
            report.rate,
            added(|l| l.p50_ms),
            added(|l| l.p99_ms)
        );
    }
}

pub(super) fn processor(options: &MeasureOptions) -> Result<()> {
    let long_queue = flags(&["--queue=96"]);
    let deployment = Deployment::start(&DeploymentSpec {
        daemons: 1,
        daemon_flags: flags(&["--workers=2"]),
        targets: vec![
            ("records", TARGETS, long_queue.clone()),
            ("rounds", TARGETS, long_queue),
        ],
    })?;
    let mut extra_args = flags(&[
        "--only=records",
        "--only=rounds",
        "--rate=500,1000,2000,4000,8000,16000",
    ]);
    extra_args.push(format!("--pid={}", deployment.entries[0].child.id()));
    let steps = run(&deployment, &args(options, &extra_args))?;
    let mut table = new_table(&[
        "offered/s",
        "answered/s",
        "cores used",
        "answered per core-second",
        "p50 ms",
        "p99 ms",
        "resident MiB",
    ]);
    for step in &steps {
        let report = step.report();
        let used = &report.processes[0];
        let worst = |of: fn(&Line) -> f64| report.services.iter().map(of).fold(0.0, f64::max);
        table.add_row([
            format!("{:.0}", report.rate),
            format!("{:.0}", step.answered() as f64 / report.elapsed_s),
            format!("{:.2}", used.processor_s / report.elapsed_s),
            format!("{:.0}", report.answered_per_core_s),
            format!("{:.2}", worst(|l| l.p50_ms)),
            format!("{:.2}", worst(|l| l.p99_ms)),
            format!("{}", used.resident_kib / 1024),
        ]);
    }
    println!("{table}");
    Ok(())
}

pub(super) fn overload(options: &MeasureOptions) -> Result<()> {
    let deployment = Deployment::start(&standard_spec(3, Vec::new()))?;
    let rates = [0.5, 0.8, 1.0, 1.2, 1.5, 2.0, 3.0].map(|of| format!("{:.0}", of * CAPACITY));
    for (service, share) in [("records", 0.0), ("rounds", 0.0), ("records", 0.5)] {
        let mut extra_args = vec![
            format!("--only={service}"),
            format!("--rate={}", rates.join(",")),
        ];
        extra_args.extend([format!("--work-ms={WORK_MS}"), "--zipf=0.5".into()]);
        extra_args.push(format!("--non-idempotent={share}"));
        let steps = run(&deployment, &args(options, &extra_args))?;
        println!("{service}, {:.0}% non-idempotent", share * 100.0);
        println!("{}", goodput(&steps));
    }
    Ok(())
}

fn standard_spec(daemons: usize, daemon_flags: Vec<String>) -> DeploymentSpec {
    DeploymentSpec {
        daemons,
        daemon_flags,
        targets: vec![
            ("records", TARGETS, Vec::new()),
            ("rounds", TARGETS, Vec::new()),
        ],
    }
}

fn goodput(steps: &[Step]) -> Table {
    let of = |step: &Step| step.answered() as f64 / step.duration_s;
    let peak = steps.iter().map(of).fold(0.0, f64::max);
    let mut table = new_table(&[
        "offered/capacity",
        "answered/s",
        "of peak",
        "not-run",
        "unknown",
        "lost or unsent",
        "p50 ms",
        "p99 ms",
        "refused p99 ms",
    ]);
    for step in steps {
        let line = &step.report().services[0];
        table.add_row([
            format!("{:.1}", step.rate / CAPACITY),
            format!("{:.0}", of(step)),
            format!("{:.0}%", of(step) / peak * 100.0),
            line.not_run.to_string(),
            line.unknown.to_string(),
            (line.lost + line.unsent).to_string(),
            format!("{:.1}", line.p50_ms),
            format!("{:.1}", line.p99_ms),
            format!("{:.1}", line.refused_p99_ms),
        ]);
    }
    table
}

pub(super) fn fairness(options: &MeasureOptions) -> Result<()> {
    let deployment = Deployment::start(&standard_spec(3, Vec::new()))?;
    let mut table = new_table(&[
        "queues", "caller", "sent", "answered", "share", "p50 ms", "p99 ms",
    ]);
    for (queues, flag) in [
        ("fair", None),
        ("first come, first served", Some("--same-caller")),
    ] {
        let mut extra_args = flags(&["--only=records", "--caller=lone=1", "--caller=flood=99"]);
        extra_args.extend([
            format!("--work-ms={WORK_MS}"),
            format!("--rate={}", 2.0 * CAPACITY),
        ]);
        extra_args.extend(flag.map(str::to_owned));
        for line in run(&deployment, &args(options, &extra_args))?[0]
            .report()
            .callers
        {
            table.add_row([
                queues.to_owned(),
                line.name,
                line.sent.to_string(),
                line.answered.to_string(),
                format!("{:.1}%", line.answered as f64 / line.sent as f64 * 100.0),
                format!("{:.1}", line.p50_ms),
                format!("{:.1}", line.p99_ms),
            ]);
        }
    }
    println!("{table}");
    Ok(())
}

pub(super) fn admission(options: &MeasureOptions) -> Result<()> {
    const DAEMONS: usize = 9;
    let share = format!("--share={}", SLOTS / DAEMONS as f64);
    let policies = [
        ("send until shed", flags(&["--limit=until-shed"])),
        ("fixed division", vec!["--limit=share".to_owned(), share]),
        ("adaptive limit", flags(&["--limit=adaptive"])),
    ];
    let mut table = new_table(&[
        "policy",
        "entries used",
        "offered/capacity",
        "answered/s",
        "not-run",
        "p50 ms",
        "p99 ms",
        "refused p99 ms",
        "daemon cores",
    ]);
    for (name, daemon_flags) in policies {
        let deployment = Deployment::start(&standard_spec(DAEMONS, daemon_flags))?;
        for used in [DAEMONS, 3] {
            let entries = &deployment.entry_addrs()[..used];
            let mut extra_args = flags(&["--only=records", "--non-idempotent=0.5"]);
            let rates = [0.5, 0.8, 1.0, 2.0].map(|of| format!("{:.0}", of * CAPACITY));
            extra_args.extend([
                format!("--work-ms={WORK_MS}"),
                format!("--rate={}", rates.join(",")),
            ]);
            extra_args.extend(
                deployment
                    .entries
                    .iter()
                    .map(|e| format!("--pid={}", e.child.id())),
            );
            let all = args(options, &extra_args);
            let argv: Vec<&str> = all.iter().map(String::as_str).collect();
            for step in deployment.run_load(entries, &argv)? {
                table.add_row(admission_row(name, used, &step));
            }
        }
    }
    println!("{table}");
    Ok(())
}

fn admission_row(name: &str, used: usize, step: &Step) -> Vec<String> {
    let report = step.report();
    let line = &report.services[0];
    let cores: f64 = report.processes.iter().map(|p| p.processor_s).sum();
    vec![
        name.to_owned(),
        used.to_string(),
        format!("{:.1}", step.rate / CAPACITY),
        format!("{:.0}", line.rate),
        line.not_run.to_string(),
        format!("{:.1}", line.p50_ms),
        format!("{:.1}", line.p99_ms),
        format!("{:.1}", line.refused_p99_ms),
        format!("{:.2}", cores / report.elapsed_s),
    ]
}

/// Measures CPU time, memory and store requests of the controller and of the other daemons while
/// no requests are sent.
pub(super) fn idle(options: &MeasureOptions) -> Result<()> {
    let mut table = new_table(&[
        "daemons",
        "targets",
        "controller, % of a core",
        "median of the others",
        "maximum of the others",
        "resident MiB, median",
        "store reads/s",
        "writes/s",
    ]);
    for (daemons, targets) in [(3, 4), (9, 4), (18, 4), (36, 4), (9, 10), (9, 20), (9, 40)] {
        let deployment = Deployment::start(&DeploymentSpec {
            daemons,
            daemon_flags: Vec::new(),
            targets: vec![("rounds", targets, Vec::new())],
        })?;
        thread::sleep(SETTLE_TIME);
        let controller = deployment.controller().unwrap_or_default();
        let pids: Vec<u32> = deployment.entries.iter().map(|e| e.child.id()).collect();
        let used = || pids.iter().map(|pid| cpu_time(*pid).unwrap_or_default());
        let (before, store, since): (Vec<_>, _, _) = (
            used().collect(),
            deployment.store_counters(),
            Instant::now(),
        );
        thread::sleep(Duration::from_secs_f64(options.duration_s));
        let elapsed = since.elapsed().as_secs_f64();
        let percent =
            |(now, before): (Duration, &Duration)| (now - *before).as_secs_f64() / elapsed * 100.0;
        let mut shares: Vec<f64> = used().zip(&before).map(percent).collect();
        let after = deployment.store_counters();
        let own = shares.remove(controller);
        shares.sort_by(f64::total_cmp);
        let mut memory: Vec<u64> = pids.iter().filter_map(|pid| resident_kib(*pid)).collect();
        memory.sort_unstable();
        table.add_row([
            daemons.to_string(),
            targets.to_string(),
            format!("{own:.2}"),
            format!("{:.2}", shares[shares.len() / 2]),
            format!("{:.2}", shares[shares.len() - 1]),
            format!("{:.1}", memory[memory.len() / 2] as f64 / 1024.0),
            format!("{:.0}", (after.reads - store.reads) as f64 / elapsed),
            format!("{:.0}", (after.writes - store.writes) as f64 / elapsed),
        ]);
    }
    println!("{table}");
    Ok(())
}
