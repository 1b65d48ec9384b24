//! What the balancer is asked, and what it answers.

use std::net::SocketAddr;

use crate::{
    Name,
    engine_speed::{LearnSpeeds, ServiceEstimate},
    prompt_part::PromptPart,
};

/// Settings of a deployment that endpoints do not announce.
#[derive(Clone, Copy, Debug)]
pub struct BalanceSettings {
    /// Prefill speed of an engine, in prompt tokens per millisecond; where speeds are learned, only
    /// before the first samples.
    pub prefill_tokens_per_ms: f64,
    /// Assumed time of a request without a prompt before any was measured, in milliseconds.
    pub initial_service_ms: f64,
    /// Cost of sending to another availability zone of the region, in milliseconds.
    pub zone_cost_ms: f64,
    /// Cost of sending to another region, in milliseconds.
    pub region_cost_ms: f64,
    /// For which services the speeds of engines are learned.
    pub learn_speeds: LearnSpeeds,
}

/// What the selection of an endpoint depends on.
#[derive(Clone)]
pub struct EndpointQuery<'a> {
    /// The service that runs the request.
    pub service: &'a Name,
    /// Parts of the prompt; empty for services that run no model.
    pub parts: &'a [PromptPart],
    /// Endpoints that the request was sent to before; they are not selected again.
    pub tried: &'a [Name],
    /// Version of the software that has to run the request; `None` if any may.
    pub software_version: Option<&'a Name>,
    /// The request is a stream whose event gap goal an engine in constant prefill would miss.
    pub latency_sensitive: bool,
    /// The request may run twice, so it may go to an endpoint on probation.
    pub may_probe: bool,
    /// Whether an idle connection to an endpoint can carry the request.
    pub has_connection: &'a dyn Fn(&Name) -> bool,
    /// Uniform random number that breaks ties.
    pub random: u64,
    /// Unix time in milliseconds, by which instances divide the limits that endpoints named.
    pub unix_ms: u64,
}

/// An endpoint that was selected for a request.
#[derive(Clone, Debug)]
pub struct SelectedEndpoint {
    /// Its name.
    pub id: Name,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Version of its software when it was selected.
    pub software_version: Name,
    /// When its process started, in milliseconds of Unix time; 0 if that is not known.
    pub incarnation: u64,
    /// Expected time to the first byte, in milliseconds.
    pub expected_ms: f64,
    /// Prompt tokens that it is expected to prefill, because it has not cached them.
    pub prefill_tokens: u32,
    /// Copied from [`EndpointQuery::latency_sensitive`].
    pub latency_sensitive: bool,
    /// Token of the endpoint's limit that the request uses; `None` if there is no limit.
    pub limit_token_ms: Option<u64>,
    /// The figures behind the selection, for the log.
    pub estimate: EndpointEstimate,
}

/// Estimated state of an endpoint when it was selected.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointEstimate {
    /// Requests of all instances there.
    pub running: f64,
    /// Prompt tokens of all instances' requests that it has to prefill first.
    pub queued_prefill_tokens: f64,
    /// By how much its recent responses were later than expected, in milliseconds.
    pub delay_ms: f64,
    /// Age of the loads that peers reported, in milliseconds; `None` if they are too old to use.
    pub peer_loads_age_ms: Option<u64>,
    /// Share of the service's engines that was reserved for latency-sensitive streams.
    pub reserved_share: f64,
    /// The endpoint is one of the reserved engines.
    pub is_reserved: bool,
    /// Learned speeds of the service's engines; `None` if they are not learned.
    pub speeds: Option<ServiceEstimate>,
}

/// Number of endpoints in each state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointCounts {
    /// Accept requests without restriction.
    pub good: u32,
    /// Get one request at a time after failures.
    pub on_probation: u32,
    /// Get no requests for a while after failures.
    pub paused: u32,
    /// Announced that they are about to stop, in their entries or in a response.
    pub leaving: u32,
}

/// Why no endpoint was selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum NoEndpoint {
    /// The service has no endpoints, or all of them are leaving.
    NoneServing,
    /// All endpoints are paused or were tried.
    Exhausted,
    /// Endpoints serve, but none of the required software version.
    NoneOfVersion,
    /// Endpoints of the required software version serve, but another process may have taken the place
    /// of each.
    Unproven,
    /// All endpoints that serve the request have asked for time.
    BackingOff {
        /// Milliseconds until the first of them takes requests again.
        ends_in_ms: u64,
    },
    /// The endpoints that are left have named limits, and this instance's share is used up.
    Limited,
}
