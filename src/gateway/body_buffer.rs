//! Buffer of a body that is being received.
//!
//! Large buffers are mappings of their own, which the system gets back when they are dropped. Buffers
//! of all sizes that grow in the heap leave holes in it, which took a tenth of the process's memory.

use bytes::Bytes;
use memmap2::MmapMut;
use std::io;

/// Capacity from which a buffer is a mapping of its own, in bytes.
const MIN_MAPPED_BYTES: usize = 64 * 1024;

/// Bytes of a body that have arrived, and room for more.
#[derive(Debug, Default)]
pub struct BodyBuffer {
    storage: Storage,
    length: usize,
}

#[derive(Debug)]
enum Storage {
    Heap(Vec<u8>),
    Mapped(MmapMut),
}

impl Default for Storage {
    fn default() -> Self {
        Self::Heap(Vec::new())
    }
}

impl BodyBuffer {
    /// Number of bytes that have arrived.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether no byte has arrived.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Number of bytes for which there is room, with those that have arrived.
    pub fn capacity(&self) -> usize {
        match &self.storage {
            Storage::Heap(bytes) => bytes.len(),
            Storage::Mapped(map) => map.len(),
        }
    }

    /// Makes room for `capacity` bytes in total.
    ///
    /// # Errors
    /// The system's error if it has no memory.
    pub fn grow(&mut self, capacity: usize) -> io::Result<()> {
        if let Storage::Heap(bytes) = &mut self.storage
            && capacity < MIN_MAPPED_BYTES
        {
            bytes.reserve_exact(capacity.saturating_sub(bytes.len()));
            bytes.resize(capacity, 0);
            return Ok(());
        }
        let mut map = MmapMut::map_anon(capacity)?;
        map[..self.length].copy_from_slice(self.arrived());
        self.storage = Storage::Mapped(map);
        Ok(())
    }

    /// Appends bytes for which there is room.
    ///
    /// # Panics
    /// If there is no room for them.
    pub fn extend_from_slice(&mut self, data: &[u8]) {
        let end = self.length + data.len();
        let room = match &mut self.storage {
            Storage::Heap(bytes) => &mut bytes[self.length..end],
            Storage::Mapped(map) => &mut map[self.length..end],
        };
        room.copy_from_slice(data);
        self.length = end;
    }

    /// The bytes that have arrived.
    pub fn into_bytes(self) -> Bytes {
        let whole = match self.storage {
            Storage::Heap(bytes) => Bytes::from(bytes),
            Storage::Mapped(map) => Bytes::from_owner(map),
        };
        whole.slice(..self.length)
    }

    fn arrived(&self) -> &[u8] {
        match &self.storage {
            Storage::Heap(bytes) => &bytes[..self.length],
            Storage::Mapped(map) => &map[..self.length],
        }
    }
}
