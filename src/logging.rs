//! Log output.
