//! Temporary directory of a deployment.

use std::{
    io,
    path::{Path, PathBuf},
    sync::atomic::{AtomicU32, Ordering},
};

/// Environment variable that keeps the directories of tests that pass.
pub const KEEP: &str = "FIREFLYGAUGE_TEST_KEEP";

/// A temporary directory, removed when dropped unless the thread panics or [`KEEP`] is set.
#[derive(Debug)]
pub struct TempDir(PathBuf);

impl TempDir {
    /// Creates a new directory.
    ///
    /// # Errors
    /// The system's error if it cannot be created.
    pub fn new() -> io::Result<Self> {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("fireflygauge-{}-{count}", std::process::id());
        let path = std::env::temp_dir().join(name);
        // Left over from an earlier process with the same id, if it exists.
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }

    /// Its path.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        if std::thread::panicking() || std::env::var_os(KEEP).is_some() {
            eprintln!("logs and histories are kept in {}", self.0.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}
