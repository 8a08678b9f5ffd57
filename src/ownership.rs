//! Exclusive ownership of partitions: leases, grants and the controller.

pub mod assignments;
pub mod controller;
pub mod driver;
pub mod facts;
pub mod granter;
pub mod heat;
pub mod hold;
pub mod lease;
pub mod placement;
pub mod row;
pub mod term;
pub mod timing;
