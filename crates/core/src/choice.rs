//! Choice of an endpoint for a request, under each [`RoutingPolicy`].

use crate::{
    Reason,
    endpoint_pool::{Endpoint, EndpointIndex, EndpointPool, KnownFull, RoutingPolicy, Target},
    queue::DispatchRule,
};

/// Number of endpoints with room among which the best is chosen.
const MAX_CANDIDATES: usize = 16;

/// Maximum number of endpoints examined in one scan.
const MAX_SCANNED: usize = 64;

/// Maximum number of requests of one instance at one endpoint under [`RoutingPolicy::RoundRobin`],
/// as a multiple of its slots.
const ROUND_ROBIN_MAX_LOAD: u32 = 8;

/// Cached prefixes count only at endpoints with at most this load, in percent of the candidates'
/// mean load plus one request, so that requests with a common prefix do not overload one endpoint.
const MAX_AFFINITY_LOAD_PERCENT: u32 = 125;

/// Assumed time of a request if no candidate has been observed yet, in milliseconds.
const DEFAULT_WORK_MS: f64 = 1_000.0;

/// Prefill time per prompt token that is not cached, in milliseconds.
const PREFILL_TOKEN_MS: f64 = 0.25;

/// How long a target is considered full if none of its endpoints changes, in milliseconds.
const KNOWN_FULL_TTL_MS: u64 = 100;

/// Penalty for each further target that an endpoint serves, as a fraction of the request's time, so
/// that endpoints that other targets also need are left free for them. The highest tier is exempt.
const SHARED_ENDPOINT_PENALTY: f64 = 0.5;

/// Bytes to which a transfer price applies.
const PRICE_UNIT_BYTES: f64 = 1e9;

/// The properties of a request on which the choice depends.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Model, with or without an adapter, or service.
    pub target: &'a str,
    /// Rank of the tier; 0 is the most urgent.
    pub tier_rank: usize,
    /// Rule by which it is dispatched.
    pub rule: DispatchRule,
    /// Expected length of the response, in tokens.
    pub output_tokens: u32,
    /// Bytes sent to the endpoint.
    pub request_bytes: usize,
    /// Expected bytes of the response.
    pub answer_bytes: usize,
    /// Time since it arrived, in milliseconds.
    pub waited_ms: u64,
    /// The class's target for the time to the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Endpoints that are expected to have a prefix of the prompt cached.
    pub cached: &'a [CachedPrefix],
    /// Endpoints that must not be chosen, such as those where it failed before.
    pub avoid: &'a [EndpointIndex],
}

/// Prefix of a prompt that an endpoint is expected to have cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CachedPrefix {
    /// Endpoint that holds it.
    pub endpoint: EndpointIndex,
    /// Length from the beginning of the prompt, in tokens.
    pub tokens: u32,
}

/// Outcome of the choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Send the request to this endpoint.
    Send(EndpointIndex),
    /// No endpoint has room now; keep the request queued.
    Wait,
    /// No endpoint serves the target.
    Refuse(Reason),
}

/// Endpoints with room for a request.
struct Candidates {
    endpoints: Vec<Candidate>,
    /// If there are none, another request of the same tier might still find some.
    depends_on_request: bool,
}

/// An endpoint with room, and the terms of its score.
struct Candidate {
    index: EndpointIndex,
    /// Estimated number of requests at the endpoint.
    requests: u32,
    /// Expected time of the request on an otherwise idle endpoint, in milliseconds; `None` if the
    /// endpoint has too few samples.
    work_ms: Option<f64>,
    /// Estimated requests divided by usable slots; above 1 when overcommitted.
    utilization: f64,
    /// Penalty because it serves other targets too, as a fraction of the request's time.
    shared_penalty: f64,
    /// Transfer price, converted to milliseconds.
    transfer_cost_ms: f64,
    /// Prefill time that the cached prefix saves, in milliseconds.
    cache_saved_ms: f64,
}

impl EndpointPool {
    /// Chooses an endpoint for a request; deterministic for a given state and `random`.
    pub fn choose(&mut self, request: &Request<'_>, now_ms: u64, random: u64) -> Choice {
        let Some(key) = self.target_key(request.target) else {
            return Choice::Refuse(Reason::NoEndpoint);
        };
        self.targets[key].record_demand(request.tier_rank, now_ms);
        match self.settings.routing {
            RoutingPolicy::RoundRobin => self.choose_round_robin(key, request),
            RoutingPolicy::LeastLoad => self.choose_least_load(key, request, random),
            RoutingPolicy::Full => self.choose_lowest_cost(key, request, now_ms, random),
        }
    }

    /// Records that a tier requests a target, for which lower tiers then leave some slots free.
    pub fn record_demand(&mut self, target: &str, tier_rank: usize, now_ms: u64) {
        if let Some(key) = self.target_key(target) {
            self.targets[key].record_demand(tier_rank, now_ms);
        }
    }

    /// Records whether a request of a tier had to wait for a slot. The more requests wait, the more
    /// slots lower tiers leave free.
    pub fn record_wait(&mut self, target: &str, tier_rank: usize, waited: bool) {
        if let Some(key) = self.target_key(target) {
            self.targets[key].record_wait(tier_rank, waited);
        }
    }

    /// Whether [`EndpointPool::choose`] with the same `random` would send the request to an
    /// endpoint.
    pub fn has_room(&mut self, request: &Request<'_>, now_ms: u64, random: u64) -> bool {
        let Some(key) = self.target_key(request.target) else { return false };
        let target = &self.targets[key];
        match self.settings.routing {
            RoutingPolicy::RoundRobin => {
                target.all().any(|it| self.has_round_robin_room(it, request))
            }
            RoutingPolicy::LeastLoad => target.all().any(|it| self.is_below_slots(it, request)),
            RoutingPolicy::Full => {
                let found = self.candidates(key, request, now_ms, random, 1);
                let has_room = !found.endpoints.is_empty()
                    || self.choose_despite_ejection(key, request, now_ms) != Choice::Wait;
                if !has_room && !found.depends_on_request {
                    self.mark_full(key, request, now_ms);
                }
                has_room
            }
        }
    }

    /// Whether an earlier check has shown that no request of that tier has room at the target under
    /// the given rule.
    pub fn is_known_full(
        &self,
        target: &str,
        tier_rank: usize,
        rule: DispatchRule,
        now_ms: u64,
    ) -> bool {
        let Some(key) = self.target_key(target) else { return false };
        let full = &self.targets[key].full;
        let is_full = match rule {
            DispatchRule::Strict => full.from_rank.is_some_and(|it| it <= tier_rank),
            DispatchRule::Floor => full.floor,
        };
        is_full && now_ms < full.until_ms
    }

    fn mark_full(&mut self, key: usize, request: &Request<'_>, now_ms: u64) {
        let full = &mut self.targets[key].full;
        if now_ms >= full.until_ms {
            *full = KnownFull { until_ms: now_ms + KNOWN_FULL_TTL_MS, ..KnownFull::default() };
        }
        match request.rule {
            DispatchRule::Strict => {
                let from_rank = full.from_rank.unwrap_or(request.tier_rank);
                full.from_rank = Some(from_rank.min(request.tier_rank));
            }
            DispatchRule::Floor => full.floor = true,
        }
    }

    fn choose_round_robin(&mut self, key: usize, request: &Request<'_>) -> Choice {
        let target = &self.targets[key];
        let members: Vec<_> = target.all().collect();
        let rotated = members.iter().cycle().skip(target.round_robin_next).take(members.len());
        let found = rotated.enumerate().find(|(_, it)| self.has_round_robin_room(**it, request));
        let Some((skipped, &index)) = found else { return Choice::Wait };
        self.targets[key].round_robin_next =
            (target.round_robin_next + skipped + 1) % members.len();
        Choice::Send(index)
    }

    fn has_round_robin_room(&self, index: EndpointIndex, request: &Request<'_>) -> bool {
        let endpoint = &self.endpoints[index.0];
        let is_unavailable = endpoint.leaving || endpoint.removed || request.avoid.contains(&index);
        !is_unavailable && endpoint.load.local() < endpoint.slots * ROUND_ROBIN_MAX_LOAD
    }

    fn choose_least_load(&self, key: usize, request: &Request<'_>, random: u64) -> Choice {
        let members: Vec<_> =
            self.targets[key].all().filter(|&it| self.is_below_slots(it, request)).collect();
        if members.is_empty() {
            return Choice::Wait;
        }
        let start = random as usize % members.len();
        let rotated = members[start..].iter().chain(&members[..start]);
        let least = rotated.min_by_key(|it| self.endpoints[it.0].load.reported());
        least.map_or(Choice::Wait, |it| Choice::Send(*it))
    }

    /// Whether fewer requests of this instance alone are at the endpoint than it has slots.
    fn is_below_slots(&self, index: EndpointIndex, request: &Request<'_>) -> bool {
        let endpoint = &self.endpoints[index.0];
        let is_unavailable = endpoint.leaving || endpoint.removed || request.avoid.contains(&index);
        !is_unavailable && endpoint.load.local() < endpoint.slots
    }

    fn choose_lowest_cost(
        &self,
        key: usize,
        request: &Request<'_>,
        now_ms: u64,
        random: u64,
    ) -> Choice {
        let found = self.candidates(key, request, now_ms, random, MAX_CANDIDATES).endpoints;
        if found.is_empty() {
            return self.choose_despite_ejection(key, request, now_ms);
        }
        let mean = found.iter().map(|it| it.requests).sum::<u32>() / found.len() as u32;
        let bound = (mean + 1) * MAX_AFFINITY_LOAD_PERCENT / 100;
        // An endpoint that was not observed yet is assumed to be as fast as the fastest.
        let known = found.iter().filter_map(|it| it.work_ms);
        let best_ms = known.min_by(f64::total_cmp).unwrap_or(DEFAULT_WORK_MS);
        let score = |it: &Candidate| {
            let saved_ms = if it.requests <= bound { it.cache_saved_ms } else { 0.0 };
            let work_ms = it.work_ms.unwrap_or(best_ms);
            work_ms * (1.0 + it.utilization + it.shared_penalty) + it.transfer_cost_ms - saved_ms
        };
        let best = found.iter().min_by(|a, b| score(a).total_cmp(&score(b)));
        best.map_or(Choice::Wait, |it| Choice::Send(it.index))
    }

    /// If every endpoint is ejected, chooses the least loaded one with a free slot: a doubtful
    /// endpoint is better than none.
    fn choose_despite_ejection(&self, key: usize, request: &Request<'_>, now_ms: u64) -> Choice {
        let target = &self.targets[key];
        let is_eligible = |it: &EndpointIndex| {
            let endpoint = &self.endpoints[it.0];
            !endpoint.leaving && !endpoint.removed && !request.avoid.contains(it)
        };
        let members: Vec<_> = target.all().take(MAX_SCANNED).filter(is_eligible).collect();
        if members.iter().any(|it| self.endpoints[it.0].performance.usable_percent(now_ms) > 0) {
            return Choice::Wait;
        }
        let free = members.into_iter().filter(|it| {
            let endpoint = &self.endpoints[it.0];
            endpoint.load.estimate() < endpoint.slots
        });
        let least = free.min_by_key(|it| self.endpoints[it.0].load.estimate());
        least.map_or(Choice::Wait, Choice::Send)
    }

    /// Up to `wanted` endpoints with room. Other regions are considered only if the local region
    /// has no room; those with a transfer price only once the request has waited long enough, if it
    /// is of the highest tier or if the local region has no usable endpoint. If no region has room,
    /// local endpoints may be overcommitted.
    fn candidates(
        &self,
        key: usize,
        request: &Request<'_>,
        now_ms: u64,
        random: u64,
        wanted: usize,
    ) -> Candidates {
        let target = &self.targets[key];
        let scan = |members: &[EndpointIndex], overcommit: bool| {
            let start = if members.is_empty() { 0 } else { random as usize % members.len() };
            let rotated = members[start..].iter().chain(&members[..start]).take(MAX_SCANNED);
            rotated
                .filter_map(|it| self.candidate(*it, request, overcommit, now_ms))
                .take(wanted)
                .collect::<Vec<_>>()
        };
        let depends_on_request = !request.avoid.is_empty();
        let local = scan(&target.local, false);
        if !local.is_empty() {
            return Candidates { endpoints: local, depends_on_request };
        }
        let mut remote = scan(&target.remote, false);
        if remote.is_empty() {
            return Candidates { endpoints: scan(&target.local, true), depends_on_request };
        }
        let waits_for_local = request.tier_rank > 0
            && request.waited_ms * 100 < request.first_token_ms * self.settings.remote_wait_percent
            && self.has_usable_local(target, now_ms);
        if waits_for_local {
            remote.retain(|it| self.endpoints[it.index.0].has_no_transfer_price());
        }
        Candidates { endpoints: remote, depends_on_request: depends_on_request || waits_for_local }
    }

    fn has_usable_local(&self, target: &Target, now_ms: u64) -> bool {
        let members = target.local.iter().take(MAX_SCANNED);
        members.into_iter().any(|it| self.endpoints[it.0].usable_slots(now_ms) > 0)
    }

    /// Computes the terms of an endpoint's score; `None` if it has no room for the request or must
    /// not be chosen.
    fn candidate(
        &self,
        index: EndpointIndex,
        request: &Request<'_>,
        overcommit: bool,
        now_ms: u64,
    ) -> Option<Candidate> {
        let endpoint = &self.endpoints[index.0];
        let usable = endpoint.usable_slots(now_ms);
        let requests = endpoint.load.estimate();
        let limit = self.max_requests(endpoint, usable, request, overcommit, now_ms);
        if requests >= limit || request.avoid.contains(&index) {
            return None;
        }
        let cached = request.cached.iter().find(|it| it.endpoint == index);
        let cache_saved_ms = cached.map_or(0.0, |it| f64::from(it.tokens) * PREFILL_TOKEN_MS);
        let performance = &endpoint.performance;
        let work_ms = performance.first_token_ms()
            + performance.token_ms() * f64::from(request.output_tokens);
        let work_ms = performance.has_enough_samples().then_some(work_ms);
        let utilization = f64::from(requests) / f64::from(usable);
        let price = endpoint.request_price * request.request_bytes as f64
            + endpoint.response_price * request.answer_bytes as f64;
        let transfer_cost_ms = price / PRICE_UNIT_BYTES * self.settings.price_weight_ms;
        let other_targets = endpoint.targets.len().saturating_sub(1);
        let shared_penalty = if request.tier_rank > 0 {
            other_targets as f64 * SHARED_ENDPOINT_PENALTY
        } else {
            0.0
        };
        Some(Candidate {
            index,
            requests,
            work_ms,
            utilization,
            shared_penalty,
            transfer_cost_ms,
            cache_saved_ms,
        })
    }

    /// Number of requests below which an endpoint has room for this one: its usable slots, less
    /// those reserved for higher tiers. With `overcommit`, the highest tier with demand for
    /// anything the endpoint serves may exceed the slots, which keeps the endpoint busy while this
    /// instance has not yet learned that a request there has ended.
    fn max_requests(
        &self,
        endpoint: &Endpoint,
        usable: u32,
        request: &Request<'_>,
        overcommit: bool,
        now_ms: u64,
    ) -> u32 {
        if usable == 0 || request.rule == DispatchRule::Floor {
            return usable;
        }
        let base_percent = f64::from(self.settings.reserve_percent);
        let reserve =
            |at: &usize| self.targets[*at].reserve_percent(request.tier_rank, base_percent, now_ms);
        let reserve_percent = endpoint.targets.iter().map(reserve).fold(0.0, f64::max);
        if overcommit && reserve_percent == 0.0 {
            return usable + (usable * self.settings.overcommit_percent).div_ceil(100);
        }
        let reserved = (f64::from(usable) * reserve_percent / 100.0).ceil() as u32;
        usable.saturating_sub(reserved).max(1)
    }
}

impl Endpoint {
    fn has_no_transfer_price(&self) -> bool {
        self.request_price == 0.0 && self.response_price == 0.0
    }
}

impl Target {
    /// All endpoints, those in the local region first.
    pub(crate) fn all(&self) -> impl Iterator<Item = EndpointIndex> {
        self.local.iter().chain(&self.remote).copied()
    }
}
