//! The thread that runs a controller for each keyed service and carries out its actions.

mod executor;

use super::{
    cluster_view::{ClusterView, is_in_quiet_hours},
    controller::{Controller, Event},
};
use crate::{
    clock::Clock,
    collections::{Map, Set},
    entry::{directory::Directory, snapshot::Snapshot},
    http_client::HttpClient,
    peer::message::{HoldReply, HoldRequest},
    store::StoreClient,
    target_api::{GrantReply, GrantRequest},
    world::{GroupId, Link, VmName},
};
use executor::ActionExecutor;
use serde::{Deserialize, Serialize};
use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};
use tokio::{sync::mpsc, time::MissedTickBehavior};

/// Capacity of the driver's event queue; tasks wait while it is full.
const EVENT_QUEUE_LENGTH: usize = 4_096;
/// Interval between ticks of the controllers.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between checks whether a release is complete.
const RELEASE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Delivers a hold reply to the driver.
pub type HoldReplyFn = Box<dyn FnOnce(HoldReply) + Send>;
/// Sends a hold request to a daemon; calls the function once with the reply, or drops it if there
/// is none. It must not block.
pub type SendHold = Arc<dyn Fn(Link, HoldRequest, HoldReplyFn) + Send + Sync>;
/// Delivers the reply of a front daemon to the driver; `None` if there is none.
pub type GrantReplyFn = Box<dyn FnOnce(Option<GrantReply>) + Send>;
/// Sends a grant for a target that does not check grants to its front daemon; calls the function
/// once with the reply. It must not block.
pub type SendGrant = Arc<dyn Fn(Link, VmName, GrantRequest, GrantReplyFn) + Send + Sync>;

/// Identity, clients and callbacks that the driver uses.
#[derive(Clone)]
pub struct DriverContext {
    /// This incarnation of the daemon.
    pub link: Link,
    /// The daemon's clock.
    pub clock: Clock,
    /// The platform's store.
    pub store: StoreClient,
    /// Sends grants to targets that check them. Only the driver's thread may use it, because its
    /// connections are bound to the runtime that opened them.
    pub http: HttpClient,
    /// Supplies configuration, VMs and members, and receives the routing tables.
    pub directory: Directory,
    /// Sends hold requests to other daemons.
    pub send_hold: SendHold,
    /// Sends grants to front daemons.
    pub send_grant: SendGrant,
}

/// Status of the driver for operators.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DriverStatus {
    /// One entry for each group.
    pub groups: Vec<GroupStatus>,
}

/// Status of one group for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// The control group.
    pub group: GroupId,
    /// `holder`, `standby`, `delegate` or `bystander`.
    pub role: Arc<str>,
    /// Controller epoch of the latest row seen.
    pub epoch: u64,
    /// Remaining controller lease, in milliseconds; 0 unless this daemon is the holder.
    pub lease_left_ms: u64,
    /// The standbys.
    pub standbys: Vec<VmName>,
    /// Whether this daemon is the holder and in hold mode.
    pub hold: bool,
    /// Number of partitions being moved.
    pub moves: u32,
    /// Targets that may still hold a lease granted in hold mode.
    pub outstanding_holds: Vec<VmName>,
}

/// Handle to the driver's thread; the thread ends once all handles are dropped.
#[derive(Clone)]
pub struct DriverHandle {
    shared: Arc<Shared>,
    _alive: mpsc::Sender<()>,
}

struct Shared {
    context: DriverContext,
    groups: Mutex<Map<GroupId, Controller>>,
}

/// An event for the controller of a group.
type Delivery = (GroupId, Event);

/// Starts the driver's thread.
pub fn spawn(context: DriverContext) -> DriverHandle {
    let shared = Arc::new(Shared {
        context,
        groups: Mutex::default(),
    });
    let (alive_tx, alive) = mpsc::channel(1);
    let in_thread = Arc::clone(&shared);
    thread::Builder::new()
        .name("ownership".into())
        .spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("the system can start a runtime");
            runtime.block_on(run(in_thread, alive));
        })
        .expect("the system can start a thread");
    DriverHandle {
        shared,
        _alive: alive_tx,
    }
}

impl DriverHandle {
    /// Answers a hold request of a controller that names this daemon as a standby. Performs no I/O.
    pub fn answer_hold(&self, req: HoldRequest) -> HoldReply {
        let refusal = HoldReply {
            group: req.group.clone(),
            controller_epoch: req.controller_epoch,
            standby: self.shared.context.link.incarnation,
            acknowledged: false,
        };
        match self.shared.lock().get_mut(&req.group) {
            Some(controller) => controller.answer_hold(&req),
            None => refusal,
        }
    }

    /// The groups that this daemon controls.
    pub fn controls(&self) -> Vec<GroupId> {
        let now = self.shared.context.clock.now();
        let groups = self.shared.lock();
        let held = groups.iter().filter(|(_, c)| c.is_holder(now));
        held.map(|(group, _)| group.clone()).collect()
    }

    /// Status for operators.
    pub fn status(&self) -> DriverStatus {
        let now = self.shared.context.clock.now();
        let groups = self.shared.lock();
        let mut groups: Vec<GroupStatus> = groups
            .iter()
            .map(|(group, controller)| {
                let status = controller.status(now);
                GroupStatus {
                    group: group.clone(),
                    role: status.role.into(),
                    epoch: status.epoch,
                    lease_left_ms: status.lease_left.0,
                    standbys: status.standbys,
                    hold: status.hold,
                    moves: status.moves as u32,
                    outstanding_holds: status.outstanding,
                }
            })
            .collect();
        groups.sort_by(|a, b| a.group.cmp(&b.group));
        DriverStatus { groups }
    }

    /// Releases all groups for a planned stop; blocks until that is done or `limit` has passed.
    /// Returns whether all groups were released. Afterwards this daemon takes over no group.
    pub fn release(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        for controller in self.shared.lock().values_mut() {
            controller.stop();
        }
        loop {
            let released = self.shared.lock().values().all(Controller::is_released);
            if released || Instant::now() >= deadline {
                return released;
            }
            thread::sleep(RELEASE_POLL_INTERVAL);
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Map<GroupId, Controller>> {
        self.groups.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds controllers for new keyed services and removes those of removed services.
    fn sync_groups(&self, snapshot: &Snapshot) -> Vec<GroupId> {
        let Some(config) = &snapshot.config else {
            return Vec::new();
        };
        let services = config.declaration.services.iter().filter(|s| s.keyed);
        let keyed_groups: Map<GroupId, u32> = services
            .map(|contract| {
                let group = GroupId::of(&contract.name);
                (group, contract.partitions)
            })
            .collect();
        let mut groups = self.lock();
        groups.retain(|group, _| keyed_groups.contains_key(group));
        for (group, partitions) in &keyed_groups {
            groups.entry(group.clone()).or_insert_with(|| {
                let link = self.context.link.clone();
                Controller::new(link, group.clone(), *partitions)
            });
        }
        keyed_groups.into_keys().collect()
    }
}

async fn run(shared: Arc<Shared>, mut alive: mpsc::Receiver<()>) {
    let (tx, mut rx) = mpsc::channel::<Delivery>(EVENT_QUEUE_LENGTH);
    let executor = ActionExecutor::new(shared.context.clone(), tx);
    let mut changes = shared.context.directory.changes();
    let mut tick = tokio::time::interval(TICK_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut quiet_presets = Set::default();
    refresh(&shared, &executor, &mut quiet_presets);
    loop {
        tokio::select! {
            _ = alive.recv() => return,
            Some((group, event)) = rx.recv() => deliver(&shared, &executor, &group, event),
            _ = tick.tick() => tick_all(&shared, &executor, &mut quiet_presets),
            Ok(()) = changes.changed() => refresh(&shared, &executor, &mut quiet_presets),
        }
    }
}

fn deliver(shared: &Shared, executor: &ActionExecutor, group: &GroupId, event: Event) {
    let actions = match shared.lock().get_mut(group) {
        Some(controller) => controller.handle(event, shared.context.clock.now()),
        None => return,
    };
    for action in actions {
        executor.execute(group, action);
    }
}

fn tick_all(shared: &Shared, executor: &ActionExecutor, quiet_presets: &mut Set<Arc<str>>) {
    if preset_quiet_state(shared).is_some_and(|(name, now)| quiet_presets.contains(&name) != now) {
        refresh(shared, executor, quiet_presets);
    }
    let groups: Vec<GroupId> = shared.lock().keys().cloned().collect();
    for group in groups {
        deliver(shared, executor, &group, Event::Tick);
    }
}

/// Sends the current cluster view to all controllers. During the quiet hours of the preset in use,
/// `quiet_presets` contains its name.
fn refresh(shared: &Shared, executor: &ActionExecutor, quiet_presets: &mut Set<Arc<str>>) {
    let snapshot = shared.context.directory.snapshot().load_full();
    let preset = preset_quiet_state(shared);
    quiet_presets.clear();
    let is_quiet = preset.as_ref().is_some_and(|(_, now)| *now);
    quiet_presets.extend(preset.filter(|_| is_quiet).map(|(name, _)| name));
    for group in shared.sync_groups(&snapshot) {
        if let Some(cluster) = ClusterView::from_snapshot(&snapshot, &group.service, is_quiet) {
            deliver(shared, executor, &group, Event::ClusterChanged(cluster));
        }
    }
}

/// Name of the preset in use, and whether its quiet hours apply now.
fn preset_quiet_state(shared: &Shared) -> Option<(Arc<str>, bool)> {
    let snapshot = shared.context.directory.snapshot().load();
    let preset = &snapshot.config.as_ref()?.preset;
    let time = jiff::Timestamp::now().to_zoned(jiff::tz::TimeZone::UTC);
    let minute =
        u32::from(time.hour().unsigned_abs()) * 60 + u32::from(time.minute().unsigned_abs());
    let quiet = is_in_quiet_hours(&preset.quiet_hours, minute);
    Some((Arc::clone(&preset.name), quiet))
}
