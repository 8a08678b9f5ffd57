//! The rows of a control group in the store.

use crate::{
    table::Owner,
    world::{GroupId, Link, VmName},
};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The controller row of a group: who controls it and under which epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControllerRow {
    /// Controller epoch; incremented by every takeover and at the end of hold mode.
    pub epoch: u64,
    /// Daemon that holds the controller lease.
    pub holder: Link,
    /// Number of the write since the holder's takeover, from 1.
    pub lease: u64,
    /// Daemons that must acknowledge hold mode, in the order in which they may take over.
    pub standbys: Vec<Link>,
    /// Length of the leases that the holder may grant in hold mode, in milliseconds.
    pub hold_ms: u64,
    /// Targets that may hold a lease granted in hold mode.
    pub outstanding: Vec<OutstandingHold>,
    /// Targets that do not check grants, in order of name, each with the front daemon that holds
    /// the lease in its place. No other daemon is granted a lease for it.
    #[serde(default)]
    pub fronts: Vec<(VmName, Link)>,
    /// Whether the holder has released the lease, so that a successor need not wait for its end.
    pub released: bool,
    /// Operation id of the write; resolves a write whose answer was lost.
    pub operation: Arc<str>,
}

/// A target that may hold a lease granted in hold mode.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutstandingHold {
    /// The target.
    pub target: VmName,
    /// Length of its lease, in milliseconds.
    pub hold_ms: u64,
}

/// An assignment row: the owners of consecutive partitions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignmentRow {
    /// Epoch of the controller that wrote it.
    pub controller_epoch: u64,
    /// Operation id of the write.
    pub operation: Arc<str>,
    /// Targets named in `owners`.
    targets: Vec<VmName>,
    /// Index into `targets` and ownership epoch of each partition; epoch 0 stands for no owner.
    owners: Vec<(u32, u64)>,
}

impl AssignmentRow {
    /// Creates a row for `owners`.
    pub fn new(owners: &[Option<Owner>], controller_epoch: u64, operation: Arc<str>) -> Self {
        let mut targets: Vec<VmName> = owners.iter().flatten().map(|o| o.target.clone()).collect();
        targets.sort();
        targets.dedup();
        let owners = owners
            .iter()
            .map(|owner| match owner {
                Some(owner) => {
                    let index = targets.binary_search(&owner.target).unwrap_or_default();
                    (index as u32, owner.epoch)
                }
                None => (0, 0),
            })
            .collect();
        Self {
            controller_epoch,
            operation,
            targets,
            owners,
        }
    }

    /// The owner of each partition of the row.
    pub fn owners(&self) -> impl Iterator<Item = Option<Owner>> + '_ {
        self.owners.iter().map(|&(index, epoch)| {
            let target = self.targets.get(index as usize)?.clone();
            (epoch > 0).then_some(Owner { target, epoch })
        })
    }
}

/// Name of the controller row of `group`.
pub fn controller_row_name(group: &GroupId) -> String {
    format!("group/{group}")
}

/// Prefix of the names of the assignment rows of `group`.
pub fn assignment_prefix(group: &GroupId) -> String {
    format!("assign/{group}/")
}

/// Name of the assignment row `index` of `group`.
pub fn assignment_row_name(group: &GroupId, index: usize) -> String {
    format!("assign/{group}/{index}")
}

/// Serializes a row's content.
pub fn to_json<T: Serialize>(content: &T) -> Arc<str> {
    serde_json::to_string(content)
        .expect("rows are valid JSON")
        .into()
}
