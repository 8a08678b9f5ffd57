//! The daemon's view of the deployment, as an immutable snapshot that threads share.

use crate::{
    collections::Map,
    config::ActiveConfig,
    partition::{Partition, partition_of},
    peer::message::MemberReport,
    table::RoutingTable,
    world::{Contract, GroupId, ServiceName, Target, TargetKey, Vm, VmName},
};
use arc_swap::ArcSwap;
use slotmap::SlotMap;
use std::sync::Arc;

/// The current snapshot. Loading it never blocks.
pub type SharedSnapshot = Arc<ArcSwap<Snapshot>>;

/// The daemon's view of VMs, configuration, routing tables and members.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The configuration in force; `None` until the first one arrives.
    pub config: Option<Arc<ActiveConfig>>,
    /// The platform's latest list of VMs.
    pub vms: Arc<Vec<Vm>>,
    /// Other daemons that are alive.
    pub members: Arc<Vec<MemberReport>>,
    /// Targets of all services. A key stays valid while its target is listed.
    pub targets: SlotMap<TargetKey, Target>,
    /// Keys of targets by name.
    pub target_names: Map<VmName, TargetKey>,
    /// Services by name.
    pub services: Map<ServiceName, ServiceView>,
    /// Routing tables of all groups.
    pub tables: Map<GroupId, Arc<RoutingTable>>,
}

impl Snapshot {
    /// What is missing before callers can be served; empty if nothing is. Needed are a configuration
    /// in force and a routing table for every keyed service.
    pub fn missing_parts(&self) -> Vec<String> {
        if self.config.is_none() {
            return vec!["no configuration is known".into()];
        }
        let without_table = |view: &&ServiceView| view.contract.keyed && view.owners.is_empty();
        let services = self.services.values().filter(without_table);
        services
            .map(|view| {
                format!(
                    "no routing table is known for service {}",
                    view.contract.name
                )
            })
            .collect()
    }

    /// Whether callers can be served.
    pub fn is_ready(&self) -> bool {
        self.missing_parts().is_empty()
    }
}

/// A service as the request path sees it.
#[derive(Clone, Debug)]
pub struct ServiceView {
    /// Its contract.
    pub contract: Arc<Contract>,
    /// Its targets.
    pub targets: Vec<TargetKey>,
    /// Owner and ownership epoch of each partition; empty for a service that is not
    /// keyed, or whose routing table has not arrived.
    pub owners: Vec<Option<(TargetKey, u64)>>,
}

impl ServiceView {
    /// The partition of `key`, its owner and the ownership epoch.
    pub fn owner_of(&self, key: &str) -> (Partition, Option<(TargetKey, u64)>) {
        let partition = partition_of(key, self.contract.partitions);
        let owner = self.owners.get(partition.0 as usize).copied().flatten();
        (partition, owner)
    }
}
