//! Exclusive ownership of partitions: leases, grants and the controller.

pub mod lease;
pub mod timing;
