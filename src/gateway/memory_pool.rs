//! Memory that callers' connections and large bodies share.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Memory of a process that is never given to connections and bodies, in bytes, besides a share.
const RESERVED_BYTES: u64 = 16_000_000;
/// One in this many bytes of the process's memory is never given to connections and bodies.
const RESERVED_DIVISOR: u64 = 5;
/// Small bodies take at most one in this many bytes of the process's memory.
const SMALL_BODIES_DIVISOR: u64 = 16;
/// The pool has at least one in this many bytes of the process's memory.
const MIN_POOL_DIVISOR: u64 = 8;
/// Connections together take at most two in five bytes of the process's memory.
const CONNECTIONS_PERCENT: u64 = 40;

/// How the memory of a process is divided, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryShares {
    /// First bytes of all bodies.
    pub small_bodies: usize,
    /// Connections with their heads, and the bodies beyond their first bytes.
    pub pool: usize,
    /// The largest part of the pool that connections may take.
    pub connections: usize,
}

impl MemoryShares {
    /// The shares of a process that may use `memory_bytes`.
    pub fn of_process(memory_bytes: u64) -> Self {
        let reserved = memory_bytes / RESERVED_DIVISOR + RESERVED_BYTES;
        let small_bodies = memory_bytes / SMALL_BODIES_DIVISOR;
        let left = memory_bytes.saturating_sub(reserved + small_bodies);
        let pool = left.max(memory_bytes / MIN_POOL_DIVISOR);
        let connections = (memory_bytes * CONNECTIONS_PERCENT / 100).min(pool);
        let bytes = |value| usize::try_from(value).unwrap_or(usize::MAX);
        Self {
            small_bodies: bytes(small_bodies),
            pool: bytes(pool),
            connections: bytes(connections),
        }
    }
}

/// A number of bytes, taken and returned by several owners. Clones share it.
#[derive(Clone, Debug)]
pub struct MemoryPool {
    used: Arc<AtomicUsize>,
    size: usize,
}

impl MemoryPool {
    /// A pool of `size` bytes.
    pub fn new(size: usize) -> Self {
        Self {
            used: Arc::default(),
            size,
        }
    }

    /// Size of the pool, in bytes.
    pub fn size(&self) -> usize {
        self.size
    }

    /// Takes `bytes` if they are left.
    pub fn try_take(&self, bytes: usize) -> bool {
        let take = |used: usize| Some(used + bytes).filter(|&used| used <= self.size);
        let taken = self
            .used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
        bytes == 0 || taken.is_ok()
    }

    /// Takes `bytes`, also if they are not left.
    pub fn take(&self, bytes: usize) {
        self.used.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Returns `bytes` that were taken.
    pub fn give_back(&self, bytes: usize) {
        self.used.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Whether at least half of the pool is left.
    pub fn is_half_free(&self) -> bool {
        self.used.load(Ordering::Relaxed) <= self.size / 2
    }

    /// Bytes that were taken beyond the size of the pool.
    pub fn excess(&self) -> usize {
        self.used.load(Ordering::Relaxed).saturating_sub(self.size)
    }
}
