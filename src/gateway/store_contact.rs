//! For how long the store has given this daemon no answer.

use crate::clock::Millis;
use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard, PoisonError},
};

/// Time for which silences are kept after their end.
const KEPT_FOR: Millis = Millis(10_000);
/// Shortest silence that is kept.
const MIN_SILENCE: Millis = Millis(200);

/// A time in which the daemon knows of no answer of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Silence {
    /// The last answer before it.
    pub from: Millis,
    /// The first answer after it, or the present time.
    pub to: Millis,
    /// Whether a call failed in it. Without a failure, the store may have held all calls until there
    /// was a change.
    pub has_failure: bool,
}

impl Silence {
    /// Its length.
    pub fn length(&self) -> Millis {
        self.to.since(self.from)
    }
}

/// When the store answered this daemon, or the controller that supplies it.
#[derive(Debug, Default)]
pub struct StoreContact {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    ended: VecDeque<Silence>,
    /// `None` before the first answer: the daemon may have started just now.
    last_answer: Option<Millis>,
    /// The first and the last failure of a call since then.
    failures: Option<(Millis, Millis)>,
}

impl StoreContact {
    /// Records that the store answered at `at`. Earlier answers than the last one say nothing new.
    pub fn record_answer(&self, at: Millis) {
        let mut state = self.lock();
        if state.last_answer.is_some_and(|last| at <= last) {
            return;
        }
        let silence = state.current(at);
        if silence.length() >= MIN_SILENCE {
            state.ended.push_back(silence);
        }
        let is_old = |silence: &Silence| at.since(silence.to) > KEPT_FOR;
        while state.ended.front().is_some_and(is_old) {
            state.ended.pop_front();
        }
        state.last_answer = Some(at);
        state.failures = state.failures.filter(|(_, last)| *last > at);
    }

    /// Records that a call failed at `now`.
    pub fn record_failure(&self, now: Millis) {
        let mut state = self.lock();
        let first = state.failures.map_or(now, |(first, _)| first);
        state.failures = Some((first, now));
    }

    /// The longest silence that lasts until `now` or ended within `ended_within` before it.
    pub fn longest_silence(&self, now: Millis, ended_within: Millis) -> Silence {
        self.longest(now, ended_within, |_| true)
    }

    /// The same of those in which a call failed; `None` if there is none.
    pub fn longest_failure(&self, now: Millis, ended_within: Millis) -> Option<Silence> {
        let longest = self.longest(now, ended_within, |silence| silence.has_failure);
        Some(longest).filter(|silence| silence.has_failure)
    }

    fn longest(
        &self,
        now: Millis,
        ended_within: Millis,
        counts: impl Fn(&Silence) -> bool,
    ) -> Silence {
        let state = self.lock();
        let is_recent = |silence: &&Silence| now.since(silence.to) <= ended_within;
        let ended = state.ended.iter().filter(is_recent).copied();
        let current = state.current(now);
        let longest = ended
            .filter(&counts)
            .chain([current].into_iter().filter(&counts));
        longest.max_by_key(Silence::length).unwrap_or(current)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn current(&self, now: Millis) -> Silence {
        Silence {
            from: self.last_answer.unwrap_or(now),
            to: now,
            has_failure: self.failures.is_some_and(|(first, _)| first <= now),
        }
    }
}
