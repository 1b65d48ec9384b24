//! Exponential backoff between failed calls.

use std::time::Duration;

/// Delays that double with each failure.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Backoff {
    initial: Duration,
    max: Duration,
    /// Delay after the next failure; at most `max`.
    next: Duration,
}

impl Backoff {
    pub(crate) fn new(initial: Duration, max: Duration) -> Backoff {
        Backoff { initial, max, next: initial }
    }

    /// Delay after a failure.
    pub(crate) fn failed(&mut self) -> Duration {
        let delay = self.next;
        self.next = (delay * 2).min(self.max);
        delay
    }

    /// The next failure is the first one again.
    pub(crate) fn reset(&mut self) {
        self.next = self.initial;
    }
}
