//! Configurations in force, for tests that pass them between daemons.

use fireflygauge::config::{ConfigHead, ConfigSnapshot, reader};

/// The declaration `text` in force as `version`, with its preset `ordinary`.
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
