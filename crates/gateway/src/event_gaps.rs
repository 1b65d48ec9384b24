//! Times between the events of one response, as an endpoint sent them.

use std::time::Duration;

use tokio::time::Instant;

/// When the events of a response arrived.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EventGaps {
    first_byte: Instant,
    /// When the last event arrived.
    last: Instant,
    /// Number of events that have arrived.
    count: u64,
    /// The endpoint had sent nothing more at some time since the last event.
    has_waited: bool,
}

impl EventGaps {
    /// A response whose first byte arrives at `first_byte`.
    pub(crate) fn new(first_byte: Instant) -> EventGaps {
        EventGaps { first_byte, last: first_byte, count: 0, has_waited: false }
    }

    /// Records that all bytes which have arrived are read.
    pub(crate) fn record_waiting(&mut self) {
        self.has_waited = true;
    }

    /// Records that `count` events have arrived by `now`, or one more if they are not counted. Returns the time between two of them, in
    /// milliseconds; `None` if it is not that of the endpoint, because bytes waited for a slow caller.
    pub(crate) fn record_events(&mut self, count: Option<u64>, now: Instant) -> Option<f64> {
        let count = count.unwrap_or(self.count.saturating_add(1));
        let new = count.checked_sub(self.count).filter(|it| *it > 0)?;
        let (is_first, has_waited) = (self.count == 0, self.has_waited);
        let gap = now.duration_since(self.last);
        (self.count, self.last, self.has_waited) = (count, now, false);
        (has_waited && !is_first).then(|| gap.as_secs_f64() * 1000.0 / new as f64)
    }

    /// Time since the first byte.
    pub(crate) fn since_first_byte(&self, now: Instant) -> Duration {
        now.duration_since(self.first_byte)
    }
}
