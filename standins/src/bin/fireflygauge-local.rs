//! Runs the whole path in one process.

fn main() {}
