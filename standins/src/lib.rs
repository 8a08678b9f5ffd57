//! Stand-ins for what surrounds the router.
