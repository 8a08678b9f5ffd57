//! Hash collections with a fast hasher that resists collision attacks.

/// A hash map.
pub type Map<K, V> = std::collections::HashMap<K, V, ahash::RandomState>;

/// A hash set.
pub type Set<T> = std::collections::HashSet<T, ahash::RandomState>;
