//! Reports of the operator port, as JSON.

use crate::{
    config::ConfigHead,
    declaration::Preset,
    peer::MemberStatus,
    table::TableVersion,
    world::{GroupId, Link, ServiceName, VmName, ZoneName},
};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Answer of a daemon that cannot give a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorReport {
    /// Why.
    pub error: String,
}

/// Whether a daemon serves callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Readiness {
    /// Whether it does.
    pub ready: bool,
    /// What it is missing.
    pub reasons: Vec<String>,
}

/// The state of the system as one daemon sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The daemon that reports.
    pub daemon: Link,
    /// Whether it serves callers.
    pub readiness: Readiness,
    /// The configuration in force there.
    pub config: Option<ConfigHead>,
    /// All daemons, and the configuration version that each has in force.
    pub members: Vec<MemberStatus>,
    /// The control groups that this daemon controls or stands by for.
    pub groups: serde_json::Value,
}

/// The configuration in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigReport {
    /// The head.
    pub head: ConfigHead,
    /// The declaration's TOML text.
    pub body: Arc<str>,
}

/// The declared presets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PresetReport {
    /// Version of the configuration.
    pub version: u64,
    /// The preset in force.
    pub in_force: Arc<str>,
    /// All presets.
    pub presets: Vec<Preset>,
}

/// A target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    /// Name of its VM.
    pub name: VmName,
    /// The service that it is an endpoint of.
    pub service: Option<ServiceName>,
    /// Availability zone; `None` if the platform does not list it.
    pub zone: Option<ZoneName>,
    /// Whether the platform lists it.
    pub listed: bool,
    /// Whether an operator asked for it to be emptied.
    pub drained: bool,
    /// Whether it is to be emptied, by an operator or the platform.
    pub leaving: bool,
    /// Partitions that it owns.
    pub partitions: usize,
}

/// The owners of a group's partitions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignmentReport {
    /// The group.
    pub group: GroupId,
    /// Version of the routing table.
    pub version: TableVersion,
    /// Partitions of each owner.
    pub owners: Vec<(VmName, Vec<u32>)>,
    /// Partitions without an owner.
    pub unassigned: Vec<u32>,
}

/// Where a key belongs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyReport {
    /// The service.
    pub service: ServiceName,
    /// The key.
    pub key: Arc<str>,
    /// Its partition.
    pub partition: u32,
    /// The owner, if there is one.
    pub owner: Option<VmName>,
    /// Ownership epoch of the owner.
    pub epoch: Option<u64>,
}
