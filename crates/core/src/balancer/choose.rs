//! Selects the endpoint with the lowest cost among those that may get a request.

use super::{Balancer, cost::CostContext, is_leaving};
use crate::{
    Name,
    endpoint::Endpoint,
    endpoint_limits::Permission,
    engine_speed::ServiceEstimate,
    health::HealthState,
    prefix_affinity::PrefixAffinity,
    prompt_part,
    selection::{EndpointQuery, NoEndpoint, SelectedEndpoint},
};

/// Prefill time of a shared prefix below which requests need not go to the engines that have it cached,
/// in milliseconds: a round trip to another availability zone takes about as long.
const MIN_AFFINITY_PREFILL_MS: f64 = 10.0;

impl Balancer {
    /// Selects the endpoint with the lowest cost for a request.
    ///
    /// # Errors
    /// No endpoint may take the request.
    pub fn choose(
        &self,
        query: &EndpointQuery<'_>,
        now_ms: u64,
    ) -> Result<SelectedEndpoint, NoEndpoint> {
        let untried = self.untried(query, now_ms)?;
        let candidates = self.candidates(query, &untried, now_ms)?;
        let speeds = self.speeds.service(query.service);
        let reserved_share = self.reserved_share(query.service, &untried, speeds.as_ref());
        // Latency-sensitive streams have their preferred engines among the reserved ones, all
        // other requests among the rest.
        let is_matching =
            |it: &&Endpoint| query.latency_sensitive == (it.reservation_position < reserved_share);
        let matching: Vec<&Endpoint> =
            untried.iter().filter(|it| is_matching(it)).copied().collect();
        let affinity = self.prefix_affinity(query, &matching, speeds.as_ref(), now_ms);
        let near: Vec<&Endpoint> =
            candidates.iter().filter(|it| affinity.allows(it, query.parts)).copied().collect();
        let candidates = if near.is_empty() { candidates } else { near };
        let shortest_service_ms =
            candidates.iter().map(|it| it.service_ms).fold(f64::INFINITY, f64::min);
        let context = CostContext { affinity, reserved_share, shortest_service_ms, speeds };
        let costs = candidates.iter().map(|it| self.cost(it, query, &context, now_ms));
        let best = costs.min_by(|a, b| a.total_ms.total_cmp(&b.total_ms));
        best.map(|it| it.selected).ok_or(NoEndpoint::Exhausted)
    }

    /// Selects an endpoint that the request was sent to before, whatever its health is. `None` if it may
    /// not take the request by its version, what it asked for or its limit, or does not serve any more.
    pub fn choose_again(
        &self,
        query: &EndpointQuery<'_>,
        id: &Name,
        now_ms: u64,
    ) -> Option<SelectedEndpoint> {
        let it = self.endpoints.get(id)?;
        let serves = it.info.service == *query.service && !is_leaving(it, &self.notices);
        let is_version =
            query.software_version.is_none_or(|version| it.info.software_version == *version);
        let is_open = self.endpoint_backoff_ms(it, now_ms) == 0;
        let is_permitted = self.limits.permission(id, query.unix_ms) != Permission::Wait;
        if !(serves && is_version && is_open && is_permitted) {
            return None;
        }
        let speeds = self.speeds.service(query.service);
        let affinity = self.prefix_affinity(query, &[it], speeds.as_ref(), now_ms);
        let shortest_service_ms = it.service_ms;
        let context = CostContext { affinity, reserved_share: 0.0, shortest_service_ms, speeds };
        Some(self.cost(it, query, &context, now_ms).selected)
    }

    /// Endpoints of the service that the request was not sent to yet.
    pub(super) fn untried(
        &self,
        query: &EndpointQuery<'_>,
        now_ms: u64,
    ) -> Result<Vec<&Endpoint>, NoEndpoint> {
        let serves =
            |it: &&Endpoint| it.info.service == *query.service && !is_leaving(it, &self.notices);
        let is_untried = |it: &&Endpoint| !query.tried.contains(&it.info.id);
        let untried: Vec<&Endpoint> =
            self.endpoints.values().filter(serves).filter(is_untried).collect();
        match (untried.is_empty(), query.tried.is_empty()) {
            (false, _) => Ok(untried),
            (true, true) => Err(NoEndpoint::NoneServing),
            (true, false) => Err(self.exhausted(query, now_ms)),
        }
    }

    /// Why none of the endpoints that serve a request may get it.
    pub(super) fn exhausted(&self, query: &EndpointQuery<'_>, now_ms: u64) -> NoEndpoint {
        match self.backoff_ms(query.service, now_ms) {
            Some(ends_in_ms) => NoEndpoint::BackingOff { ends_in_ms },
            None => NoEndpoint::Exhausted,
        }
    }

    /// Those of the endpoints that may get the request by their version, what they asked for, their
    /// limits and health.
    pub(super) fn candidates<'a>(
        &self,
        query: &EndpointQuery<'_>,
        untried: &[&'a Endpoint],
        now_ms: u64,
    ) -> Result<Vec<&'a Endpoint>, NoEndpoint> {
        let of_version = self.of_required_version(query, untried)?;
        let is_open = |it: &&&Endpoint| self.endpoint_backoff_ms(it, now_ms) == 0;
        let is_permitted = |it: &&&Endpoint| {
            self.limits.permission(&it.info.id, query.unix_ms) != Permission::Wait
        };
        let open: Vec<&Endpoint> = of_version.iter().filter(is_open).copied().collect();
        if open.is_empty() {
            return Err(self.exhausted(query, now_ms));
        }
        let permitted: Vec<&Endpoint> = open.iter().filter(is_permitted).copied().collect();
        if permitted.is_empty() {
            return Err(NoEndpoint::Limited);
        }
        let is_healthy = |it: &&&Endpoint| match it.health.state(now_ms) {
            HealthState::Good => true,
            HealthState::Probation => it.running == 0 && query.may_probe,
            HealthState::Paused => false,
        };
        let healthy: Vec<&Endpoint> = permitted.iter().filter(is_healthy).copied().collect();
        if !healthy.is_empty() {
            return Ok(healthy);
        }
        // A request that may not run twice still has to go somewhere: if only endpoints on
        // probation are left, the restrictions above are dropped.
        let is_unpaused = |it: &&&Endpoint| it.health.state(now_ms) != HealthState::Paused;
        Ok(permitted.iter().filter(is_unpaused).copied().collect())
    }

    pub(super) fn prefix_affinity(
        &self,
        query: &EndpointQuery<'_>,
        engines: &[&Endpoint],
        speeds: Option<&ServiceEstimate>,
        now_ms: u64,
    ) -> PrefixAffinity {
        let shared_tokens = f64::from(prompt_part::shared_prefix_tokens(query.parts));
        let is_worthwhile = speeds
            .is_none_or(|it| shared_tokens / it.prefill_tokens_per_ms > MIN_AFFINITY_PREFILL_MS);
        let part = prompt_part::shared_part(query.parts).map(|it| it.id).filter(|_| is_worthwhile);
        let popularity = self.popularity.get(query.service);
        let share = popularity
            .zip(part)
            .map_or(0.0, |(popularity, part)| popularity.request_share(part, now_ms));
        PrefixAffinity::new(part, engines, share)
    }

    /// Share of a service's engines that is reserved for latency-sensitive streams; 0 if
    /// this instance has had none for a while.
    pub(super) fn reserved_share(
        &self,
        service: &Name,
        endpoints: &[&Endpoint],
        speeds: Option<&ServiceEstimate>,
    ) -> f64 {
        let demand = self.demand.get(service).filter(|it| it.has_latency_sensitive_streams());
        let Some(demand) = demand else { return 0.0 };
        let slots = endpoints.iter().map(|it| it.info.slots).min().unwrap_or(1);
        let peers = self.peer_demand.get(service).copied().unwrap_or_default();
        match speeds {
            Some(_) => demand.needed_share(peers, slots, endpoints.len()),
            None => demand.reserved_share(peers, slots, self.settings.prefill_tokens_per_ms),
        }
    }
}
