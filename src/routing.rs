//! The path of a caller's request.

pub mod outcome;
