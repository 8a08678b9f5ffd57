//! The journal of requests that must run at most once under an idempotency key.
//!
//! A row is inserted before the request is sent, so a repetition finds it on any daemon. Rows are
//! never deleted while a lost write could still take effect: a freed row stays, with its version.

pub mod batch;
pub mod row;

use super::{
    exchange::Exchange, outcome::Answer, reference::unix_ms, refusal::Code, request::CallerRequest,
};
use crate::{
    clock::{Clock, Millis},
    store::{Row, StoreClient},
    world::Link,
};
use batch::{Batcher, WriteResult};
use row::{JournalRow, State, Verdict, judge, request_hash, row_name};
use std::{sync::Arc, time::Duration};
use tokio::time::{sleep, timeout};

/// Times that one row is written anew after conflicts with rows that may be replaced.
const MAX_REPLACEMENTS: u32 = 4;
/// Time to free a key before its refusal is answered.
const FREE_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between tries to record an answer or to settle a lost write.
const SETTLE_PAUSE: Duration = Duration::from_millis(200);
/// Pauses between looks at the row of an earlier request that is not answered yet: the first one,
/// and the longest, which bounds the store's work for each waiting repetition.
const PENDING_PAUSE: Duration = Duration::from_millis(20);
const LONGEST_PENDING_PAUSE: Duration = Duration::from_millis(200);
/// Tries to record an answer or to settle a lost write.
const SETTLE_TRIES: u32 = 50;

/// Handle to the journal.
#[derive(Clone, Debug)]
pub struct Journal {
    batcher: Batcher,
    link: Link,
    clock: Clock,
}

/// The right to send a request whose row is in the journal.
#[derive(Clone, Debug)]
pub struct Ticket {
    row: Arc<str>,
    version: u64,
    content: JournalRow,
}

/// What the journal says of a request.
#[derive(Clone, Debug)]
pub enum Begun {
    /// It may be sent.
    Send(Ticket),
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
    pub async fn begin(&self, req: &CallerRequest, key: &str) -> Begun {
        let row = row_name(&req.contract.name, key);
        let content = JournalRow::pending(request_hash(req), &self.link, unix_ms());
        let mut insertion = Insertion {
            journal: self,
            ticket: Ticket {
                row,
                version: 0,
                content,
            },
            unsettled: false,
            pause: Duration::ZERO,
        };
        let begun = insertion.run(req.deadline).await;
        if insertion.unsettled && !matches!(begun, Begun::Send(_)) {
            self.settle_later(insertion.ticket);
        }
        begun
    }

    /// Takes note of what became of a request. An outcome that is unknown stays so.
    ///
    /// A key whose request did not run is free when this returns, unless the store is down.
    pub async fn end(&self, ticket: Ticket, result: &Exchange) {
        match result {
            Exchange::Answered(answer) => self.record(ticket, State::of(answer)).await,
            Exchange::NotRun(_) => {
                let freed = self.write_until_settled(&ticket, State::Free, 3);
                if !matches!(timeout(FREE_TIMEOUT, freed).await, Ok(true)) {
                    self.settle_later(ticket);
                }
            }
            Exchange::MayHaveRun(_) => {}
        }
    }

    async fn record(&self, ticket: Ticket, state: State) {
        if !self.write_until_settled(&ticket, state, SETTLE_TRIES).await {
            log::warn!(target: "request", "Answer not recorded in the journal. row={}", ticket.row);
        }
    }

    /// Replaces the ticket's row; returns whether it is known what the row holds.
    async fn write_until_settled(&self, ticket: &Ticket, state: State, tries: u32) -> bool {
        let content = ticket.content.with_state(state);
        for attempt in 0..tries {
            if attempt > 0 {
                sleep(SETTLE_PAUSE).await;
            }
            match self
                .batcher
                .write(&ticket.row, ticket.version, &content)
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
    fn settle_later(&self, mut ticket: Ticket) {
        let journal = self.clone();
        tokio::spawn(async move {
            let freed = ticket.content.with_state(State::Free);
            for _ in 0..SETTLE_TRIES {
                match journal
                    .batcher
                    .write(&ticket.row, ticket.version, &freed)
                    .await
                {
                    WriteResult::Committed(_) => return,
                    WriteResult::Conflict(row) => match ticket.own_version(&row) {
                        Some(version) => ticket.version = version,
                        None => return,
                    },
                    WriteResult::Unavailable | WriteResult::Unknown => sleep(SETTLE_PAUSE).await,
                }
            }
        });
    }
}

impl Ticket {
    /// The version of `row` if it is this ticket's, still pending.
    fn own_version(&self, row: &Row) -> Option<u64> {
        let content = JournalRow::parse(row)?;
        let own = content.operation == self.content.operation && content.state == State::Pending;
        own.then_some(row.version)
    }
}

/// The course of one insertion.
struct Insertion<'a> {
    journal: &'a Journal,
    ticket: Ticket,
    /// A write was sent whose effect is not known.
    unsettled: bool,
    /// Pause before the next look at the pending row of an earlier request; zero before the first.
    pause: Duration,
}

impl Insertion<'_> {
    async fn run(&mut self, deadline: Millis) -> Begun {
        let mut replacements = 0;
        loop {
            let left = self.journal.clock.until(deadline);
            let ticket = &self.ticket;
            let write = self
                .journal
                .batcher
                .write(&ticket.row, ticket.version, &ticket.content);
            match timeout(left, write).await {
                Ok(WriteResult::Committed(version)) => return self.inserted(version),
                Ok(WriteResult::Conflict(row)) => {
                    if let Some(version) = self.ticket.own_version(&row) {
                        return self.inserted(version);
                    }
                    // The row has passed the version that every write so far required.
                    self.unsettled = false;
                    match judge(&row, &self.ticket.content.request_hash, unix_ms()) {
                        Verdict::Replace if replacements < MAX_REPLACEMENTS => {
                            replacements += 1;
                            self.ticket.version = row.version;
                        }
                        Verdict::Replace => return Begun::Refused(Code::JournalUnavailable),
                        Verdict::Recorded(answer) => return Begun::Recorded(answer),
                        // The earlier request may be answered while this one waits.
                        Verdict::Refused(Code::AnswerPending) if self.may_wait(deadline) => {
                            sleep(self.pause).await;
                        }
                        Verdict::Refused(code) => return Begun::Refused(code),
                    }
                }
                Ok(WriteResult::Unavailable) if !self.unsettled => {
                    return Begun::Refused(Code::JournalUnavailable);
                }
                // Repeating the same conditional write settles it: it commits at most once, and a
                // conflict returns the row with its operation id.
                Ok(WriteResult::Unknown | WriteResult::Unavailable) => {
                    self.unsettled = true;
                    sleep(Duration::from_millis(20).min(self.journal.clock.until(deadline))).await;
                }
                Err(_) if self.pause > Duration::ZERO => {
                    return Begun::Refused(Code::AnswerPending);
                }
                Err(_) => {
                    self.unsettled = true;
                    return Begun::Refused(Code::JournalUnavailable);
                }
            }
        }
    }

    /// Sets the next pause; returns whether it ends before `deadline`.
    fn may_wait(&mut self, deadline: Millis) -> bool {
        self.pause = (self.pause * 2).clamp(PENDING_PAUSE, LONGEST_PENDING_PAUSE);
        self.pause < self.journal.clock.until(deadline)
    }

    fn inserted(&mut self, version: u64) -> Begun {
        self.unsettled = false;
        self.ticket.version = version;
        Begun::Send(self.ticket.clone())
    }
}
