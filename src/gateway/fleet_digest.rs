//! Which daemons a deployment has, without their names.

use crate::world::VmName;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The number of daemons and a digest of their names. Two are equal if they are of the same daemons, but
/// for one case in 2^64.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetDigest {
    size: u32,
    names: u64,
}

impl FleetDigest {
    /// The digest of different names, in any order.
    pub fn of<'a>(names: impl IntoIterator<Item = &'a VmName>) -> Self {
        let empty = Self { size: 0, names: 0 };
        names.into_iter().fold(empty, |digest, name| Self {
            size: digest.size + 1,
            names: digest.names ^ xxh3_64(name.0.as_bytes()),
        })
    }
}
