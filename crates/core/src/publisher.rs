//! Selection of the changed readings that an instance publishes next.

use std::collections::BTreeMap;

use crate::{
    reading::{Reading, Subject},
    reading_table::ReadingTable,
};

/// Changed readings that are not yet published.
///
/// Each gossip round publishes a limited number of them, those that differ most from the published
/// value first. The traffic of a zone therefore does not grow with the rate of changes. When there
/// are many changes, the published values are less accurate instead.
#[derive(Clone, Debug, Default)]
pub struct Publisher {
    staged: BTreeMap<Subject, Staged>,
}

#[derive(Clone, Copy, Debug)]
struct Staged {
    value: u32,
    /// Rounds since it was staged. Raises the urgency, so that no reading is starved.
    waited_rounds: u64,
}

impl Publisher {
    /// Records the latest value of a subject. A value that equals the published one is not staged.
    pub fn stage(&mut self, reading: Reading, published: &ReadingTable) {
        if published.get(reading.subject).unwrap_or(0) == reading.value {
            self.staged.remove(&reading.subject);
            return;
        }
        let new = Staged { value: reading.value, waited_rounds: 0 };
        self.staged.entry(reading.subject).or_insert(new).value = reading.value;
    }

    /// Number of readings that are not yet published.
    pub fn waiting(&self) -> usize {
        self.staged.len()
    }

    /// Removes and returns the most urgent readings, at most `limit`.
    pub fn take(&mut self, limit: usize, published: &ReadingTable) -> Vec<Reading> {
        let mut urgent: Vec<(u64, Subject)> = self
            .staged
            .iter()
            .map(|(subject, it)| (urgency(*subject, it, published), *subject))
            .collect();
        urgent.sort_unstable_by(|a, b| b.cmp(a));
        urgent.truncate(limit);
        let taken = urgent
            .into_iter()
            .filter_map(|(_, subject)| {
                let value = self.staged.remove(&subject)?.value;
                Some(Reading { subject, value })
            })
            .collect();
        for remaining in self.staged.values_mut() {
            remaining.waited_rounds += 1;
        }
        taken
    }
}

/// Difference from the published value, weighted by the rounds waited.
fn urgency(subject: Subject, staged: &Staged, published: &ReadingTable) -> u64 {
    let published_value = published.get(subject).unwrap_or(0);
    let error = u64::from(staged.value.abs_diff(published_value));
    error * (1 + staged.waited_rounds)
}
