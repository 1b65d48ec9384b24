//! A bounded log of updates that are sent to each peer once, and the cursors that track it.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

/// The most recent updates, oldest first. Readers address them by their position since the start.
#[derive(Clone, Debug)]
pub struct UpdateLog<T> {
    /// Identifies the log; that of another process has another id.
    id: u64,
    entries: VecDeque<T>,
    /// Number of entries that were dropped from the front.
    dropped: u64,
    /// Most entries to keep.
    limit: usize,
}

/// A position in the update log of a process. The default is a position in no log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPosition {
    /// Id of the log; 0 if none has been read.
    pub log: u64,
    /// Number of entries before the position.
    pub offset: u64,
}

/// Entries of a log from a position on.
#[derive(Clone, Debug)]
pub struct Updates<I> {
    /// Position of the first entry.
    pub begin: LogPosition,
    /// The entries.
    pub entries: I,
}

impl<T> UpdateLog<T> {
    /// Creates an empty log that keeps at most `limit` entries. `id` is not 0.
    pub fn new(id: u64, limit: usize) -> UpdateLog<T> {
        UpdateLog { id, entries: VecDeque::new(), dropped: 0, limit }
    }

    /// Appends entries, and drops the oldest beyond the limit.
    pub fn extend(&mut self, entries: impl IntoIterator<Item = T>) {
        self.entries.extend(entries);
        let excess = self.entries.len().saturating_sub(self.limit);
        self.entries.drain(..excess);
        self.dropped += excess as u64;
    }

    /// Position after the last entry.
    pub fn end(&self) -> LogPosition {
        LogPosition { log: self.id, offset: self.dropped + self.entries.len() as u64 }
    }

    /// Entries from a position on; from the first one if the position is in another log. `None` if
    /// some of them were dropped.
    pub fn since(&self, position: LogPosition) -> Option<Updates<impl Iterator<Item = &T>>> {
        let offset = if position.log == self.id { position.offset } else { 0 };
        let skipped = offset.checked_sub(self.dropped)?;
        let skipped = usize::try_from(skipped).unwrap_or(usize::MAX);
        let begin = LogPosition { log: self.id, offset };
        Some(Updates { begin, entries: self.entries.iter().skip(skipped) })
    }

    /// Entries from a position on, as far as they are kept.
    pub fn since_or_oldest(&self, position: LogPosition) -> Updates<impl Iterator<Item = &T>> {
        let offset = if position.log == self.id { position.offset } else { 0 };
        let offset = offset.max(self.dropped);
        let skipped = usize::try_from(offset - self.dropped).unwrap_or(usize::MAX);
        let begin = LogPosition { log: self.id, offset };
        Updates { begin, entries: self.entries.iter().skip(skipped) }
    }
}

/// How far two instances have read each other's update logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SyncCursors {
    /// Position in this instance's log up to which the peer has read.
    pub acked_by_peer: LogPosition,
    /// Position in the peer's log up to which this instance has read.
    pub received_from_peer: LogPosition,
}

impl SyncCursors {
    /// Cursors after an exchange in which the peer received everything from `acked_by_peer` up to
    /// `sent_to`, and its own log ended at `peer_end`.
    pub fn advance(self, sent_to: LogPosition, peer_end: LogPosition) -> SyncCursors {
        let known = self.received_from_peer;
        // A peer with another log has restarted and lost what it had received.
        let has_restarted = known != LogPosition::default() && known.log != peer_end.log;
        let acked_by_peer = if has_restarted { LogPosition::default() } else { sent_to };
        SyncCursors { acked_by_peer, received_from_peer: peer_end }
    }
}
