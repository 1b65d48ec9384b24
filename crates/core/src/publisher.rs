//! Which changed readings an instance publishes next.

use std::collections::BTreeMap;

use crate::{
    ledger::Ledger,
    reading::{Reading, Subject},
};

/// Readings that changed and are not yet published.
///
/// A round publishes few of them, the most out of date first, so that the
/// traffic of a zone does not grow with what happens there; accuracy gives.
#[derive(Clone, Debug, Default)]
pub struct Publisher {
    staged: BTreeMap<Subject, Staged>,
}

#[derive(Clone, Copy, Debug)]
struct Staged {
    value: u32,
    /// Rounds it has waited; raises its urgency so that none waits for ever.
    waited_rounds: u64,
}

impl Publisher {
    /// Notes the newest value of a subject.
    pub fn stage(&mut self, reading: Reading, published: &Ledger) {
        if published.get(reading.subject).unwrap_or(0) == reading.value {
            self.staged.remove(&reading.subject);
            return;
        }
        let fresh = Staged { value: reading.value, waited_rounds: 0 };
        self.staged.entry(reading.subject).or_insert(fresh).value = reading.value;
    }

    /// Readings that wait.
    pub fn waiting(&self) -> usize {
        self.staged.len()
    }

    /// Takes the most urgent readings out, at most `limit`.
    pub fn take(&mut self, limit: usize, published: &Ledger) -> Vec<Reading> {
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
        for left in self.staged.values_mut() {
            left.waited_rounds += 1;
        }
        taken
    }
}

fn urgency(subject: Subject, staged: &Staged, published: &Ledger) -> u64 {
    let old = published.get(subject).unwrap_or(0);
    let error = u64::from(staged.value.abs_diff(old));
    error * (1 + staged.waited_rounds)
}
