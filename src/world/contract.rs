//! The contract of a service: what it promises and expects.

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

/// A control group: a keyed service or part of it whose partitions one controller assigns.
///
/// Every service currently has one group. Rows and messages carry the index so that a large service
/// can be divided later without a change of format.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GroupId {
    /// The keyed service.
    pub service: ServiceName,
    /// Index of the group within the service.
    pub index: u16,
}

impl GroupId {
    /// The only control group that `service` currently has.
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

/// Where idempotency keys are recorded to recognise repeated requests.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum DuplicateCheck {
    /// A journal in the table service, written before the request is sent.
    #[default]
    Journal,
    /// The target that owns the key records it.
    Target,
}

/// The contract of a service, as part of a declaration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// Unique name; the first path segment of its requests.
    pub name: ServiceName,
    /// Whether its requests have keys and each key is owned by one target.
    #[serde(default)]
    pub keyed: bool,
    /// Number of partitions of a keyed service. It cannot change while the service exists.
    #[serde(default = "default_partitions")]
    pub partitions: u32,
    /// Whether its targets check grants themselves.
    #[serde(default = "default_true")]
    pub checks_grants: bool,
    /// Concurrent requests per endpoint.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Connections that an endpoint accepts, at least `slots`.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// Where idempotency keys are recorded.
    #[serde(default)]
    pub duplicate_check: DuplicateCheck,
    /// Path prefixes (after the service name) whose POST and PATCH requests are idempotent.
    #[serde(default)]
    pub idempotent_paths: Vec<Arc<str>>,
    /// Deadline of requests that do not state one, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub default_timeout_ms: u64,
}

/// Partitions of a keyed service whose declaration states no number.
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
