//! The operator's command-line tool, and the reports that it reads from a daemon's operator port.

pub mod client;
pub mod commands;
pub mod exit;
pub mod options;
pub mod output;
pub mod report;
pub mod route;
