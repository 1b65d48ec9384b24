//! A request that ends without an answer, and how its caller is told.

use hyper::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use serde::Serialize;
use tanagergauge_core::{Name, Outcome, Reason};

use crate::{body::AnswerBody, headers};

/// Why a request ends without an answer.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// What became of the request; never [`Outcome::Answered`].
    pub outcome: Outcome,
    /// Why.
    pub reason: Reason,
    /// The reason in words, for people.
    pub message: String,
    /// When to come again, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    message: &'a str,
    r#type: &'static str,
    code: Reason,
    request_id: &'a Name,
    outcome: Outcome,
}

impl Refusal {
    /// The request did not run and will not run.
    pub fn not_run(reason: Reason, message: impl Into<String>) -> Refusal {
        Refusal { outcome: Outcome::NotRun, reason, message: message.into(), retry_after_ms: None }
    }

    /// The request may have run.
    pub fn unknown(reason: Reason, message: impl Into<String>) -> Refusal {
        Refusal { outcome: Outcome::Unknown, reason, message: message.into(), retry_after_ms: None }
    }

    /// The same refusal with a hint when to come again.
    pub fn retry_after_ms(self, retry_after_ms: u64) -> Refusal {
        Refusal { retry_after_ms: Some(retry_after_ms), ..self }
    }

    /// The status a caller sees.
    pub fn status(&self) -> StatusCode {
        match self.outcome {
            Outcome::Unknown => unknown_status(self.reason),
            Outcome::NotRun | Outcome::Answered => not_run_status(self.reason),
        }
    }

    /// The error as a JSON document.
    pub fn document(&self, request_id: &Name) -> Vec<u8> {
        let error = ErrorDetail {
            message: &self.message,
            r#type: if self.status().is_client_error() { "invalid_request" } else { "unavailable" },
            code: self.reason,
            request_id,
            outcome: self.outcome,
        };
        serde_json::to_vec(&ErrorBody { error }).unwrap_or_default()
    }

    /// The answer that tells the caller.
    pub fn response(&self, request_id: &Name) -> Response<AnswerBody> {
        let mut response = Response::new(AnswerBody::whole(self.document(request_id)));
        *response.status_mut() = self.status();
        let map = response.headers_mut();
        map.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        map.insert(headers::OUTCOME, HeaderValue::from_static(self.outcome.into()));
        map.insert(headers::OUTCOME_REASON, HeaderValue::from_static(self.reason.into()));
        headers::insert_text(map, headers::REQUEST_ID, request_id);
        if let Some(retry_after_ms) = self.retry_after_ms {
            map.insert(RETRY_AFTER, HeaderValue::from(retry_after_ms.div_ceil(1000)));
            map.insert(headers::RETRY_AFTER_MS, HeaderValue::from(retry_after_ms));
        }
        response
    }
}

fn unknown_status(reason: Reason) -> StatusCode {
    match reason {
        Reason::EndpointTimeout => StatusCode::GATEWAY_TIMEOUT,
        Reason::EndpointBroke | Reason::WrongAnswer | Reason::BadAnswer => StatusCode::BAD_GATEWAY,
        _ => StatusCode::CONFLICT,
    }
}

fn not_run_status(reason: Reason) -> StatusCode {
    match reason {
        Reason::Malformed
        | Reason::DuplicateHeader
        | Reason::UnknownClass
        | Reason::WrongKind
        | Reason::KeyMissing
        | Reason::KeyMalformed
        | Reason::KeyFromFuture => StatusCode::BAD_REQUEST,
        Reason::Unauthenticated | Reason::CredentialExpired => StatusCode::UNAUTHORIZED,
        Reason::KeyReused | Reason::Quarantined => StatusCode::FORBIDDEN,
        Reason::UnknownPath | Reason::UnknownTarget => StatusCode::NOT_FOUND,
        Reason::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
        Reason::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Reason::QueueFull
        | Reason::Infeasible
        | Reason::OverShare
        | Reason::TooManyStreams
        | Reason::RetryBudget
        | Reason::KeyTableFull => StatusCode::TOO_MANY_REQUESTS,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}
