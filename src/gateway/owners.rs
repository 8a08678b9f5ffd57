//! Which endpoint owns which keys, as written in the store.

use super::model::{EndpointRun, Key, KeyRange};
use crate::peer::codec::{self, CodecError};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Keys that one endpoint owns under one fencing token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnedRange {
    /// The keys.
    pub keys: KeyRange,
    /// The owner.
    pub owner: EndpointRun,
    /// Fencing token of the owner's grant when the row was written.
    pub token: u64,
    /// State that the former owner handed over.
    pub handover: Option<Arc<str>>,
}

/// The owners of a service's keys. Keys in no range have no owner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
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

    /// The content of a row.
    ///
    /// # Errors
    /// [`CodecError::TooLarge`] if there are too many ranges.
    pub fn encode(&self) -> Result<Bytes, CodecError> {
        codec::encode(self)
    }

    /// Reads the content of a row.
    ///
    /// # Errors
    /// [`CodecError`] if it is malformed or its ranges are not in order.
    pub fn decode(value: &[u8]) -> Result<Self, CodecError> {
        let owners: Self = codec::decode(value)?;
        let in_order = owners
            .ranges
            .windows(2)
            .all(|pair| pair[0].keys.last < pair[1].keys.first);
        let valid = owners.ranges.iter().all(|r| r.keys.first <= r.keys.last);
        if in_order && valid {
            Ok(owners)
        } else {
            Err(CodecError::Malformed("the ranges are not in order".into()))
        }
    }
}
