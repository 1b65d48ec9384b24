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
pub enum Standing {
    /// It is used up to its slots.
    Full,
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
    Returning {
        /// When the return began.
        since_ms: u64,
    },
}

/// What an endpoint's answers showed of its speed and failures.
#[derive(Clone, Debug)]
pub struct Pace {
    /// Moving average of the time between tokens.
    token_ms: f64,
    /// Moving average of the time to the first token.
    first_token_ms: f64,
    /// Moving average of how far from that it was, in either direction.
    first_token_deviation_ms: f64,
    /// Values behind [`Pace::token_ms`] since the last ejection.
    samples: u32,
    failures_in_row: u32,
    /// Ejections without a full return between them.
    ejections: u32,
    standing: Standing,
}

impl Pace {
    /// A pace not yet observed, with what is expected of it.
    pub fn new(token_ms: f64, first_token_ms: f64) -> Pace {
        Pace {
            token_ms,
            first_token_ms,
            first_token_deviation_ms: 0.0,
            samples: 0,
            failures_in_row: 0,
            ejections: 0,
            standing: Standing::Full,
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
    pub fn first_token_mostly_ms(&self) -> f64 {
        self.first_token_ms + DEVIATIONS * self.first_token_deviation_ms
    }

    /// Whether enough was observed for a judgement.
    pub fn is_known(&self) -> bool {
        self.samples >= LEAST_SAMPLES
    }

    /// Whether the endpoint is used at that moment.
    pub fn standing(&self, now_ms: u64) -> Standing {
        match self.standing {
            Standing::Ejected { until_ms } if now_ms >= until_ms => {
                Standing::Probation { successes: 0 }
            }
            Standing::Returning { since_ms } if now_ms >= since_ms + RETURN_MS => Standing::Full,
            standing => standing,
        }
    }

    /// Part of its slots that may be used now, in percent; in probation, of one slot.
    pub fn usable_percent(&self, now_ms: u64) -> u64 {
        match self.standing(now_ms) {
            Standing::Full => 100,
            Standing::Ejected { .. } => 0,
            Standing::Probation { .. } => 1,
            Standing::Returning { since_ms } => {
                let risen = (100 - RETURN_FROM_PERCENT) * (now_ms.saturating_sub(since_ms));
                RETURN_FROM_PERCENT + risen / RETURN_MS
            }
        }
    }

    /// The first token of an answer came after that time.
    pub fn first_token(&mut self, elapsed_ms: f64) {
        let deviation_ms = (elapsed_ms - self.first_token_ms).abs();
        self.first_token_deviation_ms += GAIN * (deviation_ms - self.first_token_deviation_ms);
        self.first_token_ms += GAIN * (elapsed_ms - self.first_token_ms);
    }

    /// So many tokens of one answer came in that time; also told while an answer is running.
    pub fn tokens(&mut self, tokens: u32, elapsed_ms: f64) {
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
    pub fn succeeded(&mut self, now_ms: u64) {
        self.failures_in_row = 0;
        self.standing = match self.standing(now_ms) {
            Standing::Probation { successes } if successes + 1 >= PROBATION_SUCCESSES => {
                Standing::Returning { since_ms: now_ms }
            }
            Standing::Probation { successes } => Standing::Probation { successes: successes + 1 },
            standing => standing,
        };
        if self.standing == Standing::Full {
            self.ejections = 0;
        }
    }

    /// The endpoint broke off, refused a connection or was too slow. Returns whether that ejected it.
    pub fn failed(&mut self, now_ms: u64) -> bool {
        self.failures_in_row += 1;
        let doubtful = self.standing(now_ms) != Standing::Full;
        if self.failures_in_row < FAILURE_LIMIT && !doubtful {
            return false;
        }
        self.eject(now_ms)
    }

    /// The endpoint went down. Returns whether that ejected it.
    pub fn lost(&mut self, now_ms: u64) -> bool {
        self.eject(now_ms)
    }

    /// Compares it with the median pace of those that serve the same model. Returns whether
    /// being slower by more than the factor ejected it.
    pub fn judge(&mut self, median_token_ms: f64, factor: f64, now_ms: u64) -> bool {
        let slow = self.is_known() && self.token_ms > factor * median_token_ms;
        slow && self.eject(now_ms)
    }

    fn eject(&mut self, now_ms: u64) -> bool {
        if matches!(self.standing(now_ms), Standing::Ejected { .. }) {
            return false;
        }
        let lasts_ms = EJECTION_MS << self.ejections.min(10);
        self.standing = Standing::Ejected { until_ms: now_ms + lasts_ms.min(EJECTION_LIMIT_MS) };
        self.ejections += 1;
        self.samples = 0;
        self.failures_in_row = 0;
        true
    }
}
