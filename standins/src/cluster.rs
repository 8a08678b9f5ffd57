//! A whole deployment of real processes on loopback, for failure tests and measurements.
//!
//! Daemons and targets are separate processes. The platform and the fault-injecting links run in the
//! calling process. Every daemon has its own link to the platform. All daemons reach a target through
//! one shared link: they forward the VM list to each other, so a per-daemon address of a target would
//! spread to the others.

pub mod child;
mod config;
mod daemon;
mod directory;
mod target;

pub use config::InitialDeclaration;
pub use daemon::Daemon;
pub use directory::TempDir;
pub use target::Target;

use crate::{
    checker::assigned_owners,
    platform::{Faults, Platform},
    proxy::LinkFaults,
    target::{Execution, read_history},
};
use fireflygauge::{
    collections::{Map, Set},
    operator::{client::OperatorClient, report::Status},
    ownership::row::{AssignmentRow, ControllerRow},
    table::Owner,
    world::{ServiceName, VmName},
};
use std::{
    future::Future,
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::{
        Arc, LazyLock,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::{Instant, sleep},
};

/// Deployments running at once in one process; more would make results depend on the load of the
/// machine.
const MAX_CONCURRENT_CLUSTERS: usize = 3;
/// Interval at which a condition that a test waits for is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time for a process to start on a busy machine.
pub const START_TIMEOUT: Duration = Duration::from_secs(20);

/// What a deployment consists of.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Availability zone of each daemon.
    pub daemons: Vec<&'static str>,
    /// Service, zone and further flags of each target.
    pub targets: Vec<(&'static str, &'static str, Vec<String>)>,
    /// The declaration in force from the start, if there is one.
    pub declared: Option<InitialDeclaration>,
}

/// The keyed service of test deployments.
pub const KEYED: &str = "rounds";
/// The service of test deployments that is not divided by key.
pub const UNKEYED: &str = "records";

impl Default for Layout {
    /// Three zones with a daemon and a target of each service in each.
    fn default() -> Self {
        let zones = ["zone-a", "zone-b", "zone-c"];
        let targets = [KEYED, UNKEYED]
            .into_iter()
            .flat_map(|service| zones.map(|zone| (service, zone, Vec::new())))
            .collect();
        Self {
            daemons: zones.to_vec(),
            targets,
            declared: Some(InitialDeclaration::default()),
        }
    }
}

/// A running deployment; everything stops when it is dropped.
#[derive(Debug)]
pub struct Cluster {
    /// The platform.
    pub platform: Platform,
    /// The daemons.
    pub daemons: Vec<Daemon>,
    /// The targets.
    pub targets: Vec<Target>,
    /// Logs and histories.
    pub dir: TempDir,
    ip: IpAddr,
    _permit: OwnedSemaphorePermit,
}

impl Cluster {
    /// Starts a deployment, waiting while too many others run.
    ///
    /// # Errors
    /// The system's error if something cannot be started.
    pub async fn start(layout: Layout) -> io::Result<Self> {
        let permit = permit().await;
        let ip = next_ip();
        let mut cluster = Self {
            platform: Platform::start(SocketAddr::new(ip, 0), Faults::default()).await?,
            daemons: Vec::new(),
            targets: Vec::new(),
            dir: TempDir::new()?,
            ip,
            _permit: permit,
        };
        if let Some(declared) = &layout.declared {
            cluster.platform.install_declaration(declared);
        }
        for (service, zone, flags) in &layout.targets {
            cluster.add_target(service, zone, flags).await?;
        }
        for zone in &layout.daemons {
            cluster.add_daemon(zone).await?;
        }
        Ok(cluster)
    }

    /// Starts a further target and registers it.
    ///
    /// # Errors
    /// The system's error if it cannot be started.
    pub async fn add_target(
        &mut self,
        service: &str,
        zone: &str,
        flags: &[String],
    ) -> io::Result<usize> {
        let index = self.targets.len();
        let name = format!("{service}-{index}");
        let target = Target::start(&name, service, zone, flags, self.ip, &self.dir).await?;
        self.platform.register(target.vm());
        self.targets.push(target);
        Ok(index)
    }

    /// Starts a further daemon and registers it.
    ///
    /// # Errors
    /// The system's error if it cannot be started.
    pub async fn add_daemon(&mut self, zone: &str) -> io::Result<usize> {
        let index = self.daemons.len();
        let ips = [self.ip, next_ip()];
        let mut daemon = Daemon::new(index, zone, ips, &self.platform, &self.dir).await?;
        daemon.spawn()?;
        self.platform.register(daemon.vm());
        self.daemons.push(daemon);
        Ok(index)
    }

    /// Replaces the faults of the links to all targets.
    pub fn set_target_faults(&self, faults: LinkFaults) {
        for target in &self.targets {
            target.link.set(faults);
        }
    }

    /// Indices of the targets of a service.
    pub fn targets_of(&self, service: &str) -> Vec<usize> {
        let service = ServiceName::from(service);
        (0..self.targets.len())
            .filter(|&i| self.targets[i].service() == &service)
            .collect()
    }

    /// The controller row of the keyed service.
    pub fn controller_row(&self) -> Option<ControllerRow> {
        let row = self.platform.row(&format!("group/{KEYED}/0"))?;
        serde_json::from_str(&row.value).ok()
    }

    /// Index of the daemon that the controller row of the keyed service names as holder.
    pub fn controller(&self) -> Option<usize> {
        let holder = self.controller_row()?.holder.name;
        (0..self.daemons.len()).find(|&i| self.daemons[i].name == holder)
    }

    /// Whether the controller has as many standbys as there are daemons for, up to two.
    pub fn has_standbys(&self) -> bool {
        let standbys = self.controller_row().map_or(0, |row| row.standbys.len());
        standbys >= self.daemons.len().saturating_sub(1).min(2)
    }

    /// Owner of each assigned partition of the keyed service, as last written.
    pub fn assignments(&self) -> Map<u32, Owner> {
        let rows = self.platform.revisions(&format!("assign/{KEYED}/"));
        rows.iter().flat_map(assigned_owners).collect()
    }

    /// Whether every partition of the keyed service has an owner, as last written.
    pub fn is_assigned(&self) -> bool {
        let rows = self.platform.revisions(&format!("assign/{KEYED}/"));
        let latest: Map<_, _> = rows.iter().map(|row| (&row.name, row)).collect();
        let mut rows = latest.into_values().map(|row| {
            let row: AssignmentRow = serde_json::from_str(&row.value).expect("the row is readable");
            row.owners().all(|owner| owner.is_some())
        });
        rows.len() > 0 && rows.all(|assigned| assigned)
    }

    /// Number of partitions of the keyed service that its controller is moving; `None` if no daemon
    /// reports as its controller.
    pub async fn moves_pending(&self) -> Option<u64> {
        let controller = self.daemons.get(self.controller()?)?;
        let client = OperatorClient::new(vec![controller.operator_addr()]);
        let status: Status = client.get("/status").await.ok()?;
        let groups = status.groups.as_array()?.iter();
        let mut held = groups.filter(|group| group["role"] == "holder");
        held.next()?["moves"].as_u64()
    }

    /// Names of the targets that own partitions, as last written.
    pub fn owners(&self) -> Set<VmName> {
        let owners = self.assignments().into_values();
        owners.map(|owner| owner.target).collect()
    }

    /// Executions of all targets so far, in order of their ends.
    pub fn executions(&self) -> Vec<Execution> {
        let mut all: Vec<Execution> = self
            .targets
            .iter()
            .flat_map(|t| read_history(t.history()).expect("the history is readable"))
            .collect();
        all.sort_by_key(|e| e.end_us);
        all
    }

    /// Names of daemons and targets that exited without having been killed.
    pub fn crashed(&mut self) -> Vec<VmName> {
        let daemons = self.daemons.iter_mut().filter_map(|d| {
            let ended = d.child.as_mut()?.status().is_some();
            ended.then(|| d.name.clone())
        });
        let mut crashed: Vec<VmName> = daemons.collect();
        for target in &mut self.targets {
            if target.child.crashed() {
                crashed.push(target.name().clone());
            }
        }
        crashed
    }

    /// Ids of the processes of the daemons and targets that were started and not killed.
    pub fn process_ids(&self) -> Vec<u32> {
        let daemons = self.daemons.iter().filter_map(|d| d.child.as_ref());
        let children = daemons.chain(self.targets.iter().map(|t| &t.child));
        children.map(child::Child::id).collect()
    }

    /// Addresses for callers of the daemons that run.
    pub fn caller_addrs(&self) -> Vec<SocketAddr> {
        let running = self.daemons.iter().filter(|d| d.is_running());
        running.map(Daemon::caller_addr).collect()
    }
}

async fn permit() -> OwnedSemaphorePermit {
    static CLUSTERS: LazyLock<Arc<Semaphore>> =
        LazyLock::new(|| Arc::new(Semaphore::new(MAX_CONCURRENT_CLUSTERS)));
    let permit = Arc::clone(&CLUSTERS).acquire_owned().await;
    permit.expect("the semaphore is never closed")
}

/// A loopback address of this process. Connections leave from 127.0.0.1, so a port found free on
/// another address stays free until its user binds it, if nobody else binds port 0 there.
fn next_ip() -> IpAddr {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let id = std::process::id();
    let [_, _, high, low] = id.to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(
        127,
        high.max(1),
        low,
        (count % 250 + 1) as u8,
    ))
}

/// Waits until `condition` returns a value.
///
/// # Panics
/// With `what` if it has not done so within `limit`.
pub async fn wait_for<T, F, Fut>(what: &str, limit: Duration, mut condition: F) -> T
where
    F: FnMut() -> Fut,
    Fut: Future<Output = Option<T>>,
{
    let end = Instant::now() + limit;
    loop {
        if let Some(value) = condition().await {
            return value;
        }
        assert!(Instant::now() < end, "not within {limit:?}: {what}");
        sleep(POLL_INTERVAL).await;
    }
}

/// Waits until `condition` holds.
///
/// # Panics
/// With `what` if it does not hold within `limit`.
pub async fn wait_until(what: &str, limit: Duration, mut condition: impl FnMut() -> bool) {
    wait_for(what, limit, || {
        std::future::ready(condition().then_some(()))
    })
    .await;
}
