//! Continues a stream at another endpoint.

use std::{
    future::Future,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use hyper::body::Incoming;
use tanagergauge_core::{body_end::Framing, send_history::Failure};
use tokio::{sync::Notify, time::sleep};

use crate::{attempt::Attempt, progress::RequestProgress, retry::OpenedResponse};

/// How long a silent endpoint may go on with a stream once another one was sent the request to continue
/// it. Refusals come sooner; after it, two endpoints would work on the same stream.
const MAX_OVERLAP: Duration = Duration::from_millis(150);

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
    /// The endpoint that fell silent. It goes on with the stream if the other one refuses at once.
    pub(crate) silent: Option<SilentUpstream>,
}

/// An endpoint that fell silent, until it is told to stop.
pub(crate) struct SilentUpstream {
    pub(crate) upstream: Box<Upstream>,
    stop: Pin<Box<dyn Future<Output = ()> + Send>>,
}

impl SilentUpstream {
    /// Keeps the endpoint connected until [`MAX_OVERLAP`] after the request was `sent` to another one.
    pub(crate) fn new(upstream: Box<Upstream>, sent: Arc<Notify>) -> SilentUpstream {
        let stop = async move {
            sent.notified().await;
            sleep(MAX_OVERLAP).await;
        };
        SilentUpstream { upstream, stop: Box::pin(stop) }
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
}
