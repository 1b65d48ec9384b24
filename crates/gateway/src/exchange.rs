//! Handles one request of a caller, from its head to the response.

use std::sync::{Arc, atomic::Ordering};

use bytes::Bytes;
use hyper::{
    Response, Version,
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
    clock, duties,
    gateway::Gateway,
    liveness, meters,
    progress::RequestProgress,
    relay::Relay,
    request::Request,
    response::{Refusal, ResponseBody, end_with_connection},
    retry::{
        Asked, OpenedResponse, SilentPhase, Waited, next_response, open_response, record_failure,
        wait_or_replace,
    },
    silence::BoxFuture,
    stop::Phase,
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
        Ok(request) => respond(&gateway, request).await,
        Err(refused) => refused.response(),
    };
    if gateway.is_stopping() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Responds to a request that was read completely.
async fn respond(gateway: &Arc<Gateway>, request: Request) -> Response<ResponseBody> {
    let mut progress = RequestProgress::default();
    let admitted = if gateway.has_reached(Phase::Closing) {
        Err(Refusal::not_run(Reason::Stopping).retry_after_ms(0))
    } else {
        choose_and_admit(gateway, &request, &mut progress).await
    };
    match admitted {
        Ok(()) => serve(gateway, Arc::new(request), progress).await,
        Err(refusal) => {
            progress.report(&request, refusal.outcome, Some(refusal.reason), 0);
            refusal.response()
        }
    }
}

async fn serve(
    gateway: &Arc<Gateway>,
    request: Arc<Request>,
    mut progress: RequestProgress,
) -> Response<ResponseBody> {
    let mut guard = CallerLeftGuard { request: &request, armed: true };
    let serving = async {
        if request.route.retry_safety.is_stream() {
            serve_stream(gateway, &request, &mut progress).await
        } else {
            serve_buffered(gateway, &request, &mut progress).await
        }
    };
    let result = tokio::select! {
        result = serving => result,
        // The request may run on; without an answer its caller would not know that it was read.
        () = gateway.wait_for_phase(Phase::Ending) => Err(Refusal::unknown(Reason::Stopping)),
    };
    guard.armed = false;
    match result {
        Ok(Served::Buffered(response)) => {
            progress.report(&request, Outcome::Answered, None, 0);
            response
        }
        Ok(Served::Stream(opened)) => stream_response(gateway, &request, progress, *opened),
        Err(refusal) => {
            progress.report(&request, refusal.outcome, Some(refusal.reason), 0);
            refusal.response()
        }
    }
}

/// The response to the caller of a stream that has begun. Its framing claims no more of the stream's
/// end than the endpoint's does.
fn stream_response(
    gateway: &Arc<Gateway>,
    request: &Arc<Request>,
    mut progress: RequestProgress,
    opened: OpenedResponse,
) -> Response<ResponseBody> {
    let mut head = Response::new(());
    *head.status_mut() = opened.head.status;
    *head.headers_mut() = opened.head.headers.clone();
    upstream_response::strip_hop_by_hop(head.headers_mut());
    if request.route.retry_safety.allows_resend() {
        // A response that resumes the stream may have another length.
        head.headers_mut().remove(CONTENT_LENGTH);
    }
    let has_length = head.headers().contains_key(CONTENT_LENGTH);
    let caller_framing = match opened.framing {
        framing @ (Framing::NoBody | Framing::UntilClose) => framing,
        _ if has_length => Framing::Length,
        // This version has no chunks.
        _ if request.http_version == Version::HTTP_10 => Framing::UntilClose,
        _ => Framing::Chunked,
    };
    progress.caller_framing = Some(caller_framing);
    let relay = Relay::new(Arc::clone(gateway), Arc::clone(request), progress, opened);
    let mut response = head.map(|()| ResponseBody::Streamed(Box::new(relay)));
    if caller_framing == Framing::UntilClose {
        end_with_connection(&mut response);
    }
    response
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
    let OpenedResponse { head, framing, first, body, attempt, .. } = opened;
    let rest = attempt::collect_body(gateway, body, request.deadline).await;
    let rest = rest.map_err(|it| body_failed(request, progress, &attempt, it))?;
    let bytes = if rest.is_empty() { first } else { Bytes::from([first, rest].concat()) };
    let end = upstream_response::body_end(&head, framing, &bytes);
    if is_broken_off(gateway, request, &attempt, end).await {
        return Err(body_failed(request, progress, &attempt, Failure::Broke));
    }
    attempt.finish();
    Ok(Served::Buffered(caller_response(progress, head, bytes, framing, end)))
}

/// Buffers the response, retrying server errors where the route allows it. If no retry succeeds,
/// the caller gets the last server error that an endpoint returned.
async fn serve_buffered(
    gateway: &Arc<Gateway>,
    request: &Arc<Request>,
    progress: &mut RequestProgress,
) -> Result<Served, Refusal> {
    let mut server_error = None;
    loop {
        let answer = match buffered_answer(gateway, request, progress).await {
            Ok(answer) => answer,
            Err(refusal) => {
                let fallback = server_error.map(Served::Buffered);
                return fallback.ok_or(refusal);
            }
        };
        let BufferedAnswer { head, framing, bytes, mut attempt } = answer;
        let end = upstream_response::body_end(&head, framing, &bytes);
        attempt.record_first_byte(upstream_response::reported_load(
            &head.headers,
            &gateway.header_names.load,
        ));
        if is_broken_off(gateway, request, &attempt, end).await {
            record_failure(gateway, request, progress, &attempt, Failure::Broke);
            continue;
        }
        progress.first_byte_ms = Some(clock::elapsed_ms(request.arrived));
        let endpoint = attempt.chosen.id.clone();
        let is_server_error = head.status.is_server_error();
        if is_server_error {
            if let Some(health) = gateway.balancer().health_mut(&endpoint) {
                health.record_failure(clock::now_ms());
            }
            attempt.finish_failed();
        } else {
            attempt.finish();
            if head.status.is_success() {
                suspects::record_success(gateway, request);
            }
        }
        let response = caller_response(progress, head, bytes, framing, end);
        if !(is_server_error && request.route.retry_safety.allows_resend()) {
            return Ok(Served::Buffered(response));
        }
        progress.attempt_failed(request, &endpoint, Failure::Failed);
        server_error = Some(response);
    }
}

/// A response that was read completely.
struct BufferedAnswer {
    head: response::Parts,
    framing: Framing,
    bytes: Bytes,
    attempt: Attempt,
}

/// Sends a request to one endpoint after another until a response was read completely.
///
/// # Errors
/// The refusal for the caller.
async fn buffered_answer(
    gateway: &Arc<Gateway>,
    request: &Request,
    progress: &mut RequestProgress,
) -> Result<BufferedAnswer, Refusal> {
    loop {
        let response = next_response(gateway, request, progress, None).await?;
        let UpstreamResponse { head, framing, body, attempt } = response;
        duties::record_begun(gateway, request);
        let chosen = attempt.chosen.clone();
        let reading = Box::pin(async move {
            let read = attempt::collect_body(gateway, body, request.deadline).await;
            (read, attempt)
        });
        let asked = Asked { gateway, request, last_event_id: None };
        let silent = SilentPhase { endpoint: &chosen, has_begun: true, replace: other_answer };
        let has_failed = |(read, _): &(Result<Bytes, Failure>, Attempt)| read.is_err();
        match wait_or_replace(asked, progress, silent, reading, has_failed).await? {
            Waited::Done((Ok(bytes), attempt)) => {
                return Ok(BufferedAnswer { head, framing, bytes, attempt });
            }
            Waited::Done((Err(failure), attempt)) => {
                record_failure(gateway, request, progress, &attempt, failure);
            }
            Waited::Replaced(answer) => return Ok(answer),
        }
    }
}

/// As [`buffered_answer`], for a response in place of another one.
fn other_answer<'p>(
    asked: Asked<'p>,
    progress: &'p mut RequestProgress,
) -> BoxFuture<'p, Result<BufferedAnswer, Refusal>> {
    Box::pin(buffered_answer(asked.gateway, asked.request, progress))
}

/// Whether a response that may be whole or not counts as broken off, as its endpoint is gone.
async fn is_broken_off(
    gateway: &Arc<Gateway>,
    request: &Request,
    attempt: &Attempt,
    end: BodyEnd,
) -> bool {
    match end {
        BodyEnd::Whole => false,
        BodyEnd::BrokenOff => true,
        BodyEnd::Unknown => {
            let (chosen, begun_ms) = (&attempt.chosen, attempt.begun_ms());
            !liveness::is_present_after_end(gateway, request, chosen, begun_ms).await
        }
    }
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

/// The response to the caller, without headers of the endpoint's connection. Its framing claims no
/// more than is known of the body's end.
fn caller_response(
    progress: &mut RequestProgress,
    head: response::Parts,
    bytes: Bytes,
    framing: Framing,
    end: BodyEnd,
) -> Response<ResponseBody> {
    let caller_framing = match (framing, end) {
        (Framing::NoBody, _) => Framing::NoBody,
        (_, BodyEnd::Whole) => Framing::Length,
        (_, BodyEnd::Unknown | BodyEnd::BrokenOff) => Framing::UntilClose,
    };
    progress.upstream_framing = Some(framing);
    progress.upstream_end = Some(end);
    progress.caller_framing = Some(caller_framing);
    let length = bytes.len();
    let body = match caller_framing {
        Framing::UntilClose => ResponseBody::buffered_until_close(bytes),
        _ => ResponseBody::buffered(bytes),
    };
    let mut response = Response::from_parts(head, body);
    upstream_response::strip_hop_by_hop(response.headers_mut());
    match caller_framing {
        Framing::UntilClose => end_with_connection(&mut response),
        Framing::Length | Framing::Chunked => {
            response.headers_mut().insert(CONTENT_LENGTH, HeaderValue::from(length));
        }
        Framing::NoBody => {}
    }
    response
}
