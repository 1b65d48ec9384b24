//! The life of one request, from its head to its answer.

use std::sync::{Arc, atomic::Ordering};

use bytes::Bytes;
use hyper::{
    Response,
    body::Incoming,
    header::{CONNECTION, CONTENT_LENGTH, HeaderValue},
    http::response,
};
use tanagergauge_core::{Outcome, Reason, send_history::Failure};

use crate::{
    admit::{admit, pass_gate},
    answer,
    attempts::{Obtained, fail, next_answer, obtain, patience},
    clock,
    course::Course,
    gateway::Gateway,
    meters,
    relay::Relay,
    reply::{Refusal, ReplyBody},
    request::Request,
    send::{self, Answer, Lease},
    suspects,
};

/// Counts a request as in progress while it lives.
struct InProgress(Arc<Gateway>);

impl InProgress {
    fn begin(gateway: &Arc<Gateway>) -> InProgress {
        gateway.in_progress.fetch_add(1, Ordering::Relaxed);
        InProgress(Arc::clone(gateway))
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Answers a caller's request.
pub(crate) async fn handle(
    gateway: Arc<Gateway>,
    incoming: hyper::Request<Incoming>,
) -> Response<ReplyBody> {
    let _in_progress = InProgress::begin(&gateway);
    let mut response = match admit(&gateway, incoming).await {
        Ok(request) => {
            let mut course = Course::default();
            match pass_gate(&gateway, &request, &mut course) {
                Ok(()) => serve(&gateway, Arc::new(request), course).await,
                Err(refusal) => {
                    course.report(&request, refusal.outcome, Some(refusal.reason), 0);
                    refusal.response()
                }
            }
        }
        Err(refused) => refused.response(),
    };
    if gateway.is_stopping() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn serve(
    gateway: &Arc<Gateway>,
    request: Arc<Request>,
    mut course: Course,
) -> Response<ReplyBody> {
    let mut guard = LeftGuard { request: &request, armed: true };
    let result = if request.route.retry_safety.is_stream() {
        stream(gateway, &request, &mut course).await
    } else {
        whole(gateway, &request, &mut course).await
    };
    guard.armed = false;
    match result {
        Ok(Reply::Whole(response)) => {
            suspects::ran(gateway, &request);
            course.report(&request, Outcome::Answered, None, 0);
            response
        }
        Ok(Reply::Stream(obtained)) => {
            let mut head = Response::new(());
            *head.status_mut() = obtained.head.status;
            *head.headers_mut() = obtained.head.headers.clone();
            answer::strip(head.headers_mut());
            if request.route.retry_safety.allows_resend() {
                head.headers_mut().remove(CONTENT_LENGTH);
            }
            let relay = Relay::new(Arc::clone(gateway), Arc::clone(&request), course, *obtained);
            head.map(|()| ReplyBody::Relay(Box::new(relay)))
        }
        Err(refusal) => {
            course.report(&request, refusal.outcome, Some(refusal.reason), 0);
            refusal.response()
        }
    }
}

/// Tells in the log that a caller left before its answer began.
struct LeftGuard<'a> {
    request: &'a Request,
    armed: bool,
}

impl Drop for LeftGuard<'_> {
    fn drop(&mut self) {
        if self.armed {
            meters::refusal(Reason::CallerLeft);
            tracing::info!(
                request = %self.request.id,
                route = %self.request.route.name,
                took_ms = clock::elapsed_ms(self.request.arrived),
                reason = %Reason::CallerLeft,
                "request ended"
            );
        }
    }
}

enum Reply {
    Whole(Response<ReplyBody>),
    Stream(Box<Obtained>),
}

async fn stream(
    gateway: &Arc<Gateway>,
    request: &Request,
    course: &mut Course,
) -> Result<Reply, Refusal> {
    let obtained = obtain(gateway, request, course, None).await?;
    if obtained.head.status.is_success() {
        return Ok(Reply::Stream(Box::new(obtained)));
    }
    let Obtained { head, first, body, lease } = obtained;
    let rest = send::read_whole(body, request.until).await;
    let rest = rest.map_err(|it| failed(request, course, &lease, it))?;
    lease.finish();
    let bytes = if rest.is_empty() { first } else { Bytes::from([first, rest].concat()) };
    Ok(Reply::Whole(deliver(head, bytes)))
}

async fn whole(
    gateway: &Arc<Gateway>,
    request: &Request,
    course: &mut Course,
) -> Result<Reply, Refusal> {
    let mut error_answer = None;
    loop {
        let answer = match next_answer(gateway, request, course, None).await {
            Ok(answer) => answer,
            Err(refusal) => {
                let fallback = error_answer.map(Reply::Whole);
                return fallback.ok_or(refusal);
            }
        };
        let Answer { head, body, mut lease } = answer;
        let until = patience(gateway, request, course);
        let bytes = match send::read_whole(body, until).await {
            Ok(bytes) => bytes,
            Err(failure) => {
                fail(gateway, request, course, &lease, failure);
                continue;
            }
        };
        lease.begin(answer::load(&head.headers, &gateway.names.load));
        course.first_byte_ms = Some(clock::elapsed_ms(request.arrived));
        let endpoint = lease.chosen.id.clone();
        let failed_there = head.status.is_server_error();
        if failed_there {
            if let Some(health) = gateway.balancer().health_mut(&endpoint) {
                health.record_failure(clock::now_ms());
            }
            lease.keep_connection();
        } else {
            lease.finish();
        }
        let response = deliver(head, bytes);
        if !(failed_there && request.route.retry_safety.allows_resend()) {
            return Ok(Reply::Whole(response));
        }
        course.failed(request, &endpoint, Failure::Failed);
        error_answer = Some(response);
    }
}

fn failed(request: &Request, course: &mut Course, lease: &Lease, failure: Failure) -> Refusal {
    course.failed(request, &lease.chosen.id, failure);
    Refusal::unknown(Reason::EndpointBroke)
}

fn deliver(head: response::Parts, bytes: Bytes) -> Response<ReplyBody> {
    let length = bytes.len();
    let mut response = Response::from_parts(head, ReplyBody::whole(bytes));
    answer::strip(response.headers_mut());
    response.headers_mut().insert(CONTENT_LENGTH, HeaderValue::from(length));
    response
}
