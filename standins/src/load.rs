//! Open-loop load for the router and for targets themselves.
//!
//! Arrivals are scheduled in advance and latency counts from the scheduled time, so a stall in the
//! router, a target or this tool shows as latency and isn't hidden by sending less.

pub mod arrivals;
pub mod client;
pub mod keys;
pub mod measure;
pub mod mix;
pub mod options;
pub mod outage;
pub mod placement;
pub mod plot;
pub mod processor;
pub mod report;
pub mod run;
pub mod slopes;
pub mod tally;
pub mod verdict;
