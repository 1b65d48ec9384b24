//! Whether the response of another endpoint continues a stream that broke off.
//!
//! That is proved by its status, its kind of content and the numbers of its events, and assumed of none.

use bytes::Bytes;
use hyper::{
    StatusCode,
    header::{CONTENT_TYPE, HeaderValue},
};
use tanagergauge_core::{event_forwarder::EventForwarder, event_order::OrderFault};

use crate::{request::Request, retry::OpenedResponse, upstream_response};

/// What a response is whose stream broke off.
pub(crate) struct StreamKind {
    status: StatusCode,
    content_type: Option<HeaderValue>,
    is_event_stream: bool,
}

/// Why a response does not continue a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum Mismatch {
    /// It has another status.
    Status,
    /// It has another kind of content.
    ContentType,
    /// It is empty, and nothing says that it is a stream of events.
    Empty,
    /// Its first event does not follow the last one of the stream.
    Events(OrderFault),
}

impl StreamKind {
    pub(crate) fn of(opened: &OpenedResponse) -> StreamKind {
        StreamKind {
            status: opened.head.status,
            content_type: opened.head.headers.get(CONTENT_TYPE).cloned(),
            is_event_stream: opened.is_event_stream,
        }
    }

    /// Whether a response continues the stream of which `events` were forwarded.
    pub(crate) fn is_continued_by(
        &self,
        opened: &OpenedResponse,
        events: &EventForwarder,
        request: &Request,
    ) -> bool {
        let Some(mismatch) = self.mismatch(opened, events) else { return true };
        let order_fault = match mismatch {
            Mismatch::Events(fault) => Some(fault),
            _ => None,
        };
        if mismatch == Mismatch::ContentType {
            tracing::warn!(
                request = %request.id,
                endpoint = %opened.attempt.chosen.id,
                "cannot resume the stream: the response has another content type"
            );
        }
        tracing::warn!(
            request = %request.id,
            endpoint = %opened.attempt.chosen.id,
            status = opened.head.status.as_u16(),
            mismatch = <&str>::from(mismatch),
            order_fault = order_fault.map(<&str>::from),
            event_id = order_fault.and_then(OrderFault::number).map(|it| it.to_string()),
            after_event_id = events.last_event_id().map(display_id),
            "response does not continue the stream"
        );
        false
    }

    fn mismatch(&self, opened: &OpenedResponse, events: &EventForwarder) -> Option<Mismatch> {
        if opened.head.status != self.status {
            return Some(Mismatch::Status);
        }
        if !self.is_event_stream {
            let is_same = opened.head.headers.get(CONTENT_TYPE) == self.content_type.as_ref();
            return (!is_same).then_some(Mismatch::ContentType);
        }
        if !opened.is_event_stream {
            return Some(Mismatch::ContentType);
        }
        if opened.first.is_empty() && !upstream_response::is_named_event_stream(&opened.head) {
            return Some(Mismatch::Empty);
        }
        events.fault_of_continuation(&opened.first).map(Mismatch::Events)
    }
}

/// An event id for the log.
pub(crate) fn display_id(id: &Bytes) -> String {
    String::from_utf8_lossy(id).into_owned()
}
