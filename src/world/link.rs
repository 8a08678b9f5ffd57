//! Links between daemons.

use super::{Incarnation, VmName, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One end of a link between daemons: a particular run of a particular daemon.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Link {
    /// Name of the daemon's VM.
    pub name: VmName,
    /// The run of the daemon.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub zone: ZoneName,
    /// Address of its peer server.
    pub peer_addr: SocketAddr,
}
