//! One attempt of a request at one endpoint.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::{body::Incoming, http::response};
use tanagergauge_core::{
    Name, body_end::Framing, endpoint::ServerLoad, selection::SelectedEndpoint,
    send_history::Failure,
};
use tokio::time::{Instant, timeout_at};

use crate::{
    body_memory::{self, CollectError},
    clock,
    connection::Connection,
    endpoint_signals,
    event_gaps::EventGaps,
    gateway::Gateway,
    liveness, process_proof,
    process_report::{self, ProcessReport},
    request::Request,
    suspects, upstream_request,
    upstream_response::{self, Origin},
};

/// Largest body that is buffered, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Time to the first byte at an otherwise idle engine, besides prefill, in milliseconds.
const IDLE_FIRST_BYTE_MS: f64 = 75.0;
/// Time-out for reading the body of a refusal; after it the connection is not reused.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(100);

/// Time to the first byte at the chosen endpoint if it is otherwise idle, besides prefill, in milliseconds.
pub(crate) fn idle_first_byte_ms(chosen: &SelectedEndpoint) -> f64 {
    chosen.estimate.speeds.map_or(IDLE_FIRST_BYTE_MS, |it| it.idle_first_event_ms)
}

/// A request in progress at an endpoint. Dropping it closes the connection, which tells the
/// endpoint to cancel the request.
pub(crate) struct Attempt {
    gateway: Arc<Gateway>,
    pub(crate) chosen: SelectedEndpoint,
    service: Name,
    /// Present if the request went through admission control.
    expectation: Option<Expectation>,
    connection: Option<Connection>,
    /// When the connection was open at the latest; monotonic.
    pub(crate) opened_ms: u64,
    started: Instant,
    has_first_byte: bool,
    /// Time that opening connections took, in milliseconds.
    connect_ms: f64,
    gaps: EventGaps,
    /// Keep-alive time that the endpoint advertised, if any.
    keep_alive: Option<Duration>,
    /// The endpoint closes the connection after the response.
    closes_connection: bool,
}

/// Expected time to the first byte, which is reported to admission control with the actual time.
#[derive(Clone, Copy, Debug)]
struct Expectation {
    rank: u8,
    goal_ms: f64,
    expected_ms: f64,
}

/// A response whose head passed validation.
pub(crate) struct UpstreamResponse {
    pub(crate) head: response::Parts,
    pub(crate) framing: Framing,
    pub(crate) body: Incoming,
    pub(crate) attempt: Attempt,
}

impl Attempt {
    fn new(gateway: Arc<Gateway>, chosen: SelectedEndpoint, request: &Request) -> Attempt {
        gateway.balancer().record_sent(&chosen, &request.parts, clock::now_ms());
        let (started, service) = (Instant::now(), request.service.clone());
        let expectation = (!request.parts.is_empty()).then(|| Expectation {
            rank: request.rank,
            goal_ms: request.route.goal_ms as f64,
            expected_ms: chosen.expected_ms + idle_first_byte_ms(&chosen),
        });
        Attempt {
            gateway,
            chosen,
            service,
            expectation,
            connection: None,
            opened_ms: 0,
            started,
            has_first_byte: false,
            connect_ms: 0.0,
            gaps: EventGaps::new(started),
            keep_alive: None,
            closes_connection: false,
        }
    }

    /// When the attempt began; monotonic.
    pub(crate) fn begun_ms(&self) -> u64 {
        clock::now_ms().saturating_sub(clock::elapsed_ms(self.started))
    }

    /// Records the first byte of the response; later calls have no effect.
    pub(crate) fn record_first_byte(&mut self, load: Option<ServerLoad>) {
        if self.has_first_byte {
            return;
        }
        self.has_first_byte = true;
        self.gaps = EventGaps::new(Instant::now());
        let base_ms = self.expectation.map_or(0.0, |_| idle_first_byte_ms(&self.chosen));
        let took_ms = self.started.elapsed().as_secs_f64() * 1000.0;
        let now_ms = clock::now_ms();
        let mut error_ratio = 1.0;
        if let Some(it) = self.expectation {
            let mut admission = self.gateway.admission();
            let admission = admission.controller(&self.service);
            let ratio = admission.wait_ratio(it.rank, now_ms);
            admission.record_first_byte(it.rank, it.goal_ms, it.expected_ms, took_ms, now_ms);
            error_ratio = took_ms / (it.expected_ms * ratio).max(1.0);
        }
        let connect_ms = self.connect_ms;
        let mut balancer = self.gateway.balancer();
        balancer.record_first_byte(&self.chosen, took_ms, connect_ms, base_ms, load, now_ms);
        balancer.speeds_mut().record_error(&self.service, error_ratio);
    }

    /// Records that the response has no more bytes at the moment.
    pub(crate) fn record_waiting(&mut self) {
        self.gaps.record_waiting();
    }

    /// Records how many events of the response have arrived, or one more if they are not counted.
    pub(crate) fn record_events(&mut self, count: Option<u64>) {
        if self.chosen.estimate.speeds.is_none() {
            return;
        }
        let gap_ms = self.gaps.record_events(count, Instant::now());
        if let Some(gap_ms) = gap_ms {
            self.gateway.balancer().record_event_gap(&self.chosen, gap_ms, clock::now_ms());
        }
    }

    /// Ends an attempt whose response was read completely.
    pub(crate) fn finish(mut self) {
        if self.has_first_byte && self.expectation.is_some() {
            let took_ms = self.gaps.since_first_byte(Instant::now()).as_secs_f64() * 1000.0;
            self.gateway.balancer().record_response_time(&self.chosen, took_ms);
        }
        if let Some(health) = self.gateway.balancer().health_mut(&self.chosen.id) {
            health.record_success(clock::now_ms());
        }
        self.return_connection();
    }

    /// Ends an attempt whose response was read completely but reports a failure of the endpoint.
    pub(crate) fn finish_failed(mut self) {
        self.return_connection();
    }

    /// Keeps the connection after a refusal that was read completely.
    fn finish_refused(&mut self, request_id: &str) {
        if let Some(connection) = &mut self.connection {
            connection.record_refused(request_id);
        }
        self.return_connection();
    }

    fn return_connection(&mut self) {
        let Some(connection) = self.connection.take() else { return };
        if !self.closes_connection {
            self.gateway.pool.put(&self.chosen.id, connection, self.keep_alive);
        }
    }

    fn record_connection_headers(&mut self, head: &response::Parts) {
        self.closes_connection = upstream_response::closes_connection(&head.headers);
        self.keep_alive = upstream_response::keep_alive_timeout(&head.headers);
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        let mut balancer = self.gateway.balancer();
        if !self.has_first_byte {
            balancer.record_no_first_byte(&self.chosen);
        }
        balancer.record_ended(&self.chosen, &self.service, clock::now_ms());
    }
}

/// Sends a request to the chosen endpoint and waits for the head of the response, without a time limit.
///
/// # Errors
/// How the attempt failed; the failure has been recorded.
pub(crate) async fn send(
    gateway: &Arc<Gateway>,
    request: &Request,
    chosen: SelectedEndpoint,
    last_event_id: Option<&Bytes>,
) -> Result<UpstreamResponse, Failure> {
    let mut attempt = Attempt::new(Arc::clone(gateway), chosen, request);
    let result = exchange(gateway, request, &mut attempt, last_event_id).await;
    match result {
        Ok((head, body)) => {
            let framing = upstream_response::framing(&head, &request.method);
            attempt.closes_connection |= !framing.shows_end();
            Ok(UpstreamResponse { head, framing, body, attempt })
        }
        Err(failure) => {
            record_failure(gateway, request, &attempt.chosen, failure);
            Err(failure)
        }
    }
}

/// Records a failure against the endpoint's health and the request's crash history.
pub(crate) fn record_failure(
    gateway: &Arc<Gateway>,
    request: &Request,
    chosen: &SelectedEndpoint,
    failure: Failure,
) {
    suspects::record_failure(gateway, request, &chosen.id, failure);
    if matches!(failure, Failure::Broke | Failure::Unreachable | Failure::Silent) {
        process_proof::record_disconnect(gateway, &chosen.id);
    }
    if failure == Failure::Broke {
        liveness::begin_check(gateway, chosen);
    }
    let now_ms = clock::now_ms();
    let mut balancer = gateway.balancer();
    if failure == Failure::Replaced {
        balancer.set_leaving(&chosen.id);
    }
    let Some(health) = balancer.health_mut(&chosen.id) else { return };
    match failure {
        Failure::Unreachable => health.record_connect_failure(now_ms),
        Failure::Refused
        | Failure::Broke
        | Failure::Silent
        | Failure::BadAnswer
        | Failure::Failed => {
            health.record_failure(now_ms);
        }
        Failure::Replaced
        | Failure::EndUnknown
        | Failure::Leaving
        | Failure::Superseded
        | Failure::Unproven => {}
    }
}

/// Records that an endpoint has been silent for longer than a response may take, while its request still
/// waits for it.
pub(crate) fn record_overdue(gateway: &Gateway, endpoint: &str) {
    if let Some(health) = gateway.balancer().health_mut(endpoint) {
        health.record_failure(clock::now_ms());
    }
}

/// Records that an endpoint that was overdue has gone on.
pub(crate) fn record_recovered(gateway: &Gateway, endpoint: &str) {
    if let Some(health) = gateway.balancer().health_mut(endpoint) {
        health.record_success(clock::now_ms());
    }
}

async fn exchange(
    gateway: &Arc<Gateway>,
    request: &Request,
    attempt: &mut Attempt,
    last_event_id: Option<&Bytes>,
) -> Result<(response::Parts, Incoming), Failure> {
    let (mut connection, mut reused) = match take_idle(gateway, request, &attempt.chosen) {
        Some(connection) => (connection, true),
        None => (connect(gateway, attempt).await?, false),
    };
    let mut message = upstream_request::build(gateway, request, &attempt.chosen, last_event_id);
    let goes_on = request.take_up.is_some() || last_event_id.is_some();
    let (response, sent_ms) = loop {
        if goes_on {
            connection = require_process(gateway, request, attempt, connection).await?;
        }
        let sent_ms = clock::now_ms();
        connection.read_limit.await_head();
        match connection.sender.try_send_request(message).await {
            Ok(response) => break (response, sent_ms),
            Err(mut error) => match error.take_message() {
                // Nothing was written because the endpoint had closed the pooled connection.
                Some(unsent) if reused => {
                    message = unsent;
                    process_proof::record_disconnect(gateway, &attempt.chosen.id);
                    connection = connect(gateway, attempt).await?;
                    reused = false;
                }
                Some(_) => return Err(Failure::Unreachable),
                None => return Err(Failure::Broke),
            },
        }
    };
    connection.read_limit.head_received();
    let opened_ms = connection.opened_ms;
    attempt.opened_ms = opened_ms;
    attempt.connection = Some(connection);
    let (head, body) = response.into_parts();
    attempt.record_connection_headers(&head);
    let origin = Origin::of(&head, request, &gateway.header_names, reused);
    if origin != Origin::Unproven {
        gateway.balancer().record_answer(&attempt.chosen.id, opened_ms, sent_ms);
        endpoint_signals::record_limit(gateway, &attempt.chosen.id, &head);
        endpoint_signals::record_leaving(gateway, &attempt.chosen, &head);
        endpoint_signals::record_backoff(gateway, &attempt.chosen, &head);
    }
    match upstream_response::validate(&head, origin, &gateway.header_names) {
        Ok(()) => Ok((head, body)),
        Err(failure) => {
            log_unnamed(gateway, request, attempt, &head, failure);
            if failure == Failure::Refused
                && collect_body(gateway, body, Instant::now() + REFUSAL_BODY_TIMEOUT).await.is_ok()
            {
                attempt.finish_refused(&request.id);
            }
            Err(failure)
        }
    }
}

/// Logs a response that is not passed on and does not bear the request's id.
fn log_unnamed(
    gateway: &Gateway,
    request: &Request,
    attempt: &Attempt,
    head: &response::Parts,
    failure: Failure,
) {
    let response_id = head.headers.get(&gateway.header_names.request_id);
    if response_id.is_some_and(|it| it.as_bytes() == request.id.as_bytes()) {
        return;
    }
    tracing::info!(
        request = %request.id,
        endpoint = %attempt.chosen.id,
        status = head.status.as_u16(),
        response_id = response_id.and_then(|it| it.to_str().ok()),
        kept_connection = attempt.connection.as_ref().is_some_and(|it| it.used),
        %failure,
        "response without the request's id"
    );
}

/// An idle connection to the chosen endpoint, if there is one.
fn take_idle(
    gateway: &Arc<Gateway>,
    request: &Request,
    chosen: &SelectedEndpoint,
) -> Option<Connection> {
    let retryable = request.route.retry_safety.allows_resend();
    let pooled = gateway.pool.take(&chosen.id, chosen.address, retryable, Some(&request.id));
    if pooled.found_closed {
        process_proof::record_disconnect(gateway, &chosen.id);
    }
    pooled.connection
}

/// Requires that a connection leads to the process of the endpoint's entry, before a stream goes on there. An
/// engine is asked if that is not shown; of others it is assumed unless something hints at another process.
async fn require_process(
    gateway: &Arc<Gateway>,
    request: &Request,
    attempt: &mut Attempt,
    connection: Connection,
) -> Result<Connection, Failure> {
    let chosen = &attempt.chosen;
    let (opened_ms, list) = (connection.opened_ms, gateway.list_currency());
    if gateway.balancer().shown_version(chosen, opened_ms, list).is_some() {
        return Ok(connection);
    }
    if !process_report::can_ask(gateway, chosen, &request.service) {
        let is_reached = gateway.balancer().is_reached_by(chosen, opened_ms);
        return if is_reached { Ok(connection) } else { Err(Failure::Unproven) };
    }
    match process_report::ask(gateway, chosen, connection).await {
        ProcessReport::Same(Some(connection)) => Ok(*connection),
        ProcessReport::Same(None) | ProcessReport::Untold => connect(gateway, attempt).await,
        ProcessReport::Replaced(_) => {
            process_proof::record_disconnect(gateway, &chosen.id);
            Err(Failure::Unproven)
        }
        ProcessReport::Misdirected => Err(Failure::Replaced),
        ProcessReport::Failed => Err(Failure::Unproven),
    }
}

async fn connect(gateway: &Gateway, attempt: &mut Attempt) -> Result<Connection, Failure> {
    let begin = Instant::now();
    let connected = gateway.pool.connect(attempt.chosen.address).await;
    let connection = connected.map_err(|_| Failure::Unreachable)?;
    let took_ms = begin.elapsed().as_secs_f64() * 1000.0;
    attempt.connect_ms += took_ms;
    gateway.balancer().record_connected(&attempt.chosen.id, took_ms);
    Ok(connection)
}

/// Reads a body completely.
///
/// # Errors
/// The body broke off, takes too much memory, or did not end before `deadline`.
pub(crate) async fn collect_body(
    gateway: &Gateway,
    mut body: Incoming,
    deadline: Instant,
) -> Result<Bytes, Failure> {
    let collecting = body_memory::collect(&gateway.body_memory, &mut body, MAX_BODY_BYTES);
    match timeout_at(deadline, collecting).await {
        Err(_) => Err(Failure::Silent),
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(CollectError::Broke)) => Err(Failure::Broke),
        Ok(Err(error @ (CollectError::TooLarge | CollectError::NoMemory))) => {
            tracing::warn!(%error, "body is not read any further");
            Err(Failure::BadAnswer)
        }
    }
}
