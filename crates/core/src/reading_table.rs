//! The published readings of one instance, as a versioned table that its peers replicate.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::reading::{Reading, Subject};

/// Version of a reading table. Greater is newer: a restarted instance has a greater start.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct TableVersion {
    /// When the instance started, in seconds of Unix time.
    pub start_unix_s: u32,
    /// Number of rounds that the instance has published since then.
    pub round: u32,
}

/// The readings of one instance. Only that instance publishes them; others hold copies.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReadingTable {
    version: TableVersion,
    /// Value of each subject, and the round that published it.
    entries: BTreeMap<Subject, Entry>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Entry {
    value: u32,
    round: u32,
}

/// Changes that a copy lacks: all those after `from_round`, up to `version`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadingDelta {
    /// Round after which the delta holds all changes; 0 for the whole table.
    pub from_round: u32,
    /// Version of the copy once the delta is applied.
    #[serde(rename = "stamp")]
    pub version: TableVersion,
    /// The changes, with at most one per subject.
    pub changes: Vec<Change>,
}

/// A reading, with the round in which its instance published it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The published value.
    pub reading: Reading,
    /// Rounds between its publication and the version of the delta.
    pub age_rounds: u32,
}

impl ReadingTable {
    /// Creates the empty table of an instance that has just started.
    pub fn new(start_unix_s: u32) -> ReadingTable {
        ReadingTable { version: TableVersion { start_unix_s, round: 0 }, entries: BTreeMap::new() }
    }

    /// Current version.
    pub fn version(&self) -> TableVersion {
        self.version
    }

    /// Published value of a subject.
    pub fn get(&self, subject: Subject) -> Option<u32> {
        self.entries.get(&subject).map(|it| it.value)
    }

    /// Number of rounds since the value of a subject was published.
    pub fn age_rounds(&self, subject: Subject) -> Option<u32> {
        self.entries.get(&subject).map(|it| self.version.round.saturating_sub(it.round))
    }

    /// Iterates over all readings.
    pub fn iter(&self) -> impl Iterator<Item = Reading> + '_ {
        self.entries.iter().map(|(subject, it)| Reading { subject: *subject, value: it.value })
    }

    /// Publishes a round with these changes. Only the owner of the table may call it.
    pub fn publish(&mut self, changes: &[Reading]) {
        self.version.round += 1;
        let round = self.version.round;
        for change in changes {
            self.entries.insert(change.subject, Entry { value: change.value, round });
        }
    }

    /// Raises the version above that of a copy which is newer than the original, for example after
    /// the instance restarted with its clock set back. Otherwise peers would ignore its updates.
    pub fn advance_past(&mut self, copy: TableVersion) {
        if copy > self.version {
            self.version.start_unix_s = copy.start_unix_s + 1;
        }
    }

    /// Changes that a copy at version `theirs` lacks, restricted to subjects that are `is_wanted`;
    /// `None` if the copy is up to date. The delta consists of whole rounds, at least one, and may
    /// exceed `limit` changes by the rest of the last round.
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

    /// Applies a delta to a copy. Returns whether the copy advanced: a delta that is older than the
    /// copy or would leave a gap is ignored.
    pub fn merge(&mut self, delta: &ReadingDelta) -> bool {
        if delta.version <= self.version {
            return false;
        }
        let is_same_start = delta.version.start_unix_s == self.version.start_unix_s;
        let complete_to_round = if is_same_start { self.version.round } else { 0 };
        if delta.from_round > complete_to_round {
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
