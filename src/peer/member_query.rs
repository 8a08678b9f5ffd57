//! Queries the zones' delegates for their members and the configuration version of each.
//!
//! Daemons do not relay changes of configuration versions, since the version of every daemon changes
//! with each configuration. The delegate of a zone gets the reports of its daemons directly and so
//! knows their versions.

use super::background::Shared;
use crate::{
    collections::Map,
    membership::{MemberState, SUSPECT_AFTER},
    peer::message::MemberReport,
    world::{Link, VmName},
};
use serde::{Deserialize, Serialize};
use tokio::task::JoinSet;

/// The status of one daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its latest report.
    pub report: MemberReport,
    /// How recently a report of it was received.
    pub state: MemberState,
    /// Whether the report is current: the daemon is live, and the report comes from the daemon
    /// itself or from the delegate of its zone. Otherwise the report may be out of date.
    pub confirmed: bool,
}

/// All members that are not gone, this daemon included, in order of name.
pub(super) async fn run(shared: &Shared) -> Vec<MemberStatus> {
    let own = &shared.context.link;
    let (report, known, delegates) = shared.with_state(|state, now| {
        let known = state.membership.changes_since(0, &own.name, now);
        (state.report(), known, state.membership.delegates())
    });
    let is_delegate = delegates.iter().any(|link| link == own);
    let mut members: Map<VmName, MemberStatus> = Map::default();
    for report in known {
        let confirmed = is_delegate && report.link.zone == own.zone;
        insert_status(&mut members, report, confirmed);
    }
    insert_status(&mut members, report, true);
    for report in query_delegates(shared, delegates).await {
        insert_status(&mut members, report, true);
    }
    let mut members: Vec<MemberStatus> = members
        .into_values()
        .filter(|member| member.state != MemberState::Gone)
        .collect();
    members.sort_by(|a, b| a.report.link.name.cmp(&b.report.link.name));
    members
}

fn insert_status(members: &mut Map<VmName, MemberStatus>, report: MemberReport, confirmed: bool) {
    let state = if report.age_ms < SUSPECT_AFTER.0 {
        MemberState::Live
    } else if report.age_ms < crate::membership::GONE_AFTER.0 {
        MemberState::Suspect
    } else {
        MemberState::Gone
    };
    let confirmed = confirmed && state == MemberState::Live;
    let status = MemberStatus {
        report,
        state,
        confirmed,
    };
    members.insert(status.report.link.name.clone(), status);
}

/// The delegates' reports of themselves and of the members of their zones.
async fn query_delegates(shared: &Shared, delegates: Vec<Link>) -> Vec<MemberReport> {
    let mut queries = JoinSet::new();
    for link in delegates {
        if link.name == shared.context.link.name {
            continue;
        }
        let request = shared.with_state(|state, now| state.request_once(None, now));
        let client = shared.client.clone();
        queries.spawn(super::background::exchange(client, link.peer_addr, request));
    }
    let mut reports = Vec::new();
    while let Some(reply) = queries.join_next().await {
        let Ok(Ok(reply)) = reply else {
            continue;
        };
        let zone = reply.sender.link.zone.clone();
        let own = &shared.context.link.name;
        let of_zone = reply.members.into_iter();
        reports.extend(of_zone.filter(|m| m.link.zone == zone && m.link.name != *own));
        reports.push(reply.sender);
    }
    reports
}
