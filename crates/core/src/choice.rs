//! Choosing an endpoint for a request.

use crate::{
    Reason,
    endpoint_pool::{Closed, Endpoint, EndpointIndex, EndpointPool, RoutingPolicy, Target},
    queue::DispatchRule,
};

/// Endpoints looked at before one with room is taken.
const SAMPLE: usize = 16;

/// Endpoints looked at before the choice gives up for now.
const SCAN_LIMIT: usize = 64;

/// Requests of one instance at one endpoint, as a multiple of its slots, under
/// [`RoutingPolicy::RoundRobin`].
const ROUND_ROBIN_LIMIT: u32 = 8;

/// A prefix in cache is followed up to this much above the mean load, in percent.
const AFFINITY_LOAD_PERCENT: u32 = 125;

/// Time a request is taken to need where no endpoint was observed, in milliseconds.
const UNKNOWN_WORK_MS: f64 = 1_000.0;

/// Time the prompt takes for each token that is not in cache, in milliseconds.
const PROMPT_TOKEN_MS: f64 = 0.25;

/// How long a target is taken to have no room if nothing happens, in milliseconds.
const CLOSED_MS: u64 = 100;

/// What each further target of an endpoint counts against it, as a part of its work.
const SOUGHT: f64 = 0.5;

/// Bytes in a price's unit.
const PRICE_UNIT_BYTES: f64 = 1e9;

/// What the choice needs to know of a request.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The model, with or without an adapter, or the service.
    pub target: &'a str,
    /// Rank of its tier.
    pub tier_rank: usize,
    /// By which right it is dispatched.
    pub rule: DispatchRule,
    /// Expected length of the answer.
    pub output_tokens: u32,
    /// Bytes sent to the endpoint.
    pub request_bytes: usize,
    /// Bytes expected back.
    pub answer_bytes: usize,
    /// How long it has waited.
    pub waited_ms: u64,
    /// Its class's target for the first token.
    pub first_token_ms: u64,
    /// Endpoints that hold a prefix of its prompt, and how much of it.
    pub cached: &'a [CachedPrefix],
    /// Endpoints that it must not go to, as those that failed it before.
    pub avoid: &'a [EndpointIndex],
}

/// Part of a prompt that an endpoint is believed to have in cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CachedPrefix {
    /// The endpoint.
    pub endpoint: EndpointIndex,
    /// Tokens from the prompt's beginning.
    pub tokens: u32,
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// To this endpoint.
    Send(EndpointIndex),
    /// Nowhere for now.
    Wait,
    /// Nowhere.
    Refuse(Reason),
}

/// Endpoints with room for a request.
struct Found {
    candidates: Vec<Scored>,
    /// There are none, but another request of the tier might find some.
    depends_on_request: bool,
}

struct Scored {
    index: EndpointIndex,
    requests: u32,
    /// Time for the request alone, if the endpoint's performance is known.
    work_ms: Option<f64>,
    /// Part of the usable slots that are taken.
    busy: f64,
    /// What counts against it because it serves other targets too.
    sought: f64,
    cost_ms: f64,
    saved_ms: f64,
}

impl EndpointPool {
    /// Chooses an endpoint. `random` is any number; the choice is a function of it.
    pub fn choose(&mut self, request: &Request<'_>, now_ms: u64, random: u64) -> Choice {
        let Some(key) = self.target_key(request.target) else {
            return Choice::Refuse(Reason::NoEndpoint);
        };
        self.targets[key].record_demand(request.tier_rank, now_ms);
        match self.settings.routing {
            RoutingPolicy::RoundRobin => self.next_in_turn(key, request),
            RoutingPolicy::LeastLoad => self.least_reported(key, request, random),
            RoutingPolicy::Full => self.best(key, request, now_ms, random),
        }
    }

    /// Notes that a tier asks for a target; lower tiers then leave it some slots.
    pub fn record_demand(&mut self, target: &str, tier_rank: usize, now_ms: u64) {
        if let Some(key) = self.target_key(target) {
            self.targets[key].record_demand(tier_rank, now_ms);
        }
    }

    /// Notes whether a request of a tier had to wait for a slot; the more do, the more slots
    /// lower tiers leave.
    pub fn record_wait(&mut self, target: &str, tier_rank: usize, lacked: bool) {
        if let Some(key) = self.target_key(target) {
            self.targets[key].record_wait(tier_rank, lacked);
        }
    }

    /// Whether [`EndpointPool::choose`] would send the request somewhere now, by the same number.
    pub fn has_room(&mut self, request: &Request<'_>, now_ms: u64, random: u64) -> bool {
        let Some(key) = self.target_key(request.target) else { return false };
        let target = &self.targets[key];
        match self.settings.routing {
            RoutingPolicy::RoundRobin => target.all().any(|it| self.takes_turn(it, request)),
            RoutingPolicy::LeastLoad => target.all().any(|it| self.takes_reported(it, request)),
            RoutingPolicy::Full => {
                let found = self.candidates(key, request, now_ms, random, 1);
                let has_room = !found.candidates.is_empty()
                    || self.last_resort(key, request, now_ms) != Choice::Wait;
                if !has_room && !found.depends_on_request {
                    self.close(key, request, now_ms);
                }
                has_room
            }
        }
    }

    /// Whether it is known that nothing of that tier, in that turn, has room at the target.
    pub fn is_known_full(
        &self,
        target: &str,
        tier_rank: usize,
        rule: DispatchRule,
        now_ms: u64,
    ) -> bool {
        let Some(key) = self.target_key(target) else { return false };
        let closed = &self.targets[key].closed;
        let is_full = match rule {
            DispatchRule::Strict => closed.from_rank.is_some_and(|it| it <= tier_rank),
            DispatchRule::Floor => closed.floors,
        };
        is_full && now_ms < closed.until_ms
    }

    fn close(&mut self, key: usize, request: &Request<'_>, now_ms: u64) {
        let closed = &mut self.targets[key].closed;
        if now_ms >= closed.until_ms {
            *closed = Closed { until_ms: now_ms + CLOSED_MS, ..Closed::default() };
        }
        match request.rule {
            DispatchRule::Strict => {
                let from_rank = closed.from_rank.unwrap_or(request.tier_rank);
                closed.from_rank = Some(from_rank.min(request.tier_rank));
            }
            DispatchRule::Floor => closed.floors = true,
        }
    }

    fn next_in_turn(&mut self, key: usize, request: &Request<'_>) -> Choice {
        let target = &self.targets[key];
        let members: Vec<_> = target.all().collect();
        let after = members.iter().cycle().skip(target.turn).take(members.len());
        let found = after.enumerate().find(|(_, it)| self.takes_turn(**it, request));
        let Some((skipped, &index)) = found else { return Choice::Wait };
        self.targets[key].turn = (target.turn + skipped + 1) % members.len();
        Choice::Send(index)
    }

    fn takes_turn(&self, index: EndpointIndex, request: &Request<'_>) -> bool {
        let endpoint = &self.endpoints[index.0];
        let is_out = endpoint.leaving || endpoint.removed || request.avoid.contains(&index);
        !is_out && endpoint.load.local() < endpoint.slots * ROUND_ROBIN_LIMIT
    }

    fn least_reported(&self, key: usize, request: &Request<'_>, random: u64) -> Choice {
        let members: Vec<_> =
            self.targets[key].all().filter(|&it| self.takes_reported(it, request)).collect();
        if members.is_empty() {
            return Choice::Wait;
        }
        let start = random as usize % members.len();
        let rotated = members[start..].iter().chain(&members[..start]);
        let least = rotated.min_by_key(|it| self.endpoints[it.0].load.reported());
        least.map_or(Choice::Wait, |it| Choice::Send(*it))
    }

    fn takes_reported(&self, index: EndpointIndex, request: &Request<'_>) -> bool {
        let endpoint = &self.endpoints[index.0];
        let is_out = endpoint.leaving || endpoint.removed || request.avoid.contains(&index);
        !is_out && endpoint.load.local() < endpoint.slots
    }

    fn best(&self, key: usize, request: &Request<'_>, now_ms: u64, random: u64) -> Choice {
        let found = self.candidates(key, request, now_ms, random, SAMPLE).candidates;
        if found.is_empty() {
            return self.last_resort(key, request, now_ms);
        }
        let mean = found.iter().map(|it| it.requests).sum::<u32>() / found.len() as u32;
        let bound = (mean + 1) * AFFINITY_LOAD_PERCENT / 100;
        // An endpoint that was not observed yet is taken for as fast as the best.
        let known = found.iter().filter_map(|it| it.work_ms);
        let best_ms = known.min_by(f64::total_cmp).unwrap_or(UNKNOWN_WORK_MS);
        let score = |it: &Scored| {
            let saved_ms = if it.requests <= bound { it.saved_ms } else { 0.0 };
            let work_ms = it.work_ms.unwrap_or(best_ms);
            work_ms * (1.0 + it.busy + it.sought) + it.cost_ms - saved_ms
        };
        let best = found.iter().min_by(|a, b| score(a).total_cmp(&score(b)));
        best.map_or(Choice::Wait, |it| Choice::Send(it.index))
    }

    /// With every endpoint ejected, the least loaded one that still has a slot.
    fn last_resort(&self, key: usize, request: &Request<'_>, now_ms: u64) -> Choice {
        let target = &self.targets[key];
        let stay = |it: &EndpointIndex| {
            let endpoint = &self.endpoints[it.0];
            !endpoint.leaving && !endpoint.removed && !request.avoid.contains(it)
        };
        let members: Vec<_> = target.all().take(SCAN_LIMIT).filter(stay).collect();
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

    /// Up to `wanted` endpoints with room: those of the own region, and only if none has room
    /// and the request may go far, others.
    fn candidates(
        &self,
        key: usize,
        request: &Request<'_>,
        now_ms: u64,
        random: u64,
        wanted: usize,
    ) -> Found {
        let target = &self.targets[key];
        let scan = |members: &[EndpointIndex], surplus: bool| {
            let start = if members.is_empty() { 0 } else { random as usize % members.len() };
            let rotated = members[start..].iter().chain(&members[..start]).take(SCAN_LIMIT);
            rotated
                .filter_map(|it| self.scored(*it, request, surplus, now_ms))
                .take(wanted)
                .collect::<Vec<_>>()
        };
        let depends_on_request = !request.avoid.is_empty();
        let home = scan(&target.home, false);
        if !home.is_empty() {
            return Found { candidates: home, depends_on_request };
        }
        let mut far = scan(&target.remote, false);
        if far.is_empty() {
            return Found { candidates: scan(&target.home, true), depends_on_request };
        }
        let is_patient = request.tier_rank > 0
            && request.waited_ms * 100 < request.first_token_ms * self.settings.remote_wait_percent
            && self.home_works(target, now_ms);
        if is_patient {
            far.retain(|it| self.endpoints[it.index.0].is_free_of_charge());
        }
        Found { candidates: far, depends_on_request: depends_on_request || is_patient }
    }

    fn home_works(&self, target: &Target, now_ms: u64) -> bool {
        let members = target.home.iter().take(SCAN_LIMIT);
        members.into_iter().any(|it| self.endpoints[it.0].usable_slots(now_ms) > 0)
    }

    fn scored(
        &self,
        index: EndpointIndex,
        request: &Request<'_>,
        surplus: bool,
        now_ms: u64,
    ) -> Option<Scored> {
        let endpoint = &self.endpoints[index.0];
        let usable = endpoint.usable_slots(now_ms);
        let requests = endpoint.load.estimate();
        let limit = self.limit(endpoint, usable, request, surplus, now_ms);
        if requests >= limit || request.avoid.contains(&index) {
            return None;
        }
        let cached = request.cached.iter().find(|it| it.endpoint == index);
        let saved_ms = cached.map_or(0.0, |it| f64::from(it.tokens) * PROMPT_TOKEN_MS);
        let performance = &endpoint.performance;
        let work_ms = performance.first_token_ms()
            + performance.token_ms() * f64::from(request.output_tokens);
        let work_ms = performance.has_enough_samples().then_some(work_ms);
        let busy = f64::from(requests) / f64::from(usable);
        let cost = endpoint.price_there * request.request_bytes as f64
            + endpoint.price_back * request.answer_bytes as f64;
        let cost_ms = cost / PRICE_UNIT_BYTES * self.settings.price_weight_ms;
        let others = endpoint.targets.len().saturating_sub(1);
        let sought = if request.tier_rank > 0 { others as f64 * SOUGHT } else { 0.0 };
        Some(Scored { index, requests, work_ms, busy, sought, cost_ms, saved_ms })
    }

    /// Requests an endpoint may have for this one to be sent there. A surplus beyond its slots
    /// keeps it busy while an end is not known here yet; it is for the highest tier that asks for
    /// anything the endpoint serves.
    fn limit(
        &self,
        endpoint: &Endpoint,
        usable: u32,
        request: &Request<'_>,
        surplus: bool,
        now_ms: u64,
    ) -> u32 {
        if usable == 0 || request.rule == DispatchRule::Floor {
            return usable;
        }
        let least_percent = f64::from(self.settings.reserve_percent);
        let reserve = |at: &usize| {
            self.targets[*at].reserve_percent(request.tier_rank, least_percent, now_ms)
        };
        let reserve_percent = endpoint.targets.iter().map(reserve).fold(0.0, f64::max);
        if surplus && reserve_percent == 0.0 {
            return usable + (usable * self.settings.overcommit_percent).div_ceil(100);
        }
        let reserved = (f64::from(usable) * reserve_percent / 100.0).ceil() as u32;
        usable.saturating_sub(reserved).max(1)
    }
}

impl Endpoint {
    fn is_free_of_charge(&self) -> bool {
        self.price_there == 0.0 && self.price_back == 0.0
    }
}

impl Target {
    pub(crate) fn all(&self) -> impl Iterator<Item = EndpointIndex> {
        self.home.iter().chain(&self.remote).copied()
    }
}
