//! The readings of one instance, as published by it and copied by its peers.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::reading::{Reading, Subject};

/// How far a copy of an instance's readings reaches.
///
/// Greater is newer: a restarted instance has a greater start.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct TableVersion {
    /// When the instance started, in seconds of Unix time.
    pub start_unix_s: u32,
    /// Rounds the instance has published since.
    pub round: u32,
}

/// The readings of one instance. Only that instance writes them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReadingTable {
    /// How far the readings reach.
    version: TableVersion,
    /// Each subject's value and the round that last changed it.
    entries: BTreeMap<Subject, Entry>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Entry {
    value: u32,
    round: u32,
}

/// What a peer lacks of a ledger: all changes after `from`, up to `stamp`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadingDelta {
    /// The round from which on the changes are whole.
    pub from_round: u32,
    /// How far the copy reaches with these changes.
    #[serde(rename = "stamp")]
    pub version: TableVersion,
    /// The changes; no subject stands twice.
    pub changes: Vec<Change>,
}

/// A reading and when its instance published it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The reading.
    pub reading: Reading,
    /// Rounds between its publication and the delta's stamp.
    pub age_rounds: u32,
}

impl ReadingTable {
    /// An empty ledger of an instance that has just started.
    pub fn new(start_unix_s: u32) -> ReadingTable {
        ReadingTable { version: TableVersion { start_unix_s, round: 0 }, entries: BTreeMap::new() }
    }

    /// How far the readings reach.
    pub fn version(&self) -> TableVersion {
        self.version
    }

    /// The value of a subject.
    pub fn get(&self, subject: Subject) -> Option<u32> {
        self.entries.get(&subject).map(|it| it.value)
    }

    /// Rounds since a subject's value was published.
    pub fn age_rounds(&self, subject: Subject) -> Option<u32> {
        self.entries.get(&subject).map(|it| self.version.round.saturating_sub(it.round))
    }

    /// All readings.
    pub fn iter(&self) -> impl Iterator<Item = Reading> + '_ {
        self.entries.iter().map(|(subject, it)| Reading { subject: *subject, value: it.value })
    }

    /// Begins the next round with these changes. Only the owner may call it.
    pub fn publish(&mut self, changes: &[Reading]) {
        self.version.round += 1;
        let round = self.version.round;
        for change in changes {
            self.entries.insert(change.subject, Entry { value: change.value, round });
        }
    }

    /// Overtakes a copy that is newer than the original, as after a clock was set back.
    pub fn advance_past(&mut self, copy: TableVersion) {
        if copy > self.version {
            self.version.start_unix_s = copy.start_unix_s + 1;
        }
    }

    /// What a peer lacks whose copy reaches to `theirs`, in whole rounds of
    /// about `limit` readings together, at least one round. `None` if it lacks nothing.
    pub fn delta(
        &self,
        theirs: TableVersion,
        limit: usize,
        is_wanted: impl Fn(Subject) -> bool,
    ) -> Option<ReadingDelta> {
        if theirs >= self.version {
            return None;
        }
        let is_same_start = theirs.start_unix_s == self.version.start_unix_s;
        let from_round = if is_same_start { theirs.round } else { 0 };
        let mut missing: Vec<MissingEntry> = self
            .entries
            .iter()
            .filter(|(subject, it)| it.round > from_round && is_wanted(**subject))
            .map(|(subject, it)| MissingEntry { subject: *subject, entry: *it })
            .collect();
        missing.sort_by_key(|it| it.entry.round);
        let mut version = self.version;
        if missing.len() > limit {
            version.round = missing[limit.saturating_sub(1)].entry.round;
            missing.retain(|it| it.entry.round <= version.round);
        }
        let changes = missing.iter().map(|it| it.change(version)).collect();
        Some(ReadingDelta { from_round, version, changes })
    }

    /// Brings a copy forward. Returns whether it moved; it never goes back.
    pub fn merge(&mut self, delta: &ReadingDelta) -> bool {
        if delta.version <= self.version {
            return false;
        }
        let is_same_start = delta.version.start_unix_s == self.version.start_unix_s;
        let whole_to_round = if is_same_start { self.version.round } else { 0 };
        if delta.from_round > whole_to_round {
            return false;
        }
        if !is_same_start {
            self.entries.clear();
        }
        self.version = delta.version;
        for change in &delta.changes {
            let round = delta.version.round.saturating_sub(change.age_rounds);
            let entry = Entry { value: change.reading.value, round };
            self.entries.insert(change.reading.subject, entry);
        }
        true
    }
}

struct MissingEntry {
    subject: Subject,
    entry: Entry,
}

impl MissingEntry {
    fn change(&self, version: TableVersion) -> Change {
        let reading = Reading { subject: self.subject, value: self.entry.value };
        Change { reading, age_rounds: version.round - self.entry.round }
    }
}
