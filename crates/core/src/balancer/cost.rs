//! Cost of running a request at an endpoint, and the time until its first event.

use super::Balancer;
use crate::{
    endpoint::{Distance, Endpoint, EndpointInfo},
    endpoint_limits::Permission,
    engine_speed::ServiceEstimate,
    prefix_affinity::{PrefixAffinity, mix64},
    prompt_part,
    selection::{BalanceSettings, EndpointEstimate, EndpointQuery, SelectedEndpoint},
};

/// Weight of a request's prefill time in its cost, on top of the time itself: prefill delays
/// other requests at the engine.
const PREFILL_WEIGHT: f64 = 8.0;
/// The same where the prefill rate is learned: a learned rate is that of engines that generate tokens
/// meanwhile, about half of what an idle one reaches.
const LEARNED_PREFILL_WEIGHT: f64 = 8.0;
/// Cost of opening a connection besides the time that it takes, in milliseconds: it takes the endpoint's
/// time too.
const CONNECTION_COST_MS: f64 = 5.0;
/// Cost of each request in progress at the endpoint, in milliseconds.
const REQUEST_COST_MS: f64 = 2.0;
/// Cost of a failure that is certain, in milliseconds.
const FAILURE_COST_MS: f64 = 2_000.0;
/// Cost of each place in the rendezvous order of a shared prefix, in milliseconds.
const RANK_COST_MS: f64 = 0.5;
/// Place in that order from which the cost rises no further.
const MAX_COSTED_RANK: usize = 8;
/// Cost of a long prompt at an engine reserved for latency-sensitive streams, in milliseconds.
const PROMPT_AT_RESERVED_COST_MS: f64 = 2_500.0;
/// Cost of a latency-sensitive stream at an engine that is not reserved, in milliseconds.
const STREAM_AT_UNRESERVED_COST_MS: f64 = 800.0;
/// Fraction of the distance cost that is latency, and so part of the expected time.
const DISTANCE_LATENCY_FRACTION: f64 = 0.3;
/// The rest of the distance cost.
const DISTANCE_COST_FRACTION: f64 = 0.7;
/// Time until a full engine frees a slot for the next request in its queue, in milliseconds.
pub(super) const SLOT_WAIT_MS: f64 = 50.0;

/// What the costs of all candidates for a request depend on.
pub(super) struct CostContext {
    pub(super) affinity: PrefixAffinity,
    /// Share of the service's engines that is reserved for latency-sensitive streams.
    pub(super) reserved_share: f64,
    /// Shortest average service time of the candidates, in milliseconds.
    pub(super) shortest_service_ms: f64,
    /// Learned speeds of the service's engines; `None` if they are not learned.
    pub(super) speeds: Option<ServiceEstimate>,
}

/// What it costs to run a request at an endpoint.
pub(super) struct Cost {
    pub(super) total_ms: f64,
    pub(super) selected: SelectedEndpoint,
}

impl Balancer {
    /// Cost of running long prompts and latency-sensitive streams on the same engine.
    pub(super) fn mixing_cost_ms(
        it: &Endpoint,
        query: &EndpointQuery<'_>,
        reserved_share: f64,
    ) -> f64 {
        let is_reserved = it.reservation_position < reserved_share;
        match (query.latency_sensitive, is_reserved) {
            _ if query.parts.is_empty() => 0.0,
            (true, false) => STREAM_AT_UNRESERVED_COST_MS,
            (false, true) => PROMPT_AT_RESERVED_COST_MS,
            (true, true) | (false, false) => 0.0,
        }
    }

    pub(super) fn cost(
        &self,
        it: &Endpoint,
        query: &EndpointQuery<'_>,
        context: &CostContext,
        now_ms: u64,
    ) -> Cost {
        let &CostContext { ref affinity, reserved_share, shortest_service_ms, ref speeds } =
            context;
        let speeds = speeds.as_ref();
        let rank = affinity.rank(it);
        let cached_tokens = it.cached_parts.cached_prefix_tokens(query.parts);
        // A preferred engine is taken to have the shared prefix, since peers send it there too.
        let cached_tokens = if rank < affinity.preferred_count {
            cached_tokens.max(prompt_part::shared_prefix_tokens(query.parts))
        } else {
            cached_tokens
        };
        let prefill_tokens = prompt_part::total_tokens(query.parts).saturating_sub(cached_tokens);
        // Requests are placed by large differences between engines only, and expected times follow small
        // ones too.
        let (placement_ms, expected_ms) = if query.parts.is_empty() {
            let service_ms = self.service_ms(it, shortest_service_ms, now_ms);
            (service_ms, service_ms)
        } else {
            let by_factor = |factor| self.prefill_ms(it, prefill_tokens, speeds, factor, now_ms);
            (by_factor(it.time_factor(now_ms)), by_factor(it.speed.factor()))
        };
        let delay_ms = it.delay_ms(now_ms);
        let failure_ms = FAILURE_COST_MS * it.health.failure_rate(now_ms);
        let time_factor = speeds.map_or(1.0, |_| it.time_factor(now_ms));
        let tie_ms = (mix64(query.random, it.seed) % 1_000) as f64 / 1_000.0;
        let load_ms = REQUEST_COST_MS * it.estimated_requests(self.peer_load(it, now_ms).0, now_ms);
        let rank_ms = RANK_COST_MS * rank.min(MAX_COSTED_RANK) as f64;
        let distance_ms = distance_cost_ms(&self.settings, it.info.distance);
        // A learned round trip is all that the distance costs.
        let (network_ms, distance_ms) = match speeds {
            Some(_) => (self.network_ms(it, query), 0.0),
            None => (distance_ms * DISTANCE_LATENCY_FRACTION, distance_ms),
        };
        let expected_ms = expected_ms + delay_ms + network_ms;
        let prefill_ms =
            time_factor * f64::from(prefill_tokens) / self.prefill_tokens_per_ms(speeds);
        let prefill_weight = speeds.map_or(PREFILL_WEIGHT, |_| LEARNED_PREFILL_WEIGHT);
        let total_ms = placement_ms
            + delay_ms
            + network_ms
            + prefill_weight * prefill_ms
            + Balancer::mixing_cost_ms(it, query, reserved_share)
            + distance_ms * DISTANCE_COST_FRACTION
            + failure_ms
            + load_ms
            + rank_ms
            + tie_ms;
        let EndpointInfo { ref id, address, incarnation, .. } = it.info;
        let latency_sensitive = query.latency_sensitive;
        let estimate = self.estimate(it, context, now_ms);
        let selected = SelectedEndpoint {
            id: id.clone(),
            address,
            software_version: it.info.software_version.clone(),
            incarnation,
            expected_ms,
            prefill_tokens,
            latency_sensitive,
            limit_token_ms: self.limit_token_ms(it, query),
            estimate,
        };
        Cost { total_ms, selected }
    }

    pub(super) fn limit_token_ms(&self, it: &Endpoint, query: &EndpointQuery<'_>) -> Option<u64> {
        match self.limits.permission(&it.info.id, query.unix_ms) {
            Permission::Token(token_ms) => Some(token_ms),
            Permission::Unlimited | Permission::Wait => None,
        }
    }

    pub(super) fn estimate(
        &self,
        it: &Endpoint,
        context: &CostContext,
        now_ms: u64,
    ) -> EndpointEstimate {
        let reserved_share = context.reserved_share;
        let (peer_running, _) = self.peer_load(it, now_ms);
        EndpointEstimate {
            running: it.estimated_requests(peer_running, now_ms),
            queued_prefill_tokens: self.queued_tokens(it, context.speeds.as_ref(), now_ms),
            delay_ms: it.delay_ms(now_ms),
            peer_loads_age_ms: self.peer_loads_age_ms(now_ms),
            reserved_share,
            is_reserved: it.reservation_position < reserved_share,
            speeds: context.speeds,
        }
    }

    /// Time until an engine has prefilled a prompt: what is queued there, the prompt itself, and
    /// the wait for a slot.
    pub(super) fn prefill_ms(
        &self,
        it: &Endpoint,
        prefill_tokens: u32,
        speeds: Option<&ServiceEstimate>,
        time_factor: f64,
        now_ms: u64,
    ) -> f64 {
        let slot_wait_ms =
            speeds.map_or(SLOT_WAIT_MS, |learned| learned.slot_wait_ms(it.info.slots));
        let queued_tokens = self.queued_tokens(it, speeds, now_ms);
        let slots = f64::from(it.info.slots);
        let requests = it.estimated_requests(self.peer_load(it, now_ms).0, now_ms);
        let beyond_slots = (requests + 1.0 - slots).max(0.0);
        let prefill_ms = (queued_tokens + f64::from(prefill_tokens))
            / self.prefill_tokens_per_ms(speeds)
            + beyond_slots * slot_wait_ms;
        // What an engine takes longer than others counts in full, also what an idle one takes.
        let Some(learned) = speeds else { return prefill_ms };
        (prefill_ms * time_factor + learned.idle_first_event_ms * (time_factor - 1.0)).max(0.0)
    }

    /// Prompt tokens that an engine has to prefill before those of a new request. Those of peers were
    /// outstanding when they were told; where its speed is learned, it has prefilled some since.
    fn queued_tokens(&self, it: &Endpoint, speeds: Option<&ServiceEstimate>, now_ms: u64) -> f64 {
        let peer_tokens = self.peer_load(it, now_ms).1;
        let age_ms = self.peer_loads_age_ms(now_ms);
        let Some((learned, age_ms)) = speeds.zip(age_ms) else {
            return it.prefill_tokens + peer_tokens;
        };
        let done_tokens = age_ms as f64 * learned.prefill_tokens_per_ms / it.time_factor(now_ms);
        it.prefill_tokens + (peer_tokens - done_tokens).max(0.0)
    }

    /// Time that the network takes from sending a request to the first byte of its response, in milliseconds:
    /// a round trip, and another one if a connection has to be opened first.
    fn network_ms(&self, it: &Endpoint, query: &EndpointQuery<'_>) -> f64 {
        let round_trip_ms = self.round_trips.round_trip_ms(it.info.distance);
        let is_open = (query.has_connection)(&it.info.id);
        if is_open { round_trip_ms } else { 2.0 * round_trip_ms + CONNECTION_COST_MS }
    }

    pub(super) fn prefill_tokens_per_ms(&self, speeds: Option<&ServiceEstimate>) -> f64 {
        speeds.map_or(self.settings.prefill_tokens_per_ms, |it| it.prefill_tokens_per_ms)
    }

    /// Time until a request without a prompt gets its response; grows with the square of the
    /// endpoint's utilization.
    pub(super) fn service_ms(&self, it: &Endpoint, shortest_ms: f64, now_ms: u64) -> f64 {
        let requests = it.estimated_requests(self.peer_load(it, now_ms).0, now_ms);
        let slots = f64::from(it.info.slots.max(1));
        it.believed_service_ms(shortest_ms, now_ms) * (1.0 + (requests / slots).powi(2))
    }
}

/// Cost of the distance to an endpoint, in milliseconds.
fn distance_cost_ms(settings: &BalanceSettings, distance: Distance) -> f64 {
    match distance {
        Distance::SameZone => 0.0,
        Distance::SameRegion => settings.zone_cost_ms,
        Distance::OtherRegion => settings.region_cost_ms,
    }
}
