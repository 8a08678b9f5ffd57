//! Types for the VMs, zones, targets, links and service contracts that the router works with.

pub mod contract;
pub mod link;
pub mod target;
pub mod vm;
pub mod zone;

pub use contract::{Contract, DuplicateCheck, GroupId, ServiceName};
pub use link::Link;
pub use target::{Target, TargetKey};
pub use vm::{Incarnation, Vm, VmName, VmRole, VmState};
pub use zone::ZoneName;
