//! Exclusive ownership of partitions: leases, grants and the controller.
