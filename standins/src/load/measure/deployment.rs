//! Runs daemons and targets as processes that connect to each other directly, without fault
//! proxies. The platform runs in the measuring process; it serves a few requests a second.

use crate::{
    cluster::{InitialDeclaration, TempDir, child::Child},
    load::{options::Options, report::Step, run::run},
    platform::{Counters, Faults, Platform},
    ports::free_addr,
    target::TargetOptions,
};
use clap::Parser;
use eyre::{Result, ensure, eyre};
use fireflygauge::{
    ownership::row::AssignmentRow,
    world::{Vm, VmName, VmRole, VmState, ZoneName},
};
use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::runtime::Runtime;

/// Time limit for a deployment to become ready, long enough for a busy machine.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const HOST: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Number and flags of the processes of a deployment.
#[derive(Clone, Debug)]
pub struct DeploymentSpec {
    /// Number of daemons.
    pub daemons: usize,
    /// Additional flags of every daemon.
    pub daemon_flags: Vec<String>,
    /// Service, number of targets and their additional flags.
    pub targets: Vec<(&'static str, usize, Vec<String>)>,
}

/// A running daemon.
pub struct DaemonProcess {
    /// VM name.
    pub name: String,
    /// The process.
    pub child: Child,
    /// Address for callers.
    pub caller: SocketAddr,
}

/// A running target.
pub struct TargetProcess {
    /// Service that it is an endpoint of.
    pub service: &'static str,
    /// The process.
    pub child: Child,
    /// Address that it serves requests on.
    pub addr: SocketAddr,
}

/// A running deployment; its processes are killed when it is dropped.
pub struct Deployment {
    /// The daemons.
    pub entries: Vec<DaemonProcess>,
    /// The targets.
    pub targets: Vec<TargetProcess>,
    platform: Platform,
    runtime: Runtime,
    dir: TempDir,
}

impl Deployment {
    /// Starts a deployment with Mittelland's declaration and waits until it answers requests
    /// for every service of `spec`.
    ///
    /// # Errors
    /// If a process cannot be started or the deployment does not become ready in time.
    pub fn start(spec: &DeploymentSpec) -> Result<Self> {
        let runtime = Runtime::new()?;
        let any = SocketAddr::new(HOST, 0);
        let platform = runtime.block_on(Platform::start(any, Faults::default()))?;
        platform.install_declaration(&InitialDeclaration {
            text: include_str!("../../../../examples/mittelland.toml").into(),
            preset: "ordinary".into(),
        });
        let mut deployment = Self {
            entries: Vec::new(),
            targets: Vec::new(),
            platform,
            runtime,
            dir: TempDir::new()?,
        };
        for (service, count, flags) in &spec.targets {
            for _ in 0..*count {
                deployment.add_target(service, flags)?;
            }
        }
        for _ in 0..spec.daemons {
            deployment.add_daemon(&spec.daemon_flags)?;
        }
        let services: Vec<_> = spec.targets.iter().map(|(service, ..)| *service).collect();
        deployment.wait_ready(&services)?;
        Ok(deployment)
    }

    /// Starts a target and registers it with the platform.
    ///
    /// # Errors
    /// If its process cannot be started.
    pub fn add_target(&mut self, service: &'static str, flags: &[String]) -> Result<()> {
        let index = self.targets.len();
        let name = format!("{service}-{index}");
        let keyed = service == "rounds";
        let zone = ZONES[index % ZONES.len()];
        let options = TargetOptions::new(&name, zone, service, keyed);
        let mut args = vec![
            format!("--name={name}"),
            format!("--zone={zone}"),
            format!("--service={service}"),
            format!("--checks-grants={keyed}"),
            "--history=/dev/null".into(),
        ];
        args.extend_from_slice(flags);
        let child = Child::start("standin-target", &args, self.dir.path(), &name)?;
        let addr = self.runtime.block_on(child.printed_addr());
        self.platform.register(options.vm(addr));
        self.targets.push(TargetProcess {
            service,
            child,
            addr,
        });
        Ok(())
    }

    fn add_daemon(&mut self, flags: &[String]) -> Result<()> {
        let index = self.entries.len();
        let name = format!("entry-{index}");
        let zone = ZONES[index % ZONES.len()];
        let [caller, peer, operator] = [(); 3].map(|()| free_addr(HOST));
        let mut args = vec![
            format!("--name={name}"),
            format!("--zone={zone}"),
            format!("--caller-addr={caller}"),
            format!("--peer-addr={peer}"),
            format!("--operator-addr={operator}"),
            format!("--platform-addr={}", self.platform.addr()),
            "--log=warn".into(),
        ];
        args.extend_from_slice(flags);
        let child = Child::start("policy-entry", &args, self.dir.path(), &name)?;
        self.platform.register(Vm {
            name: VmName::from(name.as_str()),
            zone: ZoneName(zone.into()),
            addr: caller,
            state: VmState::Live,
            role: VmRole::Entry {
                peer_addr: peer,
                operator_addr: operator,
            },
        });
        self.entries.push(DaemonProcess {
            name,
            child,
            caller,
        });
        Ok(())
    }

    /// Sends a light load repeatedly until every request of a run is answered.
    fn wait_ready(&self, services: &[&str]) -> Result<()> {
        let end = Instant::now() + READY_TIMEOUT;
        loop {
            let mut args = vec!["--rate=100", "--duration-s=0.5", "--timeout-ms=500"];
            args.extend(services.iter().flat_map(|service| ["--only", *service]));
            let steps = self.run_load(&self.entry_addrs(), &args)?;
            if steps[0].answered() == steps[0].due() {
                return Ok(());
            }
            ensure!(
                Instant::now() < end,
                "not ready within {READY_TIMEOUT:?}: only {} requests of the last load were answered",
                steps[0].answered()
            );
        }
    }

    /// Addresses for callers of all daemons.
    pub fn entry_addrs(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.caller).collect()
    }

    /// Runs a load against `entries`.
    ///
    /// # Errors
    /// If `args` are invalid, a thread cannot be started, or a response was wrong.
    pub fn run_load(&self, entries: &[SocketAddr], args: &[&str]) -> Result<Vec<Step>> {
        let steps = run(&load_options(entries, args)?)?;
        let wrong: u64 = steps.iter().map(Step::wrong).sum();
        ensure!(wrong == 0, "{wrong} responses were wrong");
        Ok(steps)
    }

    /// Owner of each partition of the keyed service, as stored in the table service.
    pub fn owners(&self) -> Vec<Option<Arc<str>>> {
        let row = |index| self.platform.row(&format!("assign/rounds/0/{index}"));
        let rows = (0..).map_while(row);
        let parse = |text: &str| serde_json::from_str::<AssignmentRow>(text).ok();
        rows.filter_map(|row| parse(&row.value))
            .flat_map(|row| row.owners().collect::<Vec<_>>())
            .map(|owner| owner.map(|owner| owner.target.0))
            .collect()
    }

    /// Index of the daemon that controls the keyed service.
    pub fn controller(&self) -> Option<usize> {
        let row = self.platform.row("group/rounds/0")?;
        let row: serde_json::Value = serde_json::from_str(&row.value).ok()?;
        let holder = row.get("holder")?.to_string();
        let is_holder = |entry: &DaemonProcess| holder.contains(&format!("\"{}\"", entry.name));
        self.entries.iter().position(is_holder)
    }

    /// Number of requests that the platform has served since the start.
    pub fn store_counters(&self) -> Counters {
        self.platform.counters()
    }
}

/// Options of a load against `entries`.
///
/// # Errors
/// If `args` are invalid.
pub fn load_options(entries: &[SocketAddr], args: &[&str]) -> Result<Options> {
    let entries = entries.iter().map(|addr| format!("--entry={addr}"));
    let argv = std::iter::once("fireflygauge-load".to_owned())
        .chain(entries)
        .chain(args.iter().map(|arg| (*arg).to_owned()));
    let options = Options::try_parse_from(argv)?;
    options.check().map_err(|e| eyre!(e))?;
    Ok(options)
}
