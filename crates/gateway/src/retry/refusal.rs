//! Refusals of requests that are not sent again.

use tanagergauge_core::{Reason, send_history::Failure};

use crate::{
    clock,
    gateway::Gateway,
    progress::{RequestProgress, SHORT_RETRY_MS},
    request::Request,
    response::Refusal,
};

/// Longest time that callers are told to wait, in milliseconds. Endpoints that asked for longer may
/// have started anew by then.
pub(super) const MAX_RETRY_AFTER_MS: u64 = 3_600_000;

/// The refusal of a request whose deadline has passed.
pub(super) fn deadline_refusal(progress: &RequestProgress) -> Refusal {
    if progress.send_history.may_have_run > 0 {
        return Refusal::unknown(Reason::EndpointTimeout);
    }
    Refusal::not_run(Reason::DeadlinePassed)
}

/// The refusal of a request that may not be retried any more.
pub(super) fn exhausted_refusal(
    gateway: &Gateway,
    request: &Request,
    progress: &RequestProgress,
) -> Refusal {
    let reason = match progress.last_failure {
        Some(Failure::Unreachable) => Reason::ConnectFailed,
        Some(Failure::Refused | Failure::Replaced) => Reason::EndpointRefused,
        Some(Failure::Silent | Failure::Superseded) => Reason::EndpointTimeout,
        Some(Failure::BadAnswer) => Reason::BadAnswer,
        Some(Failure::Broke | Failure::Failed | Failure::EndUnknown | Failure::Leaving) => {
            Reason::EndpointBroke
        }
        Some(Failure::Unproven) => Reason::VersionUnproven,
        None => Reason::NoEndpoint,
    };
    if progress.send_history.may_have_run > 0 {
        return Refusal::unknown(reason);
    }
    let backoff_ms = gateway.balancer().backoff_ms(&request.service, clock::now_ms());
    let after_ms = backoff_ms.map_or(SHORT_RETRY_MS, |it| it.min(MAX_RETRY_AFTER_MS));
    Refusal::not_run(reason).retry_after_ms(after_ms)
}
