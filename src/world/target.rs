//! Targets: the endpoints of services.

use super::{ServiceName, Vm, VmName, VmRole, VmState, ZoneName};
use slotmap::new_key_type;
use std::net::SocketAddr;

new_key_type! {
    /// Key of a [`Target`] in the slot map of a snapshot; stays valid in later snapshots until the
    /// target is removed.
    pub struct TargetKey;
}

/// An endpoint of a service.
#[derive(Clone, Debug)]
pub struct Target {
    /// Name of its VM.
    pub name: VmName,
    /// The service that it is an endpoint of.
    pub service: ServiceName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Address that serves requests, grants and health.
    pub addr: SocketAddr,
    /// Whether the platform is about to stop its VM or an operator drains it.
    pub leaving: bool,
}

impl Target {
    /// The target that `vm` runs; `None` if it is an entry VM.
    pub fn from_vm(vm: &Vm) -> Option<Self> {
        let VmRole::Target { service } = &vm.role else {
            return None;
        };
        Some(Self {
            name: vm.name.clone(),
            service: service.clone(),
            zone: vm.zone.clone(),
            addr: vm.addr,
            leaving: vm.state == VmState::Leaving,
        })
    }
}
