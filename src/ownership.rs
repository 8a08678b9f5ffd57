//! Exclusive ownership of partitions: leases, grants and the controller.

pub mod placement;
