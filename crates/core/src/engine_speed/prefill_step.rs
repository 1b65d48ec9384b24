//! Step of an engine in constant prefill.
//!
//! Engines are seldom in constant prefill, and nobody sees which steps had prefill. A gap between events
//! covers several steps, of which some had. Only gaps that had any count, and of these the longest tenth
//! stands for constant prefill. While there is little to prefill these are shorter, so that the greatest
//! value of the last minutes is held.

/// Fraction of the samples that are below the value.
const PERCENTILE: f64 = 0.9;
/// Relative change by a sample in the beginning, and once many have been seen. A new instance has to leave
/// the initial value within seconds.
const RATES: (f64, f64) = (0.15, 0.03);
/// Number of samples after which the rate is half that of the beginning.
const RATE_SAMPLES: f64 = 200.0;
/// Number of samples from which on the greatest value is held.
const MIN_HELD_SAMPLES: f64 = 200.0;
/// Fraction of the greatest value that is held: less than the noise of the value makes of it.
const HELD_FRACTION: f64 = 0.9;
/// Change of the held value by a sample: it halves within several minutes of the usual load.
const HELD_DECAY: f64 = 0.9999;

/// A percentile that is followed without storing the samples. Each moves it by a bounded factor.
#[derive(Clone, Copy, Debug)]
pub(super) struct PrefillStep {
    value_ms: f64,
    /// Greatest value, which decays.
    greatest_ms: f64,
    samples: f64,
    range_ms: (f64, f64),
}

impl PrefillStep {
    /// Starts from a value; values stay within `range_ms`.
    pub(super) fn new(value_ms: f64, range_ms: (f64, f64)) -> PrefillStep {
        PrefillStep { value_ms, greatest_ms: 0.0, samples: 0.0, range_ms }
    }

    /// Adds the average step of a gap that had prefill.
    pub(super) fn record(&mut self, step_ms: f64) {
        let (first, last) = RATES;
        let rate = (first * RATE_SAMPLES / (RATE_SAMPLES + self.samples)).max(last);
        let direction = if step_ms > self.value_ms { PERCENTILE } else { PERCENTILE - 1.0 };
        let value_ms = self.value_ms * (rate * direction).exp();
        self.value_ms = value_ms.clamp(self.range_ms.0, self.range_ms.1);
        self.samples += 1.0;
        self.greatest_ms *= HELD_DECAY;
        if self.samples >= MIN_HELD_SAMPLES {
            self.greatest_ms = self.greatest_ms.max(self.value_ms);
        }
    }

    pub(super) fn value_ms(&self) -> f64 {
        self.value_ms.max(self.greatest_ms * HELD_FRACTION)
    }

    /// Number of samples.
    pub(super) fn samples(&self) -> f64 {
        self.samples
    }
}
