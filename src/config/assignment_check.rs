//! Checks the services that a declaration adds against assignments that are still in the store.

use crate::{
    declaration::Declaration,
    ownership::row::{AssignmentRow, assignment_prefix},
    store::{StoreClient, StoreError},
    world::{Contract, GroupId},
};

/// The reasons why services that `after` adds are refused.
///
/// A removed service keeps its assignment rows. With another partition count, its keys would belong
/// to other partitions while the previous owners may still serve them.
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
        let exists = before.is_some_and(|b| b.services.iter().any(|s| s.name == service.name));
        if exists {
            continue;
        }
        let stored = stored_partitions(store, service).await?;
        if stored != 0 && stored != service.partitions as usize {
            reasons.push(format!(
                "services.{}.partitions is {}; allowed: {stored}, the count of a removed \
                 service of this name that still has an assignment; declare the service under another name",
                service.name, service.partitions
            ));
        }
    }
    Ok(reasons)
}

/// The number of partitions in the assignment rows of a service; 0 if there are none.
async fn stored_partitions(store: &StoreClient, service: &Contract) -> Result<usize, StoreError> {
    let group = GroupId::of(&service.name);
    let mut partitions = 0;
    for row in store.read_rows(&assignment_prefix(&group)).await? {
        let row: AssignmentRow = serde_json::from_str(&row.value)
            .map_err(|e| StoreError::Malformed(format!("{}: {e}", row.name)))?;
        partitions += row.owners().count();
    }
    Ok(partitions)
}
