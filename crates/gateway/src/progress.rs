//! Progress of one request through its attempts, and the log lines that report it.

use std::sync::Arc;

use smallvec::SmallVec;
use tanagergauge_core::{
    Name, Outcome, Reason,
    admission_controller::AdmissionDecision,
    body_end::{BodyEnd, Framing},
    prompt_part,
    selection::SelectedEndpoint,
    send_history::{Failure, SendHistory},
};

use tokio::sync::Notify;

use crate::{attempt, clock, meters, request::Request, take_up::VersionSource};

/// Log target that deployed log filters select; it is independent of the module path.
const LOG_TARGET: &str = "tanagergauge_gateway::course";
/// Suggested retry delay after a refusal whose cause is likely to pass soon, in milliseconds.
pub(crate) const SHORT_RETRY_MS: u64 = 400;

/// Admission decision and its inputs, for the log.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdmissionRecord {
    pub(crate) decision: AdmissionDecision,
    pub(crate) is_retry: bool,
}

/// What has happened to a request so far.
#[derive(Debug, Default)]
pub(crate) struct RequestProgress {
    pub(crate) send_history: SendHistory,
    /// Endpoints of failed attempts.
    pub(crate) tried: SmallVec<[Name; 2]>,
    /// Endpoints that were silent and whose request was moved to another one.
    pub(crate) silent: SmallVec<[Name; 2]>,
    /// Version of the software that has to continue the stream; `None` if any may begin it.
    pub(crate) required_version: Option<Name>,
    /// How it is known which version that is; `None` if the caller takes up no stream.
    pub(crate) version_source: Option<VersionSource>,
    /// Endpoint for the next attempt, chosen at admission or in place of a silent one.
    pub(crate) preselected: Option<SelectedEndpoint>,
    /// The next attempt has been granted and taken from the retry budget.
    pub(crate) holds_retry: bool,
    /// A retry was taken from the retry budget to ask for the end of the stream.
    pub(crate) holds_end_retry: bool,
    /// Notified when an endpoint has begun a success response.
    pub(crate) begun: Arc<Notify>,
    /// The latest choice of an endpoint.
    pub(crate) last_choice: Option<SelectedEndpoint>,
    /// `None` if the request did not go through admission control.
    pub(crate) admission: Option<AdmissionRecord>,
    /// Age of the list of endpoints at the latest choice, in milliseconds.
    pub(crate) list_age_ms: u64,
    /// Failure of the latest attempt; `None` if none has failed.
    pub(crate) last_failure: Option<Failure>,
    /// Time from the request's arrival to the first byte of a response, in milliseconds.
    pub(crate) first_byte_ms: Option<u64>,
    /// How the latest endpoint framed its response; `None` if there was no valid one.
    pub(crate) upstream_framing: Option<Framing>,
    /// Whether that response is a stream of events; `None` on other routes and before its first byte.
    pub(crate) is_event_stream: Option<bool>,
    /// What is known of the end of the response that is delivered; `None` if it failed.
    pub(crate) upstream_end: Option<BodyEnd>,
    /// How the response to the caller is framed.
    pub(crate) caller_framing: Option<Framing>,
}

impl RequestProgress {
    /// Records how an endpoint framed its response, or that an attempt had none.
    pub(crate) fn set_framing(&mut self, framing: Option<Framing>) {
        self.upstream_framing = framing;
        self.is_event_stream = None;
    }

    /// Records and logs a failed attempt.
    pub(crate) fn attempt_failed(&mut self, request: &Request, endpoint: &Name, failure: Failure) {
        meters::attempt_failed(failure);
        tracing::info!(
            target: LOG_TARGET,
            request = %request.id,
            route = %request.route.name,
            %endpoint,
            %failure,
            software_version = self.last_choice.as_ref().map(|it| &*it.software_version),
            incarnation = self.last_choice.as_ref().map(|it| it.incarnation),
            expected_ms = self.last_choice.as_ref().map(|it| it.expected_ms as u64),
            at_ms = clock::elapsed_ms(request.arrived),
            left_ms = clock::as_ms(request.time_left()),
            list_age_ms = self.list_age_ms,
            event_stream = self.is_event_stream,
            upstream_framing = self.upstream_framing.map(<&str>::from),
            // A request that crashes endpoints may share only one of them with other such requests.
            parts = (failure == Failure::Broke).then(|| prompt_part::format_ids(&request.parts)),
            "sending failed"
        );
        self.send_history.record_failure(failure);
        self.last_failure = Some(failure);
        // Nothing was sent, and the endpoint may be proven soon.
        if failure != Failure::Unproven {
            self.tried.push(endpoint.clone());
        }
        if failure == Failure::Silent {
            self.silent.push(endpoint.clone());
        }
    }

    /// Begins to watch for the next endpoint that begins a success response.
    pub(crate) fn watch_begun(&mut self) -> Arc<Notify> {
        self.begun = Arc::default();
        Arc::clone(&self.begun)
    }

    /// Records that the attempt in progress, if there is one, is not needed any more.
    pub(crate) fn attempt_superseded(&mut self, request: &Request) {
        let Some(chosen) = self.last_choice.clone() else { return };
        if !self.tried.contains(&chosen.id) {
            self.attempt_failed(request, &chosen.id, Failure::Superseded);
        }
    }

    /// Takes back a failed attempt: its endpoint has not been told to stop and may go on.
    pub(crate) fn attempt_goes_on(&mut self, endpoint: &SelectedEndpoint, failure: Failure) {
        self.send_history.retract_failure(failure);
        self.silent.retain(|it| *it != endpoint.id);
        self.last_choice = Some(endpoint.clone());
    }

    /// Predicted time to the first event by which the request was admitted, in milliseconds; `None` if it
    /// did not go through admission control or engine speeds are not learned.
    fn predicted_ms(&self) -> Option<u64> {
        let chosen = self.last_choice.as_ref().filter(|it| it.estimate.speeds.is_some())?;
        let ratio = self.admission?.decision.wait_ratio;
        Some(((chosen.expected_ms + attempt::idle_first_byte_ms(chosen)) * ratio) as u64)
    }

    /// Logs and counts how the request ended; `resumed` is how often its stream was resumed.
    pub(crate) fn report(
        &self,
        request: &Request,
        outcome: Outcome,
        reason: Option<Reason>,
        resumed: u32,
    ) {
        let took = request.arrived.elapsed();
        let estimate = self.last_choice.as_ref().map(|it| it.estimate);
        let speeds = estimate.and_then(|it| it.speeds);
        meters::request_ended(&request.route.name, outcome, took);
        if let Some(reason) = reason {
            meters::request_refused(reason);
        }
        tracing::info!(
            target: LOG_TARGET,
            request = %request.id,
            route = %request.route.name,
            account = request.account.as_ref().map(|it| &*it.name),
            %outcome,
            reason = reason.map(<&str>::from),
            endpoint = self.last_choice.as_ref().map(|it| &*it.id),
            software_version = self.last_choice.as_ref().map(|it| &*it.software_version),
            incarnation = self.last_choice.as_ref().map(|it| it.incarnation),
            resumes = request.take_up.as_ref().map(|it| it.resumes.as_deref().unwrap_or("")),
            version_source = self.version_source.map(<&str>::from),
            expected_ms = self.last_choice.as_ref().map(|it| it.expected_ms as u64),
            unread_tokens = self.last_choice.as_ref().map(|it| it.prefill_tokens),
            running = estimate.map(|it| it.running as u64),
            ahead_tokens = estimate.map(|it| it.queued_prefill_tokens as u64),
            delay_ms = estimate.map(|it| it.delay_ms as u64),
            others_age_ms = estimate.and_then(|it| it.peer_loads_age_ms),
            quiet_percent = estimate.map(|it| (it.reserved_share * 100.0) as u64),
            is_quiet = estimate.map(|it| it.is_reserved),
            returned = self.admission.map(|it| it.is_retry),
            took_percent = self.admission.map(|it| (it.decision.wait_ratio * 100.0) as u64),
            refused_percent = self.admission.map(|it| (it.decision.refusal_probability * 100.0) as u64),
            predicted_ms = self.predicted_ms(),
            idle_first_byte_ms = speeds.map(|it| it.idle_first_event_ms as u64),
            prefill_tokens_per_ms = speeds.map(|it| it.prefill_tokens_per_ms as u64),
            prefill_step_us = speeds.map(|it| (it.prefill_step_ms * 1000.0) as u64),
            is_latency_sensitive = speeds.map(|_| request.latency_sensitive),
            first_byte_ms = self.first_byte_ms,
            allowed_ms = clock::as_ms(request.deadline.duration_since(request.arrived)),
            took_ms = clock::as_ms(took),
            may_have_run = self.send_history.may_have_run,
            arrived = self.send_history.reached,
            unreachable = self.send_history.unreachable,
            last_failure = self.last_failure.map(<&str>::from),
            resumed,
            event_stream = self.is_event_stream,
            upstream_framing = self.upstream_framing.map(<&str>::from),
            upstream_end = self.upstream_end.map(<&str>::from),
            caller_framing = self.caller_framing.map(<&str>::from),
            version = request.version,
            list_age_ms = self.list_age_ms,
            "request ended"
        );
    }
}
