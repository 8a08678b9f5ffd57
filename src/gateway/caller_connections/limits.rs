//! The bounds on connections that follow from the resources of the process.

use super::{CONNECTION_BYTES, ConnectionLimits};
use crate::{clock::Millis, gateway::memory_pool::MemoryShares};

/// Descriptors of the process that are not for sockets.
const FILE_FDS: usize = 200;
/// Of the descriptors for sockets, callers may take this many percent. The others are for endpoints,
/// the store and other daemons.
const CALLER_FDS_PERCENT: usize = 75;
/// Most connections of the status address. The load balancer and operators open few.
const MAX_STATUS_CONNECTIONS: usize = 64;
/// The status address has at most one in this many of the connections of callers.
const STATUS_DIVISOR: usize = 8;

/// Bounds that an operator may set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerBounds {
    /// Most open connections of callers; `None` for what the descriptors allow.
    pub max_connections: Option<usize>,
    /// Longest time without progress in the middle of a head, a body or a response.
    pub stall_timeout: Millis,
    /// Longest time for a response to be written.
    pub response_timeout: Millis,
}

impl Default for CallerBounds {
    fn default() -> Self {
        Self {
            max_connections: None,
            stall_timeout: Millis(20_000),
            response_timeout: Millis(120_000),
        }
    }
}

/// The bounds of the two addresses that callers reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenerLimits {
    /// Bounds of the caller address.
    pub callers: ConnectionLimits,
    /// Bounds of the status address.
    pub status: ConnectionLimits,
}

impl ListenerLimits {
    /// The bounds of a process that may open `max_fds` descriptors.
    pub fn of_process(max_fds: usize, shares: MemoryShares, bounds: CallerBounds) -> Self {
        let sockets = max_fds.saturating_sub(FILE_FDS) * CALLER_FDS_PERCENT / 100;
        let status = (sockets / STATUS_DIVISOR).clamp(1, MAX_STATUS_CONNECTIONS);
        let allowed = sockets.saturating_sub(status).max(1);
        let callers = bounds.max_connections.unwrap_or(allowed).min(allowed);
        let limits = |max_connections, max_bytes| ConnectionLimits {
            max_connections,
            max_bytes,
            stall_timeout: bounds.stall_timeout,
            response_timeout: bounds.response_timeout,
        };
        Self {
            callers: limits(callers, shares.connections),
            status: limits(status, status * 2 * CONNECTION_BYTES),
        }
    }
}
