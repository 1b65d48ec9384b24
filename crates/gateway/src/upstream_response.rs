//! Validation and headers of endpoints' responses.

use std::time::Duration;

use hyper::{
    HeaderMap, Method, StatusCode,
    header::{
        CONNECTION, CONTENT_ENCODING, CONTENT_LENGTH, CONTENT_TYPE, HeaderName, HeaderValue,
        RETRY_AFTER, TRANSFER_ENCODING,
    },
    http::response,
};
use tanagergauge_core::{
    body_end::{BodyEnd, Framing},
    endpoint::ServerLoad,
    endpoint_limits::NamedLimit,
    engine_speed,
    head_scanner::is_valid_status,
    send_history::Failure,
    sse_framer::may_begin_events,
};

use crate::{header_names::HeaderNames, meters, request::Request};

/// Content type of a stream of server-sent events.
const EVENT_STREAM: &[u8] = b"text/event-stream";
/// Content type of a report.
const JSON: &[u8] = b"application/json";
/// Content type of bytes of any kind, which says no more than none at all (RFC 9110, section 8.3).
const UNNAMED_CONTENT: &[u8] = b"application/octet-stream";
/// Response headers that apply to a single connection only.
const HOP_BY_HOP: [&str; 6] =
    ["connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding"];

/// Whether a response is known to be that to the request which was sent last on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// It bears the request's id.
    ThisRequest,
    /// It bears no id, and its connection carried no other request.
    OnlyRequest,
    /// It may be that to another request, or to none.
    Unproven,
}

impl Origin {
    /// Finds out whose response a head begins. `is_kept_connection` is whether the connection carried
    /// requests before this one.
    pub(crate) fn of(
        head: &response::Parts,
        request: &Request,
        names: &HeaderNames,
        is_kept_connection: bool,
    ) -> Origin {
        if has_conflict(&head.headers, &names.request_id) {
            return Origin::Unproven;
        }
        match head.headers.get(&names.request_id) {
            Some(id) if id.as_bytes() == request.id.as_bytes() => Origin::ThisRequest,
            None if !is_kept_connection => Origin::OnlyRequest,
            Some(_) | None => Origin::Unproven,
        }
    }
}

/// Checks that a response belongs to the request and may be delivered to its caller.
///
/// # Errors
/// Why it must not be delivered.
pub(crate) fn validate(
    head: &response::Parts,
    origin: Origin,
    names: &HeaderNames,
) -> Result<(), Failure> {
    // What belongs to another request says nothing about this one, which may run. The same holds for a
    // change of protocol, which no caller asks for, for a status that is none, and for the parts of two
    // heads in one.
    if origin == Origin::Unproven
        || head.status.is_informational()
        || !is_valid_status(head.status.as_u16())
        || has_conflict(&head.headers, &names.receipt)
        || !has_valid_length(&head.headers)
    {
        return Err(Failure::BadAnswer);
    }
    // Another endpoint has taken over the address.
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return Err(Failure::Replaced);
    }
    if head.headers.contains_key(&names.not_run) {
        return Err(Failure::Refused);
    }
    let lacks_receipt = !head.headers.contains_key(&names.receipt);
    let encoded = head.headers.contains_key(CONTENT_ENCODING);
    // No request asks for a switch of protocols, and other interim responses come before a response.
    if origin != Origin::ThisRequest
        || encoded
        || head.status.is_informational()
        || (head.status.is_success() && lacks_receipt)
        || implies_not_run(head)
    {
        return Err(Failure::BadAnswer);
    }
    Ok(())
}

/// Whether a header that a response bears once has several values that differ.
fn has_conflict(headers: &HeaderMap, name: &HeaderName) -> bool {
    let mut values = headers.get_all(name).iter();
    let first = values.next();
    values.any(|it| Some(it) != first)
}

/// Whether a response announces one length at most. hyper checks that only if a body follows.
fn has_valid_length(headers: &HeaderMap) -> bool {
    let is_number = |it: &HeaderValue| {
        let text = it.as_bytes();
        !text.is_empty() && text.iter().all(u8::is_ascii_digit)
    };
    headers.get_all(CONTENT_LENGTH).iter().all(is_number) && !has_conflict(headers, &CONTENT_LENGTH)
}

/// Whether the status tells callers that the request did not run. Endpoints state that by a header
/// only, so such a status without the header cannot be trusted.
fn implies_not_run(head: &response::Parts) -> bool {
    matches!(
        head.status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Load that the endpoint reported with its response.
pub(crate) fn reported_load(headers: &HeaderMap, name: &HeaderName) -> Option<ServerLoad> {
    let text = headers.get(name)?.to_str().ok()?;
    let mut values = text.split(',').map(str::trim);
    let mut number = || values.next()?.parse().ok();
    let (running, waiting) = (number()?, number()?);
    // The third value is the number of slots, which the list of endpoints says.
    let slowness = values.nth(1).and_then(reported_slowness);
    Some(ServerLoad { running, waiting, slowness })
}

/// Slowness of the endpoint's machine. One that is unusable is counted and ignored.
fn reported_slowness(text: &str) -> Option<f64> {
    match engine_speed::parse_slowness(text) {
        Ok(slowness) => Some(slowness),
        Err(reason) => {
            meters::load_report_ignored(reason);
            None
        }
    }
}

/// The limit that the endpoint named, for all instances together.
pub(crate) fn request_limit(headers: &HeaderMap, name: &HeaderName) -> NamedLimit {
    let Some(value) = headers.get(name) else { return NamedLimit::None };
    let limit = value.to_str().ok().and_then(|it| it.trim().parse().ok());
    match limit.filter(|it: &f64| it.is_finite() && *it >= 0.0) {
        Some(requests_per_s) => NamedLimit::RequestsPerS(requests_per_s),
        None => NamedLimit::Unreadable,
    }
}

/// Whether the endpoint said that it is about to stop. A misdirected request was answered by another
/// one.
pub(crate) fn is_leaving(head: &response::Parts, name: &HeaderName) -> bool {
    let is_misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
    !is_misdirected && head.headers.get(name).is_some_and(|it| it.as_bytes() == b"1")
}

/// Milliseconds for which the endpoint wants no more requests, if it asked for time. A date is passed
/// over, since it depends on the endpoint's clock.
pub(crate) fn backoff_ms(head: &response::Parts) -> Option<u64> {
    if head.status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let seconds: f64 = head.headers.get(RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    (seconds.is_finite() && seconds > 0.0).then_some((seconds * 1000.0).ceil() as u64)
}

/// Whether the endpoint closes the connection after the response.
pub(crate) fn closes_connection(headers: &HeaderMap) -> bool {
    headers.get(CONNECTION).is_some_and(|it| it.as_bytes().eq_ignore_ascii_case(b"close"))
}

/// How long the endpoint keeps an idle connection open, if it says so.
pub(crate) fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let value = text.split(',').find_map(|it| it.trim().strip_prefix("timeout="))?;
    Some(Duration::from_secs(value.parse().ok()?))
}

/// Whether a response on a route of streams is a stream of events, by its content type or, where that
/// names nothing, by its first bytes.
pub(crate) fn is_event_stream(head: &response::Parts, first: &[u8]) -> bool {
    let is_unnamed = media_type(head).eq_ignore_ascii_case(UNNAMED_CONTENT);
    is_named_event_stream(head)
        || (head.status.is_success() && is_unnamed && may_begin_events(first))
}

/// Whether a response is a stream of events by its content type.
pub(crate) fn is_named_event_stream(head: &response::Parts) -> bool {
    head.status.is_success() && media_type(head).eq_ignore_ascii_case(EVENT_STREAM)
}

/// Whether a response holds JSON by its content type.
pub(crate) fn is_json(head: &response::Parts) -> bool {
    media_type(head).eq_ignore_ascii_case(JSON)
}

/// The content type without its parameters.
fn media_type(head: &response::Parts) -> &[u8] {
    let content_type = head.headers.get(CONTENT_TYPE).map(HeaderValue::as_bytes);
    content_type
        .unwrap_or(UNNAMED_CONTENT)
        .split(|it| *it == b';')
        .next()
        .unwrap_or_default()
        .trim_ascii()
}

/// What is known of the end of a body that was read completely.
pub(crate) fn body_end(head: &response::Parts, framing: Framing, body: &[u8]) -> BodyEnd {
    let content_type = head.headers.get(CONTENT_TYPE).map_or(&b""[..], |it| it.as_bytes());
    BodyEnd::of_body(framing, content_type, body)
}

/// How a response to a request with `method` says where its body ends.
pub(crate) fn framing(head: &response::Parts, method: &Method) -> Framing {
    let has_no_body = method == Method::HEAD
        || head.status.is_informational()
        || matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    if has_no_body {
        return Framing::NoBody;
    }
    let transfer_encoding = head.headers.get_all(TRANSFER_ENCODING).iter().next_back();
    Framing::of_headers(
        transfer_encoding.map(|it| it.as_bytes()),
        head.headers.contains_key(CONTENT_LENGTH),
    )
}

/// Removes headers that apply to the connection to the endpoint.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}
