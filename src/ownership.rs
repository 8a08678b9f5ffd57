//! Exclusive ownership of partitions: leases, grants and the controller.

pub mod driver;
pub mod lease;
pub mod timing;
