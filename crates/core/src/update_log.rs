//! A bounded log of what instances tell each other once, with a place for each listener.

use std::collections::VecDeque;

/// What was told of late, oldest first.
#[derive(Clone, Debug)]
pub struct UpdateLog<T> {
    entries: VecDeque<T>,
    /// Entries before the first of `entries`.
    dropped: u64,
    /// Most entries that are kept; a listener that is further behind misses the older.
    limit: usize,
}

impl<T> UpdateLog<T> {
    /// Nothing was told.
    pub fn new(limit: usize) -> UpdateLog<T> {
        UpdateLog { entries: VecDeque::new(), dropped: 0, limit }
    }

    /// Adds what is to be told.
    pub fn extend(&mut self, entries: impl IntoIterator<Item = T>) {
        self.entries.extend(entries);
        let excess = self.entries.len().saturating_sub(self.limit);
        self.entries.drain(..excess);
        self.dropped += excess as u64;
    }

    /// Where listeners go on that have read everything.
    pub fn end(&self) -> u64 {
        self.dropped + self.entries.len() as u64
    }

    /// What a listener has not seen that have read everything up to a place.
    pub fn since(&self, seen: u64) -> impl Iterator<Item = &T> {
        // One that read more than there is read an earlier incarnation.
        let seen = if seen > self.end() { 0 } else { seen };
        let skipped = usize::try_from(seen.saturating_sub(self.dropped)).unwrap_or(usize::MAX);
        self.entries.iter().skip(skipped)
    }
}

/// How far two instances have read each other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SyncCursors {
    /// Up to where the peer read this instance.
    pub acked_by_peer: u64,
    /// Up to where this instance read the peer.
    pub received_from_peer: u64,
}

impl SyncCursors {
    /// The peer was told everything up to `told`, and its own news ends at `next`.
    pub fn advance(self, sent_to: u64, peer_end: u64) -> SyncCursors {
        // A peer whose news became shorter has started anew and remembers nothing.
        let acked_by_peer = if peer_end < self.received_from_peer { 0 } else { sent_to };
        SyncCursors { acked_by_peer, received_from_peer: peer_end }
    }
}
