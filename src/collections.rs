//! Hash collections with a fast hasher that resists hash-flooding attacks.

/// A hash map with a randomly seeded `ahash` hasher.
pub type Map<K, V> = std::collections::HashMap<K, V, ahash::RandomState>;

/// A hash set with a randomly seeded `ahash` hasher.
pub type Set<T> = std::collections::HashSet<T, ahash::RandomState>;
