//! Timer of a stream: the caller's deadline, and the replacement of an endpoint that stalls.

use std::task::{Context, Poll, ready};

use tanagergauge_core::send_history::Failure;
use tokio::time::Instant;

use super::{Relay, State, Step};
use crate::{attempt, retry, stall::Expired};

impl Relay {
    /// Ready if the caller's deadline has passed, or the stream has stalled and another endpoint can
    /// continue it.
    pub(super) fn poll_timer(&mut self, cx: &mut Context<'_>) -> Poll<Step> {
        loop {
            match ready!(self.stall.poll(cx)) {
                Expired::Deadline => return Poll::Ready(Step::Failed(Failure::Silent)),
                Expired::Stall if self.try_replace(Failure::Silent) => {
                    return Poll::Ready(Step::Failed(Failure::Silent));
                }
                Expired::Stall if self.waits_for_version() => {
                    self.stall.reset_for_list(Instant::now());
                }
                Expired::Stall | Expired::Nothing => self.stall.reset(Instant::now()),
            }
        }
    }

    /// Whether the stream is moved now because its endpoint is about to be taken away. It is tried once.
    ///
    /// The entry has changed since the endpoint was selected, which leaving ones are not: its process is there.
    pub(super) fn begins_to_move(&mut self) -> bool {
        let State::Streaming(upstream) = &self.state else { return false };
        let is_due = !self.was_moved
            && self.events.can_resume()
            && self.events.event_count() > 0
            && self.gateway.departures.is_due(&self.request, &upstream.attempt.chosen);
        if !is_due {
            return false;
        }
        self.was_moved = true;
        let assumed = self.gateway.balancer().proven_version(&upstream.attempt.chosen).cloned();
        self.progress.required_version = self.progress.required_version.take().or(assumed);
        self.try_replace(Failure::Leaving)
    }

    /// Secures another endpoint for a stream that has stalled or whose endpoint leaves. Returns false if it
    /// has to wait for its own.
    pub(super) fn try_replace(&mut self, failure: Failure) -> bool {
        let knows_version = self.knows_version();
        let State::Streaming(upstream) = &self.state else { return false };
        let endpoint = &upstream.attempt.chosen;
        if self.events.can_continue()
            && knows_version
            && retry::try_replace(
                &self.gateway,
                &self.request,
                &mut self.progress,
                endpoint,
                failure,
            )
        {
            return true;
        }
        if failure == Failure::Silent && self.stall.record_overdue() {
            attempt::record_overdue(&self.gateway, &endpoint.id);
        }
        false
    }

    /// Whether the stream could perhaps be moved if it were known which version began it.
    fn waits_for_version(&self) -> bool {
        self.events.can_continue()
            && self.events.event_count() > 0
            && self.progress.required_version.is_none()
    }

    /// Whether it is known which version has to go on with the stream, or any may begin it. If not, a list of
    /// endpoints that may tell it is read.
    fn knows_version(&mut self) -> bool {
        if self.events.event_count() == 0 {
            return true;
        }
        self.record_begun();
        let is_known = self.progress.required_version.is_some();
        if !is_known {
            self.gateway.list_wanted.notify_one();
        }
        is_known
    }

    /// Records that bytes became forwardable. An endpoint that goes on after a stall is sound.
    pub(super) fn record_data(&mut self) {
        if self.stall.record_data()
            && let State::Streaming(upstream) = &self.state
        {
            attempt::record_recovered(&self.gateway, &upstream.attempt.chosen.id);
        }
    }
}
