//! The daemon that runs on every entry VM.

pub mod directory;
pub mod runtime;
pub mod settings;
pub mod snapshot;
