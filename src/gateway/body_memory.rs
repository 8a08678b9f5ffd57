//! Bounds the memory of buffered request and response bodies of a daemon.
//!
//! Memory is reserved as bytes arrive, not by the length that a sender announces, so a peer that
//! announces a large body and sends nothing holds no memory. The first bytes of each body come from
//! a budget of their own: bodies without end exhaust only the budget for large ones, and small
//! bodies are still served.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use std::{
    error::Error,
    pin::pin,
    sync::{Arc, Mutex, PoisonError},
};

/// Bytes of a body that are reserved from the budget for small bodies.
pub const SMALL_BODY_BYTES: usize = 64 * 1024;
/// All bodies together take at most one in this many bytes of the process's memory.
const MEMORY_DIVISOR: u64 = 4;
/// The budget for large bodies is this many times the one for small bodies.
const LARGE_BUDGET_FACTOR: usize = 3;
/// One response body takes at most one in this many bytes of the budget for large bodies.
const LARGEST_RESPONSE_DIVISOR: usize = 4;

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

#[derive(Clone, Copy, Debug)]
struct Available {
    small: usize,
    large: usize,
}

/// Memory for buffered bodies, in bytes. Clones share it.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    available: Arc<Mutex<Available>>,
    max_response_bytes: usize,
}

impl BodyMemory {
    /// The share of `memory_bytes`, the memory of the process, that bodies may take.
    pub fn of_process(memory_bytes: u64) -> Self {
        let total = usize::try_from(memory_bytes / MEMORY_DIVISOR).unwrap_or(usize::MAX);
        let small = total / (LARGE_BUDGET_FACTOR + 1);
        let large = total - small;
        Self {
            available: Arc::new(Mutex::new(Available { small, large })),
            max_response_bytes: large / LARGEST_RESPONSE_DIVISOR,
        }
    }

    /// Largest response body that is accepted, in bytes.
    pub fn max_response_bytes(&self) -> usize {
        self.max_response_bytes
    }

    /// Reads a whole body of at most `limit` bytes. The result holds its memory until it is dropped.
    ///
    /// # Errors
    /// [`BodyError`] if the body is not complete, too large, or exceeds the memory that is left.
    pub async fn collect<B>(&self, body: B, limit: usize) -> Result<Bytes, BodyError>
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
        let mut buf = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(|_| BodyError::Incomplete)?.into_data() else {
                continue;
            };
            if buf.len() + data.len() > limit {
                return Err(BodyError::TooLarge);
            }
            reserved.grow(data.len())?;
            buf.extend_from_slice(&data);
        }
        Ok(reserved.attach(buf.freeze()))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Available> {
        self.available
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Memory that one body holds, in bytes.
#[derive(Debug)]
struct Reservation {
    memory: BodyMemory,
    small: usize,
    large: usize,
}

impl Reservation {
    fn grow(&mut self, bytes: usize) -> Result<(), BodyError> {
        let small = bytes.min(SMALL_BODY_BYTES - self.small);
        let large = bytes - small;
        let mut available = self.memory.lock();
        if available.small < small || available.large < large {
            return Err(BodyError::NoMemory);
        }
        available.small -= small;
        available.large -= large;
        self.small += small;
        self.large += large;
        Ok(())
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
        let mut available = self.memory.lock();
        available.small += self.small;
        available.large += self.large;
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
