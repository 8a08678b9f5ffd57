//! Identity and address of a daemon as a peer.

use super::{Incarnation, VmName, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One end of a link between daemons: a daemon in a certain incarnation, and its address.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Link {
    /// Name of the daemon's VM.
    pub name: VmName,
    /// Incarnation of the daemon; a restarted daemon has another one.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub zone: ZoneName,
    /// Address of its peer server.
    pub peer_addr: SocketAddr,
}
