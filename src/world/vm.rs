//! Virtual machines as the platform lists them.

use super::{ServiceName, ZoneName};
use serde::{Deserialize, Serialize};
use std::{fmt, net::SocketAddr, sync::Arc};
use strum::{Display, EnumString};

/// The name of a VM, unique within the platform.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct VmName(pub Arc<str>);

impl From<&str> for VmName {
    fn from(text: &str) -> Self {
        Self(text.into())
    }
}

impl fmt::Display for VmName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Identifies one run of a process. A restarted process has a new incarnation; the order of values
/// has no meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Creates a random incarnation.
    pub fn random() -> Self {
        Self(rand::random())
    }
}

/// Lifecycle state of a VM according to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
pub enum VmState {
    /// Running.
    Live,
    /// About to be stopped.
    Leaving,
}

/// What runs on a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmRole {
    /// An entry VM, which runs the daemon.
    Entry {
        /// Address of the daemon's peer server.
        peer_addr: SocketAddr,
        /// Address of the daemon's operator port.
        operator_addr: SocketAddr,
    },
    /// A target: an endpoint of a service.
    Target {
        /// The service that it is an endpoint of.
        service: ServiceName,
    },
}

/// An entry of the platform's VM list, which lags behind the actual state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Unique name.
    pub name: VmName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Address that serves requests.
    pub addr: SocketAddr,
    /// Live or leaving.
    pub state: VmState,
    /// What runs on it.
    pub role: VmRole,
}
