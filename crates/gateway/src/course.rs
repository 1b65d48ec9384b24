//! What a request has behind it, and how its end is told.

use smallvec::SmallVec;
use tanagergauge_core::{
    Name, Outcome, Reason,
    admission_controller::AdmissionDecision,
    balancer::SelectedEndpoint,
    send_history::{Failure, SendHistory},
};

use crate::{clock, meters, request::Request};

/// When a caller may come again after a refusal that will pass soon, in milliseconds.
pub(crate) const SHORT_RETRY_MS: u64 = 400;

/// How the gate decided, and on what.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GateRecord {
    pub(crate) decision: AdmissionDecision,
    pub(crate) returned: bool,
}

/// What a request has behind it.
#[derive(Debug, Default)]
pub(crate) struct Course {
    pub(crate) sendings: SendHistory,
    pub(crate) tried: SmallVec<[Name; 2]>,
    /// The endpoint that was chosen when the request was let in; taken by its first sending.
    pub(crate) ahead: Option<SelectedEndpoint>,
    /// The endpoint that was chosen last, and what was expected of it.
    pub(crate) last: Option<SelectedEndpoint>,
    /// How the gate decided; `None` if the request did not come to one.
    pub(crate) gate: Option<GateRecord>,
    /// Age of the list of endpoints at the last choice, in milliseconds.
    pub(crate) list_age_ms: u64,
    /// How the last sending failed.
    pub(crate) failure: Option<Failure>,
    pub(crate) first_byte_ms: Option<u64>,
}
impl Course {
    /// Notes a sending that failed.
    pub(crate) fn failed(&mut self, request: &Request, endpoint: &Name, failure: Failure) {
        meters::failure(failure);
        tracing::info!(
            request = %request.id,
            route = %request.route.name,
            %endpoint,
            %failure,
            expected_ms = self.last.as_ref().map(|it| it.expected_ms as u64),
            at_ms = clock::elapsed_ms(request.arrived),
            left_ms = clock::as_ms(request.left()),
            list_age_ms = self.list_age_ms,
            "sending failed"
        );
        self.sendings.record_failure(failure);
        self.failure = Some(failure);
        self.tried.push(endpoint.clone());
    }

    /// Logs and counts how a request ended.
    pub(crate) fn report(
        &self,
        request: &Request,
        outcome: Outcome,
        reason: Option<Reason>,
        resumed: u32,
    ) {
        let took = request.arrived.elapsed();
        let belief = self.last.as_ref().map(|it| it.estimate);
        meters::outcome(&request.route.name, outcome, took);
        if let Some(reason) = reason {
            meters::refusal(reason);
        }
        tracing::info!(
            request = %request.id,
            route = %request.route.name,
            account = request.account.as_ref().map(|it| &*it.name),
            %outcome,
            reason = reason.map(<&str>::from),
            endpoint = self.last.as_ref().map(|it| &*it.id),
            expected_ms = self.last.as_ref().map(|it| it.expected_ms as u64),
            unread_tokens = self.last.as_ref().map(|it| it.prefill_tokens),
            running = belief.map(|it| it.running as u64),
            ahead_tokens = belief.map(|it| it.queued_prefill_tokens as u64),
            delay_ms = belief.map(|it| it.delay_ms as u64),
            others_age_ms = belief.and_then(|it| it.peer_loads_age_ms),
            quiet_percent = belief.map(|it| (it.reserved_share * 100.0) as u64),
            is_quiet = belief.map(|it| it.is_reserved),
            returned = self.gate.map(|it| it.returned),
            took_percent = self.gate.map(|it| (it.decision.wait_ratio * 100.0) as u64),
            refused_percent = self.gate.map(|it| (it.decision.refusal_probability * 100.0) as u64),
            first_byte_ms = self.first_byte_ms,
            allowed_ms = clock::as_ms(request.until.duration_since(request.arrived)),
            took_ms = clock::as_ms(took),
            may_have_run = self.sendings.may_have_run,
            arrived = self.sendings.reached,
            unreachable = self.sendings.unreachable,
            last_failure = self.failure.map(<&str>::from),
            resumed,
            version = request.version,
            list_age_ms = self.list_age_ms,
            "request ended"
        );
    }
}
