//! Targets: the endpoints of services.

use super::{ServiceName, Vm, VmName, VmRole, VmState, ZoneName};
use slotmap::new_key_type;
use std::net::SocketAddr;

new_key_type! {
    /// Refers to a [`Target`] in the arena of the current snapshot and of later ones.
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
    /// The platform or an operator wants it emptied.
    pub leaving: bool,
}

impl Target {
    /// The target that `vm` runs, if it runs one.
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
