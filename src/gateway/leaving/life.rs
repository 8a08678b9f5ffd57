//! Notices of one life, shared by the request thread and the control thread.

use super::{Deadlines, Notice, Notices, Source};
use crate::clock::Millis;
use arc_swap::ArcSwap;
use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};
use tokio::sync::Notify;

/// The notices of one life of an endpoint.
#[derive(Debug, Default)]
pub struct Life {
    /// Time for which the endpoint serves after a notice.
    drain_time: Millis,
    /// Replaced as a whole, so that readers wait for no writer.
    notices: ArcSwap<Notices>,
    /// Whether there ever was a notice. Most lives have none, and every request asks for it.
    had_notice: AtomicBool,
    /// Whether a response has said that the life leaves, so that later ones replace nothing.
    has_said_so: AtomicBool,
    /// Wakes the control thread.
    changed: Arc<Notify>,
}

impl Life {
    /// Creates the state of a life without notices. The first response that says that it leaves is
    /// signalled to `changed`.
    pub fn new(drain_time: Millis, changed: Arc<Notify>) -> Self {
        Self {
            drain_time,
            changed,
            ..Self::default()
        }
    }

    /// Whether the life leaves.
    pub fn is_leaving(&self) -> bool {
        self.had_notice.load(Ordering::Acquire) && self.notices.load().first().is_some()
    }

    /// Records a response at `now` that says that the life leaves.
    pub fn record_response(&self, now: Millis) {
        self.record_response_of_run(now, now);
    }

    /// Records a response at `now` that says that the life leaves, as all responses from its address
    /// have since `since`. Some of them may be this life's, though they were taken for a former
    /// one's. A run that is as old as the drain time is a former life's in part at least, and says
    /// nothing of this one: it would have ended by now.
    pub fn record_response_of_run(&self, since: Millis, now: Millis) {
        if self.has_said_so.swap(true, Ordering::AcqRel) {
            return;
        }
        let age = now.since(since);
        self.record(Notice {
            source: Source::Response,
            age: if age < self.drain_time {
                age
            } else {
                Millis::ZERO
            },
            seen_at: now,
        });
        self.changed.notify_one();
    }

    /// Records a notice. True if it is the first of its source.
    pub fn record(&self, notice: Notice) -> bool {
        self.had_notice.store(true, Ordering::Release);
        self.update(|notices| notices.record(notice))
    }

    /// Withdraws the registry's notice unless there is another one. True if it was withdrawn.
    pub fn withdraw_registry(&self) -> bool {
        self.update(Notices::withdraw_registry)
    }

    /// Records that the controller knows that the life leaves.
    pub fn set_reported(&self) {
        self.update(Notices::set_reported);
    }

    /// The notices so far.
    pub fn notices(&self) -> Notices {
        **self.notices.load()
    }

    /// Until when the endpoint is used; `None` if it does not leave.
    pub fn deadlines(&self) -> Option<Deadlines> {
        self.notices().deadlines(self.drain_time)
    }

    /// Whether the endpoint may be sent requests at `now`, of whatever kind.
    pub fn is_open(&self, now: Millis) -> bool {
        !self.is_leaving() || self.deadlines().is_none_or(|limits| now < limits.until)
    }

    /// When the keys of the life will have moved; `None` if that cannot be told.
    pub fn moved_by(&self) -> Option<Millis> {
        self.notices().moved_by(self.drain_time)
    }

    /// Applies a change, again if another thread has made one meanwhile.
    fn update<T>(&self, change: impl Fn(&mut Notices) -> T) -> T {
        let before = self.notices.rcu(|notices| {
            let mut notices = **notices;
            change(&mut notices);
            notices
        });
        change(&mut { *before })
    }
}
