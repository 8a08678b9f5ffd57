//! Resolves the reference of a refused request to an explanation for operators.

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

/// Explanation of a refused request.
#[derive(Clone, Debug, Serialize)]
pub struct ExplainReport {
    /// The fields that the reference itself encodes.
    #[serde(flatten)]
    pub explanation: Explanation,
    /// Details of the refusal; `None` if this daemon no longer has them or did not issue the
    /// reference.
    pub record: Option<RefusalRecord>,
    /// Operator address of the daemon that issued the reference; `None` if that is this daemon or
    /// the platform does not list it as an entry VM.
    pub details_at: Option<SocketAddr>,
}

/// Explains the reference `text` on the daemon named `own_name`.
///
/// # Errors
/// The reason why `text` is not a reference.
pub fn explain(
    text: &str,
    own_name: &VmName,
    recent: &RecentRefusals,
    snapshot: &Snapshot,
) -> Result<ExplainReport, String> {
    let explanation = reference::explain(text).map_err(|e| e.to_string())?;
    let reference: Reference = text.trim().parse().map_err(|e| format!("{e}"))?;
    let issued_elsewhere = reference.daemon != *own_name;
    let details_at = issued_elsewhere
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
