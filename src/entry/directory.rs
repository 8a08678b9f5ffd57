//! The directory: a thread that owns the daemon's view of VMs, configuration, routing tables and
//! members, and publishes it as snapshots.

use super::snapshot::{ServiceView, SharedSnapshot, Snapshot};
use crate::{
    collections::{Map, Set},
    config::{ActiveConfig, ConfigSnapshot},
    peer::message::MemberReport,
    table::{RoutingTable, TableDelta},
    world::{GroupId, Target, Vm, VmName},
};
use arc_swap::ArcSwap;
use crossbeam_channel::{Receiver, Sender, bounded};
use std::{sync::Arc, thread};
use tokio::sync::watch;

/// Capacity of the update channel, in updates; senders block while it is full.
const QUEUE_CAPACITY: usize = 256;

/// An update of the daemon's view.
#[derive(Clone, Debug)]
pub enum DirectoryUpdate {
    /// The platform's list of VMs.
    Vms(Vec<Vm>),
    /// A configuration; ignored unless its version is higher than the one in force.
    Config(ConfigSnapshot),
    /// A routing table; ignored unless its version is higher.
    Table(RoutingTable),
    /// A change to a routing table; ignored unless it starts from the current version.
    TableDelta(TableDelta),
    /// The other daemons that are alive.
    Members(Vec<MemberReport>),
}

/// Handle to the directory thread.
#[derive(Clone, Debug)]
pub struct Directory {
    tx: Sender<DirectoryUpdate>,
    snapshot: SharedSnapshot,
    changed: watch::Receiver<u64>,
}

impl Directory {
    /// Starts the thread with an empty snapshot. It ends when all handles are dropped.
    pub fn start() -> Self {
        let (tx, rx) = bounded(QUEUE_CAPACITY);
        let (changed_tx, changed) = watch::channel(0);
        let snapshot: SharedSnapshot = Arc::new(ArcSwap::from_pointee(Snapshot::default()));
        let shared = Arc::clone(&snapshot);
        thread::Builder::new()
            .name("directory".into())
            .spawn(move || run(&rx, &shared, &changed_tx))
            .expect("the directory thread can be started");
        Self {
            tx,
            snapshot,
            changed,
        }
    }

    /// Queues an update for the thread; blocks while the queue is full.
    pub fn submit(&self, update: DirectoryUpdate) {
        // The thread only ends once every handle is gone, so this cannot fail while one exists.
        let _ = self.tx.send(update);
    }

    /// The snapshot that the thread publishes to.
    pub fn snapshot(&self) -> &SharedSnapshot {
        &self.snapshot
    }

    /// A counter that increases with each published snapshot.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.clone()
    }
}

fn run(rx: &Receiver<DirectoryUpdate>, shared: &SharedSnapshot, changed: &watch::Sender<u64>) {
    let mut current = Snapshot::default();
    while let Ok(update) = rx.recv() {
        if !apply_update(&mut current, update) {
            continue;
        }
        while let Ok(next_update) = rx.try_recv() {
            apply_update(&mut current, next_update);
        }
        current.refresh();
        shared.store(Arc::new(current.clone()));
        changed.send_modify(|count| *count += 1);
    }
}

/// Applies `update` to `current`; returns whether anything changed.
fn apply_update(current: &mut Snapshot, update: DirectoryUpdate) -> bool {
    match update {
        DirectoryUpdate::Vms(vms) if *current.vms != vms => current.vms = Arc::new(vms),
        DirectoryUpdate::Config(snapshot) => return apply_config(current, snapshot),
        DirectoryUpdate::Table(table) => return apply_table(current, table),
        DirectoryUpdate::TableDelta(delta) => return apply_delta(current, &delta),
        DirectoryUpdate::Members(members) if *current.members != members => {
            current.members = Arc::new(members);
        }
        DirectoryUpdate::Vms(_) | DirectoryUpdate::Members(_) => return false,
    }
    true
}

fn apply_config(current: &mut Snapshot, snapshot: ConfigSnapshot) -> bool {
    let in_force = current.config.as_ref().map_or(0, |c| c.version());
    if snapshot.head.version <= in_force {
        return false;
    }
    match ActiveConfig::from_snapshot(snapshot) {
        Ok(config) => {
            log::info!(target: "config", version:% = config.version(); "Configuration is in force.");
            current.config = Some(Arc::new(config));
            true
        }
        Err(e) => {
            log::error!(target: "config", error:% = e; "Configuration rejected; the current one, if any, stays in force.");
            false
        }
    }
}

fn apply_table(current: &mut Snapshot, table: RoutingTable) -> bool {
    let current_version = current
        .tables
        .get(&table.group)
        .map(|t| t.version)
        .unwrap_or_default();
    if table.version <= current_version {
        return false;
    }
    current.tables.insert(table.group.clone(), Arc::new(table));
    true
}

fn apply_delta(current: &mut Snapshot, delta: &TableDelta) -> bool {
    current
        .tables
        .get_mut(&delta.group)
        .is_some_and(|table| delta.from == table.version && Arc::make_mut(table).apply(delta))
}

impl Snapshot {
    /// Recomputes targets and service views after a change.
    fn refresh(&mut self) {
        let drained = self
            .config
            .as_ref()
            .map(|c| c.drained.clone())
            .unwrap_or_default();
        self.refresh_targets(&drained);
        self.refresh_services();
    }

    fn refresh_targets(&mut self, drained: &Set<VmName>) {
        let listed: Map<VmName, Target> = self
            .vms
            .iter()
            .filter_map(Target::from_vm)
            .map(|target| (target.name.clone(), target))
            .collect();
        self.targets
            .retain(|_, target| listed.contains_key(&target.name));
        self.target_names
            .retain(|name, _| listed.contains_key(name));
        for (name, mut target) in listed {
            target.leaving |= drained.contains(&name);
            match self.target_names.get(&name) {
                Some(&key) => self.targets[key] = target,
                None => {
                    let key = self.targets.insert(target);
                    self.target_names.insert(name, key);
                }
            }
        }
    }

    fn refresh_services(&mut self) {
        let Some(config) = self.config.clone() else {
            return;
        };
        self.services = config
            .declaration
            .services
            .iter()
            .map(|contract| {
                let targets = self
                    .targets
                    .iter()
                    .filter(|(_, target)| target.service == contract.name)
                    .map(|(key, _)| key)
                    .collect();
                let group = GroupId::of(&contract.name);
                let view = ServiceView {
                    contract: Arc::new(contract.clone()),
                    targets,
                    owners: self.owners_of(&group),
                };
                (contract.name.clone(), view)
            })
            .collect();
    }

    fn owners_of(&self, group: &GroupId) -> Vec<Option<(crate::world::TargetKey, u64)>> {
        let Some(table) = self.tables.get(group) else {
            return Vec::new();
        };
        table
            .owners
            .iter()
            .map(|owner| {
                let owner = owner.as_ref()?;
                Some((*self.target_names.get(&owner.target)?, owner.epoch))
            })
            .collect()
    }
}
