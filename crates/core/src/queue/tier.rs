//! Entries of one tier, by class, target and client account.

use std::collections::{BTreeMap, BTreeSet};

use indexmap::IndexMap;

use super::Entry;
use crate::{Name, account_shares::AccountShares};

#[derive(Clone, Debug, Default)]
pub(super) struct Tier {
    pub(super) lanes: IndexMap<LaneKey, Lane>,
    /// Entries of lanes that are not late, as ([`Entry::first_token_start_by_ms`], id).
    pub(super) on_time: BTreeSet<(u64, u64)>,
    /// All entries of the tier, as ([`Entry::start_by_ms`], id).
    pub(super) start_by: BTreeSet<(u64, u64)>,
    /// Total size of the entries that may be evicted.
    pub(super) evictable_bytes: usize,
    /// Number of entries that may be evicted.
    pub(super) evictable_count: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct LaneKey {
    pub(super) class: Name,
    pub(super) target: Name,
    /// Whether its entries can no longer meet their first-token target.
    pub(super) is_late: bool,
}

/// Entries of one class and target, by account. Flows without entries are removed.
#[derive(Clone, Debug, Default)]
pub(super) struct Lane {
    pub(super) flows: IndexMap<Name, Flow>,
    /// Total expected cost of the lane's entries.
    pub(super) cost_tokens: u64,
}

/// Entries of one account in a lane, by arrival time and id.
#[derive(Clone, Debug, Default)]
pub(super) struct Flow {
    pub(super) entries: BTreeMap<(u64, u64), Entry>,
    pub(super) bytes: usize,
}

impl Tier {
    /// Adds an entry to the tier's totals.
    pub(super) fn track(&mut self, entry: &Entry) {
        self.start_by.insert((entry.start_by_ms, entry.id));
        if !entry.is_resumption {
            self.evictable_count += 1;
            self.evictable_bytes += entry.bytes;
        }
    }

    /// Removes an entry from the tier's totals.
    pub(super) fn untrack(&mut self, entry: &Entry) {
        self.start_by.remove(&(entry.start_by_ms, entry.id));
        if !entry.is_resumption {
            self.evictable_count -= 1;
            self.evictable_bytes -= entry.bytes;
        }
    }
}

impl Lane {
    /// The oldest entry of the account furthest below its share, or of all accounts if `by_share`
    /// is false.
    pub(super) fn head(&self, shares: &AccountShares, by_share: bool) -> Option<&Entry> {
        let rank = |account: &Name| if by_share { shares.usage_per_share(account) } else { 0.0 };
        let heads = self.flows.iter().filter_map(|(account, flow)| {
            let (key, entry) = flow.entries.first_key_value()?;
            Some(((rank(account), *key), entry))
        });
        heads.min_by(|a, b| a.0.0.total_cmp(&b.0.0).then(a.0.1.cmp(&b.0.1))).map(|(_, entry)| entry)
    }
}

impl Flow {
    /// Arrival time and id of the newest entry that may be evicted.
    pub(super) fn newest_evictable(&self) -> Option<(u64, u64)> {
        self.entries.iter().rev().find(|(_, it)| !it.is_resumption).map(|(key, _)| *key)
    }
}
