//! Ranges of keys as the controller tracks them.

use super::RangeId;
use crate::{
    clock::Millis,
    collections::Map,
    gateway::{
        model::{EndpointInstance, KeyRange},
        owners::{OwnedRange, Owners},
    },
};
use std::{net::SocketAddr, sync::Arc};

/// Where a range stands on its way from one owner to the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The row names the owner, and the controller renews its lease.
    Held,
    /// The owner is asked to release the keys. `planned` if it could keep them.
    Releasing {
        /// Whether the owner is present and could keep its keys.
        planned: bool,
    },
    /// Nobody holds the keys.
    Free,
    /// A new owner is chosen; the row is written next or is being written.
    Writing,
}

/// Keys with one owner, token and lease.
#[derive(Clone, Debug)]
pub struct Held {
    /// Identifies the range in events and actions.
    pub id: RangeId,
    /// The keys.
    pub keys: KeyRange,
    /// The owner; `None` while the range is free.
    pub owner: Option<EndpointInstance>,
    /// Fencing token of the owner's grant.
    pub token: u64,
    /// State that the former owner handed over.
    pub handover: Option<Arc<str>>,
    /// Where the range stands.
    pub phase: Phase,
    /// When the owner's lease has surely ended.
    pub ends: Millis,
    /// When the next order is due.
    pub due: Millis,
    /// Whether an order is on its way.
    pub in_flight: bool,
    /// Whether the owner has taken the token.
    pub confirmed: bool,
    /// Whether a grant without an answer may still be applied, and no later one has fenced it. A
    /// release does not fence it.
    pub unheard: bool,
    /// Orders in a row that had no answer.
    pub failures: u32,
    /// Whether the last grant was refused because of a higher token.
    pub was_fenced: bool,
    /// Whether the last order found that nothing listens at the owner's address.
    pub nobody_listens: bool,
}

impl Held {
    /// Whether `next` follows this range and has the same owner, and both are at rest.
    fn can_join(&self, next: &Self) -> bool {
        let at_rest = |held: &Self| {
            held.phase == Phase::Held
                && !held.in_flight
                && held.failures == 0
                && !held.unheard
                && held.handover.is_none()
        };
        self.keys.last.checked_add(1) == Some(next.keys.first)
            && self.owner == next.owner
            && at_rest(self)
            && at_rest(next)
    }
}

/// The ranges of one service.
#[derive(Clone, Debug)]
pub struct Managed {
    /// Version of the row; 0 if there is none yet.
    pub version: u64,
    /// The ranges, in no particular order.
    pub ranges: Vec<Held>,
    /// When the service was first seen without a row.
    pub since: Millis,
    /// When keys may be moved next.
    pub next_move: Millis,
}

impl Managed {
    /// A service without ranges, whose row has `version`.
    pub fn new(version: u64, now: Millis) -> Self {
        Self {
            version,
            ranges: Vec::new(),
            since: now,
            next_move: now,
        }
    }

    /// The range with this id.
    pub fn range_mut(&mut self, id: RangeId) -> Option<&mut Held> {
        self.ranges.iter_mut().find(|held| held.id == id)
    }

    /// Whether any range waits for its row.
    pub fn has_unwritten(&self) -> bool {
        self.ranges.iter().any(|held| held.phase == Phase::Writing)
    }

    /// Joins neighbouring ranges of one owner, each under a token that `next_token` draws.
    pub fn join_neighbours(&mut self, now: Millis, mut next_token: impl FnMut() -> u64) {
        self.ranges.sort_by_key(|held| held.keys);
        let mut joined: Vec<Held> = Vec::with_capacity(self.ranges.len());
        for held in self.ranges.drain(..) {
            match joined.last_mut() {
                Some(last) if last.can_join(&held) => {
                    last.keys.last = held.keys.last;
                    last.ends = last.ends.max(held.ends);
                    last.token = next_token();
                    last.confirmed = false;
                    last.due = now;
                }
                _ => joined.push(held),
            }
        }
        self.ranges = joined;
    }

    /// The content of the row.
    ///
    /// `addrs` has the addresses of all owners.
    pub fn owners(&self, addrs: &Map<EndpointInstance, SocketAddr>) -> Owners {
        let owned = self.ranges.iter().filter_map(|held| {
            let owner = held.owner.clone()?;
            let addr = *addrs.get(&owner)?;
            (held.phase != Phase::Free).then(|| OwnedRange {
                keys: held.keys,
                owner,
                addr,
                token: held.token,
                handover: held.handover.clone(),
            })
        });
        Owners::new(owned.collect())
    }

    /// Keys in no range.
    pub fn uncovered(&self) -> Vec<KeyRange> {
        let mut ranges: Vec<KeyRange> = self.ranges.iter().map(|held| held.keys).collect();
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
