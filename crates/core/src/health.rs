//! Passive health checks: the health of an endpoint as seen by this instance's own requests.
//!
//! An endpoint may crash, hang, fail some of its requests or flap while its registry entry and
//! its status check are still good; without passive checks the requests sent there are lost or
//! late.

/// Weight of the newest result in the failure rate.
const SAMPLE_WEIGHT: f64 = 0.25;
/// Half-life of the failure rate without new results, in milliseconds.
const FAILURE_HALF_LIFE_MS: f64 = 3_000.0;
/// Consecutive failures after which the endpoint is paused.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// Length of the first pause, in milliseconds; each further one is twice as long.
const FIRST_PAUSE_MS: u64 = 400;
/// Maximum length of a pause, in milliseconds.
const MAX_PAUSE_MS: u64 = 4_000;
/// After a success that comes this long after the last pause, the next pause has the first
/// length again, in milliseconds.
const PAUSE_RESET_MS: u64 = 6_000;

/// Health of one endpoint.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Moving average of failures; 0 to 1.
    failure_rate: f64,
    /// Time of the last result.
    updated_ms: u64,
    /// Failures of sent requests since the last success.
    consecutive_failures: u32,
    /// End of the current or last pause.
    paused_until_ms: u64,
    /// Length of the last pause, in milliseconds; 0 if there was none or it was reset.
    pause_ms: u64,
    /// No request has succeeded since the last pause.
    on_probation: bool,
}

/// Whether an endpoint may be sent requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthState {
    /// Without restriction.
    Good,
    /// One request at a time, until one succeeds.
    Probation,
    /// None, until the pause is over.
    Paused,
}

impl Health {
    /// Records that the endpoint responded to a request.
    pub fn record_success(&mut self, now_ms: u64) {
        self.record(0.0, now_ms);
        self.consecutive_failures = 0;
        self.on_probation = false;
        if now_ms > self.paused_until_ms + PAUSE_RESET_MS {
            self.pause_ms = 0;
        }
    }

    /// Records that a request failed after it was sent to the endpoint.
    pub fn record_failure(&mut self, now_ms: u64) {
        self.record(1.0, now_ms);
        self.consecutive_failures += 1;
        if self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES || self.on_probation {
            self.pause(now_ms);
        }
    }

    /// Records that no connection to the endpoint could be opened, which pauses it at once.
    pub fn record_connect_failure(&mut self, now_ms: u64) {
        self.record(1.0, now_ms);
        self.pause(now_ms);
    }

    /// Fraction of requests that are expected to fail; 0 to 1.
    pub fn failure_rate(&self, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.failure_rate * (-elapsed_ms / FAILURE_HALF_LIFE_MS).exp2()
    }

    /// Whether the endpoint may be sent requests now.
    pub fn state(&self, now_ms: u64) -> HealthState {
        if now_ms < self.paused_until_ms {
            return HealthState::Paused;
        }
        if self.on_probation { HealthState::Probation } else { HealthState::Good }
    }

    fn record(&mut self, sample: f64, now_ms: u64) {
        let rate = self.failure_rate(now_ms);
        self.failure_rate = rate + SAMPLE_WEIGHT * (sample - rate);
        self.updated_ms = now_ms;
    }

    /// Does nothing during a pause, so that requests which fail together when an endpoint dies
    /// cause one pause.
    fn pause(&mut self, now_ms: u64) {
        if now_ms < self.paused_until_ms {
            return;
        }
        self.pause_ms = (self.pause_ms * 2).clamp(FIRST_PAUSE_MS, MAX_PAUSE_MS);
        self.paused_until_ms = now_ms + self.pause_ms;
        self.on_probation = true;
    }
}
