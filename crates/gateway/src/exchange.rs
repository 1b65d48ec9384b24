//! Handles one request of a caller, from its head to the response.

use std::sync::{Arc, atomic::Ordering};

use bytes::Bytes;
use hyper::{
    Response,
    body::Incoming,
    header::{CONNECTION, CONTENT_LENGTH, HeaderValue},
    http::response,
};
use tanagergauge_core::{
    Outcome, Reason,
    body_end::{BodyEnd, Framing},
    send_history::Failure,
};

use crate::{
    admit::{choose_and_admit, receive_request},
    attempt::{self, Attempt, UpstreamResponse},
    clock,
    gateway::Gateway,
    meters,
    progress::RequestProgress,
    relay::Relay,
    request::Request,
    response::{Refusal, ResponseBody},
    retry::{OpenedResponse, attempt_deadline, next_response, open_response, record_failure},
    suspects, upstream_response,
};

/// Counts a request as in progress until dropped.
struct InProgress(Arc<Gateway>);

impl InProgress {
    fn begin(gateway: &Arc<Gateway>) -> InProgress {
        gateway.in_progress.fetch_add(1, Ordering::Relaxed);
        InProgress(Arc::clone(gateway))
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Handles a caller's request.
pub(crate) async fn handle(
    gateway: Arc<Gateway>,
    incoming: hyper::Request<Incoming>,
) -> Response<ResponseBody> {
    let _in_progress = InProgress::begin(&gateway);
    let mut response = match receive_request(&gateway, incoming).await {
        Ok(request) => {
            let mut progress = RequestProgress::default();
            match choose_and_admit(&gateway, &request, &mut progress) {
                Ok(()) => serve(&gateway, Arc::new(request), progress).await,
                Err(refusal) => {
                    progress.report(&request, refusal.outcome, Some(refusal.reason), 0);
                    refusal.response()
                }
            }
        }
        Err(refused) => refused.response(),
    };
    if gateway.is_stopping() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn serve(
    gateway: &Arc<Gateway>,
    request: Arc<Request>,
    mut progress: RequestProgress,
) -> Response<ResponseBody> {
    let mut guard = CallerLeftGuard { request: &request, armed: true };
    let result = if request.route.retry_safety.is_stream() {
        serve_stream(gateway, &request, &mut progress).await
    } else {
        serve_buffered(gateway, &request, &mut progress).await
    };
    guard.armed = false;
    match result {
        Ok(Served::Buffered(response)) => {
            if response.status().is_success() {
                suspects::record_success(gateway, &request);
            }
            progress.report(&request, Outcome::Answered, None, 0);
            response
        }
        Ok(Served::Stream(opened)) => {
            let mut head = Response::new(());
            *head.status_mut() = opened.head.status;
            *head.headers_mut() = opened.head.headers.clone();
            upstream_response::strip_hop_by_hop(head.headers_mut());
            if request.route.retry_safety.allows_resend() {
                // A response that resumes the stream may have another length.
                head.headers_mut().remove(CONTENT_LENGTH);
            }
            let relay = Relay::new(Arc::clone(gateway), Arc::clone(&request), progress, *opened);
            head.map(|()| ResponseBody::Streamed(Box::new(relay)))
        }
        Err(refusal) => {
            progress.report(&request, refusal.outcome, Some(refusal.reason), 0);
            refusal.response()
        }
    }
}

/// Logs that the caller disconnected before the response began, if dropped while armed.
struct CallerLeftGuard<'a> {
    request: &'a Request,
    armed: bool,
}

impl Drop for CallerLeftGuard<'_> {
    fn drop(&mut self) {
        if self.armed {
            meters::request_refused(Reason::CallerLeft);
            tracing::info!(
                request = %self.request.id,
                route = %self.request.route.name,
                took_ms = clock::elapsed_ms(self.request.arrived),
                reason = %Reason::CallerLeft,
                "request ended"
            );
        }
    }
}

/// An endpoint's response on its way to the caller.
enum Served {
    /// Read completely.
    Buffered(Response<ResponseBody>),
    /// Begun; the rest is forwarded as it arrives.
    Stream(Box<OpenedResponse>),
}

/// Starts a stream; a response without success status is buffered instead.
async fn serve_stream(
    gateway: &Arc<Gateway>,
    request: &Request,
    progress: &mut RequestProgress,
) -> Result<Served, Refusal> {
    let opened = open_response(gateway, request, progress, None).await?;
    if opened.head.status.is_success() {
        return Ok(Served::Stream(Box::new(opened)));
    }
    let OpenedResponse { head, framing, first, body, attempt } = opened;
    let rest = attempt::collect_body(body, request.deadline).await;
    let rest = rest.map_err(|it| body_failed(request, progress, &attempt, it))?;
    attempt.finish();
    record_end(progress, framing, BodyEnd::Whole);
    let bytes = if rest.is_empty() { first } else { Bytes::from([first, rest].concat()) };
    Ok(Served::Buffered(caller_response(head, bytes)))
}

/// Buffers the response, retrying server errors where the route allows it. If no retry succeeds,
/// the caller gets the last server error that an endpoint returned.
async fn serve_buffered(
    gateway: &Arc<Gateway>,
    request: &Request,
    progress: &mut RequestProgress,
) -> Result<Served, Refusal> {
    let mut server_error = None;
    loop {
        let response = match next_response(gateway, request, progress, None).await {
            Ok(response) => response,
            Err(refusal) => {
                let fallback = server_error.map(Served::Buffered);
                return fallback.ok_or(refusal);
            }
        };
        let UpstreamResponse { head, framing, body, mut attempt } = response;
        let deadline = attempt_deadline(gateway, request, progress);
        let bytes = match attempt::collect_body(body, deadline).await {
            Ok(bytes) => bytes,
            Err(failure) => {
                record_failure(gateway, request, progress, &attempt, failure);
                continue;
            }
        };
        attempt.record_first_byte(upstream_response::reported_load(
            &head.headers,
            &gateway.header_names.load,
        ));
        progress.first_byte_ms = Some(clock::elapsed_ms(request.arrived));
        record_end(progress, framing, BodyEnd::Whole);
        let endpoint = attempt.chosen.id.clone();
        let is_server_error = head.status.is_server_error();
        if is_server_error {
            if let Some(health) = gateway.balancer().health_mut(&endpoint) {
                health.record_failure(clock::now_ms());
            }
            attempt.finish_failed();
        } else {
            attempt.finish();
        }
        let response = caller_response(head, bytes);
        if !(is_server_error && request.route.retry_safety.allows_resend()) {
            return Ok(Served::Buffered(response));
        }
        progress.attempt_failed(request, &endpoint, Failure::Failed);
        server_error = Some(response);
    }
}

/// Records how a buffered response ended and what the caller is told of it.
fn record_end(progress: &mut RequestProgress, framing: Framing, end: BodyEnd) {
    progress.upstream_framing = Some(framing);
    progress.upstream_end = Some(end);
    progress.caller_framing = Some(Framing::Length);
}

/// Records that an error response broke off; returns the refusal for the caller.
fn body_failed(
    request: &Request,
    progress: &mut RequestProgress,
    attempt: &Attempt,
    failure: Failure,
) -> Refusal {
    progress.attempt_failed(request, &attempt.chosen.id, failure);
    Refusal::unknown(Reason::EndpointBroke)
}

/// The response to the caller: hop-by-hop headers are removed and the length is set.
fn caller_response(head: response::Parts, bytes: Bytes) -> Response<ResponseBody> {
    let length = bytes.len();
    let mut response = Response::from_parts(head, ResponseBody::buffered(bytes));
    upstream_response::strip_hop_by_hop(response.headers_mut());
    response.headers_mut().insert(CONTENT_LENGTH, HeaderValue::from(length));
    response
}
