//! Stand-ins for what surrounds the router, and the load tool.

pub mod cluster;
pub mod load;
pub mod platform;
pub mod proxy;
pub mod server;
pub mod target;
