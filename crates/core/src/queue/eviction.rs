//! Which entries give way to a new one in a queue that is full.

use indexmap::IndexMap;

use super::{Entry, Queue, tier::Flow};
use crate::{Name, account_shares::AccountShares};

impl Queue {
    /// Evicts entries until the new one fits: from lower tiers if those suffice, else a single
    /// entry of an account above its share in the same tier. Returns `None`, without evicting
    /// anything, if neither makes enough room.
    pub(super) fn evict_for(
        &mut self,
        entry: &Entry,
        shares: &AccountShares,
    ) -> Option<Vec<Entry>> {
        if !self.settings.tiers {
            return None;
        }
        let mut evicted = Vec::new();
        if self.lower_tiers_suffice(entry) {
            while !self.fits(entry) {
                let id = self.evictable_in_lowest_tier(entry.tier_rank, shares)?;
                evicted.extend(self.remove(id));
            }
            return Some(evicted);
        }
        if !self.settings.shares {
            return None;
        }
        let id = self.evictable_over_share(entry, shares)?;
        let freed = self.entry(id)?.bytes;
        if self.bytes - freed + entry.bytes > self.settings.max_bytes {
            return None;
        }
        evicted.extend(self.remove(id));
        Some(evicted)
    }

    /// Whether evicting entries of lower tiers can make enough room for the new entry.
    fn lower_tiers_suffice(&self, entry: &Entry) -> bool {
        let lower = self.tiers.iter().skip(entry.tier_rank + 1);
        let (count, bytes) = lower.fold((0, 0), |(count, bytes), it| {
            (count + it.evictable_count, bytes + it.evictable_bytes)
        });
        count >= 1 && self.bytes - bytes + entry.bytes <= self.settings.max_bytes
    }

    /// The newest evictable entry of the account furthest above its share, in the lowest tier that
    /// has any below `rank`.
    fn evictable_in_lowest_tier(&self, rank: usize, shares: &AccountShares) -> Option<u64> {
        let lowest =
            (rank + 1..self.tiers.len()).rev().find(|&it| self.tiers[it].evictable_count > 0)?;
        let flows = self.tiers[lowest].lanes.values().flat_map(|it| &it.flows);
        flows
            .filter_map(|(account, flow)| {
                Some((shares.usage_per_share(account), flow.newest_evictable()?))
            })
            .max_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))
            .map(|(_, (_, id))| id)
    }

    /// The newest evictable entry of the account that holds the most bytes in proportion to its
    /// share in the new entry's tier, if the new entry's account holds less even with the new
    /// entry.
    fn evictable_over_share(&self, entry: &Entry, shares: &AccountShares) -> Option<u64> {
        let tier = self.tiers.get(entry.tier_rank)?;
        let mut held: IndexMap<&Name, usize> = IndexMap::new();
        for (account, flow) in tier.lanes.values().flat_map(|it| &it.flows) {
            *held.entry(account).or_default() += flow.bytes;
        }
        let own = held.get(&entry.account).copied().unwrap_or(0) + entry.bytes;
        let by_share = |account: &Name, bytes: usize| bytes as f64 / shares.share_percent(account);
        let (account, bytes) = held
            .into_iter()
            .filter(|(account, _)| **account != entry.account)
            .max_by(|a, b| by_share(a.0, a.1).total_cmp(&by_share(b.0, b.1)))?;
        if by_share(account, bytes) <= by_share(&entry.account, own) {
            return None;
        }
        let flows = tier.lanes.values().filter_map(|it| it.flows.get(account));
        flows.filter_map(Flow::newest_evictable).max().map(|(_, id)| id)
    }
}
