//! Stand-ins for what surrounds the router, and the load tool.

pub mod caller;
pub mod checker;
pub mod cluster;
pub mod load;
pub mod local;
pub mod platform;
pub mod ports;
pub mod processor_wait;
pub mod proxy;
pub mod recovery;
pub mod scenario;
pub mod server;
pub mod target;
pub mod workload;
