//! Which endpoint owns which keys, as written in the store.

use super::model::{EndpointRun, Key, KeyRange};
use crate::{
    collections::Map,
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
    pub owner: EndpointRun,
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
        let mut places: Map<&EndpointRun, u32> = Map::default();
        let mut row = OwnersRow::default();
        for range in &self.ranges {
            let place = *places.entry(&range.owner).or_insert_with(|| {
                row.owners.push((range.owner.clone(), range.addr));
                row.owners.len() as u32 - 1
            });
            row.ranges.push(RangeRow {
                keys: range.keys,
                owner: place,
                token: range.token,
                handover: range.handover.clone(),
            });
        }
        codec::encode(&row)
    }

    /// Reads the content of a row.
    ///
    /// # Errors
    /// [`CodecError`] if it is malformed or its ranges are not in order.
    pub fn decode(value: &[u8]) -> Result<Self, CodecError> {
        let row: OwnersRow = codec::decode(value)?;
        let ranges = row.ranges.into_iter().map(|range| {
            let (owner, addr) = row.owners.get(range.owner as usize)?;
            Some(OwnedRange {
                keys: range.keys,
                owner: owner.clone(),
                addr: *addr,
                token: range.token,
                handover: range.handover,
            })
        });
        let ranges: Option<Vec<OwnedRange>> = ranges.collect();
        let ranges = ranges.ok_or(CodecError::Malformed("an owner is missing".into()))?;
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

#[derive(Default, Serialize, Deserialize)]
struct OwnersRow {
    owners: Vec<(EndpointRun, SocketAddr)>,
    ranges: Vec<RangeRow>,
}

#[derive(Serialize, Deserialize)]
struct RangeRow {
    keys: KeyRange,
    /// Place among the owners.
    owner: u32,
    token: u64,
    handover: Option<Arc<str>>,
}
