//! Body of a streamed response: forwarded as it arrives, and resumed at another endpoint if the
//! stream breaks and its route allows that.

use std::{
    fmt,
    future::Future,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use hyper::{
    body::{Body, Incoming},
    header::{CONTENT_TYPE, HeaderValue},
};
use tanagergauge_core::{
    Outcome, Reason,
    body_end::{BodyEnd, Framing},
    event_forwarder::EventForwarder,
    send_history::Failure,
};
use tokio::{
    sync::Notify,
    time::{Instant, Sleep, sleep_until},
};

use crate::{
    attempt::{self, Attempt},
    clock,
    gateway::Gateway,
    liveness, process_proof,
    progress::RequestProgress,
    request::Request,
    resumption::{Resuming, Resumption, SilentStep, SilentUpstream, Upstream},
    retry::{self, OpenedResponse, open_response},
    silence::REPLACE_INTERVAL,
    suspects, take_up,
};

/// Time without an event after which a resumable stream counts as stalled, as a multiple of the route's
/// `event_gap_goal_ms`.
const STALL_TIMEOUT_GAP_FACTOR: u32 = 5;
/// Minimum of that time.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(700);

/// A streamed body ended before it was complete.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyAborted;

impl fmt::Display for BodyAborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the response could not be completed")
    }
}

impl std::error::Error for BodyAborted {}

/// Checks whether the endpoint of a stream is still there.
type EndpointCheck = Pin<Box<dyn Future<Output = bool> + Send>>;

enum State {
    /// An endpoint streams the response.
    Streaming(Box<Upstream>),
    /// The stream may be whole or not; whether its endpoint is still there is being checked.
    CheckingEndpoint(Box<Upstream>, EndpointCheck),
    /// After a failure another endpoint is asked to continue the stream.
    Resuming(Resumption),
    /// Fails at the next poll, so that the server first writes what was forwarded.
    Aborting,
    /// Ended or failed.
    Done,
    /// Placeholder while the state is replaced.
    Transition,
}

/// A streamed response on its way to the caller.
pub(crate) struct Relay {
    gateway: Arc<Gateway>,
    request: Arc<Request>,
    progress: RequestProgress,
    state: State,
    /// First bytes of the current endpoint's response, read when the response was opened.
    first: Option<Bytes>,
    events: EventForwarder,
    /// Content type of the stream. A response that resumes it must have the same, unless both are streams
    /// of events.
    content_type: Option<HeaderValue>,
    /// When bytes last became forwardable.
    last_data: Instant,
    /// [`Relay::last_data`] of the latest stall that was recorded against the endpoint.
    overdue_since: Option<Instant>,
    timer: Pin<Box<Sleep>>,
    /// How often the stream was resumed.
    resumed: u32,
    /// Events of a stream that may be resumed were forwarded.
    has_begun: bool,
}

impl State {
    fn streaming(framing: Framing, body: Incoming, attempt: Attempt) -> State {
        State::Streaming(Box::new(Upstream { framing, body, attempt }))
    }
}

impl Relay {
    /// Forwards a response that has begun.
    pub(crate) fn new(
        gateway: Arc<Gateway>,
        request: Arc<Request>,
        progress: RequestProgress,
        opened: OpenedResponse,
    ) -> Relay {
        let can_resume = request.route.retry_safety.allows_resend();
        let mut relay = Relay {
            gateway,
            progress,
            state: State::streaming(opened.framing, opened.body, opened.attempt),
            first: Some(opened.first),
            events: EventForwarder::new(can_resume, opened.is_event_stream),
            content_type: opened.head.headers.get(CONTENT_TYPE).cloned(),
            last_data: Instant::now(),
            overdue_since: None,
            timer: Box::pin(sleep_until(request.deadline)),
            resumed: 0,
            has_begun: false,
            request,
        };
        relay.reset_timer(relay.last_data);
        relay
    }

    /// Polls for the next bytes for the caller.
    pub(crate) fn poll_bytes(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BodyAborted>>> {
        loop {
            match &mut self.state {
                State::Done | State::Transition => return Poll::Ready(None),
                State::Aborting => {
                    self.state = State::Done;
                    return Poll::Ready(Some(Err(BodyAborted)));
                }
                State::CheckingEndpoint(_, check) => {
                    let is_present = ready!(check.as_mut().poll(cx));
                    if let Some(ended) = self.endpoint_checked(is_present, cx) {
                        return ended;
                    }
                }
                State::Resuming(resumption) => {
                    if let Some(step) = resumption.poll_silent(cx, &mut self.events) {
                        self.go_on_with_silent(cx);
                        return Poll::Ready(match step {
                            SilentStep::Events(bytes) => Some(Ok(bytes)),
                            SilentStep::End => self.end(BodyEnd::Whole),
                        });
                    }
                    let (progress, opened) = ready!(resumption.poll(cx));
                    let (failure, silent) = (resumption.failure, resumption.silent.take());
                    self.progress = progress;
                    match opened.and_then(|it| self.accept(it)) {
                        Some(opened) => self.continue_with(opened),
                        None => self.continue_without(failure, silent, cx),
                    }
                    if matches!(self.state, State::Aborting) {
                        return Poll::Pending;
                    }
                }
                State::Streaming(..) => match ready!(self.poll_upstream(cx)) {
                    Step::Bytes(bytes) if bytes.is_empty() => {}
                    Step::Bytes(bytes) => {
                        self.record_begun();
                        return Poll::Ready(Some(Ok(bytes)));
                    }
                    Step::End => return Poll::Ready(self.end(BodyEnd::Whole)),
                    Step::UnknownEnd => self.check_endpoint(),
                    Step::Failed(failure) => {
                        self.handle_failure(failure, cx);
                        if matches!(self.state, State::Aborting) {
                            return Poll::Pending;
                        }
                    }
                },
            }
        }
    }

    fn poll_upstream(&mut self, cx: &mut Context<'_>) -> Poll<Step> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Step::Bytes(self.events.push(first)));
        }
        let State::Streaming(upstream) = &mut self.state else { return Poll::Ready(Step::End) };
        let shows_end = upstream.framing.shows_end();
        match Pin::new(&mut upstream.body).poll_frame(cx) {
            Poll::Ready(None) if self.events.is_inside_event() => {
                Poll::Ready(Step::Failed(Failure::Broke))
            }
            Poll::Ready(None) if !shows_end => Poll::Ready(Step::UnknownEnd),
            Poll::Ready(None) => Poll::Ready(Step::End),
            Poll::Ready(Some(Err(_))) => Poll::Ready(Step::Failed(Failure::Broke)),
            Poll::Ready(Some(Ok(frame))) => {
                let bytes = self.events.push(frame.into_data().unwrap_or_default());
                if self.events.is_event_too_long() {
                    return Poll::Ready(Step::Failed(Failure::BadAnswer));
                }
                if !bytes.is_empty() {
                    self.record_data();
                    return Poll::Ready(Step::Bytes(bytes));
                }
                // Bytes that complete no event do not keep a stalled stream alive.
                match self.poll_timer(cx) {
                    Poll::Pending => Poll::Ready(Step::Bytes(bytes)),
                    failed => failed,
                }
            }
            Poll::Pending => self.poll_timer(cx),
        }
    }

    /// Records the software version at which a stream began whose first events are forwarded. It goes on
    /// at that version only: what two versions write does not fit together. While it is not proven which
    /// process answers, the version is unknown.
    fn record_begun(&mut self) {
        let State::Streaming(upstream) = &self.state else { return };
        if !self.events.can_resume() || self.has_begun {
            return;
        }
        let required = self.progress.required_version.clone();
        let proven = || self.gateway.balancer().proven_version(&upstream.attempt.chosen).cloned();
        let Some(version) = required.or_else(proven) else { return };
        self.has_begun = true;
        take_up::record_begun(&self.gateway, &self.request, &version);
        self.progress.required_version = Some(version);
    }

    /// Ready if the caller's deadline has passed, or the stream has stalled and another endpoint can
    /// continue it.
    fn poll_timer(&mut self, cx: &mut Context<'_>) -> Poll<Step> {
        while self.timer.as_mut().poll(cx).is_ready() {
            let now = Instant::now();
            let is_over = now >= self.request.deadline;
            if is_over || (self.has_stalled(now) && self.try_replace()) {
                return Poll::Ready(Step::Failed(Failure::Silent));
            }
            self.reset_timer(now);
        }
        Poll::Pending
    }

    /// Sets the timer to the next time at which the stream may have stalled, can perhaps be continued
    /// elsewhere, or is past its deadline.
    fn reset_timer(&mut self, now: Instant) {
        let deadline = self.request.deadline;
        let at = match self.stall_timeout() {
            None => deadline,
            Some(_) if self.has_stalled(now) => deadline.min(now + REPLACE_INTERVAL),
            Some(timeout) => deadline.min(self.last_data + timeout),
        };
        self.timer.as_mut().reset(at);
    }

    fn has_stalled(&self, now: Instant) -> bool {
        self.stall_timeout().is_some_and(|it| now >= self.last_data + it)
    }

    /// Secures another endpoint for a stream that has stalled. Returns false if it has to wait for its
    /// own.
    fn try_replace(&mut self) -> bool {
        let State::Streaming(upstream) = &self.state else { return false };
        let endpoint = &upstream.attempt.chosen;
        if retry::try_replace(&self.gateway, &self.request, &mut self.progress, endpoint) {
            return true;
        }
        if self.overdue_since != Some(self.last_data) {
            self.overdue_since = Some(self.last_data);
            attempt::record_overdue(&self.gateway, &endpoint.id);
        }
        false
    }

    /// Records that bytes became forwardable. An endpoint that goes on after a stall is sound.
    fn record_data(&mut self) {
        if self.overdue_since == Some(self.last_data)
            && let State::Streaming(upstream) = &self.state
        {
            attempt::record_recovered(&self.gateway, &upstream.attempt.chosen.id);
        }
        self.last_data = Instant::now();
    }

    /// Time without an event after which the stream counts as stalled; `None` for a stream that cannot
    /// be resumed.
    fn stall_timeout(&self) -> Option<Duration> {
        if !self.events.can_resume() {
            return None;
        }
        let gap_goal = Duration::from_millis(self.request.route.event_gap_goal_ms.unwrap_or(0));
        Some((gap_goal * STALL_TIMEOUT_GAP_FACTOR).max(MIN_STALL_TIMEOUT))
    }

    /// Ends a stream whose connection brought no error; returns the bytes that were held back.
    fn end(&mut self, end: BodyEnd) -> Option<Result<Bytes, BodyAborted>> {
        let state = std::mem::replace(&mut self.state, State::Done);
        if let State::Streaming(upstream) | State::CheckingEndpoint(upstream, _) = state {
            upstream.attempt.finish();
        }
        suspects::record_success(&self.gateway, &self.request);
        self.progress.upstream_end = Some(end);
        self.report(Outcome::Answered, None);
        let rest = self.events.take_rest();
        (!rest.is_empty()).then_some(Ok(rest))
    }

    /// Checks whether the endpoint is still there, before a stream ends that may be whole or not.
    fn check_endpoint(&mut self) {
        let state = std::mem::replace(&mut self.state, State::Transition);
        let State::Streaming(upstream) = state else { return };
        let (gateway, request) = (Arc::clone(&self.gateway), Arc::clone(&self.request));
        let chosen = upstream.attempt.chosen.clone();
        let check =
            async move { liveness::is_present_after_end(&gateway, &request, &chosen).await };
        self.state = State::CheckingEndpoint(upstream, Box::pin(check));
    }

    /// Ends the stream if its endpoint is there and the caller was not promised to be told whether it is
    /// whole; else it is resumed, if that is possible.
    fn endpoint_checked(
        &mut self,
        is_present: bool,
        cx: &mut Context<'_>,
    ) -> Option<Poll<Option<Result<Bytes, BodyAborted>>>> {
        if is_present && !self.caller_is_told_end() {
            return Some(Poll::Ready(self.end(BodyEnd::Unknown)));
        }
        let failure = if is_present { Failure::EndUnknown } else { Failure::Broke };
        self.handle_failure(failure, cx);
        matches!(self.state, State::Aborting).then_some(Poll::Pending)
    }

    /// Resumes the stream at another endpoint after a failure, or gives up.
    fn handle_failure(&mut self, failure: Failure, cx: &mut Context<'_>) {
        let state = std::mem::replace(&mut self.state, State::Transition);
        let upstream = match state {
            State::Streaming(upstream) | State::CheckingEndpoint(upstream, _) => Some(upstream),
            _ => None,
        };
        if let Some(upstream) = &upstream {
            let chosen = &upstream.attempt.chosen;
            attempt::record_failure(&self.gateway, &self.request, chosen, failure);
            self.progress.attempt_failed(&self.request, &chosen.id, failure);
        }
        let past_deadline = Instant::now() >= self.request.deadline;
        if self.events.can_resume() && !past_deadline {
            let begun = self.progress.watch_begun();
            let silent = upstream.filter(|_| failure == Failure::Silent);
            let silent = silent.map(|it| SilentUpstream::new(it, begun));
            let cancel = Arc::new(Notify::new());
            let asking = self.resume(failure, Arc::clone(&cancel));
            self.state = State::Resuming(Resumption { failure, asking, cancel, silent });
        } else {
            self.abort(failure, cx);
        }
    }

    /// Asks another endpoint to continue the stream after its last complete event, until `cancel` is
    /// notified.
    fn resume(&mut self, failure: Failure, cancel: Arc<Notify>) -> Resuming {
        let (gateway, request) = (Arc::clone(&self.gateway), Arc::clone(&self.request));
        let mut progress = std::mem::take(&mut self.progress);
        let last_id = self.events.last_event_id().cloned();
        let last_choice = progress.last_choice.as_ref();
        tracing::info!(
            request = %request.id,
            software_version = last_choice.map(|it| &*it.software_version),
            events = self.events.event_count(),
            reason = %failure,
            silent_ms = clock::as_ms(self.last_data.elapsed()),
            "stream broke; another endpoint is asked to continue"
        );
        let has_events = self.events.event_count() > 0;
        let unknown = progress.last_choice.clone().filter(|_| has_events);
        let unknown = unknown.filter(|_| progress.required_version.is_none());
        Box::pin(async move {
            if let Some(begun_at) = unknown {
                let version = process_proof::wait_for_version(&gateway, &request, &begun_at).await;
                if version.is_none() {
                    return (progress, None);
                }
                progress.required_version = version;
            }
            let opening = open_response(&gateway, &request, &mut progress, last_id.as_ref());
            let opened = tokio::select! {
                biased;
                () = cancel.notified() => None,
                opened = opening => opened.ok(),
            };
            (progress, opened)
        })
    }

    /// Continues with the response of the endpoint that was asked to.
    fn continue_with(&mut self, opened: OpenedResponse) {
        self.resumed += 1;
        self.events.discard_partial();
        self.first = Some(opened.first);
        self.last_data = Instant::now();
        self.state = State::streaming(opened.framing, opened.body, opened.attempt);
        self.reset_timer(self.last_data);
    }

    /// Waits for the endpoint that fell silent, if it is still connected, since nobody else continues
    /// the stream; gives up without it.
    fn continue_without(
        &mut self,
        failure: Failure,
        silent: Option<SilentUpstream>,
        cx: &mut Context<'_>,
    ) {
        match silent {
            None => {
                self.events.discard_partial();
                self.abort(failure, cx);
            }
            Some(SilentUpstream { upstream, .. }) => {
                tracing::info!(
                    request = %self.request.id,
                    endpoint = %upstream.attempt.chosen.id,
                    "no endpoint continues the stream; waiting for its own"
                );
                self.return_to(upstream, failure);
            }
        }
    }

    /// Goes on with the endpoint that fell silent, as it sent an event or its end before another one
    /// continued the stream.
    fn go_on_with_silent(&mut self, cx: &mut Context<'_>) {
        let state = std::mem::replace(&mut self.state, State::Transition);
        let State::Resuming(mut resumption) = state else { return };
        if let Some(progress) = resumption.cancel(cx) {
            self.progress = progress;
        }
        self.progress.attempt_superseded(&self.request);
        let Some(SilentUpstream { upstream, .. }) = resumption.silent else { return };
        let endpoint = &upstream.attempt.chosen.id;
        tracing::info!(request = %self.request.id, %endpoint, "the silent endpoint goes on");
        attempt::record_recovered(&self.gateway, endpoint);
        self.last_data = Instant::now();
        self.return_to(upstream, resumption.failure);
    }

    /// Takes back that an endpoint failed, and streams its response again.
    fn return_to(&mut self, upstream: Box<Upstream>, failure: Failure) {
        self.progress.attempt_goes_on(&upstream.attempt.chosen, failure);
        self.progress.upstream_framing = Some(upstream.framing);
        self.progress.is_event_stream = Some(self.events.is_event_stream());
        self.state = State::Streaming(upstream);
        self.reset_timer(Instant::now());
    }

    /// Whether the framing of the response to the caller says where it ends.
    fn caller_is_told_end(&self) -> bool {
        self.progress.caller_framing.is_none_or(Framing::shows_end)
    }

    /// Returns a response if it continues the stream. An endpoint whose response does not may have run the
    /// request, and is not asked again.
    fn accept(&mut self, opened: OpenedResponse) -> Option<OpenedResponse> {
        if self.can_continue_with(&opened) {
            return Some(opened);
        }
        let endpoint = &opened.attempt.chosen.id;
        self.progress.attempt_failed(&self.request, endpoint, Failure::BadAnswer);
        None
    }

    /// Whether a response is a success and has the same kind of content as the stream.
    fn can_continue_with(&self, opened: &OpenedResponse) -> bool {
        if !opened.head.status.is_success() {
            return false;
        }
        let is_same = (self.events.is_event_stream() && opened.is_event_stream)
            || opened.head.headers.get(CONTENT_TYPE) == self.content_type.as_ref();
        if !is_same {
            tracing::warn!(
                request = %self.request.id,
                endpoint = %opened.attempt.chosen.id,
                "cannot resume the stream: the response has another content type"
            );
        }
        is_same
    }

    /// Aborts the stream at the next poll. When a body fails, the server discards data that it has
    /// not written yet; returning to it first lets it write the last event.
    fn abort(&mut self, failure: Failure, cx: &mut Context<'_>) {
        let reason = match failure {
            Failure::Silent => Reason::EndpointTimeout,
            _ => Reason::EndpointBroke,
        };
        self.report(Outcome::Unknown, Some(reason));
        self.state = State::Aborting;
        cx.waker().wake_by_ref();
    }

    fn report(&self, outcome: Outcome, reason: Option<Reason>) {
        self.progress.report(&self.request, outcome, reason, self.resumed);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !matches!(self.state, State::Done | State::Aborting) {
            self.report(Outcome::Unknown, Some(Reason::CallerLeft));
        }
    }
}

/// Result of polling an endpoint's response.
enum Step {
    Bytes(Bytes),
    /// The response is whole.
    End,
    /// The response may be whole or not.
    UnknownEnd,
    Failed(Failure),
}
