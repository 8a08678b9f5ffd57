//! Changes of the configuration: conditional, audited, and acknowledged only when committed.

use super::{
    ConfigHead, ConfigSnapshot, former,
    plan::{ChangeRequest, Plan, Stamp, plan},
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

/// Time to settle a write whose answer was lost.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between attempts to settle a write, and between reads that were stale.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Reads of the head before an old answer is taken for a store that cannot be used.
const STALE_READS: u32 = 5;
/// Audit records that a conflict reports.
const CONFLICT_RECORDS: u64 = 20;

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum ChangeOutcome {
    /// It is committed.
    Committed {
        /// The head after it.
        head: ConfigHead,
    },
    /// The configuration already is as asked for.
    Unchanged {
        /// The version in force; 0 for none.
        version: u64,
    },
    /// It is not allowed; nothing was changed.
    Refused {
        /// Why.
        reasons: Vec<String>,
    },
    /// Somebody else made a change first; nothing was changed by this one.
    Conflict {
        /// The version that the operator saw.
        seen_version: u64,
        /// The head now; `None` if there is no configuration.
        head: Option<ConfigHead>,
        /// The changes since the version that the operator saw, the latest first.
        since: Vec<AuditRecord>,
    },
    /// The store cannot be used; nothing was changed.
    Unavailable {
        /// Why.
        reason: String,
    },
    /// It may have been committed, or may still be.
    Unknown {
        /// The operation id that the audit record would have.
        operation: Arc<str>,
        /// The version that it would result in.
        version: u64,
    },
}

/// The configuration as the store has it.
struct Current {
    row_version: u64,
    config: Option<ConfigSnapshot>,
}

impl Current {
    fn version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.head.version)
    }
}

/// Makes changes of the configuration.
#[derive(Clone, Debug)]
pub struct ConfigWriter {
    store: StoreClient,
    directory: Directory,
}

impl ConfigWriter {
    /// Creates a writer that tells `directory` of committed changes.
    pub fn new(store: StoreClient, directory: Directory) -> Self {
        Self { store, directory }
    }

    /// Makes the change that `request` asks for.
    pub async fn change(&self, request: &ChangeRequest) -> ChangeOutcome {
        let outcome = self.attempt(request).await;
        log::info!(
            target: "config", by:? = request.by, seen_version:% = request.seen_version,
            outcome:% = summary(&outcome);
            "Change requested."
        );
        outcome
    }

    async fn attempt(&self, request: &ChangeRequest) -> ChangeOutcome {
        let current = match self.read_current(request.seen_version).await {
            Ok(current) => current,
            Err(e) => return unavailable(e),
        };
        if current.version() != request.seen_version {
            let head = current.config.map(|config| config.head);
            return self.conflict(request.seen_version, head).await;
        }
        let stamp = Stamp {
            operation: Uuid::now_v7().to_string().into(),
            at: Timestamp::now().to_string().into(),
        };
        let listed = self.listed_targets();
        match plan(current.config.as_ref(), request, &listed, stamp) {
            Ok(Some(plan)) => match self.former_refusals(&current, &plan).await {
                Ok(reasons) if reasons.is_empty() => self.carry_out(current, plan).await,
                Ok(reasons) => ChangeOutcome::Refused { reasons },
                Err(e) => unavailable(e),
            },
            Ok(None) => ChangeOutcome::Unchanged {
                version: current.version(),
            },
            Err(reasons) => ChangeOutcome::Refused { reasons },
        }
    }

    /// Reads the head and the declaration. An answer that is older than what this daemon or the
    /// operator has seen is asked for again.
    async fn read_current(&self, seen_version: u64) -> Result<Current, StoreError> {
        let in_force = self.directory.snapshot().load().config.clone();
        let known = in_force.as_ref().map_or(0, |config| config.version());
        for attempt in 1..=STALE_READS {
            let row = self.store.read_row(HEAD_ROW).await?;
            let head = row.as_ref().map(reader::parse_head).transpose()?;
            let version = head.as_ref().map_or(0, |head| head.version);
            let last = attempt == STALE_READS;
            if version < known || version < seen_version && !last {
                sleep(RETRY_PAUSE).await;
                continue;
            }
            let Some(head) = head else {
                return Ok(Current {
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
            return Ok(Current {
                row_version: row.map_or(0, |row| row.version),
                config: Some(ConfigSnapshot { head, body }),
            });
        }
        Err(StoreError::Unavailable(format!(
            "it answers with a configuration older than version {known}"
        )))
    }

    async fn former_refusals(
        &self,
        current: &Current,
        plan: &Plan,
    ) -> Result<Vec<String>, StoreError> {
        if plan.record.action != Action::Apply {
            return Ok(Vec::new());
        }
        let parse = |body: &str| Declaration::parse(body).ok();
        let before = current.config.as_ref().and_then(|c| parse(&c.body));
        match parse(&plan.next.body) {
            Some(after) => former::refusals(&self.store, before.as_ref(), &after).await,
            None => Ok(Vec::new()),
        }
    }

    fn listed_targets(&self) -> Set<VmName> {
        let snapshot = self.directory.snapshot().load();
        snapshot.target_names.keys().cloned().collect()
    }

    async fn carry_out(&self, current: Current, plan: Plan) -> ChangeOutcome {
        let former = current.config.as_ref().map(|c| &c.head.body_hash);
        let head = &plan.next.head;
        if former != Some(&head.body_hash) {
            let body = plan.next.body.as_bytes().to_vec().into();
            if let Err(e) = self.store.write_object(&head.body_hash, body).await {
                return unavailable(e);
            }
        }
        let transaction = Transaction::default()
            .replace(HEAD_ROW, current.row_version, json(head))
            .replace(&audit::row_name(head.version), 0, json(&plan.record));
        match self.commit(&transaction, head).await {
            Settled::Committed => {
                self.directory
                    .submit(DirectoryUpdate::Config(plan.next.clone()));
                ChangeOutcome::Committed {
                    head: plan.next.head,
                }
            }
            Settled::Lost(rows) => {
                let row = rows.iter().find(|row| &*row.name == HEAD_ROW);
                let head = row.and_then(|row| reader::parse_head(row).ok());
                self.conflict(current.version(), head).await
            }
            Settled::NotSent => ChangeOutcome::Unavailable {
                reason: "the store did not take the change".into(),
            },
            Settled::Unknown => ChangeOutcome::Unknown {
                operation: Arc::clone(&head.operation),
                version: head.version,
            },
        }
    }

    /// Commits the transaction. If the answer is lost, sends the same one again: its conditions
    /// let it take effect only once, however late the first one arrives, and a conflict shows by
    /// the operation id who came first.
    async fn commit(&self, transaction: &Transaction, head: &ConfigHead) -> Settled {
        let end = Instant::now() + SETTLE_TIMEOUT;
        let mut uncertain = false;
        loop {
            match self.store.commit(transaction).await {
                CommitOutcome::Committed(_) => return Settled::Committed,
                CommitOutcome::Conflict(rows) if uncertain && wrote(&rows, head) => {
                    return Settled::Committed;
                }
                CommitOutcome::Conflict(rows) => return Settled::Lost(rows),
                CommitOutcome::Unavailable if !uncertain => return Settled::NotSent,
                CommitOutcome::Unavailable => {}
                CommitOutcome::Unknown => uncertain = true,
            }
            if Instant::now() >= end {
                return Settled::Unknown;
            }
            sleep(RETRY_PAUSE).await;
            if let Some(settled) = self.read_back(head).await {
                return settled;
            }
        }
    }

    /// Reads the audit record of the version, which is never overwritten. A missing one settles
    /// nothing, since the write may still take effect or the read may be stale.
    async fn read_back(&self, head: &ConfigHead) -> Option<Settled> {
        let name = audit::row_name(head.version);
        let row = self.store.read_row(&name).await.ok()??;
        let rows = vec![row];
        Some(if wrote(&rows, head) {
            Settled::Committed
        } else {
            Settled::Lost(rows)
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
        let first = (seen_version + 1).max((last + 1).saturating_sub(CONFLICT_RECORDS));
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

/// What became of a transaction.
enum Settled {
    Committed,
    /// Another write came first; these rows show it.
    Lost(Vec<Row>),
    /// It did not take effect and never will.
    NotSent,
    Unknown,
}

/// Whether `rows` have the audit record of the operation that wrote `head`.
fn wrote(rows: &[Row], head: &ConfigHead) -> bool {
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
