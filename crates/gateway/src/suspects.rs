//! Requests that crash endpoints: what this path notes of them, and when it refuses them.

use tanagergauge_core::{Name, quarantine::QuarantineSettings, send_history::Failure};

use crate::{clock, gateway::Gateway, request::Request};

/// Endpoints that a request may crash before it is refused; the platform allows three.
const LOSS_LIMIT: usize = 3;
/// How long a crash counts against a request, in milliseconds.
const MEMORY_MS: u64 = 600_000;

/// Settings of the quarantine on this path. Nothing is tried alone, so nobody waits for a trial.
pub(crate) fn settings() -> QuarantineSettings {
    QuarantineSettings { memory_ms: MEMORY_MS, settle_ms: 0, loss_limit: LOSS_LIMIT }
}

/// Whether a request crashed too many endpoints to run again.
pub(crate) fn is_quarantined(gateway: &Gateway, request: &Request) -> bool {
    let suspects = gateway.suspects();
    !suspects.is_empty() && suspects.is_quarantined(request.fingerprint(), clock::unix_ms())
}

/// Notes a sending that failed.
pub(crate) fn failed(gateway: &Gateway, request: &Request, endpoint: &Name, failure: Failure) {
    match failure {
        Failure::Broke => {
            gateway.suspects().record_interrupted(
                endpoint,
                request.fingerprint(),
                clock::unix_ms(),
            );
        }
        Failure::Unreachable => lost(gateway, endpoint),
        Failure::Refused
        | Failure::Replaced
        | Failure::Silent
        | Failure::BadAnswer
        | Failure::Failed => {}
    }
}

/// Notes that an endpoint is gone.
pub(crate) fn lost(gateway: &Gateway, endpoint: &Name) {
    let requests = gateway.suspects().record_endpoint_loss(endpoint, clock::unix_ms());
    if requests > 0 {
        tracing::info!(%endpoint, requests, "endpoint was lost with requests in progress");
    }
}

/// Notes a request that ran whole.
pub(crate) fn ran(gateway: &Gateway, request: &Request) {
    let mut suspects = gateway.suspects();
    if !suspects.is_empty() {
        suspects.record_completed(request.fingerprint(), clock::unix_ms());
    }
}
