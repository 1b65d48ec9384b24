//! What an instance knows of the endpoints: load, pace, and who is leaving.

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

/// Pace expected of an endpoint that was never observed, in milliseconds a token.
const FIRST_TOKEN_PACE_MS: f64 = 20.0;

/// Time to the first token expected of an endpoint that was never observed, in milliseconds.
const FIRST_TOKEN_WAIT_MS: f64 = 150.0;

/// How long the demand of a tier is remembered, in milliseconds.
const DEMAND_MEMORY_MS: u64 = 30_000;

/// Endpoints of a target that its capacity is worked out from.
const CAPACITY_SAMPLE: usize = 32;

/// Most that waiting adds to the slots kept for higher tiers, in percent.
const LACK_LIMIT_PERCENT: f64 = 60.0;

/// Higher tiers for each of which slots are kept even if none had to wait.
const LEAST_LIMIT_TIERS: f64 = 3.0;

/// Most of its slots that an endpoint keeps free of a tier, in percent.
const RESERVE_LIMIT_PERCENT: f64 = 75.0;

/// What a request that had to wait for a slot adds to them, in percent.
const LACK_RISE_PERCENT: f64 = 3.0;

/// What a request that had not to wait takes from them, in percent.
const LACK_FALL_PERCENT: f64 = 0.3;

/// Tiers whose demand is remembered.
const RANK_LIMIT: usize = 16;

/// How endpoints are chosen.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString, Serialize, Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum RoutingPolicy {
    /// The next in turn, whatever its load.
    RoundRobin,
    /// The least load by the last report.
    LeastLoad,
    /// Corrected load, pace, prefixes and prices.
    #[default]
    Full,
}

/// Settings of the choice.
#[derive(Clone, Debug)]
pub struct EndpointPoolSettings {
    /// How endpoints are chosen.
    pub routing: RoutingPolicy,
    /// Part of an endpoint's slots kept free of lower tiers while a higher has demand, in percent.
    pub reserve_percent: u32,
    /// Requests the most urgent tier may send beyond an endpoint's slots, in percent of them.
    pub overcommit_percent: u32,
    /// Part of the first-token target a request waits for its own region if others cost money,
    /// in percent.
    pub remote_wait_percent: u64,
    /// An endpoint slower than the median by more than this is ejected.
    pub outlier_factor: f64,
    /// What one unit of currency weighs in the choice, in milliseconds.
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

/// Place of an endpoint in a [`EndpointPool`]; it stays while the endpoint is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointIndex(pub usize);

/// All endpoints, as one instance knows them.
#[derive(Clone, Debug)]
pub struct EndpointPool {
    pub(crate) settings: EndpointPoolSettings,
    pub(crate) endpoints: Vec<Endpoint>,
    names: IndexMap<Name, EndpointIndex>,
    pub(crate) targets: IndexMap<Name, Target>,
    /// Region of this instance.
    region: Name,
}

/// An endpoint as it is known.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Its name.
    pub name: Name,
    /// What it is.
    pub kind: TargetKind,
    /// Requests it runs at once without queueing; at least 1.
    pub slots: u32,
    /// Its load.
    pub load: LoadEstimate,
    /// Its speed and failures.
    pub performance: EndpointPerformance,
    /// Since when it is down; absent once it has answered again.
    down_ms: Option<u64>,
    /// Requests that peers were last known to have there.
    peers_requests: u32,
    /// It takes no new work.
    pub leaving: bool,
    /// It is no longer in the sheet.
    pub removed: bool,
    /// Price of 10^9 bytes to it.
    pub(crate) price_there: f64,
    /// Price of 10^9 bytes from it.
    pub(crate) price_back: f64,
    /// It stands in the region of this instance.
    pub(crate) is_home: bool,
    /// Places of what it serves in [`EndpointPool::targets`].
    pub(crate) targets: Vec<usize>,
}

/// Endpoints that serve one model or service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Target {
    pub(crate) home: Vec<EndpointIndex>,
    pub(crate) remote: Vec<EndpointIndex>,
    /// When each tier last asked for it.
    demand_ms: [u64; RANK_LIMIT],
    /// How often each tier had to wait for a slot of late, from 0 to [`LACK_LIMIT_PERCENT`].
    lack_percent: [f64; RANK_LIMIT],
    /// The next in turn, for [`RoutingPolicy::RoundRobin`].
    pub(crate) turn: usize,
    /// What was found to have no room; forgotten when one of the endpoints changes.
    pub(crate) closed: Closed,
}

/// Tiers for which a target had no room at all, whatever the request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Closed {
    /// The highest tier that found none in its strict turn, and those below it.
    pub(crate) from_rank: Option<usize>,
    /// Neither did a floor.
    pub(crate) floors: bool,
    /// Time alone may make room from then on.
    pub(crate) until_ms: u64,
}

impl EndpointPool {
    /// The endpoints of a sheet, seen from an instance in that availability zone.
    pub fn new(
        sheet: &Sheet,
        availability_zone: &str,
        settings: EndpointPoolSettings,
    ) -> EndpointPool {
        let region = sheet.region(availability_zone).cloned().unwrap_or_default();
        let mut fleet = EndpointPool {
            settings,
            endpoints: Vec::new(),
            names: IndexMap::new(),
            targets: IndexMap::new(),
            region,
        };
        fleet.update(sheet);
        fleet
    }

    /// Takes over another sheet; what was learned of endpoints that stay is kept.
    pub fn update(&mut self, sheet: &Sheet) {
        for it in &mut self.endpoints {
            it.removed = true;
        }
        let targets = std::mem::take(&mut self.targets);
        for listed in &sheet.endpoints {
            let region = sheet.region(&listed.availability_zone).cloned().unwrap_or_default();
            let index = self.place(&listed.name);
            let price_there = price(sheet, &self.region, &region);
            let price_back = price(sheet, &region, &self.region);
            let is_home = region == self.region;
            let endpoint = &mut self.endpoints[index.0];
            endpoint.removed = false;
            endpoint.kind = listed.kind;
            endpoint.slots = listed.slots.max(1);
            endpoint.price_there = price_there;
            endpoint.price_back = price_back;
            endpoint.is_home = is_home;
            endpoint.targets.clear();
            for served in &listed.serves {
                let entry = self.targets.entry(target_name(listed.kind, served));
                self.endpoints[index.0].targets.push(entry.index());
                let target = entry.or_default();
                let places = if is_home { &mut target.home } else { &mut target.remote };
                places.push(index);
            }
        }
        for (name, old) in targets {
            if let Some(target) = self.targets.get_mut(&name) {
                target.demand_ms = old.demand_ms;
                target.lack_percent = old.lack_percent;
            }
        }
    }

    /// Where the endpoint of that name is.
    pub fn index(&self, name: &str) -> Option<EndpointIndex> {
        self.names.get(name).copied()
    }

    /// What is known of an endpoint.
    pub fn endpoint(&self, index: EndpointIndex) -> &Endpoint {
        &self.endpoints[index.0]
    }

    /// All endpoints of the sheet in force.
    pub fn endpoints(&self) -> impl Iterator<Item = (EndpointIndex, &Endpoint)> {
        let all = self.endpoints.iter().enumerate().map(|(at, it)| (EndpointIndex(at), it));
        all.filter(|(_, it)| !it.removed)
    }

    /// This instance has sent a request there.
    pub fn record_sent(&mut self, index: EndpointIndex, now_ms: u64) {
        self.endpoints[index.0].load.record_sent(now_ms);
    }

    /// A request there ended with a whole answer.
    pub fn record_success(&mut self, index: EndpointIndex, now_ms: u64) {
        self.reopen(index);
        self.is_up(index);
        let endpoint = &mut self.endpoints[index.0];
        endpoint.load.record_finished(now_ms);
        endpoint.performance.record_success(now_ms);
    }

    /// A request there was cancelled or refused before running; that says nothing against it.
    pub fn record_release(&mut self, index: EndpointIndex, now_ms: u64) {
        self.reopen(index);
        self.endpoints[index.0].load.record_finished(now_ms);
    }

    /// A request there failed by the endpoint's fault. Returns whether that ejected it.
    pub fn record_failure(&mut self, index: EndpointIndex, now_ms: u64) -> bool {
        self.reopen(index);
        let endpoint = &mut self.endpoints[index.0];
        endpoint.load.record_finished(now_ms);
        endpoint.performance.record_failure(now_ms)
    }

    /// An endpoint went down with a request that was sent there at `sent_ms`. Returns whether
    /// the request was there when it did, rather than sent to one that was down already.
    pub fn record_down(&mut self, index: EndpointIndex, sent_ms: u64, now_ms: u64) -> bool {
        self.reopen(index);
        let endpoint = &mut self.endpoints[index.0];
        endpoint.load.record_finished(now_ms);
        endpoint.performance.record_down(now_ms);
        sent_ms <= *endpoint.down_ms.get_or_insert(now_ms)
    }

    /// An endpoint showed that it is up.
    fn is_up(&mut self, index: EndpointIndex) {
        self.endpoints[index.0].down_ms = None;
    }

    /// The first token of an answer came after that time.
    pub fn record_first_token(&mut self, index: EndpointIndex, elapsed_ms: f64) {
        self.is_up(index);
        self.endpoints[index.0].performance.record_first_token(elapsed_ms);
    }

    /// So many tokens of one answer came in that time; to be told also while answers are running.
    pub fn record_tokens(&mut self, index: EndpointIndex, tokens: u32, elapsed_ms: f64) {
        self.endpoints[index.0].performance.record_tokens(tokens, elapsed_ms);
    }

    /// A load report: requests running and waiting at the moment `as_of_ms`.
    pub fn apply_load_report(
        &mut self,
        index: EndpointIndex,
        requests: u32,
        as_of_ms: u64,
    ) -> bool {
        self.reopen(index);
        self.endpoints[index.0].load.apply_report(requests, as_of_ms)
    }

    /// Peers are now known to have so many requests there, as of about that time.
    pub fn set_peer_requests(&mut self, index: EndpointIndex, requests: u32, at_ms: u64) {
        let endpoint = &mut self.endpoints[index.0];
        let before = std::mem::replace(&mut endpoint.peers_requests, requests);
        let by = i64::from(requests) - i64::from(before);
        if by != 0 {
            self.add_peer_requests(index, by as i32, at_ms);
        }
    }

    /// A peer sent (or, if negative, saw the end of) so many requests there at about that time.
    pub fn add_peer_requests(&mut self, index: EndpointIndex, by: i32, at_ms: u64) {
        self.reopen(index);
        self.endpoints[index.0].load.record_change(at_ms, by);
    }

    /// The endpoint takes new work no longer, or again.
    pub fn set_leaving(&mut self, index: EndpointIndex, leaving: bool) {
        self.reopen(index);
        self.endpoints[index.0].leaving = leaving;
    }

    fn reopen(&mut self, index: EndpointIndex) {
        for &at in &self.endpoints[index.0].targets {
            self.targets[at].closed = Closed::default();
        }
    }

    /// Compares the pace of those that serve the same target and ejects the slow ones, though
    /// never more than half of a target's endpoints. Returns those it ejected.
    pub fn eject_outliers(&mut self, now_ms: u64) -> Vec<EndpointIndex> {
        let mut ejected = Vec::new();
        if self.settings.routing != RoutingPolicy::Full {
            return ejected;
        }
        for target in self.targets.values() {
            let members: Vec<_> = target.home.iter().chain(&target.remote).copied().collect();
            let is_out = |it: &&EndpointIndex| {
                matches!(
                    self.endpoints[it.0].performance.ejection_state(now_ms),
                    EjectionState::Ejected { .. }
                )
            };
            let mut out = members.iter().filter(is_out).count();
            let Some(median_ms) = median_token_ms(&self.endpoints, &members) else { continue };
            for &index in &members {
                if (out + 1) * 2 > members.len() {
                    break;
                }
                let performance = &mut self.endpoints[index.0].performance;
                if performance.eject_if_slow(median_ms, self.settings.outlier_factor, now_ms) {
                    out += 1;
                    ejected.push(index);
                }
            }
        }
        ejected
    }

    /// Whether any endpoint but those to avoid takes new work for a target.
    pub fn has_endpoint_for(&self, target: &str, avoid: &[EndpointIndex]) -> bool {
        let Some(key) = self.target_key(target) else { return false };
        self.targets[key].all().any(|it| {
            let endpoint = &self.endpoints[it.0];
            !endpoint.leaving && !endpoint.removed && !avoid.contains(&it)
        })
    }

    /// What all endpoints of a target can do together, for requests of which `busy` hold slots;
    /// worked out from some of them where they are many.
    pub fn capacity(&self, target: &str, busy_slots: u32, instances: u32, now_ms: u64) -> Capacity {
        let key = self.target_key(target);
        let target = key.map(|it| &self.targets[it]);
        let all = target.map_or(0, |it| it.home.len() + it.remote.len());
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

    /// The key under which a model, with or without an adapter, is served.
    pub(crate) fn target_key(&self, target: &str) -> Option<usize> {
        let base = target.split_once(':').map_or(target, |(base, _)| base);
        self.targets.get_index_of(target).or_else(|| self.targets.get_index_of(base))
    }

    fn place(&mut self, name: &Name) -> EndpointIndex {
        if let Some(index) = self.names.get(name) {
            return *index;
        }
        let unused = self.endpoints.iter().position(|it| it.removed && it.load.local() == 0);
        let endpoint = Endpoint::unknown(name.clone());
        let index = match unused {
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
    fn unknown(name: Name) -> Endpoint {
        Endpoint {
            name,
            kind: TargetKind::Model,
            slots: 1,
            load: LoadEstimate::default(),
            performance: EndpointPerformance::new(FIRST_TOKEN_PACE_MS, FIRST_TOKEN_WAIT_MS),
            down_ms: None,
            peers_requests: 0,
            leaving: false,
            removed: false,
            price_there: 0.0,
            price_back: 0.0,
            is_home: true,
            targets: Vec::new(),
        }
    }

    /// Slots that may be used at that moment.
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
    /// Notes that a tier asks for the target.
    pub(crate) fn record_demand(&mut self, rank: usize, now_ms: u64) {
        self.demand_ms[rank.min(RANK_LIMIT - 1)] = now_ms;
    }

    /// Notes whether a request of a tier had to wait for a slot.
    pub(crate) fn record_wait(&mut self, rank: usize, lacked: bool) {
        let lack = &mut self.lack_percent[rank.min(RANK_LIMIT - 1)];
        let step = if lacked { LACK_RISE_PERCENT } else { -LACK_FALL_PERCENT };
        *lack = (*lack + step).clamp(0.0, LACK_LIMIT_PERCENT);
    }

    /// Part of the slots to keep free of a tier because higher ones ask for the target, in
    /// percent: for each of those some, and the more, the more often it had to wait.
    pub(crate) fn reserve_percent(&self, rank: usize, least_percent: f64, now_ms: u64) -> f64 {
        let (mut least, mut lack) = (0.0, 0.0);
        for higher in 0..rank.min(RANK_LIMIT) {
            let asked_ms = self.demand_ms[higher];
            if asked_ms > 0 && now_ms.saturating_sub(asked_ms) <= DEMAND_MEMORY_MS {
                least += least_percent;
                lack += self.lack_percent[higher];
            }
        }
        let least_limit = LEAST_LIMIT_TIERS * least_percent;
        (f64::min(least, least_limit) + lack).min(RESERVE_LIMIT_PERCENT)
    }
}

/// The name under which a fleet knows a model or a plain service; models have no colon.
pub fn target_name(kind: TargetKind, name: &Name) -> Name {
    match kind {
        TargetKind::Model => name.clone(),
        TargetKind::Service => Name::from(format!("service:{name}")),
    }
}

fn median_token_ms(endpoints: &[Endpoint], members: &[EndpointIndex]) -> Option<f64> {
    let paces =
        members.iter().map(|it| &endpoints[it.0].performance).filter(|it| it.has_enough_samples());
    let mut paces: Vec<f64> = paces.map(EndpointPerformance::token_ms).collect();
    if paces.len() < 2 {
        return None;
    }
    paces.sort_by(f64::total_cmp);
    Some(paces[(paces.len() - 1) / 2])
}

fn price(sheet: &Sheet, from: &Name, to: &Name) -> f64 {
    let priced = sheet.prices.iter().find(|it| it.from == *from && it.to == *to);
    priced.map_or(0.0, |it| it.per_gigabyte)
}
