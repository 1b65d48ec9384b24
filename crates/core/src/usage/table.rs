//! Counts of all instances by window and client account, and what of them changed.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::KEPT_WINDOWS;
use crate::Name;

/// One run of an instance's process, which counts from 0.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UsageSource {
    /// Name of the instance.
    pub instance: Name,
    /// Random number of the run.
    pub incarnation: u64,
}

/// What a process counted in a window, as far as it changed. Counts are cumulative, so that repeated and
/// reordered messages do no harm.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SourceWindow {
    /// The process.
    pub source: UsageSource,
    /// Number of the window.
    pub window: u64,
    /// Requests by client account.
    pub counts: Vec<(Name, u64)>,
    /// The window is over and the counts are final.
    pub is_closed: bool,
}

/// A value and the sequence number of its last change.
#[derive(Clone, Copy, Debug, Default)]
struct Changed<T> {
    value: T,
    sequence: u64,
}

#[derive(Clone, Debug, Default)]
struct WindowCounts {
    counts: BTreeMap<Name, Changed<u64>>,
    closed: Changed<bool>,
    /// Was told by the process itself, or counted here; other hubs tell the counts of their zones.
    is_direct: bool,
}

/// Which counts a receiver needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Scope {
    /// None.
    Nothing,
    /// Those of one process.
    Source(UsageSource),
    /// Those that processes told themselves, not those that other hubs told.
    Direct,
    /// All.
    All,
}

impl Scope {
    fn includes(&self, source: &UsageSource, counts: &WindowCounts) -> bool {
        match self {
            Scope::Nothing => false,
            Scope::Source(it) => it == source,
            Scope::Direct => counts.is_direct,
            Scope::All => true,
        }
    }
}

/// Counts of all instances. Keeps [`KEPT_WINDOWS`] windows.
#[derive(Clone, Debug, Default)]
pub struct UsageTable {
    /// By window and source.
    windows: BTreeMap<u64, BTreeMap<UsageSource, WindowCounts>>,
    /// Sequence number of the last change.
    sequence: u64,
    /// Sequence number of the last change that closed a window.
    closed_sequence: u64,
}

impl UsageTable {
    /// Counts a request.
    pub fn count(&mut self, source: &UsageSource, window: u64, account: &Name) {
        self.sequence += 1;
        let sequence = self.sequence;
        let counts = self.entry(source, window, true);
        let count = counts.counts.entry(account.clone()).or_default();
        *count = Changed { value: count.value + 1, sequence };
    }

    /// Closes a window of this process.
    pub fn close(&mut self, source: &UsageSource, window: u64) {
        let closed =
            SourceWindow { source: source.clone(), window, counts: Vec::new(), is_closed: true };
        self.merge_one(closed, true);
    }

    /// Applies what another instance told. `is_direct` if it told its own counts. Windows outside of
    /// `kept` are ignored.
    pub fn merge(
        &mut self,
        updates: Vec<SourceWindow>,
        is_direct: bool,
        kept: std::ops::RangeInclusive<u64>,
    ) {
        for it in updates {
            if kept.contains(&it.window) {
                self.merge_one(it, is_direct);
            }
        }
    }

    fn merge_one(&mut self, update: SourceWindow, is_direct: bool) {
        let sequence = self.sequence + 1;
        let mut has_changed = false;
        let window = self.entry(&update.source, update.window, is_direct);
        for (account, value) in update.counts {
            let count = window.counts.entry(account).or_default();
            if value > count.value {
                *count = Changed { value, sequence };
                has_changed = true;
            }
        }
        if update.is_closed && !window.closed.value {
            window.closed = Changed { value: true, sequence };
            has_changed = true;
            self.closed_sequence = sequence;
        }
        if has_changed {
            self.sequence = sequence;
        }
    }

    fn entry(&mut self, source: &UsageSource, window: u64, is_direct: bool) -> &mut WindowCounts {
        let sources = self.windows.entry(window).or_default();
        let counts = sources.entry(source.clone()).or_default();
        counts.is_direct |= is_direct;
        counts
    }

    /// Sequence number of the last change.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Changes after a sequence number, as far as a receiver needs them.
    pub fn changes_since(&self, sequence: u64, scope: &Scope) -> Vec<SourceWindow> {
        let mut changes = Vec::new();
        for (&window, sources) in &self.windows {
            for (source, entry) in sources.iter().filter(|(of, it)| scope.includes(of, it)) {
                let changed = entry.counts.iter().filter(|(_, it)| it.sequence > sequence);
                let counts: Vec<(Name, u64)> =
                    changed.map(|(account, it)| (account.clone(), it.value)).collect();
                let is_closed = entry.closed.value;
                if !counts.is_empty() || (is_closed && entry.closed.sequence > sequence) {
                    let source = source.clone();
                    changes.push(SourceWindow { source, window, counts, is_closed });
                }
            }
        }
        changes
    }

    /// Whether a window was closed by a process after a sequence number.
    pub fn has_closed_since(&self, sequence: u64, scope: &Scope) -> bool {
        // Asked for each message to a peer, mostly without such a change.
        if self.closed_sequence <= sequence {
            return false;
        }
        let mut entries = self.windows.values().flatten();
        entries.any(|(source, it)| {
            it.closed.value && it.closed.sequence > sequence && scope.includes(source, it)
        })
    }

    /// Drops windows that are no longer kept while `current` is the current one.
    pub fn expire(&mut self, current: u64) {
        let oldest = (current + 1).saturating_sub(KEPT_WINDOWS);
        self.windows = self.windows.split_off(&oldest);
    }

    /// Sum over all processes by client account.
    pub fn totals(&self, window: u64) -> BTreeMap<Name, u64> {
        let mut totals = BTreeMap::new();
        for entry in self.windows.get(&window).into_iter().flat_map(|it| it.values()) {
            for (account, it) in &entry.counts {
                let total: &mut u64 = totals.entry(account.clone()).or_default();
                *total = total.saturating_add(it.value);
            }
        }
        totals
    }

    /// Instances of which a process has closed the window.
    pub fn closed_instances(&self, window: u64) -> BTreeSet<Name> {
        let sources = self.windows.get(&window).into_iter().flatten();
        sources.filter(|(_, it)| it.closed.value).map(|(it, _)| it.instance.clone()).collect()
    }

    /// Instances of which a process counts in the window or closed it.
    pub fn instances(&self, window: u64) -> BTreeSet<Name> {
        let sources = self.windows.get(&window).into_iter().flat_map(|it| it.keys());
        sources.map(|it| it.instance.clone()).collect()
    }

    /// The first kept window in which a request was counted.
    pub fn first_used(&self) -> Option<u64> {
        let is_used = |sources: &BTreeMap<UsageSource, WindowCounts>| {
            sources.values().any(|it| !it.counts.is_empty())
        };
        self.windows.iter().find(|(_, it)| is_used(it)).map(|(window, _)| *window)
    }
}
