//! The endpoints of one model or service, and the slots that they keep for urgent requests.

use super::EndpointIndex;
use crate::{Name, sheet::TargetKind};

/// How long after its last request a tier still has slots reserved for it, in milliseconds.
const DEMAND_TTL_MS: u64 = 30_000;

/// Upper limit of the part of the reserve that depends on how often a tier waits, in percent of an
/// endpoint's slots.
const MAX_WAIT_RESERVE_PERCENT: f64 = 60.0;

/// Number of higher tiers for which the base reserve adds up.
const MAX_BASE_RESERVE_TIERS: f64 = 3.0;

/// Upper limit of the slots of an endpoint that are reserved for higher tiers, in percent.
const MAX_RESERVE_PERCENT: f64 = 75.0;

/// Increase of a tier's wait reserve for each request that had to wait for a slot, in percent.
const WAIT_RESERVE_INCREASE_PERCENT: f64 = 3.0;

/// Decrease of a tier's wait reserve for each request that did not wait, in percent.
const WAIT_RESERVE_DECREASE_PERCENT: f64 = 0.3;

/// Number of tiers whose demand is tracked separately; lower ones share the last entry.
const MAX_TIERS: usize = 16;

/// The endpoints that serve one model or service, and the demand for it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Target {
    /// Endpoints in the region of this instance.
    pub(crate) local: Vec<EndpointIndex>,
    /// Endpoints in other regions.
    pub(crate) remote: Vec<EndpointIndex>,
    /// Time of each tier's last request, by rank; 0 for none.
    pub(super) last_demand_ms: [u64; MAX_TIERS],
    /// Additional reserve by tier rank, which grows as requests of the tier have to wait for a
    /// slot; from 0 to [`MAX_WAIT_RESERVE_PERCENT`].
    pub(super) wait_reserve_percent: [f64; MAX_TIERS],
    /// Position of the next endpoint for [`RoutingPolicy::RoundRobin`].
    pub(crate) round_robin_next: usize,
    /// Tiers for which no endpoint had room; reset when one of the endpoints changes.
    pub(crate) full: KnownFull,
}

/// Cached result that a target has no room for some tiers, whatever the request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct KnownFull {
    /// Rank of the highest tier without room for [`crate::queue::DispatchRule::Strict`]; lower
    /// tiers have none either.
    pub(crate) from_rank: Option<usize>,
    /// Whether there was no room for [`crate::queue::DispatchRule::Floor`].
    pub(crate) floor: bool,
    /// Expiry, because time alone may make room, as at the end of an ejection.
    pub(crate) until_ms: u64,
}

impl Target {
    /// Records that a tier requests the target.
    pub(crate) fn record_demand(&mut self, rank: usize, now_ms: u64) {
        self.last_demand_ms[rank.min(MAX_TIERS - 1)] = now_ms;
    }

    /// Records whether a request of a tier had to wait for a slot.
    pub(crate) fn record_wait(&mut self, rank: usize, waited: bool) {
        let reserve = &mut self.wait_reserve_percent[rank.min(MAX_TIERS - 1)];
        let step =
            if waited { WAIT_RESERVE_INCREASE_PERCENT } else { -WAIT_RESERVE_DECREASE_PERCENT };
        *reserve = (*reserve + step).clamp(0.0, MAX_WAIT_RESERVE_PERCENT);
    }

    /// Part of the slots that a tier must leave to higher tiers with recent demand for the target,
    /// in percent: `base_percent` for each of them, plus a part that grows with how often they
    /// wait.
    pub(crate) fn reserve_percent(&self, rank: usize, base_percent: f64, now_ms: u64) -> f64 {
        let (mut base, mut for_waits) = (0.0, 0.0);
        for higher in 0..rank.min(MAX_TIERS) {
            let demand_ms = self.last_demand_ms[higher];
            if demand_ms > 0 && now_ms.saturating_sub(demand_ms) <= DEMAND_TTL_MS {
                base += base_percent;
                for_waits += self.wait_reserve_percent[higher];
            }
        }
        let max_base = MAX_BASE_RESERVE_TIERS * base_percent;
        (f64::min(base, max_base) + for_waits).min(MAX_RESERVE_PERCENT)
    }
}

/// Name of the target for a model or a plain service. The prefix keeps services apart from
/// models, whose names contain no colon.
pub fn target_name(kind: TargetKind, name: &Name) -> Name {
    match kind {
        TargetKind::Model => name.clone(),
        TargetKind::Service => Name::from(format!("service:{name}")),
    }
}
