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

    /// Shortens `deadline` to that of the permit and takes it as what the target is told: the
    /// request ends by then, which may be long before the end of a lease in hold mode.
    pub fn limit(&mut self, deadline: Millis) -> Millis {
        self.deadline = self.deadline.min(deadline);
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
