//! Stand-ins for what surrounds the router.

pub mod load;
