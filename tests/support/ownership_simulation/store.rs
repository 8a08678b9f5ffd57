//! The simulated store, and the invariants of its rows.

use super::{Fault, STORE_TIMEOUT, SimEvent, Simulation};
use fireflygauge::{
    ownership::{controller::Event, row::AssignmentRow},
    store::{CommitOutcome, Row, Transaction},
    table::Owner,
};
use rand::Rng;
use std::sync::Arc;

impl Simulation {
    pub(super) fn is_store_unreachable(&mut self, i: usize) -> bool {
        self.is_fault_active(Fault::StoreDown)
            || self.is_fault_active(Fault::CutStore(i))
            || self.loses_message()
    }

    pub(super) fn send_to_store(
        &mut self,
        i: usize,
        run_id: u64,
        timeout: u64,
        failed: Event,
        sim_event: SimEvent,
    ) {
        if self.is_store_unreachable(i) || self.store_delay >= timeout {
            self.push(timeout, SimEvent::Deliver(i, run_id, failed));
        } else {
            let delay = self.delay() + self.store_delay;
            self.push(delay, sim_event);
        }
    }

    pub(super) fn send_commit(
        &mut self,
        i: usize,
        run_id: u64,
        operation: Arc<str>,
        transaction: Transaction,
    ) {
        let outcome = CommitOutcome::Unknown;
        let unknown = Event::CommitCompleted {
            operation: Arc::clone(&operation),
            outcome,
        };
        self.push(STORE_TIMEOUT, SimEvent::Deliver(i, run_id, unknown));
        if self.is_store_unreachable(i) {
            return;
        }
        for _ in 0..self.copy_count() {
            let delay = self.delay();
            let sim_event =
                SimEvent::Commit(i, run_id, Arc::clone(&operation), transaction.clone());
            self.push(delay, sim_event);
        }
    }

    pub(super) fn current(&self, name: &str) -> Option<&Row> {
        self.rows.get(name).and_then(|versions| versions.last())
    }

    pub(super) fn read(&mut self, name: &str) -> Option<Row> {
        let stale = self.rng.random_bool(self.network_errors.stale);
        let versions = self.rows.get(name)?;
        let back = if stale {
            self.rng.random_range(1..20)
        } else {
            1
        };
        versions.get(versions.len().checked_sub(back)?).cloned()
    }

    pub(super) fn commit(
        &mut self,
        i: usize,
        run_id: u64,
        operation: Arc<str>,
        transaction: &Transaction,
    ) {
        let version = |name: &str| self.current(name).map_or(0, |row| row.version);
        let failed: Vec<Row> = transaction
            .conditions
            .iter()
            .filter(|c| version(&c.row) != c.version)
            .map(|c| {
                self.current(&c.row).cloned().unwrap_or(Row {
                    name: Arc::clone(&c.row),
                    version: 0,
                    value: "".into(),
                })
            })
            .collect();
        let outcome = if failed.is_empty() {
            CommitOutcome::Committed(self.write(transaction))
        } else {
            CommitOutcome::Conflict(failed)
        };
        if !self.is_store_unreachable(i) {
            let delay = self.delay() + self.store_delay;
            let event = Event::CommitCompleted { operation, outcome };
            self.push(delay, SimEvent::Deliver(i, run_id, event));
        }
    }

    pub(super) fn write(&mut self, transaction: &Transaction) -> Vec<(Arc<str>, u64)> {
        let mut written = Vec::new();
        for write in &transaction.writes {
            let version = self.current(&write.row).map_or(0, |row| row.version) + 1;
            let row = Row {
                name: Arc::clone(&write.row),
                version,
                value: write.value.clone().expect("rows are never deleted"),
            };
            if write.row.starts_with("assign/") {
                self.check_assignments(&row);
            }
            let versions = self.rows.entry(Arc::clone(&write.row)).or_default();
            versions.push(row);
            written.push((Arc::clone(&write.row), version));
        }
        written
    }

    /// Checks that ownership epochs never decrease and that none has two owners.
    pub(super) fn check_assignments(&mut self, row: &Row) {
        let content: AssignmentRow = serde_json::from_str(&row.value).expect("a row is JSON");
        for (p, owner) in content.owners().enumerate() {
            let p = p as u32;
            let epoch = owner.as_ref().map_or(0, |owner| owner.epoch);
            let latest = self.latest_epochs.get(&p).copied().unwrap_or_default();
            if epoch < latest {
                self.report_violation(format!("partition {p} goes back from {latest} to {epoch}"));
            }
            let Some(owner) = owner else { continue };
            self.moves += u64::from(epoch > latest);
            self.latest_epochs.insert(p, epoch);
            let first = self
                .committed
                .entry((p, epoch))
                .or_insert(owner.target.clone());
            if *first != owner.target {
                self.report_violation(format!("partition {p} has two owners under epoch {epoch}"));
            }
        }
    }

    /// Checks that all owners in a published table were committed.
    pub(super) fn check_table(&mut self, owners: &[Option<Owner>]) {
        for (p, owner) in owners.iter().enumerate() {
            let Some(owner) = owner else { continue };
            if self.committed.get(&(p as u32, owner.epoch)) != Some(&owner.target) {
                self.report_violation(format!("published owner of {p} was not committed"));
            }
        }
    }

    pub(super) fn report_violation(&mut self, text: String) {
        self.violations.push(format!("at {}: {text}", self.now));
    }
}
