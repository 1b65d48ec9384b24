//! A caller's request in the form in which it is forwarded.

use std::{
    sync::{Arc, atomic::AtomicBool},
    time::Duration,
};

use bytes::Bytes;
use hyper::{
    HeaderMap, Method, Uri, Version,
    header::{AUTHORIZATION, CONNECTION, CONTENT_LENGTH, HOST, HeaderName},
    http::request,
};
use smallvec::SmallVec;
use tanagergauge_core::{
    Name,
    access::Credential,
    prompt_part::{PromptPart, PromptParts},
    quarantine::Fingerprint,
    request_fingerprints::RequestFingerprints,
    routing::{ClientAccount, Route},
};
use tokio::time::Instant;

use crate::{header_names::HeaderNames, take_up::TakeUp};

/// Request headers that apply to a single connection and are never forwarded.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "expect",
    "keep-alive",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// A request that was read completely and has a route.
#[derive(Debug)]
pub(crate) struct Request {
    /// Id that the caller gave this attempt.
    pub(crate) id: Name,
    pub(crate) method: Method,
    /// Path and query, unchanged.
    pub(crate) uri: Uri,
    /// HTTP version that the caller speaks.
    pub(crate) http_version: Version,
    /// The caller's headers that are forwarded.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) account: Option<ClientAccount>,
    pub(crate) route: Arc<Route>,
    /// Service that runs the request.
    pub(crate) service: Name,
    /// Priority rank; 0 is the most urgent.
    pub(crate) rank: u8,
    pub(crate) parts: PromptParts,
    /// Present if the caller takes up a stream that broke off.
    pub(crate) take_up: Option<TakeUp>,
    /// An engine that is busy with prefill would exceed the route's `event_gap_goal_ms`.
    pub(crate) latency_sensitive: bool,
    /// Version of the configuration by which the request was admitted.
    pub(crate) version: u64,
    pub(crate) arrived: Instant,
    /// When the caller stops waiting.
    pub(crate) deadline: Instant,
    /// The request was counted as usage of its account.
    pub(crate) is_counted: AtomicBool,
}

impl Request {
    /// Identifies equal requests by account, target and body, regardless of their ids, and the
    /// parts of their prompts.
    pub(crate) fn fingerprints(&self) -> RequestFingerprints {
        let account = self.account.as_ref().map_or("", |it| &*it.name);
        let target = format!("{} {}", self.route.name, self.uri);
        let request = Fingerprint::new(account, &target, &self.body);
        RequestFingerprints::new(request, &self.service, &self.parts)
    }

    /// Time until the deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

/// Credential of a request, in `Authorization`.
pub(crate) fn credential(head: &request::Parts) -> Credential<'_> {
    let mut values = head.headers.get_all(AUTHORIZATION).iter();
    let Some(value) = values.next() else { return Credential::Missing };
    if values.next().is_some() {
        return Credential::Ambiguous;
    }
    value.to_str().ok().and_then(bearer_token).map_or(Credential::Missing, Credential::Key)
}

/// The token of the scheme `Bearer`.
fn bearer_token(value: &str) -> Option<&str> {
    let (scheme, token) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}

/// Host of a request, from its URI or its `Host` header.
pub(crate) fn host(head: &request::Parts) -> Option<&str> {
    match head.uri.authority() {
        Some(authority) => Some(authority.host()),
        None => head.headers.get(HOST)?.to_str().ok(),
    }
}

/// How long the caller waits, if it says so.
pub(crate) fn time_left(head: &request::Parts, names: &HeaderNames) -> Option<Duration> {
    let text = head.headers.get(&names.time_left_ms)?.to_str().ok()?;
    let ms: f64 = text.trim().parse().ok()?;
    Duration::try_from_secs_f64(ms / 1000.0).ok()
}

/// Parses the parts of the prompt; those that are malformed are skipped.
pub(crate) fn parse_parts(headers: &HeaderMap, names: &HeaderNames) -> PromptParts {
    let text = headers.get(&names.prompt_parts).and_then(|it| it.to_str().ok()).unwrap_or("");
    text.split(',').filter_map(parse_part).collect()
}

fn parse_part(text: &str) -> Option<PromptPart> {
    let (id, tokens) = text.trim().split_once(':')?;
    let id = u64::from_str_radix(id, 16).ok()?;
    Some(PromptPart { id, tokens: tokens.parse().ok()? })
}

/// Removes headers that are not forwarded: hop-by-hop headers, including those that `Connection`
/// names, headers that the instance sets, and credentials that it reads.
pub(crate) fn strip_headers(headers: &mut HeaderMap, names: &HeaderNames, reads_credentials: bool) {
    let connection_headers: SmallVec<[HeaderName; 4]> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .filter_map(|it| it.trim().parse().ok())
        .filter(|it| *it != HOST && *it != CONTENT_LENGTH && *it != names.request_id)
        .collect();
    for name in &connection_headers {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    for name in &names.reserved {
        headers.remove(name);
    }
    headers.remove(CONTENT_LENGTH);
    if reads_credentials {
        headers.remove(AUTHORIZATION);
    }
}

/// Hash of a request id, uniformly distributed over all `u64` values.
pub(crate) fn uniform_hash(id: &str) -> u64 {
    let hash = blake3::hash(id.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// A uniform hash as a fraction in [0, 1).
pub(crate) fn fraction(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1u64 << 53) as f64
}
