//! Admission of requests: route, account, body and admission control.

use std::{
    sync::{Arc, atomic::AtomicBool},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{
    Response, Uri,
    body::{Body, Incoming},
    http::request as http_request,
};
use tanagergauge_core::{
    Name, Reason,
    access::CredentialFault,
    admission_controller::{AdmissionRequest, Verdict},
    prompt_part::{self, PromptPart},
    routing::{EngineLimits, Route},
};
use tokio::time::{Instant, timeout, timeout_at};

use crate::{
    attempt::idle_first_byte_ms,
    authenticate::authenticate,
    body_memory::{self, CollectError},
    clock,
    gateway::Gateway,
    header_names::HeaderNames,
    meters,
    progress::{AdmissionRecord, RequestProgress, SHORT_RETRY_MS},
    request::{self, Request, fraction, uniform_hash},
    response::{Refusal, ResponseBody},
    retry::choose_endpoint,
    suspects,
    take_up::{TakeUp, VersionChoice, VersionSource, choose_version, unknown_version_refusal},
};

/// Time-out for reading the rest of the body of a request that is refused before it has arrived.
const REFUSED_BODY_TIMEOUT: Duration = Duration::from_secs(1);
/// Most bytes of it that are read. An earlier configuration may have allowed larger bodies than the current
/// one.
const MAX_REFUSED_BODY_BYTES: usize = 8 << 20;

/// A request that was refused before it was complete and had a route.
pub(crate) struct Refused {
    id: Name,
    refusal: Refusal,
    /// Version of the configuration by which it was refused; `None` if there was none yet.
    version: Option<u64>,
    /// Present if it has no client account.
    credential_fault: Option<CredentialFault>,
}

impl Refused {
    pub(crate) fn response(&self) -> Response<ResponseBody> {
        meters::request_refused(self.refusal.reason);
        let credential: Option<&str> = self.credential_fault.map(Into::into);
        if let Some(fault) = self.credential_fault {
            meters::unauthenticated(fault);
        }
        tracing::info!(
            request = %self.id,
            outcome = %self.refusal.outcome,
            reason = %self.refusal.reason,
            credential,
            version = self.version,
            "request turned away"
        );
        self.refusal.response()
    }
}

/// Finds the route and account of a request and reads its body.
///
/// # Errors
/// The request is invalid, not allowed, or did not arrive completely in time.
pub(crate) async fn receive_request(
    gateway: &Gateway,
    incoming: hyper::Request<Incoming>,
) -> Result<Request, Refused> {
    let arrived = Instant::now();
    let (head, body) = incoming.into_parts();
    let names = &gateway.header_names;
    let id = head.headers.get(&names.request_id).and_then(|it| it.to_str().ok()).unwrap_or("");
    let id = Name::from(id);
    let configuration = gateway.configuration();
    let version = configuration.as_ref().map(|it| it.version);
    let refuse =
        |refusal: Refusal| Refused { id: id.clone(), refusal, version, credential_fault: None };
    let Some(configuration) = configuration else {
        let refusal = Refusal::not_run(Reason::NotReady).retry_after_ms(SHORT_RETRY_MS);
        return Err(refuse(refuse_after(body, refusal).await));
    };
    let (route, account) = match authenticate(&configuration, &head) {
        Ok(found) => found,
        Err(denied) => {
            let refusal = refuse_after(body, Refusal::not_run(denied.reason())).await;
            let credential_fault = denied.credential_fault();
            return Err(Refused { credential_fault, ..refuse(refusal) });
        }
    };
    let deadline = arrived + time_allowed(&head, names, &route);
    let body = read_body(gateway, body, configuration.limits.body_bytes, deadline)
        .await
        .map_err(|it| refuse(Refusal::not_run(it)))?;
    let parts = if route.has_prompt_parts {
        request::parse_parts(&head.headers, names)
    } else {
        Default::default()
    };
    let take_up = TakeUp::read(&head.headers, names, &route);
    let service = select_service(&route, &id, take_up.as_ref());
    let service = service.ok_or_else(|| refuse(Refusal::not_run(Reason::NoEndpoint)))?;
    let rank = configuration.rank(&route, account.as_ref());
    let engine = configuration.service(&service).and_then(|it| it.engine);
    let latency_sensitive = is_latency_sensitive(gateway, &route, &service, engine, &parts);
    gateway.budgets().record_request(&service, clock::now_ms());
    let http_request::Parts { method, uri, version: http_version, mut headers, .. } = head;
    request::strip_headers(&mut headers, names, configuration.reads_credentials());
    Ok(Request {
        id,
        method,
        uri: path_and_query(uri),
        http_version,
        headers,
        body,
        account,
        route,
        service,
        parts,
        take_up,
        rank,
        latency_sensitive,
        version: configuration.version,
        arrived,
        deadline,
        is_counted: AtomicBool::new(false),
    })
}

/// How long a request may take.
fn time_allowed(head: &http_request::Parts, names: &HeaderNames, route: &Route) -> Duration {
    let allowed = Duration::from_millis(route.timeout_ms);
    request::time_left(head, names).unwrap_or(allowed).min(allowed)
}

/// Whether streams of a route are latency-sensitive at the engines of a service.
fn is_latency_sensitive(
    gateway: &Gateway,
    route: &Route,
    service: &Name,
    engine: Option<EngineLimits>,
    parts: &[PromptPart],
) -> bool {
    let Some(engine) = engine else { return false };
    let initially = route.is_latency_sensitive(&engine);
    let (goal_ms, now_ms) = (route.event_gap_goal_ms, clock::now_ms());
    let tokens = prompt_part::total_tokens(parts);
    let mut balancer = gateway.balancer();
    balancer.speeds_mut().is_latency_sensitive(service, goal_ms, initially, tokens, now_ms)
}

/// A URI without scheme and authority.
fn path_and_query(uri: Uri) -> Uri {
    match uri.path_and_query() {
        Some(path) => path.clone().into(),
        None => uri,
    }
}

/// Chooses an endpoint and decides whether to admit the request.
///
/// # Errors
/// The request is quarantined, continues a stream of an unknown software version, has no endpoint, or
/// is expected to be late and should be retried after a delay.
pub(crate) async fn choose_and_admit(
    gateway: &Arc<Gateway>,
    request: &Request,
    progress: &mut RequestProgress,
) -> Result<(), Refusal> {
    if suspects::is_quarantined(gateway, request) {
        return Err(Refusal::not_run(Reason::Quarantined));
    }
    require_version(gateway, request, progress).await?;
    let chosen = choose_endpoint(gateway, request, progress).await?;
    // Without prompt parts the prefill time is unknown, so that admission control cannot decide.
    if request.parts.is_empty() {
        progress.preselected = Some(chosen);
        return Ok(());
    }
    let now_ms = clock::now_ms();
    let left_ms = request.time_left().as_secs_f64() * 1000.0;
    let is_retry = gateway.admission().is_retry(&request.route, left_ms);
    // The demand of a retry was recorded when it was refused.
    if !is_retry {
        gateway.balancer().record_demand(&chosen, &request.service, now_ms);
    }
    let admission_request = AdmissionRequest {
        rank: request.rank,
        goal_ms: request.route.goal_ms as f64,
        expected_ms: chosen.expected_ms + idle_first_byte_ms(&chosen),
        left_ms,
        is_retry,
        // Uniform in [0, 1).
        random: fraction(uniform_hash(&request.id)),
    };
    let decision = gateway.admission().decide(&request.service, &admission_request, now_ms);
    progress.last_choice = Some(chosen.clone());
    progress.preselected = Some(chosen);
    progress.admission = Some(AdmissionRecord { decision, is_retry });
    match decision.verdict {
        Verdict::Admit => Ok(()),
        Verdict::RetryAfter(after_ms) => {
            Err(Refusal::not_run(Reason::Infeasible).retry_after_ms(after_ms as u64))
        }
    }
}

/// Requires the software version that began the stream, if the caller takes one up.
///
/// # Errors
/// That version is not known.
async fn require_version(
    gateway: &Gateway,
    request: &Request,
    progress: &mut RequestProgress,
) -> Result<(), Refusal> {
    match choose_version(gateway, request).await {
        VersionChoice::Any => Ok(()),
        VersionChoice::Required { version, source } => {
            progress.required_version = Some(version);
            progress.version_source = Some(source);
            Ok(())
        }
        VersionChoice::Unknown { may_become_known } => {
            progress.version_source = Some(VersionSource::Unknown);
            Err(unknown_version_refusal(may_become_known))
        }
    }
}

/// The service that runs a request; `None` if the route lets none run. Of those that share a route, the one
/// that began a stream goes on with it.
fn select_service(route: &Route, id: &Name, take_up: Option<&TakeUp>) -> Option<Name> {
    if route.attempts == 0 {
        return None;
    }
    let begun_as = take_up.and_then(|it| it.resumes.as_ref()).unwrap_or(id);
    route.target(uniform_hash(begun_as)).cloned()
}

/// Refuses a request once its body has been read.
async fn refuse_after(mut body: Incoming, refusal: Refusal) -> Refusal {
    discard_body(&mut body).await;
    refusal
}

/// Reads the rest of the body of a request that is refused. Unread, it would close the connection while the
/// caller still sends, and the caller may not read the refusal then.
async fn discard_body(body: &mut Incoming) {
    let mut body = Limited::new(body, MAX_REFUSED_BODY_BYTES);
    let reading = async { while let Some(Ok(_)) = body.frame().await {} };
    // A caller that takes longer is refused all the same.
    let _ = timeout(REFUSED_BODY_TIMEOUT, reading).await;
}

async fn read_body(
    gateway: &Gateway,
    mut body: Incoming,
    limit_bytes: usize,
    deadline: Instant,
) -> Result<Bytes, Reason> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let collecting = body_memory::collect(&gateway.body_memory, &mut body, limit_bytes);
    let reason = match timeout_at(deadline, collecting).await {
        Err(_) => return Err(Reason::BodyTimeout),
        Ok(Ok(bytes)) => return Ok(bytes),
        Ok(Err(CollectError::Broke)) => return Err(Reason::Malformed),
        Ok(Err(CollectError::TooLarge)) => Reason::BodyTooLarge,
        Ok(Err(CollectError::NoMemory)) => Reason::QueueFull,
    };
    discard_body(&mut body).await;
    Err(reason)
}
