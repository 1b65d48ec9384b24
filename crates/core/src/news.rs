//! A bounded log of what instances tell each other once, with a place for each listener.

use std::collections::VecDeque;

/// What was told of late, oldest first.
#[derive(Clone, Debug)]
pub struct News<T> {
    entries: VecDeque<T>,
    /// Entries before the first of `entries`.
    forgotten: u64,
    /// Most entries that are kept; a listener that is further behind misses the older.
    limit: usize,
}

impl<T> News<T> {
    /// Nothing was told.
    pub fn new(limit: usize) -> News<T> {
        News { entries: VecDeque::new(), forgotten: 0, limit }
    }

    /// Adds what is to be told.
    pub fn add(&mut self, entries: impl IntoIterator<Item = T>) {
        self.entries.extend(entries);
        let excess = self.entries.len().saturating_sub(self.limit);
        self.entries.drain(..excess);
        self.forgotten += excess as u64;
    }

    /// Where listeners go on that heard everything.
    pub fn next(&self) -> u64 {
        self.forgotten + self.entries.len() as u64
    }

    /// What a listener has not heard that heard everything up to a place.
    pub fn since(&self, heard: u64) -> impl Iterator<Item = &T> {
        // One that heard more than there is heard an earlier incarnation.
        let heard = if heard > self.next() { 0 } else { heard };
        let skipped = usize::try_from(heard.saturating_sub(self.forgotten)).unwrap_or(usize::MAX);
        self.entries.iter().skip(skipped)
    }
}

/// How far two instances have heard each other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Heard {
    /// Up to where the peer heard this instance.
    pub by_peer: u64,
    /// Up to where this instance heard the peer.
    pub from_peer: u64,
}

impl Heard {
    /// The peer was told everything up to `told`, and its own news ends at `next`.
    pub fn after(self, told: u64, next: u64) -> Heard {
        // A peer whose news became shorter has started anew and remembers nothing.
        let by_peer = if next < self.from_peer { 0 } else { told };
        Heard { by_peer, from_peer: next }
    }
}
