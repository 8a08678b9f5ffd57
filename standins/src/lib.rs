//! Stand-ins for what surrounds the router.

pub mod caller;
pub mod cluster;
pub mod judge;
pub mod platform;
pub mod proxy;
pub mod server;
pub mod target;
pub mod workload;
