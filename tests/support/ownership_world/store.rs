//! The store of the simulated world, and what must hold of its rows.

use super::{Fault, STORE_TIMEOUT, What, World};
use fireflygauge::{
    ownership::{controller::Event, row::AssignmentRow},
    store::{CommitOutcome, Row, Transaction},
    table::Owner,
};
use rand::Rng;
use std::sync::Arc;

impl World {
    pub(super) fn store_cut(&mut self, i: usize) -> bool {
        self.is(Fault::StoreDown) || self.is(Fault::CutStore(i)) || self.loses()
    }

    pub(super) fn send_to_store(
        &mut self,
        i: usize,
        run: u64,
        timeout: u64,
        failed: Event,
        what: What,
    ) {
        if self.store_cut(i) || self.store_delay >= timeout {
            self.push(timeout, What::Deliver(i, run, failed));
        } else {
            let delay = self.delay() + self.store_delay;
            self.push(delay, what);
        }
    }

    pub(super) fn send_commit(
        &mut self,
        i: usize,
        run: u64,
        operation: Arc<str>,
        transaction: Transaction,
    ) {
        let outcome = CommitOutcome::Unknown;
        let unknown = Event::Committed {
            operation: Arc::clone(&operation),
            outcome,
        };
        self.push(STORE_TIMEOUT, What::Deliver(i, run, unknown));
        if self.store_cut(i) {
            return;
        }
        for _ in 0..self.copies() {
            let delay = self.delay();
            let what = What::Commit(i, run, Arc::clone(&operation), transaction.clone());
            self.push(delay, what);
        }
    }

    pub(super) fn current(&self, name: &str) -> Option<&Row> {
        self.rows.get(name).and_then(|versions| versions.last())
    }

    pub(super) fn read(&mut self, name: &str) -> Option<Row> {
        let stale = self.rng.random_bool(self.noise.stale);
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
        run: u64,
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
        if !self.store_cut(i) {
            let delay = self.delay() + self.store_delay;
            let event = Event::Committed { operation, outcome };
            self.push(delay, What::Deliver(i, run, event));
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

    /// Checks that no ownership epoch goes back and none has two owners.
    pub(super) fn check_assignments(&mut self, row: &Row) {
        let content: AssignmentRow = serde_json::from_str(&row.value).expect("a row is JSON");
        for (p, owner) in content.owners().enumerate() {
            let p = p as u32;
            let epoch = owner.as_ref().map_or(0, |owner| owner.epoch);
            let latest = self.latest.get(&p).copied().unwrap_or_default();
            if epoch < latest {
                self.violate(format!("partition {p} goes back from {latest} to {epoch}"));
            }
            let Some(owner) = owner else { continue };
            self.moves += u64::from(epoch > latest);
            self.latest.insert(p, epoch);
            let first = self
                .committed
                .entry((p, epoch))
                .or_insert(owner.target.clone());
            if *first != owner.target {
                self.violate(format!("partition {p} has two owners under epoch {epoch}"));
            }
        }
    }

    /// Checks that a published table says only what was committed.
    pub(super) fn check_table(&mut self, owners: &[Option<Owner>]) {
        for (p, owner) in owners.iter().enumerate() {
            let Some(owner) = owner else { continue };
            if self.committed.get(&(p as u32, owner.epoch)) != Some(&owner.target) {
                self.violate(format!("published owner of {p} was not committed"));
            }
        }
    }

    pub(super) fn violate(&mut self, text: String) {
        self.violations.push(format!("at {}: {text}", self.now));
    }
}
