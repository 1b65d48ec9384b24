//! Body of a streamed response: forwarded as it arrives, and resumed at another endpoint if the
//! stream breaks and its route allows that.

mod begun;
mod body_aborted;
mod resuming;
mod stalled;

use std::{
    future::Future,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use tanagergauge_core::{
    Outcome, Reason,
    body_end::{BodyEnd, Framing},
    event_forwarder::EventForwarder,
    send_history::Failure,
};
use tokio::time::Instant;

pub(crate) use self::body_aborted::BodyAborted;

use crate::{
    attempt::{self, Attempt},
    continuation::StreamKind,
    gateway::Gateway,
    liveness,
    progress::RequestProgress,
    request::Request,
    resumption::{Resumption, SilentStep, Upstream},
    retry::OpenedResponse,
    stall::StallTimer,
    suspects, take_up,
};

/// Log target of the submodules, which is that of this module.
const LOG_TARGET: &str = "tanagergauge_gateway::relay";

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
    /// What a response that continues the stream must be.
    kind: StreamKind,
    stall: StallTimer,
    /// How often the stream was resumed.
    resumed: u32,
    /// It was recorded at which version the stream began.
    has_begun: bool,
    /// When the connection was opened on which the events arrived; monotonic.
    opened_ms: u64,
    /// Another endpoint was asked to go on because the stream's own was about to be taken away.
    was_moved: bool,
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
        let event_gap_goal_ms = can_resume.then_some(request.route.event_gap_goal_ms.unwrap_or(0));
        let last_event_id = take_up::last_event_id(&request, &gateway.header_names);
        let events = EventForwarder::new(can_resume, opened.is_event_stream, last_event_id);
        Relay {
            kind: StreamKind::of(&opened),
            progress,
            state: State::streaming(opened.framing, opened.body, opened.attempt),
            first: Some(opened.first),
            events,
            stall: StallTimer::new(request.deadline, event_gap_goal_ms),
            resumed: 0,
            has_begun: false,
            opened_ms: 0,
            was_moved: false,
            gateway,
            request,
        }
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
                            SilentStep::Events(bytes) => {
                                self.record_forwarded();
                                Some(Ok(bytes))
                            }
                            SilentStep::End => self.end(BodyEnd::Whole),
                        });
                    }
                    let (progress, opened) = ready!(resumption.poll(cx));
                    let (failure, silent) = (resumption.failure, resumption.silent.take());
                    self.progress = progress;
                    match opened {
                        Some(opened) if self.accepts(&opened, silent.is_some()) => {
                            self.continue_with(opened);
                        }
                        Some(_) => self.begin_resuming(failure, silent.map(|it| it.upstream)),
                        None => self.continue_without(failure, silent, cx),
                    }
                    if matches!(self.state, State::Aborting) {
                        return Poll::Pending;
                    }
                }
                State::Streaming(..) => match ready!(self.poll_upstream(cx)) {
                    Step::Bytes(bytes) if bytes.is_empty() => {}
                    Step::Bytes(bytes) => {
                        self.record_forwarded();
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
        if let Some(fault) = self.events.fault() {
            self.log_order_fault(fault);
            return Poll::Ready(Step::Failed(Failure::BadAnswer));
        }
        if self.begins_to_move() {
            return Poll::Ready(Step::Failed(Failure::Leaving));
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
            Poll::Pending => {
                upstream.attempt.record_waiting();
                self.poll_timer(cx)
            }
        }
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
        let (chosen, begun_ms) = (upstream.attempt.chosen.clone(), upstream.attempt.begun_ms());
        let check = async move {
            liveness::is_present_after_end(&gateway, &request, &chosen, begun_ms).await
        };
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
        let goes_on = matches!(failure, Failure::Silent | Failure::Leaving);
        let past_deadline = Instant::now() >= self.request.deadline;
        if self.events.can_continue() && !past_deadline {
            self.begin_resuming(failure, upstream.filter(|_| goes_on));
        } else {
            if self.events.can_resume() && !self.events.can_continue() {
                tracing::info!(request = %self.request.id, "stream cannot be resumed: its last event has no id");
            }
            self.abort(failure, cx);
        }
    }

    /// Whether the framing of the response to the caller says where it ends.
    fn caller_is_told_end(&self) -> bool {
        self.progress.caller_framing.is_none_or(Framing::shows_end)
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
