//! The journal of requests that must run at most once under an idempotency key.
//!
//! A row is inserted before the request is sent, so a repetition finds it on any daemon. Rows are
//! never deleted while a lost write could still take effect: a freed row stays, with its version.

pub mod batch;
pub mod row;

use super::{
    exchange::ExchangeResult, outcome::Answer, reference::unix_ms, refusal::Code,
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

/// Times that one row is written anew after conflicts with rows that may be replaced.
const MAX_REPLACEMENTS: u32 = 4;
/// Time to free a key before its refusal is answered.
const FREE_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between tries to record an answer or to settle a lost write.
const WRITE_RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Pauses between looks at the row of an earlier request that is not answered yet: the first one,
/// and the longest, which bounds the store's work for each waiting repetition.
const MIN_PENDING_POLL: Duration = Duration::from_millis(20);
const MAX_PENDING_POLL: Duration = Duration::from_millis(200);
/// Tries to record an answer or to settle a lost write.
const MAX_WRITE_ATTEMPTS: u32 = 50;

/// Handle to the journal.
#[derive(Clone, Debug)]
pub struct Journal {
    batcher: Batcher,
    link: Link,
    clock: Clock,
}

/// The right to send a request whose row is in the journal.
#[derive(Clone, Debug)]
pub struct RowHandle {
    row: Arc<str>,
    version: u64,
    content: JournalRow,
}

/// What the journal says of a request.
#[derive(Clone, Debug)]
pub enum BeginResult {
    /// It may be sent.
    Send(RowHandle),
    /// An earlier request under the same key was answered.
    Recorded(Answer),
    /// It is refused.
    Refused(Code),
}

impl Journal {
    /// Starts the journal on the current runtime.
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

    /// Takes note of what became of a request. An outcome that is unknown stays so.
    ///
    /// A key whose request did not run is free when this returns, unless the store is down.
    pub async fn finish(&self, handle: RowHandle, result: &ExchangeResult) {
        match result {
            ExchangeResult::Answered(answer) => self.record(handle, State::of(answer)).await,
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
            log::warn!(target: "request", "Answer not recorded in the journal. row={}", handle.row);
        }
    }

    /// Replaces the ticket's row; returns whether it is known what the row holds.
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
                // A conflict shows that an earlier try took effect: only this ticket's holder
                // writes the row until it expires.
                WriteResult::Committed(_) | WriteResult::Conflict(_) => return true,
                WriteResult::Unavailable | WriteResult::Unknown => {}
            }
        }
        false
    }

    /// Frees a row whose insertion may still take effect, so that its key does not stay blocked
    /// by a request that was never sent.
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

/// The course of one insertion.
struct Insertion<'a> {
    journal: &'a Journal,
    handle: RowHandle,
    /// A write was sent whose effect is not known.
    in_doubt: bool,
    /// Pause before the next look at the pending row of an earlier request; zero before the first.
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
                    // The row has passed the version that every write so far required.
                    self.in_doubt = false;
                    match evaluate(&row, &self.handle.content.request_hash, unix_ms()) {
                        RowDecision::Replace if replacements < MAX_REPLACEMENTS => {
                            replacements += 1;
                            self.handle.version = row.version;
                        }
                        RowDecision::Replace => {
                            return BeginResult::Refused(Code::JournalUnavailable);
                        }
                        RowDecision::Recorded(answer) => return BeginResult::Recorded(answer),
                        // The earlier request may be answered while this one waits.
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
                // Repeating the same conditional write settles it: it commits at most once, and a
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
