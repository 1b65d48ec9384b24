//! Token-bucket budget for retries.

/// Maximum savings from the minimum rate, in seconds of that rate.
const MIN_RATE_BURST_S: f64 = 20.0;

/// Part of the minimum rate's savings that is reserved for the most urgent tier.
const TOP_TIER_RESERVE: f64 = 0.5;

/// Limits of a [`RetryBudget`].
#[derive(Clone, Copy, Debug)]
pub struct RetryBudgetSettings {
    /// Part of a retry earned by each first attempt, in percent.
    pub retry_percent: f64,
    /// Retries earned per second whatever the traffic.
    pub min_rate_per_s: f64,
    /// Maximum number of retries saved up.
    pub max_saved: f64,
}

impl Default for RetryBudgetSettings {
    fn default() -> RetryBudgetSettings {
        RetryBudgetSettings { retry_percent: 10.0, min_rate_per_s: 1.0, max_saved: 100.0 }
    }
}

/// Retry budget of one instance.
///
/// Each instance earns retries by its own first attempts, so the retries of all instances together
/// stay below the same percentage of all requests without communication between instances.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    /// Retries available; from 0 to [`RetryBudgetSettings::max_saved`].
    available: f64,
    /// When retries were last added at the minimum rate.
    refilled_ms: u64,
}

impl RetryBudget {
    /// Creates a budget with the largest amount that the minimum rate saves up.
    pub fn new(settings: RetryBudgetSettings, now_ms: u64) -> RetryBudget {
        let available = (settings.min_rate_per_s * MIN_RATE_BURST_S).min(settings.max_saved);
        RetryBudget { settings, available, refilled_ms: now_ms }
    }

    /// Records the first attempt of a request, which earns a part of a retry.
    pub fn record_first_attempt(&mut self) {
        self.available =
            (self.available + self.settings.retry_percent / 100.0).min(self.settings.max_saved);
    }

    /// Consumes one retry if the budget allows it for a tier of that rank. Returns whether it did.
    pub fn try_acquire(&mut self, tier_rank: usize, now_ms: u64) -> bool {
        self.refill(now_ms);
        let burst = MIN_RATE_BURST_S * self.settings.min_rate_per_s;
        let reserved = if tier_rank == 0 { 0.0 } else { TOP_TIER_RESERVE * burst };
        if self.available < reserved + 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }

    fn refill(&mut self, now_ms: u64) {
        let passed_s = now_ms.saturating_sub(self.refilled_ms) as f64 / 1000.0;
        let burst = self.settings.min_rate_per_s * MIN_RATE_BURST_S;
        if self.available < burst {
            self.available = (self.available + passed_s * self.settings.min_rate_per_s).min(burst);
        }
        self.refilled_ms = self.refilled_ms.max(now_ms);
    }
}
