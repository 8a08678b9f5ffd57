//! Reports that the operator port returns as JSON.

use crate::{
    config::ConfigHead,
    declaration::Preset,
    peer::MemberStatus,
    table::TableVersion,
    world::{GroupId, Link, ServiceName, VmName, ZoneName},
};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Response of a daemon that cannot return a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorReport {
    /// The reason, for people.
    pub error: String,
}

/// Whether a daemon is ready to serve callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Readiness {
    /// Whether it is ready.
    pub ready: bool,
    /// Why it is not ready; empty if it is.
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
    /// Status of the groups for which this daemon is controller or standby.
    pub groups: serde_json::Value,
}

/// The configuration in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigReport {
    /// Version, preset, author and time of the configuration.
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
    /// Whether an operator drained it.
    pub drained: bool,
    /// Whether it is being drained, by an operator or by the platform.
    pub leaving: bool,
    /// Number of partitions that it owns.
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

/// The partition and owner of a key.
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
