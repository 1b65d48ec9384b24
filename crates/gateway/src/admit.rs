//! Whether a request is let in: its route, its account, its body, and room for it.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{
    Response,
    body::{Body, Incoming},
    http::request as http_request,
};
use tanagergauge_core::{
    Name, Reason,
    admission_controller::{AdmissionRequest, Verdict},
    routing::{Configuration, Identity, Route},
};
use tokio::time::{Instant, timeout_at};

use crate::{
    attempts::choose,
    clock,
    course::{Course, GateRecord, SHORT_RETRY_MS},
    gateway::Gateway,
    meters,
    reply::{Refusal, ReplyBody},
    request::{self, Request, spread},
    send::ENGINE_BASE_MS,
    suspects,
};

/// A request that was turned away before it had a route.
pub(crate) struct Refused {
    id: Name,
    refusal: Refusal,
}

impl Refused {
    pub(crate) fn response(&self) -> Response<ReplyBody> {
        meters::refusal(self.refusal.reason);
        tracing::info!(
            request = %self.id,
            outcome = %self.refusal.outcome,
            reason = %self.refusal.reason,
            "request turned away"
        );
        self.refusal.response()
    }
}

/// Reads a request whole and finds its route.
pub(crate) async fn admit(
    gateway: &Gateway,
    incoming: hyper::Request<Incoming>,
) -> Result<Request, Refused> {
    let arrived = Instant::now();
    let (head, body) = incoming.into_parts();
    let names = &gateway.names;
    let id = head.headers.get(&names.request_id).and_then(|it| it.to_str().ok()).unwrap_or("");
    let id = Name::from(id);
    let refuse = |refusal: Refusal| Refused { id: id.clone(), refusal };
    let Some(configuration) = gateway.configuration() else {
        return Err(refuse(Refusal::not_run(Reason::NotReady).retry_after_ms(SHORT_RETRY_MS)));
    };
    let (route, identity) =
        find(&configuration, &head).map_err(|it| refuse(Refusal::not_run(it)))?;
    let allowed = Duration::from_millis(route.timeout_ms);
    let left = request::time_left(&head, names).unwrap_or(allowed).min(allowed);
    let until = arrived + left;
    let body = read_body(body, configuration.limits.body_bytes, until)
        .await
        .map_err(|it| refuse(Refusal::not_run(it)))?;
    let account = match identity {
        Identity::Account(account) => Some(account),
        Identity::Anonymous | Identity::Unauthenticated => None,
    };
    let parts = if route.has_prompt_parts {
        request::parts(&head.headers, names)
    } else {
        Default::default()
    };
    let target = route.target(spread(&id)).cloned();
    let service = target.ok_or_else(|| refuse(Refusal::not_run(Reason::NoEndpoint)))?;
    let rank = configuration.rank(&route, account.as_ref());
    let engine = configuration.service(&service).and_then(|it| it.engine);
    let latency_sensitive = engine.is_some_and(|it| route.is_latency_sensitive(&it));
    gateway.budgets().request(&service, clock::now_ms());
    let http_request::Parts { method, uri, mut headers, .. } = head;
    request::strip(&mut headers, names, account.is_some());
    let uri = match uri.path_and_query() {
        Some(path) => path.clone().into(),
        None => uri,
    };
    let version = configuration.version;
    Ok(Request {
        id,
        method,
        uri,
        headers,
        body,
        account,
        route,
        service,
        parts,
        rank,
        latency_sensitive,
        version,
        arrived,
        until,
    })
}

/// Chooses an endpoint, and asks the request to come again if it would be late there.
pub(crate) fn pass_gate(
    gateway: &Gateway,
    request: &Request,
    course: &mut Course,
) -> Result<(), Refusal> {
    if suspects::is_quarantined(gateway, request) {
        return Err(Refusal::not_run(Reason::Quarantined));
    }
    let chosen = choose(gateway, request, course)?;
    if request.parts.is_empty() {
        course.ahead = Some(chosen);
        return Ok(());
    }
    let now_ms = clock::now_ms();
    let left_ms = request.left().as_secs_f64() * 1000.0;
    let returned = gateway.gates().returned(&request.route, left_ms);
    if !returned {
        gateway.balancer().record_demand(&chosen, &request.service, now_ms);
    }
    let entrant = AdmissionRequest {
        rank: request.rank,
        goal_ms: request.route.goal_ms as f64,
        expected_ms: chosen.expected_ms + ENGINE_BASE_MS,
        left_ms,
        is_retry: returned,
        random: (spread(&request.id) >> 11) as f64 / (1u64 << 53) as f64,
    };
    let decision = gateway.gates().decide(&request.service, &entrant, now_ms);
    course.last = Some(chosen.clone());
    course.ahead = Some(chosen);
    course.gate = Some(GateRecord { decision, returned });
    match decision.verdict {
        Verdict::Admit => Ok(()),
        Verdict::RetryAfter(after_ms) => {
            Err(Refusal::not_run(Reason::Infeasible).retry_after_ms(after_ms as u64))
        }
    }
}

/// The route and holder of a request.
fn find(
    configuration: &Configuration,
    head: &http_request::Parts,
) -> Result<(Arc<Route>, Identity), Reason> {
    let host = request::host(head).ok_or(Reason::Malformed)?;
    let route = configuration.route(host, head.uri.path()).ok_or(Reason::UnknownPath)?;
    match configuration.authenticate(route, request::credential(head)) {
        Identity::Unauthenticated => Err(Reason::Unauthenticated),
        identity => Ok((Arc::clone(route), identity)),
    }
}

async fn read_body(body: Incoming, limit: usize, until: Instant) -> Result<Bytes, Reason> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    match timeout_at(until, Limited::new(body, limit).collect()).await {
        Err(_) => Err(Reason::BodyTimeout),
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Reason::BodyTooLarge),
        Ok(Err(_)) => Err(Reason::Malformed),
    }
}
