//! The state of key ranges and services in the controller.

use super::RangeId;
use crate::{
    clock::Millis,
    collections::Map,
    gateway::{
        model::{EndpointInstance, KeyRange},
        owners::{OwnedRange, Owners},
        platform::GrantConnection,
    },
};
use std::{net::SocketAddr, sync::Arc};

/// Phase of a range between one owner and the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The row names the owner, and the controller renews its lease.
    Held,
    /// The owner has to release the keys.
    Releasing {
        /// Whether the move only balances load, so that the owner can keep the keys if it fails.
        planned: bool,
    },
    /// No endpoint holds the keys; they have to be assigned.
    Free,
    /// A new owner is chosen, and has to be written to the store before it is granted the keys.
    Writing,
}

/// State of a key range with one owner, token and lease.
#[derive(Clone, Debug)]
pub struct ManagedRange {
    /// Identifies the range in events and actions.
    pub id: RangeId,
    /// The keys.
    pub keys: KeyRange,
    /// The owner; `None` while the keys are unassigned.
    pub owner: Option<EndpointInstance>,
    /// The endpoint that is to own the keys after a planned move. It is not written to the store, so
    /// a successor of the controller assigns the keys anew.
    pub next_owner: Option<EndpointInstance>,
    /// Token of the assignment, as written to the store; grants to the owner carry higher ones.
    pub assignment_token: u64,
    /// Fencing token of the last command; each command has its own.
    pub command_token: u64,
    /// State that the previous owner handed over on release.
    pub handover: Option<Arc<str>>,
    /// Phase of the range.
    pub phase: Phase,
    /// When the owner's lease has certainly expired.
    pub lease_end: Millis,
    /// When the next command is due.
    pub next_command_at: Millis,
    /// Whether a command is in flight.
    pub in_flight: bool,
    /// Whether that command is a grant.
    pub grant_in_flight: bool,
    /// Connections that the last grant could use.
    pub grant_connection: GrantConnection,
    /// Whether the owner has accepted the last grant.
    pub confirmed: bool,
    /// Whether a grant without an answer may still be applied, because no later grant has fenced
    /// it. A release does not fence it.
    pub grant_unacknowledged: bool,
    /// Whether the response to the last grant may be a late copy, so that the grant may still be
    /// applied. A release does not fence it; a grant on a new connection comes first.
    pub grant_presumed: bool,
    /// When the owner first answered a release since the last grant without an answer.
    pub released_at: Option<Millis>,
    /// Consecutive commands that failed.
    pub failures: u32,
    /// Whether the last grant was refused because of a higher token.
    pub was_fenced: bool,
}

impl ManagedRange {
    /// A range without an owner, to which this controller has sent no command.
    pub fn new(id: RangeId, keys: KeyRange, now: Millis) -> Self {
        Self {
            id,
            keys,
            owner: None,
            next_owner: None,
            assignment_token: 0,
            command_token: 0,
            handover: None,
            phase: Phase::Free,
            lease_end: now,
            next_command_at: now,
            in_flight: false,
            grant_in_flight: false,
            grant_connection: GrantConnection::New,
            confirmed: false,
            grant_unacknowledged: false,
            grant_presumed: false,
            released_at: None,
            failures: 0,
            was_fenced: false,
        }
    }

    /// Whether `next` is adjacent and has the same owner, and neither range has a change in
    /// progress.
    fn can_merge(&self, next: &Self) -> bool {
        let is_stable = |range: &Self| {
            range.phase == Phase::Held
                && !range.in_flight
                && range.failures == 0
                && !range.grant_unacknowledged
                && range.handover.is_none()
        };
        self.keys.last.checked_add(1) == Some(next.keys.first)
            && self.owner == next.owner
            && is_stable(self)
            && is_stable(next)
    }
}

/// The ranges of one service.
#[derive(Clone, Debug)]
pub struct ServiceRanges {
    /// Version of the owners row; 0 if there is none yet.
    pub version: u64,
    /// Latest token of the owners from which the controller started, while they are on hold.
    pub owners_token: u64,
    /// The ranges, in no particular order.
    pub ranges: Vec<ManagedRange>,
    /// When the service was added.
    pub added_at: Millis,
    /// When moves may be planned next.
    pub next_move_at: Millis,
    /// Whether the row has to be written again, because the store came back from a copy.
    pub needs_rewrite: bool,
    /// Until when no keys are granted or assigned, because endpoints may hold others than the row says.
    pub on_hold_until: Millis,
}

impl ServiceRanges {
    /// A service without ranges, whose owners row has `version`.
    pub fn new(version: u64, now: Millis) -> Self {
        Self {
            version,
            owners_token: 0,
            ranges: Vec::new(),
            added_at: now,
            next_move_at: now,
            needs_rewrite: false,
            on_hold_until: Millis::ZERO,
        }
    }

    /// The range with this id.
    pub fn range_mut(&mut self, id: RangeId) -> Option<&mut ManagedRange> {
        self.ranges.iter_mut().find(|range| range.id == id)
    }

    /// Keys that an endpoint holds, or is about to be granted again.
    pub fn held_by(&self, owner: &EndpointInstance) -> impl Iterator<Item = KeyRange> {
        let held = self.ranges.iter().filter(|r| r.phase == Phase::Held);
        held.filter(|r| r.owner.as_ref() == Some(owner))
            .map(|r| r.keys)
    }

    /// Keys that are on their way to an endpoint.
    pub fn moving_to(&self, endpoint: &EndpointInstance) -> impl Iterator<Item = KeyRange> {
        let destination = |range: &ManagedRange| match range.phase {
            Phase::Writing => range.owner.clone(),
            Phase::Releasing { planned: true } => range.next_owner.clone(),
            _ => None,
        };
        let moving = self.ranges.iter();
        moving
            .filter(move |r| destination(r).as_ref() == Some(endpoint))
            .map(|r| r.keys)
    }

    /// Whether any range has an owner that is not written yet, or that has to be written again. Owners
    /// on hold are not written: a successor would take them for confirmed.
    pub fn has_unwritten(&self, now: Millis) -> bool {
        let mut ranges = self.ranges.iter();
        let is_unwritten = self.needs_rewrite || ranges.any(|range| range.phase == Phase::Writing);
        is_unwritten && now >= self.on_hold_until
    }

    /// Whether a grant was issued whose outcome is not known yet.
    pub fn has_grant_in_flight(&self) -> bool {
        self.ranges.iter().any(|range| range.grant_in_flight)
    }

    /// Merges adjacent ranges of one owner.
    pub fn merge_adjacent(&mut self, now: Millis) {
        self.ranges.sort_by_key(|range| range.keys);
        let mut merged: Vec<ManagedRange> = Vec::with_capacity(self.ranges.len());
        for range in self.ranges.drain(..) {
            match merged.last_mut() {
                Some(last) if last.can_merge(&range) => {
                    last.keys.last = range.keys.last;
                    last.lease_end = last.lease_end.max(range.lease_end);
                    last.grant_presumed |= range.grant_presumed;
                    last.assignment_token = last.assignment_token.max(range.assignment_token);
                    last.confirmed = false;
                    last.next_command_at = now;
                }
                _ => merged.push(range),
            }
        }
        self.ranges = merged;
    }

    /// The owners to be written to the store; ranges in [`Phase::Free`] have none. `addrs` has the
    /// addresses of all owners.
    pub fn owners(&self, addrs: &Map<EndpointInstance, SocketAddr>) -> Owners {
        let owned = self.ranges.iter().filter_map(|range| {
            let owner = range.owner.clone()?;
            let addr = *addrs.get(&owner)?;
            (range.phase != Phase::Free).then(|| OwnedRange {
                keys: range.keys,
                owner,
                addr,
                token: range.assignment_token,
                handover: range.handover.clone(),
            })
        });
        Owners::new(owned.collect())
    }

    /// Keys outside all ranges.
    pub fn uncovered(&self) -> Vec<KeyRange> {
        let mut ranges: Vec<KeyRange> = self.ranges.iter().map(|range| range.keys).collect();
        ranges.sort_unstable();
        let mut gaps = Vec::new();
        let mut next = 0_u32;
        for keys in ranges {
            if u32::from(keys.first) > next {
                gaps.push(KeyRange {
                    first: next as u16,
                    last: keys.first - 1,
                });
            }
            next = u32::from(keys.last) + 1;
        }
        if next <= u32::from(u16::MAX) {
            gaps.push(KeyRange {
                first: next as u16,
                last: u16::MAX,
            });
        }
        gaps
    }
}
