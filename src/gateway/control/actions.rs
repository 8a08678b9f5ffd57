//! Carries actions of the controller out.

use crate::{
    gateway::{
        controller::{Action, Event, ORDER_TIMEOUT},
        owners::Owners,
        platform::{
            GrantOutcome, Platform, ProbeResult, ReleaseOutcome, Rows, StoredRow, Table,
            WriteOutcome,
        },
        term::LeaseRow,
    },
    peer::{
        client::PeerClient,
        message::{PeerReply, PeerRequest},
    },
    world::ServiceName,
};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    task::JoinSet,
    time::{sleep, timeout},
};

/// Time for an endpoint to answer a release, which it does when the work on the keys has ended.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Pause before the owners are read again after a failure.
const READ_PAUSE: Duration = Duration::from_millis(100);
/// Daemons that are asked about an endpoint at most.
const MAX_ASKED: usize = 24;
/// Daemons that have to confirm that an endpoint is gone.
const MIN_CONFIRMING: usize = 2;
/// Time for a daemon to answer what it finds at an endpoint's address.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);

/// Asks `others` whether something listens at `addr`. True if most of them answer, and all that do
/// found the connection refused.
pub(super) async fn nobody_listens(
    peers: &PeerClient,
    others: &[SocketAddr],
    addr: SocketAddr,
) -> bool {
    let mut asked = JoinSet::new();
    for other in others.iter().copied().take(MAX_ASKED) {
        let peers = peers.clone();
        asked.spawn(async move {
            let request = PeerRequest::Probe(addr);
            peers.send(other, &request, PROBE_TIMEOUT).await
        });
    }
    let count = asked.len();
    let mut refused = 0;
    while let Some(answer) = asked.join_next().await {
        match answer {
            Ok(Ok(PeerReply::Probe(ProbeResult::Refused))) => refused += 1,
            Ok(Ok(PeerReply::Probe(ProbeResult::Accepted | ProbeResult::Unknown))) => return false,
            // A daemon that does not answer proves nothing.
            _ => {}
        }
    }
    refused >= MIN_CONFIRMING && refused * 4 >= count * 3
}

/// Carries an action out and tells what came of it.
pub(super) async fn perform<P: Platform>(platform: &P, action: Action) -> Event {
    match action {
        Action::Write(id, writes) => {
            let outcome = timeout(ORDER_TIMEOUT.into(), platform.write(writes)).await;
            Event::Written(id, outcome.unwrap_or(WriteOutcome::Unknown))
        }
        Action::ReadLease => loop {
            match platform.read(Table::Controller).await {
                Ok(rows) => return lease_event(&rows),
                Err(_) => sleep(READ_PAUSE).await,
            }
        },
        Action::ReadOwners => loop {
            match platform.read(Table::Owners).await {
                Ok(rows) => return Event::Owners(decode_owners(&rows.rows)),
                Err(_) => sleep(READ_PAUSE).await,
            }
        },
        Action::Grant(service, id, addr, order) => {
            let outcome = timeout(ORDER_TIMEOUT.into(), platform.grant(addr, order)).await;
            Event::Granted(service, id, outcome.unwrap_or(GrantOutcome::Unknown))
        }
        Action::Confirm(service, id, _) => Event::Confirmed(service, id, false),
        Action::Release(service, id, addr, keys, token) => {
            let released = timeout(RELEASE_TIMEOUT, platform.release(addr, keys, token)).await;
            Event::Released(service, id, released.unwrap_or(ReleaseOutcome::Unknown))
        }
    }
}

/// The lease row among `rows`.
pub(super) fn lease_event(rows: &Rows) -> Event {
    let Some(row) = rows.rows.first() else {
        return Event::Lease(0, None);
    };
    let lease = row.value.as_ref().and_then(|value| {
        LeaseRow::decode(value)
            .inspect_err(|e| log::error!(target: "ownership", error:% = e; "Lease row unreadable."))
            .ok()
    });
    Event::Lease(row.version, lease)
}

/// The owners in `rows`; unreadable ones are left out.
pub(super) fn decode_owners(rows: &[StoredRow]) -> Vec<(ServiceName, u64, Owners)> {
    let decoded = rows.iter().filter_map(|row| {
        let value = row.value.as_ref()?;
        match Owners::decode(value) {
            Ok(owners) => Some((ServiceName(Arc::clone(&row.name)), row.version, owners)),
            Err(e) => {
                log::error!(target: "ownership", row:% = row.name, error:% = e;
                    "Owners unreadable.");
                None
            }
        }
    });
    decoded.collect()
}
