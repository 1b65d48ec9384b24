//! How fast and how reliably an endpoint works, and whether it is used for now.

/// Part of a new value in the moving averages.
const GAIN: f64 = 0.2;

/// Mean deviations above the mean that most values stay below.
const DEVIATIONS: f64 = 2.0;

/// Values that must be seen before an endpoint is judged.
const LEAST_SAMPLES: u32 = 5;

/// Failures in a row after which an endpoint is ejected.
const FAILURE_LIMIT: u32 = 3;

/// How long the first ejection lasts, in milliseconds.
const EJECTION_MS: u64 = 5_000;

/// Longest ejection, in milliseconds.
const EJECTION_LIMIT_MS: u64 = 120_000;

/// Good answers in probation before the return begins.
const PROBATION_SUCCESSES: u32 = 2;

/// How long a return from probation to full use takes, in milliseconds.
const RETURN_MS: u64 = 10_000;

/// Part of its slots an endpoint begins its return with, in percent.
const RETURN_FROM_PERCENT: u64 = 20;

/// Whether an endpoint is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionState {
    /// It is used up to its slots.
    Active,
    /// It gets nothing until then.
    Ejected {
        /// End of the ejection.
        until_ms: u64,
    },
    /// It gets one request at a time.
    Probation {
        /// Good answers so far.
        successes: u32,
    },
    /// It gets a rising part of its slots.
    SlowStart {
        /// When the return began.
        since_ms: u64,
    },
}

/// What an endpoint's answers showed of its speed and failures.
#[derive(Clone, Debug)]
pub struct EndpointPerformance {
    /// Moving average of the time between tokens.
    token_ms: f64,
    /// Moving average of the time to the first token.
    first_token_ms: f64,
    /// Moving average of how far from that it was, in either direction.
    first_token_deviation_ms: f64,
    /// Values behind [`EndpointPerformance::token_ms`] since the last ejection.
    samples: u32,
    failures_in_row: u32,
    /// Ejections without a full return between them.
    ejections: u32,
    ejection_state: EjectionState,
}

impl EndpointPerformance {
    /// A pace not yet observed, with what is expected of it.
    pub fn new(token_ms: f64, first_token_ms: f64) -> EndpointPerformance {
        EndpointPerformance {
            token_ms,
            first_token_ms,
            first_token_deviation_ms: 0.0,
            samples: 0,
            failures_in_row: 0,
            ejections: 0,
            ejection_state: EjectionState::Active,
        }
    }

    /// Time between tokens.
    pub fn token_ms(&self) -> f64 {
        self.token_ms
    }

    /// Time to the first token.
    pub fn first_token_ms(&self) -> f64 {
        self.first_token_ms
    }

    /// Time within which most first tokens come.
    pub fn first_token_upper_ms(&self) -> f64 {
        self.first_token_ms + DEVIATIONS * self.first_token_deviation_ms
    }

    /// Whether enough was observed for a judgement.
    pub fn has_enough_samples(&self) -> bool {
        self.samples >= LEAST_SAMPLES
    }

    /// Whether the endpoint is used at that moment.
    pub fn ejection_state(&self, now_ms: u64) -> EjectionState {
        match self.ejection_state {
            EjectionState::Ejected { until_ms } if now_ms >= until_ms => {
                EjectionState::Probation { successes: 0 }
            }
            EjectionState::SlowStart { since_ms } if now_ms >= since_ms + RETURN_MS => {
                EjectionState::Active
            }
            ejection_state => ejection_state,
        }
    }

    /// Part of its slots that may be used now, in percent; in probation, of one slot.
    pub fn usable_percent(&self, now_ms: u64) -> u64 {
        match self.ejection_state(now_ms) {
            EjectionState::Active => 100,
            EjectionState::Ejected { .. } => 0,
            EjectionState::Probation { .. } => 1,
            EjectionState::SlowStart { since_ms } => {
                let risen = (100 - RETURN_FROM_PERCENT) * (now_ms.saturating_sub(since_ms));
                RETURN_FROM_PERCENT + risen / RETURN_MS
            }
        }
    }

    /// The first token of an answer came after that time.
    pub fn record_first_token(&mut self, elapsed_ms: f64) {
        let deviation_ms = (elapsed_ms - self.first_token_ms).abs();
        self.first_token_deviation_ms += GAIN * (deviation_ms - self.first_token_deviation_ms);
        self.first_token_ms += GAIN * (elapsed_ms - self.first_token_ms);
    }

    /// So many tokens of one answer came in that time; also told while an answer is running.
    pub fn record_tokens(&mut self, tokens: u32, elapsed_ms: f64) {
        if tokens == 0 {
            return;
        }
        let token_ms = elapsed_ms / f64::from(tokens);
        let gain =
            if self.samples < LEAST_SAMPLES { 1.0 / f64::from(self.samples + 1) } else { GAIN };
        self.token_ms += gain * (token_ms - self.token_ms);
        self.samples = self.samples.saturating_add(1);
    }

    /// An answer was whole.
    pub fn record_success(&mut self, now_ms: u64) {
        self.failures_in_row = 0;
        self.ejection_state = match self.ejection_state(now_ms) {
            EjectionState::Probation { successes } if successes + 1 >= PROBATION_SUCCESSES => {
                EjectionState::SlowStart { since_ms: now_ms }
            }
            EjectionState::Probation { successes } => {
                EjectionState::Probation { successes: successes + 1 }
            }
            ejection_state => ejection_state,
        };
        if self.ejection_state == EjectionState::Active {
            self.ejections = 0;
        }
    }

    /// The endpoint broke off, refused a connection or was too slow. Returns whether that ejected it.
    pub fn record_failure(&mut self, now_ms: u64) -> bool {
        self.failures_in_row += 1;
        let doubtful = self.ejection_state(now_ms) != EjectionState::Active;
        if self.failures_in_row < FAILURE_LIMIT && !doubtful {
            return false;
        }
        self.eject(now_ms)
    }

    /// The endpoint went down. Returns whether that ejected it.
    pub fn record_down(&mut self, now_ms: u64) -> bool {
        self.eject(now_ms)
    }

    /// Compares it with the median pace of those that serve the same model. Returns whether
    /// being slower by more than the factor ejected it.
    pub fn eject_if_slow(&mut self, median_token_ms: f64, factor: f64, now_ms: u64) -> bool {
        let slow = self.has_enough_samples() && self.token_ms > factor * median_token_ms;
        slow && self.eject(now_ms)
    }

    fn eject(&mut self, now_ms: u64) -> bool {
        if matches!(self.ejection_state(now_ms), EjectionState::Ejected { .. }) {
            return false;
        }
        let lasts_ms = EJECTION_MS << self.ejections.min(10);
        self.ejection_state =
            EjectionState::Ejected { until_ms: now_ms + lasts_ms.min(EJECTION_LIMIT_MS) };
        self.ejections += 1;
        self.samples = 0;
        self.failures_in_row = 0;
        true
    }
}
