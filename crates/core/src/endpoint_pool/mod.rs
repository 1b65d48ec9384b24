//! The endpoints known to an instance, with their load, performance and availability.

mod endpoint;
mod settings;
mod target;

use indexmap::IndexMap;

use crate::{
    Name,
    admission::Capacity,
    endpoint_performance::{EjectionState, EndpointPerformance},
    sheet::Sheet,
};

pub use endpoint::Endpoint;
pub use settings::{EndpointPoolSettings, RoutingPolicy};
pub use target::target_name;
pub(crate) use target::{KnownFull, Target};

/// Approximate number of a target's endpoints from which its capacity is extrapolated.
const CAPACITY_SAMPLE: usize = 32;

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
