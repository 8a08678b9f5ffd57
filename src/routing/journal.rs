//! Journal of requests with idempotency keys, which must run at most once.
//!
//! A row is inserted before the request is sent, so that any daemon finds it when the request is
//! repeated. Rows are never deleted while an in-doubt write could still take effect: a freed row
//! stays, with its version.

pub mod batch;
pub mod row;

use super::{
    exchange::ExchangeResult, outcome::TargetResponse, reference::unix_ms, refusal::Code,
    request::CallerRequest,
};
use crate::{
    clock::{Clock, Millis},
    store::{Row, StoreClient},
    world::Link,
};
use batch::{Batcher, WriteResult};
use row::{JournalRow, RowDecision, State, evaluate, request_hash, row_name};
use std::{sync::Arc, time::Duration};
use tokio::time::{sleep, timeout};

/// Largest number of times that an insertion is retried after a conflict with a replaceable row.
const MAX_REPLACEMENTS: u32 = 4;
/// Time to wait for a key to be freed before the refusal is sent.
const FREE_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay between attempts to record a response or to resolve an in-doubt write.
const WRITE_RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Interval between polls of the row of an earlier request that has no response yet: the first and
/// the longest one, which bounds the store's load per waiting duplicate.
const MIN_PENDING_POLL: Duration = Duration::from_millis(20);
const MAX_PENDING_POLL: Duration = Duration::from_millis(200);
/// Largest number of attempts to record a response or to resolve an in-doubt write.
const MAX_WRITE_ATTEMPTS: u32 = 50;

/// Handle to the journal.
#[derive(Clone, Debug)]
pub struct Journal {
    batcher: Batcher,
    link: Link,
    clock: Clock,
}

/// Handle of the row that was inserted for a request. Whoever holds it may send the request.
#[derive(Clone, Debug)]
pub struct RowHandle {
    row: Arc<str>,
    version: u64,
    content: JournalRow,
}

/// Result of [`Journal::begin`].
#[derive(Clone, Debug)]
pub enum BeginResult {
    /// The row is inserted; the request may be sent.
    Send(RowHandle),
    /// The recorded response to an earlier request with the same key.
    Recorded(TargetResponse),
    /// The request is refused with this code.
    Refused(Code),
}

impl Journal {
    /// Starts the journal's batcher on the current runtime.
    pub fn start(store: StoreClient, link: Link, clock: Clock) -> Self {
        Self {
            batcher: Batcher::start(store),
            link,
            clock,
        }
    }

    /// Inserts the row of `req`, whose idempotency key is `key`.
    pub async fn begin(&self, req: &CallerRequest, key: &str) -> BeginResult {
        let row = row_name(&req.contract.name, key);
        let content = JournalRow::pending(request_hash(req), &self.link, unix_ms());
        let mut insertion = Insertion {
            journal: self,
            handle: RowHandle {
                row,
                version: 0,
                content,
            },
            in_doubt: false,
            poll_interval: Duration::ZERO,
        };
        let begin_result = insertion.run(req.deadline).await;
        if insertion.in_doubt && !matches!(begin_result, BeginResult::Send(_)) {
            self.free_in_background(insertion.handle);
        }
        begin_result
    }

    /// Records the result of a request. If it may have run, its row stays pending.
    ///
    /// If it did not run, its key is free when this returns, unless the store is unavailable.
    pub async fn finish(&self, handle: RowHandle, result: &ExchangeResult) {
        match result {
            ExchangeResult::Answered(response) => self.record(handle, State::of(response)).await,
            ExchangeResult::NotRun(_) => {
                let freed = self.write_until_resolved(&handle, State::Free, 3);
                if !matches!(timeout(FREE_TIMEOUT, freed).await, Ok(true)) {
                    self.free_in_background(handle);
                }
            }
            ExchangeResult::MayHaveRun(_) => {}
        }
    }

    async fn record(&self, handle: RowHandle, state: State) {
        if !self
            .write_until_resolved(&handle, state, MAX_WRITE_ATTEMPTS)
            .await
        {
            log::warn!(target: "request", "Response not recorded in the journal; its key stays pending until it expires. row={}", handle.row);
        }
    }

    /// Replaces the request's row; returns whether the content of the row is known afterwards.
    async fn write_until_resolved(
        &self,
        handle: &RowHandle,
        state: State,
        max_attempts: u32,
    ) -> bool {
        let content = handle.content.with_state(state);
        for attempt in 0..max_attempts {
            if attempt > 0 {
                sleep(WRITE_RETRY_PAUSE).await;
            }
            match self
                .batcher
                .write(&handle.row, handle.version, &content)
                .await
            {
                // A conflict shows that an earlier attempt took effect: only the holder of this
                // handle writes the row until it expires.
                WriteResult::Committed(_) | WriteResult::Conflict(_) => return true,
                WriteResult::Unavailable | WriteResult::Unknown => {}
            }
        }
        false
    }

    /// Frees a row whose insertion or release is in doubt, so that a request that did not run does
    /// not block its key.
    fn free_in_background(&self, mut handle: RowHandle) {
        let journal = self.clone();
        tokio::spawn(async move {
            let freed = handle.content.with_state(State::Free);
            for _ in 0..MAX_WRITE_ATTEMPTS {
                match journal
                    .batcher
                    .write(&handle.row, handle.version, &freed)
                    .await
                {
                    WriteResult::Committed(_) => return,
                    WriteResult::Conflict(row) => match handle.own_version(&row) {
                        Some(version) => handle.version = version,
                        None => return,
                    },
                    WriteResult::Unavailable | WriteResult::Unknown => {
                        sleep(WRITE_RETRY_PAUSE).await
                    }
                }
            }
        });
    }
}

impl RowHandle {
    /// Version of `row` if this request inserted it and it is still pending.
    fn own_version(&self, row: &Row) -> Option<u64> {
        let content = JournalRow::parse(row)?;
        let own = content.operation == self.content.operation && content.state == State::Pending;
        own.then_some(row.version)
    }
}

/// State of one insertion.
struct Insertion<'a> {
    journal: &'a Journal,
    handle: RowHandle,
    /// Whether a write was sent whose effect is unknown.
    in_doubt: bool,
    /// Interval before the next poll of an earlier request's pending row; zero before the first.
    poll_interval: Duration,
}

impl Insertion<'_> {
    async fn run(&mut self, deadline: Millis) -> BeginResult {
        let mut replacements = 0;
        loop {
            let left = self.journal.clock.until(deadline);
            let handle = &self.handle;
            let write = self
                .journal
                .batcher
                .write(&handle.row, handle.version, &handle.content);
            match timeout(left, write).await {
                Ok(WriteResult::Committed(version)) => return self.inserted(version),
                Ok(WriteResult::Conflict(row)) => {
                    if let Some(version) = self.handle.own_version(&row) {
                        return self.inserted(version);
                    }
                    // The row's version is now higher than the one that all writes so far required,
                    // so none of them can take effect any more.
                    self.in_doubt = false;
                    match evaluate(&row, &self.handle.content.request_hash, unix_ms()) {
                        RowDecision::Replace if replacements < MAX_REPLACEMENTS => {
                            replacements += 1;
                            self.handle.version = row.version;
                        }
                        RowDecision::Replace => {
                            return BeginResult::Refused(Code::JournalUnavailable);
                        }
                        RowDecision::Recorded(response) => return BeginResult::Recorded(response),
                        // The earlier request may get its response while this one waits.
                        RowDecision::Refused(Code::AnswerPending)
                            if self.can_poll_again(deadline) =>
                        {
                            sleep(self.poll_interval).await;
                        }
                        RowDecision::Refused(code) => return BeginResult::Refused(code),
                    }
                }
                Ok(WriteResult::Unavailable) if !self.in_doubt => {
                    return BeginResult::Refused(Code::JournalUnavailable);
                }
                // Retrying the same conditional write resolves it: it commits at most once, and a
                // conflict returns the row with its operation id.
                Ok(WriteResult::Unknown | WriteResult::Unavailable) => {
                    self.in_doubt = true;
                    sleep(Duration::from_millis(20).min(self.journal.clock.until(deadline))).await;
                }
                Err(_) if self.poll_interval > Duration::ZERO => {
                    return BeginResult::Refused(Code::AnswerPending);
                }
                Err(_) => {
                    self.in_doubt = true;
                    return BeginResult::Refused(Code::JournalUnavailable);
                }
            }
        }
    }

    /// Doubles the poll interval within its bounds; returns whether it ends before `deadline`.
    fn can_poll_again(&mut self, deadline: Millis) -> bool {
        self.poll_interval = (self.poll_interval * 2).clamp(MIN_PENDING_POLL, MAX_PENDING_POLL);
        self.poll_interval < self.journal.clock.until(deadline)
    }

    fn inserted(&mut self, version: u64) -> BeginResult {
        self.in_doubt = false;
        self.handle.version = version;
        BeginResult::Send(self.handle.clone())
    }
}
