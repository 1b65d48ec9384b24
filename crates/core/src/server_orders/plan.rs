//! The cheapest distribution of servers over availability zones and kinds.

use crate::Name;

/// Least number of servers in a zone, as a fraction of an even share. Callers of a zone whose servers are
/// dear would else all be sent to other regions.
const LEAST_ZONE_SHARE: f64 = 0.5;

/// What can be ordered in an availability zone.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneLimits {
    /// The zone.
    pub zone: Name,
    /// Price of an on-demand server for each second.
    pub price: f64,
    /// Price of a spot server as a fraction of that; `None` if there are none.
    pub spot_price_ratio: Option<f64>,
    /// Least number of servers of both kinds together.
    pub min: u32,
    /// Greatest number of servers of both kinds together.
    pub max: u32,
    /// Greatest number of on-demand servers that can be had now.
    pub most_on_demand: u32,
    /// Greatest number of spot servers that can be had now.
    pub most_spot: u32,
}

/// Servers of a service in an availability zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZonePlan {
    /// On-demand servers; at least one, unless none can be had.
    pub on_demand: u32,
    /// Spot servers.
    pub spot: u32,
}

impl ZonePlan {
    fn servers(self) -> u32 {
        self.on_demand + self.spot
    }
}

/// The cheapest plan of which `needed` servers remain when any one zone loses its spot servers. If none can be had,
/// the one of which the most remain. The zones of the result are those of the argument.
pub fn cheapest_plan(zones: &[ZoneLimits], needed: u32) -> Vec<ZonePlan> {
    let most_spot = zones.iter().map(|it| it.max).max().unwrap_or(0);
    let plans = (0..=most_spot).map(|spot| plan_with(zones, needed, spot));
    let rank = |plan: &Vec<ZonePlan>| {
        let missing = needed.saturating_sub(remaining_capacity(plan));
        (missing, cost_per_s(zones, plan))
    };
    let order = |a: &(u32, f64), b: &(u32, f64)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1));
    let ranked = plans.map(|it| (rank(&it), it));
    ranked.min_by(|a, b| order(&a.0, &b.0)).map(|it| it.1).unwrap_or_default()
}

/// Servers that remain when the zone with the most spot servers loses them.
pub fn remaining_capacity(plan: &[ZonePlan]) -> u32 {
    let total: u32 = plan.iter().map(|it| it.servers()).sum();
    total - plan.iter().map(|it| it.spot).max().unwrap_or(0)
}

/// Cost of a plan for each second.
pub fn cost_per_s(zones: &[ZoneLimits], plan: &[ZonePlan]) -> f64 {
    let cost = |(limits, plan): (&ZoneLimits, &ZonePlan)| {
        let spot = f64::from(plan.spot) * limits.spot_price_ratio.unwrap_or(1.0);
        limits.price * (f64::from(plan.on_demand) + spot)
    };
    zones.iter().zip(plan).map(cost).sum()
}

/// A plan with at most `most_spot` spot servers in a zone.
fn plan_with(zones: &[ZoneLimits], needed: u32, most_spot: u32) -> Vec<ZonePlan> {
    let floor = |it: &ZoneLimits| it.max.min(it.most_on_demand).min(1);
    let mut plan: Vec<ZonePlan> =
        zones.iter().map(|it| ZonePlan { on_demand: floor(it), spot: 0 }).collect();
    let spot_room = |limits: &ZoneLimits, plan: &ZonePlan| {
        let most = if limits.spot_price_ratio.is_some() { limits.most_spot } else { 0 };
        let most = most.min(most_spot).min(limits.max.saturating_sub(plan.on_demand));
        most.saturating_sub(plan.spot)
    };
    let on_demand_room = |limits: &ZoneLimits, plan: &ZonePlan| {
        let most = limits.most_on_demand.min(limits.max.saturating_sub(plan.spot));
        most.saturating_sub(plan.on_demand)
    };
    let even_share = f64::from(needed) / zones.len().max(1) as f64;
    let least = (even_share * LEAST_ZONE_SHARE).ceil() as u32;
    for (limits, plan) in zones.iter().zip(&mut plan) {
        let wanted = least.max(limits.min).saturating_sub(plan.servers());
        plan.spot += wanted.min(spot_room(limits, plan));
        let wanted = limits.min.saturating_sub(plan.servers());
        plan.on_demand += wanted.min(on_demand_room(limits, plan));
    }
    // The loss of any one zone takes `most_spot` servers at most.
    let wanted = needed.saturating_add(most_spot);
    fill(zones, &mut plan, wanted, spot_room, |it| &mut it.spot);
    fill(zones, &mut plan, wanted, on_demand_room, |it| &mut it.on_demand);
    plan
}

/// Adds servers of one kind until there are `wanted` in total, the cheapest zones first and evenly among zones
/// of the same price.
fn fill(
    zones: &[ZoneLimits],
    plan: &mut [ZonePlan],
    wanted: u32,
    room: impl Fn(&ZoneLimits, &ZonePlan) -> u32,
    count: impl Fn(&mut ZonePlan) -> &mut u32,
) {
    let total: u32 = plan.iter().map(|it| it.servers()).sum();
    let mut missing = wanted.saturating_sub(total);
    let mut order: Vec<usize> = (0..zones.len()).collect();
    order.sort_by(|a, b| zones[*a].price.total_cmp(&zones[*b].price));
    for group in order.chunk_by(|a, b| zones[*a].price == zones[*b].price) {
        let to_level = |plan: &[ZonePlan], at: usize, level: u32| {
            level.saturating_sub(plan[at].servers()).min(room(&zones[at], &plan[at]))
        };
        let level =
            least_level(missing, |level| group.iter().map(|it| to_level(plan, *it, level)).sum());
        // The last level may be reached in a part of the zones only.
        for level in [level.saturating_sub(1), level] {
            for at in group {
                let added = to_level(plan, *at, level).min(missing);
                *count(&mut plan[*at]) += added;
                missing -= added;
            }
        }
    }
}

/// The least number of servers in each zone with which `missing` are added in total, or the greatest useful
/// one.
fn least_level(missing: u32, added: impl Fn(u32) -> u32) -> u32 {
    let (mut low, mut high) = (0, u32::MAX / 2);
    let most = added(high).min(missing);
    while low < high {
        let middle = low + (high - low) / 2;
        if added(middle) >= most {
            high = middle;
        } else {
            low = middle + 1;
        }
    }
    low
}
