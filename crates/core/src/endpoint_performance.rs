//! Observed latency of an endpoint, and its ejection after failures or as a slow outlier.

/// Weight of a new sample in the exponential moving averages.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Number of mean absolute deviations by which the upper estimate exceeds the mean; most samples
/// stay below it.
const UPPER_DEVIATIONS: f64 = 2.0;

/// Samples needed before an endpoint is compared with others.
const MIN_SAMPLES: u32 = 5;

/// Consecutive failures after which an endpoint is ejected.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;

/// Length of the first ejection, in milliseconds; each further one lasts twice as long.
const BASE_EJECTION_MS: u64 = 5_000;

/// Longest ejection, in milliseconds.
const MAX_EJECTION_MS: u64 = 120_000;

/// Successful responses on probation before slow start begins.
const PROBATION_SUCCESSES: u32 = 2;

/// Length of the slow start from probation to full use, in milliseconds.
const SLOW_START_MS: u64 = 10_000;

/// Part of the slots that may be used at the beginning of slow start, in percent.
const SLOW_START_MIN_PERCENT: u64 = 20;

/// How much of an endpoint may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionState {
    /// All slots may be used.
    Active,
    /// It gets no requests.
    Ejected {
        /// End of the ejection, in milliseconds.
        until_ms: u64,
    },
    /// It gets one request at a time.
    Probation {
        /// Successful responses since the ejection ended.
        successes: u32,
    },
    /// A growing part of the slots may be used.
    SlowStart {
        /// Beginning of slow start, in milliseconds.
        since_ms: u64,
    },
}

/// Latency averages and ejection state of one endpoint, from this instance's own requests.
#[derive(Clone, Debug)]
pub struct EndpointPerformance {
    /// Moving average of the time between tokens, in milliseconds.
    token_ms: f64,
    /// Moving average of the time to the first token, in milliseconds.
    first_token_ms: f64,
    /// Moving average of the absolute deviation from `first_token_ms`, in milliseconds.
    first_token_deviation_ms: f64,
    /// Samples of the time between tokens since the last ejection.
    samples: u32,
    consecutive_failures: u32,
    /// Ejections since the endpoint was last active; the next one lasts longer for each.
    ejections: u32,
    ejection_state: EjectionState,
}

impl EndpointPerformance {
    /// Creates the state of an endpoint that was not observed yet, with the expected latencies.
    pub fn new(token_ms: f64, first_token_ms: f64) -> EndpointPerformance {
        EndpointPerformance {
            token_ms,
            first_token_ms,
            first_token_deviation_ms: 0.0,
            samples: 0,
            consecutive_failures: 0,
            ejections: 0,
            ejection_state: EjectionState::Active,
        }
    }

    /// Mean time between tokens, in milliseconds.
    pub fn token_ms(&self) -> f64 {
        self.token_ms
    }

    /// Mean time to the first token, in milliseconds.
    pub fn first_token_ms(&self) -> f64 {
        self.first_token_ms
    }

    /// Upper estimate of the time to the first token, in milliseconds: the mean plus two mean
    /// absolute deviations.
    pub fn first_token_upper_ms(&self) -> f64 {
        self.first_token_ms + UPPER_DEVIATIONS * self.first_token_deviation_ms
    }

    /// Whether there are enough samples of the time between tokens to compare endpoints.
    pub fn has_enough_samples(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }

    /// Ejection state at `now_ms`: probation follows the end of an ejection, and the active state
    /// follows the end of a slow start.
    pub fn ejection_state(&self, now_ms: u64) -> EjectionState {
        match self.ejection_state {
            EjectionState::Ejected { until_ms } if now_ms >= until_ms => {
                EjectionState::Probation { successes: 0 }
            }
            EjectionState::SlowStart { since_ms } if now_ms >= since_ms + SLOW_START_MS => {
                EjectionState::Active
            }
            ejection_state => ejection_state,
        }
    }

    /// Part of the slots that may be used, in percent. On probation this is 1, which callers round
    /// up to one slot.
    pub fn usable_percent(&self, now_ms: u64) -> u64 {
        match self.ejection_state(now_ms) {
            EjectionState::Active => 100,
            EjectionState::Ejected { .. } => 0,
            EjectionState::Probation { .. } => 1,
            EjectionState::SlowStart { since_ms } => {
                let gained = (100 - SLOW_START_MIN_PERCENT) * (now_ms.saturating_sub(since_ms));
                SLOW_START_MIN_PERCENT + gained / SLOW_START_MS
            }
        }
    }

    /// Records the time to the first token of a response.
    pub fn record_first_token(&mut self, elapsed_ms: f64) {
        let deviation_ms = (elapsed_ms - self.first_token_ms).abs();
        self.first_token_deviation_ms +=
            SAMPLE_WEIGHT * (deviation_ms - self.first_token_deviation_ms);
        self.first_token_ms += SAMPLE_WEIGHT * (elapsed_ms - self.first_token_ms);
    }

    /// Records that `tokens` tokens of one response took `elapsed_ms`; also called while a response
    /// is still being generated.
    pub fn record_tokens(&mut self, tokens: u32, elapsed_ms: f64) {
        if tokens == 0 {
            return;
        }
        let token_ms = elapsed_ms / f64::from(tokens);
        let weight = if self.samples < MIN_SAMPLES {
            1.0 / f64::from(self.samples + 1)
        } else {
            SAMPLE_WEIGHT
        };
        self.token_ms += weight * (token_ms - self.token_ms);
        self.samples = self.samples.saturating_add(1);
    }

    /// Records a complete response.
    pub fn record_success(&mut self, now_ms: u64) {
        self.consecutive_failures = 0;
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

    /// Records that the endpoint broke off a response, refused a connection or was too slow.
    /// Returns whether this ejected it. On probation and during slow start, a single failure does.
    pub fn record_failure(&mut self, now_ms: u64) -> bool {
        self.consecutive_failures += 1;
        let is_inactive = self.ejection_state(now_ms) != EjectionState::Active;
        if self.consecutive_failures < MAX_CONSECUTIVE_FAILURES && !is_inactive {
            return false;
        }
        self.eject(now_ms)
    }

    /// Records that the endpoint went down. Returns whether this ejected it.
    pub fn record_down(&mut self, now_ms: u64) -> bool {
        self.eject(now_ms)
    }

    /// Ejects the endpoint if its time between tokens is more than `factor` times the median of
    /// the endpoints that serve the same model. Returns whether it was ejected.
    pub fn eject_if_slow(&mut self, median_token_ms: f64, factor: f64, now_ms: u64) -> bool {
        let is_slow = self.has_enough_samples() && self.token_ms > factor * median_token_ms;
        is_slow && self.eject(now_ms)
    }

    fn eject(&mut self, now_ms: u64) -> bool {
        if matches!(self.ejection_state(now_ms), EjectionState::Ejected { .. }) {
            return false;
        }
        let duration_ms = BASE_EJECTION_MS << self.ejections.min(10);
        self.ejection_state =
            EjectionState::Ejected { until_ms: now_ms + duration_ms.min(MAX_EJECTION_MS) };
        self.ejections += 1;
        self.samples = 0;
        self.consecutive_failures = 0;
        true
    }
}
