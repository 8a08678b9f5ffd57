//! Local demonstration: platform, three entry daemons and targets in one process, on loopback.

mod steps;

use crate::{
    caller::Caller,
    cluster::wait_for,
    platform::{Faults, Platform},
    target::{Execution, StandinTarget, TargetOptions},
};
use clap::{Parser, ValueEnum};
use comfy_table::{Table, presets::ASCII_MARKDOWN};
use eyre::WrapErr;
use fireflygauge::{
    config::{Change, ChangeOutcome, ChangeRequest},
    declaration::Declaration,
    entry::{runtime::Daemon, settings::Settings},
    operator::client::OperatorClient,
    world::{Contract, Vm, VmRole, VmState},
};
use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

/// Time limit for the daemons to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Runs a deployment on loopback, sends requests through it and prints the results.
#[derive(Debug, Parser)]
#[command(name = "fireflygauge-local", version)]
pub struct Options {
    /// Stop afterwards; the exit status is 0 only if every step passed.
    #[arg(long)]
    once: bool,
    /// The deployment to run.
    #[arg(long, value_enum, default_value_t = Deployment::Mittelland)]
    deployment: Deployment,
}

/// Deployments declared in the examples.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Deployment {
    Mittelland,
    MaWest,
}

impl Deployment {
    fn text(self) -> &'static str {
        match self {
            Self::Mittelland => include_str!("../../examples/mittelland.toml"),
            Self::MaWest => include_str!("../../examples/ma-west.toml"),
        }
    }

    fn zones(self) -> &'static [&'static str] {
        match self {
            Self::Mittelland => &["zone-a", "zone-b", "zone-c"],
            Self::MaWest => &["zone-a", "zone-b", "zone-c", "zone-d"],
        }
    }
}

/// The running deployment and its caller.
struct Demonstration {
    platform: Platform,
    daemons: Vec<Daemon>,
    targets: Vec<StandinTarget>,
    declaration: Declaration,
    caller: Caller,
    /// Executions recorded by the target that was lost.
    lost_executions: Vec<Execution>,
}

/// Result of a step, one row of the printed table.
struct StepResult {
    action: String,
    observed: String,
    passed: bool,
}

/// Runs the demonstration; returns whether every step passed.
///
/// # Errors
/// If the platform, a target or a daemon cannot be started.
pub async fn run(options: &Options) -> eyre::Result<bool> {
    let mut local = Demonstration::start(options.deployment).await?;
    let steps = local.run_steps().await;
    let passed = steps.iter().all(|step| step.passed);
    print_table(&steps);
    if options.once {
        local.stop().await?;
    } else {
        local.print_commands();
        std::future::pending::<()>().await;
    }
    Ok(passed)
}

impl Demonstration {
    async fn start(deployment: Deployment) -> eyre::Result<Self> {
        let declaration = Declaration::parse(deployment.text())?;
        let platform = Platform::start(LOOPBACK, Faults::default()).await?;
        let mut local = Self {
            platform,
            daemons: Vec::new(),
            targets: Vec::new(),
            declaration,
            caller: Caller::new("local"),
            lost_executions: Vec::new(),
        };
        for contract in local.declaration.services.clone() {
            for zone in deployment.zones() {
                local.start_target(&contract, zone).await?;
            }
        }
        for zone in &deployment.zones()[..3] {
            local.start_daemon(zone)?;
        }
        local.apply(deployment.text()).await?;
        local.wait_ready().await;
        Ok(local)
    }

    async fn start_target(&mut self, contract: &Contract, zone: &str) -> eyre::Result<()> {
        let name = format!("{}-{zone}", contract.name);
        let checks_grants = contract.keyed && contract.checks_grants;
        let options = TargetOptions::new(&name, zone, &contract.name.0, checks_grants);
        let target = StandinTarget::start(options).await?;
        self.platform.register(target.vm());
        self.targets.push(target);
        Ok(())
    }

    fn start_daemon(&mut self, zone: &str) -> eyre::Result<()> {
        let name = format!("entry-{zone}");
        let settings = Settings::try_parse_from([
            "fireflygauge-entry".to_owned(),
            format!("--name={name}"),
            format!("--zone={zone}"),
            format!("--caller-addr={LOOPBACK}"),
            format!("--peer-addr={LOOPBACK}"),
            format!("--operator-addr={LOOPBACK}"),
            format!("--platform-addr={}", self.platform.addr()),
        ])?;
        let daemon = Daemon::start(settings).wrap_err_with(|| format!("{name} did not start"))?;
        self.platform.register(Vm {
            name: daemon.link().name.clone(),
            zone: daemon.link().zone.clone(),
            addr: daemon.caller_addr(),
            state: VmState::Live,
            role: VmRole::Entry {
                peer_addr: daemon.link().peer_addr,
                operator_addr: daemon.operator_addr(),
            },
        });
        self.daemons.push(daemon);
        Ok(())
    }

    /// Applies the declaration as an operator does.
    async fn apply(&self, text: &str) -> eyre::Result<()> {
        let change = Change::Apply { body: text.into() };
        match self.change(0, change).await? {
            ChangeOutcome::Committed { .. } => Ok(()),
            other => Err(eyre::eyre!("the declaration was not applied: {other:?}")),
        }
    }

    /// Sends a configuration change to the first daemon.
    async fn change(&self, seen_version: u64, change: Change) -> eyre::Result<ChangeOutcome> {
        let request = ChangeRequest {
            seen_version,
            by: "demonstration".into(),
            reason: None,
            change,
        };
        let server = self.daemons[0].operator_addr();
        Ok(OperatorClient::new(vec![server]).change(&request).await?)
    }

    async fn wait_ready(&self) {
        let all = || std::future::ready(self.daemons.iter().all(Daemon::is_ready).then_some(()));
        wait_for("all daemons are ready", READY_TIMEOUT, all).await;
    }

    /// Stops the daemons on blocking threads, because stopping one blocks.
    async fn stop(self) -> eyre::Result<()> {
        for daemon in self.daemons {
            tokio::task::spawn_blocking(|| daemon.stop()).await??;
        }
        Ok(())
    }

    fn print_commands(&self) {
        let keyed = self.declaration.services.iter().find(|s| s.keyed);
        println!("\nThe deployment stays up until interrupted. Try:\n");
        for daemon in &self.daemons {
            let service = keyed.map_or("", |s| &s.name.0);
            println!(
                "  curl -i http://{}/{service}/k1/item",
                daemon.caller_addr()
            );
            println!("  fireflygauge --server {} status", daemon.operator_addr());
        }
    }
}

fn print_table(steps: &[StepResult]) {
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN);
    table.set_header(["step", "observed", "passed"]);
    for step in steps {
        let passed = if step.passed { "yes" } else { "NO" };
        table.add_row([step.action.as_str(), step.observed.as_str(), passed]);
    }
    println!("{table}");
}
