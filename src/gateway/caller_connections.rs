//! The connections of a listening address, shared between its tasks.

mod account;
mod limits;

pub use account::{Account, CONNECTION_BYTES, CloseReason, ConnectionKey, ConnectionLimits, Phase};
pub use limits::{CallerBounds, ListenerLimits};

use super::memory_pool::MemoryPool;
use crate::{
    clock::{Clock, Millis},
    entry::caller_connection::{HeldAhead, StreamEvent},
};
use http::HeaderMap;
use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use strum::IntoEnumIterator;
use tokio::{
    sync::{Notify, oneshot},
    time::sleep,
};

/// Interval at which connections without progress are closed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest time between two log lines about closed connections.
const LOG_INTERVAL: Millis = Millis(60_000);
/// Memory of an entry of a header map, in bytes.
const HEADER_ENTRY_BYTES: usize = 112;
/// Memory of a header name that is not a standard one, in bytes.
const HEADER_NAME_BYTES: usize = 96;
/// Header maps of a request: the caller's, the forwarded one and that of an attempt. They share names
/// and values.
const HEADER_COPIES: usize = 3;

/// Memory of the task of a request that was sent ahead, with the head of its response, in bytes.
const AHEAD_TASK_BYTES: usize = 8 * 1024;

/// Memory of the heads of a request, in bytes, without its buffer.
fn head_bytes(headers: &HeaderMap) -> usize {
    let entries = headers.capacity() * HEADER_ENTRY_BYTES;
    HEADER_COPIES * entries + headers.len() * HEADER_NAME_BYTES
}

/// Memory for requests that were sent ahead, in bytes. The connection keeps a copy of each header map.
fn ahead_bytes(held: HeldAhead) -> usize {
    let entry = (HEADER_COPIES + 1) * HEADER_ENTRY_BYTES + HEADER_NAME_BYTES;
    held.buffered + held.requests * AHEAD_TASK_BYTES + held.headers * entry
}

/// The connections of a listening address. Clones share them.
#[derive(Clone, Debug)]
pub struct CallerConnections {
    account: Arc<Mutex<Account<oneshot::Sender<()>>>>,
}

impl CallerConnections {
    /// No connections, with these limits.
    pub fn new(limits: ConnectionLimits, pool: MemoryPool) -> Self {
        let account = Account::new(limits, pool);
        Self {
            account: Arc::new(Mutex::new(account)),
        }
    }

    /// Adds a new connection, for which others may be closed. `None` if it must be closed unread.
    pub fn admit(&self) -> Option<CallerConnection> {
        let (closer, closed) = oneshot::channel();
        let key = self.account().admit(closer)?;
        let handle = ConnectionHandle {
            connections: self.clone(),
            key,
            output: Arc::default(),
        };
        Some(CallerConnection { handle, closed })
    }

    /// Closes a connection that holds a body. True if memory of a body will be released.
    pub fn release_body(&self) -> bool {
        self.account().release_body(None)
    }

    /// Closes connections without progress, and logs how many connections of the address `listener` were
    /// closed, until it is dropped.
    pub async fn sweep(self, listener: &'static str, clock: Clock) {
        let (mut logged, mut logged_at) = (0, Millis::ZERO);
        loop {
            sleep(SWEEP_INTERVAL).await;
            let now = clock.now();
            let mut account = self.account();
            account.sweep(now);
            let closed = CloseReason::iter().map(|reason| account.closed(reason));
            let closed: u64 = closed.sum();
            let is_due = logged_at == Millis::ZERO || now.since(logged_at) >= LOG_INTERVAL;
            if closed == logged || !is_due {
                continue;
            }
            let limits = account.limits();
            log::warn!(
                target: "request", listener, closed = closed - logged,
                displaced = account.closed(CloseReason::Displaced),
                stalled = account.closed(CloseReason::Stalled),
                refused = account.closed(CloseReason::Refused), open = account.open(),
                max_open = limits.max_connections, bytes = account.bytes(),
                max_bytes = limits.max_bytes;
                "Caller connections were closed to bound their number and memory."
            );
            (logged, logged_at) = (closed, now);
        }
    }

    /// Adds lines for the metrics of the address `listener` to `text`.
    pub fn write_metrics(&self, listener: &str, text: &mut String) {
        use std::fmt::Write;
        let account = self.account();
        // Writing to a `String` cannot fail.
        for phase in Phase::iter() {
            let count = account.open_in(phase);
            let _ = writeln!(
                text,
                "fireflygauge_caller_connections{{listener=\"{listener}\",phase=\"{phase}\"}} {count}"
            );
        }
        for reason in CloseReason::iter() {
            let count = account.closed(reason);
            let _ = writeln!(
                text,
                "fireflygauge_caller_connections_closed{{listener=\"{listener}\",reason=\"{reason}\"}} {count}"
            );
        }
        let begun = account.begun_ahead();
        let _ = writeln!(
            text,
            "fireflygauge_caller_requests_begun_ahead{{listener=\"{listener}\"}} {begun}"
        );
        let bytes = account.bytes();
        let _ = writeln!(
            text,
            "fireflygauge_caller_connection_bytes{{listener=\"{listener}\"}} {bytes}"
        );
    }

    fn account(&self) -> MutexGuard<'_, Account<oneshot::Sender<()>>> {
        self.account.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An open connection, which is removed from the account when this is dropped.
#[derive(Debug)]
pub struct CallerConnection {
    /// Records what happens on the connection.
    pub handle: ConnectionHandle,
    closed: oneshot::Receiver<()>,
}

impl CallerConnection {
    /// Completes when the connection has to be closed.
    pub async fn closed(&mut self) {
        // The sender is dropped, which is an error.
        let _ = (&mut self.closed).await;
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        self.handle.connections.account().remove(self.handle.key);
    }
}

/// Whether the socket takes output.
#[derive(Debug, Default)]
struct Output {
    blocked: AtomicBool,
    unblocked: Notify,
}

/// Records what happens on a connection. Clones are for the same connection.
#[derive(Clone, Debug)]
pub struct ConnectionHandle {
    connections: CallerConnections,
    key: ConnectionKey,
    output: Arc<Output>,
}

impl ConnectionHandle {
    /// Records what the connection read or wrote.
    pub fn observe(&self, event: StreamEvent) {
        match event {
            StreamEvent::Read(bytes) => self.account().record_received(self.key, bytes),
            StreamEvent::Written => {
                self.account().record_sent(self.key);
                if self.output.blocked.swap(false, Ordering::Relaxed) {
                    self.output.unblocked.notify_waiters();
                }
            }
            StreamEvent::WriteBlocked => {
                if !self.output.blocked.swap(true, Ordering::Relaxed) {
                    self.account().record_blocked(self.key);
                }
            }
            StreamEvent::Flushed => self.account().record_flushed(self.key),
            StreamEvent::HoldsAhead(held) => {
                self.account().record_ahead(self.key, ahead_bytes(held));
            }
        }
    }

    /// Waits until the socket has taken the responses before this request. Requests that are sent
    /// ahead would otherwise pile up responses.
    pub async fn output_taken(&self) {
        loop {
            let unblocked = self.output.unblocked.notified();
            if !self.output.blocked.load(Ordering::Relaxed) {
                return;
            }
            unblocked.await;
        }
    }

    /// Whether the socket does not take the output.
    pub fn is_output_blocked(&self) -> bool {
        self.output.blocked.load(Ordering::Relaxed)
    }

    /// Whether at least half of the memory for connections is left.
    pub fn is_memory_half_free(&self) -> bool {
        self.account().is_half_free()
    }

    /// Records that a request that was sent ahead is at work, until the result is dropped.
    pub fn begin_ahead(&self) -> AheadAtWork {
        self.account().begin_ahead(self.key);
        AheadAtWork(self.clone())
    }

    /// Records that a request head has arrived. False if there is no memory for it.
    pub fn begin_request(&self, headers: &HeaderMap) -> bool {
        let bytes = head_bytes(headers);
        self.account().begin_request(self.key, bytes)
    }

    /// Records the memory that the request body holds.
    pub fn record_body(&self, bytes: usize) {
        self.account().record_body(self.key, bytes);
    }

    /// Closes another connection that holds a body. True if memory of a body will be released.
    pub fn release_body(&self) -> bool {
        self.account().release_body(Some(self.key))
    }

    /// Records that the request is complete.
    pub fn begin_work(&self) {
        self.account().enter(self.key, Phase::Working);
    }

    /// Records that the response is ready.
    pub fn respond(&self) {
        self.account().respond(self.key);
    }

    fn account(&self) -> MutexGuard<'_, Account<oneshot::Sender<()>>> {
        self.connections.account()
    }
}

/// A request at work that was sent ahead.
#[derive(Debug)]
pub struct AheadAtWork(ConnectionHandle);

impl Drop for AheadAtWork {
    fn drop(&mut self) {
        self.0.account().end_ahead(self.0.key);
    }
}
