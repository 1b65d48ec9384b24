//! What this instance's own requests show of an endpoint, whatever its status check says.
//!
//! Load pattern: an endpoint crashes, falls silent, fails a part of its requests or flaps while
//! its entry and its status check are good; work sent there is lost or late.

/// Weight of the newest answer in the failure rate.
const FAILURE_WEIGHT: f64 = 0.25;
/// Time in which the remembered failure rate halves without new evidence, in milliseconds.
const FAILURE_HALF_LIFE_MS: f64 = 3_000.0;
/// Failures in a row after which nothing more is sent for a while.
const FAILURES_IN_A_ROW: u32 = 3;
/// First pause of an endpoint that failed, in milliseconds.
const FIRST_PAUSE_MS: u64 = 400;
/// Longest pause, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 4_000;
/// An endpoint that answered this long after its last pause begins with the first pause again,
/// in milliseconds.
const TRUST_AFTER_MS: u64 = 6_000;

/// Evidence about one endpoint.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Share of the last requests that failed; 0 to 1.
    failure_rate: f64,
    /// When the rate was last changed.
    rated_ms: u64,
    /// Failures since the last answer.
    in_a_row: u32,
    /// Nothing is sent before then.
    paused_until_ms: u64,
    /// Length of the last pause, in milliseconds; 0 if there was none.
    pause_ms: u64,
    /// Paused, and no answer has come since.
    on_probation: bool,
}

/// Whether an endpoint may be sent work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthState {
    /// It may.
    Good,
    /// One request at a time, until one is answered.
    Probation,
    /// Not now.
    Paused,
}

impl Health {
    /// The endpoint answered.
    pub fn record_success(&mut self, now_ms: u64) {
        self.rate(0.0, now_ms);
        self.in_a_row = 0;
        self.on_probation = false;
        if now_ms > self.paused_until_ms + TRUST_AFTER_MS {
            self.pause_ms = 0;
        }
    }

    /// A request failed there after it was sent.
    pub fn record_failure(&mut self, now_ms: u64) {
        self.rate(1.0, now_ms);
        self.in_a_row += 1;
        if self.in_a_row >= FAILURES_IN_A_ROW || self.on_probation {
            self.pause(now_ms);
        }
    }

    /// No connection could be opened.
    pub fn record_connect_failure(&mut self, now_ms: u64) {
        self.rate(1.0, now_ms);
        self.pause(now_ms);
    }

    /// Share of requests that are expected to fail.
    pub fn failure_rate(&self, now_ms: u64) -> f64 {
        let passed_ms = now_ms.saturating_sub(self.rated_ms) as f64;
        self.failure_rate * (-passed_ms / FAILURE_HALF_LIFE_MS).exp2()
    }

    /// Whether it may be sent work.
    pub fn state(&self, now_ms: u64) -> HealthState {
        if now_ms < self.paused_until_ms {
            return HealthState::Paused;
        }
        if self.on_probation { HealthState::Probation } else { HealthState::Good }
    }

    fn rate(&mut self, sample: f64, now_ms: u64) {
        let rate = self.failure_rate(now_ms);
        self.failure_rate = rate + FAILURE_WEIGHT * (sample - rate);
        self.rated_ms = now_ms;
    }

    /// Requests that fail together when an endpoint dies make one pause, not several.
    fn pause(&mut self, now_ms: u64) {
        if now_ms < self.paused_until_ms {
            return;
        }
        self.pause_ms = (self.pause_ms * 2).clamp(FIRST_PAUSE_MS, LONGEST_PAUSE_MS);
        self.paused_until_ms = now_ms + self.pause_ms;
        self.on_probation = true;
    }
}
