//! Continues a stream at another endpoint, while its silent one may still go on.

use std::{
    future::Future,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use tanagergauge_core::{
    body_end::Framing, event_forwarder::EventForwarder, send_history::Failure,
};
use tokio::sync::Notify;

use crate::{
    attempt::Attempt, progress::RequestProgress, retry::OpenedResponse, silence::wait_for_stop,
};

/// Sends the request to another endpoint; the response is absent if that fails.
pub(crate) type Resuming =
    Pin<Box<dyn Future<Output = (RequestProgress, Option<OpenedResponse>)> + Send>>;

/// The response of one endpoint.
pub(crate) struct Upstream {
    pub(crate) framing: Framing,
    pub(crate) body: Incoming,
    pub(crate) attempt: Attempt,
}

/// Another endpoint is being asked to continue a stream.
pub(crate) struct Resumption {
    /// Why the stream is resumed.
    pub(crate) failure: Failure,
    pub(crate) asking: Resuming,
    /// Ends [`Resumption::asking`] without a response.
    pub(crate) cancel: Arc<Notify>,
    /// The endpoint that fell silent. The stream goes on there if it sends an event first.
    pub(crate) silent: Option<SilentUpstream>,
}

/// An endpoint that fell silent, until it is told to stop.
pub(crate) struct SilentUpstream {
    pub(crate) upstream: Box<Upstream>,
    stop: Pin<Box<dyn Future<Output = ()> + Send>>,
}

/// What a silent endpoint did while another one was asked.
pub(crate) enum SilentStep {
    /// It sent events.
    Events(Bytes),
    /// It ended its response, which is whole.
    End,
}

impl SilentUpstream {
    /// Keeps the endpoint connected until [`MAX_OVERLAP`](crate::silence::MAX_OVERLAP) after another one has `begun` its response.
    pub(crate) fn new(upstream: Box<Upstream>, begun: Arc<Notify>) -> SilentUpstream {
        SilentUpstream { upstream, stop: Box::pin(wait_for_stop(begun)) }
    }
}

impl Resumption {
    /// Polls for the answer of the endpoint that is asked, and disconnects from the silent one in time.
    pub(crate) fn poll(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<(RequestProgress, Option<OpenedResponse>)> {
        let answer = self.asking.as_mut().poll(cx);
        if answer.is_pending()
            && let Some(silent) = &mut self.silent
            && silent.stop.as_mut().poll(cx).is_ready()
        {
            self.silent = None;
        }
        answer
    }

    /// Polls the silent endpoint, whose bytes go through `events`. One whose response breaks off is
    /// forgotten. Bytes that complete no event do not count. One that is about to be taken away is not read:
    /// its next event would end the move.
    pub(crate) fn poll_silent(
        &mut self,
        cx: &mut Context<'_>,
        events: &mut EventForwarder,
    ) -> Option<SilentStep> {
        if self.failure == Failure::Leaving {
            return None;
        }
        let upstream = &mut self.silent.as_mut()?.upstream;
        loop {
            match Pin::new(&mut upstream.body).poll_frame(cx) {
                Poll::Pending => return None,
                Poll::Ready(Some(Ok(frame))) => {
                    let bytes = events.push(frame.into_data().unwrap_or_default());
                    if !bytes.is_empty() {
                        return Some(SilentStep::Events(bytes));
                    }
                    if events.is_event_too_long() || events.fault().is_some() {
                        break;
                    }
                }
                Poll::Ready(None) if upstream.framing.shows_end() && !events.is_inside_event() => {
                    return Some(SilentStep::End);
                }
                Poll::Ready(None | Some(Err(_))) => break,
            }
        }
        self.silent = None;
        None
    }

    /// Stops asking another endpoint. Returns the progress of the request.
    pub(crate) fn cancel(&mut self, cx: &mut Context<'_>) -> Option<RequestProgress> {
        self.cancel.notify_one();
        match self.asking.as_mut().poll(cx) {
            Poll::Ready((progress, _)) => Some(progress),
            Poll::Pending => None,
        }
    }
}
