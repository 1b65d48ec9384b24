//! The endpoints known to an instance, with their load, performance and availability.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::{
    Name,
    admission::Capacity,
    endpoint_performance::{EjectionState, EndpointPerformance},
    load_estimate::LoadEstimate,
    sheet::{Sheet, TargetKind},
};

/// Time between tokens assumed for an endpoint that was not observed yet, in milliseconds.
const DEFAULT_TOKEN_MS: f64 = 20.0;

/// Time to the first token assumed for an endpoint that was not observed yet, in milliseconds.
const DEFAULT_FIRST_TOKEN_MS: f64 = 150.0;

/// How long after its last request a tier still has slots reserved for it, in milliseconds.
const DEMAND_TTL_MS: u64 = 30_000;

/// Approximate number of a target's endpoints from which its capacity is extrapolated.
const CAPACITY_SAMPLE: usize = 32;

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

/// How an endpoint is chosen for a request.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString, Serialize, Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum RoutingPolicy {
    /// The next endpoint in turn, whatever its load.
    RoundRobin,
    /// The endpoint with the lowest load in its last report.
    LeastLoad,
    /// The endpoint with the lowest estimated cost by load, performance, cached prefixes and
    /// transfer prices.
    #[default]
    Full,
}

/// Settings of an [`EndpointPool`].
#[derive(Clone, Debug)]
pub struct EndpointPoolSettings {
    /// How an endpoint is chosen for a request.
    pub routing: RoutingPolicy,
    /// Part of an endpoint's slots reserved for each higher tier that has recent demand, in
    /// percent.
    pub reserve_percent: u32,
    /// Requests that the highest tier with demand may send beyond an endpoint's slots, in percent
    /// of the slots.
    pub overcommit_percent: u32,
    /// Part of its first-token target for which a request waits for a slot in the local region
    /// before it is sent to a region with a transfer price, in percent.
    pub remote_wait_percent: u64,
    /// An endpoint is ejected if its time between tokens exceeds this multiple of the median.
    pub outlier_factor: f64,
    /// Latency that counts as much as one unit of currency, in milliseconds.
    pub price_weight_ms: f64,
}

impl Default for EndpointPoolSettings {
    fn default() -> EndpointPoolSettings {
        EndpointPoolSettings {
            routing: RoutingPolicy::Full,
            reserve_percent: 40,
            overcommit_percent: 25,
            remote_wait_percent: 50,
            outlier_factor: 3.0,
            price_weight_ms: 100_000.0,
        }
    }
}

/// Index of an endpoint in an [`EndpointPool`]; stable while the endpoint is in the sheet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointIndex(pub usize);

/// All endpoints known to one instance.
#[derive(Clone, Debug)]
pub struct EndpointPool {
    pub(crate) settings: EndpointPoolSettings,
    pub(crate) endpoints: Vec<Endpoint>,
    names: IndexMap<Name, EndpointIndex>,
    pub(crate) targets: IndexMap<Name, Target>,
    /// Region of this instance.
    region: Name,
}

/// State of one endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Name in the sheet.
    pub name: Name,
    /// Whether it serves models or plain services.
    pub kind: TargetKind,
    /// Requests that it runs concurrently without queueing; at least 1.
    pub slots: u32,
    /// Estimated number of requests, from load reports and changes since.
    pub load: LoadEstimate,
    /// Latency averages and ejection state.
    pub performance: EndpointPerformance,
    /// When it went down; `None` if it has responded since.
    down_since_ms: Option<u64>,
    /// Requests from peer instances, as last reported by them.
    peer_requests: u32,
    /// Whether it is leaving and accepts no new requests.
    pub leaving: bool,
    /// Whether it is missing from the current sheet.
    pub removed: bool,
    /// Transfer price per 10^9 bytes to the endpoint.
    pub(crate) request_price: f64,
    /// Transfer price per 10^9 bytes from the endpoint.
    pub(crate) response_price: f64,
    /// Whether it is in the region of this instance.
    pub(crate) is_local: bool,
    /// Indexes in [`EndpointPool::targets`] of what it serves.
    pub(crate) targets: Vec<usize>,
}

/// The endpoints that serve one model or service, and the demand for it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Target {
    /// Endpoints in the region of this instance.
    pub(crate) local: Vec<EndpointIndex>,
    /// Endpoints in other regions.
    pub(crate) remote: Vec<EndpointIndex>,
    /// Time of each tier's last request, by rank; 0 for none.
    last_demand_ms: [u64; MAX_TIERS],
    /// Additional reserve by tier rank, which grows as requests of the tier have to wait for a
    /// slot; from 0 to [`MAX_WAIT_RESERVE_PERCENT`].
    wait_reserve_percent: [f64; MAX_TIERS],
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

impl EndpointPool {
    /// Creates a pool with the endpoints of a sheet, for an instance in the given availability
    /// zone.
    pub fn new(
        sheet: &Sheet,
        availability_zone: &str,
        settings: EndpointPoolSettings,
    ) -> EndpointPool {
        let region = sheet.region(availability_zone).cloned().unwrap_or_default();
        let mut pool = EndpointPool {
            settings,
            endpoints: Vec::new(),
            names: IndexMap::new(),
            targets: IndexMap::new(),
            region,
        };
        pool.update(sheet);
        pool
    }

    /// Applies a new sheet. Endpoints that are in both sheets keep their state.
    pub fn update(&mut self, sheet: &Sheet) {
        for it in &mut self.endpoints {
            it.removed = true;
        }
        let targets = std::mem::take(&mut self.targets);
        for listed in &sheet.endpoints {
            let region = sheet.region(&listed.availability_zone).cloned().unwrap_or_default();
            let index = self.find_or_insert(&listed.name);
            let request_price = price(sheet, &self.region, &region);
            let response_price = price(sheet, &region, &self.region);
            let is_local = region == self.region;
            let endpoint = &mut self.endpoints[index.0];
            endpoint.removed = false;
            endpoint.kind = listed.kind;
            endpoint.slots = listed.slots.max(1);
            endpoint.request_price = request_price;
            endpoint.response_price = response_price;
            endpoint.is_local = is_local;
            endpoint.targets.clear();
            for served in &listed.serves {
                let entry = self.targets.entry(target_name(listed.kind, served));
                self.endpoints[index.0].targets.push(entry.index());
                let target = entry.or_default();
                let group = if is_local { &mut target.local } else { &mut target.remote };
                group.push(index);
            }
        }
        for (name, old) in targets {
            if let Some(target) = self.targets.get_mut(&name) {
                target.last_demand_ms = old.last_demand_ms;
                target.wait_reserve_percent = old.wait_reserve_percent;
            }
        }
    }

    /// Index of the endpoint with that name; `None` if it was never in a sheet or its place was
    /// reused.
    pub fn index(&self, name: &str) -> Option<EndpointIndex> {
        self.names.get(name).copied()
    }

    /// State of an endpoint.
    pub fn endpoint(&self, index: EndpointIndex) -> &Endpoint {
        &self.endpoints[index.0]
    }

    /// All endpoints of the current sheet.
    pub fn endpoints(&self) -> impl Iterator<Item = (EndpointIndex, &Endpoint)> {
        let all = self.endpoints.iter().enumerate().map(|(at, it)| (EndpointIndex(at), it));
        all.filter(|(_, it)| !it.removed)
    }

    /// Records that this instance sent a request to the endpoint.
    pub fn record_sent(&mut self, index: EndpointIndex, now_ms: u64) {
        self.endpoints[index.0].load.record_sent(now_ms);
    }

    /// Records that a request ended with a complete response.
    pub fn record_success(&mut self, index: EndpointIndex, now_ms: u64) {
        self.clear_known_full(index);
        self.mark_up(index);
        let endpoint = &mut self.endpoints[index.0];
        endpoint.load.record_finished(now_ms);
        endpoint.performance.record_success(now_ms);
    }

    /// Records that a request was cancelled or refused before it ran, which does not count as a
    /// failure of the endpoint.
    pub fn record_release(&mut self, index: EndpointIndex, now_ms: u64) {
        self.clear_known_full(index);
        self.endpoints[index.0].load.record_finished(now_ms);
    }

    /// Records that a request failed through the endpoint's fault. Returns whether this ejected the
    /// endpoint.
    pub fn record_failure(&mut self, index: EndpointIndex, now_ms: u64) -> bool {
        self.clear_known_full(index);
        let endpoint = &mut self.endpoints[index.0];
        endpoint.load.record_finished(now_ms);
        endpoint.performance.record_failure(now_ms)
    }

    /// Records that an endpoint was found down by a request that was sent at `sent_ms`. Returns
    /// whether the request was there when it went down, rather than sent to an endpoint that was
    /// already down.
    pub fn record_down(&mut self, index: EndpointIndex, sent_ms: u64, now_ms: u64) -> bool {
        self.clear_known_full(index);
        let endpoint = &mut self.endpoints[index.0];
        endpoint.load.record_finished(now_ms);
        endpoint.performance.record_down(now_ms);
        sent_ms <= *endpoint.down_since_ms.get_or_insert(now_ms)
    }

    /// Records that an endpoint responded.
    fn mark_up(&mut self, index: EndpointIndex) {
        self.endpoints[index.0].down_since_ms = None;
    }

    /// Records the time to the first token of a response, in milliseconds.
    pub fn record_first_token(&mut self, index: EndpointIndex, elapsed_ms: f64) {
        self.mark_up(index);
        self.endpoints[index.0].performance.record_first_token(elapsed_ms);
    }

    /// Records that `tokens` tokens of one response took `elapsed_ms`; also to be called while a
    /// response is still being generated, so that a stalled endpoint is noticed.
    pub fn record_tokens(&mut self, index: EndpointIndex, tokens: u32, elapsed_ms: f64) {
        self.endpoints[index.0].performance.record_tokens(tokens, elapsed_ms);
    }

    /// Applies a load report: requests running and waiting at `as_of_ms`. Returns whether the
    /// report was newer than the last one; others are ignored.
    pub fn apply_load_report(
        &mut self,
        index: EndpointIndex,
        requests: u32,
        as_of_ms: u64,
    ) -> bool {
        self.clear_known_full(index);
        self.endpoints[index.0].load.apply_report(requests, as_of_ms)
    }

    /// Sets the number of requests that peer instances have at the endpoint, as of about `at_ms`.
    pub fn set_peer_requests(&mut self, index: EndpointIndex, requests: u32, at_ms: u64) {
        let endpoint = &mut self.endpoints[index.0];
        let previous = std::mem::replace(&mut endpoint.peer_requests, requests);
        let change = i64::from(requests) - i64::from(previous);
        if change != 0 {
            self.add_peer_requests(index, change as i32, at_ms);
        }
    }

    /// Records that peers sent so many requests to the endpoint at about `at_ms`; a negative number
    /// counts requests that ended.
    pub fn add_peer_requests(&mut self, index: EndpointIndex, change: i32, at_ms: u64) {
        self.clear_known_full(index);
        self.endpoints[index.0].load.record_change(at_ms, change);
    }

    /// Sets whether the endpoint is leaving and accepts no new requests.
    pub fn set_leaving(&mut self, index: EndpointIndex, leaving: bool) {
        self.clear_known_full(index);
        self.endpoints[index.0].leaving = leaving;
    }

    /// Drops the cached result that the endpoint's targets are full, after a change at the
    /// endpoint.
    fn clear_known_full(&mut self, index: EndpointIndex) {
        for &at in &self.endpoints[index.0].targets {
            self.targets[at].full = KnownFull::default();
        }
    }

    /// Ejects endpoints whose time between tokens exceeds the median of their target by more than
    /// [`EndpointPoolSettings::outlier_factor`], but never more than half of a target's endpoints.
    /// Returns the endpoints ejected; none unless the policy is [`RoutingPolicy::Full`].
    pub fn eject_outliers(&mut self, now_ms: u64) -> Vec<EndpointIndex> {
        let mut ejected = Vec::new();
        if self.settings.routing != RoutingPolicy::Full {
            return ejected;
        }
        for target in self.targets.values() {
            let members: Vec<_> = target.local.iter().chain(&target.remote).copied().collect();
            let is_ejected = |it: &&EndpointIndex| {
                matches!(
                    self.endpoints[it.0].performance.ejection_state(now_ms),
                    EjectionState::Ejected { .. }
                )
            };
            let mut ejected_count = members.iter().filter(is_ejected).count();
            let Some(median_ms) = median_token_ms(&self.endpoints, &members) else { continue };
            for &index in &members {
                if (ejected_count + 1) * 2 > members.len() {
                    break;
                }
                let performance = &mut self.endpoints[index.0].performance;
                if performance.eject_if_slow(median_ms, self.settings.outlier_factor, now_ms) {
                    ejected_count += 1;
                    ejected.push(index);
                }
            }
        }
        ejected
    }

    /// Whether any endpoint outside `avoid` accepts new requests for the target.
    pub fn has_endpoint_for(&self, target: &str, avoid: &[EndpointIndex]) -> bool {
        let Some(key) = self.target_key(target) else { return false };
        self.targets[key].all().any(|it| {
            let endpoint = &self.endpoints[it.0];
            !endpoint.leaving && !endpoint.removed && !avoid.contains(&it)
        })
    }

    /// Capacity of all endpoints of a target, of whose slots `busy_slots` are held. With many
    /// endpoints it is extrapolated from a sample.
    pub fn capacity(&self, target: &str, busy_slots: u32, instances: u32, now_ms: u64) -> Capacity {
        let key = self.target_key(target);
        let target = key.map(|it| &self.targets[it]);
        let all = target.map_or(0, |it| it.local.len() + it.remote.len());
        let step = all.div_ceil(CAPACITY_SAMPLE).max(1);
        let members = target.into_iter().flat_map(Target::all).step_by(step);
        let mut capacity = Capacity {
            slots: 0,
            busy_slots,
            token_ms: 0.0,
            first_token_ms: 0.0,
            first_token_upper_ms: 0.0,
            instances,
        };
        for index in members {
            let endpoint = &self.endpoints[index.0];
            let usable = endpoint.usable_slots(now_ms);
            let weight = f64::from(usable);
            capacity.slots += usable;
            capacity.token_ms += endpoint.performance.token_ms() * weight;
            capacity.first_token_ms += endpoint.performance.first_token_ms() * weight;
            capacity.first_token_upper_ms += endpoint.performance.first_token_upper_ms() * weight;
        }
        let slots = f64::from(capacity.slots.max(1));
        capacity.token_ms /= slots;
        capacity.first_token_ms /= slots;
        capacity.first_token_upper_ms /= slots;
        capacity.slots *= step as u32;
        capacity
    }

    /// Index of a target. A model with an adapter that has no target of its own uses the base
    /// model's.
    pub(crate) fn target_key(&self, target: &str) -> Option<usize> {
        let base = target.split_once(':').map_or(target, |(base, _)| base);
        self.targets.get_index_of(target).or_else(|| self.targets.get_index_of(base))
    }

    /// Index of the endpoint with that name, which is added if it is new. Reuses the place of a
    /// removed endpoint that has no requests left.
    fn find_or_insert(&mut self, name: &Name) -> EndpointIndex {
        if let Some(index) = self.names.get(name) {
            return *index;
        }
        let reusable = self.endpoints.iter().position(|it| it.removed && it.load.local() == 0);
        let endpoint = Endpoint::with_defaults(name.clone());
        let index = match reusable {
            Some(at) => {
                let old = std::mem::replace(&mut self.endpoints[at], endpoint);
                self.names.swap_remove(&old.name);
                EndpointIndex(at)
            }
            None => {
                self.endpoints.push(endpoint);
                EndpointIndex(self.endpoints.len() - 1)
            }
        };
        self.names.insert(name.clone(), index);
        index
    }
}

impl Endpoint {
    fn with_defaults(name: Name) -> Endpoint {
        Endpoint {
            name,
            kind: TargetKind::Model,
            slots: 1,
            load: LoadEstimate::default(),
            performance: EndpointPerformance::new(DEFAULT_TOKEN_MS, DEFAULT_FIRST_TOKEN_MS),
            down_since_ms: None,
            peer_requests: 0,
            leaving: false,
            removed: false,
            request_price: 0.0,
            response_price: 0.0,
            is_local: true,
            targets: Vec::new(),
        }
    }

    /// Slots that may be used at `now_ms`; 0 if the endpoint is leaving, removed or ejected.
    pub fn usable_slots(&self, now_ms: u64) -> u32 {
        if self.leaving || self.removed {
            return 0;
        }
        match self.performance.usable_percent(now_ms) {
            0 => 0,
            percent => (u64::from(self.slots) * percent / 100).max(1) as u32,
        }
    }
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

/// Median time between tokens of the endpoints with enough samples, the lower one of two middle
/// values; `None` for fewer than two endpoints.
fn median_token_ms(endpoints: &[Endpoint], members: &[EndpointIndex]) -> Option<f64> {
    let known =
        members.iter().map(|it| &endpoints[it.0].performance).filter(|it| it.has_enough_samples());
    let mut token_ms: Vec<f64> = known.map(EndpointPerformance::token_ms).collect();
    if token_ms.len() < 2 {
        return None;
    }
    token_ms.sort_by(f64::total_cmp);
    Some(token_ms[(token_ms.len() - 1) / 2])
}

/// Transfer price per 10^9 bytes between two regions; 0 if the sheet has none.
fn price(sheet: &Sheet, from: &Name, to: &Name) -> f64 {
    let priced = sheet.prices.iter().find(|it| it.from == *from && it.to == *to);
    priced.map_or(0.0, |it| it.per_gigabyte)
}
