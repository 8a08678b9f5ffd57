//! The daemon that runs on every entry VM.

pub mod caller_connection;
pub mod directory;
pub mod explain;
pub mod http;
pub mod metrics;
pub mod operator_api;
pub mod runtime;
pub mod settings;
pub mod snapshot;
mod wiring;
