//! Checks a declaration against the assignments that former declarations left in the store.

use crate::{
    declaration::Declaration,
    ownership::row::{AssignmentRow, assignment_prefix},
    store::{StoreClient, StoreError},
    world::{Contract, GroupId},
};

/// Why the services that `after` adds must not be added.
///
/// A service that was removed keeps its assignment. Under another partition count its keys would
/// belong to other partitions, whose owners may still serve them.
///
/// # Errors
/// [`StoreError`] if the assignments cannot be read.
pub async fn refusals(
    store: &StoreClient,
    before: Option<&Declaration>,
    after: &Declaration,
) -> Result<Vec<String>, StoreError> {
    let mut reasons = Vec::new();
    for service in after.services.iter().filter(|service| service.keyed) {
        let known = before.is_some_and(|b| b.services.iter().any(|s| s.name == service.name));
        if known {
            continue;
        }
        let former = former_partitions(store, service).await?;
        if former != 0 && former != service.partitions as usize {
            reasons.push(format!(
                "services.{}.partitions is {}; allowed: {former}, the count of a former service \
                 of this name; declare the service under another name",
                service.name, service.partitions
            ));
        }
    }
    Ok(reasons)
}

/// The number of partitions in the assignment rows of a service; 0 if there are none.
async fn former_partitions(store: &StoreClient, service: &Contract) -> Result<usize, StoreError> {
    let group = GroupId::of(&service.name);
    let mut partitions = 0;
    for row in store.read_rows(&assignment_prefix(&group)).await? {
        let row: AssignmentRow = serde_json::from_str(&row.value)
            .map_err(|e| StoreError::Malformed(format!("{}: {e}", row.name)))?;
        partitions += row.owners().count();
    }
    Ok(partitions)
}
