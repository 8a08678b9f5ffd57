//! The right to send one request to a target that does not check grants.

use super::Fronts;
use crate::{clock::Millis, partition::Partition, world::VmName};

/// Counts one request as running on a target.
///
/// A request whose end is not known may run until its deadline, so it counts as running until
/// then: a move of its partition waits for it.
#[derive(Debug)]
pub struct FrontPermit {
    fronts: Fronts,
    target: VmName,
    partition: Partition,
    deadline: Millis,
    ended: bool,
}

impl FrontPermit {
    pub(super) fn new(
        fronts: Fronts,
        target: VmName,
        partition: Partition,
        deadline: Millis,
    ) -> Self {
        Self {
            fronts,
            target,
            partition,
            deadline,
            ended: false,
        }
    }

    /// When the request must have ended.
    pub fn deadline(&self) -> Millis {
        self.deadline
    }

    /// The request is known to have ended, or never to have started.
    pub fn end(mut self) {
        self.ended = true;
        self.fronts.end(&self.target, self.partition);
    }
}

impl Drop for FrontPermit {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let (fronts, target, partition) =
            (self.fronts.clone(), self.target.clone(), self.partition);
        let left = fronts.shared.clock.until(self.deadline);
        tokio::spawn(async move {
            tokio::time::sleep(left).await;
            fronts.end(&target, partition);
        });
    }
}
