//! The declaration of test deployments.

use super::{KEYED, UNKEYED};
use crate::platform::Platform;
use fireflygauge::{config::ConfigHead, store::api::Transaction};
use sha2::{Digest, Sha256};

/// A declaration that is in force when a deployment starts.
#[derive(Clone, Debug)]
pub struct InitialDeclaration {
    /// Its TOML text.
    pub text: String,
    /// The preset in force.
    pub preset: String,
}

impl Default for InitialDeclaration {
    /// One service divided by key and one that is not, with two presets.
    fn default() -> Self {
        Self::with("partitions = 64", "")
    }
}

impl InitialDeclaration {
    /// As the default, with these lines in the keyed service and in the first preset.
    pub fn with(keyed: &str, preset: &str) -> Self {
        let text = format!(
            r#"deployment = "test"
initial_preset = "ordinary"

[[services]]
name = "{KEYED}"
keyed = true
{keyed}

[[services]]
name = "{UNKEYED}"

[[presets]]
name = "ordinary"
contact = "test desk, +41 31 555 01 00"
{preset}

[[presets]]
name = "peak"
contact = "test desk, +41 31 555 01 01"
moves_per_minute = 128
"#
        );
        Self {
            text,
            preset: "ordinary".into(),
        }
    }

    fn hash(&self) -> String {
        hex::encode(Sha256::digest(&self.text))
    }

    fn head(&self) -> ConfigHead {
        ConfigHead {
            version: 1,
            body_hash: self.hash().into(),
            preset: self.preset.as_str().into(),
            drained: Vec::new(),
            by: "test".into(),
            at: "2026-01-01T00:00:00Z".into(),
            operation: "seed".into(),
        }
    }
}

impl Platform {
    /// Puts a declaration in force as version 1.
    pub fn install_declaration(&self, declared: &InitialDeclaration) {
        self.put_object(&declared.hash(), declared.text.clone());
        let head = serde_json::to_string(&declared.head()).expect("a head is valid JSON");
        self.commit(&Transaction::default().replace("config/head", 0, head.into()));
    }
}
