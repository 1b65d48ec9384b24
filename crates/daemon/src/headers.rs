//! Names of the headers between callers, instances and endpoints.

use hyper::header::{HeaderMap, HeaderName, HeaderValue};

/// The caller's or our id of a request.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// The class of a request.
pub const SERVICE_CLASS: HeaderName = HeaderName::from_static("x-service-class");
/// How long the caller waits, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("x-deadline-ms");
/// The idempotency key of a request.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// What became of a request.
pub const OUTCOME: HeaderName = HeaderName::from_static("x-outcome");
/// Why it ended without an answer.
pub const OUTCOME_REASON: HeaderName = HeaderName::from_static("x-outcome-reason");
/// When to come again, in milliseconds.
pub const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("x-retry-after-ms");
/// Number of an attempt, from 1.
pub const ATTEMPT: HeaderName = HeaderName::from_static("x-attempt");
/// Rank of the request's tier; 0 is the most urgent.
pub const PRIORITY: HeaderName = HeaderName::from_static("x-priority");
/// The client account a request belongs to.
pub const CLIENT_ACCOUNT: HeaderName = HeaderName::from_static("x-client-account");
/// An endpoint refused before running.
pub const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");
/// An endpoint takes no new work.
pub const LEAVING: HeaderName = HeaderName::from_static("x-leaving");
/// The first token of a resumed stream, counted from 0.
pub const RESUMED_FROM: HeaderName = HeaderName::from_static("x-resumed-from");

/// Headers that belong to one connection and are never passed on.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Headers of the caller that end at the instance.
const OWN: [&str; 6] = [
    "authorization",
    "x-service-class",
    "x-deadline-ms",
    "x-request-id",
    "x-attempt",
    "x-priority",
];

/// What of a caller's headers goes on to an endpoint.
pub fn for_endpoint(map: &HeaderMap) -> HeaderMap {
    map.iter()
        .filter(|(name, _)| !HOP_BY_HOP.contains(&name.as_str()) && !OWN.contains(&name.as_str()))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// What of an endpoint's headers goes on to a caller.
pub fn for_caller(map: &HeaderMap) -> HeaderMap {
    let is_private = |name: &HeaderName| [ATTEMPT, NOT_RUN, LEAVING, RESUMED_FROM].contains(name);
    map.iter()
        .filter(|(name, _)| !HOP_BY_HOP.contains(&name.as_str()) && !is_private(name))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Inserts a header whose text comes from a checked name.
pub fn insert_text(map: &mut HeaderMap, name: HeaderName, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        map.insert(name, value);
    }
}

/// Whether a header says `true`.
pub fn is_true(map: &HeaderMap, name: &HeaderName) -> bool {
    map.get(name).is_some_and(|it| it.as_bytes().eq_ignore_ascii_case(b"true"))
}
