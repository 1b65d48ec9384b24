//! The request that is sent to an endpoint.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_LENGTH, HeaderValue};
use tanagergauge_core::selection::SelectedEndpoint;

use crate::{clock, gateway::Gateway, request::Request};

/// Builds the request that is sent to the endpoint.
pub(crate) fn build(
    gateway: &Gateway,
    request: &Request,
    chosen: &SelectedEndpoint,
    last_event_id: Option<&Bytes>,
) -> hyper::Request<Full<Bytes>> {
    let mut message = hyper::Request::new(Full::new(request.body.clone()));
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.uri.clone();
    let names = &gateway.header_names;
    let headers = message.headers_mut();
    headers.clone_from(&request.headers);
    let left_ms = clock::as_ms(request.time_left()).max(1);
    headers.insert(&names.time_left_ms, HeaderValue::from(left_ms));
    if let Ok(value) = HeaderValue::from_str(&chosen.id) {
        headers.insert(&names.expected_endpoint, value);
    }
    if let Some(account) = &request.account
        && let Ok(value) = HeaderValue::from_str(&account.name)
    {
        headers.insert(&names.client_account, value);
    }
    if !request.parts.is_empty() {
        headers.insert(&names.priority, HeaderValue::from(u16::from(request.rank)));
    }
    if let Some(Ok(value)) = last_event_id.map(|it| HeaderValue::from_bytes(it)) {
        headers.insert(&names.last_event_id, value);
    }
    if !request.body.is_empty() {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(request.body.len()));
    }
    message
}
