//! Sends a request to one endpoint after another, until one answers or none may be tried.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{body::Incoming, http::response};
use tanagergauge_core::{
    Reason,
    balancer::{EndpointQuery, NoEndpoint, SelectedEndpoint},
    send_history::{Failure, NextStep, has_time_to_send},
};
use tokio::time::{Instant, timeout_at};

use crate::{
    answer, clock,
    course::{Course, SHORT_RETRY_MS},
    gateway::Gateway,
    meters,
    reply::Refusal,
    request::{Request, spread},
    send::{self, Answer, Lease},
};

/// How long a request that can be sent again waits at one endpoint, as a multiple of its goal.
const PATIENCE_GOALS: f64 = 2.0;
/// What is added to it for each millisecond by which all endpoints are late.
const PATIENCE_DELAYS: f64 = 3.0;
/// The least such wait.
const LEAST_PATIENCE: Duration = Duration::from_millis(400);

/// An answer that began: its head and first bytes are there.
pub(crate) struct Obtained {
    pub(crate) head: response::Parts,
    pub(crate) first: Bytes,
    pub(crate) body: Incoming,
    pub(crate) lease: Lease,
}

/// The beginning of a streamed answer, from whichever endpoint gives it.
///
/// # Errors
/// What to tell the caller.
pub(crate) async fn obtain(
    gateway: &Arc<Gateway>,
    request: &Request,
    course: &mut Course,
    last_event_id: Option<&Bytes>,
) -> Result<Obtained, Refusal> {
    loop {
        let answer = next_answer(gateway, request, course, last_event_id).await?;
        let Answer { head, mut body, mut lease } = answer;
        if head.status.is_server_error() && has_another_attempt(gateway, request, course) {
            fail(gateway, request, course, &lease, Failure::Failed);
            continue;
        }
        let until = patience(gateway, request, course);
        let first = match timeout_at(until, first_bytes(&mut body)).await {
            Ok(Some(first)) => first,
            Ok(None) => {
                fail(gateway, request, course, &lease, Failure::Broke);
                continue;
            }
            Err(_) => {
                fail(gateway, request, course, &lease, Failure::Silent);
                continue;
            }
        };
        lease.begin(answer::load(&head.headers, &gateway.names.load));
        course.first_byte_ms.get_or_insert_with(|| clock::elapsed_ms(request.arrived));
        meters::first_byte(&request.route.name, request.arrived.elapsed());
        return Ok(Obtained { head, first, body, lease });
    }
}

pub(crate) fn fail(
    gateway: &Gateway,
    request: &Request,
    course: &mut Course,
    lease: &Lease,
    failure: Failure,
) {
    send::note(gateway, request, &lease.chosen, failure);
    course.failed(request, &lease.chosen.id, failure);
}

/// The first bytes of a body; `None` if it broke off. An empty body has empty first bytes.
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

/// Sends a request to one endpoint after another until one answers.
pub(crate) async fn next_answer(
    gateway: &Arc<Gateway>,
    request: &Request,
    course: &mut Course,
    last_event_id: Option<&Bytes>,
) -> Result<Answer, Refusal> {
    loop {
        if !has_time_to_send(request.left().as_secs_f64() * 1000.0, request.route.goal_ms) {
            return Err(out_of_time(course));
        }
        if !may_send(gateway, request, course) {
            return Err(given_up(course));
        }
        let chosen = match course.ahead.take() {
            Some(chosen) => chosen,
            None => choose(gateway, request, course)?,
        };
        course.last = Some(chosen.clone());
        let until = patience(gateway, request, course);
        let endpoint = chosen.id.clone();
        match send::send(gateway, request, chosen, last_event_id, until).await {
            Ok(answer) => return Ok(answer),
            Err(failure) => {
                course.failed(request, &endpoint, failure);
            }
        }
    }
}

/// Whether a request may be sent, again if it was sent before.
fn may_send(gateway: &Gateway, request: &Request, course: &Course) -> bool {
    let Some(failure) = course.failure else { return true };
    match course.sendings.next_step(request.route.retry_safety, request.route.attempts) {
        NextStep::NotRun | NextStep::Unknown => false,
        NextStep::Resend { uses_retry_budget: false } => true,
        NextStep::Resend { uses_retry_budget: true } => {
            let taken = gateway.budgets().take(&request.service, clock::now_ms());
            if taken {
                meters::resend(failure);
            }
            taken
        }
    }
}

pub(crate) fn choose(
    gateway: &Gateway,
    request: &Request,
    course: &mut Course,
) -> Result<SelectedEndpoint, Refusal> {
    course.list_age_ms = gateway.endpoints_age_ms().unwrap_or(u64::MAX);
    let query = EndpointQuery {
        service: &request.service,
        parts: &request.parts,
        tried: &course.tried,
        latency_sensitive: request.latency_sensitive,
        may_probe: request.route.retry_safety.allows_resend(),
        random: spread(&request.id),
    };
    let chosen = gateway.balancer().choose(&query, clock::now_ms());
    chosen.map_err(|why| match why {
        _ if course.sendings.may_have_run > 0 => given_up(course),
        NoEndpoint::NoneServing | NoEndpoint::Exhausted => {
            Refusal::not_run(Reason::NoEndpoint).retry_after_ms(SHORT_RETRY_MS)
        }
    })
}

/// Whether a request could be sent again if the endpoint that has it now failed.
fn has_another_attempt(gateway: &Gateway, request: &Request, course: &Course) -> bool {
    let again = course.sendings.may_have_run + 1 < request.route.attempts;
    let allowed = request.route.retry_safety.allows_resend() && again;
    allowed && gateway.budgets().has_one(&request.service, clock::now_ms())
}

/// How long to wait for the endpoint that has the request now.
pub(crate) fn patience(gateway: &Gateway, request: &Request, course: &Course) -> Instant {
    if !has_another_attempt(gateway, request, course) {
        return request.until;
    }
    let goal = Duration::from_millis(request.route.goal_ms).mul_f64(PATIENCE_GOALS);
    let now_ms = clock::now_ms();
    let delay_ms = gateway.gates().delay_ms(&request.service, request.rank, now_ms);
    let delay = Duration::from_secs_f64(delay_ms.max(0.0) * PATIENCE_DELAYS / 1000.0);
    request.until.min(Instant::now() + goal.max(LEAST_PATIENCE) + delay)
}

fn out_of_time(course: &Course) -> Refusal {
    if course.sendings.may_have_run > 0 {
        return Refusal::unknown(Reason::EndpointTimeout);
    }
    Refusal::not_run(Reason::DeadlinePassed)
}

fn given_up(course: &Course) -> Refusal {
    let reason = match course.failure {
        Some(Failure::Unreachable) => Reason::ConnectFailed,
        Some(Failure::Refused | Failure::Replaced) => Reason::EndpointRefused,
        Some(Failure::Silent) => Reason::EndpointTimeout,
        Some(Failure::BadAnswer) => Reason::BadAnswer,
        Some(Failure::Broke | Failure::Failed) => Reason::EndpointBroke,
        None => Reason::NoEndpoint,
    };
    if course.sendings.may_have_run > 0 {
        return Refusal::unknown(reason);
    }
    Refusal::not_run(reason).retry_after_ms(SHORT_RETRY_MS)
}
