//! The fleet's budget of retries.

/// Retries that may be saved up, as seconds of the least rate.
const LEAST_RATE_SECONDS: f64 = 20.0;

/// Part of the budget that is kept for the most urgent tier.
const KEPT_FOR_TOP: f64 = 0.5;

/// Settings of the budget.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudgetSettings {
    /// Retries that each first attempt pays for, in percent.
    pub retry_percent: f64,
    /// Retries allowed each second whatever the traffic.
    pub min_rate_per_s: f64,
    /// Most retries saved up.
    pub max_saved: f64,
}

impl Default for RetryBudgetSettings {
    fn default() -> RetryBudgetSettings {
        RetryBudgetSettings { retry_percent: 10.0, min_rate_per_s: 1.0, max_saved: 100.0 }
    }
}

/// What an instance may retry.
///
/// Every instance earns its part by its own first attempts, so the fleet's retries stay below
/// the same percentage of the fleet's requests without any exchange between instances.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    /// Retries left; from 0 to [`RetryBudgetSettings::max_saved`].
    left: f64,
    /// When the least rate was last paid in.
    paid_ms: u64,
}

impl RetryBudget {
    /// A budget that begins with what is kept of the least rate.
    pub fn new(settings: RetryBudgetSettings, now_ms: u64) -> RetryBudget {
        let left = (settings.min_rate_per_s * LEAST_RATE_SECONDS).min(settings.max_saved);
        RetryBudget { settings, left, paid_ms: now_ms }
    }

    /// A request was sent for the first time.
    pub fn record_first_attempt(&mut self) {
        self.left = (self.left + self.settings.retry_percent / 100.0).min(self.settings.max_saved);
    }

    /// Takes one retry out of the budget, if a tier of that rank may.
    pub fn try_acquire(&mut self, tier_rank: usize, now_ms: u64) -> bool {
        self.pay_in(now_ms);
        let least = LEAST_RATE_SECONDS * self.settings.min_rate_per_s;
        let kept = if tier_rank == 0 { 0.0 } else { KEPT_FOR_TOP * least };
        if self.left < kept + 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }

    fn pay_in(&mut self, now_ms: u64) {
        let passed_s = now_ms.saturating_sub(self.paid_ms) as f64 / 1000.0;
        let limit = self.settings.min_rate_per_s * LEAST_RATE_SECONDS;
        if self.left < limit {
            self.left = (self.left + passed_s * self.settings.min_rate_per_s).min(limit);
        }
        self.paid_ms = self.paid_ms.max(now_ms);
    }
}
