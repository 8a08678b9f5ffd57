//! What a service promises and expects: its contract.

use serde::{Deserialize, Serialize};
use std::{fmt, sync::Arc};
use strum::{Display, EnumString};

/// The name of a service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServiceName(pub Arc<str>);

impl From<&str> for ServiceName {
    fn from(text: &str) -> Self {
        Self(text.into())
    }
}

impl fmt::Display for ServiceName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A control group: the part of a keyed service that one controller assigns.
///
/// Every service has one group today; rows and messages carry the index so
/// that a large service can be divided without a format change.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GroupId {
    /// The keyed service.
    pub service: ServiceName,
    /// Index of the group within the service.
    pub index: u16,
}

impl GroupId {
    /// The one control group that `service` has today.
    pub fn of(service: &ServiceName) -> Self {
        Self {
            service: service.clone(),
            index: 0,
        }
    }
}

impl fmt::Display for GroupId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.index)
    }
}

/// How a repeated idempotency key is recognised.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum DuplicateCheck {
    /// A journal in the table service, written before the request is sent.
    #[default]
    Journal,
    /// The owning target remembers keys itself.
    Target,
}

/// What a service promises and expects.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// Unique name; the first path segment of its requests.
    pub name: ServiceName,
    /// Whether it is divided by key.
    #[serde(default)]
    pub keyed: bool,
    /// Number of partitions of a keyed service; fixed for its life.
    #[serde(default = "default_partitions")]
    pub partitions: u32,
    /// Whether its targets check grants themselves.
    #[serde(default = "default_true")]
    pub checks_grants: bool,
    /// Requests that an endpoint runs at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Connections that an endpoint accepts.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// How a repeated idempotency key is recognised.
    #[serde(default)]
    pub duplicate_check: DuplicateCheck,
    /// Path prefixes (after the service name) whose POST and PATCH requests are idempotent.
    #[serde(default)]
    pub idempotent_paths: Vec<Arc<str>>,
    /// Deadline of a request that names none, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub default_timeout_ms: u64,
}

/// Partitions of a keyed service whose declaration names no count.
pub const DEFAULT_PARTITIONS: u32 = 1024;

fn default_partitions() -> u32 {
    DEFAULT_PARTITIONS
}

fn default_true() -> bool {
    true
}

fn default_slots() -> u32 {
    4
}

fn default_connections() -> u32 {
    100
}

fn default_timeout_ms() -> u64 {
    2_000
}
