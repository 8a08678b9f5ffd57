//! Batches conditional row writes into transactions.

use super::row::JournalRow;
use crate::{
    collections::Set,
    store::{CommitOutcome, Row, StoreClient, Transaction},
};
use std::{collections::VecDeque, sync::Arc, time::Duration};
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot},
    time::{Instant, timeout_at},
};

/// Time to wait for further writes of a batch. The store accepts several hundred writes a second
/// from all daemons together.
const BATCH_WINDOW: Duration = Duration::from_millis(4);
/// Largest number of writes in one transaction.
const MAX_WRITES: usize = 64;
/// Largest number of transactions in flight.
const MAX_IN_FLIGHT: usize = 4;
/// Capacity of the queue of writes; senders wait while it is full.
const QUEUE_LENGTH: usize = 1_024;

/// Result of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// It took effect and gave the row this version.
    Committed(u64),
    /// It did not take effect because the row has another version.
    Conflict(Row),
    /// It did not take effect because the store is unavailable.
    Unavailable,
    /// It may have taken effect, now or later.
    Unknown,
}

#[derive(Debug)]
struct PendingWrite {
    row: Arc<str>,
    version: u64,
    value: Arc<str>,
    reply: oneshot::Sender<WriteResult>,
}

/// Handle to the task that commits the batches.
#[derive(Clone, Debug)]
pub struct Batcher {
    tx: mpsc::Sender<PendingWrite>,
}

impl Batcher {
    /// Starts the task on the current runtime. It ends when all handles are dropped.
    pub fn start(store: StoreClient) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE_LENGTH);
        tokio::spawn(run(rx, store));
        Self { tx }
    }

    /// Replaces `row` if it has `version`. The write is batched with others of the next
    /// milliseconds.
    pub async fn write(&self, row: &Arc<str>, version: u64, content: &JournalRow) -> WriteResult {
        let (reply, result) = oneshot::channel();
        let pending = PendingWrite {
            row: Arc::clone(row),
            version,
            value: content.to_text(),
            reply,
        };
        if self.tx.send(pending).await.is_err() {
            return WriteResult::Unavailable;
        }
        result.await.unwrap_or(WriteResult::Unknown)
    }
}

async fn run(mut rx: mpsc::Receiver<PendingWrite>, store: StoreClient) {
    let in_flight = Arc::new(Semaphore::new(MAX_IN_FLIGHT));
    let mut deferred_writes = VecDeque::new();
    loop {
        let batch = collect_batch(&mut rx, &mut deferred_writes).await;
        if batch.is_empty() {
            return;
        }
        let slot = Arc::clone(&in_flight).acquire_owned().await;
        let slot = slot.expect("the semaphore is never closed");
        tokio::spawn(commit(store.clone(), batch, slot));
    }
}

/// Collects a batch in which each row occurs once: the conditions of a transaction are checked
/// before its writes, so two insertions of one row would both succeed. The batch is empty once all
/// handles are dropped.
async fn collect_batch(
    rx: &mut mpsc::Receiver<PendingWrite>,
    deferred_writes: &mut VecDeque<PendingWrite>,
) -> Vec<PendingWrite> {
    let mut rows = Set::default();
    let mut batch = Vec::new();
    let mut deferred = VecDeque::new();
    let mut add = |write: PendingWrite, batch: &mut Vec<PendingWrite>| {
        if rows.insert(Arc::clone(&write.row)) {
            batch.push(write);
        } else {
            deferred.push_back(write);
        }
    };
    for write in deferred_writes.drain(..) {
        add(write, &mut batch);
    }
    if batch.is_empty() {
        match rx.recv().await {
            Some(write) => add(write, &mut batch),
            None => return batch,
        }
    }
    let until = Instant::now() + BATCH_WINDOW;
    while batch.len() < MAX_WRITES {
        match timeout_at(until, rx.recv()).await {
            Ok(Some(write)) => add(write, &mut batch),
            Ok(None) | Err(_) => break,
        }
    }
    *deferred_writes = deferred;
    batch
}

/// Commits the batch. After a conflict, the remaining writes are committed without the conflicting
/// ones.
async fn commit(store: StoreClient, mut batch: Vec<PendingWrite>, _slot: OwnedSemaphorePermit) {
    while !batch.is_empty() {
        let transaction = batch.iter().fold(Transaction::default(), |tx, write| {
            tx.replace(&write.row, write.version, Arc::clone(&write.value))
        });
        match store.commit(&transaction).await {
            CommitOutcome::Committed(versions) => {
                return reply_all(batch, |row| {
                    let version = versions.iter().find(|(name, _)| name == row);
                    version.map_or(WriteResult::Unknown, |(_, v)| WriteResult::Committed(*v))
                });
            }
            CommitOutcome::Conflict(rows) => {
                let (conflicting, rest): (Vec<_>, Vec<_>) = batch
                    .into_iter()
                    .partition(|write| rows.iter().any(|row| row.name == write.row));
                if conflicting.is_empty() {
                    return reply_all(rest, |_| WriteResult::Unavailable);
                }
                reply_all(conflicting, |name| {
                    let row = rows.iter().find(|row| row.name == *name);
                    row.map_or(WriteResult::Unavailable, |r| {
                        WriteResult::Conflict(r.clone())
                    })
                });
                batch = rest;
            }
            CommitOutcome::Unavailable => return reply_all(batch, |_| WriteResult::Unavailable),
            CommitOutcome::Unknown => return reply_all(batch, |_| WriteResult::Unknown),
        }
    }
}

fn reply_all(batch: Vec<PendingWrite>, result: impl Fn(&Arc<str>) -> WriteResult) {
    for write in batch {
        let result = result(&write.row);
        // The requester may have timed out; it resolves the in-doubt write itself.
        let _ = write.reply.send(result);
    }
}
