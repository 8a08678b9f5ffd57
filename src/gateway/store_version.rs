//! Versions of the store and of its rows across restorations.
//!
//! When the store comes back from a copy, its versions go back and are given out again, and its era
//! rises. An adapter therefore passes on each version together with the era in which it was read, in
//! one number that orders by the era first. Such versions only rise.

/// Bits of the version within its era. At 400 writes per second they last for more than a thousand
/// years.
const NUMBER_BITS: u32 = 44;

/// Number of eras that can be told apart.
pub const ERAS: u64 = 1 << (u64::BITS - NUMBER_BITS);

/// The version that the store calls `number` in `era`.
pub fn store_version(era: u64, number: u64) -> u64 {
    (era << NUMBER_BITS) | (number & ((1 << NUMBER_BITS) - 1))
}

/// The era in which a version was read; 0 if the store names none.
pub fn era_of(version: u64) -> u64 {
    version >> NUMBER_BITS
}

/// What the store calls a version in its era.
pub fn number_of(version: u64) -> u64 {
    version & ((1 << NUMBER_BITS) - 1)
}
