//! Time to the first event of an idle engine, without prefill.
//!
//! An engine that seems idle often has work of which this instance does not know yet. The mean of the times
//! would contain that wait; a low percentile does not.

/// Fraction of the samples that are below the value.
const PERCENTILE: f64 = 0.25;
/// Relative change by a sample.
const RATE: f64 = 0.1;
/// Bounds of the value, in milliseconds.
const RANGE_MS: (f64, f64) = (0.5, 2_000.0);

/// A percentile that is followed without storing the samples.
#[derive(Clone, Copy, Debug)]
pub(super) struct IdleTime {
    value_ms: f64,
}

impl IdleTime {
    /// Starts from a value.
    pub(super) fn new(value_ms: f64) -> IdleTime {
        IdleTime { value_ms: value_ms.clamp(RANGE_MS.0, RANGE_MS.1) }
    }

    /// Adds a time to the first event without the time of prefill.
    pub(super) fn record(&mut self, time_ms: f64) {
        let direction = if time_ms > self.value_ms { PERCENTILE } else { PERCENTILE - 1.0 };
        let value_ms = self.value_ms * (RATE * direction).exp();
        self.value_ms = value_ms.clamp(RANGE_MS.0, RANGE_MS.1);
    }

    pub(super) fn value_ms(&self) -> f64 {
        self.value_ms
    }
}
