//! When a stream counts as stalled.

use std::{
    future::Future,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use tokio::time::{Instant, Sleep, sleep_until};

use crate::silence::REPLACE_INTERVAL;

/// Time without an event after which a resumable stream counts as stalled, as a multiple of the route's
/// `event_gap_goal_ms`.
const STALL_TIMEOUT_GAP_FACTOR: u32 = 5;
/// Minimum of that time.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Interval at which a list of endpoints is looked for that a stalled stream waits for.
const LIST_INTERVAL: Duration = Duration::from_millis(40);

/// The time since a stream last sent an event, and the timer that watches it.
pub(crate) struct StallTimer {
    /// When the caller stops waiting.
    deadline: Instant,
    /// Time without an event after which the stream counts as stalled; `None` if it cannot be resumed.
    timeout: Option<Duration>,
    /// When bytes last became forwardable.
    last_data: Instant,
    /// [`StallTimer::last_data`] of the latest stall that was recorded against the endpoint.
    overdue_since: Option<Instant>,
    timer: Pin<Box<Sleep>>,
}

/// What a timer that went off tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Expired {
    /// The caller's deadline has passed.
    Deadline,
    /// The stream has stalled.
    Stall,
    /// An event came meanwhile.
    Nothing,
}

impl StallTimer {
    /// Begins to watch a stream. `event_gap_goal_ms` is that of its route; `None` if it cannot be resumed.
    pub(crate) fn new(deadline: Instant, event_gap_goal_ms: Option<u64>) -> StallTimer {
        let timeout = event_gap_goal_ms.map(|it| {
            let gap_goal = Duration::from_millis(it);
            (gap_goal * STALL_TIMEOUT_GAP_FACTOR).max(MIN_STALL_TIMEOUT)
        });
        let last_data = Instant::now();
        let timer = Box::pin(sleep_until(deadline));
        let mut stall = StallTimer { deadline, timeout, last_data, overdue_since: None, timer };
        stall.reset(last_data);
        stall
    }

    /// Ready when the timer goes off; it has to be reset then.
    pub(crate) fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Expired> {
        self.timer.as_mut().poll(cx).map(|()| {
            let now = Instant::now();
            if now >= self.deadline {
                Expired::Deadline
            } else if self.has_stalled(now) {
                Expired::Stall
            } else {
                Expired::Nothing
            }
        })
    }

    /// Sets the timer to the next time at which the stream may have stalled, can perhaps be continued
    /// elsewhere, or is past its deadline.
    pub(crate) fn reset(&mut self, now: Instant) {
        let at = match self.timeout {
            None => self.deadline,
            Some(_) if self.has_stalled(now) => self.deadline.min(now + REPLACE_INTERVAL),
            Some(timeout) => self.deadline.min(self.last_data + timeout),
        };
        self.timer.as_mut().reset(at);
    }

    /// Sets the timer to when a list of endpoints may have been read that was asked for.
    pub(crate) fn reset_for_list(&mut self, now: Instant) {
        self.timer.as_mut().reset(self.deadline.min(now + LIST_INTERVAL));
    }

    /// Records that bytes became forwardable; returns whether the endpoint was overdue until then.
    pub(crate) fn record_data(&mut self) -> bool {
        let was_overdue = self.overdue_since == Some(self.last_data);
        self.last_data = Instant::now();
        was_overdue
    }

    /// Records that the endpoint is overdue; returns whether that is new.
    pub(crate) fn record_overdue(&mut self) -> bool {
        self.overdue_since.replace(self.last_data) != Some(self.last_data)
    }

    /// Time since bytes last became forwardable.
    pub(crate) fn silent_time(&self) -> Duration {
        self.last_data.elapsed()
    }

    fn has_stalled(&self, now: Instant) -> bool {
        self.timeout.is_some_and(|it| now >= self.last_data + it)
    }
}
