//! Responses to callers.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::{
    Response, StatusCode, Version,
    body::{Body, Frame, SizeHint},
    header::{CONNECTION, CONTENT_LENGTH, HeaderValue, RETRY_AFTER},
};
use tanagergauge_core::{Outcome, Reason};

use crate::relay::{BodyAborted, Relay};

/// Body of a response to a caller.
pub(crate) enum ResponseBody {
    /// Sent at once; `None` if it is empty or was sent.
    Buffered(Option<Bytes>),
    /// Sent at once, and ends with the connection; `None` if it is empty or was sent.
    BufferedUntilClose(Option<Bytes>),
    /// Forwarded as it arrives from an endpoint.
    Streamed(Box<Relay>),
}

/// Makes a response end with its connection: without framing, it does not say whether it is whole.
pub(crate) fn end_with_connection(response: &mut Response<ResponseBody>) {
    // hyper omits the framing in this version only; the caller's socket writes the regular one.
    *response.version_mut() = Version::HTTP_10;
    let headers = response.headers_mut();
    headers.remove(CONTENT_LENGTH);
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
}

/// A request that ends without an endpoint's response.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    /// Whether the request may have run.
    pub(crate) outcome: Outcome,
    pub(crate) reason: Reason,
    /// Delay after which the caller may retry, in milliseconds.
    pub(crate) retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Refuses a request that has not run and will not run.
    pub(crate) fn not_run(reason: Reason) -> Refusal {
        Refusal { outcome: Outcome::NotRun, reason, retry_after_ms: None }
    }

    /// Reports that it is unknown whether the request ran.
    pub(crate) fn unknown(reason: Reason) -> Refusal {
        Refusal { outcome: Outcome::Unknown, reason, retry_after_ms: None }
    }

    /// Adds a delay after which the caller may retry.
    pub(crate) fn retry_after_ms(self, retry_after_ms: u64) -> Refusal {
        Refusal { retry_after_ms: Some(retry_after_ms), ..self }
    }

    /// HTTP status for the caller.
    pub(crate) fn status(&self) -> StatusCode {
        match (self.outcome, self.reason) {
            (Outcome::Unknown, Reason::EndpointTimeout) => StatusCode::GATEWAY_TIMEOUT,
            (Outcome::Unknown, _) => StatusCode::BAD_GATEWAY,
            (_, Reason::Malformed | Reason::DuplicateHeader) => StatusCode::BAD_REQUEST,
            (_, Reason::Unauthenticated) => StatusCode::UNAUTHORIZED,
            (_, Reason::UnknownPath) => StatusCode::NOT_FOUND,
            (_, Reason::BodyTimeout) => StatusCode::REQUEST_TIMEOUT,
            (_, Reason::BodyTooLarge) => StatusCode::PAYLOAD_TOO_LARGE,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// HTTP response for the caller.
    pub(crate) fn response(&self) -> Response<ResponseBody> {
        let mut response = Response::new(ResponseBody::buffered(Bytes::new()));
        *response.status_mut() = self.status();
        response.headers_mut().insert(CONTENT_LENGTH, HeaderValue::from_static("0"));
        if let Some(retry_after_ms) = self.retry_after_ms {
            let seconds = format!("{:.3}", retry_after_ms as f64 / 1000.0);
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        response
    }
}

impl ResponseBody {
    /// A body whose bytes are all available.
    pub(crate) fn buffered(bytes: Bytes) -> ResponseBody {
        ResponseBody::Buffered((!bytes.is_empty()).then_some(bytes))
    }

    /// The same for a body that ends with its connection.
    pub(crate) fn buffered_until_close(bytes: Bytes) -> ResponseBody {
        ResponseBody::BufferedUntilClose((!bytes.is_empty()).then_some(bytes))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        match self.get_mut() {
            ResponseBody::Buffered(bytes) | ResponseBody::BufferedUntilClose(bytes) => {
                Poll::Ready(bytes.take().map(|it| Ok(Frame::data(it))))
            }
            ResponseBody::Streamed(relay) => {
                relay.poll_bytes(cx).map(|it| it.map(|it| it.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ResponseBody::Buffered(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |it| it.len() as u64))
            }
            ResponseBody::BufferedUntilClose(_) | ResponseBody::Streamed(_) => SizeHint::default(),
        }
    }
}
