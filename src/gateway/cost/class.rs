//! Classes of requests that are expected to cost about the same.

use std::hash::Hash;

/// Body size up to which requests belong to the first size class, in bytes.
const SMALLEST_SIZE_CLASS: usize = 1_024;
/// Seed of the hash of classes, which must be the same for all requests.
const HASH_SEED: usize = 0x5eed;

/// Hash of what identifies a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ClassKey(u64);

/// The class of a request, and the class of all requests of its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestClass {
    /// The class of the request.
    pub exact: ClassKey,
    /// The class that stands in for it while it has few samples.
    pub route: ClassKey,
}

impl RequestClass {
    /// Class of a request that matched `route` by `prefix`. `path` has no query.
    pub fn new(route: &str, prefix: &str, method: &str, path: &str, body_bytes: usize) -> Self {
        let collection = collection_below(prefix, path);
        Self {
            exact: key_of((route, method, size_class(body_bytes), collection)),
            route: key_of(route),
        }
    }
}

impl From<&str> for RequestClass {
    /// Class of all requests of a route.
    fn from(route: &str) -> Self {
        Self {
            exact: key_of(route),
            route: key_of(route),
        }
    }
}

fn key_of(identity: impl Hash) -> ClassKey {
    ClassKey(ahash::RandomState::with_seed(HASH_SEED).hash_one(identity))
}

/// The first segment below the prefix, if another one follows. A last segment names a single thing.
fn collection_below<'a>(prefix: &str, path: &'a str) -> Option<&'a str> {
    let (segment, rest) = path.strip_prefix(prefix)?.split_once('/')?;
    (!segment.is_empty() && !rest.is_empty()).then_some(segment)
}

/// Number of the size class: each one spans a factor of four.
fn size_class(body_bytes: usize) -> u32 {
    (body_bytes / SMALLEST_SIZE_CLASS)
        .checked_ilog2()
        .map_or(0, |log| 1 + log / 2)
}
