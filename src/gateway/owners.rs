//! The owners of a service's keys: their representation, their stored row and differences between
//! versions.

use super::model::{EndpointInstance, Key, KeyRange};
use crate::{
    collections::{Map, Set},
    peer::codec::{self, CodecError},
};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc};

/// Largest row with handovers, in bytes. The store accepts rows of 64 KiB in base64.
pub const MAX_ROW_BYTES: usize = 48 * 1024;

/// Keys that one endpoint owns under one fencing token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnedRange {
    /// The keys.
    pub keys: KeyRange,
    /// The owner.
    pub owner: EndpointInstance,
    /// Address of the owner. It is stored so that a new controller can reach an owner whose
    /// registry entry is gone.
    pub addr: SocketAddr,
    /// Token of the assignment; grants to the owner carry higher ones.
    pub token: u64,
    /// State that the previous owner handed over on release.
    pub handover: Option<Arc<str>>,
}

/// The owners of a service's keys. Keys outside all ranges have no owner.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Owners {
    ranges: Vec<OwnedRange>,
}

impl Owners {
    /// Sorts `ranges` by key; they must not overlap.
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

    /// The highest token of an assignment; 0 without any. It rises with each row that a controller
    /// writes, and so tells which of two rows is the later one, whatever their versions.
    pub fn latest_token(&self) -> u64 {
        let tokens = self.ranges.iter().map(|range| range.token);
        tokens.max().unwrap_or(0)
    }

    /// The ranges in ascending order of their keys.
    pub fn ranges(&self) -> &[OwnedRange] {
        &self.ranges
    }

    /// The range that contains `key`; `None` if the key has no owner.
    pub fn range_of(&self, key: Key) -> Option<&OwnedRange> {
        let after = self.ranges.partition_point(|range| range.keys.first <= key);
        let range = &self.ranges[after.checked_sub(1)?];
        range.keys.contains(key).then_some(range)
    }

    /// Encodes the row for the store, in which each owner is listed once. Handovers are left out if
    /// the row would exceed [`MAX_ROW_BYTES`]: without them keys are slow at first, but a row that
    /// the store rejects would end all moves.
    ///
    /// # Errors
    /// [`CodecError::TooLarge`] if the row exceeds the size limit of messages.
    pub fn encode(&self) -> Result<Bytes, CodecError> {
        let row = codec::encode_row(&OwnersRow::new(self.ranges.iter(), true))?;
        if row.len() <= MAX_ROW_BYTES {
            return Ok(row);
        }
        log::info!(target: "ownership", ranges = self.ranges.len(), bytes = row.len();
            "Owners row is too large; it is written without handovers.");
        codec::encode_row(&OwnersRow::new(self.ranges.iter(), false))
    }

    /// Decodes a row from the store.
    ///
    /// # Errors
    /// [`CodecError`] if it is malformed, or its ranges overlap or are not in ascending order.
    pub fn decode(value: &[u8]) -> Result<Self, CodecError> {
        let row: OwnersRow = codec::decode_row(value)?;
        Self::from_ordered(row.ranges()?)
    }

    /// The difference that turns the `earlier` owners into these.
    pub fn change_since(&self, earlier: &Self) -> OwnersChange {
        let old = by_keys(&earlier.ranges);
        let new = by_keys(&self.ranges);
        let removed = earlier.ranges.iter().map(|range| range.keys);
        let added = self
            .ranges
            .iter()
            .filter(|range| !old.get(&range.keys).is_some_and(|r| r.routes_like(range)));
        OwnersChange {
            removed: removed.filter(|keys| !new.contains_key(keys)).collect(),
            added: OwnersRow::new(added, false),
        }
    }

    /// These owners with `change` applied. Added ranges have no handover.
    ///
    /// # Errors
    /// [`CodecError`] if the change is malformed, or the resulting ranges would overlap.
    pub fn with(&self, change: OwnersChange) -> Result<Self, CodecError> {
        let added = change.added.ranges()?;
        let mut replaced: Set<KeyRange> = change.removed.into_iter().collect();
        replaced.extend(added.iter().map(|range| range.keys));
        let kept = self.ranges.iter().filter(|r| !replaced.contains(&r.keys));
        let mut ranges: Vec<OwnedRange> = kept.cloned().chain(added).collect();
        ranges.sort_by_key(|range| range.keys);
        Self::from_ordered(ranges)
    }

    fn from_ordered(ranges: Vec<OwnedRange>) -> Result<Self, CodecError> {
        let in_order = ranges
            .windows(2)
            .all(|pair| pair[0].keys.last < pair[1].keys.first);
        let valid = ranges.iter().all(|r| r.keys.first <= r.keys.last);
        if in_order && valid {
            Ok(Self { ranges })
        } else {
            Err(CodecError::Malformed(
                "ranges overlap or are not in ascending order".into(),
            ))
        }
    }
}

impl OwnedRange {
    /// Whether requests are routed the same way for `other`; handovers are ignored.
    fn routes_like(&self, other: &Self) -> bool {
        (self.keys, &self.owner, self.addr, self.token)
            == (other.keys, &other.owner, other.addr, other.token)
    }
}

fn by_keys(ranges: &[OwnedRange]) -> Map<KeyRange, &OwnedRange> {
    ranges.iter().map(|range| (range.keys, range)).collect()
}

/// The difference between two versions of a service's owners. It omits handovers, which only the
/// controller needs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OwnersChange {
    /// Ranges that no longer exist.
    removed: Vec<KeyRange>,
    /// Ranges that are new, or whose owner, address or token changed.
    added: OwnersRow,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct OwnersRow {
    owners: Vec<(EndpointInstance, SocketAddr)>,
    ranges: Vec<RangeRow>,
}

impl OwnersRow {
    fn new<'a>(ranges: impl Iterator<Item = &'a OwnedRange>, with_handover: bool) -> Self {
        let mut indices: Map<&EndpointInstance, u32> = Map::default();
        let mut row = Self::default();
        for range in ranges {
            let index = *indices.entry(&range.owner).or_insert_with(|| {
                row.owners.push((range.owner.clone(), range.addr));
                row.owners.len() as u32 - 1
            });
            row.ranges.push(RangeRow {
                keys: range.keys,
                owner: index,
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
        ranges.ok_or(CodecError::Malformed(
            "range refers to an owner that is not listed".into(),
        ))
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct RangeRow {
    keys: KeyRange,
    /// Index into `OwnersRow::owners`.
    owner: u32,
    token: u64,
    handover: Option<Arc<str>>,
}
