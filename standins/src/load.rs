//! Open-loop load generator for the router and for targets directly.
//!
//! Arrivals are scheduled independently of responses and latency is measured from the scheduled
//! time, so a stall in the router, a target or this tool appears as latency (no coordinated
//! omission).

pub mod arrivals;
pub mod client;
pub mod counters;
pub mod keys;
pub mod measure;
pub mod mix;
pub mod options;
pub mod outage;
pub mod placement;
pub mod plot;
pub mod process_usage;
pub mod report;
pub mod response;
pub mod run;
pub mod slopes;
