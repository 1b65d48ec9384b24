//! The newest record of each key of a log, and what another reader of the log is missing.
//!
//! Readers pass records on to each other, so that most of them need not read the store. A reader
//! that is far behind gets all live records instead of changes; keys missing among them were
//! deleted.

use std::collections::{BTreeSet, HashMap};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::Name;

/// Maximum number of records in a complete list that is sent to a reader with access to the
/// store; beyond it the reader gets the list from the store.
const MAX_COMPLETE_RECORDS: usize = 400;

/// Maximum number of tombstones kept for readers that are behind.
const MAX_TOMBSTONES: usize = 256;

/// The newest record of each key.
#[derive(Clone, Debug, Default)]
pub struct CompactedLog {
    /// Era of the history that all offsets belong to; 0 before anything was read.
    era: u64,
    /// All records before this offset were applied; 0 before any was.
    end: u64,
    /// No tombstone from this offset on was forgotten, so a reader that applied everything before
    /// it can be sent changes instead of all records.
    changes_from: u64,
    /// Tombstones before this offset may have been forgotten.
    forgotten_to: u64,
    entries: HashMap<Name, Entry>,
    /// Keys whose newest record deletes them, by its offset; at most [`MAX_TOMBSTONES`].
    tombstones: BTreeSet<Tombstone>,
}

/// The newest record of a key.
#[derive(Clone, Debug)]
struct Entry {
    offset: u64,
    /// `None` if the key was deleted.
    value: Option<Bytes>,
    /// Offset of the newest record that carried a change; later ones were only heartbeats.
    changed: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Tombstone {
    offset: u64,
    key: Name,
}

/// A keyed record of a log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Key that the record sets or deletes.
    pub key: Name,
    /// `None` if the record deletes the key.
    pub value: Option<Bytes>,
    /// Offset of the record in the log.
    pub offset: u64,
}

/// Records that a reader is missing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CatchUp {
    /// Records to apply, in no particular order.
    pub records: Vec<Record>,
    /// The records are all live ones: other keys that the reader has were deleted.
    pub is_complete: bool,
}

/// How a reader that is behind catches up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CatchUpPlan {
    /// It is sent these records.
    Records(CatchUp),
    /// It is missing so many records that it should read the store itself.
    ReadStore,
}

impl CompactedLog {
    /// Offset at which reading continues; `None` before anything was read.
    pub fn end(&self) -> Option<u64> {
        (self.end > 0).then_some(self.end)
    }

    /// Era of the history that all offsets belong to.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Forgets all records and begins another history, of which those before `end` are applied next.
    pub fn begin_era(&mut self, era: u64, end: u64) {
        *self = CompactedLog { era, end, changes_from: end, ..CompactedLog::default() };
    }

    /// Notes that all records before `end` were applied.
    pub fn advance_to(&mut self, end: u64) {
        if self.end == 0 {
            self.changes_from = end;
        }
        self.end = self.end.max(end);
    }

    /// Notes that a list of all live keys before `end` was applied: others were deleted.
    pub fn mark_complete_to(&mut self, end: u64) {
        self.advance_to(end);
        self.forgotten_to = self.forgotten_to.max(end);
    }

    /// Whether a record is newer than what is known of its key.
    pub fn is_newer(&self, key: &str, offset: u64) -> bool {
        match self.entries.get(key) {
            Some(entry) => offset > entry.offset,
            // An older record may be of a key that was deleted, and its tombstone forgotten or never
            // read.
            None => offset >= self.forgotten_to,
        }
    }

    /// Stores a record that is newer than what is known of its key. `is_change` is false for a
    /// heartbeat, which says only that the key is alive.
    pub fn put(&mut self, record: Record, is_change: bool) {
        let Record { key, value, offset } = record;
        let known = self.entries.get(&key);
        if let Some(entry) = known.filter(|it| it.value.is_none()) {
            self.tombstones.remove(&Tombstone { offset: entry.offset, key: key.clone() });
        }
        let known = known.map(|it| it.changed);
        let changed = if is_change { offset } else { known.unwrap_or(offset) };
        if value.is_none() {
            self.tombstones.insert(Tombstone { offset, key: key.clone() });
        }
        self.entries.insert(key, Entry { offset, value, changed });
        self.forget_tombstones();
    }

    /// Live keys that are not in a list.
    pub fn keys_not_in(&self, listed: &[Name]) -> Vec<Name> {
        let listed: BTreeSet<&Name> = listed.iter().collect();
        let live = self.entries.iter().filter(|(_, it)| it.value.is_some());
        live.map(|(key, _)| key).filter(|it| !listed.contains(it)).cloned().collect()
    }

    /// How a reader that knows nothing of this history catches up, as [`Self::plan_catch_up`].
    pub fn plan_complete(&self, has_store: bool) -> CatchUpPlan {
        Self::plan(self.complete(), has_store)
    }

    /// How a reader that applied everything before `end` catches up. A reader without access to
    /// the store is sent all records, however many they are.
    pub fn plan_catch_up(&self, end: u64, has_store: bool) -> CatchUpPlan {
        Self::plan(self.catch_up(end), has_store)
    }

    fn plan(catch_up: CatchUp, has_store: bool) -> CatchUpPlan {
        if has_store && catch_up.is_complete && catch_up.records.len() > MAX_COMPLETE_RECORDS {
            return CatchUpPlan::ReadStore;
        }
        CatchUpPlan::Records(catch_up)
    }

    /// What a reader is missing that applied everything before `end`.
    pub fn catch_up(&self, end: u64) -> CatchUp {
        if end >= self.changes_from {
            return CatchUp { records: self.changed_since(end), is_complete: false };
        }
        self.complete()
    }

    fn complete(&self) -> CatchUp {
        let mut records = self.changed_since(0);
        records.retain(|it| it.value.is_some());
        CatchUp { records, is_complete: true }
    }

    /// The newest record of each key that changed at or after an offset, tombstones included.
    pub fn changed_since(&self, offset: u64) -> Vec<Record> {
        let changed = self.entries.iter().filter(|(_, it)| it.changed >= offset);
        let record = |(key, it): (&Name, &Entry)| Record {
            key: key.clone(),
            value: it.value.clone(),
            offset: it.offset,
        };
        changed.map(record).collect()
    }

    /// Value of a live key.
    pub fn value(&self, key: &str) -> Option<&Bytes> {
        self.entries.get(key)?.value.as_ref()
    }

    /// Number of keys, tombstones included.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are neither live keys nor tombstones.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn forget_tombstones(&mut self) {
        while self.tombstones.len() > MAX_TOMBSTONES {
            let Some(oldest) = self.tombstones.pop_first() else { return };
            self.entries.remove(&oldest.key);
            self.forgotten_to = self.forgotten_to.max(oldest.offset + 1);
            self.changes_from = self.changes_from.max(self.forgotten_to);
        }
    }
}
