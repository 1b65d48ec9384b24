//! Quarantine of requests and prompt parts that crash endpoints: records failures and decides which
//! requests are refused.

use tanagergauge_core::{
    Name, quarantine::QuarantineSettings, send_history::Failure, suspects::QuarantineCause,
};

use crate::{clock, gateway::Gateway, request::Request};

/// Number of distinct endpoints lost at which a request is refused; the platform allows three.
const LOSS_LIMIT: usize = 3;
/// Number of crashes at which requests with a part of a prompt are refused; the platform allows
/// five.
const PART_LOSS_LIMIT: usize = 3;
/// How long a crash counts against a request or part, in milliseconds.
const RETENTION_MS: u64 = 600_000;

/// Settings of the quarantine. `announce_ms` is 0 because the gateway runs no isolated trials that
/// a request would have to wait for.
pub(crate) fn settings() -> QuarantineSettings {
    QuarantineSettings {
        retention_ms: RETENTION_MS,
        announce_ms: 0,
        loss_limit: LOSS_LIMIT,
        part_loss_limit: PART_LOSS_LIMIT,
    }
}

/// Whether a request, or a part of its prompt, crashed too many endpoints to run again.
pub(crate) fn is_quarantined(gateway: &Gateway, request: &Request) -> bool {
    let cause = {
        let suspects = gateway.suspects();
        if suspects.is_empty() {
            return false;
        }
        suspects.quarantine_cause(&request.fingerprints(), clock::unix_ms())
    };
    let part = match cause {
        None => return false,
        Some(QuarantineCause::Request) => None,
        Some(QuarantineCause::Part(index)) => request.parts.get(index),
    };
    let part = part.map(|it| format!("{:x}", it.id));
    tracing::info!(request = %request.id, route = %request.route.name, part, "request is quarantined");
    true
}

/// Records a failed attempt; only failures that hint at a crash count.
pub(crate) fn record_failure(
    gateway: &Gateway,
    request: &Request,
    endpoint: &Name,
    failure: Failure,
) {
    match failure {
        Failure::Broke => {
            let Some(process) = serving_process(gateway, endpoint) else { return };
            let (now_ms, unix_ms) = (clock::now_ms(), clock::unix_ms());
            let request = request.fingerprints();
            gateway.suspects().record_interrupted(&process, request, now_ms, unix_ms);
        }
        Failure::Unreachable => record_endpoint_lost(gateway, endpoint),
        Failure::Refused
        | Failure::Replaced
        | Failure::Silent
        | Failure::BadAnswer
        | Failure::Failed
        | Failure::EndUnknown
        | Failure::Leaving
        | Failure::Superseded
        | Failure::Unproven => {}
    }
}

/// Records that an endpoint's process is gone, which counts against the requests that broke off
/// there shortly before. Call it while the list still has the endpoint.
pub(crate) fn record_endpoint_lost(gateway: &Gateway, endpoint: &Name) {
    let Some(process) = serving_process(gateway, endpoint) else { return };
    let loss = gateway.suspects().record_endpoint_loss(&process, clock::now_ms());
    if loss.interrupted > 0 {
        tracing::info!(
            %endpoint,
            requests = loss.interrupted,
            most_losses = loss.most_losses,
            "endpoint was lost with requests in progress"
        );
    }
}

/// Names the running process of an endpoint, which may start again under the endpoint's name.
/// `None` if the endpoint left the list or is about to stop: its end is no crash.
fn serving_process(gateway: &Gateway, endpoint: &Name) -> Option<Name> {
    let balancer = gateway.balancer();
    let info = balancer.serving_info(endpoint)?;
    Some(Name::from(format!("{endpoint}@{}", info.incarnation)))
}

/// Records that a request ran to completion.
pub(crate) fn record_success(gateway: &Gateway, request: &Request) {
    let mut suspects = gateway.suspects();
    if !suspects.is_empty() {
        suspects.record_completed(&request.fingerprints(), clock::unix_ms());
    }
}
