//! A bounded queue that serves callers round-robin.

use crate::collections::Map;
use std::{collections::VecDeque, sync::Arc};

/// Queued items, grouped by caller and removed round-robin.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    waiting: Map<Arc<str>, VecDeque<T>>,
    rotation: VecDeque<Arc<str>>,
    len: usize,
}

/// Result of a push to a [`FairQueue`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PushResult<T> {
    /// The item is queued.
    Queued,
    /// The item is queued in place of this one, the newest of the caller with the most items.
    Displaced(T),
    /// The item is rejected: the queue is full and no caller has more items than this one would
    /// have.
    Full(T),
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            waiting: Map::default(),
            rotation: VecDeque::new(),
            len: 0,
        }
    }
}

impl<T> FairQueue<T> {
    /// Number of queued items.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no item is queued.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds an item of `caller` to the queue, which holds at most `limit` items.
    ///
    /// When the queue is full, the newest item of the caller with the most items is displaced, so
    /// that a burst of one caller cannot lock the others out.
    pub fn push(&mut self, caller: &Arc<str>, item: T, limit: usize) -> PushResult<T> {
        if self.len < limit {
            self.insert(caller, item);
            return PushResult::Queued;
        }
        let own = self.waiting.get(caller).map_or(0, VecDeque::len);
        let longest = self
            .waiting
            .iter()
            .max_by_key(|(_, items)| items.len())
            .filter(|(_, items)| items.len() > own + 1)
            .map(|(name, _)| Arc::clone(name));
        let Some(displaced) = longest.and_then(|name| self.remove_newest(&name)) else {
            return PushResult::Full(item);
        };
        self.insert(caller, item);
        PushResult::Displaced(displaced)
    }

    /// Removes the oldest item of the caller whose turn it is.
    pub fn pop(&mut self) -> Option<T> {
        let caller = self.rotation.pop_front()?;
        let items = self.waiting.get_mut(&caller)?;
        let item = items.pop_front();
        self.len -= 1;
        if items.is_empty() {
            self.waiting.remove(&caller);
        } else {
            self.rotation.push_back(caller);
        }
        item
    }

    /// Number of items that would be removed before a new item of `caller`.
    pub fn ahead_of(&self, caller: &str) -> usize {
        let own = self.waiting.get(caller).map_or(0, VecDeque::len);
        self.waiting
            .values()
            .map(|items| items.len().min(own + 1))
            .sum::<usize>()
            .min(self.len)
    }

    /// Removes the items for which `keep` returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(&T) -> bool) {
        for items in self.waiting.values_mut() {
            items.retain(&mut keep);
        }
        self.waiting.retain(|_, items| !items.is_empty());
        let waiting = &self.waiting;
        self.rotation.retain(|caller| waiting.contains_key(caller));
        self.len = waiting.values().map(VecDeque::len).sum();
    }

    fn insert(&mut self, caller: &Arc<str>, item: T) {
        let items = self.waiting.entry(Arc::clone(caller)).or_default();
        if items.is_empty() {
            self.rotation.push_back(Arc::clone(caller));
        }
        items.push_back(item);
        self.len += 1;
    }

    fn remove_newest(&mut self, caller: &Arc<str>) -> Option<T> {
        let items = self.waiting.get_mut(caller)?;
        let item = items.pop_back()?;
        self.len -= 1;
        if items.is_empty() {
            self.waiting.remove(caller);
            self.rotation.retain(|name| name != caller);
        }
        Some(item)
    }
}
