//! Changes of the configuration: conditional on the version that the operator saw, audited, and
//! acknowledged only when committed.

use super::{
    ConfigHead, ConfigSnapshot, assignment_check,
    plan::{ChangeRequest, Plan, WriteMetadata, plan},
    reader::{self, HEAD_ROW},
};
use crate::{
    audit::{self, Action, AuditRecord},
    collections::Set,
    declaration::Declaration,
    entry::directory::{Directory, DirectoryUpdate},
    store::{CommitOutcome, Row, StoreClient, StoreError, Transaction},
    world::VmName,
};
use jiff::Timestamp;
use serde::{Deserialize, Serialize};
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, sleep};
use uuid::Uuid;

/// Time to resolve an in-doubt write, whose answer was lost.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between attempts to resolve a write, and after a stale read.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Reads of the head while it is older than expected. If the last one is still older than this
/// daemon's own configuration, the store counts as unavailable.
const MAX_HEAD_READS: u32 = 5;
/// Most audit records that a conflict reports.
const MAX_CONFLICT_RECORDS: u64 = 20;

/// Outcome of a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum ChangeOutcome {
    /// The change is committed.
    Committed {
        /// The head after the change.
        head: ConfigHead,
    },
    /// The configuration already has the requested content.
    Unchanged {
        /// The version in force; 0 for none.
        version: u64,
    },
    /// The change is not allowed; nothing was changed.
    Refused {
        /// All reasons, for the operator.
        reasons: Vec<String>,
    },
    /// Another change was committed first; this one changed nothing.
    Conflict {
        /// The version that the operator saw.
        seen_version: u64,
        /// The current head; `None` if there is no configuration or it could not be read.
        head: Option<ConfigHead>,
        /// The changes since the version that the operator saw, the latest first.
        since: Vec<AuditRecord>,
    },
    /// The store cannot be used; nothing was changed.
    Unavailable {
        /// The error, for the operator.
        reason: String,
    },
    /// In doubt: the change may have been committed, or may still be.
    Unknown {
        /// Operation id that its audit record has if it is committed.
        operation: Arc<str>,
        /// Version that it results in if it is committed.
        version: u64,
    },
}

/// The configuration in the store.
struct StoredConfig {
    row_version: u64,
    config: Option<ConfigSnapshot>,
}

impl StoredConfig {
    fn version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.head.version)
    }
}

/// Commits changes of the configuration to the store.
#[derive(Clone, Debug)]
pub struct ConfigWriter {
    store: StoreClient,
    directory: Directory,
}

impl ConfigWriter {
    /// Creates a writer that submits committed changes to `directory`.
    pub fn new(store: StoreClient, directory: Directory) -> Self {
        Self { store, directory }
    }

    /// Makes the requested change and logs its outcome.
    pub async fn change(&self, request: &ChangeRequest) -> ChangeOutcome {
        let outcome = self.try_change(request).await;
        log::info!(
            target: "config", by:? = request.by, seen_version:% = request.seen_version,
            outcome:% = summary(&outcome);
            "Configuration change processed."
        );
        outcome
    }

    async fn try_change(&self, request: &ChangeRequest) -> ChangeOutcome {
        let current = match self.read_current(request.seen_version).await {
            Ok(current) => current,
            Err(e) => return unavailable(e),
        };
        if current.version() != request.seen_version {
            let head = current.config.map(|config| config.head);
            return self.conflict(request.seen_version, head).await;
        }
        let metadata = WriteMetadata {
            operation: Uuid::now_v7().to_string().into(),
            at: Timestamp::now().to_string().into(),
        };
        let listed = self.listed_targets();
        match plan(current.config.as_ref(), request, &listed, metadata) {
            Ok(Some(plan)) => match self.assignment_refusals(&current, &plan).await {
                Ok(reasons) if reasons.is_empty() => self.commit_plan(current, plan).await,
                Ok(reasons) => ChangeOutcome::Refused { reasons },
                Err(e) => unavailable(e),
            },
            Ok(None) => ChangeOutcome::Unchanged {
                version: current.version(),
            },
            Err(reasons) => ChangeOutcome::Refused { reasons },
        }
    }

    /// Reads the head and the declaration. A head older than the version that this daemon or the
    /// operator has seen is read again.
    async fn read_current(&self, seen_version: u64) -> Result<StoredConfig, StoreError> {
        let in_force = self.directory.snapshot().load().config.clone();
        let known = in_force.as_ref().map_or(0, |config| config.version());
        for attempt in 1..=MAX_HEAD_READS {
            let row = self.store.read_row(HEAD_ROW).await?;
            let head = row.as_ref().map(reader::parse_head).transpose()?;
            let version = head.as_ref().map_or(0, |head| head.version);
            let last = attempt == MAX_HEAD_READS;
            if version < known || version < seen_version && !last {
                sleep(RETRY_PAUSE).await;
                continue;
            }
            let Some(head) = head else {
                return Ok(StoredConfig {
                    row_version: 0,
                    config: None,
                });
            };
            let body = match &in_force {
                Some(config) if config.snapshot.head.body_hash == head.body_hash => {
                    Arc::clone(&config.snapshot.body)
                }
                _ => reader::read_body(&self.store, &head.body_hash).await?,
            };
            return Ok(StoredConfig {
                row_version: row.map_or(0, |row| row.version),
                config: Some(ConfigSnapshot { head, body }),
            });
        }
        Err(StoreError::Unavailable(format!(
            "its configuration is older than version {known}, which this daemon has in force"
        )))
    }

    async fn assignment_refusals(
        &self,
        current: &StoredConfig,
        plan: &Plan,
    ) -> Result<Vec<String>, StoreError> {
        if plan.record.action != Action::Apply {
            return Ok(Vec::new());
        }
        let parse = |body: &str| Declaration::parse(body).ok();
        let before = current.config.as_ref().and_then(|c| parse(&c.body));
        match parse(&plan.next.body) {
            Some(after) => assignment_check::refusals(&self.store, before.as_ref(), &after).await,
            None => Ok(Vec::new()),
        }
    }

    fn listed_targets(&self) -> Set<VmName> {
        let snapshot = self.directory.snapshot().load();
        snapshot.target_names.keys().cloned().collect()
    }

    async fn commit_plan(&self, current: StoredConfig, plan: Plan) -> ChangeOutcome {
        let old_hash = current.config.as_ref().map(|c| &c.head.body_hash);
        let head = &plan.next.head;
        if old_hash != Some(&head.body_hash) {
            let body = plan.next.body.as_bytes().to_vec().into();
            if let Err(e) = self.store.write_object(&head.body_hash, body).await {
                return unavailable(e);
            }
        }
        let transaction = Transaction::default()
            .replace(HEAD_ROW, current.row_version, json(head))
            .replace(&audit::row_name(head.version), 0, json(&plan.record));
        match self.commit(&transaction, head).await {
            WriteResult::Committed => {
                self.directory
                    .submit(DirectoryUpdate::Config(plan.next.clone()));
                ChangeOutcome::Committed {
                    head: plan.next.head,
                }
            }
            WriteResult::Superseded(rows) => {
                let row = rows.iter().find(|row| &*row.name == HEAD_ROW);
                let head = row.and_then(|row| reader::parse_head(row).ok());
                self.conflict(current.version(), head).await
            }
            WriteResult::NotWritten => ChangeOutcome::Unavailable {
                reason: "the store was not reached or refused the change".into(),
            },
            WriteResult::Unknown => ChangeOutcome::Unknown {
                operation: Arc::clone(&head.operation),
                version: head.version,
            },
        }
    }

    /// Commits the transaction. If the answer is lost, retries the same transaction: its conditions
    /// let it take effect only once, however late the first attempt arrives, and on a conflict the
    /// operation id shows which write came first.
    async fn commit(&self, transaction: &Transaction, head: &ConfigHead) -> WriteResult {
        let end = Instant::now() + RESOLVE_TIMEOUT;
        let mut in_doubt = false;
        loop {
            match self.store.commit(transaction).await {
                CommitOutcome::Committed(_) => return WriteResult::Committed,
                CommitOutcome::Conflict(rows) if in_doubt && has_record_of(&rows, head) => {
                    return WriteResult::Committed;
                }
                CommitOutcome::Conflict(rows) => return WriteResult::Superseded(rows),
                CommitOutcome::Unavailable if !in_doubt => return WriteResult::NotWritten,
                CommitOutcome::Unavailable => {}
                CommitOutcome::Unknown => in_doubt = true,
            }
            if Instant::now() >= end {
                return WriteResult::Unknown;
            }
            sleep(RETRY_PAUSE).await;
            if let Some(result) = self.read_result(head).await {
                return result;
            }
        }
    }

    /// Reads the audit record of the version, which is never overwritten. A missing record resolves
    /// nothing, since the write may still take effect or the read may be stale.
    async fn read_result(&self, head: &ConfigHead) -> Option<WriteResult> {
        let name = audit::row_name(head.version);
        let row = self.store.read_row(&name).await.ok()??;
        let rows = vec![row];
        Some(if has_record_of(&rows, head) {
            WriteResult::Committed
        } else {
            WriteResult::Superseded(rows)
        })
    }

    async fn conflict(&self, seen_version: u64, head: Option<ConfigHead>) -> ChangeOutcome {
        let head = match head {
            Some(head) => Some(head),
            None => match self.store.read_row(HEAD_ROW).await {
                Ok(Some(row)) => reader::parse_head(&row).ok(),
                _ => None,
            },
        };
        let last = head.as_ref().map_or(0, |head| head.version);
        let first = (seen_version + 1).max((last + 1).saturating_sub(MAX_CONFLICT_RECORDS));
        // The conflict is certain even if the records cannot be read now.
        let since = audit::read(&self.store, first, last)
            .await
            .unwrap_or_default();
        ChangeOutcome::Conflict {
            seen_version,
            head,
            since,
        }
    }
}

/// Result of a write after retries.
enum WriteResult {
    Committed,
    /// Another write came first, as these rows show.
    Superseded(Vec<Row>),
    /// The write did not take effect and never will.
    NotWritten,
    Unknown,
}

/// Whether `rows` contain the audit record of the operation that writes `head`.
fn has_record_of(rows: &[Row], head: &ConfigHead) -> bool {
    let name = audit::row_name(head.version);
    rows.iter()
        .filter(|row| *row.name == *name && row.version > 0)
        .filter_map(|row| audit::parse(row).ok())
        .any(|record| record.operation == head.operation)
}

fn unavailable(e: StoreError) -> ChangeOutcome {
    ChangeOutcome::Unavailable {
        reason: e.to_string(),
    }
}

fn json(value: &impl Serialize) -> Arc<str> {
    serde_json::to_string(value)
        .expect("heads and records are valid JSON")
        .into()
}

fn summary(outcome: &ChangeOutcome) -> String {
    match outcome {
        ChangeOutcome::Committed { head } => format!("committed version={}", head.version),
        ChangeOutcome::Unchanged { version } => format!("unchanged version={version}"),
        ChangeOutcome::Refused { reasons } => format!("refused reasons={reasons:?}"),
        ChangeOutcome::Conflict { head, .. } => {
            let version = head.as_ref().map_or(0, |head| head.version);
            format!("conflict version={version}")
        }
        ChangeOutcome::Unavailable { reason } => format!("unavailable reason={reason:?}"),
        ChangeOutcome::Unknown { operation, version } => {
            format!("unknown version={version} operation={operation}")
        }
    }
}
