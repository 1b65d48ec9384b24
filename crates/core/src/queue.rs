//! The queue of one instance: strict tiers, fair accounts, starvation floors.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use indexmap::IndexMap;

use crate::{Name, Reason, account_shares::AccountShares};

/// Credit at which a class's floor is due: one dispatch, in percent.
const CREDIT_DUE: i64 = 100;

/// Most credit a class saves up, in percent of a dispatch.
const CREDIT_LIMIT: i64 = 200;

/// Bounds of a queue and the mechanisms that are switched on.
#[derive(Clone, Debug)]
pub struct QueueSettings {
    /// Most entries that wait.
    pub max_entries: usize,
    /// Most bytes of bodies that wait.
    pub max_bytes: usize,
    /// A class that waits this long without a dispatch gets one out of turn.
    pub floor_window_ms: u64,
    /// Higher tiers first; otherwise by arrival.
    pub tiers: bool,
    /// Accounts below their share first; otherwise by arrival.
    pub shares: bool,
    /// Starvation floors.
    pub floors: bool,
    /// Within a tier, those that can still meet their first target before those that cannot.
    pub late_last: bool,
}

impl Default for QueueSettings {
    fn default() -> QueueSettings {
        QueueSettings {
            max_entries: 20_000,
            max_bytes: 16 << 20,
            floor_window_ms: 10_000,
            tiers: true,
            shares: true,
            floors: true,
            late_last: true,
        }
    }
}

impl QueueSettings {
    /// First in, first out, over all tiers and accounts: the baseline.
    pub fn fifo() -> QueueSettings {
        QueueSettings {
            tiers: false,
            shares: false,
            floors: false,
            late_last: false,
            ..QueueSettings::default()
        }
    }
}

/// A request that waits for a dispatch.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Unique in the queue.
    pub id: u64,
    /// Its class.
    pub class: Name,
    /// Rank of the class's tier; 0 is the most urgent.
    pub tier_rank: usize,
    /// Share of dispatches the class gets under any load, in percent.
    pub floor_percent: u32,
    /// Who asked.
    pub account: Name,
    /// The model or service asked for.
    pub target: Name,
    /// Bytes it holds in memory.
    pub bytes: usize,
    /// When it arrived.
    pub arrived_ms: u64,
    /// The last moment at which a dispatch can still meet the deadline.
    pub start_by_ms: u64,
    /// The last moment at which a dispatch can still meet the target for the first token.
    pub first_token_start_by_ms: u64,
    /// Tokens it is expected to use, prompt and output.
    pub cost_tokens: u64,
    /// It has run in part and waits to be resumed; it is never pushed out.
    pub is_resumption: bool,
}

/// What became of an entry that was offered to the queue.
#[derive(Clone, Debug, PartialEq)]
pub enum PushOutcome {
    /// It waits.
    Queued,
    /// It waits in place of these, which did not run and are to be told so.
    QueuedWithEvictions(Vec<Entry>),
    /// It does not wait; it did not run.
    Refused(Reason),
}

/// By which right an entry is dispatched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchRule {
    /// Nothing of a higher tier that could run is waiting.
    Strict,
    /// The floor of its class is due; limits kept for higher tiers do not hold it back.
    Floor,
}

/// What endpoints are asked to take.
#[derive(Clone, Copy, Debug)]
pub enum RoomQuery<'a> {
    /// Any entry of a tier for a target; only a no counts, so that entries need not be asked.
    AnyOfTier {
        /// The target.
        target: &'a Name,
        /// Rank of the tier.
        tier_rank: usize,
    },
    /// This entry.
    Entry(&'a Entry),
}

/// What to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum NextEntry {
    /// Send this one.
    Dispatch(Entry, DispatchRule),
    /// It can no longer meet its deadline and left the queue; unless [`Entry::is_resumption`] it did
    /// not run.
    Expired(Entry),
    /// Nothing until then, unless a slot frees or an entry arrives.
    Wait {
        /// When to ask again; `u64::MAX` for never.
        until_ms: u64,
    },
}

/// What the queue needs to know of the world to pick an entry.
#[derive(Clone, Copy, Debug)]
pub struct DispatchContext {
    /// The time.
    pub now_ms: u64,
    /// Mean time from one freed slot to the next.
    pub slot_interval_ms: u64,
}

/// Requests waiting at one instance.
#[derive(Clone, Debug)]
pub struct Queue {
    settings: QueueSettings,
    /// By rank; each holds only lanes of its rank.
    tiers: Vec<Tier>,
    /// Where each entry waits. As many as the lanes hold together.
    places: HashMap<u64, Place>,
    /// Sum over all entries; at most [`QueueSettings::max_bytes`].
    bytes: usize,
    classes: IndexMap<Name, ClassState>,
    /// The latest time it was told.
    now_ms: u64,
}

#[derive(Clone, Debug, Default)]
struct Tier {
    lanes: IndexMap<LaneKey, Lane>,
    /// Entries of lanes that are not late by [`Entry::first_token_start_by_ms`].
    on_time: BTreeSet<(u64, u64)>,
    /// Every entry of the tier by [`Entry::start_by_ms`].
    start_by: BTreeSet<(u64, u64)>,
    /// Bytes of entries that may be pushed out.
    removable_bytes: usize,
    /// Entries that may be pushed out.
    removable: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct LaneKey {
    class: Name,
    target: Name,
    /// Its entries can no longer meet their target for the first token.
    is_late: bool,
}

/// Entries of one class for one target, by account. No flow is empty.
#[derive(Clone, Debug, Default)]
struct Lane {
    flows: IndexMap<Name, Flow>,
    /// Sum over the lane's entries.
    cost_tokens: u64,
}

/// Entries of one account, by arrival.
#[derive(Clone, Debug, Default)]
struct Flow {
    entries: BTreeMap<(u64, u64), Entry>,
    bytes: usize,
}

#[derive(Clone, Debug)]
struct Place {
    rank: usize,
    lane: LaneKey,
    account: Name,
    key: (u64, u64),
}

#[derive(Clone, Debug, Default)]
struct ClassState {
    waiting: usize,
    floor_percent: u32,
    /// Of one dispatch, in percent; at most [`CREDIT_LIMIT`].
    credit: i64,
    /// When its demand began to go without a dispatch, less the time in which nothing waited.
    since_ms: u64,
    /// How long its demand had gone without a dispatch when nothing of it waited any more.
    unserved_ms: u64,
}

impl Queue {
    /// An empty queue.
    pub fn new(settings: QueueSettings) -> Queue {
        Queue {
            settings,
            tiers: Vec::new(),
            places: HashMap::new(),
            bytes: 0,
            classes: IndexMap::new(),
            now_ms: 0,
        }
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Bytes of all entries.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Expected tokens of the entries for a target that go before a new one of this rank.
    pub fn ahead_tokens(&self, rank: usize, target: &Name) -> u64 {
        let ahead = if self.settings.tiers { rank.saturating_add(1) } else { usize::MAX };
        let lanes = self.tiers.iter().take(ahead).flat_map(|it| &it.lanes);
        lanes.filter(|(key, _)| key.target == *target).map(|(_, lane)| lane.cost_tokens).sum()
    }

    /// Number of entries of this rank.
    pub fn tier_len(&self, rank: usize) -> usize {
        self.tiers.get(rank).map_or(0, |it| it.start_by.len())
    }

    /// Offers an entry.
    pub fn push(&mut self, entry: Entry, shares: &AccountShares, now_ms: u64) -> PushOutcome {
        self.now_ms = self.now_ms.max(now_ms);
        if self.places.contains_key(&entry.id) || entry.bytes > self.settings.max_bytes {
            return PushOutcome::Refused(Reason::QueueFull);
        }
        if self.fits(&entry) {
            self.insert(entry, now_ms);
            return PushOutcome::Queued;
        }
        let Some(out) = self.make_room(&entry, shares) else {
            return PushOutcome::Refused(Reason::QueueFull);
        };
        self.insert(entry, now_ms);
        PushOutcome::QueuedWithEvictions(out)
    }

    /// Takes an entry out, as when its caller has left.
    pub fn remove(&mut self, id: u64) -> Option<Entry> {
        let (entry, place) = self.take(id)?;
        self.tiers[place.rank].discount(&entry);
        self.bytes -= entry.bytes;
        if let Some(class) = self.classes.get_mut(&entry.class) {
            class.waiting -= 1;
            class.unserved_ms = self.now_ms.saturating_sub(class.since_ms);
        }
        Some(entry)
    }

    /// Takes an entry out of its lane.
    fn take(&mut self, id: u64) -> Option<(Entry, Place)> {
        let place = self.places.remove(&id)?;
        let tier = &mut self.tiers[place.rank];
        let lane = tier.lanes.get_mut(&place.lane)?;
        let flow = lane.flows.get_mut(&place.account)?;
        let entry = flow.entries.remove(&place.key)?;
        flow.bytes -= entry.bytes;
        lane.cost_tokens -= entry.cost_tokens;
        if flow.entries.is_empty() {
            lane.flows.swap_remove(&place.account);
        }
        if lane.flows.is_empty() {
            tier.lanes.swap_remove(&place.lane);
        }
        tier.on_time.remove(&(entry.first_token_start_by_ms, id));
        Some((entry, place))
    }

    /// Puts an entry into a lane.
    fn put(&mut self, entry: Entry, lane: LaneKey) {
        let rank = entry.tier_rank;
        let account = entry.account.clone();
        let key = (entry.arrived_ms, entry.id);
        let tier = &mut self.tiers[rank];
        if !lane.is_late {
            tier.on_time.insert((entry.first_token_start_by_ms, entry.id));
        }
        let place = tier.lanes.entry(lane.clone()).or_default();
        place.cost_tokens += entry.cost_tokens;
        self.places.insert(entry.id, Place { rank, lane, account: account.clone(), key });
        let flow = place.flows.entry(account).or_default();
        flow.bytes += entry.bytes;
        flow.entries.insert(key, entry);
    }

    /// Moves entries whose target for the first token has passed behind the others.
    fn set_late(&mut self, now_ms: u64) {
        if !self.settings.late_last {
            return;
        }
        for rank in 0..self.tiers.len() {
            while let Some(&(until_ms, id)) = self.tiers[rank].on_time.first()
                && until_ms < now_ms
                && let Some((entry, place)) = self.take(id)
            {
                self.put(entry, LaneKey { is_late: true, ..place.lane });
            }
        }
    }

    /// Picks what to do next. `has_room` tells whether an endpoint would take the offer now.
    pub fn next(
        &mut self,
        supply: DispatchContext,
        shares: &AccountShares,
        mut has_room: impl FnMut(RoomQuery<'_>, DispatchRule) -> bool,
    ) -> NextEntry {
        self.now_ms = self.now_ms.max(supply.now_ms);
        self.set_late(supply.now_ms);
        if let Some(entry) = self.expired(supply.now_ms) {
            return NextEntry::Expired(entry);
        }
        if self.settings.floors
            && let Some(id) = self.pick_floor(supply, shares, &mut has_room)
        {
            return self.dispatch(id, DispatchRule::Floor, supply.now_ms);
        }
        match self.pick_strict(shares, &mut has_room) {
            Some(id) => self.dispatch(id, DispatchRule::Strict, supply.now_ms),
            None => NextEntry::Wait { until_ms: self.wake_ms(supply.now_ms) },
        }
    }

    fn fits(&self, entry: &Entry) -> bool {
        self.places.len() < self.settings.max_entries
            && self.bytes + entry.bytes <= self.settings.max_bytes
    }

    fn insert(&mut self, entry: Entry, now_ms: u64) {
        let rank = entry.tier_rank;
        if self.tiers.len() <= rank {
            self.tiers.resize_with(rank + 1, Tier::default);
        }
        let class = self.classes.entry(entry.class.clone()).or_default();
        if class.waiting == 0 {
            class.credit = class.credit.min(0);
            class.since_ms = now_ms.saturating_sub(class.unserved_ms);
        }
        class.waiting += 1;
        class.floor_percent = entry.floor_percent;
        let lane =
            LaneKey { class: entry.class.clone(), target: entry.target.clone(), is_late: false };
        self.tiers[rank].count(&entry);
        self.bytes += entry.bytes;
        self.put(entry, lane);
    }

    /// Pushes out lower tiers' entries, then what accounts hold above their share in the
    /// newcomer's own tier; nothing at all if that would not be enough.
    fn make_room(&mut self, entry: &Entry, shares: &AccountShares) -> Option<Vec<Entry>> {
        if !self.settings.tiers {
            return None;
        }
        let mut out = Vec::new();
        if self.lower_tiers_suffice(entry) {
            while !self.fits(entry) {
                let id = self.lowest_removable(entry.tier_rank, shares)?;
                out.extend(self.remove(id));
            }
            return Some(out);
        }
        if !self.settings.shares {
            return None;
        }
        let id = self.over_share(entry, shares)?;
        let freed = self.entry(id)?.bytes;
        if self.bytes - freed + entry.bytes > self.settings.max_bytes {
            return None;
        }
        out.extend(self.remove(id));
        Some(out)
    }

    fn lower_tiers_suffice(&self, entry: &Entry) -> bool {
        let lower = self.tiers.iter().skip(entry.tier_rank + 1);
        let (count, bytes) = lower
            .fold((0, 0), |(count, bytes), it| (count + it.removable, bytes + it.removable_bytes));
        count >= 1 && self.bytes - bytes + entry.bytes <= self.settings.max_bytes
    }

    /// The newest entry of the account furthest above its share in the lowest tier.
    fn lowest_removable(&self, above: usize, shares: &AccountShares) -> Option<u64> {
        let lowest =
            (above + 1..self.tiers.len()).rev().find(|&it| self.tiers[it].removable > 0)?;
        let flows = self.tiers[lowest].lanes.values().flat_map(|it| &it.flows);
        flows
            .filter_map(|(account, flow)| {
                Some((shares.usage_per_share(account), flow.newest_removable()?))
            })
            .max_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)))
            .map(|(_, (_, id))| id)
    }

    /// The newest entry of the account that holds the most of the newcomer's tier by its share,
    /// if the newcomer's account holds less even with the newcomer.
    fn over_share(&self, entry: &Entry, shares: &AccountShares) -> Option<u64> {
        let tier = self.tiers.get(entry.tier_rank)?;
        let mut held: IndexMap<&Name, usize> = IndexMap::new();
        for (account, flow) in tier.lanes.values().flat_map(|it| &it.flows) {
            *held.entry(account).or_default() += flow.bytes;
        }
        let own = held.get(&entry.account).copied().unwrap_or(0) + entry.bytes;
        let weight = |account: &Name, bytes: usize| bytes as f64 / shares.share_percent(account);
        let (account, bytes) = held
            .into_iter()
            .filter(|(account, _)| **account != entry.account)
            .max_by(|a, b| weight(a.0, a.1).total_cmp(&weight(b.0, b.1)))?;
        if weight(account, bytes) <= weight(&entry.account, own) {
            return None;
        }
        let flows = tier.lanes.values().filter_map(|it| it.flows.get(account));
        flows.filter_map(Flow::newest_removable).max().map(|(_, id)| id)
    }

    fn entry(&self, id: u64) -> Option<&Entry> {
        let place = self.places.get(&id)?;
        let lane = self.tiers[place.rank].lanes.get(&place.lane)?;
        lane.flows.get(&place.account)?.entries.get(&place.key)
    }

    fn expired(&mut self, now_ms: u64) -> Option<Entry> {
        let first = self.tiers.iter().filter_map(|it| it.start_by.first()).min()?;
        let (start_by_ms, id) = *first;
        if start_by_ms >= now_ms { None } else { self.remove(id) }
    }

    fn pick_floor(
        &self,
        supply: DispatchContext,
        shares: &AccountShares,
        has_room: &mut impl FnMut(RoomQuery<'_>, DispatchRule) -> bool,
    ) -> Option<u64> {
        for (rank, tier) in self.tiers.iter().enumerate().skip(1) {
            for (key, lane) in &tier.lanes {
                let class = &self.classes[&key.class];
                let lane_offer = RoomQuery::AnyOfTier { target: &key.target, tier_rank: rank };
                if !self.floor_is_due(class, rank, supply)
                    || !has_room(lane_offer, DispatchRule::Floor)
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

    fn floor_is_due(&self, class: &ClassState, rank: usize, supply: DispatchContext) -> bool {
        if supply.now_ms.saturating_sub(class.since_ms) >= self.settings.floor_window_ms {
            return true;
        }
        class.credit >= CREDIT_DUE && self.higher_have_slack(rank, supply)
    }

    /// Whether every entry above the rank could still start in time, in whatever order, if one
    /// slot more were taken before them all.
    fn higher_have_slack(&self, rank: usize, supply: DispatchContext) -> bool {
        let higher = &self.tiers[..rank];
        let waiting: usize = higher.iter().map(|it| it.start_by.len()).sum();
        let Some((first_ms, _)) = higher.iter().filter_map(|it| it.start_by.first()).min() else {
            return true;
        };
        let last_start_ms = supply.now_ms + (waiting as u64 + 1) * supply.slot_interval_ms;
        *first_ms >= last_start_ms
    }

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
        mut best: Option<Order>,
        shares: &AccountShares,
        has_room: &mut impl FnMut(RoomQuery<'_>, DispatchRule) -> bool,
    ) -> Option<Order> {
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
            let goes_first = best.is_none_or(|it| goes_before(order, it));
            if goes_first && has_room(RoomQuery::Entry(entry), DispatchRule::Strict) {
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
            class.credit = (class.credit + i64::from(class.floor_percent)).min(CREDIT_LIMIT);
        }
        if let Some(class) = self.classes.get_mut(&entry.class) {
            class.credit = (class.credit - CREDIT_DUE).max(-CREDIT_LIMIT);
            class.since_ms = now_ms;
            class.unserved_ms = 0;
        }
        NextEntry::Dispatch(entry, rule)
    }

    fn wake_ms(&self, now_ms: u64) -> u64 {
        let start_by = self.tiers.iter().filter_map(|it| it.start_by.first()).min();
        let expiry_ms = start_by.map_or(u64::MAX, |(it, _)| it + 1);
        let waiting = self.classes.values().filter(|it| it.waiting > 0);
        let floors = waiting.map(|it| it.since_ms + self.settings.floor_window_ms);
        let floor_ms = floors.filter(|&it| it > now_ms && self.settings.floors).min();
        expiry_ms.min(floor_ms.unwrap_or(u64::MAX))
    }
}

impl Tier {
    fn count(&mut self, entry: &Entry) {
        self.start_by.insert((entry.start_by_ms, entry.id));
        if !entry.is_resumption {
            self.removable += 1;
            self.removable_bytes += entry.bytes;
        }
    }

    fn discount(&mut self, entry: &Entry) {
        self.start_by.remove(&(entry.start_by_ms, entry.id));
        if !entry.is_resumption {
            self.removable -= 1;
            self.removable_bytes -= entry.bytes;
        }
    }
}

impl Lane {
    /// The first entry of the account furthest below its share, or else the oldest entry.
    fn head(&self, shares: &AccountShares, by_share: bool) -> Option<&Entry> {
        let rank = |account: &Name| if by_share { shares.usage_per_share(account) } else { 0.0 };
        let heads = self.flows.iter().filter_map(|(account, flow)| {
            let (key, entry) = flow.entries.first_key_value()?;
            Some(((rank(account), *key), entry))
        });
        heads.min_by(|a, b| a.0.0.total_cmp(&b.0.0).then(a.0.1.cmp(&b.0.1))).map(|(_, entry)| entry)
    }
}

impl Flow {
    fn newest_removable(&self) -> Option<(u64, u64)> {
        self.entries.iter().rev().find(|(_, it)| !it.is_resumption).map(|(key, _)| *key)
    }
}

/// The account's use by its share, and the entry's arrival and id.
type Order = (f64, (u64, u64));

fn goes_before(a: Order, b: Order) -> bool {
    a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)).is_lt()
}
