//! Performs the actions of the controller.

use crate::{
    clock::{Clock, Millis},
    gateway::{
        controller::{Action, COMMAND_TIMEOUT, Event},
        controller_lease::{LEASE_ROW, LeaseRow},
        owners::Owners,
        platform::{GrantOutcome, Platform, ReleaseOutcome, Rows, StoredRow, Table, WriteOutcome},
        store_version::{era_of, store_version},
    },
    world::ServiceName,
};
use std::{sync::Arc, time::Duration};
use tokio::time::{sleep, timeout};

/// Time-out of a release, to which an endpoint responds when no work runs on the keys any more.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Delay before a failed read from the store is retried.
const READ_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Performs an action and returns its outcome as an event.
///
/// The process may have been paused since the controller issued the action. Releases are sent before
/// `sole_until` only, the time until which no successor can have given the keys to another endpoint.
pub(super) async fn perform<P: Platform>(
    platform: &P,
    action: Action,
    clock: Clock,
    sole_until: Millis,
) -> Event {
    match action {
        Action::Write(id, writes) => {
            let outcome = timeout(COMMAND_TIMEOUT.into(), platform.write(writes)).await;
            Event::Written(id, outcome.unwrap_or(WriteOutcome::Unknown))
        }
        Action::ReadLease => loop {
            match platform.read(Table::Controller).await {
                Ok(rows) => return lease_event(&rows),
                Err(_) => sleep(READ_RETRY_DELAY).await,
            }
        },
        Action::ReadOwners => loop {
            match platform.read(Table::Owners).await {
                Ok(rows) => return Event::Owners(decode_owners(&rows.rows)),
                Err(_) => sleep(READ_RETRY_DELAY).await,
            }
        },
        Action::Grant(service, id, _, command) if clock.now() >= command.send_before => {
            Event::Granted(service, id, GrantOutcome::NotSent)
        }
        Action::Grant(service, id, addr, command) => {
            let outcome = timeout(COMMAND_TIMEOUT.into(), platform.grant(addr, command)).await;
            Event::Granted(service, id, outcome.unwrap_or(GrantOutcome::Unknown))
        }
        Action::Release(service, id, ..) if clock.now() >= sole_until => {
            Event::Released(service, id, ReleaseOutcome::Unknown)
        }
        Action::Release(service, id, addr, keys, token) => {
            let released = timeout(RELEASE_TIMEOUT, platform.release(addr, keys, token)).await;
            Event::Released(service, id, released.unwrap_or(ReleaseOutcome::Unknown))
        }
    }
}

/// The controller lease row in `rows`, which may be those of other writers as well.
pub(super) fn lease_row(rows: &Rows) -> Option<&StoredRow> {
    rows.rows.iter().find(|row| *row.name == *LEASE_ROW)
}

/// The event for the controller lease row in `rows`, or for none if they are without it.
pub(super) fn lease_event(rows: &Rows) -> Event {
    let Some(row) = lease_row(rows) else {
        return Event::Lease(store_version(era_of(rows.version), 0), None);
    };
    let lease = row.value.as_ref().and_then(|value| {
        LeaseRow::decode(value)
            .inspect_err(|e| {
                log::error!(target: "ownership", error:% = e;
                "Controller lease row cannot be decoded; its holder counts as alive while the row changes.")
            })
            .ok()
    });
    Event::Lease(row.version, lease)
}

/// Decodes the owners in `rows`; rows that cannot be decoded are skipped.
pub(super) fn decode_owners(rows: &[StoredRow]) -> Vec<(ServiceName, u64, Owners)> {
    let decoded = rows.iter().filter_map(|row| {
        let value = row.value.as_ref()?;
        match Owners::decode(value) {
            Ok(owners) => Some((ServiceName(Arc::clone(&row.name)), row.version, owners)),
            Err(e) => {
                log::error!(target: "ownership", row:% = row.name, error:% = e;
                    "Owners row cannot be decoded; it is ignored.");
                None
            }
        }
    });
    decoded.collect()
}
