//! The interface of the adapter to a platform.

use super::model::{Configuration, EndpointEntry, KeyRange};
use crate::clock::Millis;
use bytes::Bytes;
use http::HeaderName;
use serde::{Deserialize, Serialize};
use std::{future::Future, net::SocketAddr, sync::Arc, time::Duration};
use strum::Display;

/// Tables of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "lowercase")]
pub enum Table {
    /// What operators declare.
    Declarations,
    /// Endpoints, registered by themselves.
    Endpoints,
    /// The controller lease.
    Controller,
    /// Owners of keys, a row for each keyed service.
    Owners,
}

/// A row as it is stored, or the mark of one that was removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRow {
    /// Name, unique in its table.
    pub name: Arc<str>,
    /// Version of its last change.
    pub version: u64,
    /// Content; `None` if the row was removed.
    pub value: Option<Bytes>,
}

/// Rows of a table and the version of the store at which they were read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rows {
    /// The rows.
    pub rows: Vec<StoredRow>,
    /// Newest version of the store.
    pub version: u64,
}

/// What changed in a table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Changes {
    /// Rows in the order of their changes.
    Rows(Rows),
    /// The changes since the asked version are no longer known; the table has to be read again.
    HistoryLost,
}

/// A condition on a row and its new content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowWrite {
    /// Table of the row.
    pub table: Table,
    /// Name of the row.
    pub name: Arc<str>,
    /// Version that the row must have, 0 if it must not exist; `None` for any.
    pub expected: Option<u64>,
    /// New content, or `None` to remove the row.
    pub value: Option<Bytes>,
}

/// How a transaction ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect at this version.
    Committed(u64),
    /// A condition failed; nothing was written.
    Conflict,
    /// Nothing was written; the store may take it later.
    Refused,
    /// Nothing was written, and the store never takes such rows.
    Invalid,
    /// It may have taken effect, or may still.
    Unknown,
}

/// Why the store gave no rows.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// It refused the call.
    #[error("the store refused the call with status {0}")]
    Refused(u16),
    /// It could not be reached or did not answer in time.
    #[error("the store did not answer: {0}")]
    Unreachable(Arc<str>),
    /// Its answer cannot be read.
    #[error("the answer of the store is malformed: {0}")]
    Malformed(Arc<str>),
}

/// A command that gives keys to an endpoint, or renews its lease on them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantCommand {
    /// The keys.
    pub keys: KeyRange,
    /// Fencing token.
    pub token: u64,
    /// Length of the lease.
    pub lease: Millis,
    /// State that the former owner handed over.
    pub handover: Option<Arc<str>>,
}

/// How an endpoint took a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantOutcome {
    /// It owns the keys.
    Granted,
    /// It has seen a higher fencing token on one of the keys.
    Fenced,
    /// It refused the command for another reason.
    Refused,
    /// No connection was made, so the command was not sent.
    NotSent,
    /// It may have taken the command, or may still.
    Unknown,
}

/// How an endpoint took a release.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReleaseOutcome {
    /// It no longer owns the keys, and no work runs on them.
    Released(Option<Arc<str>>),
    /// Nothing listens at its address, as seen from this daemon.
    ConnectionRefused,
    /// It may still own the keys.
    Unknown,
}

/// What an attempt to connect shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProbeResult {
    /// Something accepts connections.
    Accepted,
    /// Connections are refused.
    Refused,
    /// There is no answer.
    Unknown,
}

/// Names of the headers that the platform defines.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Names a request; echoed in its answer.
    pub request_id: HeaderName,
    /// Milliseconds that the sender will wait.
    pub deadline: HeaderName,
    /// Names the endpoint that alone may run the request.
    pub expected_endpoint: HeaderName,
    /// States that the endpoint did not run the request.
    pub not_executed: HeaderName,
    /// Signs an answer of an endpoint.
    pub signature: HeaderName,
    /// Load of an endpoint: running, waiting, slots.
    pub load: HeaderName,
    /// Key of a request for a keyed service.
    pub key: HeaderName,
    /// Name of the endpoint that answers.
    pub endpoint: HeaderName,
}

/// A platform, as an adapter presents it.
pub trait Platform: Clone + Send + Sync + 'static {
    /// Reads a whole table.
    fn read(&self, table: Table) -> impl Future<Output = Result<Rows, StoreError>> + Send;

    /// Waits up to `wait` for changes of a table after a version.
    fn changes(
        &self,
        table: Table,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, StoreError>> + Send;

    /// Writes rows together, or none of them.
    fn write(&self, writes: Vec<RowWrite>) -> impl Future<Output = WriteOutcome> + Send;

    /// Gives keys to the endpoint at `addr`.
    fn grant(
        &self,
        addr: SocketAddr,
        command: GrantCommand,
    ) -> impl Future<Output = GrantOutcome> + Send;

    /// Takes keys back from the endpoint at `addr`.
    fn release(
        &self,
        addr: SocketAddr,
        keys: KeyRange,
        token: u64,
    ) -> impl Future<Output = ReleaseOutcome> + Send;

    /// Whether something accepts connections at `addr`.
    fn probe(&self, addr: SocketAddr) -> impl Future<Output = ProbeResult> + Send;

    /// Decodes a declared configuration from a row; `None` if the row holds something else.
    fn configuration(&self, row: &StoredRow) -> Option<Result<Configuration, String>>;

    /// Decodes an endpoint from its row.
    ///
    /// # Errors
    /// What is wrong with the row; it then names no endpoint.
    fn endpoint(&self, row: &StoredRow) -> Result<EndpointEntry, String>;

    /// Names of the platform's headers.
    fn header_names(&self) -> &HeaderNames;

    /// Length of the longest lease that endpoints accept.
    fn max_lease(&self) -> Millis;
}
