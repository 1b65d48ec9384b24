//! Asks for the end of a stream whose latest endpoint has sent it without framing, so that it may be whole or
//! not, although the caller was promised to be told.
//!
//! Where the route allows no further endpoint, one that had the stream before and was only silent is asked
//! again after the last event: it sends what is left, if anything, and its framing shows the end. That is no
//! further endpoint, and the stream goes on at one endpoint at a time.

use tanagergauge_core::{
    Name, body_end::Framing, selection::SelectedEndpoint, send_history::Failure,
};

use crate::{
    clock, gateway::Gateway, meters, progress::RequestProgress, request::Request,
    retry::endpoint_query,
};

/// Whether a stream may go on with a response in place of its silent endpoint, which is still connected. If
/// the response will not show its end, the silent endpoint and a retry are secured to ask for that.
pub(crate) fn is_secured(
    gateway: &Gateway,
    request: &Request,
    progress: &mut RequestProgress,
    framing: Framing,
) -> bool {
    let caller_is_told_end = progress.caller_framing.is_none_or(Framing::shows_end);
    if framing.shows_end() || !caller_is_told_end || progress.holds_end_retry {
        return true;
    }
    progress.holds_end_retry = find_silent(gateway, request, progress).is_some()
        && gateway.budgets().try_acquire(&request.service, clock::now_ms());
    progress.holds_end_retry
}

/// Secures an endpoint and a retry to ask for the end of a stream, which its next attempt takes. Returns false
/// if the latest attempt did not leave the end open, or nobody can be asked.
pub(crate) fn try_ask(
    gateway: &Gateway,
    request: &Request,
    progress: &mut RequestProgress,
) -> bool {
    if progress.last_failure != Some(Failure::EndUnknown) {
        return false;
    }
    let Some(chosen) = find_silent(gateway, request, progress) else { return false };
    let holds_retry = std::mem::take(&mut progress.holds_end_retry);
    if !holds_retry && !gateway.budgets().try_acquire(&request.service, clock::now_ms()) {
        return false;
    }
    meters::retry(Failure::EndUnknown);
    progress.preselected = Some(take_silent(request, progress, chosen));
    true
}

/// Chooses a silent endpoint to ask for the end of a stream, after the retry was allowed and no other
/// endpoint was found for it.
pub(crate) fn choose_again(
    gateway: &Gateway,
    request: &Request,
    progress: &mut RequestProgress,
) -> Option<SelectedEndpoint> {
    if progress.last_failure != Some(Failure::EndUnknown) {
        return None;
    }
    let chosen = find_silent(gateway, request, progress)?;
    Some(take_silent(request, progress, chosen))
}

/// The latest of the endpoints that were silent which may get the request again.
fn find_silent(
    gateway: &Gateway,
    request: &Request,
    progress: &RequestProgress,
) -> Option<SelectedEndpoint> {
    let retryable = request.route.retry_safety.allows_resend();
    let has_connection = |it: &Name| gateway.pool.has_fresh(it, retryable);
    let version = progress.required_version.as_ref();
    let query = endpoint_query(request, &[], version, &has_connection);
    let (balancer, now_ms) = (gateway.balancer(), clock::now_ms());
    progress.silent.iter().rev().find_map(|it| balancer.choose_again(&query, it, now_ms))
}

/// Each endpoint is asked once.
fn take_silent(
    request: &Request,
    progress: &mut RequestProgress,
    chosen: SelectedEndpoint,
) -> SelectedEndpoint {
    progress.silent.retain(|it| *it != chosen.id);
    tracing::info!(
        request = %request.id,
        endpoint = %chosen.id,
        software_version = %chosen.software_version,
        "a silent endpoint is asked for the end of the stream"
    );
    chosen
}
