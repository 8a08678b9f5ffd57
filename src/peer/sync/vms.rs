//! The platform's VM list as daemons exchange it.
//!
//! The list has no version number. A reading is identified by the hash of its content and ordered by
//! the time since the platform was asked, which each daemon converts to its own clock.

use super::super::message::{Item, VmsDelta, VmsStamp};
use crate::{
    clock::Millis,
    collections::{Map, Set},
    world::{Vm, VmName},
};
use std::{collections::VecDeque, sync::Arc};
use xxhash_rust::xxh3::xxh3_64;

/// Daemons of one zone send each other a reading that is newer by more than this time.
const MARGIN_WITHIN_ZONE: Millis = Millis(200);
/// The same between zones. Delegates read the platform themselves every second and need the reading
/// of another one only while they cannot reach the platform.
const MARGIN_BETWEEN_ZONES: Millis = Millis(3_000);
/// Lists that are kept, the current one included, to send differences.
const MAX_LISTS: usize = 8;

/// The latest reading of the list.
#[derive(Debug, Default)]
pub struct VmList {
    current: Option<Reading>,
    /// Hash and content of recent lists, the current one last.
    history: VecDeque<(u64, Arc<[Vm]>)>,
}

#[derive(Debug)]
struct Reading {
    hash: u64,
    vms: Arc<[Vm]>,
    /// Time of the read by this daemon's clock.
    read_at: Millis,
}

impl VmList {
    /// Takes a reading unless it is older than the current one; returns the list if it differs.
    ///
    /// An empty list is ignored: it would remove every target, and it cannot be correct, since it
    /// lacks even this daemon's own VM.
    pub fn update(&mut self, mut vms: Vec<Vm>, read_at: Millis) -> Option<Arc<[Vm]>> {
        if vms.is_empty() {
            return None;
        }
        vms.sort_by(|a, b| a.name.cmp(&b.name));
        let hash = hash_of(&vms);
        if let Some(current) = &mut self.current {
            if read_at < current.read_at {
                return None;
            }
            if current.hash == hash {
                current.read_at = read_at;
                return None;
            }
        }
        let vms: Arc<[Vm]> = vms.into();
        self.history.push_back((hash, Arc::clone(&vms)));
        if self.history.len() > MAX_LISTS {
            self.history.pop_front();
        }
        self.current = Some(Reading {
            hash,
            vms: Arc::clone(&vms),
            read_at,
        });
        Some(vms)
    }

    /// Raises the time of the current reading if a peer read the same list later.
    pub fn confirm(&mut self, theirs: VmsStamp, now: Millis) {
        if let Some(current) = &mut self.current
            && current.hash == theirs.hash
        {
            current.read_at = current.read_at.max(now.since(Millis(theirs.age_ms)));
        }
    }

    /// Hash and age of the current reading.
    pub fn stamp(&self, now: Millis) -> VmsStamp {
        self.current
            .as_ref()
            .map_or_else(VmsStamp::default, |r| VmsStamp {
                hash: r.hash,
                age_ms: now.since(r.read_at).0,
            })
    }

    /// The list, or the difference to it, for a peer whose reading `theirs` differs and is older by
    /// more than the margin; `None` for any other peer.
    pub fn newer_than(&self, theirs: VmsStamp, same_zone: bool, now: Millis) -> Option<Item> {
        let current = self.current.as_ref()?;
        let margin = if same_zone {
            MARGIN_WITHIN_ZONE
        } else {
            MARGIN_BETWEEN_ZONES
        };
        let age = now.since(current.read_at);
        if theirs.hash == current.hash || theirs.hash != 0 && theirs.age_ms <= (age + margin).0 {
            return None;
        }
        let older = self.history.iter().find(|(hash, _)| *hash == theirs.hash);
        Some(match older {
            Some((_, older)) => Item::VmsDelta(delta(theirs.hash, older, current)),
            None => Item::Vms(current.vms.to_vec()),
        })
    }

    /// The list after `delta`; `None` if `delta` starts at another list or its hash does not match.
    pub fn apply(&self, delta: &VmsDelta) -> Option<Vec<Vm>> {
        let current = self.current.as_ref().filter(|r| r.hash == delta.from)?;
        let replaced: Set<&VmName> = delta
            .changed
            .iter()
            .map(|vm| &vm.name)
            .chain(&delta.removed)
            .collect();
        let mut vms: Vec<Vm> = current
            .vms
            .iter()
            .filter(|vm| !replaced.contains(&vm.name))
            .chain(&delta.changed)
            .cloned()
            .collect();
        vms.sort_by(|a, b| a.name.cmp(&b.name));
        (hash_of(&vms) == delta.to).then_some(vms)
    }
}

fn delta(from: u64, older: &[Vm], current: &Reading) -> VmsDelta {
    let before: Map<&VmName, &Vm> = older.iter().map(|vm| (&vm.name, vm)).collect();
    let after: Set<&VmName> = current.vms.iter().map(|vm| &vm.name).collect();
    VmsDelta {
        from,
        to: current.hash,
        changed: current
            .vms
            .iter()
            .filter(|vm| before.get(&vm.name) != Some(vm))
            .cloned()
            .collect(),
        removed: older
            .iter()
            .filter(|vm| !after.contains(&vm.name))
            .map(|vm| vm.name.clone())
            .collect(),
    }
}

/// The hash of a list sorted by name. Never 0, which stands for no list.
fn hash_of(vms: &[Vm]) -> u64 {
    let bytes = bincode::serde::encode_to_vec(vms, bincode::config::standard())
        .expect("a VM list can be encoded");
    xxh3_64(&bytes).max(1)
}
