//! Decides which connections are closed when a process runs short of descriptors or memory.
//!
//! Slow callers stay in a phase, ordinary ones pass through it in milliseconds. So the connection that
//! has been in its phase for the longest is closed first, which needs no rates.

use crate::{clock::Millis, gateway::memory_pool::MemoryPool};
use slotmap::{SlotMap, new_key_type};
use strum::{Display, EnumCount, EnumIter};

/// Memory of a connection on which nothing has arrived, in bytes: its task and hyper's buffers.
pub const CONNECTION_BYTES: usize = 20 * 1024;
/// Memory of a request from its head on, in bytes, besides what arrives: hyper replaces the buffer that
/// the head shares, and the state of the request is allocated.
const REQUEST_BYTES: usize = 14 * 1024;
/// Memory of a connection whose socket takes no output, in bytes: the caller has filled both buffers of
/// the socket and those of the connection.
const BLOCKED_BYTES: usize = 128 * 1024;
/// Received bytes up to which the buffers of a connection grow.
const MAX_BUFFERED_BYTES: usize = 16 * 1024;
/// Memory that the receive buffer of a socket takes, in bytes, once a caller sends more than the buffers
/// of the connection hold. It fills up whenever the process reads late.
const RECEIVE_BUFFER_BYTES: usize = 32 * 1024;
/// Memory that received bytes take, as a multiple: a buffer is copied while it grows.
const BUFFER_FACTOR: usize = 2;
/// Idle time from which a connection is closed before those that are in the middle of a request. The
/// first bytes of a new connection may be on their way.
const FRESH_TIME: Millis = Millis(1_000);
/// A body that holds more than this is the first to go if bodies take the memory of connections.
const LARGE_BODY_BYTES: usize = 64 * 1024;

new_key_type! {
    /// A connection in an [`Account`].
    pub struct ConnectionKey;
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumCount, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Phase {
    /// No request has begun to arrive.
    Idle,
    /// A request head is arriving.
    Head,
    /// The head has arrived, the body has not.
    Body,
    /// The request is queued or at an endpoint.
    Working,
    /// The response is being written.
    Response,
}

/// Why a connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumCount, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum CloseReason {
    /// Another connection or request needed its place.
    Displaced,
    /// It neither sent nor took a byte for too long, or its response took too long.
    Stalled,
    /// It was new, and no other connection could be closed for it.
    Refused,
}

/// Bounds on the connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Most open connections.
    pub max_connections: usize,
    /// Most memory of all connections, in bytes, without bodies.
    pub max_bytes: usize,
    /// Longest time without progress in the middle of a head, a body or a response.
    pub stall_timeout: Millis,
    /// Longest time for a response to be written.
    pub response_timeout: Millis,
}

#[derive(Debug)]
struct Connection<T> {
    phase: Phase,
    /// Position among all changes of a phase.
    order: u64,
    since: Millis,
    progress_at: Millis,
    /// Bytes received since the connection was idle.
    received: usize,
    /// Memory of the request in progress without its body.
    request_bytes: usize,
    body_bytes: usize,
    /// Memory for requests that were sent ahead, in bytes.
    ahead_bytes: usize,
    /// Requests at work that were sent ahead.
    ahead_at_work: usize,
    /// Whether the socket takes no output.
    is_blocked: bool,
    /// Dropped to close the connection; `None` once it is closing.
    closer: Option<T>,
}

impl<T> Connection<T> {
    /// Whether closing the connection releases memory of a request or response body.
    fn holds_body(&self) -> bool {
        self.body_bytes > 0 || (self.phase == Phase::Response && self.is_blocked)
    }

    /// Memory of the connection without its body, in bytes.
    fn bytes(&self) -> usize {
        let buffered = self.received.min(MAX_BUFFERED_BYTES);
        let blocked = if self.is_blocked { BLOCKED_BYTES } else { 0 };
        let is_full = buffered == MAX_BUFFERED_BYTES;
        let unread = if is_full { RECEIVE_BUFFER_BYTES } else { 0 };
        let request = self.request_bytes + self.ahead_bytes;
        CONNECTION_BYTES + BUFFER_FACTOR * buffered + request + unread + blocked
    }
}

/// All connections of a listening address. A connection is closed by dropping its `T`.
#[derive(Debug)]
pub struct Account<T> {
    limits: ConnectionLimits,
    pool: MemoryPool,
    connections: SlotMap<ConnectionKey, Connection<T>>,
    now: Millis,
    order: u64,
    open: usize,
    bytes: usize,
    /// Bodies of connections that are closing.
    closing_body_bytes: usize,
    closed: [u64; CloseReason::COUNT],
    begun_ahead: u64,
}

impl<T> Account<T> {
    /// An account without connections, which takes its memory from `pool`.
    pub fn new(limits: ConnectionLimits, pool: MemoryPool) -> Self {
        Self {
            limits,
            pool,
            connections: SlotMap::with_key(),
            now: Millis::ZERO,
            order: 0,
            open: 0,
            bytes: 0,
            closing_body_bytes: 0,
            closed: [0; CloseReason::COUNT],
            begun_ahead: 0,
        }
    }

    /// Adds a new connection and closes others if there is no room for it. `None` if there is none
    /// nevertheless.
    pub fn admit(&mut self, closer: T) -> Option<ConnectionKey> {
        self.order += 1;
        let connection = Connection {
            phase: Phase::Idle,
            order: self.order,
            since: self.now,
            progress_at: self.now,
            received: 0,
            request_bytes: 0,
            body_bytes: 0,
            ahead_bytes: 0,
            ahead_at_work: 0,
            is_blocked: false,
            closer: Some(closer),
        };
        self.open += 1;
        self.bytes += connection.bytes();
        self.pool.take(connection.bytes());
        let key = self.connections.insert(connection);
        if self.make_room(key) {
            return Some(key);
        }
        self.close(key, CloseReason::Refused);
        self.remove(key);
        None
    }

    /// Records the end of a connection.
    pub fn remove(&mut self, key: ConnectionKey) {
        let Some(connection) = self.connections.remove(key) else {
            return;
        };
        if connection.closer.is_some() {
            self.open -= 1;
            self.bytes -= connection.bytes();
            self.pool.give_back(connection.bytes());
        } else {
            self.closing_body_bytes -= connection.body_bytes;
        }
    }

    /// Records that bytes were received, and closes other connections if they take too much memory.
    pub fn record_received(&mut self, key: ConnectionKey, bytes: usize) {
        let (now, before) = (self.now, self.bytes);
        self.update(key, |connection| {
            connection.progress_at = now;
            connection.received += bytes;
        });
        if self.phase(key) == Some(Phase::Idle) {
            self.enter(key, Phase::Head);
        }
        if self.bytes > before {
            // If there is no other connection to close, the request is refused once it is complete.
            self.make_room(key);
        }
    }

    /// Records that bytes of a response were written.
    pub fn record_sent(&mut self, key: ConnectionKey) {
        if self.phase(key) == Some(Phase::Idle) {
            self.enter(key, Phase::Response);
        }
        let now = self.now;
        self.update(key, |connection| {
            connection.progress_at = now;
            connection.is_blocked = false;
        });
    }

    /// Records that the socket takes no output, and closes other connections if its buffers take too
    /// much memory.
    pub fn record_blocked(&mut self, key: ConnectionKey) {
        self.update(key, |connection| connection.is_blocked = true);
        self.make_room(key);
    }

    /// Records that all of a response was written.
    pub fn record_flushed(&mut self, key: ConnectionKey) {
        if self.phase(key) == Some(Phase::Response) {
            self.update(key, |connection| {
                connection.received = 0;
                connection.request_bytes = 0;
                connection.body_bytes = 0;
            });
            self.enter(key, Phase::Idle);
        }
    }

    /// Records that a request head of `head_bytes`, with its copies, has arrived. False if there is no
    /// memory for it.
    pub fn begin_request(&mut self, key: ConnectionKey, head_bytes: usize) -> bool {
        let request_bytes = REQUEST_BYTES + head_bytes;
        self.update(key, |connection| connection.request_bytes = request_bytes);
        self.enter(key, Phase::Body);
        self.make_room(key)
    }

    /// Records the memory that is held for requests that were sent ahead.
    pub fn record_ahead(&mut self, key: ConnectionKey, bytes: usize) {
        self.update(key, |connection| connection.ahead_bytes = bytes);
    }

    /// Records that a request that was sent ahead begins. The connection is not closed to make room
    /// until it ends.
    pub fn begin_ahead(&mut self, key: ConnectionKey) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.ahead_at_work += 1;
            self.begun_ahead += 1;
        }
    }

    /// Number of requests that have begun before those ahead of them were answered.
    pub fn begun_ahead(&self) -> u64 {
        self.begun_ahead
    }

    /// Records that a request that was sent ahead has ended.
    pub fn end_ahead(&mut self, key: ConnectionKey) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.ahead_at_work -= 1;
        }
    }

    /// Whether at least half of the memory is left, for connections and in the pool.
    pub fn is_half_free(&self) -> bool {
        self.bytes <= self.limits.max_bytes / 2 && self.pool.is_half_free()
    }

    /// Records the memory that the request body holds.
    pub fn record_body(&mut self, key: ConnectionKey, bytes: usize) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let before = std::mem::replace(&mut connection.body_bytes, bytes);
        if connection.closer.is_none() {
            self.closing_body_bytes = self.closing_body_bytes + bytes - before;
        }
    }

    /// Records that a response is ready, and that the request and its body have been dropped.
    pub fn respond(&mut self, key: ConnectionKey) {
        self.record_body(key, 0);
        self.enter(key, Phase::Response);
    }

    /// Records that a connection enters a phase.
    pub fn enter(&mut self, key: ConnectionKey, phase: Phase) {
        self.order += 1;
        if let Some(connection) = self.connections.get_mut(key) {
            connection.phase = phase;
            connection.order = self.order;
            connection.since = self.now;
            connection.progress_at = self.now;
        }
    }

    /// Closes the connection, other than `spared`, that has been receiving a body, or not reading its
    /// response, for the longest. True if memory of a body will be released.
    pub fn release_body(&mut self, spared: Option<ConnectionKey>) -> bool {
        if self.closing_body_bytes > 0 {
            return true;
        }
        let oldest = self
            .candidates(spared)
            .filter(|(_, connection)| connection.holds_body())
            .min_by_key(|(_, connection)| connection.order)
            .map(|(key, _)| key);
        oldest.is_some_and(|key| self.close(key, CloseReason::Displaced))
    }

    /// Sets the time, and closes connections that make no progress.
    pub fn sweep(&mut self, now: Millis) {
        self.now = now;
        let limits = self.limits;
        let stalled: Vec<ConnectionKey> = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.closer.is_some())
            .filter(|(_, connection)| match connection.phase {
                Phase::Idle | Phase::Working => false,
                Phase::Head | Phase::Body => {
                    now.since(connection.progress_at) > limits.stall_timeout
                }
                Phase::Response => {
                    now.since(connection.progress_at) > limits.stall_timeout
                        || now.since(connection.since) > limits.response_timeout
                }
            })
            .map(|(key, _)| key)
            .collect();
        for key in stalled {
            self.close(key, CloseReason::Stalled);
        }
    }

    /// What a connection is doing; `None` if it has ended.
    pub fn phase(&self, key: ConnectionKey) -> Option<Phase> {
        self.connections.get(key).map(|connection| connection.phase)
    }

    /// Number of open connections in a phase.
    pub fn open_in(&self, phase: Phase) -> usize {
        let connections = self.connections.values();
        connections
            .filter(|connection| connection.phase == phase && connection.closer.is_some())
            .count()
    }

    /// Number of connections that were closed for this reason.
    pub fn closed(&self, reason: CloseReason) -> u64 {
        self.closed[reason as usize]
    }

    /// Number of open connections.
    pub fn open(&self) -> usize {
        self.open
    }

    /// Memory of all open connections, in bytes, without bodies.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The bounds.
    pub fn limits(&self) -> ConnectionLimits {
        self.limits
    }

    /// Changes an open connection, and the totals with it.
    fn update(&mut self, key: ConnectionKey, change: impl FnOnce(&mut Connection<T>)) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        if connection.closer.is_none() {
            return;
        }
        let before = connection.bytes();
        change(connection);
        let after = connection.bytes();
        if before == after {
            return;
        }
        self.bytes = self.bytes + after - before;
        self.pool.give_back(before);
        self.pool.take(after);
    }

    /// Closes connections other than `spared` until all bounds are kept. False if that is impossible.
    fn make_room(&mut self, spared: ConnectionKey) -> bool {
        loop {
            let is_pool_short = self.pool.excess() > self.closing_body_bytes;
            let is_full =
                self.open > self.limits.max_connections || self.bytes > self.limits.max_bytes;
            if !is_pool_short && !is_full {
                return true;
            }
            let large_body = (is_pool_short && !is_full).then(|| self.largest_body(spared));
            let victim = large_body.flatten().or_else(|| self.victim(spared));
            let Some(key) = victim else {
                return false;
            };
            self.close(key, CloseReason::Displaced);
        }
    }

    /// Open connections that may be closed for another one.
    fn candidates(
        &self,
        spared: Option<ConnectionKey>,
    ) -> impl Iterator<Item = (ConnectionKey, &Connection<T>)> {
        self.connections.iter().filter(move |(key, connection)| {
            let is_at_work = connection.phase == Phase::Working || connection.ahead_at_work > 0;
            Some(*key) != spared && connection.closer.is_some() && !is_at_work
        })
    }

    /// The connection that holds most of a body that is arriving.
    fn largest_body(&self, spared: ConnectionKey) -> Option<ConnectionKey> {
        self.candidates(Some(spared))
            .filter(|(_, connection)| connection.body_bytes > LARGE_BODY_BYTES)
            .max_by_key(|(_, connection)| connection.body_bytes)
            .map(|(key, _)| key)
    }

    /// The connection to close first: an idle one, or else the one that has been in its phase for the
    /// longest.
    fn victim(&self, spared: ConnectionKey) -> Option<ConnectionKey> {
        self.candidates(Some(spared))
            .min_by_key(|(_, connection)| {
                let is_idle = connection.phase == Phase::Idle
                    && self.now.since(connection.since) > FRESH_TIME;
                (!is_idle, connection.order)
            })
            .map(|(key, _)| key)
    }

    /// Closes an open connection; false if it is closing already.
    fn close(&mut self, key: ConnectionKey, reason: CloseReason) -> bool {
        let Some(connection) = self.connections.get_mut(key) else {
            return false;
        };
        if connection.closer.take().is_none() {
            return false;
        }
        let (bytes, body_bytes) = (connection.bytes(), connection.body_bytes);
        self.open -= 1;
        self.bytes -= bytes;
        self.pool.give_back(bytes);
        self.closing_body_bytes += body_bytes;
        self.closed[reason as usize] += 1;
        true
    }
}
