//! VM list with its recent revisions, for lagging readers.

use super::MAX_LAG;
use fireflygauge::{clock::Millis, world::Vm};
use std::collections::{BTreeMap, VecDeque};

/// The VM list.
#[derive(Debug, Default)]
pub struct VmList {
    current: BTreeMap<String, Vm>,
    past: VecDeque<(Millis, Vec<Vm>)>,
}

impl VmList {
    /// Registers or replaces a VM.
    pub fn put(&mut self, vm: Vm, now: Millis) {
        self.current.insert(vm.name.to_string(), vm);
        self.record(now);
    }

    /// Removes a VM.
    pub fn remove(&mut self, name: &str, now: Millis) {
        self.current.remove(name);
        self.record(now);
    }

    /// The list as it was at `at`; empty before the first change.
    pub fn as_of(&self, at: Millis) -> Vec<Vm> {
        let known = self.past.iter().rev().find(|(since, _)| *since <= at);
        known.map(|(_, vms)| vms.clone()).unwrap_or_default()
    }

    fn record(&mut self, now: Millis) {
        let vms = self.current.values().cloned().collect();
        self.past.push_back((now, vms));
        while self.past.len() > 1 && self.past[1].0 + MAX_LAG < now {
            self.past.pop_front();
        }
    }
}
