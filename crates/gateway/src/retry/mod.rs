//! Sends a request to one endpoint after another until one responds or no retry is allowed.

mod decision;
mod refusal;
mod selection;
mod waiting;

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{body::Incoming, http::response};
use tanagergauge_core::{
    body_end::Framing,
    send_history::{Failure, has_time_to_send},
};

pub(crate) use self::{
    decision::{attempt_deadline, try_replace},
    selection::{choose_endpoint, endpoint_query},
    waiting::{Asked, SilentPhase, Waited, wait_or_replace},
};

use self::{
    decision::{has_another_attempt, may_attempt},
    refusal::{deadline_refusal, exhausted_refusal},
};
use crate::{
    attempt::{self, Attempt, UpstreamResponse},
    clock, duties,
    gateway::Gateway,
    meters, process_proof,
    progress::RequestProgress,
    request::Request,
    response::Refusal,
    silence::BoxFuture,
    upstream_response,
};

/// Log target of the submodules, which is that of this module.
const LOG_TARGET: &str = "tanagergauge_gateway::retry";

/// A response whose head and first bytes have been received.
pub(crate) struct OpenedResponse {
    pub(crate) head: response::Parts,
    pub(crate) framing: Framing,
    /// Whether the body is a stream of events.
    pub(crate) is_event_stream: bool,
    pub(crate) first: Bytes,
    pub(crate) body: Incoming,
    pub(crate) attempt: Attempt,
}

/// First bytes of a body, `None` if it broke off, and what they were read from.
struct Beginning {
    first: Option<Bytes>,
    body: Incoming,
    attempt: Attempt,
}

/// Sends a request to one endpoint after another until one begins its response.
///
/// # Errors
/// The refusal for the caller.
pub(crate) async fn open_response(
    gateway: &Arc<Gateway>,
    request: &Request,
    progress: &mut RequestProgress,
    last_event_id: Option<&Bytes>,
) -> Result<OpenedResponse, Refusal> {
    loop {
        let response = next_response(gateway, request, progress, last_event_id).await?;
        let UpstreamResponse { head, framing, mut body, attempt } = response;
        if head.status.is_server_error() && has_another_attempt(gateway, request, progress) {
            record_failure(gateway, request, progress, &attempt, Failure::Failed);
            continue;
        }
        let chosen = attempt.chosen.clone();
        let reading = Box::pin(async move {
            let first = first_bytes(&mut body).await;
            Beginning { first, body, attempt }
        });
        let asked = Asked { gateway, request, last_event_id };
        let silent = SilentPhase { endpoint: &chosen, has_begun: true, replace: reopen_response };
        let has_failed = |it: &Beginning| it.first.is_none();
        let waited = wait_or_replace(asked, progress, silent, reading, has_failed);
        let Beginning { first, body, mut attempt } = match waited.await? {
            Waited::Done(beginning) => beginning,
            Waited::Replaced(opened) => return Ok(opened),
        };
        let first = match first {
            // Nothing may be left to send after the event at which the stream goes on.
            Some(first)
                if last_event_id.is_some() || !is_cut_before_events(&head, framing, &first) =>
            {
                first
            }
            _ => {
                record_failure(gateway, request, progress, &attempt, Failure::Broke);
                continue;
            }
        };
        attempt.record_first_byte(upstream_response::reported_load(
            &head.headers,
            &gateway.header_names.load,
        ));
        duties::record_begun(gateway, request);
        progress.first_byte_ms.get_or_insert_with(|| clock::elapsed_ms(request.arrived));
        meters::first_byte(&request.route.name, request.arrived.elapsed());
        let is_event_stream = upstream_response::is_event_stream(&head, &first);
        progress.set_framing(Some(framing));
        progress.is_event_stream = Some(is_event_stream);
        return Ok(OpenedResponse { head, framing, is_event_stream, first, body, attempt });
    }
}

/// As [`open_response`], for a response in place of another one.
fn reopen_response<'p>(
    asked: Asked<'p>,
    progress: &'p mut RequestProgress,
) -> BoxFuture<'p, Result<OpenedResponse, Refusal>> {
    let Asked { gateway, request, last_event_id } = asked;
    Box::pin(open_response(gateway, request, progress, last_event_id))
}

/// As [`next_response`], for a response in place of another one.
fn other_response<'p>(
    asked: Asked<'p>,
    progress: &'p mut RequestProgress,
) -> BoxFuture<'p, Result<UpstreamResponse, Refusal>> {
    let Asked { gateway, request, last_event_id } = asked;
    Box::pin(next_response(gateway, request, progress, last_event_id))
}

/// Whether a stream that ends without an event was broken off: its end is only that of the
/// connection.
fn is_cut_before_events(head: &response::Parts, framing: Framing, first: &[u8]) -> bool {
    first.is_empty() && !framing.shows_end() && upstream_response::is_event_stream(head, first)
}

/// Records a failure that came after the head of the response.
pub(crate) fn record_failure(
    gateway: &Arc<Gateway>,
    request: &Request,
    progress: &mut RequestProgress,
    attempt: &Attempt,
    failure: Failure,
) {
    attempt::record_failure(gateway, request, &attempt.chosen, failure);
    progress.attempt_failed(request, &attempt.chosen.id, failure);
}

/// Reads the first non-empty chunk of a body. Returns no bytes for an empty body and `None` if the
/// body broke off.
async fn first_bytes(body: &mut Incoming) -> Option<Bytes> {
    loop {
        match body.frame().await {
            None => return Some(Bytes::new()),
            Some(Err(_)) => return None,
            Some(Ok(frame)) => match frame.into_data() {
                Ok(bytes) if !bytes.is_empty() => return Some(bytes),
                _ => {}
            },
        }
    }
}

/// Sends a request to one endpoint after another until one returns a valid head.
///
/// # Errors
/// The refusal for the caller.
pub(crate) async fn next_response(
    gateway: &Arc<Gateway>,
    request: &Request,
    progress: &mut RequestProgress,
    last_event_id: Option<&Bytes>,
) -> Result<UpstreamResponse, Refusal> {
    loop {
        if !has_time_to_send(request.time_left().as_secs_f64() * 1000.0, request.route.goal_ms) {
            return Err(deadline_refusal(progress));
        }
        if !may_attempt(gateway, request, progress) {
            return Err(exhausted_refusal(gateway, request, progress));
        }
        let chosen = match progress.preselected.take() {
            Some(chosen) => chosen,
            None => choose_endpoint(gateway, request, progress).await?,
        };
        if last_event_id.is_some() {
            // An endpoint that is asked again may be chosen although its process is not proven.
            process_proof::wait_without_doubt(gateway, request, &chosen).await;
        }
        progress.last_choice = Some(chosen.clone());
        progress.set_framing(None);
        let sending = attempt::send(gateway, request, chosen.clone(), last_event_id);
        let asked = Asked { gateway, request, last_event_id };
        let silent = SilentPhase { endpoint: &chosen, has_begun: false, replace: other_response };
        let sending = Box::pin(sending);
        let waited = wait_or_replace(asked, progress, silent, sending, Result::is_err);
        match waited.await? {
            Waited::Done(Ok(response)) => {
                progress.set_framing(Some(response.framing));
                if response.head.status.is_success() {
                    progress.begun.notify_one();
                }
                return Ok(response);
            }
            Waited::Replaced(response) => return Ok(response),
            Waited::Done(Err(failure)) => progress.attempt_failed(request, &chosen.id, failure),
        }
    }
}
