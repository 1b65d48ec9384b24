//! Selects the endpoint of the next attempt.

use std::sync::Arc;

use tanagergauge_core::{
    Name, Reason,
    selection::{EndpointQuery, NoEndpoint, SelectedEndpoint},
};
use tokio::time::Instant;

use super::{
    LOG_TARGET,
    refusal::{MAX_RETRY_AFTER_MS, exhausted_refusal},
};
use crate::{
    clock,
    gateway::Gateway,
    process_proof,
    progress::{RequestProgress, SHORT_RETRY_MS},
    request::{Request, uniform_hash},
    response::Refusal,
    stream_end,
};

/// Chooses an endpoint for the next attempt. A stream that goes on waits for one whose process is proven.
///
/// # Errors
/// No endpoint is available.
pub(crate) async fn choose_endpoint(
    gateway: &Arc<Gateway>,
    request: &Request,
    progress: &mut RequestProgress,
) -> Result<SelectedEndpoint, Refusal> {
    progress.list_age_ms = gateway.endpoints_age_ms().unwrap_or(u64::MAX);
    let chosen = select_proven(gateway, request, progress).await;
    let chosen =
        chosen.or_else(|it| stream_end::choose_again(gateway, request, progress).ok_or(it));
    if let (Err(error), Some(failure)) = (&chosen, progress.last_failure) {
        let software_version = progress.required_version.as_deref();
        tracing::info!(target: LOG_TARGET, request = %request.id, %failure, decision = %error, software_version, "request is not sent again");
    }
    chosen.map_err(|error| match error {
        _ if progress.send_history.may_have_run > 0 => {
            exhausted_refusal(gateway, request, progress)
        }
        NoEndpoint::NoneOfVersion => Refusal::not_run(Reason::VersionGone),
        NoEndpoint::Unproven => {
            Refusal::not_run(Reason::VersionUnproven).retry_after_ms(SHORT_RETRY_MS)
        }
        NoEndpoint::NoneServing | NoEndpoint::Exhausted => {
            Refusal::not_run(Reason::NoEndpoint).retry_after_ms(SHORT_RETRY_MS)
        }
        NoEndpoint::BackingOff { ends_in_ms } => Refusal::not_run(Reason::EndpointBackoff)
            .retry_after_ms(ends_in_ms.min(MAX_RETRY_AFTER_MS)),
        NoEndpoint::Limited => {
            Refusal::not_run(Reason::EndpointLimit).retry_after_ms(SHORT_RETRY_MS)
        }
    })
}

/// Selects an endpoint for the next attempt. While none of the required software version is proven, it
/// looks for proof for a short time.
pub(super) async fn select_proven(
    gateway: &Arc<Gateway>,
    request: &Request,
    progress: &RequestProgress,
) -> Result<SelectedEndpoint, NoEndpoint> {
    let version = progress.required_version.as_ref();
    let wait_end = process_proof::wait_end(request);
    loop {
        match (select_endpoint(gateway, request, &progress.tried, version), version) {
            (Err(NoEndpoint::Unproven), Some(version)) if Instant::now() < wait_end => {
                let unproven = gateway.balancer().unproven(&request.service, version);
                process_proof::search_at_once(gateway, unproven).await;
            }
            (selected, _) => return selected,
        }
    }
}

/// Selects an endpoint other than those `tried`, of a software version if one is required.
pub(super) fn select_endpoint(
    gateway: &Gateway,
    request: &Request,
    tried: &[Name],
    software_version: Option<&Name>,
) -> Result<SelectedEndpoint, NoEndpoint> {
    let retryable = request.route.retry_safety.allows_resend();
    let has_connection = |it: &Name| gateway.pool.has_fresh(it, retryable);
    let query = endpoint_query(request, tried, software_version, &has_connection);
    gateway.balancer().choose(&query, clock::now_ms())
}

/// What the selection of an endpoint for a request depends on.
pub(crate) fn endpoint_query<'a>(
    request: &'a Request,
    tried: &'a [Name],
    software_version: Option<&'a Name>,
    has_connection: &'a dyn Fn(&Name) -> bool,
) -> EndpointQuery<'a> {
    EndpointQuery {
        service: &request.service,
        parts: &request.parts,
        tried,
        software_version,
        latency_sensitive: request.latency_sensitive,
        may_probe: request.route.retry_safety.allows_resend(),
        has_connection,
        random: uniform_hash(&request.id),
        unix_ms: clock::unix_ms(),
    }
}
