//! Explains the reference of a refusal to operators.

use super::snapshot::Snapshot;
use crate::{
    routing::{
        reference::{self, Explanation, Reference},
        refusal::{RecentRefusals, RefusalRecord},
    },
    world::{VmName, VmRole},
};
use serde::Serialize;
use std::net::SocketAddr;

/// What a daemon knows of a refusal.
#[derive(Clone, Debug, Serialize)]
pub struct ExplainReport {
    /// What the reference says by itself.
    #[serde(flatten)]
    pub explanation: Explanation,
    /// What this daemon remembers of the refusal.
    pub record: Option<RefusalRecord>,
    /// Operator port of the daemon that issued the reference, if it is another one.
    pub details_at: Option<SocketAddr>,
}

/// Explains `text` as the daemon `me`.
///
/// # Errors
/// The reason why `text` is not a reference.
pub fn explain(
    text: &str,
    me: &VmName,
    recent: &RecentRefusals,
    snapshot: &Snapshot,
) -> Result<ExplainReport, String> {
    let explanation = reference::explain(text).map_err(|e| e.to_string())?;
    let reference: Reference = text.trim().parse().map_err(|e| format!("{e}"))?;
    let elsewhere = reference.daemon != *me;
    let details_at = elsewhere
        .then(|| operator_addr(snapshot, &reference.daemon))
        .flatten();
    Ok(ExplainReport {
        explanation,
        record: recent.find(&reference),
        details_at,
    })
}

fn operator_addr(snapshot: &Snapshot, daemon: &VmName) -> Option<SocketAddr> {
    let vm = snapshot.vms.iter().find(|vm| vm.name == *daemon)?;
    match vm.role {
        VmRole::Entry { operator_addr, .. } => Some(operator_addr),
        VmRole::Target { .. } => None,
    }
}
