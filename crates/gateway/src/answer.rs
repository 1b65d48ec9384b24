//! What an endpoint's answer is worth.

use std::time::Duration;

use hyper::{
    HeaderMap, StatusCode,
    header::{CONNECTION, CONTENT_ENCODING, HeaderName},
    http::response,
};
use tanagergauge_core::{endpoint::ServerLoad, send_history::Failure};

use crate::{names::HeaderNames, request::Request};

/// Headers of an answer that belong to one connection.
const HOP_BY_HOP: [&str; 6] =
    ["connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding"];

/// Whether the head of an answer can be delivered to the caller of a request.
///
/// # Errors
/// Why it cannot.
pub(crate) fn check(
    head: &response::Parts,
    request: &Request,
    names: &HeaderNames,
) -> Result<(), Failure> {
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return Err(Failure::Replaced);
    }
    let id = head.headers.get(&names.request_id);
    let own = id.is_some_and(|it| it.as_bytes() == request.id.as_bytes());
    if head.headers.contains_key(&names.not_run) {
        // An answer to another request says nothing about this one.
        return Err(if own || id.is_none() { Failure::Refused } else { Failure::BadAnswer });
    }
    let lacks_receipt = !head.headers.contains_key(&names.receipt);
    let encoded = head.headers.contains_key(CONTENT_ENCODING);
    if !own || encoded || (head.status.is_success() && lacks_receipt) || promises_not_run(head) {
        return Err(Failure::BadAnswer);
    }
    Ok(())
}

/// Whether a caller would take the status for "not run", which the endpoint did not say.
fn promises_not_run(head: &response::Parts) -> bool {
    matches!(
        head.status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Load of the endpoint that came with its answer.
pub(crate) fn load(headers: &HeaderMap, name: &HeaderName) -> Option<ServerLoad> {
    let text = headers.get(name)?.to_str().ok()?;
    let mut figures = text.split(',').map(|it| it.trim().parse().ok());
    Some(ServerLoad { running: figures.next()??, waiting: figures.next()?? })
}

/// Whether the endpoint closes the connection after its answer.
pub(crate) fn closes(headers: &HeaderMap) -> bool {
    headers.get(CONNECTION).is_some_and(|it| it.as_bytes().eq_ignore_ascii_case(b"close"))
}

/// How long the endpoint keeps the connection.
pub(crate) fn keeps_for(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let value = text.split(',').find_map(|it| it.trim().strip_prefix("timeout="))?;
    Some(Duration::from_secs(value.parse().ok()?))
}

/// Removes what concerns the endpoint's connection.
pub(crate) fn strip(headers: &mut HeaderMap) {
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}
