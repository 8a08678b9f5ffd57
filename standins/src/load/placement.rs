//! Compares placement policies on one generated load trace.
//!
//! This is a simulation of the policies alone, without processes, messages or message failures. A
//! planned move costs a fixed unserved time; the partitions of a lost target are unserved until its
//! lease has ended.

pub mod evaluation;
pub mod policies;
pub mod trace;
