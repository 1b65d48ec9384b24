//! Which endpoint takes a request.
//!
//! Load pattern: a burst of long prompts that share most of their text, over engines that also
//! carry streams with tight pauses. What is read again costs most, so a shared part has one
//! home that all instances find without talking; a home that is late is left for the next in the
//! same order. Streams with tight pauses keep to a part of the engines that long prompts avoid.

use std::{collections::HashMap, net::SocketAddr};

use indexmap::IndexMap;

use crate::{
    Name,
    demand::Demand,
    endpoint::{Distance, Endpoint, EndpointInfo, ServerLoad},
    health::{Health, HealthState},
    heat::Heat,
    load_reports::{EndpointLoad, Load, name_hash},
    parts::{self, Part},
    prefix_affinity::{PrefixAffinity, mix64},
};

/// What reading takes from others, beside the time of the request itself.
const READING_WEIGHT: f64 = 8.0;
/// What each running stream adds to the choice, in milliseconds.
const RUNNING_MS: f64 = 2.0;
/// What a certain failure would cost, in milliseconds.
const FAILURE_MS: f64 = 2_000.0;
/// What each place in the order of a shared part costs, in milliseconds.
const RANK_MS: f64 = 0.5;
/// What a long prompt costs at an engine that is kept for streams with tight pauses, in
/// milliseconds.
const LOUD_AT_QUIET_MS: f64 = 2_500.0;
/// What a stream with tight pauses costs at an engine that reads long prompts, in milliseconds.
const QUIET_AT_LOUD_MS: f64 = 800.0;
/// Decides with the same hash which engines are kept for streams with tight pauses.
const QUIET_ORDER: u64 = 0x0071_7569_6574;
/// Time until a slot of a full engine is free for the next in line, in milliseconds.
const SLOT_MS: f64 = 50.0;
/// How long what other instances told is used, in milliseconds.
const OTHERS_AGE_MS: u64 = 1_500;

/// Figures of a deployment that endpoints do not tell.
#[derive(Clone, Copy, Debug)]
pub struct BalanceSettings {
    /// Prompt tokens that an engine reads in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Time of a plain service for one request before any was seen, in milliseconds.
    pub initial_service_ms: f64,
    /// What sending to another availability zone of the region costs, in milliseconds.
    pub zone_cost_ms: f64,
    /// What sending to another region costs, in milliseconds.
    pub region_cost_ms: f64,
}

/// A request that looks for an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointQuery<'a> {
    /// The service that runs it.
    pub service: &'a Name,
    /// Parts of its prompt; empty for plain services.
    pub parts: &'a [Part],
    /// Endpoints that it was sent to already.
    pub tried: &'a [Name],
    /// Its pauses are too tight for an engine that reads long prompts all the time.
    pub latency_sensitive: bool,
    /// It may be sent again if it fails, so it may try a doubtful endpoint.
    pub may_probe: bool,
    /// Breaks ties; any number that is spread evenly.
    pub random: u64,
}

/// An endpoint for a request.
#[derive(Clone, Debug)]
pub struct SelectedEndpoint {
    /// Its name.
    pub id: Name,
    /// Where to send.
    pub address: SocketAddr,
    /// Expected time to the first byte, in milliseconds.
    pub expected_ms: f64,
    /// Prompt tokens it is expected to read.
    pub prefill_tokens: u32,
    /// The request needs pauses that reading would break.
    pub latency_sensitive: bool,
    /// What was believed of the endpoint.
    pub estimate: EndpointEstimate,
}

/// What was believed of an endpoint when it was chosen.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointEstimate {
    /// Requests there, of all instances.
    pub running: f64,
    /// Prompt tokens that it had to read first, of all instances.
    pub queued_prefill_tokens: f64,
    /// Time by which its last answers were later than expected, in milliseconds.
    pub delay_ms: f64,
    /// Age of what other instances told, in milliseconds; `None` if they told nothing of late.
    pub peer_loads_age_ms: Option<u64>,
    /// Part of its service's engines that was kept for streams with tight pauses.
    pub reserved_share: f64,
    /// It is one of these.
    pub is_reserved: bool,
}

/// How many endpoints are in each state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointCounts {
    /// They take requests.
    pub good: u32,
    /// They get single requests, after failures.
    pub on_probation: u32,
    /// They get nothing for a while, after failures.
    pub paused: u32,
    /// They said that they are leaving.
    pub leaving: u32,
}

/// Why there is no endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoEndpoint {
    /// The service has none.
    NoneServing,
    /// All of them are paused or were tried.
    Exhausted,
}

/// All endpoints and what is believed of them.
#[derive(Clone, Debug)]
pub struct Balancer {
    settings: BalanceSettings,
    endpoints: IndexMap<Name, Endpoint>,
    /// Of this instance, by service.
    demand: HashMap<Name, Demand>,
    /// Of other instances, by service.
    other_demand: HashMap<Name, Load>,
    /// By service.
    heat: HashMap<Name, Heat>,
    /// When other instances' work was last told; `None` before.
    others_ms: Option<u64>,
}

impl Balancer {
    /// Knows no endpoint.
    pub fn new(settings: BalanceSettings) -> Balancer {
        let (endpoints, demand, other_demand, heat) = Default::default();
        Balancer { settings, endpoints, demand, other_demand, heat, others_ms: None }
    }

    /// Work that this instance has in progress.
    pub fn local_loads(&self) -> Vec<EndpointLoad> {
        let busy = self.endpoints.values().filter(|it| it.running > 0);
        let load = |it: &Endpoint| EndpointLoad {
            endpoint: it.hash,
            load: Load { running: it.running, prefill_tokens: it.prefill_tokens as u32 },
        };
        // The demand for a service travels under the hash of the service's name.
        let demand = self.demand.iter().map(|(service, demand)| EndpointLoad {
            endpoint: name_hash(service),
            load: demand.told(),
        });
        busy.map(load).chain(demand).collect()
    }

    /// Takes in the work that all other instances have in progress.
    pub fn set_peer_loads(&mut self, loads: &[EndpointLoad], now_ms: u64) {
        let by_hash: HashMap<u32, Load> = loads.iter().map(|it| (it.endpoint, it.load)).collect();
        for it in self.endpoints.values_mut() {
            it.others = by_hash.get(&it.hash).copied().unwrap_or_default();
        }
        let demand = |service: &Name| by_hash.get(&name_hash(service)).copied();
        let services = self.demand.keys();
        self.other_demand = services.filter_map(|it| Some((it.clone(), demand(it)?))).collect();
        self.others_ms = Some(now_ms);
    }

    /// Work of other instances at an endpoint; guessed from its own while nobody tells.
    fn others(&self, it: &Endpoint, now_ms: u64) -> (f64, f64) {
        if self.peer_loads_age_ms(now_ms).is_some() {
            return (f64::from(it.others.running), f64::from(it.others.prefill_tokens));
        }
        (f64::from(it.running), it.prefill_tokens)
    }

    /// Age of what other instances told, in milliseconds; `None` if it is too old to use.
    pub fn peer_loads_age_ms(&self, now_ms: u64) -> Option<u64> {
        let age_ms = self.others_ms.map(|at| now_ms.saturating_sub(at));
        age_ms.filter(|it| *it < OTHERS_AGE_MS)
    }

    /// Takes in what an endpoint says of itself. Returns whether anything but load changed.
    pub fn upsert(&mut self, facts: EndpointInfo) -> bool {
        let service = facts.service.clone();
        let changed = self.put(facts);
        if changed {
            self.order_quiet(&service);
        }
        changed
    }

    fn put(&mut self, facts: EndpointInfo) -> bool {
        match self.endpoints.get_mut(&facts.id) {
            Some(known) if known.facts == facts => false,
            Some(known) => {
                if known.facts.incarnation != facts.incarnation {
                    *known = Endpoint::new(facts, self.settings.initial_service_ms);
                } else {
                    known.facts = facts;
                }
                true
            }
            None => {
                let endpoint = Endpoint::new(facts, self.settings.initial_service_ms);
                self.endpoints.insert(endpoint.facts.id.clone(), endpoint);
                true
            }
        }
    }

    /// An endpoint is gone. Returns whether it was known.
    pub fn remove(&mut self, id: &str) -> bool {
        let Some(gone) = self.endpoints.shift_remove(id) else { return false };
        self.order_quiet(&gone.facts.service);
        true
    }

    /// Orders the endpoints of a service by how long they are kept for streams.
    fn order_quiet(&mut self, service: &Name) {
        let serves = |it: &&mut Endpoint| it.facts.service == *service && !it.facts.leaving;
        let mut order: Vec<&mut Endpoint> = self.endpoints.values_mut().filter(serves).collect();
        order.sort_by_key(|it| mix64(QUIET_ORDER, it.seed));
        let count = order.len() as f64;
        for (at, it) in order.into_iter().enumerate() {
            it.reservation_order = (at as f64 + 0.5) / count;
        }
    }

    /// The endpoint said that it is leaving.
    pub fn set_leaving(&mut self, id: &str) {
        if let Some(it) = self.endpoints.get_mut(id) {
            it.facts.leaving = true;
        }
    }

    /// Names of all endpoints.
    pub fn ids(&self) -> impl Iterator<Item = &Name> {
        self.endpoints.keys()
    }

    /// How many endpoints there are in each state.
    pub fn endpoint_counts(&self, now_ms: u64) -> EndpointCounts {
        let mut endpoint_counts = EndpointCounts::default();
        for it in self.endpoints.values() {
            let count = match it.health.state(now_ms) {
                _ if it.facts.leaving => &mut endpoint_counts.leaving,
                HealthState::Good => &mut endpoint_counts.good,
                HealthState::Probation => &mut endpoint_counts.on_probation,
                HealthState::Paused => &mut endpoint_counts.paused,
            };
            *count += 1;
        }
        endpoint_counts
    }

    /// Endpoints of a service that take work.
    pub fn serving(&self, service: &str) -> usize {
        let serves = |it: &&Endpoint| &*it.facts.service == service && !it.facts.leaving;
        self.endpoints.values().filter(serves).count()
    }

    /// The endpoint where a request is expected to be answered first.
    ///
    /// # Errors
    /// There is none that may take it.
    pub fn choose(
        &self,
        query: &EndpointQuery<'_>,
        now_ms: u64,
    ) -> Result<SelectedEndpoint, NoEndpoint> {
        let serves = |it: &&Endpoint| it.facts.service == *query.service && !it.facts.leaving;
        let untried: Vec<&Endpoint> = self
            .endpoints
            .values()
            .filter(serves)
            .filter(|it| !query.tried.contains(&it.facts.id))
            .collect();
        if untried.is_empty() {
            return Err(if query.tried.is_empty() {
                NoEndpoint::NoneServing
            } else {
                NoEndpoint::Exhausted
            });
        }
        let allowed = |it: &&&Endpoint| match it.health.state(now_ms) {
            HealthState::Good => true,
            HealthState::Probation => it.running == 0 && query.may_probe,
            HealthState::Paused => false,
        };
        let good: Vec<&Endpoint> = untried.iter().filter(allowed).copied().collect();
        // A request that may not run twice still has to go somewhere.
        let unpaused = |it: &&&Endpoint| it.health.state(now_ms) != HealthState::Paused;
        let candidates =
            if good.is_empty() { untried.iter().filter(unpaused).copied().collect() } else { good };
        let reserved_share = self.reserved_share(query.service, &untried);
        // Streams with tight pauses have their homes among the engines kept for them, long
        // prompts among the others.
        let is_home =
            |it: &&Endpoint| query.latency_sensitive == (it.reservation_order < reserved_share);
        let possible: Vec<&Endpoint> = untried.iter().filter(|it| is_home(it)).copied().collect();
        let homes = self.homes(query, &possible, now_ms);
        let near: Vec<&Endpoint> =
            candidates.iter().filter(|it| homes.allows(it, query.parts)).copied().collect();
        let candidates = if near.is_empty() { candidates } else { near };
        let costs =
            candidates.iter().map(|it| self.cost(it, query, &homes, reserved_share, now_ms));
        let best = costs.min_by(|a, b| a.total_ms.total_cmp(&b.total_ms));
        best.map(|it| it.chosen).ok_or(NoEndpoint::Exhausted)
    }

    fn homes(
        &self,
        query: &EndpointQuery<'_>,
        possible: &[&Endpoint],
        now_ms: u64,
    ) -> PrefixAffinity {
        let part = parts::shared_part(query.parts).map(|it| it.id);
        let heat = self.heat.get(query.service);
        let share = heat.zip(part).map_or(0.0, |(heat, part)| heat.share(part, now_ms));
        PrefixAffinity::new(part, possible, share)
    }

    /// Part of a service's engines that is kept for streams with tight pauses.
    fn reserved_share(&self, service: &Name, endpoints: &[&Endpoint]) -> f64 {
        let demand = self.demand.get(service).filter(|it| it.has_quiet_streams());
        let Some(demand) = demand else { return 0.0 };
        let slots = endpoints.iter().map(|it| it.facts.slots).min().unwrap_or(1);
        let others = self.other_demand.get(service).copied().unwrap_or_default();
        demand.reserved_share(others, slots, self.settings.prefill_tokens_per_ms)
    }

    /// What it costs to mix long prompts with streams with tight pauses.
    fn mixing_ms(it: &Endpoint, query: &EndpointQuery<'_>, reserved_share: f64) -> f64 {
        let is_reserved = it.reservation_order < reserved_share;
        match (query.latency_sensitive, is_reserved) {
            _ if query.parts.is_empty() => 0.0,
            (true, false) => QUIET_AT_LOUD_MS,
            (false, true) => LOUD_AT_QUIET_MS,
            (true, true) | (false, false) => 0.0,
        }
    }

    fn cost(
        &self,
        it: &Endpoint,
        query: &EndpointQuery<'_>,
        homes: &PrefixAffinity,
        reserved_share: f64,
        now_ms: u64,
    ) -> Cost {
        let rank = homes.rank(it);
        let (kept, shared) = (it.kept.kept_tokens(query.parts), parts::shared_tokens(query.parts));
        let kept = if rank < homes.preferred_count { kept.max(shared) } else { kept };
        let prefill_tokens = parts::all_tokens(query.parts).saturating_sub(kept);
        let expected_ms = if query.parts.is_empty() {
            self.plain_ms(it, now_ms)
        } else {
            self.read_ms(it, prefill_tokens, now_ms)
        } + it.delay_ms(now_ms);
        let failure_ms = FAILURE_MS * it.health.failure_rate(now_ms);
        let tie_ms = (mix64(query.random, it.seed) % 1_000) as f64 / 1_000.0;
        let load_ms = RUNNING_MS * it.load(self.others(it, now_ms).0, now_ms);
        let order_ms = RANK_MS * rank.min(8) as f64;
        let expected_ms = expected_ms + self.distance_ms(it.facts.distance) * 0.3;
        let read_ms = f64::from(prefill_tokens) / self.settings.prefill_tokens_per_ms;
        let total_ms = expected_ms
            + READING_WEIGHT * read_ms
            + Balancer::mixing_ms(it, query, reserved_share)
            + self.distance_ms(it.facts.distance) * 0.7
            + failure_ms
            + load_ms
            + order_ms
            + tie_ms;
        let (id, address) = (it.facts.id.clone(), it.facts.address);
        let latency_sensitive = query.latency_sensitive;
        let estimate = self.estimate(it, reserved_share, now_ms);
        let chosen = SelectedEndpoint {
            id,
            address,
            expected_ms,
            prefill_tokens,
            latency_sensitive,
            estimate,
        };
        Cost { total_ms, chosen }
    }

    fn estimate(&self, it: &Endpoint, reserved_share: f64, now_ms: u64) -> EndpointEstimate {
        let (running, prefill_tokens) = self.others(it, now_ms);
        EndpointEstimate {
            running: it.load(running, now_ms),
            queued_prefill_tokens: it.prefill_tokens + prefill_tokens,
            delay_ms: it.delay_ms(now_ms),
            peer_loads_age_ms: self.peer_loads_age_ms(now_ms),
            reserved_share,
            is_reserved: it.reservation_order < reserved_share,
        }
    }

    /// Time until a prompt is read at an engine.
    fn read_ms(&self, it: &Endpoint, prefill_tokens: u32, now_ms: u64) -> f64 {
        let ahead = it.prefill_tokens + self.others(it, now_ms).1;
        let slots = f64::from(it.facts.slots);
        let beyond_slots = (it.load(self.others(it, now_ms).0, now_ms) + 1.0 - slots).max(0.0);
        (ahead + f64::from(prefill_tokens)) / self.settings.prefill_tokens_per_ms
            + beyond_slots * SLOT_MS
    }

    /// Time until a plain request is answered.
    fn plain_ms(&self, it: &Endpoint, now_ms: u64) -> f64 {
        let load = it.load(self.others(it, now_ms).0, now_ms);
        let slots = f64::from(it.facts.slots.max(1));
        it.work_ms * (1.0 + (load / slots).powi(2))
    }

    fn distance_ms(&self, distance: Distance) -> f64 {
        match distance {
            Distance::SameZone => 0.0,
            Distance::SameRegion => self.settings.zone_cost_ms,
            Distance::OtherRegion => self.settings.region_cost_ms,
        }
    }

    /// A caller came with a request for which an endpoint was chosen, whether it is sent or not.
    ///
    /// What is refused counts too: if it did not, engines kept for other streams would not be
    /// given back while it is refused for want of them.
    pub fn record_demand(&mut self, chosen: &SelectedEndpoint, service: &Name, now_ms: u64) {
        let demand = self.demand.entry(service.clone()).or_default();
        demand.reads(chosen.prefill_tokens, now_ms);
    }

    /// A request was sent.
    pub fn record_sent(&mut self, chosen: &SelectedEndpoint, parts: &[Part], now_ms: u64) {
        let Some(it) = self.endpoints.get_mut(&chosen.id) else { return };
        if !parts.is_empty() {
            if let Some(part) = parts::shared_part(parts) {
                let heat = self.heat.entry(it.facts.service.clone()).or_default();
                heat.asked(part.id, now_ms);
            }
            if chosen.latency_sensitive {
                let demand = self.demand.entry(it.facts.service.clone()).or_default();
                demand.quiet_stream(true, now_ms);
            }
        }
        it.running += 1;
        it.prefill_tokens += f64::from(chosen.prefill_tokens);
        it.kept.sent(parts, now_ms);
    }

    /// The first byte of its answer came after `took_ms`, with the endpoint's load.
    pub fn record_first_byte(
        &mut self,
        chosen: &SelectedEndpoint,
        took_ms: f64,
        base_ms: f64,
        report: Option<ServerLoad>,
        now_ms: u64,
    ) {
        let Some(it) = self.endpoints.get_mut(&chosen.id) else { return };
        it.prefill_tokens = (it.prefill_tokens - f64::from(chosen.prefill_tokens)).max(0.0);
        let expected_ms = chosen.expected_ms - it.delay_ms(now_ms) + base_ms;
        it.learn_delay(took_ms - expected_ms, now_ms);
        it.learn_work(took_ms);
        if let Some(report) = report {
            it.report = Some(report);
            it.reported_ms = now_ms;
        }
    }

    /// A request ended before its first byte.
    pub fn record_no_first_byte(&mut self, chosen: &SelectedEndpoint) {
        let Some(it) = self.endpoints.get_mut(&chosen.id) else { return };
        it.prefill_tokens = (it.prefill_tokens - f64::from(chosen.prefill_tokens)).max(0.0);
    }

    /// A request for a service ended, in whatever way.
    pub fn record_ended(&mut self, chosen: &SelectedEndpoint, service: &str, now_ms: u64) {
        if let Some(it) = self.endpoints.get_mut(&chosen.id) {
            it.running = it.running.saturating_sub(1);
        }
        if chosen.latency_sensitive
            && let Some(demand) = self.demand.get_mut(service)
        {
            demand.quiet_stream(false, now_ms);
        }
    }

    /// Evidence about an endpoint's health.
    pub fn health_mut(&mut self, id: &str) -> Option<&mut Health> {
        self.endpoints.get_mut(id).map(|it| &mut it.health)
    }

    /// The endpoint keeps nothing of what it read.
    pub fn clear_cached_parts(&mut self, id: &str) {
        if let Some(it) = self.endpoints.get_mut(id) {
            it.kept.clear();
        }
    }
}

struct Cost {
    total_ms: f64,
    chosen: SelectedEndpoint,
}
