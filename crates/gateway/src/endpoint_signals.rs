//! What an endpoint says of itself in the head of a response: its limit, that it leaves, and that it asks
//! for time.

use hyper::{StatusCode, http::response};
use tanagergauge_core::{Name, endpoint_limits::NamedLimit, selection::SelectedEndpoint};

use crate::{clock, gateway::Gateway, upstream_response};

/// Log target that deployed log filters select; it is independent of the module path.
const LOG_TARGET: &str = "tanagergauge_gateway::attempt";

/// Records the limit that the endpoint named in a response, or that it named none. Refusals and
/// errors need not name it, and a misdirected request was answered by another endpoint. One that can't
/// be read ends no limit.
pub(crate) fn record_limit(gateway: &Gateway, endpoint: &Name, head: &response::Parts) {
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    let (now_ms, unix_ms) = (clock::now_ms(), clock::unix_ms());
    let limit = match upstream_response::request_limit(
        &head.headers,
        &gateway.header_names.request_limit,
    ) {
        NamedLimit::RequestsPerS(limit) => Some(limit),
        NamedLimit::None if head.status.is_success() => None,
        NamedLimit::None => return,
        NamedLimit::Unreadable => {
            tracing::debug!(target: LOG_TARGET, %endpoint, "limit of an endpoint cannot be read");
            gateway.balancer().limits_mut().keep(endpoint, now_ms);
            return;
        }
    };
    let changed = gateway.balancer().limits_mut().record_response(endpoint, limit, now_ms, unix_ms);
    if changed {
        tracing::info!(target: LOG_TARGET, %endpoint, requests_per_s = limit, "endpoint changed its limit");
    }
}

/// Records that the endpoint said that it is about to stop.
pub(crate) fn record_leaving(gateway: &Gateway, chosen: &SelectedEndpoint, head: &response::Parts) {
    if !upstream_response::is_leaving(head, &gateway.header_names.leaving) {
        return;
    }
    if gateway.balancer().record_leaving(chosen, clock::now_ms()) {
        tracing::info!(target: LOG_TARGET, endpoint = %chosen.id, "endpoint says that it leaves");
    }
}

/// Records that the endpoint wants no more requests for a time.
pub(crate) fn record_backoff(gateway: &Gateway, chosen: &SelectedEndpoint, head: &response::Parts) {
    let Some(backoff_ms) = upstream_response::backoff_ms(head) else { return };
    // The current time is rounded down.
    let duration_ms = backoff_ms.saturating_add(1);
    if gateway.balancer().record_backoff(chosen, duration_ms, clock::now_ms()) {
        tracing::info!(target: LOG_TARGET, endpoint = %chosen.id, backoff_ms, "endpoint asks for time");
    }
}
