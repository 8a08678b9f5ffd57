//! Exclusive ownership of partitions: leases, grants and the controller.

pub mod assignments;
pub mod cluster_view;
pub mod controller;
pub mod controller_lease;
pub mod driver;
pub mod hold;
pub mod lease;
pub mod partition_rates;
pub mod placement;
pub mod row;
pub mod target_lease;
pub mod timing;
