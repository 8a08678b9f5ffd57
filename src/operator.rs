//! The operator's tool, and the reports that it gets from the operator port of a daemon.

pub mod client;
pub mod commands;
pub mod options;
pub mod output;
pub mod report;
