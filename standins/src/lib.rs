//! Stand-ins for what surrounds the router.

pub mod platform;
pub mod proxy;
pub mod server;
pub mod target;
