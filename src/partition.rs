//! Maps keys to partitions.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The number of a partition within its service, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Partition(pub u32);

/// The partition that `key` belongs to in a service with `count` partitions.
///
/// Stored assignments depend on the hash function: another one would map keys to other partitions.
pub fn partition_of(key: &str, count: u32) -> Partition {
    Partition((xxh3_64(key.as_bytes()) % u64::from(count)) as u32)
}
