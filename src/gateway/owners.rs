//! Which endpoint owns which keys, as written in the store.

use super::model::{EndpointInstance, Key, KeyRange};
use crate::{
    collections::{Map, Set},
    peer::codec::{self, CodecError},
};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc};

/// Keys that one endpoint owns under one fencing token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnedRange {
    /// The keys.
    pub keys: KeyRange,
    /// The owner.
    pub owner: EndpointInstance,
    /// Address of the owner, known to successors of the controller after its entry is gone.
    pub addr: SocketAddr,
    /// Fencing token of the owner's grant when the row was written.
    pub token: u64,
    /// State that the former owner handed over.
    pub handover: Option<Arc<str>>,
}

/// The owners of a service's keys. Keys in no range have no owner.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Owners {
    ranges: Vec<OwnedRange>,
}

impl Owners {
    /// Sorts `ranges`, which must not overlap.
    pub fn new(mut ranges: Vec<OwnedRange>) -> Self {
        ranges.sort_by_key(|range| range.keys);
        debug_assert!(
            ranges
                .windows(2)
                .all(|pair| pair[0].keys.last < pair[1].keys.first),
            "ranges overlap"
        );
        Self { ranges }
    }

    /// The ranges in the order of their keys.
    pub fn ranges(&self) -> &[OwnedRange] {
        &self.ranges
    }

    /// The range that holds `key`.
    pub fn range_of(&self, key: Key) -> Option<&OwnedRange> {
        let after = self.ranges.partition_point(|range| range.keys.first <= key);
        let range = &self.ranges[after.checked_sub(1)?];
        range.keys.contains(key).then_some(range)
    }

    /// The content of a row, in which each owner is named once.
    ///
    /// # Errors
    /// [`CodecError::TooLarge`] if there are too many ranges.
    pub fn encode(&self) -> Result<Bytes, CodecError> {
        codec::encode(&OwnersRow::new(self.ranges.iter(), true))
    }

    /// Reads the content of a row.
    ///
    /// # Errors
    /// [`CodecError`] if it is malformed or its ranges are not in order.
    pub fn decode(value: &[u8]) -> Result<Self, CodecError> {
        let row: OwnersRow = codec::decode(value)?;
        Self::in_order(row.ranges()?)
    }

    /// What has to be changed in `earlier` owners to get these.
    pub fn change_since(&self, earlier: &Self) -> OwnersChange {
        let known = by_keys(&earlier.ranges);
        let present = by_keys(&self.ranges);
        let removed = earlier.ranges.iter().map(|range| range.keys);
        let added = self
            .ranges
            .iter()
            .filter(|range| !known.get(&range.keys).is_some_and(|k| k.is_like(range)));
        OwnersChange {
            removed: removed.filter(|keys| !present.contains_key(keys)).collect(),
            added: OwnersRow::new(added, false),
        }
    }

    /// These owners with a change made. Handovers are unknown where it was made.
    ///
    /// # Errors
    /// [`CodecError`] if the change does not fit these owners.
    pub fn with(&self, change: OwnersChange) -> Result<Self, CodecError> {
        let added = change.added.ranges()?;
        let mut replaced: Set<KeyRange> = change.removed.into_iter().collect();
        replaced.extend(added.iter().map(|range| range.keys));
        let kept = self.ranges.iter().filter(|r| !replaced.contains(&r.keys));
        let mut ranges: Vec<OwnedRange> = kept.cloned().chain(added).collect();
        ranges.sort_by_key(|range| range.keys);
        Self::in_order(ranges)
    }

    fn in_order(ranges: Vec<OwnedRange>) -> Result<Self, CodecError> {
        let in_order = ranges
            .windows(2)
            .all(|pair| pair[0].keys.last < pair[1].keys.first);
        let valid = ranges.iter().all(|r| r.keys.first <= r.keys.last);
        if in_order && valid {
            Ok(Self { ranges })
        } else {
            Err(CodecError::Malformed("the ranges are not in order".into()))
        }
    }
}

impl OwnedRange {
    /// Whether `other` says the same to a daemon that sends requests.
    fn is_like(&self, other: &Self) -> bool {
        (self.keys, &self.owner, self.addr, self.token)
            == (other.keys, &other.owner, other.addr, other.token)
    }
}

fn by_keys(ranges: &[OwnedRange]) -> Map<KeyRange, &OwnedRange> {
    ranges.iter().map(|range| (range.keys, range)).collect()
}

/// What changed between two versions of a service's owners, without handovers, which only a
/// controller needs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OwnersChange {
    /// Ranges that are there no more.
    removed: Vec<KeyRange>,
    /// Ranges that are new or whose owner changed.
    added: OwnersRow,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct OwnersRow {
    owners: Vec<(EndpointInstance, SocketAddr)>,
    ranges: Vec<RangeRow>,
}

impl OwnersRow {
    fn new<'a>(ranges: impl Iterator<Item = &'a OwnedRange>, with_handover: bool) -> Self {
        let mut places: Map<&EndpointInstance, u32> = Map::default();
        let mut row = Self::default();
        for range in ranges {
            let place = *places.entry(&range.owner).or_insert_with(|| {
                row.owners.push((range.owner.clone(), range.addr));
                row.owners.len() as u32 - 1
            });
            row.ranges.push(RangeRow {
                keys: range.keys,
                owner: place,
                token: range.token,
                handover: range.handover.clone().filter(|_| with_handover),
            });
        }
        row
    }

    fn ranges(self) -> Result<Vec<OwnedRange>, CodecError> {
        let Self { owners, ranges } = self;
        let ranges = ranges.into_iter().map(|range| {
            let (owner, addr) = owners.get(range.owner as usize)?;
            Some(OwnedRange {
                keys: range.keys,
                owner: owner.clone(),
                addr: *addr,
                token: range.token,
                handover: range.handover,
            })
        });
        let ranges: Option<Vec<OwnedRange>> = ranges.collect();
        ranges.ok_or(CodecError::Malformed("an owner is missing".into()))
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct RangeRow {
    keys: KeyRange,
    /// Place among the owners.
    owner: u32,
    token: u64,
    handover: Option<Arc<str>>,
}
