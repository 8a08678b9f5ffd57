//! Availability zones.

use serde::{Deserialize, Serialize};
use std::{fmt, sync::Arc};

/// The name of an availability zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ZoneName(pub Arc<str>);

impl From<&str> for ZoneName {
    fn from(text: &str) -> Self {
        Self(text.into())
    }
}

impl fmt::Display for ZoneName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
