//! Turns the plan for one service into orders, in steps that callers do not notice.

use std::collections::{BTreeMap, BTreeSet};

use super::{
    capacity::PlannedCapacity,
    fleet::{Fleet, PoolKey},
    plan::{ZoneLimits, ZonePlan, cheapest_plan},
    pool::Pool,
};
use crate::{Name, duties::CallError, routing::ScaleLimits};

/// How much later than its boot time a server may be listed, in milliseconds.
const LISTED_AFTER_MS: u64 = 3_000;
/// How long other zones rely on their headroom after a zone lost its spot servers, in milliseconds. Such servers
/// can usually be had again sooner, and replacements elsewhere would begin with empty caches.
const RECLAIM_GRACE_MS: u64 = 16_000;
/// How long a zone's spot servers have to be too many before fewer are ordered, in milliseconds.
const SURPLUS_FOR_MS: u64 = 10_000;
/// Greatest fraction of a zone's servers that drain at once.
const RELEASE_FRACTION: f64 = 0.1;

/// What the planner sees of a service.
#[derive(Clone, Copy, Debug)]
pub struct PlannerInput<'a> {
    /// Limits and prices.
    pub limits: &'a ScaleLimits,
    /// The servers that are listed.
    pub fleet: &'a Fleet,
    /// Servers that the demand needs; `None` before any demand.
    pub needed: Option<u32>,
    /// The usual demand is known, so that a low need is one with a burst.
    pub is_usual_known: bool,
}

/// A number of servers to order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedOrder {
    /// The zone and kind.
    pub pool: PoolKey,
    /// Number of servers, those that are there or boot included.
    pub desired: u32,
    /// Number that was ordered or there before.
    pub before: u32,
}

/// Plans the servers of one service, from the beginning of a term as holder of the duty on.
#[derive(Clone, Debug)]
pub struct ServerPlanner {
    began_ms: u64,
    capacity: PlannedCapacity,
    /// Time from an order until its servers are listed, by the newest limits.
    settle_ms: u64,
    pools: BTreeMap<PoolKey, Pool>,
    /// The newest plan, with what can be had now.
    planned: Option<Planned>,
    /// The newest plan as if all could be had.
    unrestricted: Option<Planned>,
}

impl ServerPlanner {
    /// Begins a term. What the list has is taken as the planned capacity.
    pub fn new(now_ms: u64) -> ServerPlanner {
        ServerPlanner {
            began_ms: now_ms,
            capacity: PlannedCapacity::new(0),
            settle_ms: 0,
            pools: BTreeMap::new(),
            planned: None,
            unrestricted: None,
        }
    }

    /// Number of servers that have to remain when any one zone loses its spot servers.
    pub fn planned_capacity(&self) -> u32 {
        self.capacity.servers()
    }

    /// Zones and plan, after the first step that planned.
    pub fn plan(&self) -> impl Iterator<Item = (&ZoneLimits, ZonePlan)> {
        self.planned.iter().flat_map(|it| it.zones.iter().zip(it.plan.iter().copied()))
    }

    /// Orders to send now. Each is repeated by the next step until its result is recorded.
    pub fn step(&mut self, input: &PlannerInput<'_>, now_ms: u64) -> Vec<PlannedOrder> {
        self.settle_ms = settle_ms(input.limits);
        self.observe(input, now_ms);
        // Servers that an earlier holder ordered may be booting. Before any demand there are no requests that
        // a wrong order would harm.
        let waits = now_ms < self.began_ms.saturating_add(input.limits.boot_ms);
        if waits && input.needed.is_some() {
            return Vec::new();
        }
        if let Some(needed) = input.needed {
            self.capacity.update(needed, input.is_usual_known, now_ms);
        }
        if self.capacity.servers() == 0 {
            return Vec::new();
        }
        self.update_plan(input, now_ms);
        let mut orders = self.raises(input, now_ms);
        orders.extend(self.releases(input, now_ms));
        orders
    }

    /// Records that an order was accepted, or why it was not.
    pub fn record_result(
        &mut self,
        order: &PlannedOrder,
        result: Result<(), CallError>,
        now_ms: u64,
    ) {
        let Some(pool) = self.pools.get_mut(&order.pool) else { return };
        match result {
            Ok(()) => pool.record_accepted(order.desired, self.settle_ms, now_ms),
            Err(_) => pool.backoff.record_failure(now_ms),
        }
    }

    fn observe(&mut self, input: &PlannerInput<'_>, now_ms: u64) {
        let known: BTreeSet<Name> = self.pools.keys().map(|it| it.zone.clone()).collect();
        let zones = input.limits.zone_prices.keys().chain(input.fleet.zones.keys());
        for zone in zones.cloned().chain(known).collect::<BTreeSet<Name>>() {
            for is_spot in [false, true] {
                let key = PoolKey { zone: zone.clone(), is_spot };
                let count = input.fleet.pool(&key);
                self.pools.entry(key).or_default().observe(count, is_spot, now_ms);
            }
        }
        let is_beginning = now_ms <= self.began_ms.saturating_add(input.limits.boot_ms);
        if is_beginning && self.planned.is_none() {
            self.capacity.raise_to(input.fleet.planned_capacity());
        }
        if input.needed.is_none() {
            // Servers may still register after the start of the deployment.
            self.capacity.raise_to(input.fleet.serving_on_demand());
        }
    }

    fn update_plan(&mut self, input: &PlannerInput<'_>, now_ms: u64) {
        let needed = self.capacity.servers();
        let zones = self.zone_limits(input, needed, now_ms);
        let all_can_be_had = zones.iter().map(|it| {
            let max = it.max;
            ZoneLimits { most_on_demand: max, most_spot: max, ..it.clone() }
        });
        let unrestricted = all_can_be_had.collect();
        self.unrestricted = Some(Planned::update(self.unrestricted.take(), unrestricted, needed));
        self.planned = Some(Planned::update(self.planned.take(), zones, needed));
    }

    fn zone_limits(&self, input: &PlannerInput<'_>, needed: u32, now_ms: u64) -> Vec<ZoneLimits> {
        let limits = input.limits;
        let prices = &limits.zone_prices;
        let is_price = |it: &f64| it.is_finite() && *it >= 0.0;
        let highest = prices.values().copied().filter(is_price).fold(0.0, f64::max);
        let unknown_price = if highest > 0.0 { highest } else { 1.0 };
        let headroom_is_gone = self.expected_total(limits, now_ms) < needed;
        let most = |zone: &Name, is_spot: bool| {
            let pool = self.pools.get(&PoolKey { zone: zone.clone(), is_spot });
            pool.map_or(limits.max, |it| most_to_plan(it, limits, headroom_is_gone, now_ms))
        };
        let zones = self.pools.keys().filter(|it| it.is_spot).map(|it| &it.zone);
        let zone_limits = zones.map(|zone| ZoneLimits {
            zone: zone.clone(),
            price: prices.get(zone).copied().filter(is_price).unwrap_or(unknown_price),
            spot_price_ratio: limits.spot_price_ratio.filter(is_price),
            min: limits.min.min(limits.max),
            max: limits.max,
            most_on_demand: most(zone, false),
            most_spot: most(zone, true),
        });
        zone_limits.collect()
    }

    /// Servers that serve or are expected to soon.
    fn expected_total(&self, limits: &ScaleLimits, now_ms: u64) -> u32 {
        self.pools.values().map(|it| it.expected(settle_ms(limits), now_ms)).sum()
    }

    /// Orders for more servers, and again for what was ordered and is not there.
    fn raises(&self, input: &PlannerInput<'_>, now_ms: u64) -> Vec<PlannedOrder> {
        let mut orders = Vec::new();
        for (key, target) in self.targets() {
            let pool = &self.pools[&key];
            // What cannot be had is planned elsewhere, and still asked for here.
            let target = target.max(self.unrestricted_target(&key));
            let other = PoolKey { is_spot: !key.is_spot, ..key.clone() };
            let room = input.limits.max.saturating_sub(self.pools[&other].desired);
            let desired = target.min(room);
            let is_lost = pool.reclaimed_ms.is_some() && desired > pool.count.serving;
            let is_unmet = desired == pool.desired && pool.is_off(settle_ms(input.limits), now_ms);
            let is_wanted = desired > pool.desired || is_lost || is_unmet;
            if is_wanted && pool.backoff.allows(now_ms) {
                orders.push(PlannedOrder { pool: key, desired, before: pool.desired });
            }
        }
        orders
    }

    /// Orders for fewer servers, as far as those that replace them serve.
    fn releases(&mut self, input: &PlannerInput<'_>, now_ms: u64) -> Vec<PlannedOrder> {
        let pending: u32 = self.pools.values().map(Pool::pending_release).sum();
        let spare = input.fleet.remaining().saturating_sub(self.capacity.servers());
        let mut spare = spare.saturating_sub(pending);
        let mut targets = self.targets();
        targets.retain(|(key, target)| self.is_surplus(key, *target, now_ms));
        // On-demand servers first, the dearest zones first.
        let price = |key: &PoolKey| input.limits.zone_prices.get(&key.zone).copied().unwrap_or(0.0);
        targets.sort_by(|(a, _), (b, _)| {
            a.is_spot.cmp(&b.is_spot).then(price(b).total_cmp(&price(a)))
        });
        let mut released_by_zone: BTreeMap<Name, u32> = BTreeMap::new();
        let mut orders = Vec::new();
        for (key, target) in targets {
            let released = released_by_zone.entry(key.zone.clone()).or_default();
            let allowed = self.release_allowance(input, &key.zone).saturating_sub(*released);
            let before = self.pools[&key].desired;
            let number = (before - target).min(allowed).min(spare);
            if number == 0 {
                continue;
            }
            *released += number;
            spare -= number;
            orders.push(PlannedOrder { desired: before - number, before, pool: key });
        }
        orders
    }

    /// Whether a zone and kind has more servers than planned, for spot servers for a while. On-demand servers
    /// cost several times as much and are only replaced.
    fn is_surplus(&mut self, key: &PoolKey, target: u32, now_ms: u64) -> bool {
        let Some(pool) = self.pools.get_mut(key) else { return false };
        if pool.desired <= target || pool.reclaimed_ms.is_some() {
            pool.surplus_since_ms = None;
            return false;
        }
        let since_ms = *pool.surplus_since_ms.get_or_insert(now_ms);
        let is_lasting = now_ms.saturating_sub(since_ms) >= SURPLUS_FOR_MS;
        pool.backoff.allows(now_ms) && (is_lasting || !key.is_spot)
    }

    /// Number of servers of a zone that may be released now.
    fn release_allowance(&self, input: &PlannerInput<'_>, zone: &Name) -> u32 {
        let fleet = input.fleet.zones.get(zone).copied().unwrap_or_default();
        let at_once = (f64::from(fleet.serving()) * RELEASE_FRACTION) as u32;
        // Without demand, servers that drain have nothing to finish.
        if input.needed.is_none() {
            return at_once.max(1);
        }
        let pools = self.pools.iter().filter(|it| it.0.zone == *zone);
        let pending: u32 = pools.map(|it| it.1.pending_release()).sum();
        at_once.max(1).saturating_sub(fleet.draining() + pending)
    }

    /// Number of servers that a zone and kind would have if all could be had.
    fn unrestricted_target(&self, key: &PoolKey) -> u32 {
        let Some(planned) = &self.unrestricted else { return 0 };
        let at = planned.zones.iter().position(|it| it.zone == key.zone);
        let plan = at.map(|it| planned.plan[it]).unwrap_or_default();
        if key.is_spot { plan.spot } else { plan.on_demand }
    }

    /// Planned number of servers by zone and kind.
    fn targets(&self) -> Vec<(PoolKey, u32)> {
        let by_kind = |(limits, plan): (&ZoneLimits, ZonePlan)| {
            let key = |is_spot| PoolKey { zone: limits.zone.clone(), is_spot };
            [(key(true), plan.spot), (key(false), plan.on_demand)]
        };
        self.plan().flat_map(by_kind).collect()
    }
}

/// A plan and what it was made from.
#[derive(Clone, Debug)]
struct Planned {
    zones: Vec<ZoneLimits>,
    needed: u32,
    /// One for each of `zones`.
    plan: Vec<ZonePlan>,
}

impl Planned {
    /// Plans again unless nothing changed.
    fn update(known: Option<Planned>, zones: Vec<ZoneLimits>, needed: u32) -> Planned {
        if let Some(known) = known.filter(|it| it.needed == needed && it.zones == zones) {
            return known;
        }
        let plan = cheapest_plan(&zones, needed);
        Planned { zones, needed, plan }
    }
}

/// Time from an order until its servers are listed, in milliseconds.
fn settle_ms(limits: &ScaleLimits) -> u64 {
    limits.boot_ms.saturating_add(LISTED_AFTER_MS)
}

/// The greatest number of servers of a zone and kind to plan with: what is expected there, if more cannot be
/// had.
fn most_to_plan(pool: &Pool, limits: &ScaleLimits, headroom_is_gone: bool, now_ms: u64) -> u32 {
    let in_grace = |at_ms: u64| now_ms.saturating_sub(at_ms) < RECLAIM_GRACE_MS;
    let is_out = match pool.reclaimed_ms {
        Some(at_ms) => headroom_is_gone || !in_grace(at_ms),
        // Servers that did not come after a repeated order either.
        None => pool.backoff.is_failing() || pool.is_off(2 * settle_ms(limits), now_ms),
    };
    if is_out { pool.expected(settle_ms(limits), now_ms) } else { limits.max }
}
