//! The body of a streamed answer, passed on as it comes and continued at another endpoint
//! where its route allows it.

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
use tanagergauge_core::{Outcome, Reason, send_history::Failure, sse_framer::SseFramer};
use tokio::time::{Instant, Sleep, sleep_until};

use crate::{
    attempts::{Obtained, obtain},
    course::Course,
    gateway::Gateway,
    request::Request,
    send::{self, Lease},
    suspects,
};

/// Silence of a stream after which another endpoint continues it, as a multiple of the longest
/// pause that is on time.
const SILENCE_PAUSES: u32 = 5;
/// The least such silence.
const LEAST_SILENCE: Duration = Duration::from_millis(700);

/// A streamed body was broken off.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Aborted;

impl fmt::Display for Aborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer could not be finished")
    }
}

impl std::error::Error for Aborted {}

type Resuming = Pin<Box<dyn Future<Output = (Course, Option<Obtained>)> + Send>>;

enum State {
    /// Bytes come from an endpoint.
    Flowing(Box<Upstream>),
    /// Another endpoint is asked to continue.
    Resuming(Resuming),
    /// It breaks off once what was passed on has left.
    Breaking,
    /// It ended.
    Done,
    /// Between two states.
    Moving,
}

/// An endpoint that streams an answer.
struct Upstream {
    body: Incoming,
    lease: Lease,
}

/// A streamed answer on its way to the caller.
pub(crate) struct Relay {
    gateway: Arc<Gateway>,
    request: Arc<Request>,
    course: Course,
    state: State,
    /// The first bytes, read before the head was passed on.
    first: Option<Bytes>,
    /// Present if another endpoint may continue the stream.
    splice: Option<SseFramer>,
    /// Type of what is streamed; what continues it has the same.
    content_type: Option<HeaderValue>,
    last_bytes: Instant,
    timer: Pin<Box<Sleep>>,
    resumed: u32,
}

impl State {
    fn flowing(body: Incoming, lease: Lease) -> State {
        State::Flowing(Box::new(Upstream { body, lease }))
    }
}

impl Relay {
    /// Passes on an answer that began.
    pub(crate) fn new(
        gateway: Arc<Gateway>,
        request: Arc<Request>,
        course: Course,
        obtained: Obtained,
    ) -> Relay {
        let splice = request.route.retry_safety.allows_resend().then(SseFramer::default);
        let mut relay = Relay {
            gateway,
            course,
            state: State::flowing(obtained.body, obtained.lease),
            first: Some(obtained.first),
            splice,
            content_type: obtained.head.headers.get(CONTENT_TYPE).cloned(),
            last_bytes: Instant::now(),
            timer: Box::pin(sleep_until(request.until)),
            resumed: 0,
            request,
        };
        relay.arm();
        relay
    }

    /// The next bytes for the caller.
    pub(crate) fn poll_bytes(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Aborted>>> {
        loop {
            match &mut self.state {
                State::Done | State::Moving => return Poll::Ready(None),
                State::Breaking => {
                    self.state = State::Done;
                    return Poll::Ready(Some(Err(Aborted)));
                }
                State::Resuming(resuming) => {
                    let (course, obtained) = ready!(resuming.as_mut().poll(cx));
                    self.resume_with(course, obtained, cx);
                    if matches!(self.state, State::Breaking) {
                        return Poll::Pending;
                    }
                }
                State::Flowing(..) => match ready!(self.poll_flowing(cx)) {
                    Step::Bytes(bytes) if bytes.is_empty() => {}
                    Step::Bytes(bytes) => return Poll::Ready(Some(Ok(bytes))),
                    Step::End => return Poll::Ready(self.end()),
                    Step::Broken(failure) => {
                        self.broken(failure, cx);
                        if matches!(self.state, State::Breaking) {
                            return Poll::Pending;
                        }
                    }
                },
            }
        }
    }

    fn poll_flowing(&mut self, cx: &mut Context<'_>) -> Poll<Step> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Step::Bytes(self.take(first)));
        }
        let State::Flowing(upstream) = &mut self.state else { return Poll::Ready(Step::End) };
        match Pin::new(&mut upstream.body).poll_frame(cx) {
            Poll::Ready(None) => Poll::Ready(Step::End),
            Poll::Ready(Some(Err(_))) => Poll::Ready(Step::Broken(Failure::Broke)),
            Poll::Ready(Some(Ok(frame))) => {
                let bytes = frame.into_data().unwrap_or_default();
                self.last_bytes = Instant::now();
                Poll::Ready(Step::Bytes(self.take(bytes)))
            }
            Poll::Pending => self.poll_timer(cx),
        }
    }

    /// Whether the stream was silent for too long, or nobody waits for it any longer.
    fn poll_timer(&mut self, cx: &mut Context<'_>) -> Poll<Step> {
        while self.timer.as_mut().poll(cx).is_ready() {
            let now = Instant::now();
            if now >= self.request.until || now >= self.last_bytes + self.silence() {
                return Poll::Ready(Step::Broken(Failure::Silent));
            }
            self.arm();
        }
        Poll::Pending
    }

    /// Sets the timer for the next time at which silence may have lasted too long.
    fn arm(&mut self) {
        let silent_at = self.last_bytes + self.silence();
        let at = if self.splice.is_some() {
            silent_at.min(self.request.until)
        } else {
            self.request.until
        };
        self.timer.as_mut().reset(at);
    }

    fn silence(&self) -> Duration {
        if self.splice.is_none() {
            return Duration::from_secs(3_600);
        }
        let pause = Duration::from_millis(self.request.route.event_gap_goal_ms.unwrap_or(0));
        (pause * SILENCE_PAUSES).max(LEAST_SILENCE)
    }

    fn take(&mut self, bytes: Bytes) -> Bytes {
        match &mut self.splice {
            Some(splice) => splice.push(bytes),
            None => bytes,
        }
    }

    fn end(&mut self) -> Option<Result<Bytes, Aborted>> {
        let state = std::mem::replace(&mut self.state, State::Done);
        if let State::Flowing(upstream) = state {
            upstream.lease.finish();
        }
        suspects::ran(&self.gateway, &self.request);
        self.report(Outcome::Answered, None);
        let rest = self.splice.as_mut().map(SseFramer::take_partial).unwrap_or_default();
        (!rest.is_empty()).then_some(Ok(rest))
    }

    fn broken(&mut self, failure: Failure, cx: &mut Context<'_>) {
        let state = std::mem::replace(&mut self.state, State::Moving);
        if let State::Flowing(upstream) = state {
            let chosen = &upstream.lease.chosen;
            send::note(&self.gateway, &self.request, chosen, failure);
            self.course.failed(&self.request, &chosen.id, failure);
        }
        let over = Instant::now() >= self.request.until;
        match &mut self.splice {
            Some(splice) if !over => {
                splice.discard_partial();
                let last_id = splice.last_id().cloned();
                self.state = State::Resuming(self.resuming(last_id, failure));
            }
            _ => self.give_up(failure, cx),
        }
    }

    fn resuming(&mut self, last_id: Option<Bytes>, failure: Failure) -> Resuming {
        let (gateway, request) = (Arc::clone(&self.gateway), Arc::clone(&self.request));
        let mut course = std::mem::take(&mut self.course);
        tracing::info!(
            request = %request.id,
            events = self.splice.as_ref().map_or(0, SseFramer::event_count),
            reason = %failure,
            "stream broke; another endpoint is asked to continue"
        );
        Box::pin(async move {
            let obtained = obtain(&gateway, &request, &mut course, last_id.as_ref()).await;
            (course, obtained.ok().filter(|it| it.head.status.is_success()))
        })
    }

    fn resume_with(&mut self, course: Course, obtained: Option<Obtained>, cx: &mut Context<'_>) {
        self.course = course;
        match obtained {
            Some(obtained) if !self.continues(&obtained) => {
                tracing::warn!(
                    request = %self.request.id,
                    endpoint = %obtained.lease.chosen.id,
                    "answer does not continue the stream"
                );
                self.give_up(Failure::BadAnswer, cx);
            }
            Some(obtained) => {
                self.resumed += 1;
                self.first = Some(obtained.first);
                self.last_bytes = Instant::now();
                self.state = State::flowing(obtained.body, obtained.lease);
                self.arm();
            }
            None => self.give_up(Failure::Broke, cx),
        }
    }

    fn continues(&self, obtained: &Obtained) -> bool {
        obtained.head.headers.get(CONTENT_TYPE) == self.content_type.as_ref()
    }

    /// The server drops what it has not written yet when a body fails, so that it gets a turn
    /// to write the last event first.
    fn give_up(&mut self, failure: Failure, cx: &mut Context<'_>) {
        let reason = match failure {
            Failure::Silent => Reason::EndpointTimeout,
            _ => Reason::EndpointBroke,
        };
        self.report(Outcome::Unknown, Some(reason));
        self.state = State::Breaking;
        cx.waker().wake_by_ref();
    }

    fn report(&self, outcome: Outcome, reason: Option<Reason>) {
        self.course.report(&self.request, outcome, reason, self.resumed);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !matches!(self.state, State::Done | State::Breaking) {
            self.report(Outcome::Unknown, Some(Reason::CallerLeft));
        }
    }
}

enum Step {
    Bytes(Bytes),
    End,
    Broken(Failure),
}
