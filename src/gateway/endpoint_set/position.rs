//! Position of a daemon among those of its availability zone.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Position of a daemon among those of its availability zone: a fraction of one, in units of 2^-32.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetPosition(u32);

impl FleetPosition {
    /// The position of a daemon that the controller has told none, as if it were drawn at random.
    pub fn of_name(name: &str) -> Self {
        Self((xxh3_64(name.as_bytes()) >> u32::BITS) as u32)
    }

    /// The position of the daemon with `rank`, from 0, among `count`.
    pub fn of_rank(rank: usize, count: usize) -> Self {
        let units = ((rank as u64) << u32::BITS).div_ceil(count.max(1) as u64);
        Self(u32::try_from(units).unwrap_or(u32::MAX))
    }

    /// The first of `len` places that a daemon at this position uses.
    pub fn index(self, len: usize) -> usize {
        ((u64::from(self.0) * len as u64) >> u32::BITS) as usize
    }
}
