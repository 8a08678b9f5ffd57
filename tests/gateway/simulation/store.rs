//! The rows of the simulated store.

use super::Simulation;
use fireflygauge::{
    gateway::{
        controller::Event,
        controller_lease::LeaseRow,
        owners::Owners,
        platform::{RowWrite, Table, WriteOutcome},
        store_version::{era_of, number_of, store_version},
    },
    world::ServiceName,
};
use std::sync::Arc;

impl Simulation {
    pub(super) fn lease(&self) -> Event {
        let row = self.rows.iter().find(|((t, _), _)| *t == Table::Controller);
        let missing = Event::Lease(store_version(era_of(self.version), 0), None);
        row.map_or(missing, |(_, (version, value))| {
            Event::Lease(*version, LeaseRow::decode(value).ok())
        })
    }

    pub(super) fn owners(&self) -> Event {
        let rows = self.rows.iter().filter(|((t, _), _)| *t == Table::Owners);
        let decoded = rows.map(|((_, name), (version, value))| {
            let owners = Owners::decode(value).expect("rows are valid");
            (ServiceName(Arc::clone(name)), *version, owners)
        });
        Event::Owners(decoded.collect())
    }

    pub(super) fn commit(&mut self, by: usize, writes: &[RowWrite]) -> WriteOutcome {
        let conditions_hold = writes.iter().all(|write| {
            let present = self.rows.get(&(write.table, Arc::clone(&write.name)));
            let version = present.map_or(0, |(version, _)| *version);
            // The store knows no eras of conditions.
            let is_met = |expected| number_of(expected) == number_of(version);
            write.expected.is_none_or(is_met)
        });
        if !conditions_hold {
            return WriteOutcome::Conflict;
        }
        self.version += 1;
        for write in writes {
            let value = write.value.clone().expect("rows are never removed");
            let row = (write.table, Arc::clone(&write.name));
            if write.table == Table::Owners {
                self.record_owners(by, &value);
            }
            self.rows.insert(row, (self.version, value));
        }
        WriteOutcome::Committed(self.version)
    }
}
