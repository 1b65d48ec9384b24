//! A caller's request, as it is passed on.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::{
    HeaderMap, Method, Uri,
    header::{AUTHORIZATION, CONNECTION, CONTENT_LENGTH, HOST, HeaderName},
    http::request,
};
use smallvec::SmallVec;
use tanagergauge_core::{
    Name,
    prompt_part::{PromptPart, PromptParts},
    quarantine::Fingerprint,
    routing::{ClientAccount, Route},
};
use tokio::time::Instant;

use crate::names::HeaderNames;

/// Headers that belong to one connection and are never passed on.
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

/// A request that was read whole and may run.
#[derive(Debug)]
pub(crate) struct Request {
    /// The caller's id of this attempt.
    pub(crate) id: Name,
    pub(crate) method: Method,
    /// Path and query, as they came.
    pub(crate) uri: Uri,
    /// What is passed on of the caller's headers.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) account: Option<ClientAccount>,
    pub(crate) route: Arc<Route>,
    /// The service that runs it.
    pub(crate) service: Name,
    /// Rank among all requests; 0 is the most urgent.
    pub(crate) rank: u8,
    pub(crate) parts: PromptParts,
    /// Its pauses are too tight for an engine that reads prompts all the time.
    pub(crate) latency_sensitive: bool,
    /// Version of the configuration that let it in.
    pub(crate) version: u64,
    pub(crate) arrived: Instant,
    /// Nobody waits for it any longer then.
    pub(crate) until: Instant,
}

impl Request {
    /// Names it by its account and content, whatever its id.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        let account = self.account.as_ref().map_or("", |it| &*it.name);
        let target = format!("{} {}", self.route.name, self.uri);
        Fingerprint::new(account, &target, &self.body)
    }

    /// Time left.
    pub(crate) fn left(&self) -> Duration {
        self.until.saturating_duration_since(Instant::now())
    }
}

/// The bearer token of a request.
pub(crate) fn credential(head: &request::Parts) -> Option<&str> {
    let value = head.headers.get(AUTHORIZATION)?.to_str().ok()?;
    let (scheme, token) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| token.trim())
}

/// The host that a request names.
pub(crate) fn host(head: &request::Parts) -> Option<&str> {
    match head.uri.authority() {
        Some(authority) => Some(authority.host()),
        None => head.headers.get(HOST)?.to_str().ok(),
    }
}

/// Time that the caller waits.
pub(crate) fn time_left(head: &request::Parts, names: &HeaderNames) -> Option<Duration> {
    let text = head.headers.get(&names.time_left_ms)?.to_str().ok()?;
    let ms: f64 = text.trim().parse().ok()?;
    Duration::try_from_secs_f64(ms / 1000.0).ok()
}

/// Parts of the prompt; none if they are missing or cannot be read.
pub(crate) fn parts(headers: &HeaderMap, names: &HeaderNames) -> PromptParts {
    let text = headers.get(&names.prompt_parts).and_then(|it| it.to_str().ok()).unwrap_or("");
    text.split(',').filter_map(part).collect()
}

fn part(text: &str) -> Option<PromptPart> {
    let (id, tokens) = text.trim().split_once(':')?;
    let id = u64::from_str_radix(id, 16).ok()?;
    Some(PromptPart { id, tokens: tokens.parse().ok()? })
}

/// Removes what is not passed on: what concerns one connection, and what is ours to set.
pub(crate) fn strip(headers: &mut HeaderMap, names: &HeaderNames, has_account: bool) {
    let named: SmallVec<[HeaderName; 4]> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .filter_map(|it| it.trim().parse().ok())
        .filter(|it| *it != HOST && *it != CONTENT_LENGTH && *it != names.request_id)
        .collect();
    for name in &named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    for name in &names.reserved {
        headers.remove(name);
    }
    headers.remove(CONTENT_LENGTH);
    if has_account {
        headers.remove(AUTHORIZATION);
    }
}

/// A number spread evenly over requests.
pub(crate) fn spread(id: &str) -> u64 {
    let hash = blake3::hash(id.as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}
