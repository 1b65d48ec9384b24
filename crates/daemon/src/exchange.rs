//! A request whose answer is delivered whole.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::{
    HeaderMap, Response, StatusCode,
    body::{Body, Incoming},
    header::{HeaderName, HeaderValue, TRANSFER_ENCODING},
};
use serde::{Deserialize, de::IgnoredAny};
use tanagergauge_core::{
    Name, Outcome, Reason,
    body_end::Framing,
    sheet::{Endpoint, TargetKind},
};
use tokio::time::timeout;

use crate::{
    attempt::{self, Answer, Failure, Ran},
    body::AnswerBody,
    collect::{self, CollectError},
    headers,
    once::Hold,
    refusal::Refusal,
    shared::Shared,
    work::{Attempts, Next, Work},
};

/// Longest wait for an endpoint beyond the caller's deadline; the answer still tells what became of it.
const GRACE: Duration = Duration::from_millis(50);

/// What of a completion is read.
#[derive(Deserialize)]
struct ModelAnswer {
    #[serde(default)]
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Usage {
    #[serde(default)]
    completion_tokens: u32,
}

/// A whole answer of an endpoint.
#[derive(Clone, Debug)]
pub struct WholeAnswer {
    /// The endpoint's status.
    pub status: StatusCode,
    /// The endpoint's headers that go on to the caller.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Tokens it says it has; 0 if it does not say.
    pub tokens: u32,
}

impl WholeAnswer {
    /// The answer as the caller gets it.
    pub fn response(self, request_id: &Name) -> Response<AnswerBody> {
        let mut response = Response::new(AnswerBody::whole(self.body));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        let map = response.headers_mut();
        headers::insert_text(map, headers::REQUEST_ID, request_id);
        map.insert(headers::OUTCOME, HeaderValue::from_static(Outcome::Answered.into()));
        response
    }
}

/// Runs a request until an endpoint's whole answer is here. With a hold, its key says
/// whether it may be sent.
///
/// # Errors
/// What the caller is told if there is none.
pub async fn run(
    shared: &Shared,
    work: &Work,
    hold: Option<&Hold>,
) -> Result<WholeAnswer, Refusal> {
    let mut attempts = Attempts::default();
    loop {
        let permit = attempts.begin(shared, work, 0).await?;
        hold.map_or(Ok(()), Hold::begin)?;
        let endpoint = Arc::clone(&permit.endpoint);
        let failure = match one_attempt(shared, work, &endpoint, attempts.number()).await {
            Ok(answer) => {
                if answer.status.is_success() {
                    permit.answered(Some(answer.tokens));
                }
                return Ok(answer);
            }
            Err(failure) => failure,
        };
        if let (Some(hold), Ran::No) = (hold, failure.ran) {
            hold.retract();
        }
        note_leaving(shared, &endpoint.name, failure.leaving);
        permit.failed(failure).await;
        match attempts.failed(shared, &endpoint.name, failure, work) {
            Next::Retry => {}
            Next::GiveUp(refusal) => return Err(refusal),
        }
    }
}

/// Tells the dispatcher and the fleet that an endpoint takes no new work.
pub fn note_leaving(shared: &Shared, endpoint: &Name, leaving: bool) {
    if leaving {
        shared.endpoint_left(endpoint);
    }
}

async fn one_attempt(
    shared: &Shared,
    work: &Work,
    endpoint: &Endpoint,
    number: u32,
) -> Result<WholeAnswer, Failure> {
    let left = work.time_left(shared.clock.now_ms()) + GRACE;
    let whole = async {
        let address = endpoint.address;
        let answer = attempt::open(&shared.pool, address, &work.call, number, left).await?;
        note_leaving(shared, &endpoint.name, answer.leaving);
        read_whole(shared, work, answer).await
    };
    let answered = timeout(left, whole).await;
    answered.unwrap_or(Err(Failure::after_send(Reason::EndpointTimeout)))
}

/// Reads an answer to its end and checks that it is one.
///
/// # Errors
/// It broke off, is too large, or is no answer of its kind.
pub async fn read_whole(
    shared: &Shared,
    work: &Work,
    answer: Answer,
) -> Result<WholeAnswer, Failure> {
    let (response, connection, address) = answer.into_parts();
    let (head, body) = response.into_parts();
    if !tells_its_end(&head.headers, &body) {
        return Err(Failure::after_send(Reason::BadAnswer));
    }
    let body = collect(body, shared.settings.limits.answer_bytes).await?;
    Answer::finish(connection, address, &shared.pool);
    let tokens = match work.target.kind {
        TargetKind::Model => check_model_answer(head.status, &body)?,
        TargetKind::Service => 0,
    };
    let headers = headers::for_caller(&head.headers);
    Ok(WholeAnswer { status: head.status, headers, body, tokens })
}

/// A body that ends where the connection does looks whole wherever it is cut.
fn tells_its_end(map: &HeaderMap, body: &Incoming) -> bool {
    let transfer_encoding = map.get_all(TRANSFER_ENCODING).iter().next_back();
    let has_length = body.size_hint().exact().is_some();
    Framing::of_headers(transfer_encoding.map(|it| it.as_bytes()), has_length).shows_end()
}

async fn collect(body: Incoming, limit_bytes: usize) -> Result<Bytes, Failure> {
    collect::collect(body, limit_bytes).await.map_err(|error| match error {
        CollectError::TooLarge => Failure::after_send(Reason::BadAnswer),
        CollectError::Broke => Failure::after_send(Reason::EndpointBroke),
    })
}

/// An engine's answer is a JSON document, and its own errors are not passed on. Gives the number
/// of tokens it says it has.
fn check_model_answer(status: StatusCode, body: &[u8]) -> Result<u32, Failure> {
    if status.is_server_error() {
        return Err(Failure::after_send(Reason::EndpointBroke));
    }
    // An answer of another shape is the caller's matter, as long as it is a document.
    if let Ok(answer) = serde_json::from_slice::<ModelAnswer>(body) {
        return Ok(answer.usage.map_or(0, |it| it.completion_tokens));
    }
    match serde_json::from_slice::<IgnoredAny>(body) {
        Ok(_) => Ok(0),
        Err(_) => Err(Failure::after_send(Reason::BadAnswer)),
    }
}

/// The value of a header as text.
pub fn header_text<'a>(map: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    map.get(name).and_then(|it| it.to_str().ok())
}
