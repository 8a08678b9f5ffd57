//! Reads the configuration from the store.

use super::{ConfigHead, ConfigSnapshot};
use crate::store::{Row, StoreClient, StoreError};
use sha2::{Digest, Sha256};
use std::sync::Arc;

/// Name of the row with the [`ConfigHead`] in force.
pub const HEAD_ROW: &str = "config/head";

/// The SHA-256 of a declaration's text in hexadecimal digits, used as the name of its object.
pub fn hash_of(body: &str) -> Arc<str> {
    hex::encode(Sha256::digest(body.as_bytes())).into()
}

/// Parses the head row.
///
/// # Errors
/// [`StoreError::Malformed`] if the row is not a valid head.
pub fn parse_head(row: &Row) -> Result<ConfigHead, StoreError> {
    serde_json::from_str(&row.value).map_err(|e| StoreError::Malformed(e.to_string()))
}

/// Reads the declaration's text with this hash.
///
/// # Errors
/// [`StoreError`] if the object cannot be read, is missing or does not match the hash.
pub async fn read_body(store: &StoreClient, hash: &str) -> Result<Arc<str>, StoreError> {
    let body = store
        .read_object(hash)
        .await?
        .ok_or_else(|| StoreError::Malformed(format!("object {hash} is missing")))?;
    let text = String::from_utf8(body.to_vec())
        .map_err(|_| StoreError::Malformed(format!("object {hash} is not UTF-8 text")))?;
    if *hash_of(&text) != *hash {
        return Err(StoreError::Malformed(format!(
            "the content of object {hash} does not match its hash"
        )));
    }
    Ok(text.into())
}

/// Reads the configuration in the store; `None` if its version is not higher than that of
/// `in_force`.
///
/// # Errors
/// [`StoreError`] if the head or the declaration cannot be read.
pub async fn read_newer(
    store: &StoreClient,
    in_force: Option<&ConfigSnapshot>,
) -> Result<Option<ConfigSnapshot>, StoreError> {
    let Some(row) = store.read_row(HEAD_ROW).await? else {
        return Ok(None);
    };
    let head = parse_head(&row)?;
    if in_force.is_some_and(|config| config.head.version >= head.version) {
        return Ok(None);
    }
    let body = match in_force.filter(|config| config.head.body_hash == head.body_hash) {
        Some(config) => Arc::clone(&config.body),
        None => read_body(store, &head.body_hash).await?,
    };
    Ok(Some(ConfigSnapshot { head, body }))
}
