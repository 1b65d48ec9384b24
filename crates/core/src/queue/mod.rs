//! Request queue of one instance: strict priority between tiers, weighted fair sharing between
//! client accounts, and a minimum share of dispatches for each class (its floor) against
//! starvation.

mod entry;
mod eviction;
mod settings;
mod tier;

use std::collections::HashMap;

use indexmap::IndexMap;

use self::tier::{LaneKey, Tier};
pub use self::{entry::Entry, settings::QueueSettings};
use crate::{Name, Reason, account_shares::AccountShares};

/// Credit that one dispatch takes, in percent. A class with this credit is owed a dispatch by its
/// floor and gets it once no higher tier would miss a deadline by it.
const DISPATCH_CREDIT: i64 = 100;

/// Maximum credit or debt of a class, in percent of a dispatch.
const MAX_CREDIT: i64 = 200;

/// Result of [`Queue::push`].
#[derive(Clone, Debug, PartialEq)]
pub enum PushOutcome {
    /// The entry is queued.
    Queued,
    /// The entry is queued and these were evicted for it; they did not run and must be refused.
    QueuedWithEvictions(Vec<Entry>),
    /// The entry is not queued.
    Refused(Reason),
}

/// Rule by which an entry is dispatched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchRule {
    /// Strict priority: no entry of a higher tier that an endpoint could take is waiting.
    Strict,
    /// The floor of its class is due; slots reserved for higher tiers may be used.
    Floor,
}

/// Query whether an endpoint has room.
#[derive(Clone, Copy, Debug)]
pub enum RoomQuery<'a> {
    /// Whether there can be room for any entry of a tier and target. Only a negative answer is
    /// final; it saves the queries for single entries.
    AnyOfTier {
        /// Model or service requested.
        target: &'a Name,
        /// Rank of the tier.
        tier_rank: usize,
    },
    /// Whether there is room for this entry.
    Entry(&'a Entry),
}

/// Result of [`Queue::next`].
#[derive(Clone, Debug, PartialEq)]
pub enum NextEntry {
    /// Send this entry to an endpoint.
    Dispatch(Entry, DispatchRule),
    /// This entry can no longer meet its deadline and was removed. Unless
    /// [`Entry::is_resumption`], it did not run.
    Expired(Entry),
    /// Nothing can be done until then, unless a slot becomes free or an entry arrives.
    Wait {
        /// Time of the next change, in milliseconds; `u64::MAX` if there is none.
        until_ms: u64,
    },
}

/// Time and dispatch rate, on which the choice of an entry depends.
#[derive(Clone, Copy, Debug)]
pub struct DispatchContext {
    /// Current time, in milliseconds.
    pub now_ms: u64,
    /// Mean time from one freed slot to the next, in milliseconds.
    pub slot_interval_ms: u64,
}

/// Queued requests of one instance.
#[derive(Clone, Debug)]
pub struct Queue {
    settings: QueueSettings,
    /// By tier rank.
    tiers: Vec<Tier>,
    /// Location of each entry, by id. Holds exactly the entries of the lanes.
    locations: HashMap<u64, Location>,
    /// Total size of all entries; at most [`QueueSettings::max_bytes`].
    bytes: usize,
    classes: IndexMap<Name, ClassState>,
    /// Latest time passed to any method.
    now_ms: u64,
}

/// Where an entry is stored.
#[derive(Clone, Debug)]
struct Location {
    tier_rank: usize,
    lane: LaneKey,
    account: Name,
    /// Arrival time and id.
    key: (u64, u64),
}

/// Floor accounting of one class.
#[derive(Clone, Debug, Default)]
struct ClassState {
    /// Number of queued entries.
    waiting: usize,
    floor_percent: u32,
    /// Dispatches owed to the class, in percent of a dispatch; from -[`MAX_CREDIT`] to
    /// [`MAX_CREDIT`]. Each dispatch of the queue adds `floor_percent` while the class has entries
    /// queued; each dispatch of the class subtracts [`DISPATCH_CREDIT`].
    credit: i64,
    /// Beginning of the time without a dispatch, not counting times without queued entries.
    unserved_since_ms: u64,
    /// Time without a dispatch up to the last removal of an entry.
    unserved_ms: u64,
}

impl Queue {
    /// Creates an empty queue.
    pub fn new(settings: QueueSettings) -> Queue {
        Queue {
            settings,
            tiers: Vec::new(),
            locations: HashMap::new(),
            bytes: 0,
            classes: IndexMap::new(),
            now_ms: 0,
        }
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.locations.len()
    }

    /// Whether the queue has no entries.
    pub fn is_empty(&self) -> bool {
        self.locations.is_empty()
    }

    /// Total size of all entries, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Expected cost of the queued entries for a target that would be dispatched before a new entry
    /// of that tier rank, in output tokens.
    pub fn ahead_tokens(&self, rank: usize, target: &Name) -> u64 {
        let ahead = if self.settings.tiers { rank.saturating_add(1) } else { usize::MAX };
        let lanes = self.tiers.iter().take(ahead).flat_map(|it| &it.lanes);
        lanes.filter(|(key, _)| key.target == *target).map(|(_, lane)| lane.cost_tokens).sum()
    }

    /// Number of entries of a tier.
    pub fn tier_len(&self, rank: usize) -> usize {
        self.tiers.get(rank).map_or(0, |it| it.start_by.len())
    }

    /// Adds an entry. If the queue is full, entries of lower tiers or of accounts above their share
    /// are evicted for it.
    pub fn push(&mut self, entry: Entry, shares: &AccountShares, now_ms: u64) -> PushOutcome {
        self.now_ms = self.now_ms.max(now_ms);
        if self.locations.contains_key(&entry.id) || entry.bytes > self.settings.max_bytes {
            return PushOutcome::Refused(Reason::QueueFull);
        }
        if self.fits(&entry) {
            self.insert(entry, now_ms);
            return PushOutcome::Queued;
        }
        let Some(evicted) = self.evict_for(&entry, shares) else {
            return PushOutcome::Refused(Reason::QueueFull);
        };
        self.insert(entry, now_ms);
        PushOutcome::QueuedWithEvictions(evicted)
    }

    /// Removes an entry, as when its client has disconnected.
    pub fn remove(&mut self, id: u64) -> Option<Entry> {
        let (entry, location) = self.detach(id)?;
        self.tiers[location.tier_rank].untrack(&entry);
        self.bytes -= entry.bytes;
        if let Some(class) = self.classes.get_mut(&entry.class) {
            class.waiting -= 1;
            class.unserved_ms = self.now_ms.saturating_sub(class.unserved_since_ms);
        }
        Some(entry)
    }

    /// Removes an entry from its lane, but not from the tier's and class's totals.
    fn detach(&mut self, id: u64) -> Option<(Entry, Location)> {
        let location = self.locations.remove(&id)?;
        let tier = &mut self.tiers[location.tier_rank];
        let lane = tier.lanes.get_mut(&location.lane)?;
        let flow = lane.flows.get_mut(&location.account)?;
        let entry = flow.entries.remove(&location.key)?;
        flow.bytes -= entry.bytes;
        lane.cost_tokens -= entry.cost_tokens;
        if flow.entries.is_empty() {
            lane.flows.swap_remove(&location.account);
        }
        if lane.flows.is_empty() {
            tier.lanes.swap_remove(&location.lane);
        }
        tier.on_time.remove(&(entry.first_token_start_by_ms, id));
        Some((entry, location))
    }

    /// Adds an entry to a lane, but not to the tier's and class's totals.
    fn attach(&mut self, entry: Entry, lane: LaneKey) {
        let tier_rank = entry.tier_rank;
        let account = entry.account.clone();
        let key = (entry.arrived_ms, entry.id);
        let tier = &mut self.tiers[tier_rank];
        if !lane.is_late {
            tier.on_time.insert((entry.first_token_start_by_ms, entry.id));
        }
        let target_lane = tier.lanes.entry(lane.clone()).or_default();
        target_lane.cost_tokens += entry.cost_tokens;
        self.locations
            .insert(entry.id, Location { tier_rank, lane, account: account.clone(), key });
        let flow = target_lane.flows.entry(account).or_default();
        flow.bytes += entry.bytes;
        flow.entries.insert(key, entry);
    }

    /// Moves entries that can no longer meet their first-token target to late lanes.
    fn move_late(&mut self, now_ms: u64) {
        if !self.settings.late_last {
            return;
        }
        for rank in 0..self.tiers.len() {
            while let Some(&(until_ms, id)) = self.tiers[rank].on_time.first()
                && until_ms < now_ms
                && let Some((entry, location)) = self.detach(id)
            {
                self.attach(entry, LaneKey { is_late: true, ..location.lane });
            }
        }
    }

    /// Picks the entry to handle next, if any. `has_room` tells whether an endpoint has room now.
    pub fn next(
        &mut self,
        context: DispatchContext,
        shares: &AccountShares,
        mut has_room: impl FnMut(RoomQuery<'_>, DispatchRule) -> bool,
    ) -> NextEntry {
        self.now_ms = self.now_ms.max(context.now_ms);
        self.move_late(context.now_ms);
        if let Some(entry) = self.pop_expired(context.now_ms) {
            return NextEntry::Expired(entry);
        }
        if self.settings.floors
            && let Some(id) = self.pick_floor(context, shares, &mut has_room)
        {
            return self.dispatch(id, DispatchRule::Floor, context.now_ms);
        }
        match self.pick_strict(shares, &mut has_room) {
            Some(id) => self.dispatch(id, DispatchRule::Strict, context.now_ms),
            None => NextEntry::Wait { until_ms: self.wake_ms(context.now_ms) },
        }
    }

    fn fits(&self, entry: &Entry) -> bool {
        self.locations.len() < self.settings.max_entries
            && self.bytes + entry.bytes <= self.settings.max_bytes
    }

    fn insert(&mut self, entry: Entry, now_ms: u64) {
        let rank = entry.tier_rank;
        if self.tiers.len() <= rank {
            self.tiers.resize_with(rank + 1, Tier::default);
        }
        let class = self.classes.entry(entry.class.clone()).or_default();
        if class.waiting == 0 {
            // An idle class keeps its debt but no unused credit.
            class.credit = class.credit.min(0);
            class.unserved_since_ms = now_ms.saturating_sub(class.unserved_ms);
        }
        class.waiting += 1;
        class.floor_percent = entry.floor_percent;
        let lane =
            LaneKey { class: entry.class.clone(), target: entry.target.clone(), is_late: false };
        self.tiers[rank].track(&entry);
        self.bytes += entry.bytes;
        self.attach(entry, lane);
    }

    fn entry(&self, id: u64) -> Option<&Entry> {
        let location = self.locations.get(&id)?;
        let lane = self.tiers[location.tier_rank].lanes.get(&location.lane)?;
        lane.flows.get(&location.account)?.entries.get(&location.key)
    }

    /// Removes and returns an entry that can no longer meet its deadline.
    fn pop_expired(&mut self, now_ms: u64) -> Option<Entry> {
        let first = self.tiers.iter().filter_map(|it| it.start_by.first()).min()?;
        let (start_by_ms, id) = *first;
        if start_by_ms >= now_ms { None } else { self.remove(id) }
    }

    /// An entry of a class whose floor is due. The highest tier needs no floor.
    fn pick_floor(
        &self,
        context: DispatchContext,
        shares: &AccountShares,
        has_room: &mut impl FnMut(RoomQuery<'_>, DispatchRule) -> bool,
    ) -> Option<u64> {
        for (rank, tier) in self.tiers.iter().enumerate().skip(1) {
            for (key, lane) in &tier.lanes {
                let class = &self.classes[&key.class];
                let tier_query = RoomQuery::AnyOfTier { target: &key.target, tier_rank: rank };
                if !self.floor_is_due(class, rank, context)
                    || !has_room(tier_query, DispatchRule::Floor)
                {
                    continue;
                }
                let Some(entry) = lane.head(shares, self.settings.shares) else { continue };
                if has_room(RoomQuery::Entry(entry), DispatchRule::Floor) {
                    return Some(entry.id);
                }
            }
        }
        None
    }

    fn floor_is_due(&self, class: &ClassState, rank: usize, context: DispatchContext) -> bool {
        if context.now_ms.saturating_sub(class.unserved_since_ms) >= self.settings.floor_window_ms {
            return true;
        }
        class.credit >= DISPATCH_CREDIT && self.higher_tiers_have_slack(rank, context)
    }

    /// Whether every entry of a higher tier could still meet its deadline, in whatever order they
    /// are dispatched, if one more dispatch came before them all.
    fn higher_tiers_have_slack(&self, rank: usize, context: DispatchContext) -> bool {
        let higher = &self.tiers[..rank];
        let waiting: usize = higher.iter().map(|it| it.start_by.len()).sum();
        let Some((first_ms, _)) = higher.iter().filter_map(|it| it.start_by.first()).min() else {
            return true;
        };
        let last_start_ms = context.now_ms + (waiting as u64 + 1) * context.slot_interval_ms;
        *first_ms >= last_start_ms
    }

    /// The entry that goes first by tier, lateness, account share and arrival.
    fn pick_strict(
        &self,
        shares: &AccountShares,
        has_room: &mut impl FnMut(RoomQuery<'_>, DispatchRule) -> bool,
    ) -> Option<u64> {
        let mut best = None;
        for (tier_rank, tier) in self.tiers.iter().enumerate() {
            for is_late in [false, true] {
                best = self.pick_in_tier((tier_rank, tier), is_late, best, shares, has_room);
                if self.settings.tiers && best.is_some() {
                    return best.map(|it| it.1.1);
                }
            }
        }
        best.map(|it| it.1.1)
    }

    fn pick_in_tier(
        &self,
        (tier_rank, tier): (usize, &Tier),
        is_late: bool,
        mut best: Option<DispatchOrder>,
        shares: &AccountShares,
        has_room: &mut impl FnMut(RoomQuery<'_>, DispatchRule) -> bool,
    ) -> Option<DispatchOrder> {
        for (key, lane) in tier.lanes.iter().filter(|it| it.0.is_late == is_late) {
            if !has_room(
                RoomQuery::AnyOfTier { target: &key.target, tier_rank },
                DispatchRule::Strict,
            ) {
                continue;
            }
            let Some(entry) = lane.head(shares, self.settings.shares) else { continue };
            let rank =
                if self.settings.shares { shares.usage_per_share(&entry.account) } else { 0.0 };
            let order = (rank, (entry.arrived_ms, entry.id));
            let is_first = best.is_none_or(|it| goes_before(order, it));
            if is_first && has_room(RoomQuery::Entry(entry), DispatchRule::Strict) {
                best = Some(order);
            }
        }
        best
    }

    fn dispatch(&mut self, id: u64, rule: DispatchRule, now_ms: u64) -> NextEntry {
        let Some(entry) = self.remove(id) else {
            return NextEntry::Wait { until_ms: now_ms };
        };
        for class in self.classes.values_mut().filter(|it| it.waiting > 0) {
            class.credit = (class.credit + i64::from(class.floor_percent)).min(MAX_CREDIT);
        }
        if let Some(class) = self.classes.get_mut(&entry.class) {
            class.credit = (class.credit - DISPATCH_CREDIT).max(-MAX_CREDIT);
            class.unserved_since_ms = now_ms;
            class.unserved_ms = 0;
        }
        NextEntry::Dispatch(entry, rule)
    }

    /// Earliest time at which an entry expires or a class reaches the floor window.
    fn wake_ms(&self, now_ms: u64) -> u64 {
        let start_by = self.tiers.iter().filter_map(|it| it.start_by.first()).min();
        let expiry_ms = start_by.map_or(u64::MAX, |(it, _)| it + 1);
        let waiting = self.classes.values().filter(|it| it.waiting > 0);
        let floors = waiting.map(|it| it.unserved_since_ms + self.settings.floor_window_ms);
        let floor_ms = floors.filter(|&it| it > now_ms && self.settings.floors).min();
        expiry_ms.min(floor_ms.unwrap_or(u64::MAX))
    }
}

/// Position of an entry within a tier: its account's usage divided by the account's share, then its
/// arrival time and id. Lower goes first.
type DispatchOrder = (f64, (u64, u64));

fn goes_before(a: DispatchOrder, b: DispatchOrder) -> bool {
    a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)).is_lt()
}
