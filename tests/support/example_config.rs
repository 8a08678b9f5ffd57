//! Configuration snapshots for tests.

use fireflygauge::config::{ConfigHead, ConfigSnapshot, reader};

/// A snapshot of the declaration `text` as `version`, with the preset `ordinary` in force.
pub fn snapshot(text: &str, version: u64) -> ConfigSnapshot {
    ConfigSnapshot {
        head: ConfigHead {
            version,
            body_hash: reader::hash_of(text),
            preset: "ordinary".into(),
            drained: Vec::new(),
            by: "test".into(),
            at: "2026-01-01T00:00:00Z".into(),
            operation: "test".into(),
        },
        body: text.into(),
    }
}
