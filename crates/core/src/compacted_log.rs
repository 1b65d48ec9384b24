//! The newest record of each key of a log, and what another reader of the log lacks.
//!
//! Readers hand records on to each other, so that most need not ask the store. A reader that
//! is far behind gets all live records; what is missing among them was dropped.

use std::collections::{BTreeSet, HashMap};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::Name;

/// Records that are handed on at once to a reader which can read the store itself.
const HANDED_ON_LIMIT: usize = 400;

/// Dropped keys that are remembered for readers which are behind.
const DROPPED_LIMIT: usize = 256;

/// The newest record of each key.
#[derive(Clone, Debug, Default)]
pub struct CompactedLog {
    /// Everything before it was taken in; 0 before anything was.
    end: u64,
    /// From there on every record that dropped a key is known.
    whole_since: u64,
    /// Before it keys may have been dropped that are no longer remembered.
    forgotten_to: u64,
    records: HashMap<Name, Held>,
    /// Keys whose newest record dropped them, by its offset; at most [`DROPPED_LIMIT`].
    dropped: BTreeSet<Dropped>,
}

/// The newest record of a key.
#[derive(Clone, Debug)]
struct Held {
    offset: u64,
    /// Nothing if the key was dropped.
    value: Option<Bytes>,
    /// Offset at which it last said something new, other than that it lives.
    changed: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Dropped {
    offset: u64,
    key: Name,
}

/// A keyed record of a log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// What it is about.
    pub key: Name,
    /// Nothing if the key was dropped.
    pub value: Option<Bytes>,
    /// Its place in the log.
    pub offset: u64,
}

/// What a reader lacks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CatchUp {
    /// Records to take in.
    pub records: Vec<Record>,
    /// They are all there are: keys that are not among them were dropped.
    pub is_complete: bool,
}

/// What to do for a reader that is behind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CatchUpPlan {
    /// Tell it what it lacks.
    Records(CatchUp),
    /// It lacks so much that it should read the store.
    ReadStore,
}

impl CompactedLog {
    /// Where reading goes on; `None` before anything was read.
    pub fn end(&self) -> Option<u64> {
        (self.end > 0).then_some(self.end)
    }

    /// All records before an offset were taken in.
    pub fn advance_to(&mut self, end: u64) {
        if self.end == 0 {
            self.whole_since = end;
        }
        self.end = self.end.max(end);
    }

    /// Whether a record says something that newer ones do not.
    pub fn is_newer(&self, key: &str, offset: u64) -> bool {
        match self.records.get(key) {
            Some(held) => offset > held.offset,
            // It may be of a key whose dropping is no longer remembered.
            None => offset >= self.forgotten_to,
        }
    }

    /// Keeps a record. `is_news` tells that it says more than that its key lives.
    pub fn put(&mut self, record: Record, is_news: bool) {
        let Record { key, value, offset } = record;
        let known = self.records.get(&key);
        if let Some(held) = known.filter(|it| it.value.is_none()) {
            self.dropped.remove(&Dropped { offset: held.offset, key: key.clone() });
        }
        let known = known.map(|it| it.changed);
        let changed = if is_news { offset } else { known.unwrap_or(offset) };
        if value.is_none() {
            self.dropped.insert(Dropped { offset, key: key.clone() });
        }
        self.records.insert(key, Held { offset, value, changed });
        self.forget_dropped();
    }

    /// Keys that are held but not in a list.
    pub fn keys_not_in(&self, listed: &[Name]) -> Vec<Name> {
        let listed: BTreeSet<&Name> = listed.iter().collect();
        let live = self.records.iter().filter(|(_, it)| it.value.is_some());
        live.map(|(key, _)| key).filter(|it| !listed.contains(it)).cloned().collect()
    }

    /// What to do for a reader that took in everything before an offset. One that the store does
    /// not answer is handed on everything, however much it is.
    pub fn plan_catch_up(&self, end: u64, has_store: bool) -> CatchUpPlan {
        let lacking = self.catch_up(end);
        if has_store && lacking.is_complete && lacking.records.len() > HANDED_ON_LIMIT {
            return CatchUpPlan::ReadStore;
        }
        CatchUpPlan::Records(lacking)
    }

    /// What a reader lacks that took in everything before an offset.
    pub fn catch_up(&self, end: u64) -> CatchUp {
        if end >= self.whole_since {
            return CatchUp { records: self.changed_since(end), is_complete: false };
        }
        let mut records = self.changed_since(0);
        records.retain(|it| it.value.is_some());
        CatchUp { records, is_complete: true }
    }

    /// Records that say something new from an offset on.
    pub fn changed_since(&self, end: u64) -> Vec<Record> {
        let news = self.records.iter().filter(|(_, it)| it.changed >= end);
        let record = |(key, it): (&Name, &Held)| Record {
            key: key.clone(),
            value: it.value.clone(),
            offset: it.offset,
        };
        news.map(record).collect()
    }

    /// Keys that are held, dropped ones among them.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn forget_dropped(&mut self) {
        while self.dropped.len() > DROPPED_LIMIT {
            let Some(oldest) = self.dropped.pop_first() else { return };
            self.records.remove(&oldest.key);
            self.forgotten_to = self.forgotten_to.max(oldest.offset + 1);
            self.whole_since = self.whole_since.max(self.forgotten_to);
        }
    }
}
