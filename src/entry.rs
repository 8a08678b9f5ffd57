//! The daemon that runs on every entry VM.

pub mod directory;
pub mod settings;
pub mod snapshot;
