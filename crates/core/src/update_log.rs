//! A bounded log of updates that are sent to each peer once, and the cursors that track it.

use std::collections::VecDeque;

/// The most recent updates, oldest first. Readers address them by their position since the start.
#[derive(Clone, Debug)]
pub struct UpdateLog<T> {
    entries: VecDeque<T>,
    /// Number of entries that were dropped from the front.
    dropped: u64,
    /// Most entries to keep; a reader that is further behind misses the dropped ones.
    limit: usize,
}

impl<T> UpdateLog<T> {
    /// Creates an empty log that keeps at most `limit` entries.
    pub fn new(limit: usize) -> UpdateLog<T> {
        UpdateLog { entries: VecDeque::new(), dropped: 0, limit }
    }

    /// Appends entries, and drops the oldest beyond the limit.
    pub fn extend(&mut self, entries: impl IntoIterator<Item = T>) {
        self.entries.extend(entries);
        let excess = self.entries.len().saturating_sub(self.limit);
        self.entries.drain(..excess);
        self.dropped += excess as u64;
    }

    /// Position after the last entry.
    pub fn end(&self) -> u64 {
        self.dropped + self.entries.len() as u64
    }

    /// Entries from a position on, as far as they are kept.
    pub fn since(&self, position: u64) -> impl Iterator<Item = &T> {
        // A position beyond the end is from before a restart of this instance.
        let position = if position > self.end() { 0 } else { position };
        let skipped = usize::try_from(position.saturating_sub(self.dropped)).unwrap_or(usize::MAX);
        self.entries.iter().skip(skipped)
    }
}

/// How far two instances have read each other's update logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SyncCursors {
    /// Position in this instance's log up to which the peer has read.
    pub acked_by_peer: u64,
    /// Position in the peer's log up to which this instance has read.
    pub received_from_peer: u64,
}

impl SyncCursors {
    /// Cursors after an exchange in which the peer received everything up to `sent_to`, and its own
    /// log ended at `peer_end`.
    pub fn advance(self, sent_to: u64, peer_end: u64) -> SyncCursors {
        // A peer whose log became shorter has restarted and lost what it had received.
        let acked_by_peer = if peer_end < self.received_from_peer { 0 } else { sent_to };
        SyncCursors { acked_by_peer, received_from_peer: peer_end }
    }
}
