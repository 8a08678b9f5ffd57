//! Bounds the memory of buffered request and response bodies of a daemon.
//!
//! Memory is reserved as bytes arrive, not by the length that a sender announces, so a peer that
//! announces a large body and sends nothing holds no memory. The first bytes of each body come from
//! a budget of their own: bodies without end exhaust only the budget for large ones, and small
//! bodies are still served.

use super::{
    body_buffer::BodyBuffer,
    memory_pool::{MemoryPool, MemoryShares},
};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use std::{error::Error, fmt, pin::pin, sync::Arc, time::Duration};
use tokio::{
    sync::Notify,
    time::{Instant, timeout_at},
};

/// Bytes of a body that are reserved from the budget for small bodies.
pub const SMALL_BODY_BYTES: usize = 64 * 1024;
/// One response body takes at most one in this many bytes of the memory for large bodies.
const LARGEST_RESPONSE_DIVISOR: usize = 8;
/// Smallest growth of a buffer in the middle of a body, in bytes.
const MIN_GROWTH: usize = 4 * 1024;
/// A buffer grows to this many times what it holds. Smaller steps leave more holes in the heap.
const GROWTH_FACTOR: usize = 2;
/// The same for a body of known length, which bounds the buffer. What has not arrived yet takes part of
/// the budget, but no memory of the system.
const ANNOUNCED_GROWTH_FACTOR: usize = 8;
/// Longest time that a body waits for memory which another one is about to release.
const MAX_WAIT: Duration = Duration::from_millis(250);

/// Why a body was not buffered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// It exceeds the size limit for a single body.
    #[error("the body exceeds the size limit")]
    TooLarge,
    /// The daemon has no memory left for it.
    #[error("no memory is left for the body")]
    NoMemory,
    /// The connection was lost, or the encoding is malformed.
    #[error("the body is incomplete")]
    Incomplete,
}

/// What happens while a body is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEvent {
    /// The body holds this many bytes of memory.
    Holds(usize),
    /// No memory is left.
    Short,
}

/// Releases memory of a body; false if there is none to release.
type ReleaseFn = Arc<dyn Fn() -> bool + Send + Sync>;

/// Memory for buffered bodies, in bytes. Clones share it.
#[derive(Clone)]
pub struct BodyMemory {
    small: MemoryPool,
    large: MemoryPool,
    /// Notified when a body releases its memory.
    released: Arc<Notify>,
    /// Called when a response finds no memory.
    release: Option<ReleaseFn>,
}

impl fmt::Debug for BodyMemory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("BodyMemory")
            .field("small", &self.small)
            .field("large", &self.large)
            .finish_non_exhaustive()
    }
}

impl BodyMemory {
    /// The share of `memory_bytes`, the memory of the process, that bodies may take.
    pub fn of_process(memory_bytes: u64) -> Self {
        let shares = MemoryShares::of_process(memory_bytes);
        Self::new(shares, MemoryPool::new(shares.pool))
    }

    /// Memory for bodies whose bytes beyond the first ones come from `pool`.
    pub fn new(shares: MemoryShares, pool: MemoryPool) -> Self {
        Self {
            small: MemoryPool::new(shares.small_bodies),
            large: pool,
            released: Arc::default(),
            release: None,
        }
    }

    /// Calls `release` when a response finds no memory. A response that is given up may be that of a
    /// request which ran, so unfinished requests and unread responses go first.
    pub fn with_release(self, release: impl Fn() -> bool + Send + Sync + 'static) -> Self {
        Self {
            release: Some(Arc::new(release)),
            ..self
        }
    }

    /// Largest response body that is accepted, in bytes.
    pub fn max_response_bytes(&self) -> usize {
        self.large.size() / LARGEST_RESPONSE_DIVISOR
    }

    /// Whether at least half of the memory for small bodies is left.
    pub fn is_half_free(&self) -> bool {
        self.small.is_half_free()
    }

    /// Reads a whole response body of at most `limit` bytes. The result holds its memory until it is dropped.
    ///
    /// # Errors
    /// [`BodyError`] if the body is not complete, too large, or exceeds the memory that is left.
    pub async fn collect<B>(&self, body: B, limit: usize) -> Result<Bytes, BodyError>
    where
        B: Body<Data = Bytes>,
        B::Error: Into<Box<dyn Error + Send + Sync>>,
    {
        let observer = |event| match event {
            BodyEvent::Holds(_) => false,
            BodyEvent::Short => self.release.as_ref().is_some_and(|release| release()),
        };
        self.collect_observed(body, limit, observer).await
    }

    /// Like [`Self::collect`], and tells `observer` what happens. On [`BodyEvent::Short`], it returns
    /// whether another body will release memory; this one then waits for it for a moment.
    ///
    /// # Errors
    /// [`BodyError`] if the body is not complete, too large, or exceeds the memory that is left.
    pub async fn collect_observed<B>(
        &self,
        body: B,
        limit: usize,
        observer: impl Fn(BodyEvent) -> bool,
    ) -> Result<Bytes, BodyError>
    where
        B: Body<Data = Bytes>,
        B::Error: Into<Box<dyn Error + Send + Sync>>,
    {
        if body.size_hint().lower() > limit as u64 {
            return Err(BodyError::TooLarge);
        }
        let mut body = pin!(body);
        let mut reserved = Reservation {
            memory: self.clone(),
            small: 0,
            large: 0,
        };
        let mut buf = BodyBuffer::default();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(|_| BodyError::Incomplete)?.into_data() else {
                continue;
            };
            let length = buf.len() + data.len();
            if length > limit {
                return Err(BodyError::TooLarge);
            }
            if length > buf.capacity() {
                let announced = body.size_hint().upper().map(|left| length as u64 + left);
                let capacity = next_capacity(length, announced, limit);
                let additional = capacity - buf.capacity();
                reserved.grow_or_wait(additional, &observer).await?;
                buf.grow(capacity).map_err(|_| BodyError::NoMemory)?;
                observer(BodyEvent::Holds(capacity));
            }
            buf.extend_from_slice(&data);
        }
        Ok(reserved.attach(buf.into_bytes()))
    }
}

/// Capacity of a buffer for a body of which `length` bytes have arrived. `announced` is the length of
/// the whole body, if it is known.
fn next_capacity(length: usize, announced: Option<u64>, limit: usize) -> usize {
    let announced = announced.and_then(|bytes| usize::try_from(bytes).ok());
    let (factor, most) = match announced {
        Some(announced) => (ANNOUNCED_GROWTH_FACTOR, announced.min(limit)),
        None => (GROWTH_FACTOR, limit),
    };
    let grown = length.saturating_mul(factor).max(length + MIN_GROWTH);
    grown.min(most).max(length)
}

/// Memory that one body holds, in bytes.
#[derive(Debug)]
struct Reservation {
    memory: BodyMemory,
    small: usize,
    large: usize,
}

impl Reservation {
    /// Takes `bytes`, and waits for a moment if other bodies will release memory.
    async fn grow_or_wait(
        &mut self,
        bytes: usize,
        observer: &impl Fn(BodyEvent) -> bool,
    ) -> Result<(), BodyError> {
        if self.grow(bytes) {
            return Ok(());
        }
        let end = Instant::now() + MAX_WAIT;
        let memory = self.memory.clone();
        loop {
            let released = memory.released.notified();
            if self.grow(bytes) {
                return Ok(());
            }
            if !observer(BodyEvent::Short) || timeout_at(end, released).await.is_err() {
                return Err(BodyError::NoMemory);
            }
        }
    }

    fn grow(&mut self, bytes: usize) -> bool {
        let small = bytes.min(SMALL_BODY_BYTES - self.small);
        let large = bytes - small;
        if !self.memory.small.try_take(small) {
            return false;
        }
        if !self.memory.large.try_take(large) {
            self.memory.small.give_back(small);
            return false;
        }
        self.small += small;
        self.large += large;
        true
    }

    /// Ties the reservation to the life of `bytes`.
    fn attach(self, bytes: Bytes) -> Bytes {
        if bytes.is_empty() {
            return bytes;
        }
        Bytes::from_owner(ReservedBytes {
            bytes,
            _reservation: self,
        })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.small.give_back(self.small);
        self.memory.large.give_back(self.large);
        self.memory.released.notify_waiters();
    }
}

struct ReservedBytes {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
